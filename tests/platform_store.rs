//! Tests of the client of the platform's store against a stand-in store.

mod platform_support;

use std::time::Duration;

use lavenderwind::platform::{Appended, Position, StoreClient, StoreError, Topic};
use platform_support::{Store, StoreFault};

const TOPIC: Topic = Topic("keyed.test");
const WAIT: Duration = Duration::from_millis(50);

/// Returns a position in the first era of the store.
fn at(offset: u64) -> Position {
    Position { era: 0, offset }
}

async fn start_store() -> (Store, StoreClient) {
    let store = Store::start().await;
    let client = StoreClient::new(
        reqwest::Client::new(),
        store.address(),
        Duration::from_millis(200),
    );
    (store, client)
}

#[tokio::test]
async fn appended_records_read() {
    let (_store, client) = start_store().await;
    let first = client.append(TOPIC, "a", b"1", None).await.unwrap();
    assert_eq!(
        first,
        Appended {
            first: at(0),
            end: at(1)
        }
    );
    client.append(TOPIC, "a", b"", None).await.unwrap();
    let batch = client.read(TOPIC, at(0), WAIT).await.unwrap();
    assert_eq!((batch.next, batch.end_offset), (at(2), 2));
    assert_eq!(batch.records[0].value.as_deref(), Some(&b"1"[..]));
    assert_eq!(
        batch.records[1].value, None,
        "a record without a value deletes its key"
    );
    let batch = client.read(TOPIC, at(2), WAIT).await.unwrap();
    assert!(batch.records.is_empty());
}

#[tokio::test]
async fn wrong_offset_rejected() {
    let (_store, client) = start_store().await;
    client.append(TOPIC, "a", b"1", Some(at(0))).await.unwrap();
    let refused = client
        .append(TOPIC, "a", b"2", Some(at(0)))
        .await
        .unwrap_err();
    assert!(matches!(
        refused,
        StoreError::EndOffsetMismatch { end_offset: 1 }
    ));
    assert!(!refused.may_be_executed());
}

/// `newest` returns the last record of each key, without deleted keys.
#[tokio::test]
async fn newest_per_key() {
    let (_store, client) = start_store().await;
    for (key, value) in [
        ("a", "1"),
        ("b", "2"),
        ("a", "3"),
        ("c", "4"),
        ("d", "5"),
        ("b", ""),
    ] {
        client
            .append(TOPIC, key, value.as_bytes(), None)
            .await
            .unwrap();
    }
    let newest = client.newest(TOPIC).await.unwrap();
    let found: Vec<_> = newest
        .records
        .iter()
        .map(|record| (&*record.key, record.offset))
        .collect();
    assert_eq!(found, [("a", 2), ("c", 3), ("d", 4)]);
    assert_eq!(newest.next, at(6));
}

#[tokio::test]
async fn trimmed_read_fails() {
    let (store, client) = start_store().await;
    for _ in 0..3 {
        client.append(TOPIC, "a", b"1", None).await.unwrap();
    }
    store.state.lock().unwrap().trim("keyed.test", 2);
    let error = client.read(TOPIC, at(0), WAIT).await.unwrap_err();
    assert!(matches!(error, StoreError::Trimmed { first_offset: 2 }));
}

/// A failed append reports whether it may have been executed.
#[tokio::test]
async fn failed_append_execution() {
    // Fault, expected `may_be_executed`, and whether the append was executed.
    let cases = [
        (StoreFault::Status(429), false, false),
        (StoreFault::Status(503), false, false),
        (StoreFault::LostAnswer, true, true),
        (StoreFault::NoAnswer, true, false),
        (StoreFault::Malformed, true, false),
    ];
    for (fault, may_be_executed, executed) in cases {
        let (store, client) = start_store().await;
        store.fault("append", fault.clone());
        let error = client.append(TOPIC, "a", b"1", None).await.unwrap_err();
        assert_eq!(error.may_be_executed(), may_be_executed, "{fault:?}");
        let newest = client.newest(TOPIC).await.unwrap();
        assert_eq!(!newest.records.is_empty(), executed, "{fault:?}");
    }
}

/// An append to an unreachable store counts as not sent.
#[tokio::test]
async fn unreachable_not_sent() {
    let (store, client) = start_store().await;
    drop(store);
    let refused = StoreClient::new(
        reqwest::Client::new(),
        "127.0.0.1:1".parse().unwrap(),
        Duration::from_millis(200),
    );
    let error = refused.append(TOPIC, "a", b"1", None).await.unwrap_err();
    assert!(matches!(error, StoreError::NotSent(_)), "{error}");
    drop(client);
}

/// A cut answer reports how much of it had arrived.
#[tokio::test]
async fn cut_answer_size() {
    let (store, client) = start_store().await;
    store.fault("newest", StoreFault::CutAnswer(40));
    let error = client.newest(TOPIC).await.unwrap_err();
    assert_eq!(error.received_bytes(), 40, "{error}");
}

#[tokio::test]
async fn records_appended_together() {
    let (_store, client) = start_store().await;
    let records = [
        ("a".to_owned(), b"1".to_vec()),
        ("b".to_owned(), b"2".to_vec()),
    ];
    let appended = client.append_all(TOPIC, &records, None).await.unwrap();
    assert_eq!((appended.first, appended.end), (at(0), at(2)));
    let batch = client.read(TOPIC, at(0), WAIT).await.unwrap();
    let keys: Vec<&str> = batch.records.iter().map(|record| &*record.key).collect();
    assert_eq!(keys, ["a", "b"]);
    let refused = client.append_all(TOPIC, &records, Some(at(1))).await;
    assert!(matches!(
        refused,
        Err(StoreError::EndOffsetMismatch { end_offset: 2 })
    ));
}

/// Positions that were read before a restore are refused, though the restored store has
/// records at their offsets.
#[tokio::test]
async fn earlier_era_refused() {
    let (store, client) = start_store().await;
    for _ in 0..3 {
        client.append(TOPIC, "a", b"1", None).await.unwrap();
    }
    let copy = store.copy();
    store.restore(&copy);
    let error = client.read(TOPIC, at(1), WAIT).await.unwrap_err();
    assert!(matches!(error, StoreError::Restored), "{error}");
    assert_eq!(client.era().number, 1);
    let calls = store.state.lock().unwrap().calls.len();
    let refused = client.append(TOPIC, "a", b"2", Some(at(3))).await;
    assert!(matches!(refused, Err(StoreError::Restored)));
    assert_eq!(store.state.lock().unwrap().calls.len(), calls, "not sent");
    let next = client.newest(TOPIC).await.unwrap().next;
    assert_eq!(next, Position { era: 1, offset: 3 });
    client.append(TOPIC, "a", b"2", Some(next)).await.unwrap();
}

/// A conditional append that a restored store executes by chance is not taken for one of
/// the earlier era.
#[tokio::test]
async fn append_across_restore() {
    let (store, client) = start_store().await;
    client.append(TOPIC, "a", b"1", None).await.unwrap();
    let copy = store.copy();
    store.restore(&copy);
    let error = client.append(TOPIC, "a", b"2", Some(at(1))).await;
    let error = error.unwrap_err();
    assert!(matches!(error, StoreError::Restored), "{error}");
    assert!(error.may_be_executed());
}

/// A snapshot of an earlier era than the latest known one is refused.
#[tokio::test]
async fn earlier_snapshot_refused() {
    let (_store, client) = start_store().await;
    client.append(TOPIC, "a", b"1", None).await.unwrap();
    client.note_era(3);
    let error = client.newest(TOPIC).await.unwrap_err();
    assert!(matches!(error, StoreError::Restored), "{error}");
}

/// Positions of a later era have greater numbers, from which they are found again.
#[test]
fn position_numbers() {
    let positions = [
        (0, 0),
        (0, 1),
        (0, 4_000_000_000),
        (1, 0),
        (1, 7),
        (2, 0),
        (300, 5),
    ];
    let mut last = 0;
    for (era, offset) in positions {
        let position = Position { era, offset };
        assert!(position.number() > last, "{position}");
        last = position.number();
        assert_eq!(Position::from_number(last), Some(position));
    }
    assert_eq!(Position::from_number(0), None);
}
