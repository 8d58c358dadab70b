//! Callers of an entry instance that leave, or that close only their sending side.

mod entry_support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use entry_support::{
    Entry, MILL_KEY, MODEL, MemoryLog, Targets, document, start_entry, wait_until,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::timeout,
};

/// Time after which a test fails.
const DEADLINE: Duration = Duration::from_secs(20);

const REQUEST: &str = "GET /hours HTTP/1.1\r\nhost: x\r\n\r\n";

/// Plain service that answers its first request when it is told to.
struct SlowTarget {
    address: SocketAddr,
    arrived: Arc<Notify>,
    answer: Arc<Notify>,
    /// Notified when the instance closes the connection.
    closed: Arc<Notify>,
}

impl SlowTarget {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Self {
            address: listener.local_addr().unwrap(),
            arrived: Arc::default(),
            answer: Arc::default(),
            closed: Arc::default(),
        };
        let (arrived, answer) = (target.arrived.clone(), target.answer.clone());
        let closed = target.closed.clone();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await.unwrap();
            arrived.notify_one();
            tokio::select! {
                () = answer.notified() => {
                    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
                _ = stream.read(&mut request) => closed.notify_one(),
            }
        });
        target
    }

    async fn start_entry(&self) -> (MemoryLog, Entry) {
        let log = MemoryLog::new();
        let targets = Targets {
            others: vec![("desk", self.address)],
            ..Targets::default()
        };
        let entry = start_entry(&log, "entry-1", &targets).await;
        log.publish(0, &document(false));
        (log, entry)
    }
}

async fn connect(entry: &Entry) -> TcpStream {
    let address = entry.url.strip_prefix("http://").unwrap();
    TcpStream::connect(address).await.unwrap()
}

async fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = String::new();
    let reading = stream.read_to_string(&mut answer);
    let read = timeout(DEADLINE, reading).await.expect("an answer");
    read.unwrap();
    answer
}

/// Guards against a caller that is cut off because it sends nothing more.
#[tokio::test]
async fn half_closed_answered() {
    let target = SlowTarget::start().await;
    let (_log, entry) = target.start_entry().await;
    let mut stream = connect(&entry).await;
    stream.write_all(REQUEST.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    target.arrived.notified().await;
    // The end of the caller's bytes arrives before the answer.
    tokio::time::sleep(Duration::from_millis(100)).await;
    target.answer.notify_one();
    let answer = read_answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("done"), "{answer}");
}

/// Guards against a stream that breaks off because its caller sends nothing more.
#[tokio::test]
async fn half_closed_streamed() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 0).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let body = json!({
        "model": MODEL, "max_tokens": 30, "stream": true,
        "messages": [{"role": "user", "content": "price of sheet steel?"}],
    })
    .to_string();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {MILL_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = connect(&entry).await;
    stream.write_all(request.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let answer = read_answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("data: [DONE]"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// Guards against a call that goes on although its caller has left, because further bytes of
/// the caller hide the end.
#[tokio::test]
async fn left_with_bytes() {
    let target = SlowTarget::start().await;
    let (_log, entry) = target.start_entry().await;
    let mut stream = connect(&entry).await;
    let two = REQUEST.repeat(2);
    stream.write_all(two.as_bytes()).await.unwrap();
    target.arrived.notified().await;
    drop(stream);
    let closing = target.closed.notified();
    let closed = timeout(DEADLINE, closing).await;
    assert!(closed.is_ok(), "the call goes on");
    let is_empty = || entry.context.queued() == 0;
    wait_until("no request waits", is_empty).await;
}
