//! Periodic maintenance: removes terminated instances, requests log records from peers,
//! and manages the copies of usage slices.

use std::sync::Arc;

use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::{
    shared::Shared,
    state::{LogView, State},
    topology::{LinkKind, rendezvous_order},
    usage::Source,
};
use crate::log::records::{UsageSlice, record::Body};

/// Runs the periodic maintenance until `stop` is cancelled.
pub(super) async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    loop {
        let log = shared.log_view();
        let now = Instant::now();
        let orphans = shared.state().upkeep(&log, now);
        shared.publish_live_count(now);
        for slice in orphans {
            tokio::spawn(flush_orphan(shared.clone(), slice, stop.clone()));
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(shared.min_heartbeat_interval) => (),
        }
    }
}

impl State {
    /// Performs one round of maintenance and returns the copied slices of
    /// terminated instances.
    fn upkeep(&mut self, log: &LogView, now: Instant) -> Vec<UsageSlice> {
        for peer in self.expire(now) {
            tracing::info!("peer: {} is no longer running", peer.name);
        }
        self.crashes.expire();
        self.request_log(log, now);
        self.update_usage_holder();
        self.take_orphans()
    }

    /// Selects the peer that holds copies of this instance's unflushed slices. If a
    /// different peer was selected, sends all slices to that peer and returns true.
    pub(super) fn update_usage_holder(&mut self) -> bool {
        let candidate = self.usage_holder_candidate();
        if self.unflushed_usage.holder() == candidate.as_ref() {
            return false;
        }
        let frames = self.unflushed_usage.set_holder(candidate.clone());
        let Some(link) = candidate.and_then(|holder| self.links.get(&holder.name)) else {
            return false;
        };
        for frame in frames {
            if link.outbox.try_send(frame).is_err() {
                self.unflushed_usage.clear_holder();
                break;
            }
        }
        true
    }

    /// Returns the first connected peer in rendezvous order that is not shutting down and
    /// whose link is not a backup link.
    fn usage_holder_candidate(&self) -> Option<Source> {
        let mut candidates = Vec::new();
        for name in self.links.keys() {
            let leaving = self.membership.get(name).is_none_or(|peer| peer.leaving);
            if !leaving && self.link_kind(name) != LinkKind::Backup {
                candidates.push(name);
            }
        }
        let order = rendezvous_order(&self.own.name, candidates);
        let link = self.links.get(*order.first()?)?;
        Some(Source {
            name: link.peer.name.clone(),
            incarnation: link.peer.incarnation,
        })
    }

    /// Removes and returns the copied slices of instances that have terminated or
    /// restarted.
    fn take_orphans(&mut self) -> Vec<UsageSlice> {
        if !self.membership.has_live_list() {
            return Vec::new();
        }
        let membership = &self.membership;
        self.usage_copies.take_orphans(|source| {
            membership
                .get(&source.name)
                .is_none_or(|peer| peer.incarnation > source.incarnation)
        })
    }
}

/// Appends a slice to the log on behalf of its source.
///
/// The ledger counts a slice only once, even if several instances append it.
async fn flush_orphan(shared: Arc<Shared>, slice: UsageSlice, stop: CancellationToken) {
    let Some(appender) = &shared.log.appender else {
        return;
    };
    let appended = tokio::select! {
        () = stop.cancelled() => return,
        appended = appender.append(Body::UsageSlice(slice.clone())) => appended,
    };
    match appended {
        Ok(_) => tracing::info!(
            "peer: flushed usage slice {} of terminated instance {}",
            slice.slice,
            slice.source
        ),
        Err(error) => {
            tracing::warn!(
                "peer: cannot flush a usage slice of {}: {error}",
                slice.source
            );
            let source = Source {
                name: slice.source.as_str().into(),
                incarnation: slice.source_incarnation,
            };
            shared.state().usage_copies.insert(source, slice);
        }
    }
}
