//! Targets that write the bytes of their answers themselves.

#![allow(dead_code, unreachable_pub)]

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use reqwest::RequestBuilder;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::platform_support::{Cloud, Gateway, Store, configuration, eventually};

/// Size of the target's buffer for arriving bytes. It is small, so that most of a long
/// upload is still to be written when the connection ends.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Start of an answer whose length is not announced.
pub const SIGNED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nresponse-seal: 1.2.3\r\nconnection: close\r\n\r\n";

/// Texts in the place of a status that are none.
pub const WRONG_STATUSES: [&str; 9] = [
    "000", "099", "1000", "abc", "20", "2000", "600", "999", "101",
];

/// What a target does after its answer.
#[derive(Clone, Copy, Debug)]
pub enum End {
    /// Resets the connection after this time.
    Reset(Duration),
    /// Closes the sending side, reads on for this time, and resets the connection.
    HalfClose(Duration),
    /// Closes the connection. Requests without an identifier are not answered.
    Close,
    /// Keeps the connection for the next request.
    Keep,
    /// Sends this text without end, until the connection is closed.
    Repeat(&'static str),
}

/// What the connections of a target share.
struct Shared {
    /// Answer to each request, in which `ID` stands for the request's identifier.
    answer: Mutex<String>,
    end: End,
    /// Maximum number of bytes of an answer that are sent.
    max_bytes: AtomicUsize,
    /// Number of requests with an identifier that have arrived.
    arrivals: AtomicUsize,
    /// Number of connections on which [`End::Repeat`] is in progress.
    repeating: AtomicUsize,
}

/// Target that answers as soon as the head of a request has arrived.
pub struct RawTarget {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Drop for RawTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RawTarget {
    pub fn start(answer: &str, end: End) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let listener = socket.listen(BACKLOG).unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            answer: Mutex::new(answer.to_owned()),
            end,
            max_bytes: AtomicUsize::new(usize::MAX),
            arrivals: AtomicUsize::new(0),
            repeating: AtomicUsize::new(0),
        });
        let serving = shared.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, serving.clone()));
            }
        });
        Self {
            address,
            shared,
            task,
        }
    }

    pub fn set_answer(&self, answer: &str) {
        answer.clone_into(&mut self.shared.answer.lock().unwrap());
    }

    /// Sets the number of bytes after which answers are cut.
    pub fn set_max_bytes(&self, max_bytes: usize) {
        self.shared.max_bytes.store(max_bytes, Ordering::SeqCst);
    }

    /// Returns the number of requests with an identifier that have arrived.
    pub fn count(&self) -> usize {
        self.shared.arrivals.load(Ordering::SeqCst)
    }

    /// Waits until no connection is left on which the target sends without end.
    pub async fn check_closed(&self, gateway: &Gateway, what: &str) {
        let is_closed = || self.shared.repeating.load(Ordering::SeqCst) == 0;
        eventually(what, is_closed).await;
        assert!(gateway.is_ready().await, "{what}");
    }

    /// Returns the target's entry for the list of targets.
    pub fn entry(&self, service: &str, role: Option<&str>) -> Value {
        let mut entry = json!({
            "service": service, "address": self.address.to_string(), "zone": "z1",
            "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 0,
            "born": 1_700_000_000_000u64,
        });
        if let Some(role) = role {
            entry["stage"] = json!(role);
        }
        entry
    }

    /// Starts a gateway with this target.
    pub async fn start_gateway(
        &self,
        service: &str,
        role: Option<&str>,
    ) -> (Store, Cloud, Gateway) {
        self.start_gateway_with(service, role, &configuration(1), "")
            .await
    }

    pub async fn start_gateway_with(
        &self,
        service: &str,
        role: Option<&str>,
        configuration: &Value,
        settings: &str,
    ) -> (Store, Cloud, Gateway) {
        let (store, cloud) = (Store::start().await, Cloud::start().await);
        store.put("keyed.op", "config", configuration);
        store.put("keyed.servers", "i-0", &self.entry(service, role));
        let gateway = Gateway::start_with("entry-1", &store, &cloud, settings).await;
        gateway.wait_until_ready().await;
        (store, cloud, gateway)
    }
}

/// Adds the headers of a request with a short prompt.
pub fn with_prompt(request: RequestBuilder) -> RequestBuilder {
    request
        .header("model", "m")
        .header("token-count", "900,20")
        .header("prompt-prefix", "a1:600,b2:300")
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    while let Some(head) = read_head(&mut stream).await {
        let id = head.split("request-id: ").nth(1);
        let id = id.and_then(|rest| rest.lines().next());
        match (id, shared.end) {
            (Some(_), _) => _ = shared.arrivals.fetch_add(1, Ordering::SeqCst),
            (None, End::Close) => return,
            (None, _) => {}
        }
        let answer = shared.answer.lock().unwrap().clone();
        let answer = answer.replace("ID", id.unwrap_or("-"));
        let sent = answer.len().min(shared.max_bytes.load(Ordering::SeqCst));
        let is_repeated = matches!(shared.end, End::Repeat(_));
        shared
            .repeating
            .fetch_add(is_repeated.into(), Ordering::SeqCst);
        let written = stream.write_all(&answer.as_bytes()[..sent]).await;
        match shared.end {
            End::Repeat(text) => {
                let chunk = text.repeat(64);
                let mut written = written;
                while written.is_ok() {
                    written = stream.write_all(chunk.as_bytes()).await;
                }
                shared.repeating.fetch_sub(1, Ordering::SeqCst);
                return;
            }
            _ if written.is_err() => return,
            End::Keep => continue,
            End::Close => {
                let _ = stream.shutdown().await;
                return;
            }
            End::Reset(delay) => sleep(delay).await,
            End::HalfClose(delay) => {
                let _ = stream.shutdown().await;
                let mut rest = vec![0; 16 << 10];
                let reading = async { while stream.read(&mut rest).await.unwrap_or(0) > 0 {} };
                let _ = timeout(delay, reading).await;
            }
        }
        let _ = stream.set_zero_linger();
        return;
    }
}

/// Reads the head of a request and what has arrived of its body.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut request = Vec::new();
    let mut bytes = [0; 4_096];
    loop {
        let read = stream.read(&mut bytes).await.unwrap_or(0);
        if read == 0 {
            return None;
        }
        request.extend_from_slice(&bytes[..read]);
        let text = String::from_utf8_lossy(&request);
        if text.contains("\r\n\r\n") {
            return Some(text.to_lowercase());
        }
    }
}
