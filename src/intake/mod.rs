//! Admission of callers' connections and bytes, which every listener of a process uses.
//!
//! All listeners share one limit on the memory for what callers send: heads that have not
//! arrived completely, and bodies. Each has a limit on its connections. If one of these is
//! reached, the caller that the process has waited for longest gives way.

mod acceptor;
mod answer_body;
mod body;
mod caller_socket;
mod connection;
mod limits;
mod memory;
mod refusals;
mod stream;
mod watch;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use indexmap::IndexMap;
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{Instant, interval},
};

use self::refusals::Refusals;
use crate::{
    policy::caller_choice::{Activity, Phase, choose},
    sync::lock,
};

pub(crate) use self::{
    acceptor::{accepted, holding},
    answer_body::AnswerBody,
    caller_socket::{CallerSocket, CallerStream},
    watch::{RequestGuard, watch_caller},
};

pub use self::{
    acceptor::{IntakeAcceptor, IntakeHoop, server, service},
    body::{Error, read_body},
    connection::{Connection, Listener},
    limits::IntakeLimits,
    memory::HeldMemory,
    refusals::Reason,
    stream::{Admitted, IntakeStream},
};

/// Interval at which callers that do not read their answers are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Answer to a connection that is not admitted. The request has not been read.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
                         connection: close\r\ncontent-length: 0\r\n\r\n";

/// Connections and memory of all callers of a process.
#[derive(Debug)]
pub struct Intake {
    limits: Mutex<IntakeLimits>,
    started_at: Instant,
    connections: Mutex<IndexMap<(Listener, SocketAddr), Arc<Connection>>>,
    /// Memory reserved for heads and bodies.
    used_bytes: AtomicUsize,
    /// Notified when memory is released.
    released: Notify,
    /// Whether memory for answers is short.
    are_answers_short: AtomicBool,
    refusals: Refusals,
}

impl Intake {
    /// Creates the state for a process with these limits.
    #[must_use]
    pub fn new(limits: IntakeLimits) -> Arc<Self> {
        Arc::new(Self {
            limits: Mutex::new(limits),
            started_at: Instant::now(),
            connections: Mutex::default(),
            used_bytes: AtomicUsize::new(0),
            released: Notify::new(),
            are_answers_short: AtomicBool::new(false),
            refusals: Refusals::default(),
        })
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> IntakeLimits {
        *lock(&self.limits)
    }

    /// Replaces the limits. Connections above a lowered limit stay open.
    pub fn set_limits(&self, limits: IntakeLimits) {
        *lock(&self.limits) = limits;
    }

    /// Admits a new connection, or refuses it and closes it with status 503.
    pub fn admit(
        self: &Arc<Self>,
        listener: Listener,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> Option<(TcpStream, Admitted)> {
        let limits = self.limits();
        let max_connections = limits.max_connections(listener);
        let mut connections = lock(&self.connections);
        let open = connections
            .values()
            .filter(|open| open.holds_place(listener));
        if open.count() >= max_connections && !self.evict_one(&connections, listener, &limits) {
            drop(connections);
            self.refuse(Reason::Connections, listener, peer);
            // The write is not waited for; the caller learns nothing more if it fails.
            let _ = stream.try_write(REFUSAL);
            return None;
        }
        let connection = Arc::new(Connection::new(listener, peer, self.started_at));
        connections.insert((listener, peer), connection.clone());
        drop(connections);
        Some((stream, Admitted::new(self.clone(), connection)))
    }

    /// Returns a connection that is open.
    #[must_use]
    pub fn find(&self, listener: Listener, peer: SocketAddr) -> Option<Arc<Connection>> {
        lock(&self.connections).get(&(listener, peer)).cloned()
    }

    /// Records whether memory for answers is short. If so, callers that read nothing are
    /// closed earlier.
    pub fn set_answers_short(&self, are_short: bool) {
        self.are_answers_short.store(are_short, Ordering::Relaxed);
    }

    /// Closes callers that do not read their answers, until it is cancelled. `are_answers_short`
    /// tells whether memory for answers is short.
    pub async fn watch<F>(self: Arc<Self>, are_answers_short: F)
    where
        F: Fn() -> bool,
    {
        let mut tick = interval(SWEEP_INTERVAL);
        loop {
            tick.tick().await;
            self.set_answers_short(are_answers_short());
            self.sweep();
        }
    }

    fn sweep(&self) {
        let limits = self.limits();
        let max_ms = match self.are_answers_short.load(Ordering::Relaxed) {
            true => limits.short_stall_ms,
            false => limits.answer_stall_ms,
        };
        let now_ms = self.now_ms();
        let open: Vec<_> = lock(&self.connections).values().cloned().collect();
        for connection in open {
            let blocked_at_ms = connection.activity().blocked_at_ms;
            if blocked_at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) >= max_ms) {
                self.close(&connection, Reason::UnreadAnswer);
            }
        }
    }

    /// Closes the connection of a listener that gives way to a new one, if there is one.
    fn evict_one(
        &self,
        connections: &IndexMap<(Listener, SocketAddr), Arc<Connection>>,
        listener: Listener,
        limits: &IntakeLimits,
    ) -> bool {
        let of_listener = connections.values();
        let candidates: Vec<_> = of_listener
            .filter(|open| open.holds_place(listener))
            .collect();
        let activities = candidates.iter().map(|open| open.activity());
        let min_ms = limits.min_wait_ms(listener);
        let Some(index) = choose(activities, min_ms, self.now_ms()) else {
            return false;
        };
        self.close(candidates[index], Reason::GaveWay);
        true
    }

    /// Closes the connection whose body is waited for longest, if one holds memory.
    fn evict_body(&self) -> bool {
        let limits = self.limits();
        let open = lock(&self.connections);
        let holds_memory = |open: &&Arc<Connection>| !open.is_closed() && open.holds_memory();
        let candidates: Vec<_> = open.values().filter(holds_memory).cloned().collect();
        drop(open);
        let activities = candidates.iter().map(|open| open.activity());
        let chosen = choose(activities, limits.short_stall_ms, self.now_ms());
        let Some(index) = chosen else {
            return false;
        };
        self.close(&candidates[index], Reason::GaveWay);
        true
    }

    fn close(&self, connection: &Connection, reason: Reason) {
        if connection.is_closed() {
            return;
        }
        connection.close();
        self.refuse(reason, connection.listener(), connection.peer());
    }

    /// Counts a refusal, and logs it.
    pub fn refuse(&self, reason: Reason, listener: Listener, peer: SocketAddr) {
        self.refusals.record(reason, listener, peer, self.now_ms());
    }

    /// Takes memory; returns `false` if the limit would be exceeded.
    fn take(&self, bytes: usize) -> bool {
        let max_bytes = self.limits().memory_bytes;
        let taken =
            self.used_bytes
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |used_bytes| {
                    let used_bytes = used_bytes + bytes;
                    (used_bytes <= max_bytes).then_some(used_bytes)
                });
        taken.is_ok()
    }

    fn give_back(&self, bytes: usize) {
        if bytes > 0 {
            self.used_bytes.fetch_sub(bytes, Ordering::AcqRel);
            self.released.notify_waiters();
        }
    }

    fn remove(&self, connection: &Arc<Connection>) {
        let key = (connection.listener(), connection.peer());
        let mut connections = lock(&self.connections);
        // A later connection may have the same address.
        if connections
            .get(&key)
            .is_some_and(|open| Arc::ptr_eq(open, connection))
        {
            connections.swap_remove(&key);
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

fn closed_error() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "connection gave way")
}
