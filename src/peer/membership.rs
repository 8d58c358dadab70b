//! Tracks running instances from the platform's live list and from frames that
//! arrive from the instances.
//!
//! The live list is the platform's list of running instances, which this instance
//! polls. The list may lag behind starts, restarts and terminations.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::{
    infra::protocol::{LiveInstance, LiveState},
    log::Offset,
};

/// Maximum number of instances that are remembered although they are not running. Above
/// it, the one that was added first is forgotten.
const MAX_ABSENT: usize = 1_024;

/// Known state of another instance.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerState {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Newest known incarnation.
    pub incarnation: u64,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Address for peer connections. `None` until the live list has contained the
    /// instance.
    pub peer_address: Option<Arc<str>>,
    /// Whether the instance is shutting down.
    pub leaving: bool,
    /// Log offset up to which the instance last reported to have applied records.
    pub applied_offset: Offset,
    /// When the last frame of this incarnation arrived. `None` if no frame has
    /// arrived.
    pub last_seen_at: Option<Instant>,
    /// Whether the live list, as last read, contains the instance with `incarnation` or
    /// a newer incarnation.
    pub listed: bool,
}

/// Identity of the sender of a frame, as stated in its `Hello`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerIdentity {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Incarnation that sent the frame.
    pub incarnation: u64,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
}

/// The set of known instances, from the live list and from received frames.
///
/// An instance is considered running while the live list contains the instance.
/// As the list may lag, an instance is also considered running while frames
/// arrive from it. Each start of an instance has a higher incarnation. List
/// entries and frames with an incarnation lower than the highest known one are
/// ignored.
#[derive(Debug)]
pub struct Membership {
    name: Arc<str>,
    silence_timeout: Duration,
    /// Other instances by name.
    peers: IndexMap<Arc<str>, PeerState>,
    /// Instances that are not running as far as is known, by name.
    absent: IndexMap<Arc<str>, AbsentInstance>,
    has_live_list: bool,
}

/// An instance that is neither in the live list nor has sent frames.
#[derive(Clone, Copy, Debug)]
struct AbsentInstance {
    incarnation: u64,
    /// Until when the instance may be running without being known.
    may_run_until: Instant,
}

impl Membership {
    /// Creates the membership as seen by the instance called `name`.
    ///
    /// An instance that is not in the live list is considered terminated once no
    /// frame from it has arrived for `silence_timeout`.
    pub fn new(name: Arc<str>, silence_timeout: Duration) -> Self {
        Self {
            name,
            silence_timeout,
            peers: IndexMap::new(),
            absent: IndexMap::new(),
            has_live_list: false,
        }
    }

    /// Replaces the live list with a newer one.
    pub fn apply_list(&mut self, list: &[LiveInstance]) {
        self.has_live_list = true;
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for entry in list {
            if entry.name == self.name {
                continue;
            }
            self.apply_entry(entry);
        }
    }

    /// Returns whether the live list was read at least once.
    pub fn has_live_list(&self) -> bool {
        self.has_live_list
    }

    /// Records the arrival of a frame. Returns false and ignores the frame if a
    /// newer incarnation of the sender is known or the sender has this instance's
    /// name.
    pub fn observe_frame(&mut self, sender: &PeerIdentity, now: Instant) -> bool {
        if sender.name == self.name {
            return false;
        }
        let peer = self
            .peers
            .entry(sender.name.clone())
            .or_insert_with(|| PeerState::unseen(&sender.name, &sender.failure_domain));
        if sender.incarnation < peer.incarnation {
            return false;
        }
        if sender.incarnation > peer.incarnation {
            peer.restart(sender.incarnation);
            peer.failure_domain = sender.failure_domain.clone();
        }
        peer.last_seen_at = Some(now);
        true
    }

    /// Applies the state in a heartbeat. Returns false if the frame is ignored,
    /// as in [`observe_frame`](Self::observe_frame).
    pub fn apply_heartbeat(
        &mut self,
        sender: &PeerIdentity,
        applied_offset: Offset,
        leaving: bool,
        now: Instant,
    ) -> bool {
        if !self.observe_frame(sender, now) {
            return false;
        }
        let Some(peer) = self.peers.get_mut(&sender.name) else {
            return false;
        };
        peer.applied_offset = applied_offset;
        peer.leaving |= leaving;
        true
    }

    /// Removes and returns the instances that are no longer running.
    pub fn expire(&mut self, now: Instant) -> Vec<PeerState> {
        let silence_timeout = self.silence_timeout;
        let mut terminated = Vec::new();
        self.peers.retain(|_, peer| {
            let is_running = peer.listed || !peer.is_silent(silence_timeout, now);
            if !is_running {
                terminated.push(peer.clone());
            }
            is_running
        });
        for peer in &terminated {
            self.add_absent(&peer.name, peer.incarnation, now);
        }
        terminated
    }

    /// Returns whether another instance may be running in the given incarnation.
    ///
    /// The live list and the frames of an instance may arrive later than its records in
    /// the log. An incarnation that is not known yet is therefore considered running for
    /// the silence timeout after the first call. One that has terminated or was replaced
    /// is not.
    pub fn may_run(&mut self, name: &Arc<str>, incarnation: u64, now: Instant) -> bool {
        if let Some(peer) = self.peers.get(name)
            && peer.incarnation >= incarnation
        {
            let is_running = peer.listed || !peer.is_silent(self.silence_timeout, now);
            return is_running && peer.incarnation == incarnation;
        }
        if let Some(absent) = self.absent.get(name)
            && absent.incarnation >= incarnation
        {
            return absent.incarnation == incarnation && now < absent.may_run_until;
        }
        self.add_absent(name, incarnation, now + self.silence_timeout);
        true
    }

    /// Returns the running instances other than this one.
    pub fn live(&self, now: Instant) -> Vec<PeerState> {
        let mut live = Vec::new();
        for peer in self.peers.values() {
            if peer.listed || !peer.is_silent(self.silence_timeout, now) {
                live.push(peer.clone());
            }
        }
        live
    }

    /// Returns whether a frame of the instance arrived within the silence
    /// timeout.
    pub fn is_recently_seen(&self, name: &str, now: Instant) -> bool {
        self.peers
            .get(name)
            .is_some_and(|peer| !peer.is_silent(self.silence_timeout, now))
    }

    /// Returns the names of the instances in the live list other than this one.
    pub fn listed(&self) -> impl Iterator<Item = &Arc<str>> {
        self.peers
            .values()
            .filter(|peer| peer.listed)
            .map(|peer| &peer.name)
    }

    /// Returns the number of instances in the live list, other than this one, that are
    /// not shutting down.
    pub fn count_active(&self) -> usize {
        let active = |peer: &&PeerState| peer.listed && !peer.leaving;
        self.peers.values().filter(active).count()
    }

    /// Returns the known state of an instance.
    pub fn get(&self, name: &str) -> Option<&PeerState> {
        self.peers.get(name)
    }

    fn add_absent(&mut self, name: &Arc<str>, incarnation: u64, may_run_until: Instant) {
        if self.absent.len() >= MAX_ABSENT && !self.absent.contains_key(name) {
            self.absent.shift_remove_index(0);
        }
        let absent = AbsentInstance {
            incarnation,
            may_run_until,
        };
        self.absent.insert(name.clone(), absent);
    }

    fn apply_entry(&mut self, entry: &LiveInstance) {
        let peer = self
            .peers
            .entry(entry.name.clone())
            .or_insert_with(|| PeerState::unseen(&entry.name, &entry.failure_domain));
        if entry.incarnation < peer.incarnation {
            // The list lags behind a restart of the instance.
            return;
        }
        if entry.incarnation > peer.incarnation {
            peer.restart(entry.incarnation);
        }
        peer.failure_domain = entry.failure_domain.clone();
        peer.peer_address = Some(entry.peer_address.clone());
        peer.leaving |= entry.state == LiveState::Leaving;
        peer.listed = true;
    }
}

impl PeerState {
    /// Creates the state of an instance of which no list entry or frame was applied yet.
    fn unseen(name: &Arc<str>, failure_domain: &Arc<str>) -> Self {
        Self {
            name: name.clone(),
            incarnation: 0,
            failure_domain: failure_domain.clone(),
            peer_address: None,
            leaving: false,
            applied_offset: Offset(0),
            last_seen_at: None,
            listed: false,
        }
    }

    /// Discards the state reported by an earlier incarnation.
    fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.leaving = false;
        self.applied_offset = Offset(0);
        self.last_seen_at = None;
    }

    fn is_silent(&self, silence_timeout: Duration, now: Instant) -> bool {
        self.last_seen_at.is_none_or(|last_seen_at| {
            now.saturating_duration_since(last_seen_at) > silence_timeout
        })
    }
}
