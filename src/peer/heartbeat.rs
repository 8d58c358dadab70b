//! Builds outgoing heartbeats and computes their interval and size.

use std::time::Duration;

use prost::Message;
use tokio::time::Instant;

use super::{
    Error, Result,
    frames::Heartbeat,
    state::{LogView, State},
    topology::LinkKind,
};
use crate::log::Offset;

/// Limit on the heartbeat traffic that an instance sends over all its links together,
/// in bytes per second.
pub const HEARTBEAT_BYTES_PER_S: usize = 2_048;

/// Size of a heartbeat without changes, including the length prefix, in bytes.
pub const BASE_HEARTBEAT_BYTES: usize = 20;

/// Size reserved in every heartbeat for changes of loads and served tokens, in bytes.
/// The limit on changes is never lower.
const MIN_CHANGE_BYTES: usize = 48;

/// Returns the heartbeat interval of each of `link_count` connections.
///
/// The interval is at least `min_interval`, and long enough to keep the traffic
/// within [`HEARTBEAT_BYTES_PER_S`] with the minimum size for changes in each
/// heartbeat.
pub fn heartbeat_interval(link_count: usize, min_interval: Duration) -> Duration {
    let bytes = (link_count * (BASE_HEARTBEAT_BYTES + MIN_CHANGE_BYTES)) as f64;
    let needed_interval = Duration::from_secs_f64(bytes / HEARTBEAT_BYTES_PER_S as f64);
    needed_interval.max(min_interval)
}

/// Returns the maximum size, in bytes, of the changes of loads and served tokens in one
/// heartbeat, if `link_count` connections each send a heartbeat per `interval`.
pub fn max_change_bytes(link_count: usize, interval: Duration) -> usize {
    let bytes = HEARTBEAT_BYTES_PER_S as f64 * interval.as_secs_f64() / link_count.max(1) as f64;
    (bytes as usize)
        .saturating_sub(BASE_HEARTBEAT_BYTES)
        .max(MIN_CHANGE_BYTES)
}

/// Aggregate of the log positions that a group's relay received from other instances
/// and forwards in its heartbeats.
#[derive(Debug, Default)]
struct CoveredInstances {
    instances: usize,
    end_offset: Offset,
    /// Earliest instant after which one of the positions was reported.
    oldest: Option<Instant>,
}

impl State {
    /// Builds the next heartbeat for the connection `link_id` to a peer.
    ///
    /// # Errors
    ///
    /// Fails if the connection was replaced or its limit of names is reached.
    pub(super) fn heartbeat(
        &mut self,
        peer_name: &str,
        link_id: u64,
        log: &LogView,
        min_interval: Duration,
        now: Instant,
    ) -> Result<Heartbeat> {
        let link_kind = self.link_kind(peer_name);
        let interval = heartbeat_interval(self.links.len(), min_interval);
        let max_bytes = max_change_bytes(self.links.len(), interval);
        let mut heartbeat = self.base_heartbeat(log, now);
        if interval > min_interval {
            heartbeat.interval_ms = interval.as_millis() as u32;
        }
        self.add_covered(peer_name, link_kind, &mut heartbeat, now);
        self.loads.refresh(&self.link_kinds, &self.links);
        let link = self
            .links
            .get_mut(peer_name)
            .filter(|link| link.id == link_id);
        let link = link.ok_or_else(|| Error::Replaced {
            name: peer_name.into(),
        })?;
        if link.encoder.is_full() {
            return Err(Error::NamesExhausted);
        }
        let loads = self.loads.outgoing(link_kind, link);
        let base_bytes = heartbeat.encoded_len();
        link.list_sender
            .encode(self.target_list, now, &mut heartbeat);
        // Taken from the bytes for changes, so that the traffic stays the same.
        let list_bytes = heartbeat.encoded_len() - base_bytes;
        let max_bytes = max_bytes.saturating_sub(list_bytes);
        link.encoder.encode(&loads, max_bytes, &mut heartbeat);
        link.assign_sequence(&mut heartbeat, now);
        Ok(heartbeat)
    }

    fn base_heartbeat(&self, log: &LogView, now: Instant) -> Heartbeat {
        let end_offset = log.status.end_offset.0;
        Heartbeat {
            applied_offset: log.applied_offset.0,
            unread_records: end_offset.saturating_sub(log.applied_offset.0),
            known_age_ms: age_ms(log.status.current_as_of, now),
            log_down: !log.status.live,
            incomplete: !log.status.caught_up,
            leaving: self.leaving,
            ..Heartbeat::default()
        }
    }

    /// Adds the aggregate of the other instances' log positions that this instance
    /// forwards to a peer, if there are any.
    fn add_covered(
        &self,
        peer_name: &str,
        link_kind: LinkKind,
        heartbeat: &mut Heartbeat,
        now: Instant,
    ) {
        let covered = self.covered(peer_name, link_kind, now);
        let Some(oldest) = covered.oldest else {
            return;
        };
        heartbeat.covered_instances = covered.instances as u32;
        heartbeat.covered_end_offset = covered.end_offset.0;
        heartbeat.covered_age_ms = age_ms(oldest, now);
    }

    fn covered(&self, peer_name: &str, link_kind: LinkKind, now: Instant) -> CoveredInstances {
        let mut covered = CoveredInstances::default();
        for (name, link) in &self.links {
            if **name == *peer_name || !self.link_kind(name).forwards_to(link_kind) {
                continue;
            }
            let Some(position) = link.log_position() else {
                continue;
            };
            // Positions older than half of the maximum age are not forwarded. The other
            // half is left for the delay of forwarding.
            if now.saturating_duration_since(position.reported_after) > self.max_age / 2 {
                continue;
            }
            covered.instances += position.instances;
            covered.end_offset = covered.end_offset.max(position.end_offset);
            let oldest = covered.oldest.unwrap_or(position.reported_after);
            covered.oldest = Some(oldest.min(position.reported_after));
        }
        covered
    }
}

/// Returns the age of `at` in milliseconds, rounded up.
pub(super) fn age_ms(at: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(at).as_millis() + 1;
    u32::try_from(age).unwrap_or(u32::MAX)
}
