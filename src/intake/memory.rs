//! Memory that is reserved for what a caller sends.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, timeout_at};

use super::{Connection, Intake};

/// Time to wait for the memory of callers that give way.
const RELEASE_TIME: Duration = Duration::from_millis(250);

/// Reserved memory; released on drop.
#[derive(Debug)]
pub struct HeldMemory {
    intake: Arc<Intake>,
    /// Connection that can give way for the memory, until the request has arrived.
    connection: Option<Arc<Connection>>,
    bytes: usize,
}

impl HeldMemory {
    pub(super) fn new(intake: Arc<Intake>, connection: Option<Arc<Connection>>) -> Self {
        Self {
            intake,
            connection,
            bytes: 0,
        }
    }

    /// Reserves more, up to `bytes`; returns `false` if the limit is reached.
    pub(super) fn try_grow(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if !self.intake.take(more) {
            return false;
        }
        self.bytes += more;
        if let Some(connection) = &self.connection {
            connection.add_held(more);
        }
        true
    }

    /// Reserves more, up to `bytes`. If the limit is reached, callers that are waited for
    /// give way. Returns `false` if there are none.
    pub(super) async fn grow(&mut self, bytes: usize) -> bool {
        let ends_at = Instant::now() + RELEASE_TIME;
        loop {
            let intake = self.intake.clone();
            let released = intake.released.notified();
            if self.try_grow(bytes) {
                return true;
            }
            if !intake.evict_body() || timeout_at(ends_at, released).await.is_err() {
                return false;
            }
        }
    }

    /// Releases the memory that exceeds `bytes`.
    pub(super) fn shrink(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        self.bytes -= less;
        if let Some(connection) = &self.connection {
            connection.remove_held(less);
        }
        self.intake.give_back(less);
    }

    /// Records that the request has arrived: its connection no longer gives way.
    pub(super) fn complete(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.remove_held(self.bytes);
        }
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.shrink(0);
    }
}
