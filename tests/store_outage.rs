//! Outages of the store, as the calls of an instance show them.

mod platform_support;

use std::time::Duration;

use lavenderwind::{
    platform::{StoreClient, Topic},
    policy::store_outage::{EndedCall, Outage, Recovery, StoreOutages},
};
use platform_support::{Store, StoreFault};
use tokio::time::sleep;

const TOPIC: Topic = Topic("keyed.test");

fn observe(
    outages: &mut StoreOutages,
    sent_ms: u64,
    ended_ms: u64,
    is_answered: bool,
) -> Option<Outage> {
    outages.observe(&EndedCall {
        sent_ms,
        ended_ms,
        is_answered,
    })
}

/// Guards against an outage that is not noticed, or whose end is taken from another call than
/// the first one that was answered again.
#[test]
fn recovery_noticed() {
    let mut outages = StoreOutages::default();
    observe(&mut outages, 0, 5, true);
    for sent_ms in [1_000, 1_050, 1_400, 7_900] {
        observe(&mut outages, sent_ms, sent_ms + 2, false);
    }
    let outage = observe(&mut outages, 8_400, 8_410, true);
    let expected = Outage {
        duration_ms: 7_410,
        failed_calls: 4,
    };
    assert_eq!(outage, Some(expected));
    observe(&mut outages, 9_000, 9_005, true);
    let expected = Recovery {
        number: 1,
        since_ms: 1_590,
    };
    assert_eq!(outages.recovery(10_000), Some(expected));
}

/// Guards against reports that are delayed because of a single failed call, however long it
/// took, or because of calls that failed at the same moment.
#[test]
fn brief_failures_ignored() {
    let mut outages = StoreOutages::default();
    observe(&mut outages, 0, 5, true);
    // The connection of one call is silent.
    observe(&mut outages, 100, 1_800, false);
    assert_eq!(observe(&mut outages, 1_850, 1_855, true), None);
    for sent_ms in [2_000, 2_010, 2_050] {
        observe(&mut outages, sent_ms, sent_ms + 2, false);
    }
    assert_eq!(observe(&mut outages, 2_200, 2_205, true), None);
    // A call that times out while others are answered shows no outage since it was sent.
    observe(&mut outages, 3_100, 3_110, true);
    observe(&mut outages, 2_500, 3_200, false);
    observe(&mut outages, 2_510, 3_210, false);
    assert_eq!(observe(&mut outages, 3_300, 3_310, true), None);
    assert_eq!(outages.recovery(4_000), None);
}

/// Guards against an end of an outage that is seen too early: the store still answers a read
/// that has waited since before the outage.
#[test]
fn earlier_reads_ignored() {
    let mut outages = StoreOutages::default();
    observe(&mut outages, 0, 5, true);
    for sent_ms in [1_000, 1_500, 2_000] {
        observe(&mut outages, sent_ms, sent_ms + 2, false);
    }
    assert_eq!(observe(&mut outages, 500, 2_500, true), None);
    observe(&mut outages, 6_000, 6_002, false);
    assert!(observe(&mut outages, 6_500, 6_505, true).is_some());
    let recovery = outages.recovery(6_600).unwrap();
    assert_eq!((recovery.number, recovery.since_ms), (1, 95));
}

/// Guards against an outage in which an instance started that it does not notice.
#[test]
fn started_in_outage() {
    let mut outages = StoreOutages::default();
    observe(&mut outages, 10, 12, false);
    observe(&mut outages, 400, 402, false);
    assert!(observe(&mut outages, 900, 905, true).is_some());
}

/// Guards against a client that takes the status of an unavailable store for an answer, or an
/// answer with an error of the caller for an outage, and against clones that know different
/// outages.
#[tokio::test]
async fn statuses_told_apart() {
    let store = Store::start().await;
    let timeout = Duration::from_millis(200);
    let client = StoreClient::new(reqwest::Client::new(), store.address(), timeout);
    let clone = client.clone();
    for status in [410, 503] {
        for _ in 0..3 {
            store.fault("/log-append", StoreFault::Status(status));
            client.append(TOPIC, "a", b"1", None).await.unwrap_err();
            sleep(Duration::from_millis(300)).await;
        }
        client.append(TOPIC, "a", b"1", None).await.unwrap();
        assert_eq!(clone.recovery().is_some(), status == 503, "{status}");
    }
}
