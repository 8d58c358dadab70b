//! Encoding of datagrams.

use prost::{DecodeError, Message};

use super::frames::{Datagram, Part, Prompt as PromptFrame, RefusalReason, datagram::Body};
use crate::{
    call::{Prompt, PromptPart},
    policy::shortage::Reason,
};

/// Maximum size of a datagram, in bytes. Larger ones would be fragmented on usual links.
pub(super) const MAX_BYTES: usize = 1_400;

/// Encodes a message; `None` if it is larger than [`MAX_BYTES`].
pub(super) fn encode(body: Body) -> Option<Vec<u8>> {
    let bytes = Datagram { body: Some(body) }.encode_to_vec();
    (bytes.len() <= MAX_BYTES).then_some(bytes)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the bytes are not a datagram.
pub(super) fn decode(bytes: &[u8]) -> Result<Option<Body>, DecodeError> {
    Datagram::decode(bytes).map(|datagram| datagram.body)
}

pub(super) fn encode_prompt(prompt: &Prompt) -> PromptFrame {
    let mut parts = Vec::with_capacity(prompt.parts.len());
    for part in &prompt.parts {
        parts.push(Part {
            id: part.id,
            tokens: part.tokens,
        });
    }
    PromptFrame {
        prompt_tokens: prompt.prompt_tokens,
        max_output_tokens: prompt.max_output_tokens,
        parts,
    }
}

/// Decodes a prompt. The model is left out, as placement does not depend on it.
pub(super) fn decode_prompt(frame: &PromptFrame) -> Prompt {
    let mut parts = Vec::with_capacity(frame.parts.len());
    for part in &frame.parts {
        parts.push(PromptPart {
            id: part.id,
            tokens: part.tokens,
        });
    }
    Prompt {
        model: "".into(),
        prompt_tokens: frame.prompt_tokens,
        max_output_tokens: frame.max_output_tokens,
        parts,
    }
}

pub(super) fn encode_reason(reason: Reason) -> RefusalReason {
    match reason {
        Reason::Hopeless => RefusalReason::Hopeless,
        Reason::Shortage => RefusalReason::Shortage,
        Reason::Urgency => RefusalReason::Urgency,
        Reason::AccountShare => RefusalReason::AccountShare,
    }
}

/// Decodes a reason. One that this instance does not know counts as a shortage.
pub(super) fn decode_reason(reason: RefusalReason) -> Reason {
    match reason {
        RefusalReason::Hopeless => Reason::Hopeless,
        RefusalReason::Urgency => Reason::Urgency,
        RefusalReason::AccountShare => Reason::AccountShare,
        RefusalReason::Shortage | RefusalReason::Unspecified => Reason::Shortage,
    }
}
