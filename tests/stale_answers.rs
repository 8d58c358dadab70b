//! Targets that send an earlier answer once more on a kept connection.

mod platform_support;

use std::net::SocketAddr;

use hyper::Method;
use platform_support::{Cloud, Gateway, Store, configuration};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{Duration, sleep},
};

/// When the target sends an earlier refusal again.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Repeated {
    /// After its first answer, while the connection is idle.
    WhileIdle,
    /// In place of its second answer, which follows.
    BeforeAnswer,
}

/// Target that runs each request, and sends the refusal of another one besides.
struct RepeatingTarget {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for RepeatingTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RepeatingTarget {
    async fn start(repeated: Repeated) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer(stream, repeated));
            }
        });
        Self { address, task }
    }
}

/// Refusal of a request that was sent over the same connection earlier.
const EARLIER_REFUSAL: &str =
    "HTTP/1.1 503 Busy\r\nrequest-id: r-0\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";

async fn answer(mut stream: TcpStream, repeated: Repeated) {
    for number in 0.. {
        let mut request = vec![0; 8_192];
        let length = stream.read(&mut request).await.unwrap_or(0);
        if length == 0 {
            return;
        }
        let head = String::from_utf8_lossy(&request[..length]).into_owned();
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("request-id: "))
            .unwrap_or("-");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: 1.2.3\r\n\
             keep-alive: timeout=10\r\ncontent-length: 2\r\n\r\nok"
        );
        let bytes = match (number, repeated) {
            (0, Repeated::WhileIdle) => format!("{answer}{EARLIER_REFUSAL}"),
            (1, Repeated::BeforeAnswer) => format!("{EARLIER_REFUSAL}{answer}"),
            _ => answer,
        };
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Sends two requests that run at most once, and returns the statuses of the answers.
async fn send_two(repeated: Repeated) -> [u16; 2] {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let target = RepeatingTarget::start(repeated).await;
    let entry = json!({
        "service": "desk", "address": target.address.to_string(), "zone": "z1",
        "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 0,
        "born": 1_700_000_000_000u64,
    });
    store.put("keyed.servers", "i-1", &entry);
    let gateway = Gateway::start("entry-1", &store, &cloud).await;
    gateway.wait_until_ready().await;
    let mut statuses = [0; 2];
    for (id, status) in ["r-1", "r-2"].iter().zip(&mut statuses) {
        let request = gateway.request(Method::POST, "/order/", id);
        let response = request.body("steel").send().await.unwrap();
        *status = response.status().as_u16();
        sleep(Duration::from_millis(50)).await;
    }
    statuses
}

/// Guards against 'not run, try again' for a request that a target has run, because an
/// earlier refusal was taken for its answer.
#[tokio::test]
async fn refusal_of_other_request() {
    let statuses = send_two(Repeated::BeforeAnswer).await;
    // Whether the second request has run is not known.
    assert_eq!(statuses, [200, 502]);
}

/// Guards against an answer that a request gets before it was sent.
#[tokio::test]
async fn refusal_while_idle() {
    let statuses = send_two(Repeated::WhileIdle).await;
    // The second request goes over a new connection.
    assert_eq!(statuses, [200, 200]);
}
