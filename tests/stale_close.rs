//! Refusals of an instance that cannot confirm its configuration.

mod platform_support;

use platform_support::{Cloud, Gateway, Store, configuration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Guards against a connection that closes unannounced, because the body is not read: the
/// caller's next request on it would be lost.
#[tokio::test(flavor = "multi_thread")]
async fn close_announced() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let gateway = Gateway::start("entry-1", &store, &cloud).await;
    // The list of targets is empty, but has been read.
    gateway.wait_until_ready().await;
    store.state.lock().unwrap().silent = true;
    while gateway.is_ready().await {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let address = gateway.url.strip_prefix("http://").unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = "POST /order/ HTTP/1.1\r\nhost: desk.example\r\nrequest-id: r-1\r\n\
                deadline-ms: 3000\r\nauthorization: Token key-1\r\ncontent-length: 9\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let answer = answer.to_lowercase();
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
}
