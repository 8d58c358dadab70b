//! Event stream of one attempt, validated as it is read.

use std::sync::Arc;

use reqwest::Response;

use super::{
    Error, Result,
    protocol::{GenerateEvent, GenerateRequest},
    sse::{MAX_EVENT_BYTES, SseBuffer},
};

/// Event stream of one attempt. The engine cancels the attempt if the stream is
/// dropped.
#[derive(Debug)]
pub struct EventStream {
    address: Arc<str>,
    request_id: Arc<str>,
    attempt: u32,
    /// Index that the next token must have.
    next_index: u32,
    /// Whether `Done` or `Failed` was received.
    ended: bool,
    response: Response,
    buffer: SseBuffer,
}

impl EventStream {
    pub(super) fn new(address: Arc<str>, request: &GenerateRequest, response: Response) -> Self {
        Self {
            address,
            request_id: Arc::clone(&request.request_id),
            attempt: request.attempt,
            next_index: request.resume_tokens,
            ended: false,
            response,
            buffer: SseBuffer::default(),
        }
    }

    /// Returns the next event, or `None` after `Done` or `Failed`.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Cut`] or [`Error::Exchange`] if the stream ends early,
    /// with [`Error::WrongRequest`] if it belongs to another request or attempt,
    /// with [`Error::TokenOrder`] if tokens are missing or repeated, and with
    /// [`Error::TooLarge`] or [`Error::Decode`] if an event cannot be read.
    pub async fn next(&mut self) -> Result<Option<GenerateEvent>> {
        if self.ended {
            return Ok(None);
        }
        loop {
            if let Some(event) = self.take_event()? {
                self.check_event(&event)?;
                return Ok(Some(event));
            }
            self.read_chunk().await?;
        }
    }

    /// Returns whether a complete line is buffered. The line is usually that of an
    /// unread event, but may be the blank line that ends the previous event.
    pub fn is_buffered(&self) -> bool {
        !self.ended && self.buffer.has_line()
    }

    /// Appends the next chunk of the response to the buffer.
    async fn read_chunk(&mut self) -> Result<()> {
        let chunk = self.response.chunk().await;
        let chunk = chunk.map_err(|cause| Error::from_http(&self.address, cause))?;
        let Some(chunk) = chunk else {
            return Err(Error::Cut {
                address: Arc::clone(&self.address),
            });
        };
        if self.buffer.push(&chunk) {
            return Ok(());
        }
        Err(Error::TooLarge {
            address: Arc::clone(&self.address),
            max_bytes: MAX_EVENT_BYTES,
        })
    }

    fn take_event(&mut self) -> Result<Option<GenerateEvent>> {
        let Some(data) = self.buffer.take_data() else {
            return Ok(None);
        };
        let event = serde_json::from_slice(&data).map_err(|cause| Error::Decode {
            address: Arc::clone(&self.address),
            cause,
        })?;
        Ok(Some(event))
    }

    /// Checks that an event belongs to this attempt and that no token is missing or
    /// repeated.
    fn check_event(&mut self, event: &GenerateEvent) -> Result<()> {
        match event {
            GenerateEvent::Accepted {
                request_id,
                attempt,
                ..
            } => self.check_request(request_id, *attempt),
            GenerateEvent::Token { index, .. } => {
                self.check_index(*index)?;
                self.next_index += 1;
                Ok(())
            }
            GenerateEvent::Done {
                request_id,
                attempt,
                output_tokens,
                ..
            } => {
                self.ended = true;
                self.check_request(request_id, *attempt)?;
                self.check_index(*output_tokens)
            }
            GenerateEvent::Failed { .. } => {
                self.ended = true;
                Ok(())
            }
        }
    }

    fn check_request(&self, request_id: &str, attempt: u32) -> Result<()> {
        if request_id == &*self.request_id && attempt == self.attempt {
            return Ok(());
        }
        Err(Error::WrongRequest {
            address: Arc::clone(&self.address),
        })
    }

    fn check_index(&self, got: u32) -> Result<()> {
        if got == self.next_index {
            return Ok(());
        }
        Err(Error::TokenOrder {
            address: Arc::clone(&self.address),
            expected: self.next_index,
            got,
        })
    }
}
