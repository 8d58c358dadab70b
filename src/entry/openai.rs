//! Parsing and validation of chat and text completion requests in the format of
//! the OpenAI API.

use std::sync::Arc;

use serde_json::Value;

use crate::{
    entry::{
        error::Result,
        fields::{Fields, invalid, wrong_type},
    },
    target::protocol::Sampling,
};

/// Maximum value of `max_tokens` and `max_completion_tokens`.
const MAX_TOKENS: i64 = 1 << 20;

/// Default value of `max_tokens` for chat completions.
const DEFAULT_CHAT_TOKENS: u32 = 1_024;

/// Default value of `max_tokens` for text completions.
const DEFAULT_TEXT_TOKENS: u32 = 16;

/// Maximum number of stop sequences in one request.
const MAX_STOP_SEQUENCES: usize = 4;

/// Interface that a request was sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Interface {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

impl Interface {
    /// Returns the interface that a request path belongs to.
    pub(super) fn from_path(path: &str) -> Option<Self> {
        let path = path.trim_end_matches('/');
        if path.ends_with("/chat/completions") {
            return Some(Self::Chat);
        }
        path.ends_with("/completions").then_some(Self::Text)
    }
}

/// A validated chat or text completion request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct CompletionRequest {
    /// Interface that the request was sent to.
    pub(super) interface: Interface,
    /// Model name exactly as given in the request, `MODEL` or `MODEL:ADAPTER`.
    pub(super) model: Arc<str>,
    /// Prompt text, with the chat template applied.
    pub(super) prompt: Arc<str>,
    /// Maximum number of tokens to generate.
    pub(super) max_tokens: u32,
    /// Stop sequences, at which the generated text ends.
    pub(super) stop: Vec<String>,
    /// Sampling parameters.
    pub(super) sampling: Sampling,
    /// Whether the response is a stream of server-sent events.
    pub(super) stream: bool,
    /// Whether the stream ends with a chunk that carries the token usage.
    pub(super) include_usage: bool,
}

impl CompletionRequest {
    /// Parses and validates a request body.
    ///
    /// # Errors
    ///
    /// [`Error::Json`](super::Error::Json) if the body is not a JSON object, and
    /// [`Error::InvalidField`](super::Error::InvalidField) if a field is
    /// missing, invalid or not supported.
    pub(super) fn parse(interface: Interface, body: &[u8]) -> Result<Self> {
        let mut fields = Fields::parse(body)?;
        let model = Arc::from(fields.required_string("model")?);
        let prompt = match interface {
            Interface::Chat => chat_prompt(fields.take("messages"))?,
            Interface::Text => text_prompt(fields.take("prompt"))?,
        };
        let stream = fields.boolean("stream")?;
        fields.check_string("user")?;
        check_unsupported(&fields)?;
        Ok(Self {
            interface,
            model,
            prompt: Arc::from(prompt),
            max_tokens: max_tokens(&fields, interface)?,
            stop: stop_sequences(&fields)?,
            sampling: sampling(&fields)?,
            stream,
            include_usage: include_usage(&fields, stream)?,
        })
    }

    /// Splits the requested name into model and adapter; the adapter is empty if the
    /// name has none.
    pub(super) fn model_parts(&self) -> (&str, &str) {
        self.model.split_once(':').unwrap_or((&self.model, ""))
    }
}

fn max_tokens(fields: &Fields, interface: Interface) -> Result<u32> {
    let max_completion_tokens = fields.integer("max_completion_tokens", 1..=MAX_TOKENS)?;
    let max_tokens = fields.integer("max_tokens", 1..=MAX_TOKENS)?;
    let default = match interface {
        Interface::Chat => DEFAULT_CHAT_TOKENS,
        Interface::Text => DEFAULT_TEXT_TOKENS,
    };
    let given = max_completion_tokens
        .or(max_tokens)
        .and_then(|n| u32::try_from(n).ok());
    Ok(given.unwrap_or(default))
}

fn sampling(fields: &Fields) -> Result<Sampling> {
    Ok(Sampling {
        temperature: fields.number("temperature", 0.0..=2.0)?,
        top_p: fields.number("top_p", 0.0..=1.0)?,
        presence_penalty: fields.number("presence_penalty", -2.0..=2.0)?,
        frequency_penalty: fields.number("frequency_penalty", -2.0..=2.0)?,
        seed: fields.integer("seed", i64::MIN..=i64::MAX)?,
    })
}

/// Rejects fields that request an unsupported feature.
fn check_unsupported(fields: &Fields) -> Result<()> {
    for param in ["n", "best_of"] {
        if fields.integer(param, 1..=128)?.is_some_and(|n| n != 1) {
            return Err(invalid(param, "only the value 1 is supported"));
        }
    }
    for param in [
        "tools",
        "functions",
        "logprobs",
        "top_logprobs",
        "logit_bias",
        "echo",
        "suffix",
        "audio",
    ] {
        fields.check_absent(param)?;
    }
    let Some(format) = fields.get("response_format") else {
        return Ok(());
    };
    if format.get("type").and_then(Value::as_str) == Some("text") {
        return Ok(());
    }
    Err(invalid(
        "response_format",
        "only the type text is supported",
    ))
}

fn include_usage(fields: &Fields, stream: bool) -> Result<bool> {
    let Some(options) = fields.get("stream_options") else {
        return Ok(false);
    };
    let Value::Object(options) = options else {
        return Err(wrong_type("stream_options", "an object", options));
    };
    if !stream {
        return Err(invalid("stream_options", "requires stream to be true"));
    }
    match options.get("include_usage") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(other) => Err(wrong_type(
            "stream_options.include_usage",
            "a boolean",
            other,
        )),
    }
}

fn stop_sequences(fields: &Fields) -> Result<Vec<String>> {
    let values = match fields.get("stop") {
        None => return Ok(Vec::new()),
        Some(Value::String(text)) => return Ok(vec![text.clone()]),
        Some(Value::Array(values)) => values,
        Some(other) => return Err(wrong_type("stop", "a string or an array", other)),
    };
    if values.len() > MAX_STOP_SEQUENCES {
        let reason = format!("must contain at most {MAX_STOP_SEQUENCES} sequences");
        return Err(invalid("stop", reason));
    }
    let mut sequences = Vec::with_capacity(values.len());
    for value in values {
        match value {
            Value::String(text) if !text.is_empty() => sequences.push(text.clone()),
            Value::String(_) => return Err(invalid("stop", "sequences must not be empty")),
            other => return Err(wrong_type("stop", "an array of strings", other)),
        }
    }
    Ok(sequences)
}

fn text_prompt(prompt: Option<Value>) -> Result<String> {
    match prompt {
        Some(Value::String(text)) => Ok(text),
        Some(Value::Array(mut items)) if items.len() == 1 => match items.pop() {
            Some(Value::String(text)) => Ok(text),
            _ => Err(invalid(
                "prompt",
                "token arrays are not supported as prompts",
            )),
        },
        Some(Value::Array(_)) => Err(invalid("prompt", "must contain exactly one prompt")),
        Some(other) => Err(wrong_type("prompt", "a string", &other)),
        None => Err(invalid("prompt", "is required")),
    }
}

/// Applies the chat template to the messages of a chat request.
fn chat_prompt(messages: Option<Value>) -> Result<String> {
    let messages = match messages {
        Some(Value::Array(messages)) => messages,
        Some(other) => return Err(wrong_type("messages", "an array", &other)),
        None => return Err(invalid("messages", "is required")),
    };
    if messages.is_empty() {
        return Err(invalid("messages", "must not be empty"));
    }
    let mut prompt = String::new();
    for (index, message) in messages.iter().enumerate() {
        append_message(&mut prompt, index, message)?;
    }
    prompt.push_str("<|assistant|>\n");
    Ok(prompt)
}

fn append_message(prompt: &mut String, index: usize, message: &Value) -> Result<()> {
    let invalid_message = |reason: &str| invalid("messages", format!("message {index}: {reason}"));
    let Value::Object(message) = message else {
        return Err(invalid_message("must be an object"));
    };
    let Some(role) = message.get("role").and_then(Value::as_str) else {
        return Err(invalid_message("must have a role"));
    };
    if !matches!(role, "system" | "developer" | "user" | "assistant" | "tool") {
        return Err(invalid_message("has an unknown role"));
    }
    prompt.push_str("<|");
    prompt.push_str(role);
    prompt.push_str("|>\n");
    match message.get("content") {
        Some(Value::String(text)) => prompt.push_str(text),
        Some(Value::Array(parts)) => {
            for part in parts {
                prompt.push_str(part_text(part).ok_or_else(|| {
                    invalid_message("content parts must be of type text, with a string as text")
                })?);
            }
        }
        None | Some(Value::Null) if role == "assistant" => {}
        _ => {
            return Err(invalid_message(
                "content must be a string or an array of parts",
            ));
        }
    }
    prompt.push('\n');
    Ok(())
}

/// Returns the text of a content part; `None` if the part is invalid or not text.
fn part_text(part: &Value) -> Option<&str> {
    match part.get("type")?.as_str()? {
        "text" => part.get("text")?.as_str(),
        "refusal" => part.get("refusal")?.as_str(),
        _ => None,
    }
}
