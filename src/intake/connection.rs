//! One connection of a caller, as far as admission is concerned.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, Weak,
        atomic::{AtomicUsize, Ordering},
    },
};

use displaydoc::Display;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Activity, CallerSocket, Phase};
use crate::sync;

/// Listener on which a connection has arrived.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum Listener {
    /// callers
    Callers,
    /// readiness
    Readiness,
    /// metrics
    Metrics,
    /// admin
    Admin,
}

/// A connection of a caller.
#[derive(Debug)]
pub struct Connection {
    listener: Listener,
    peer: SocketAddr,
    started_at: Instant,
    activity: Mutex<Activity>,
    /// Memory reserved for the request that arrives.
    held_bytes: AtomicUsize,
    closed: CancellationToken,
    /// Cancelled once the server has given the connection up.
    ended: CancellationToken,
    /// Socket that tells whether the caller is there, at listeners where that is watched.
    socket: OnceLock<Weak<CallerSocket>>,
}

impl Connection {
    pub(super) fn new(listener: Listener, peer: SocketAddr, started_at: Instant) -> Self {
        let now_ms = started_at.elapsed().as_millis() as u64;
        let activity = Activity {
            phase: Phase::Head,
            phase_at_ms: now_ms,
            phase_bytes: 0,
            progress_at_ms: now_ms,
            blocked_at_ms: None,
        };
        Self {
            listener,
            peer,
            started_at,
            activity: Mutex::new(activity),
            held_bytes: AtomicUsize::new(0),
            closed: CancellationToken::new(),
            ended: CancellationToken::new(),
            socket: OnceLock::new(),
        }
    }

    /// Records that the body of a request is read from now on.
    pub fn begin_body(&self) {
        self.enter(Phase::Body);
    }

    /// Records that a request has arrived and is worked on.
    pub fn begin_work(&self) {
        self.enter(Phase::Running);
    }

    /// Records that the answer to a request is complete.
    pub fn end_request(&self) {
        self.enter(Phase::Idle);
    }

    /// Waits until the connection must be closed.
    pub async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Waits until the server has given the connection up.
    pub(super) async fn ended(&self) {
        self.ended.cancelled().await;
    }

    pub(super) fn end(&self) {
        self.ended.cancel();
    }

    pub(crate) fn set_socket(&self, socket: &Arc<CallerSocket>) {
        // A connection has only one socket.
        let _ = self.socket.set(Arc::downgrade(socket));
    }

    pub(super) fn socket(&self) -> Option<Arc<CallerSocket>> {
        self.socket.get()?.upgrade()
    }

    pub(super) fn listener(&self) -> Listener {
        self.listener
    }

    /// Returns the address of the caller.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    pub(super) fn activity(&self) -> Activity {
        *self.lock()
    }

    pub(super) fn close_token(&self) -> CancellationToken {
        self.closed.clone()
    }

    pub(super) fn close(&self) {
        self.closed.cancel();
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Returns whether the connection counts for the limit of a listener.
    pub(super) fn holds_place(&self, listener: Listener) -> bool {
        self.listener == listener && !self.is_closed()
    }

    pub(super) fn holds_memory(&self) -> bool {
        self.held_bytes.load(Ordering::Relaxed) > 0
    }

    pub(super) fn add_held(&self, bytes: usize) {
        self.held_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn remove_held(&self, bytes: usize) {
        self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Records bytes that were read; returns how many belong to a head that has not arrived
    /// completely, and 0 if none does.
    pub(super) fn note_read(&self, bytes: usize) -> u64 {
        let now_ms = self.now_ms();
        let mut activity = self.lock();
        if activity.phase == Phase::Idle {
            activity.phase = Phase::Head;
            activity.phase_at_ms = now_ms;
            activity.phase_bytes = 0;
        }
        activity.progress_at_ms = now_ms;
        activity.phase_bytes += bytes as u64;
        match activity.phase {
            Phase::Head => activity.phase_bytes,
            _ => 0,
        }
    }

    pub(super) fn note_write(&self) {
        let now_ms = self.now_ms();
        let mut activity = self.lock();
        activity.progress_at_ms = now_ms;
        activity.blocked_at_ms = None;
    }

    pub(super) fn note_blocked_write(&self) {
        let now_ms = self.now_ms();
        self.lock().blocked_at_ms.get_or_insert(now_ms);
    }

    fn enter(&self, phase: Phase) {
        let now_ms = self.now_ms();
        let mut activity = self.lock();
        activity.phase = phase;
        activity.phase_at_ms = now_ms;
        activity.phase_bytes = 0;
        activity.progress_at_ms = now_ms;
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, Activity> {
        sync::lock(&self.activity)
    }
}
