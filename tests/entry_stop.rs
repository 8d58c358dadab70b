//! Graceful stop, slow callers, large headers and pipelined requests.
//!
//! A graceful stop must let the answers in flight finish. The stop must not last
//! longer than the setting `drain_ms`, even if an engine hangs.

mod entry_support;

use std::time::Duration;

use entry_support::{
    Entry, MILL_KEY, MemoryLog, Streamed, Targets, chat_prompt, document, engine_options,
    expected_text, send_chat, settings, start_entry, start_entry_with,
};
use lavenderwind::standin::engine::EngineFaults;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const QUESTION: &str = "when is the tender due?";

/// Time after which a test fails instead of hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

async fn connect(entry: &Entry) -> TcpStream {
    let address = entry.url.strip_prefix("http://").unwrap();
    TcpStream::connect(address).await.unwrap()
}

async fn read_to_end(connection: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = connection.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(TEST_TIMEOUT, read)
        .await
        .expect("the connection must be closed within the timeout");
    String::from_utf8_lossy(&bytes).into_owned()
}

#[tokio::test]
async fn inflight_requests_finish() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 0).await;
    let mut entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let engine = &targets.engines[0];
    let response = send_chat(&entry, MILL_KEY, QUESTION, 40, true).await;
    engine.set_faults(EngineFaults {
        hang: true,
        ..EngineFaults::default()
    });
    entry.stop.cancel();
    let listener_closed = async {
        let address = entry.url.strip_prefix("http://").unwrap();
        while TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, listener_closed)
        .await
        .expect("the listener must be closed within the timeout");
    engine.set_faults(EngineFaults::default());
    let streamed = Streamed::read(response).await;
    assert!(streamed.is_done());
    assert_eq!(streamed.text(), expected_text(&chat_prompt(QUESTION), 40));
    let serving = entry.serving.take().unwrap();
    let stopped = tokio::time::timeout(TEST_TIMEOUT, serving)
        .await
        .expect("the server must stop within the timeout");
    stopped.unwrap().unwrap();
    assert_eq!(entry.usage.lock().unwrap()[0].output_tokens, 40);
}

#[tokio::test]
async fn drain_time_bounded() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 0).await;
    let settings = settings("entry-1", "timing: {drain_ms: 300}");
    let mut entry = start_entry_with(&log, settings, &targets).await;
    log.publish(0, &document(false));
    let response = send_chat(&entry, MILL_KEY, QUESTION, 40, true).await;
    targets.engines[0].set_faults(EngineFaults {
        hang: true,
        ..EngineFaults::default()
    });
    entry.stop.cancel();
    let serving = entry.serving.take().unwrap();
    let stopped = tokio::time::timeout(TEST_TIMEOUT, serving)
        .await
        .expect("the server must stop within the timeout");
    stopped.unwrap().unwrap();
    assert!(!Streamed::read(response).await.is_done());
}

/// A body that arrives too slowly is answered with status 408.
#[tokio::test]
async fn slow_body_refused() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 0).await;
    let settings = settings("entry-1", "limits: {request_read_ms: 200}");
    let entry = start_entry_with(&log, settings, &targets).await;
    log.publish(0, &document(false));
    let mut connection = connect(&entry).await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {MILL_KEY}\r\ncontent-length: 100\r\n\r\n{{\"mo"
    );
    connection.write_all(head.as_bytes()).await.unwrap();
    let answer = read_to_end(&mut connection).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("lavenderwind-outcome: not-run"), "{answer}");
    assert!(answer.contains("\"code\":\"request_timeout\""), "{answer}");
}

/// A connection whose headers arrive too slowly is closed.
#[tokio::test]
async fn slow_headers_closed() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 0).await;
    let settings = settings("entry-1", "limits: {request_read_ms: 200}");
    let entry = start_entry_with(&log, settings, &targets).await;
    let mut connection = connect(&entry).await;
    connection.write_all(b"GET /v1/models HT").await.unwrap();
    let answer = read_to_end(&mut connection).await;
    assert!(!answer.contains("200 OK"), "{answer}");
}

/// Headers over the size limit are answered with status 431.
#[tokio::test]
async fn large_headers_refused() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 0).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let mut connection = connect(&entry).await;
    let filler = "f".repeat(40 << 10);
    let head = format!("GET /v1/models HTTP/1.1\r\nhost: x\r\nx-filler: {filler}\r\n\r\n");
    connection.write_all(head.as_bytes()).await.unwrap();
    let answer = read_to_end(&mut connection).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert!(answer.contains("lavenderwind-outcome: not-run"), "{answer}");
}

#[tokio::test]
async fn pipelined_in_order() {
    let log = MemoryLog::new();
    let mut targets = Targets::start(0, 1).await;
    targets.add_engine(engine_options(0)).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let mut connection = connect(&entry).await;
    let mut requests = String::new();
    for index in 0..3 {
        let close = if index == 2 {
            "connection: close\r\n"
        } else {
            ""
        };
        requests.push_str(&format!(
            "GET /status/{index} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {MILL_KEY}\r\n{close}\r\n"
        ));
    }
    connection.write_all(requests.as_bytes()).await.unwrap();
    let answer = read_to_end(&mut connection).await;
    let positions: Vec<usize> = (0..3)
        .map(|index| answer.find(&format!("/status/{index}")).unwrap())
        .collect();
    assert!(positions.is_sorted(), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1 200").count(), 3);
}
