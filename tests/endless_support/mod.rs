//! Targets that send bytes without end, until the gateway closes the connection.

#![allow(dead_code, unreachable_pub)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use crate::platform_support::{Cloud, Gateway, Store, configuration, eventually};

/// Start of an answer to the request `r-1`, whose length is not announced.
pub const SIGNED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nresponse-seal: 1.2.3\r\nconnection: close\r\n\r\n";

/// Target that answers each request with `start`, and then `repeated` without end.
pub struct EndlessTarget {
    pub address: SocketAddr,
    /// Number of open connections on which a request has arrived.
    pub sending: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for EndlessTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EndlessTarget {
    pub async fn start(start: &'static str, repeated: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let sending = Arc::new(AtomicUsize::new(0));
        let counter = sending.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(send_endlessly(stream, start, repeated, counter.clone()));
            }
        });
        Self {
            address,
            sending,
            task,
        }
    }
}

async fn send_endlessly(
    mut stream: TcpStream,
    start: &str,
    repeated: &str,
    sending: Arc<AtomicUsize>,
) {
    let mut request = [0; 4_096];
    if stream.read(&mut request).await.unwrap_or(0) == 0 {
        return;
    }
    sending.fetch_add(1, Ordering::SeqCst);
    let chunk = repeated.repeat(64);
    let mut sent = stream.write_all(start.as_bytes()).await;
    while sent.is_ok() {
        sent = stream.write_all(chunk.as_bytes()).await;
    }
    sending.fetch_sub(1, Ordering::SeqCst);
}

pub async fn start_gateway(
    target: &EndlessTarget,
    service: &str,
    role: Option<&str>,
) -> (Store, Cloud, Gateway) {
    start_gateway_with(target, service, role, "").await
}

pub async fn start_gateway_with(
    target: &EndlessTarget,
    service: &str,
    role: Option<&str>,
    settings: &str,
) -> (Store, Cloud, Gateway) {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let mut entry = json!({
        "service": service, "address": target.address.to_string(), "zone": "z1",
        "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 0,
        "born": 1_700_000_000_000u64,
    });
    if let Some(role) = role {
        entry["stage"] = json!(role);
    }
    store.put("keyed.servers", "i-0", &entry);
    let gateway = Gateway::start_with("entry-1", &store, &cloud, settings).await;
    gateway.wait_until_ready().await;
    (store, cloud, gateway)
}

pub async fn check_closed(target: &EndlessTarget, gateway: &Gateway, what: &str) {
    eventually(what, || target.sending.load(Ordering::SeqCst) == 0).await;
    assert!(gateway.is_ready().await, "{what}");
}
