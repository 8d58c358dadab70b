//! State of one connection to a peer.

use std::{collections::VecDeque, time::Duration};

use tokio::{sync::mpsc, time::Instant};
use tokio_util::sync::CancellationToken;

use super::{
    Result,
    delta::{AmountForm, DeltaDecoder, DeltaEncoder, ReceivedAmount},
    frames::{Heartbeat, frame::Body},
    freshness::PeerLogPosition,
    membership::PeerIdentity,
    target_list::{ListReceiver, ListSender},
};
use crate::log::Offset;

/// Maximum number of sent heartbeats that are kept until the peer echoes them.
const MAX_UNECHOED: usize = 64;

/// State of one connection to a peer.
#[derive(Debug)]
pub(super) struct Link {
    /// Identifies the connection among all connections of this instance, including
    /// earlier ones to the same peer.
    pub(super) id: u64,
    /// Identity of the peer.
    pub(super) peer: PeerIdentity,
    /// Queue of outgoing frames other than heartbeats and reports.
    pub(super) outbox: mpsc::Sender<Body>,
    /// Cancelled when a newer connection to the peer replaces this one.
    pub(super) replaced: CancellationToken,
    /// Encoder of the loads and amounts that are sent.
    pub(super) encoder: DeltaEncoder,
    /// Decoder of the loads and amounts that are received. Contains the loads that
    /// the peer last reported.
    pub(super) decoder: DeltaDecoder,
    /// Reports the known list of targets to the peer.
    pub(super) list_sender: ListSender,
    /// The list of targets that the peer knows.
    pub(super) list_receiver: ListReceiver,
    /// When the pending log request was sent; `None` if none is pending.
    pub(super) log_requested_at: Option<Instant>,
    /// Start offset of the last log request that the peer could not serve.
    pub(super) missing_offset: Option<Offset>,
    /// Number of the last quarantine notice that the peer acknowledged.
    pub(super) acknowledged_notice: u64,
    /// Number of the next report to send; `None` if all that is known is to be sent.
    pub(super) next_report: Option<u64>,
    last_received_sequence: u64,
    last_sent_sequence: u64,
    /// Sent heartbeats that the peer has not echoed yet, in the order sent.
    unechoed: VecDeque<SentHeartbeat>,
    echoed_state: Option<EchoedState>,
}

#[derive(Clone, Copy, Debug)]
struct SentHeartbeat {
    sequence: u64,
    sent_at: Instant,
}

/// State reported in the peer's last heartbeat that echoed a heartbeat of this
/// instance. The echo shows that the state was reported after that heartbeat was
/// sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct EchoedState {
    /// Instant after which this state, and all forwarded states, were reported.
    pub(super) reported_after: Instant,
    /// Last offset that the peer has applied.
    pub(super) applied_offset: Offset,
    /// Highest offset known to the peer or to any other instance that its report
    /// covers.
    pub(super) end_offset: Offset,
    /// Number of instances that the report covers, including the peer.
    pub(super) instances: usize,
    /// The peer knows all records appended before this instant.
    pub(super) current_as_of: Instant,
    /// Whether the peer can read the log.
    pub(super) reads_log: bool,
    /// Whether the peer's ledger misses no record.
    pub(super) complete: bool,
}

impl Link {
    pub(super) fn new(
        id: u64,
        peer: PeerIdentity,
        amount_form: AmountForm,
        outbox: mpsc::Sender<Body>,
    ) -> Self {
        Self {
            id,
            peer,
            outbox,
            replaced: CancellationToken::new(),
            encoder: DeltaEncoder::new(amount_form),
            decoder: DeltaDecoder::default(),
            list_sender: ListSender::default(),
            list_receiver: ListReceiver::default(),
            log_requested_at: None,
            missing_offset: None,
            acknowledged_notice: 0,
            next_report: None,
            last_received_sequence: 0,
            last_sent_sequence: 0,
            unechoed: VecDeque::new(),
            echoed_state: None,
        }
    }

    /// Sets the sequence number and echo of a heartbeat that is sent now.
    pub(super) fn assign_sequence(&mut self, heartbeat: &mut Heartbeat, now: Instant) {
        self.last_sent_sequence += 1;
        heartbeat.sequence = self.last_sent_sequence;
        heartbeat.echo = self.last_received_sequence;
        if self.unechoed.len() == MAX_UNECHOED {
            self.unechoed.pop_front();
        }
        self.unechoed.push_back(SentHeartbeat {
            sequence: self.last_sent_sequence,
            sent_at: now,
        });
    }

    /// Applies a heartbeat and returns the reported amounts.
    ///
    /// # Errors
    ///
    /// Fails if the heartbeat refers to an undefined name or defines too many names.
    pub(super) fn apply_heartbeat(&mut self, heartbeat: &Heartbeat) -> Result<Vec<ReceivedAmount>> {
        self.last_received_sequence = heartbeat.sequence;
        let amounts = self.decoder.apply(heartbeat)?;
        let echoed_at = self.take_echoed(heartbeat.echo);
        if let Some(echoed_at) = echoed_at {
            self.echoed_state = EchoedState::new(heartbeat, echoed_at);
        }
        self.list_receiver.apply(heartbeat, echoed_at);
        Ok(amounts)
    }

    /// Returns the state in the peer's last heartbeat that echoed a known heartbeat of
    /// this instance.
    pub(super) fn echoed_state(&self) -> Option<&EchoedState> {
        self.echoed_state.as_ref()
    }

    /// Returns the peer's log position, which is used to evaluate freshness.
    pub(super) fn log_position(&self) -> Option<PeerLogPosition> {
        let echoed_state = self.echoed_state?;
        Some(PeerLogPosition {
            name: self.peer.name.clone(),
            reported_after: echoed_state.reported_after,
            end_offset: echoed_state.end_offset,
            instances: echoed_state.instances,
        })
    }

    /// Returns the send time of the heartbeat that the peer echoed, unless it echoed it
    /// before.
    ///
    /// What the peer reports is stored with this time. The time of arrival cannot be used,
    /// because frames that were buffered while this process was paused would appear to be
    /// recent.
    fn take_echoed(&mut self, echo: u64) -> Option<Instant> {
        while let Some(sent) = self.unechoed.front().copied() {
            if sent.sequence > echo {
                return None;
            }
            self.unechoed.pop_front();
            if sent.sequence == echo {
                return Some(sent.sent_at);
            }
        }
        None
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
            current_as_of: echoed_at.checked_sub(known_age)?,
            reads_log: !heartbeat.log_down,
            complete: !heartbeat.incomplete,
        })
    }
}
