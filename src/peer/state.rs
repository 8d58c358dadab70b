//! State of an instance's peers and connections.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use super::{
    Error, Result,
    delta::{AmountForm, DeltaEncoder, ReceivedAmount, TargetLoad},
    frames::{Heartbeat, QuarantineNotice, frame::Body},
    freshness::{Freshness, FreshnessInput, PeerLogPosition, Quorum},
    link::Link,
    load::LoadTotals,
    membership::{Membership, PeerIdentity},
    notices::TargetNotices,
    quarantine::{QuarantineSet, QuarantinedRequest},
    reachability::Reachability,
    reports::ReportLog,
    suspects::ReportedCrashes,
    target_list::{ListComparison, ListCopy},
    topology::LinkKind,
    unflushed_usage::UnflushedUsage,
    usage::UsageCopies,
};
use crate::log::{Offset, TailStatus};

/// Snapshot of how far this instance has read and applied the log, as reported in
/// heartbeats.
#[derive(Clone, Copy, Debug)]
pub(super) struct LogView {
    /// Status of the task that reads the log.
    pub(super) status: TailStatus,
    /// Last offset that this instance has applied.
    pub(super) applied_offset: Offset,
}

/// State of the peers and connections, shared by the peer tasks.
#[derive(Debug)]
pub(super) struct State {
    /// Identity of this instance.
    pub(super) own: PeerIdentity,
    /// Maximum age of this instance's knowledge of the log for serving requests that
    /// need an API key.
    pub(super) max_age: Duration,
    /// Known instances.
    pub(super) membership: Membership,
    /// Which of the linked instances respond.
    pub(super) reachability: Reachability,
    /// Link kinds in the current topology, by peer name.
    pub(super) link_kinds: IndexMap<Arc<str>, LinkKind>,
    /// Open connections by peer name.
    pub(super) links: IndexMap<Arc<str>, Link>,
    /// Whether this instance is shutting down.
    pub(super) leaving: bool,
    /// Quarantined requests.
    pub(super) quarantine: QuarantineSet,
    /// Crashes of targets reported by this instance and its peers.
    pub(super) crashes: ReportedCrashes,
    /// What targets have said in their answers.
    pub(super) notices: TargetNotices,
    /// Reports that are sent to the peers.
    pub(super) reports: ReportLog,
    /// Copies of other instances' unflushed usage slices.
    pub(super) usage_copies: UsageCopies,
    /// This instance's unflushed usage slices and the peer with their copies.
    pub(super) unflushed_usage: UnflushedUsage,
    /// Target loads of this instance and its peers.
    pub(super) loads: LoadTotals,
    /// Amounts reported by peers since [`PeerHandle::take_peer_amounts`] was last
    /// called, by name.
    ///
    /// [`PeerHandle::take_peer_amounts`]: super::PeerHandle::take_peer_amounts
    pub(super) peer_amounts: IndexMap<Arc<str>, u64>,
    /// List of targets that this instance reports to its peers; `None` if it reports none.
    pub(super) target_list: Option<ListCopy>,
    quorum: Quorum,
    last_link_id: u64,
    /// Number of the last quarantine notice that this instance sent.
    last_notice_number: u64,
}

impl State {
    pub(super) fn new(
        own: PeerIdentity,
        max_age: Duration,
        silence_timeout: Duration,
        quorum: Quorum,
    ) -> Self {
        Self {
            quorum,
            membership: Membership::new(own.name.clone(), silence_timeout),
            reachability: Reachability::new(silence_timeout),
            own,
            max_age,
            link_kinds: IndexMap::new(),
            links: IndexMap::new(),
            leaving: false,
            quarantine: QuarantineSet::default(),
            crashes: ReportedCrashes::default(),
            notices: TargetNotices::default(),
            reports: ReportLog::default(),
            usage_copies: UsageCopies::default(),
            unflushed_usage: UnflushedUsage::default(),
            loads: LoadTotals::default(),
            peer_amounts: IndexMap::new(),
            target_list: None,
            last_link_id: 0,
            last_notice_number: 0,
        }
    }

    /// Registers a connection, over which amounts are sent in the form `amount_form`.
    /// Replaces an earlier connection to the same peer.
    ///
    /// # Errors
    ///
    /// Fails if a newer incarnation of the peer is known or the peer uses this
    /// instance's name.
    pub(super) fn open_link(
        &mut self,
        peer: PeerIdentity,
        amount_form: AmountForm,
        outbox: mpsc::Sender<Body>,
        now: Instant,
    ) -> Result<OpenedLink> {
        if peer.name == self.own.name {
            return Err(Error::SameName);
        }
        self.observe_frame(&peer, now)?;
        self.last_link_id += 1;
        let link = Link::new(self.last_link_id, peer, amount_form, outbox);
        let opened = OpenedLink {
            id: link.id,
            replaced: link.replaced.clone(),
            reports: self.reports.subscribe(),
        };
        let name = link.peer.name.clone();
        if let Some(old_link) = self.links.insert(name.clone(), link) {
            old_link.replaced.cancel();
        }
        if !self.link_kinds.contains_key(&name) {
            self.update_topology(now);
        }
        Ok(opened)
    }

    /// Removes a connection, unless it was already replaced.
    pub(super) fn close_link(&mut self, name: &str, id: u64) {
        let current = self.links.get(name).is_some_and(|link| link.id == id);
        if !current {
            return;
        }
        self.links.swap_remove(name);
        self.loads.invalidate();
    }

    /// Applies a heartbeat from a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer's incarnation is outdated, the connection was
    /// replaced, or the changes cannot be applied.
    pub(super) fn receive_heartbeat(
        &mut self,
        peer: &PeerIdentity,
        id: u64,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Result<()> {
        let applied_offset = Offset(heartbeat.applied_offset);
        let accepted =
            self.membership
                .apply_heartbeat(peer, applied_offset, heartbeat.leaving, now);
        if !accepted {
            return Err(outdated(peer));
        }
        let link = self.links.get_mut(&peer.name);
        let link = link.filter(|link| link.id == id);
        let link = link.ok_or_else(|| Error::Replaced {
            name: peer.name.clone(),
        })?;
        let amounts = link.apply_heartbeat(heartbeat)?;
        if !heartbeat.loads.is_empty() {
            self.loads.invalidate();
        }
        let interval = Duration::from_millis(heartbeat.interval_ms.into());
        self.reachability.set_interval(&peer.name, interval);
        self.receive_amounts(&peer.name, amounts);
        Ok(())
    }

    /// Records the arrival of a frame from a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer's incarnation is outdated.
    pub(super) fn observe_frame(&mut self, peer: &PeerIdentity, now: Instant) -> Result<()> {
        if !self.membership.observe_frame(peer, now) {
            return Err(outdated(peer));
        }
        if self.reachability.record_frame(&peer.name, now) {
            tracing::info!(instance = &*peer.name, "peer: instance responds again");
            self.update_topology(now);
        }
        Ok(())
    }

    /// Adds an amount of this instance to the outgoing reports, with `add`.
    pub(super) fn report_amount<F>(&mut self, add: F)
    where
        F: Fn(&mut DeltaEncoder),
    {
        for (peer, link) in &mut self.links {
            if link_kind_of(&self.link_kinds, peer) != LinkKind::Backup {
                add(&mut link.encoder);
            }
        }
    }

    /// Adds a quarantined request. If the request is new, sends a notice to all
    /// connected peers except `from`, and returns the sent notices.
    pub(super) fn add_quarantined(
        &mut self,
        request: QuarantinedRequest,
        from: Option<&str>,
    ) -> Vec<SentNotice> {
        let mut sent = Vec::new();
        if !self.quarantine.insert(request.clone()) {
            return sent;
        }
        self.last_notice_number += 1;
        let notice = QuarantineNotice {
            account: request.account.to_string(),
            body_digest: request.body_digest.to_vec(),
            number: self.last_notice_number,
        };
        for (name, link) in &self.links {
            if from == Some(&**name) {
                continue;
            }
            let frame = Body::QuarantineNotice(notice.clone());
            // If the outbox is full, the notice is dropped, and the peer reads
            // the quarantine from the log.
            if link.outbox.try_send(frame).is_ok() {
                sent.push(SentNotice {
                    peer: name.clone(),
                    link_id: link.id,
                    number: self.last_notice_number,
                });
            }
        }
        sent
    }

    /// Returns whether an acknowledgement of a notice may still arrive: the connection
    /// over which the notice was sent is open, and the peer has not acknowledged it.
    pub(super) fn is_unacknowledged(&self, notice: &SentNotice) -> bool {
        self.links.get(&notice.peer).is_some_and(|link| {
            link.id == notice.link_id && link.acknowledged_notice < notice.number
        })
    }

    /// Evaluates whether this instance knows the newest configuration, and on which
    /// evidence.
    pub(super) fn freshness(&self, log: &LogView, now: Instant) -> Freshness {
        let peer_positions = self.peer_positions();
        let others = match self.quorum {
            Quorum::All => self.membership.listed().count(),
            // Instances that are shutting down may no longer be able to confirm.
            Quorum::Majority => self.membership.count_active(),
        };
        let input = FreshnessInput {
            now,
            max_age: self.max_age,
            complete: log.status.caught_up,
            last_read_at: log.status.last_read_at,
            current_as_of: log.status.current_as_of,
            applied_offset: log.applied_offset,
            required_confirmations: self
                .membership
                .has_live_list()
                .then(|| self.quorum.required(others)),
            peer_positions: &peer_positions,
        };
        input.evaluate()
    }

    /// Returns the sum of the peers' loads on a target.
    pub(super) fn peer_load(&mut self, target: &str) -> TargetLoad {
        self.loads.refresh(&self.link_kinds, &self.links);
        self.loads.peer_total(target)
    }

    /// Compares the list of targets with the digest `own_digest` with those of the linked
    /// peers.
    pub(super) fn compare_target_list(&self, own_digest: u64) -> ListComparison {
        let links = self.links.values();
        ListComparison::new(
            own_digest,
            links.filter_map(|link| link.list_receiver.copy()),
        )
    }

    /// Returns the kind of the link to a peer.
    pub(super) fn link_kind(&self, name: &str) -> LinkKind {
        link_kind_of(&self.link_kinds, name)
    }

    fn peer_positions(&self) -> Vec<PeerLogPosition> {
        let mut peer_positions = Vec::new();
        for (name, link) in &self.links {
            if self.link_kind(name) == LinkKind::Backup {
                // The report of the group's relay already covers this peer.
                continue;
            }
            peer_positions.extend(link.log_position());
        }
        peer_positions
    }

    fn receive_amounts(&mut self, from: &Arc<str>, amounts: Vec<ReceivedAmount>) {
        let from_kind = self.link_kind(from);
        for received in amounts {
            for (peer, link) in &mut self.links {
                let kind = link_kind_of(&self.link_kinds, peer);
                if peer != from && from_kind.forwards_to(kind) {
                    link.encoder.forward_amount(&received);
                }
            }
            *self.peer_amounts.entry(received.name).or_insert(0) += received.amount;
        }
    }
}

/// A connection registered by [`State::open_link`].
#[derive(Debug)]
pub(super) struct OpenedLink {
    /// Identifies the connection.
    pub(super) id: u64,
    /// Cancelled when a newer connection replaces this one.
    pub(super) replaced: tokio_util::sync::CancellationToken,
    /// Changes when there are reports to send.
    pub(super) reports: watch::Receiver<u64>,
}

/// Identifies a quarantine notice sent over a connection.
#[derive(Debug)]
pub(super) struct SentNotice {
    peer: Arc<str>,
    link_id: u64,
    number: u64,
}

/// Returns the kind of the link to a peer. Peers outside the topology are
/// treated as backups, which are sent no loads and no amounts.
pub(super) fn link_kind_of(kinds: &IndexMap<Arc<str>, LinkKind>, name: &str) -> LinkKind {
    kinds.get(name).copied().unwrap_or(LinkKind::Backup)
}

fn outdated(peer: &PeerIdentity) -> Error {
    Error::OutdatedIncarnation {
        name: peer.name.clone(),
        incarnation: peer.incarnation,
    }
}
