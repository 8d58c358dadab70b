//! Response bodies of the chat and text completion interfaces.

use std::sync::Arc;

use serde::Serialize;

use crate::{entry::openai::Interface, target::protocol::FinishReason};

/// Fields shared by a complete response body and by every chunk of a stream.
#[derive(Clone, Debug)]
pub(super) struct AnswerFields {
    /// Interface that the request was sent to.
    pub(super) interface: Interface,
    /// Response identifier (`id`).
    pub(super) id: String,
    /// Creation time, in seconds since the Unix epoch.
    pub(super) created: u64,
    /// Model name exactly as given in the request.
    pub(super) model: Arc<str>,
}

/// Token counts of one request (`usage`).
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub(super) struct Usage {
    /// Tokens in the prompt.
    pub(super) prompt_tokens: u32,
    /// Tokens generated.
    pub(super) completion_tokens: u32,
    /// Sum of prompt and completion tokens.
    pub(super) total_tokens: u32,
    /// Breakdown of `prompt_tokens`.
    pub(super) prompt_tokens_details: PromptDetails,
}

/// Breakdown of the prompt's token count.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub(super) struct PromptDetails {
    /// Prompt tokens that the engine found in its KV cache.
    pub(super) cached_tokens: u32,
}

impl Usage {
    pub(super) const fn new(prompt_tokens: u32, cached_tokens: u32, output_tokens: u32) -> Self {
        Self {
            prompt_tokens,
            completion_tokens: output_tokens,
            total_tokens: prompt_tokens.saturating_add(output_tokens),
            prompt_tokens_details: PromptDetails { cached_tokens },
        }
    }
}

/// Body of a complete response, or data of one stream event.
#[derive(Serialize)]
struct CompletionBody<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: &'a [Choice<'a>],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

/// The answer's only choice.
///
/// `message` is set in a complete chat answer, `delta` in an event of a chat
/// stream, and `text` in a text completion.
#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    logprobs: (),
    finish_reason: Option<FinishReason>,
}

/// A chat message, or the change to it that one stream event carries.
#[derive(Clone, Copy, Default, Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

impl AnswerFields {
    /// Returns the response body of a non-streaming request.
    pub(super) fn complete_body(&self, text: &str, reason: FinishReason, usage: Usage) -> Vec<u8> {
        let mut choice = self.empty_choice(Some(reason));
        match self.interface {
            Interface::Chat => {
                choice.message = Some(Message {
                    role: Some("assistant"),
                    content: Some(text),
                });
            }
            Interface::Text => choice.text = Some(text),
        }
        let object = match self.interface {
            Interface::Chat => "chat.completion",
            Interface::Text => "text_completion",
        };
        let mut body = Vec::new();
        self.write_body(&mut body, object, &[choice], Some(usage));
        body
    }

    /// Appends the first event of a chat stream, which carries the role
    /// `assistant` and no text.
    ///
    /// Appends nothing for text completions, whose streams have no such event.
    pub(super) fn write_opening(&self, buffer: &mut Vec<u8>) {
        if self.interface == Interface::Text {
            return;
        }
        let mut choice = self.empty_choice(None);
        choice.delta = Some(Message {
            role: Some("assistant"),
            content: Some(""),
        });
        self.write_event(buffer, &[choice], None);
    }

    /// Appends an event that carries generated text.
    pub(super) fn write_text(&self, buffer: &mut Vec<u8>, text: &str) {
        let mut choice = self.empty_choice(None);
        match self.interface {
            Interface::Chat => {
                choice.delta = Some(Message {
                    content: Some(text),
                    ..Message::default()
                });
            }
            Interface::Text => choice.text = Some(text),
        }
        self.write_event(buffer, &[choice], None);
    }

    /// Appends the event that carries the finish reason.
    pub(super) fn write_finish(&self, buffer: &mut Vec<u8>, reason: FinishReason) {
        let mut choice = self.empty_choice(Some(reason));
        match self.interface {
            Interface::Chat => choice.delta = Some(Message::default()),
            Interface::Text => choice.text = Some(""),
        }
        self.write_event(buffer, &[choice], None);
    }

    /// Appends the event that carries the token usage and no choices.
    pub(super) fn write_usage(&self, buffer: &mut Vec<u8>, usage: Usage) {
        self.write_event(buffer, &[], Some(usage));
    }

    fn empty_choice(&self, finish_reason: Option<FinishReason>) -> Choice<'static> {
        Choice {
            index: 0,
            message: None,
            delta: None,
            text: None,
            logprobs: (),
            finish_reason,
        }
    }

    fn write_event(&self, buffer: &mut Vec<u8>, choices: &[Choice<'_>], usage: Option<Usage>) {
        let object = match self.interface {
            Interface::Chat => "chat.completion.chunk",
            Interface::Text => "text_completion",
        };
        buffer.extend_from_slice(b"data: ");
        self.write_body(buffer, object, choices, usage);
        buffer.extend_from_slice(b"\n\n");
    }

    fn write_body(
        &self,
        buffer: &mut Vec<u8>,
        object: &'static str,
        choices: &[Choice<'_>],
        usage: Option<Usage>,
    ) {
        let body = CompletionBody {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices,
            usage,
        };
        // Serialising these structs into a `Vec` cannot fail.
        let _ = serde_json::to_writer(buffer, &body);
    }
}

/// One model in the response to `GET /v1/models`.
#[derive(Debug, Serialize)]
pub(super) struct ModelBody {
    /// Name by which requests select the model.
    pub(super) id: String,
    /// Always `model`.
    pub(super) object: &'static str,
    /// Always 0: no creation date is recorded for models.
    pub(super) created: u64,
    /// Team that owns the service.
    pub(super) owned_by: Arc<str>,
}

/// Response to `GET /v1/models`.
#[derive(Debug, Serialize)]
pub(super) struct ModelListBody {
    /// Always `list`.
    pub(super) object: &'static str,
    /// Models that the caller may use.
    pub(super) data: Vec<ModelBody>,
}
