//! Relays log records to instances that cannot reach the log.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    frames::{LogRequest, LogTail, RelayedRecord, frame::Body},
    heartbeat::age_ms,
    link::Link,
    shared::Shared,
    state::{LogView, State},
    topology::LinkKind,
};
use crate::{
    infra::protocol::LogEntry,
    log::{Offset, RelayedEntries},
};

/// Maximum total size of the records in one `LogTail` frame, in bytes.
const MAX_LOG_TAIL_BYTES: usize = 256 << 10;

/// Time after which a peer that has not answered a log request may be sent another.
const LOG_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

impl State {
    /// Requests records from the most up-to-date peer if this instance's own reads of
    /// the log fail or fall behind. Does nothing unless the ledger has caught up with
    /// the log, as relayed records can only continue a ledger without gaps.
    pub(super) fn request_log(&mut self, log: &LogView, now: Instant) {
        let age = now.saturating_duration_since(log.status.current_as_of);
        let up_to_date = log.status.live && age < self.max_age / 2;
        if up_to_date || !log.status.caught_up {
            return;
        }
        let from = Offset(log.applied_offset.0 + 1);
        let Some(name) = self.best_log_source(from, now) else {
            return;
        };
        let Some(link) = self.links.get_mut(&*name) else {
            return;
        };
        let request = LogRequest {
            from_offset: from.0,
        };
        if link.outbox.try_send(Body::LogRequest(request)).is_ok() {
            link.log_requested_at = Some(now);
        }
    }

    /// Returns the latest time of which a linked peer that has applied no record after
    /// `applied` knows all records.
    pub(super) fn confirmed_as_of(&self, applied: Offset) -> Option<Instant> {
        let mut latest = None;
        for link in self.links.values() {
            let Some(echoed_state) = link.echoed_state() else {
                continue;
            };
            if echoed_state.complete && echoed_state.applied_offset <= applied {
                latest = latest.max(Some(echoed_state.current_as_of));
            }
        }
        latest
    }

    /// Returns whether a linked peer, or an instance that its report covers, knows of a record
    /// after `applied`.
    pub(super) fn knows_of_record_after(&self, applied: Offset) -> bool {
        let mut states = self.links.values().filter_map(Link::echoed_state);
        states.any(|echoed_state| echoed_state.end_offset > applied)
    }

    /// Returns whether this instance is the relay of a group.
    pub(super) fn is_relay(&self) -> bool {
        let mut kinds = self.link_kinds.values();
        kinds.any(|kind| *kind == LinkKind::Member)
    }

    /// Returns the peer with the newest records. Considers only peers that may have
    /// all records from offset `from` on and that have no pending request. Prefers
    /// peers that can read the log.
    fn best_log_source(&self, from: Offset, now: Instant) -> Option<std::sync::Arc<str>> {
        let mut best = None;
        for (name, link) in &self.links {
            let Some(echoed_state) = link.echoed_state() else {
                continue;
            };
            let behind = echoed_state.applied_offset.0 + 1 < from.0;
            let missing = link.missing_offset.is_some_and(|missing| from <= missing);
            let pending = link
                .log_requested_at
                .is_some_and(|at| now.saturating_duration_since(at) < LOG_REQUEST_TIMEOUT);
            if behind || missing || pending || !echoed_state.complete {
                continue;
            }
            let rank = (echoed_state.reads_log, echoed_state.current_as_of);
            if best.as_ref().is_none_or(|(best, _)| rank > *best) {
                best = Some((rank, name.clone()));
            }
        }
        best.map(|(_, name)| name)
    }

    /// Converts a peer's response into entries. Returns `None` if no request is
    /// pending or the peer does not have the records.
    pub(super) fn accept_log_tail(&mut self, name: &str, tail: LogTail) -> Option<RelayedEntries> {
        let link = self.links.get_mut(name)?;
        let requested_at = link.log_requested_at.take()?;
        if tail.missing {
            link.missing_offset = Some(Offset(tail.from_offset));
            return None;
        }
        let known_age = Duration::from_millis(tail.known_age_ms.into());
        let mut entries = Vec::with_capacity(tail.records.len());
        for record in tail.records {
            entries.push(LogEntry {
                offset: record.offset,
                appended_at_ms: record.appended_at_ms,
                record: record.record.into(),
            });
        }
        Some(RelayedEntries {
            entries,
            end_offset: Offset(tail.end_offset),
            current_as_of: requested_at.checked_sub(known_age)?,
        })
    }
}

impl Shared {
    /// Builds the response to a log request of a peer.
    pub(super) fn serve_log_request(&self, request: &LogRequest) -> Body {
        let log = self.log_view();
        let from = Offset(request.from_offset);
        let next = Offset(log.applied_offset.0 + 1);
        let entries = if from >= next {
            Some(Vec::new())
        } else {
            self.log.recent.read(from, MAX_LOG_TAIL_BYTES)
        };
        let mut tail = LogTail {
            from_offset: from.0,
            end_offset: log.applied_offset.0.max(log.status.end_offset.0),
            known_age_ms: age_ms(log.status.current_as_of, Instant::now()),
            missing: entries.is_none() || !log.status.caught_up,
            records: Vec::new(),
        };
        for entry in entries.unwrap_or_default() {
            tail.records.push(RelayedRecord {
                offset: entry.offset,
                appended_at_ms: entry.appended_at_ms,
                record: entry.record.to_vec(),
            });
        }
        Body::LogTail(tail)
    }
}
