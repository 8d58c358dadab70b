//! Queries whose answers are awaited.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use derive_more::Display;
use indexmap::IndexMap;

/// Why an answer has no effect.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum IgnoredAnswer {
    /// No query with its number is open: the query has ended, or never was sent.
    #[display("late")]
    Late,
    /// It comes from another address than that to which the query was sent.
    #[display("sender")]
    Sender,
}

/// Query that has no answer yet.
#[derive(Debug)]
struct OpenQuery<W> {
    dispatcher: SocketAddr,
    waiting: W,
}

/// Queries of one instance that have no answer yet, and the addresses to which they were sent.
///
/// Only the instance that was queried answers. The answer of an instance that is no longer the
/// dispatcher is accepted while its query is open.
///
/// ```
/// use lavenderwind::policy::dispatch::{IgnoredAnswer, OpenQueries};
///
/// let [queried, other] = ["127.0.0.1:1", "127.0.0.1:2"].map(|address| address.parse().unwrap());
/// let mut queries = OpenQueries::default();
/// queries.insert(1, queried, "query");
/// assert_eq!(queries.take(1, other), Err(IgnoredAnswer::Sender));
/// assert_eq!(queries.take(1, queried), Ok("query"));
/// assert_eq!(queries.take(1, queried), Err(IgnoredAnswer::Late));
/// ```
#[derive(Debug)]
pub struct OpenQueries<W> {
    queries: IndexMap<u64, OpenQuery<W>>,
}

impl<W> Default for OpenQueries<W> {
    fn default() -> Self {
        Self {
            queries: IndexMap::new(),
        }
    }
}

impl<W> OpenQueries<W> {
    /// Adds a query that is sent to `dispatcher`. `waiting` is returned with its answer.
    pub fn insert(&mut self, number: u64, dispatcher: SocketAddr, waiting: W) {
        let query = OpenQuery {
            dispatcher,
            waiting,
        };
        self.queries.insert(number, query);
    }

    /// Removes a query whose answer is no longer awaited.
    pub fn remove(&mut self, number: u64) {
        self.queries.swap_remove(&number);
    }

    /// Removes and returns the query with this number, whose answer has arrived from `sender`.
    ///
    /// # Errors
    ///
    /// Fails if the answer is to be ignored. If the query is open, it stays open.
    pub fn take(&mut self, number: u64, sender: SocketAddr) -> Result<W, IgnoredAnswer> {
        let query = self.queries.get(&number).ok_or(IgnoredAnswer::Late)?;
        if answer_address(query.dispatcher) != sender {
            return Err(IgnoredAnswer::Sender);
        }
        let taken = self.queries.swap_remove(&number);
        taken.map(|query| query.waiting).ok_or(IgnoredAnswer::Late)
    }
}

/// Returns the address from which an instance answers that announces `address`. An instance
/// that listens on all addresses of its host announces the unspecified one, at which only those
/// on the same host reach it, by the loopback address.
fn answer_address(address: SocketAddr) -> SocketAddr {
    let ip = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V6(ip) if ip.is_unspecified() => Ipv6Addr::LOCALHOST.into(),
        ip => ip,
    };
    SocketAddr::new(ip, address.port())
}
