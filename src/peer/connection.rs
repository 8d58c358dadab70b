//! A connection to a peer: handshake, sending and receiving.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream::SplitSink, stream::SplitStream};
use prost::Message;
use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
    time::{Instant, sleep_until},
};

use super::{
    Error, Result,
    delta::AmountForm,
    frame::{FramedStream, framed, receive, send},
    frames::{CrashReport, Hello, QuarantineAck, QuarantineNotice, UsageCopy, frame::Body},
    heartbeat::heartbeat_interval,
    membership::PeerIdentity,
    quarantine::QuarantinedRequest,
    shared::Shared,
    suspects::SentFingerprint,
    usage::Source,
};
use crate::log::records::UsageSlice;

/// Capacity, in frames, of a connection's outbox, which queues all frames other than
/// heartbeats and reports.
const OUTBOX_FRAMES: usize = 256;

/// Timeout for receiving the peer's `Hello`, and for sending any frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(2);

type FrameSink = SplitSink<FramedStream, Bytes>;
type FrameSource = SplitStream<FramedStream>;

/// An open connection. Dropping the connection removes its
/// [`Link`](super::link::Link).
struct Connection {
    shared: Arc<Shared>,
    peer: PeerIdentity,
    link_id: u64,
}

/// Exchanges frames with a peer until the connection fails or is replaced by a newer
/// connection to the same peer.
///
/// # Errors
///
/// Always returns an error, which states why the connection ended.
pub(super) async fn run(shared: Arc<Shared>, stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let (mut sink, mut source) = framed(stream).split();
    let own = shared.state().own.clone();
    let hello = Hello {
        sender: own.name.to_string(),
        incarnation: own.incarnation,
        failure_domain: own.failure_domain.to_string(),
        accepts_packed_amounts: true,
    };
    let hello = Body::Hello(hello);
    send(&mut sink, hello, FRAME_TIMEOUT, &shared.traffic).await?;
    let Body::Hello(hello) = receive(&mut source, FRAME_TIMEOUT).await? else {
        return Err(Error::UnexpectedFrame);
    };
    let amount_form = AmountForm::accepted_by(&hello);
    let peer = PeerIdentity {
        name: hello.sender.into(),
        incarnation: hello.incarnation,
        failure_domain: hello.failure_domain.into(),
    };
    let (outbox, outbox_frames) = mpsc::channel(OUTBOX_FRAMES);
    let opened = shared
        .state()
        .open_link(peer.clone(), amount_form, outbox, Instant::now())?;
    tracing::debug!("peer: connected to {}", peer.name);
    let connection = Connection {
        shared,
        peer,
        link_id: opened.id,
    };
    tokio::select! {
        () = opened.replaced.cancelled() => Err(Error::Replaced {
            name: connection.peer.name.clone(),
        }),
        outcome = connection.send_frames(&mut sink, outbox_frames, opened.reports) => outcome,
        outcome = connection.receive_frames(&mut source) => outcome,
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared
            .state()
            .close_link(&self.peer.name, self.link_id);
        self.shared.acks_changed.notify_waiters();
    }
}

impl Connection {
    async fn send_frames(
        &self,
        sink: &mut FrameSink,
        mut outbox_frames: mpsc::Receiver<Body>,
        mut reports: watch::Receiver<u64>,
    ) -> Result<()> {
        let mut next_heartbeat = Instant::now();
        loop {
            tokio::select! {
                () = sleep_until(next_heartbeat) => (),
                () = self.shared.leaving_announced.notified() => (),
                Some(body) = outbox_frames.recv() => {
                    self.send(sink, body).await?;
                    continue;
                }
                Ok(()) = reports.changed() => {
                    self.send_reports(sink).await?;
                    continue;
                }
            }
            next_heartbeat = Instant::now() + self.interval();
            self.send_heartbeat(sink).await?;
        }
    }

    async fn send_heartbeat(&self, sink: &mut FrameSink) -> Result<()> {
        let log = self.shared.log_view();
        let heartbeat = self.shared.state().heartbeat(
            &self.peer.name,
            self.link_id,
            &log,
            self.shared.min_heartbeat_interval,
            Instant::now(),
        );
        self.send(sink, Body::Heartbeat(heartbeat?)).await
    }

    async fn send_reports(&self, sink: &mut FrameSink) -> Result<()> {
        let frames = {
            let mut state = self.shared.state();
            state.take_reports(&self.peer.name, self.link_id)?
        };
        for frame in frames {
            self.send(sink, frame).await?;
        }
        Ok(())
    }

    async fn send(&self, sink: &mut FrameSink, body: Body) -> Result<()> {
        send(sink, body, FRAME_TIMEOUT, &self.shared.traffic).await
    }

    /// Returns the heartbeat interval for the current number of links.
    fn interval(&self) -> Duration {
        let links = self.shared.state().links.len();
        heartbeat_interval(links, self.shared.min_heartbeat_interval)
    }

    async fn receive_frames(&self, source: &mut FrameSource) -> Result<()> {
        let mut timeout = self.shared.receive_timeout(0);
        loop {
            let body = receive(source, timeout).await?;
            self.shared
                .state()
                .observe_frame(&self.peer, Instant::now())?;
            if let Body::Heartbeat(heartbeat) = &body {
                timeout = self.shared.receive_timeout(heartbeat.interval_ms);
            }
            self.handle_frame(body)?;
        }
    }

    fn handle_frame(&self, body: Body) -> Result<()> {
        let now = Instant::now();
        match body {
            Body::Hello(_) => Err(Error::UnexpectedFrame),
            Body::Heartbeat(heartbeat) => {
                let mut state = self.shared.state();
                state.receive_heartbeat(&self.peer, self.link_id, &heartbeat, now)
            }
            Body::LogRequest(request) => {
                let response = self.shared.serve_log_request(&request);
                self.enqueue(response);
                Ok(())
            }
            Body::LogTail(tail) => {
                let relayed = self.shared.state().accept_log_tail(&self.peer.name, tail);
                if let Some(relayed) = relayed {
                    // If the channel is full, the tailer is still applying earlier
                    // records. These records are dropped and requested again later.
                    let _ = self.shared.log.relayed.try_send(relayed);
                }
                Ok(())
            }
            Body::QuarantineNotice(notice) => {
                self.handle_quarantine_notice(notice);
                Ok(())
            }
            Body::QuarantineAck(ack) => {
                self.handle_quarantine_ack(ack);
                Ok(())
            }
            Body::CrashReport(report) => {
                self.handle_crash_report(report);
                Ok(())
            }
            Body::SoundReport(report) => {
                let mut state = self.shared.state();
                state.add_sound_report(&report, &self.peer.name);
                Ok(())
            }
            Body::TargetNotice(notice) => {
                let from = Some(&*self.peer.name);
                self.shared.state().add_notice(notice, from);
                Ok(())
            }
            Body::UsageCopy(copy) => self.handle_usage_copy(&copy),
            Body::UsageFlushed(flushed) => {
                let mut state = self.shared.state();
                let source = self.usage_source();
                state.usage_copies.remove_flushed(&source, flushed.slice);
                Ok(())
            }
        }
    }

    fn handle_quarantine_notice(&self, notice: QuarantineNotice) {
        let request = QuarantinedRequest {
            account: notice.account.into(),
            body_digest: notice.body_digest.into(),
        };
        self.shared
            .state()
            .add_quarantined(request, Some(&self.peer.name));
        if notice.number > 0 {
            self.enqueue(Body::QuarantineAck(QuarantineAck {
                number: notice.number,
            }));
        }
    }

    fn handle_quarantine_ack(&self, ack: QuarantineAck) {
        let mut state = self.shared.state();
        if let Some(link) = state.links.get_mut(&self.peer.name) {
            link.acknowledged_notice = link.acknowledged_notice.max(ack.number);
        }
        drop(state);
        self.shared.acks_changed.notify_waiters();
    }

    fn handle_crash_report(&self, report: CrashReport) {
        let mut in_flight = Vec::with_capacity(report.fingerprints.len());
        for (index, &fingerprint) in report.fingerprints.iter().enumerate() {
            in_flight.push(SentFingerprint {
                fingerprint,
                age_ms: report.sent_ages_ms.get(index).copied().unwrap_or(0),
            });
        }
        let mut state = self.shared.state();
        state.add_crash(&report.boot.into(), &in_flight, Some(&self.peer.name));
    }

    fn handle_usage_copy(&self, copy: &UsageCopy) -> Result<()> {
        let slice = UsageSlice::decode(&*copy.slice)?;
        let measured_by_peer =
            *slice.source == *self.peer.name && slice.source_incarnation == self.peer.incarnation;
        if !measured_by_peer {
            return Err(Error::UnexpectedFrame);
        }
        let mut state = self.shared.state();
        state.usage_copies.insert(self.usage_source(), slice);
        Ok(())
    }

    fn usage_source(&self) -> Source {
        Source {
            name: self.peer.name.clone(),
            incarnation: self.peer.incarnation,
        }
    }

    /// Adds a frame to the outbox of the current connection to the peer.
    fn enqueue(&self, body: Body) {
        let state = self.shared.state();
        let Some(link) = state.links.get(&self.peer.name) else {
            return;
        };
        // If the outbox is full, the frame is dropped. The peer repeats an
        // unanswered log request, and stops waiting for an acknowledgement after a
        // timeout.
        let _ = link.outbox.try_send(body);
    }
}
