//! What this instance keeps for one connection.

use std::{collections::VecDeque, time::Duration};

use tokio::{sync::mpsc, time::Instant};
use tokio_util::sync::CancellationToken;

use super::{
    Result,
    digest::{DigestDecoder, DigestEncoder, Served},
    frames::{Heartbeat, frame::Body},
    freshness::PeerLogPosition,
    membership::PeerIdentity,
};
use crate::log::Offset;

/// Heartbeats whose echo is awaited.
const MAX_UNECHOED: usize = 64;

/// State of one connection.
#[derive(Debug)]
pub(super) struct Link {
    /// Tells connections to the same peer apart.
    pub(super) id: u64,
    /// The other end.
    pub(super) peer: PeerIdentity,
    /// Frames to be sent beside heartbeats.
    pub(super) outbox: mpsc::Sender<Body>,
    /// Ends the connection.
    pub(super) closed: CancellationToken,
    /// Changes that go out.
    pub(super) encoder: DigestEncoder,
    /// Loads that came in.
    pub(super) decoder: DigestDecoder,
    /// When the last log request was sent that is not answered.
    pub(super) log_requested_at: Option<Instant>,
    /// Lowest offset that the peer could not relay.
    pub(super) missing_offset: Option<Offset>,
    /// Number of the last quarantine notice that the peer acknowledged.
    pub(super) acknowledged_notice: u64,
    last_received: u64,
    last_sent: u64,
    unechoed: VecDeque<SentHeartbeat>,
    echoed_state: Option<EchoedState>,
}

#[derive(Clone, Copy, Debug)]
struct SentHeartbeat {
    sequence: u64,
    sent_at: Instant,
}

/// What the peer's last echoing heartbeat said.
#[derive(Clone, Copy, Debug)]
pub(super) struct EchoedState {
    /// A moment before this statement and those that it passes on were made.
    pub(super) reported_after: Instant,
    /// Offset up to which the peer has folded the log.
    pub(super) applied_offset: Offset,
    /// Highest offset that it, or any it speaks for, heard of.
    pub(super) end_offset: Offset,
    /// Number of instances that it speaks for, itself included.
    pub(super) instances: usize,
    /// Moment as of which it knows all records.
    pub(super) known_at: Instant,
    /// Whether it reads the log.
    pub(super) reads_log: bool,
    /// Whether its ledger is complete.
    pub(super) complete: bool,
}

impl Link {
    /// Makes the state of a new connection.
    pub(super) fn new(id: u64, peer: PeerIdentity, outbox: mpsc::Sender<Body>) -> Self {
        Self {
            id,
            peer,
            outbox,
            closed: CancellationToken::new(),
            encoder: DigestEncoder::default(),
            decoder: DigestDecoder::default(),
            log_requested_at: None,
            missing_offset: None,
            acknowledged_notice: 0,
            last_received: 0,
            last_sent: 0,
            unechoed: VecDeque::new(),
            echoed_state: None,
        }
    }

    /// Numbers a heartbeat that is sent now.
    pub(super) fn assign_sequence(&mut self, heartbeat: &mut Heartbeat, now: Instant) {
        self.last_sent += 1;
        heartbeat.sequence = self.last_sent;
        heartbeat.echo = self.last_received;
        if self.unechoed.len() == MAX_UNECHOED {
            self.unechoed.pop_front();
        }
        self.unechoed.push_back(SentHeartbeat {
            sequence: self.last_sent,
            sent_at: now,
        });
    }

    /// Applies a heartbeat and returns the tokens served.
    ///
    /// # Errors
    ///
    /// Fails if its changes cannot be applied.
    pub(super) fn receive(&mut self, heartbeat: &Heartbeat) -> Result<Vec<Served>> {
        self.last_received = heartbeat.sequence;
        let served = self.decoder.apply(heartbeat)?;
        self.record_echo(heartbeat);
        Ok(served)
    }

    /// Returns the peer's last statement.
    pub(super) fn echoed_state(&self) -> Option<&EchoedState> {
        self.echoed_state.as_ref()
    }

    /// Returns the peer's last statement as an answer on freshness.
    pub(super) fn log_position(&self) -> Option<PeerLogPosition> {
        let echoed_state = self.echoed_state?;
        Some(PeerLogPosition {
            name: self.peer.name.clone(),
            reported_after: echoed_state.reported_after,
            end_offset: echoed_state.end_offset,
            instances: echoed_state.instances,
        })
    }

    /// Dates the statement by the own heartbeat that it echoes, so that frames
    /// that waited while this process was paused do not seem new.
    fn record_echo(&mut self, heartbeat: &Heartbeat) {
        while let Some(sent) = self.unechoed.front().copied() {
            if sent.sequence > heartbeat.echo {
                return;
            }
            self.unechoed.pop_front();
            if sent.sequence == heartbeat.echo {
                self.echoed_state = EchoedState::new(heartbeat, sent.sent_at);
                return;
            }
        }
    }
}

impl EchoedState {
    fn new(heartbeat: &Heartbeat, echoed_at: Instant) -> Option<Self> {
        let covered_age = Duration::from_millis(heartbeat.covered_age_ms.into());
        let known_age = Duration::from_millis(heartbeat.known_age_ms.into());
        let own_end = heartbeat
            .applied_offset
            .saturating_add(heartbeat.unread_records);
        Some(Self {
            reported_after: echoed_at.checked_sub(covered_age)?,
            applied_offset: Offset(heartbeat.applied_offset),
            end_offset: Offset(own_end.max(heartbeat.covered_end_offset)),
            instances: heartbeat.covered_instances as usize + 1,
            known_at: echoed_at.checked_sub(known_age)?,
            reads_log: !heartbeat.log_down,
            complete: !heartbeat.incomplete,
        })
    }
}
