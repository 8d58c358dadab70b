//! Calls in flight whose answers broke off and whose callers leave.

mod log_lines;
mod platform_support;

use std::{net::SocketAddr, time::Duration};

use log_lines::Lines;
use platform_support::{Cloud, Gateway, Store, configuration, eventually};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::{sleep, timeout},
};

async fn send(gateway: &Gateway, id: &str) -> TcpStream {
    let address = gateway.url.strip_prefix("http://").unwrap();
    let mut caller = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST /order/ HTTP/1.1\r\nhost: desk.example\r\nrequest-id: {id}\r\n\
         deadline-ms: 3000\r\nauthorization: Token key-1\r\ncontent-length: 1\r\n\r\nx"
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    caller
}

/// Accepts connections until a request arrives on one.
async fn accept_request(listener: &TcpListener) -> TcpStream {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 4_096];
        let reading = timeout(Duration::from_secs(1), stream.read(&mut bytes));
        if reading
            .await
            .is_ok_and(|read| read.is_ok_and(|read| read > 0))
        {
            return stream;
        }
    }
}

/// Sends a request until it arrives at the target. It is refused while the connections that
/// fill the target's queue are not all closed.
async fn send_until_accepted(
    gateway: &Gateway,
    listener: &TcpListener,
    id: &str,
) -> (TcpStream, TcpStream) {
    loop {
        let mut caller = send(gateway, id).await;
        let mut refusal = [0; 1_024];
        tokio::select! {
            answering = accept_request(listener) => return (caller, answering),
            _ = caller.read(&mut refusal) => {}
        }
    }
}

/// Opens connections until a further one is not answered. Returns the open ones.
async fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut open = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(300), TcpStream::connect(address)).await {
        open.push(stream.unwrap());
    }
    open
}

/// Guards against a call that stays on the list of calls in flight because its caller left
/// while the target was examined: it would be suspected of each later crash.
#[tokio::test(flavor = "multi_thread")]
async fn left_call_forgotten() {
    let lines = Lines::capture();
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let entry = json!({
        "service": "desk", "address": address.to_string(), "zone": "z1", "version": "v1",
        "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 0, "born": 1_700_000_000_000u64,
    });
    store.put("keyed.servers", "i-0", &entry);
    let gateway = Gateway::start("entry-1", &store, &cloud).await;
    gateway.wait_until_ready().await;

    let (caller, answering) = send_until_accepted(&gateway, &listener, "r-left").await;
    // The examination waits for a connection while the target's queue is full.
    let queued = fill_queue(address).await;
    answering.set_zero_linger().unwrap();
    drop(answering);
    sleep(Duration::from_millis(60)).await;
    drop(caller);
    // Longer than the examination takes.
    sleep(Duration::from_millis(1_500)).await;
    drop(queued);

    let (_caller, answering) = send_until_accepted(&gateway, &listener, "r-crash").await;
    drop(listener);
    answering.set_zero_linger().unwrap();
    drop(answering);
    eventually("the crash is noticed", || {
        !lines.with("gateway: target crashed").is_empty()
    })
    .await;
    let suspected = lines.with("request was in flight as its target crashed");
    assert_eq!(suspected.len(), 1, "{suspected:?}");
    assert!(suspected[0].contains("r-crash"), "{suspected:?}");
}
