//! Which answers to queries of the dispatcher are accepted.

use std::net::SocketAddr;

use lavenderwind::policy::dispatch::{IgnoredAnswer, OpenQueries};

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// An answer from an address that was not queried must not end the query: its own answer may
/// still arrive. Another process on the host of the dispatcher was not queried either.
#[test]
fn other_senders_ignored() {
    let mut queries = OpenQueries::default();
    queries.insert(1, address("10.0.0.1:7000"), ());
    for sender in ["10.0.0.2:7000", "10.0.0.1:7001", "127.0.0.1:7000"] {
        let taken = queries.take(1, address(sender));
        assert_eq!(taken, Err(IgnoredAnswer::Sender), "{sender}");
    }
    assert_eq!(queries.take(1, address("10.0.0.1:7000")), Ok(()));
}

/// Queries that are open while the dispatcher changes must each be answered by the instance
/// that got them; otherwise all of them wait until their timeout.
#[test]
fn dispatcher_change_tolerated() {
    let [former, next] = ["10.0.0.1:7000", "10.0.0.2:7000"].map(address);
    let mut queries = OpenQueries::default();
    queries.insert(1, former, "first");
    queries.insert(2, next, "second");
    assert_eq!(queries.take(2, former), Err(IgnoredAnswer::Sender));
    assert_eq!(queries.take(1, former), Ok("first"));
    assert_eq!(queries.take(2, next), Ok("second"));
}

/// Repeated answers, and answers to queries that have ended, must be told apart from those of
/// other senders: datagrams are late or repeated without any fault of a sender.
#[test]
fn ended_queries_late() {
    let dispatcher = address("10.0.0.1:7000");
    let mut queries = OpenQueries::default();
    queries.insert(1, dispatcher, ());
    queries.insert(2, dispatcher, ());
    queries.remove(1);
    assert_eq!(queries.take(1, dispatcher), Err(IgnoredAnswer::Late));
    assert_eq!(queries.take(2, dispatcher), Ok(()));
    assert_eq!(queries.take(2, dispatcher), Err(IgnoredAnswer::Late));
}

/// An instance that listens on all addresses of its host reaches itself by the loopback
/// address. If its own answers were ignored, each of its prompts would wait for the timeout.
#[test]
fn unspecified_address_answered() {
    for (announced, sender) in [
        ("0.0.0.0:7000", "127.0.0.1:7000"),
        ("[::]:7000", "[::1]:7000"),
    ] {
        let mut queries = OpenQueries::default();
        queries.insert(1, address(announced), ());
        let taken = queries.take(1, address("10.0.0.1:7000"));
        assert_eq!(taken, Err(IgnoredAnswer::Sender), "{announced}");
        assert_eq!(queries.take(1, address(sender)), Ok(()), "{announced}");
    }
}
