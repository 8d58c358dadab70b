//! Tests the HTTP interface of the platform's log, as implemented by the stand-in
//! platform.

use std::time::Duration;

use bytes::Bytes;
use lavenderwind::{
    infra::protocol::{AppendRequest, AppendResponse, ReadResponse, TrimmedResponse},
    standin::{
        loopback,
        platform::{Platform, PlatformFaults},
    },
    target::http_client,
};
use prost::Message;
use tokio::time::timeout;

/// Timeout that makes a hanging test fail.
const DEADLINE: Duration = Duration::from_secs(20);

/// Settings without faults and with a rate limit that no test reaches.
fn fast() -> PlatformFaults {
    PlatformFaults {
        appends_per_s: 100_000,
        ..PlatformFaults::default()
    }
}

/// Appends records and returns the offset of the first record.
async fn append(platform: &Platform, records: &[&'static str]) -> reqwest::Result<u64> {
    let records = records
        .iter()
        .map(|record| Bytes::from_static(record.as_bytes()));
    let request = AppendRequest {
        records: records.collect(),
    };
    let url = format!("{}/log/append", platform.url());
    let client = http_client()?;
    let sent = client
        .post(url)
        .body(request.encode_to_vec())
        .send()
        .await?;
    let body = sent.error_for_status()?.bytes().await?;
    Ok(AppendResponse::decode(body).expect("protobuf").first_offset)
}

async fn read(
    platform: &Platform,
    from: u64,
    wait_ms: u64,
) -> Result<ReadResponse, TrimmedResponse> {
    let url = format!(
        "{}/log/read?from={from}&max=100&wait_ms={wait_ms}",
        platform.url()
    );
    let client = http_client().expect("client");
    let response = client.get(url).send().await.expect("answer");
    if response.status() == reqwest::StatusCode::GONE {
        return Err(response.json().await.expect("json"));
    }
    let body = response.bytes().await.expect("body");
    Ok(ReadResponse::decode(body).expect("protobuf"))
}

fn records(page: &ReadResponse) -> Vec<&[u8]> {
    page.entries.iter().map(|entry| &entry.record[..]).collect()
}

#[tokio::test]
async fn read_in_order() {
    let platform = Platform::start(loopback(), fast()).await.expect("platform");
    assert_eq!(append(&platform, &["a", "b"]).await.expect("append"), 1);
    assert_eq!(append(&platform, &["c"]).await.expect("append"), 3);
    let page = read(&platform, 2, 0).await.expect("page");
    assert_eq!(records(&page), [b"b", b"c"]);
    assert_eq!(page.entries[0].offset, 2);
    assert_eq!(page.next_offset, 4);
    assert_eq!(page.oldest_offset, 1);
}

/// A waiting read returns as soon as a record is appended.
#[tokio::test]
async fn waiting_read_returns() {
    let platform = Platform::start(loopback(), fast()).await.expect("platform");
    let reader = read(&platform, 1, 60_000);
    let writer = async {
        tokio::task::yield_now().await;
        append(&platform, &["a"]).await
    };
    let both = async { tokio::join!(reader, writer) };
    let (page, offset) = timeout(DEADLINE, both).await.expect("the reader is woken");
    assert_eq!(records(&page.expect("page")), [b"a"]);
    assert_eq!(offset.expect("append"), 1);
}

#[tokio::test]
async fn trimmed_read_fails() {
    let mut faults = fast();
    faults.retention_records = 2;
    let platform = Platform::start(loopback(), faults).await.expect("platform");
    append(&platform, &["a", "b", "c", "d"])
        .await
        .expect("append");
    let trimmed = read(&platform, 2, 0).await.expect_err("trimmed");
    assert_eq!(trimmed.oldest_offset, 3);
    assert_eq!(trimmed.next_offset, 5);
    let page = read(&platform, 3, 0).await.expect("page");
    assert_eq!(records(&page), [b"c", b"d"]);
}

/// An append takes effect if only its response is lost, and not in an outage.
#[tokio::test]
async fn append_response_lost() {
    for (name, outage, lose_answers, appended) in [
        ("outage", true, 0, false),
        ("response lost after the append", false, 1, true),
    ] {
        let mut faults = fast();
        faults.log.outage = outage;
        faults.log.lose_answers = lose_answers;
        let platform = Platform::start(loopback(), faults).await.expect("platform");
        append(&platform, &["a"]).await.expect_err(name);
        platform.set_faults(fast());
        let page = read(&platform, 1, 0).await.expect("page");
        assert_eq!(!page.entries.is_empty(), appended, "{name}");
    }
}

/// The seed of the faults determines which responses are lost.
#[tokio::test]
async fn seeded_response_loss() {
    let mut outcomes = Vec::new();
    for _ in 0..2 {
        let mut faults = fast();
        faults.log.lose_probability = 0.5;
        faults.log.seed = 0x5eed;
        let platform = Platform::start(loopback(), faults).await.expect("platform");
        let mut lost = Vec::new();
        for _ in 0..20 {
            lost.push(append(&platform, &["a"]).await.is_err());
        }
        let page = read(&platform, 1, 0).await.expect("page");
        assert_eq!(page.entries.len(), 20, "an append did not take effect");
        outcomes.push(lost);
    }
    assert_eq!(outcomes[0], outcomes[1]);
    assert!(outcomes[0].contains(&true) && outcomes[0].contains(&false));
}

#[tokio::test]
async fn empty_append_rejected() {
    let platform = Platform::start(loopback(), fast()).await.expect("platform");
    let error = append(&platform, &[]).await.expect_err("no records");
    assert_eq!(error.status().map(|status| status.as_u16()), Some(400));
}
