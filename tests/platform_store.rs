//! Tests of the client of the platform's store against a stand-in store.

mod platform_support;

use std::time::Duration;

use lavenderwind::platform::{Appended, StoreClient, StoreError, Topic};
use platform_support::{Store, StoreFault};

const TOPIC: Topic = Topic("keyed.test");
const WAIT: Duration = Duration::from_millis(50);

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
            offset: 0,
            end_offset: 1
        }
    );
    client.append(TOPIC, "a", b"", None).await.unwrap();
    let batch = client.read(TOPIC, 0, WAIT).await.unwrap();
    assert_eq!((batch.next_offset, batch.end_offset), (2, 2));
    assert_eq!(batch.records[0].value.as_deref(), Some(&b"1"[..]));
    assert_eq!(
        batch.records[1].value, None,
        "a record without a value deletes its key"
    );
    let batch = client.read(TOPIC, 2, WAIT).await.unwrap();
    assert!(batch.records.is_empty());
}

#[tokio::test]
async fn wrong_offset_rejected() {
    let (_store, client) = start_store().await;
    client.append(TOPIC, "a", b"1", Some(0)).await.unwrap();
    let refused = client.append(TOPIC, "a", b"2", Some(0)).await.unwrap_err();
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
    assert_eq!(newest.next_offset, 6);
}

#[tokio::test]
async fn trimmed_read_fails() {
    let (store, client) = start_store().await;
    for _ in 0..3 {
        client.append(TOPIC, "a", b"1", None).await.unwrap();
    }
    store.state.lock().unwrap().trim("keyed.test", 2);
    let error = client.read(TOPIC, 0, WAIT).await.unwrap_err();
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
    assert_eq!((appended.offset, appended.end_offset), (0, 2));
    let batch = client.read(TOPIC, 0, WAIT).await.unwrap();
    let keys: Vec<&str> = batch.records.iter().map(|record| &*record.key).collect();
    assert_eq!(keys, ["a", "b"]);
    let refused = client.append_all(TOPIC, &records, Some(1)).await;
    assert!(matches!(
        refused,
        Err(StoreError::EndOffsetMismatch { end_offset: 2 })
    ));
}
