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

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
    time::sleep,
};

/// Size of the target's buffer for arriving bytes. It is small, so that most of a long
/// upload is still to be written when the connection ends.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// How a target ends the connection after its answer.
#[derive(Clone, Copy, Debug)]
pub enum End {
    /// Resets the connection after this time.
    Reset(Duration),
    /// Closes the sending side, reads on for this time, and resets the connection.
    HalfClose(Duration),
    /// Keeps the connection for the next request.
    Keep,
}

/// Target that answers as soon as the head of a request has arrived.
pub struct RawTarget {
    pub address: SocketAddr,
    /// Answer to each request, in which `ID` stands for the request's identifier.
    pub answer: Arc<Mutex<String>>,
    /// Number of requests that have arrived.
    pub arrivals: Arc<AtomicUsize>,
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
        let listener = socket.listen(64).unwrap();
        let address = listener.local_addr().unwrap();
        let answer = Arc::new(Mutex::new(answer.to_owned()));
        let arrivals: Arc<AtomicUsize> = Arc::default();
        let (text, counter) = (answer.clone(), arrivals.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, text.clone(), end, counter.clone()));
            }
        });
        Self {
            address,
            answer,
            arrivals,
            task,
        }
    }

    /// Returns the number of requests that have arrived.
    pub fn count(&self) -> usize {
        self.arrivals.load(Ordering::SeqCst)
    }
}

async fn serve(
    mut stream: TcpStream,
    answer: Arc<Mutex<String>>,
    end: End,
    arrivals: Arc<AtomicUsize>,
) {
    while let Some(head) = read_head(&mut stream).await {
        arrivals.fetch_add(1, Ordering::SeqCst);
        let id = head.split("request-id: ").nth(1).unwrap_or("-");
        let id = id.lines().next().unwrap_or("-");
        let answer = answer.lock().unwrap().replace("ID", id);
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        match end {
            End::Keep => continue,
            End::Reset(delay) => sleep(delay).await,
            End::HalfClose(delay) => {
                let _ = stream.shutdown().await;
                let mut rest = vec![0; 16 << 10];
                let reading = async { while stream.read(&mut rest).await.unwrap_or(0) > 0 {} };
                let _ = tokio::time::timeout(delay, reading).await;
            }
        }
        let _ = stream.set_zero_linger();
        return;
    }
}

/// Reads the head of a request and what has arrived of its body.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut request = Vec::new();
    let mut bytes = [0; 1_024];
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

/// Texts in the place of a status that are none.
pub const WRONG_STATUSES: [&str; 9] = [
    "000", "099", "1000", "abc", "20", "2000", "600", "999", "101",
];
