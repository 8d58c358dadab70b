//! Interface of the peer module to the rest of an instance.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::{Instant, timeout};

use super::{
    TargetNotice,
    delta::{PeerAmount, TargetLoad},
    frame::SentFrames,
    freshness::Freshness,
    heartbeat::heartbeat_interval,
    membership::PeerState,
    quarantine::QuarantinedRequest,
    shared::Shared,
    state::SentNotice,
    suspects::{SentFingerprint, TargetCrash},
    target_list::{ListComparison, ListCopy},
};
use crate::{infra::protocol::LiveInstance, log::records::UsageSlice};

/// Timeout for peers to acknowledge a quarantine notice.
const ACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Shared handle to the peers of an instance.
#[derive(Clone, Debug)]
pub struct PeerHandle {
    shared: Arc<Shared>,
}

impl PeerHandle {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Returns the running instances other than this one.
    pub fn live(&self) -> Vec<PeerState> {
        self.shared.state().membership.live(Instant::now())
    }

    /// Returns whether another instance may be running in the given incarnation (see
    /// [`Membership::may_run`](super::membership::Membership::may_run)).
    pub fn may_run(&self, name: &Arc<str>, incarnation: u64) -> bool {
        let mut state = self.shared.state();
        state.membership.may_run(name, incarnation, Instant::now())
    }

    /// Returns the running instances other than this one. Omits instances that are
    /// linked to this one, or were until they ceased to respond, but from which no frame
    /// arrived recently.
    pub fn reachable(&self) -> Vec<PeerState> {
        self.shared.state().reachable(Instant::now())
    }

    /// Returns the listed instances that this one is linked to and that have not responded
    /// for `min_silence` or longer.
    pub fn silent(&self, min_silence: Duration) -> Vec<PeerState> {
        let now = Instant::now();
        let state = self.shared.state();
        let mut silent = state.membership.live(now);
        silent.retain(|peer| {
            let silence = state.reachability.silence(&peer.name, now);
            peer.listed && silence.is_some_and(|silence| silence >= min_silence)
        });
        silent
    }

    /// Returns whether the platform's live list has been read at least once.
    pub fn has_live_list(&self) -> bool {
        self.shared.state().membership.has_live_list()
    }

    /// Replaces the live list and updates the topology.
    pub fn apply_list(&self, list: &[LiveInstance]) {
        let now = Instant::now();
        self.shared.state().apply_list(list, now);
        self.shared.publish_live_count(now);
    }

    /// Returns the names of the peers with an open connection.
    pub fn connected(&self) -> Vec<Arc<str>> {
        self.shared.state().links.keys().cloned().collect()
    }

    /// Returns the number and size of frames sent to peers since the start.
    pub fn sent_frames(&self) -> SentFrames {
        self.shared.traffic.sent()
    }

    /// Evaluates whether this instance knows the newest configuration, and on which
    /// evidence.
    pub fn freshness(&self) -> Freshness {
        let log = self.shared.log_view();
        self.shared.state().freshness(&log, Instant::now())
    }

    /// Returns the latest time for which a linked peer shows that this instance knows all
    /// records of the log that were appended before; `None` if none does. The peer knows all
    /// of them, and has applied none that this instance has not.
    pub fn confirmed_as_of(&self) -> Option<Instant> {
        let applied = self.shared.log_view().applied_offset;
        self.shared.state().confirmed_as_of(applied)
    }

    /// Returns whether a linked peer knows of a record of the log that this instance has not
    /// applied.
    pub fn knows_of_later_record(&self) -> bool {
        let applied = self.shared.log_view().applied_offset;
        self.shared.state().knows_of_record_after(applied)
    }

    /// Returns whether this instance is the relay of a group.
    pub fn is_relay(&self) -> bool {
        self.shared.state().is_relay()
    }

    /// Returns the interval at which this instance sends heartbeats to each linked peer.
    pub fn heartbeat_interval(&self) -> Duration {
        let links = self.shared.state().links.len();
        heartbeat_interval(links, self.shared.min_heartbeat_interval)
    }

    /// Sets the list of targets that this instance reports to its peers; with `None`, its
    /// heartbeats contain none. `current_as_of` of a list that was confirmed by peers must be
    /// the time that they confirmed.
    pub fn report_target_list(&self, list: Option<ListCopy>) {
        self.shared.state().target_list = list;
    }

    /// Compares the list of targets with the digest `own_digest` with those of the linked
    /// peers.
    pub fn compare_target_list(&self, own_digest: u64) -> ListComparison {
        self.shared.state().compare_target_list(own_digest)
    }

    /// Returns whether requests that need an API key may be served.
    pub fn may_serve_keyed(&self) -> bool {
        self.freshness().may_serve_keyed()
    }

    /// Returns the sum of the loads that peers have in flight on a target.
    pub fn peer_loads(&self, target: &str) -> TargetLoad {
        self.shared.state().peer_load(target)
    }

    /// Returns the amounts that peers reported since the last call.
    pub fn take_peer_amounts(&self) -> Vec<PeerAmount> {
        self.take_peer_amounts_of(|_| true)
    }

    /// Returns the amounts that peers reported since the last call under the names that
    /// `is_wanted` selects. The others are kept for their consumers.
    pub fn take_peer_amounts_of<F>(&self, is_wanted: F) -> Vec<PeerAmount>
    where
        F: Fn(&str) -> bool,
    {
        let mut taken = Vec::new();
        self.shared.state().peer_amounts.retain(|name, amount| {
            if !is_wanted(name) {
                return true;
            }
            taken.push(PeerAmount {
                name: name.clone(),
                amount: *amount,
            });
            false
        });
        taken
    }

    /// Sets the load that this instance reports to peers for a target.
    pub fn report_load(&self, target: &str, load: TargetLoad) {
        self.shared.state().loads.set_own(target, load);
    }

    /// Reports an amount to peers, such as the tokens that this instance served for an
    /// account (`SERVICE/ACCOUNT`) or the work of a service's engines. Peers add up the
    /// amounts of each name. The amount arrives as a whole, in a sum with others.
    pub fn report_amount(&self, name: &str, amount: u64) {
        let name = name.into();
        let mut state = self.shared.state();
        state.report_amount(|encoder| encoder.add_amount(&name, amount));
    }

    /// Reports an amount to peers as [`Self::report_amount`] does, but most of it arrives
    /// earlier than the rest, which saves bytes. For amounts of which only the sum counts.
    pub fn report_divisible_amount(&self, name: &str, amount: u64) {
        let name = name.into();
        let mut state = self.shared.state();
        state.report_amount(|encoder| encoder.add_divisible_amount(&name, amount));
    }

    /// Announces to all peers and the live list that this instance is shutting
    /// down.
    pub fn announce_leaving(&self) {
        self.shared.state().leaving = true;
        self.shared.leaving_announced.notify_waiters();
    }

    /// Notifies all peers that a request was in flight at two crashes and is
    /// quarantined. Waits up to `ACK_TIMEOUT` until the connected peers have
    /// acknowledged that they enforce the quarantine.
    pub async fn notify_quarantine(&self, account: &str, body_digest: &[u8]) {
        let request = quarantined_request(account, body_digest);
        let notices = self.shared.state().add_quarantined(request, None);
        // After a timeout, the remaining peers read the quarantine from the
        // log.
        let _ = timeout(ACK_TIMEOUT, self.wait_acknowledged(&notices)).await;
    }

    /// Waits until no acknowledgement of the notices may still arrive.
    async fn wait_acknowledged(&self, notices: &[SentNotice]) {
        loop {
            let mut acknowledged = pin!(self.shared.acks_changed.notified());
            acknowledged.as_mut().enable();
            if !self.any_unacknowledged(notices) {
                return;
            }
            acknowledged.await;
        }
    }

    fn any_unacknowledged(&self, notices: &[SentNotice]) -> bool {
        let state = self.shared.state();
        notices.iter().any(|notice| state.is_unacknowledged(notice))
    }

    /// Returns whether this instance or a peer has sent a quarantine notice for a
    /// request.
    pub fn is_quarantined(&self, account: &str, body_digest: &[u8]) -> bool {
        let request = quarantined_request(account, body_digest);
        self.shared.state().quarantine.contains(&request)
    }

    /// Records a crash of a target while requests with these fingerprints were in flight
    /// on it, and reports it to peers. `boot` differs for each start of a target. Returns
    /// whether requests are quarantined for it.
    pub fn report_crash(&self, boot: &Arc<str>, in_flight: &[SentFingerprint]) -> bool {
        self.shared.state().add_crash(boot, in_flight, None)
    }

    /// Records that a request with these fingerprints was answered completely, so that
    /// they are not suspected to crash targets, and reports it to peers that suspect them.
    /// Returns whether requests were quarantined for any.
    pub fn report_answer(&self, fingerprints: &[u64]) -> bool {
        self.shared.state().add_answer(fingerprints)
    }

    /// Records crashes that this or another instance has stored, without reporting them.
    pub fn restore_crashes(&self, crashes: &[TargetCrash]) {
        self.shared.state().restore_crashes(crashes);
    }

    /// Returns the newest crashes that have led to a quarantine.
    pub fn quarantined_crashes(&self) -> Vec<TargetCrash> {
        self.shared.state().quarantined_crashes()
    }

    /// Returns whether any fingerprint is suspected to crash targets.
    pub fn has_suspects(&self) -> bool {
        !self.shared.state().crashes.is_empty()
    }

    /// Returns the time for which requests with these fingerprints are refused because
    /// they crash targets, or `None` if they may run.
    pub fn quarantine_left(&self, fingerprints: &[u64]) -> Option<Duration> {
        self.shared.state().crashes.quarantine_left(fingerprints)
    }

    /// Reports to peers what a target has said in an answer.
    pub fn report_notice(&self, notice: TargetNotice) {
        self.shared.state().add_notice(notice, None);
    }

    /// Returns what peers reported of targets since the last call.
    pub fn take_notices(&self) -> Vec<TargetNotice> {
        self.shared.state().notices.take_unread()
    }

    /// Returns the names of the other instances that are running and not shutting down,
    /// in alphabetical order.
    pub fn live_names(&self) -> Vec<Arc<str>> {
        let mut names = Vec::new();
        for peer in self.shared.state().membership.live(Instant::now()) {
            if !peer.leaving {
                names.push(peer.name);
            }
        }
        names.sort_unstable();
        names
    }

    /// Sends a copy of an unflushed usage slice to one peer, which flushes it
    /// to the log if this instance terminates. Call this again whenever the
    /// slice grows.
    pub fn copy_usage(&self, slice: UsageSlice) {
        let mut state = self.shared.state();
        let frame = state.unflushed_usage.insert(slice);
        if state.update_usage_holder() {
            // The peer that newly holds the copies was sent all slices, including
            // this one.
            return;
        }
        let Some(holder) = state.unflushed_usage.holder() else {
            return;
        };
        let link = state.links.get(&holder.name);
        let sent = link.is_some_and(|link| link.outbox.try_send(frame).is_ok());
        if !sent {
            // Makes the next update of the holder send all copies again.
            state.unflushed_usage.clear_holder();
        }
    }

    /// Marks this instance's slices up to and including this number as appended to the
    /// log and applied to the ledger.
    pub fn usage_flushed(&self, up_to_slice: u64) {
        let mut state = self.shared.state();
        let frame = state.unflushed_usage.remove_flushed(up_to_slice);
        let Some(holder) = state.unflushed_usage.holder() else {
            return;
        };
        let Some(link) = state.links.get(&holder.name) else {
            return;
        };
        // If the frame is lost, the peer may also flush its copy of the slice. This
        // is harmless, as the ledger counts a slice only once.
        let _ = link.outbox.try_send(frame);
    }
}

fn quarantined_request(account: &str, body_digest: &[u8]) -> QuarantinedRequest {
    QuarantinedRequest {
        account: account.into(),
        body_digest: Bytes::copy_from_slice(body_digest),
    }
}
