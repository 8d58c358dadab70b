//! Tests the exchange of loads, usage, quarantine notices and log records
//! between connected instances.

mod peer_net;

use lavenderwind::{
    infra::{
        LiveClient,
        protocol::{LiveInstance, LiveState},
    },
    log::records::{RequestClaim, UsageLine, UsageSlice, record::Body},
    peer::{Freshness, TargetLoad},
    standin::platform::PlatformFaults,
};
use peer_net::{CuttableProxy, DEADLINE, Instance, Options, eventually, platform};

fn claim(number: usize) -> Body {
    Body::RequestClaim(RequestClaim {
        account: "quotes/a".into(),
        idempotency_key: format!("key-{number}"),
        body_digest: vec![1; 32],
    })
}

/// Loads, served tokens, quarantine notices and the leaving flag reach the peers.
#[tokio::test]
async fn reports_reach_peers() {
    let platform = platform(PlatformFaults::default()).await;
    let a = Instance::start("a", &platform).await;
    let b = Instance::start("b", &platform).await;
    let c = Instance::start("c", &platform).await;
    for instance in [&a, &b, &c] {
        instance.wait_connected(2).await;
        eventually("three live", || *instance.live_instances.borrow() == 3).await;
    }
    let load = TargetLoad {
        requests: 2,
        tokens: 900,
        blocks: 12,
    };
    a.handle.report_load("t1", load);
    b.handle.report_load("t1", load);
    eventually("sum at c", || c.handle.peer_loads("t1").tokens == 1_800).await;
    eventually("load of b at a", || a.handle.peer_loads("t1") == load).await;
    a.handle.report_load("t1", TargetLoad::default());
    eventually("idle again", || c.handle.peer_loads("t1") == load).await;

    a.handle.report_amount("quotes/x", 70);
    a.handle.report_amount("quotes/x", 30);
    a.handle.report_amount("other", 5);
    // Amounts under other names stay for their consumers.
    eventually("other at b", || {
        let taken = b.handle.take_peer_amounts_of(|name| name == "other");
        taken.iter().map(|reported| reported.amount).sum::<u64>() == 5
    })
    .await;
    let mut tokens = 0;
    eventually("tokens at b", || {
        for reported in b.handle.take_peer_amounts() {
            assert_eq!(&*reported.name, "quotes/x");
            tokens += reported.amount;
        }
        tokens == 100
    })
    .await;

    assert!(!b.handle.is_quarantined("quotes/x", &[7; 32]));
    a.handle.notify_quarantine("quotes/x", &[7; 32]).await;
    for peer in [&b, &c] {
        assert!(peer.handle.is_quarantined("quotes/x", &[7; 32]));
    }

    a.handle.announce_leaving();
    eventually("leaving", || {
        b.handle
            .live()
            .iter()
            .any(|peer| *peer.name == *"a" && peer.leaving)
    })
    .await;
}

/// An instance that cannot reach the log receives the records from its peers.
#[tokio::test]
async fn relay_without_log() {
    let platform = platform(PlatformFaults::default()).await;
    let log_proxy = CuttableProxy::start(platform.addr()).await;
    let a = Instance::start("a", &platform).await;
    let b = Instance::start("b", &platform).await;
    let c = Instance::start_with(Options {
        name: "c",
        incarnation: 1,
        log_url: format!("http://{}", log_proxy.address),
        live_url: platform.url(),
        seed_peers: Vec::new(),
        extra_settings: "  platform_timeout_ms: 200",
    })
    .await;
    c.wait_connected(2).await;
    let first = a.append(claim(1)).await.offset;
    c.wait_applied(first).await;
    assert_eq!(c.handle.freshness(), Freshness::ByLog);

    log_proxy.set_cut(true);
    let mut last = first;
    for number in 2..40 {
        last = b.append(claim(number)).await.offset;
    }
    c.wait_applied(last).await;
    eventually("fresh by relay", || {
        c.handle.freshness() == Freshness::ByRelay
    })
    .await;
    assert_eq!(
        c.ledger.read(|ledger| ledger.digest()),
        b.ledger.read(|ledger| ledger.digest())
    );

    log_proxy.set_cut(false);
    eventually("fresh by the log", || {
        c.handle.freshness() == Freshness::ByLog
    })
    .await;
}

/// During an outage of the log, requests that need an API key are served only while all
/// other listed instances confirm the outage.
#[tokio::test]
async fn outage_for_all() {
    let platform = platform(PlatformFaults {
        live_ttl_ms: 60_000,
        ..PlatformFaults::default()
    })
    .await;
    let a = Instance::start("a", &platform).await;
    let b = Instance::start("b", &platform).await;
    let c = Instance::start("c", &platform).await;
    let last = a.append(claim(1)).await.offset;
    for instance in [&a, &b, &c] {
        instance.wait_connected(2).await;
        instance.wait_applied(last).await;
    }
    let mut faults = PlatformFaults {
        live_ttl_ms: 60_000,
        ..PlatformFaults::default()
    };
    faults.log.outage = true;
    platform.set_faults(faults);
    eventually("fresh by outage", || {
        a.handle.freshness() == Freshness::ByOutage
    })
    .await;
    assert!(a.handle.may_serve_keyed());

    // A listed instance that does not respond might still be reading the log.
    c.kill().await;
    eventually("stale", || !a.handle.may_serve_keyed()).await;
}

/// An instance without peers is stale during an outage of the log.
#[tokio::test]
async fn single_instance_stale() {
    let platform = platform(PlatformFaults::default()).await;
    let a = Instance::start("a", &platform).await;
    eventually("fresh", || a.handle.freshness() == Freshness::ByLog).await;
    let mut faults = PlatformFaults::default();
    faults.log.outage = true;
    platform.set_faults(faults);
    eventually("stale", || a.handle.freshness() == Freshness::Stale).await;
}

fn slice(number: u64, tokens: u64) -> UsageSlice {
    UsageSlice {
        source: "a".into(),
        source_incarnation: 1,
        slice: number,
        window: 1,
        lines: vec![UsageLine {
            service: "quotes".into(),
            account: "x".into(),
            requests: 1,
            prompt_tokens: 1,
            output_tokens: tokens,
        }],
    }
}

/// A peer flushes the usage slices of a source that terminated before it flushed them.
#[tokio::test]
async fn terminated_source_flushed() {
    let platform = platform(PlatformFaults {
        live_ttl_ms: 300,
        ..PlatformFaults::default()
    })
    .await;
    let a = Instance::start("a", &platform).await;
    let b = Instance::start("b", &platform).await;
    let c = Instance::start("c", &platform).await;
    a.wait_connected(2).await;
    // The source flushes slice 1 itself. Slice 2 grows and is not flushed.
    a.handle.copy_usage(slice(1, 10));
    a.append(Body::UsageSlice(slice(1, 10))).await;
    a.handle.usage_flushed(1);
    a.handle.copy_usage(slice(2, 20));
    a.handle.copy_usage(slice(2, 25));
    // The notice uses the same outbox, so its acknowledgement shows that the
    // copies have arrived.
    a.handle.notify_quarantine("quotes/x", &[1]).await;
    assert!(c.handle.is_quarantined("quotes/x", &[1]));
    assert!(!b.ledger.read(|ledger| ledger.has_counted_slice("a", 1, 2)));
    a.kill().await;
    eventually("flushed by a peer", || {
        b.ledger.read(|ledger| ledger.has_counted_slice("a", 1, 2))
    })
    .await;
    assert!(b.ledger.read(|ledger| ledger.has_counted_slice("a", 1, 1)));
}

/// Guards against two instances that replace each other's connections forever:
/// an instance that cannot read the live list dials its seed, while the seed
/// dials it from the list. One of the connections must stay open.
#[tokio::test]
async fn seed_connection_stable() {
    let platform = platform(PlatformFaults {
        live_ttl_ms: 60_000,
        ..PlatformFaults::default()
    })
    .await;
    let a = Instance::start("a", &platform).await;
    let seed_proxy = CuttableProxy::start(a.peer_address).await;
    let b = Instance::start_with(Options {
        name: "b",
        incarnation: 1,
        log_url: platform.url(),
        live_url: "http://127.0.0.1:9".into(),
        seed_peers: vec![seed_proxy.address],
        extra_settings: "",
    })
    .await;
    a.wait_connected(1).await;
    let entry = LiveInstance {
        name: "b".into(),
        incarnation: 1,
        failure_domain: "d-b".into(),
        peer_address: b.peer_address.to_string().into(),
        admin_address: "127.0.0.1:1".into(),
        state: LiveState::Live,
    };
    let client = LiveClient::new(reqwest::Client::new(), &platform.url(), DEADLINE);
    client.announce(&entry).await.unwrap();
    eventually("listed", || a.handle.live().iter().any(|peer| peer.listed)).await;
    let sent = a.handle.sent_frames().frames;
    eventually("heartbeats", || a.handle.sent_frames().frames > sent + 60).await;
    let dials = seed_proxy.accepted();
    assert!(dials <= 2, "b dialed its seed {dials} times");
}
