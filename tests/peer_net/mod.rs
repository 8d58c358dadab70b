//! Runs the log and peer tasks of several instances in one process over loopback, with
//! the stand-in platform.

#![allow(dead_code, unreachable_pub)]

use std::{
    future::Future,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{BufMut, BytesMut};
use lavenderwind::{
    Settings,
    infra::LiveClient,
    ledger::{Ledger, LedgerHandle},
    log::{self, Log, LogOptions, Offset, Receipt, records::record::Body},
    peer::{
        self, PeerHandle, PeerInputs, Peers,
        frames::{Frame, frame},
    },
    standin::platform::{Platform, PlatformFaults},
};
use prost::Message;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Encodes a frame as it is sent, with its length first.
pub fn encode_frame(frame: &Frame) -> Vec<u8> {
    with_length(&frame.encode_to_vec())
}

/// Puts the length of a frame before its bytes.
pub fn with_length(bytes: &[u8]) -> Vec<u8> {
    let mut buffer = BytesMut::new();
    buffer.put_u32(bytes.len() as u32);
    buffer.put_slice(bytes);
    buffer.to_vec()
}

/// Sends a frame as a simulated peer.
pub async fn send_frame(stream: &mut TcpStream, body: frame::Body) {
    let bytes = encode_frame(&Frame { body: Some(body) });
    stream.write_all(&bytes).await.unwrap();
}

/// Receives the next frame as a simulated peer; `None` if the connection has ended.
pub async fn receive_frame(stream: &mut TcpStream) -> Option<frame::Body> {
    let length = stream.read_u32().await.ok()?;
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await.ok()?;
    Frame::decode(&*bytes).unwrap().body
}

/// Timeout that makes a hanging test fail.
pub const DEADLINE: Duration = Duration::from_secs(30);

/// Waits until `condition` returns true; panics after [`DEADLINE`].
pub async fn eventually<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let poll = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(
        timeout(DEADLINE, poll).await.is_ok(),
        "timed out waiting for: {what}"
    );
}

/// Awaits a future; panics after [`DEADLINE`].
pub async fn within<F>(what: &str, future: F) -> F::Output
where
    F: Future,
{
    match timeout(DEADLINE, future).await {
        Ok(output) => output,
        Err(_) => panic!("timed out waiting for: {what}"),
    }
}

pub async fn platform(faults: PlatformFaults) -> Platform {
    let address = "127.0.0.1:0".parse().unwrap();
    Platform::start(address, faults).await.unwrap()
}

/// A TCP proxy that can close its connections and refuse new ones.
pub struct CuttableProxy {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    accepted: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl CuttableProxy {
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let cut = Arc::new(AtomicBool::new(false));
        let accepted = Arc::new(AtomicUsize::new(0));
        let forwarding = Self::forward(listener, to, cut.clone(), accepted.clone());
        let task = tokio::spawn(forwarding);
        Self {
            address,
            cut,
            accepted,
            task,
        }
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }

    /// With `true`, closes all connections and refuses new ones until called with `false`.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    async fn forward(
        listener: TcpListener,
        to: SocketAddr,
        cut: Arc<AtomicBool>,
        accepted: Arc<AtomicUsize>,
    ) {
        loop {
            let (mut inbound, _) = listener.accept().await.unwrap();
            accepted.fetch_add(1, Ordering::SeqCst);
            let cut = cut.clone();
            if cut.load(Ordering::SeqCst) {
                continue;
            }
            tokio::spawn(async move {
                let Ok(mut outbound) = TcpStream::connect(to).await else {
                    return;
                };
                let wait_for_cut = async {
                    while !cut.load(Ordering::SeqCst) {
                        sleep(Duration::from_millis(5)).await;
                    }
                };
                tokio::select! {
                    _ = copy_bidirectional(&mut inbound, &mut outbound) => (),
                    () = wait_for_cut => (),
                }
            });
        }
    }
}

impl Drop for CuttableProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The log and peer tasks of an instance.
pub struct Instance {
    pub handle: PeerHandle,
    pub ledger: LedgerHandle,
    pub log: Log,
    pub peer_address: SocketAddr,
    pub live_instances: watch::Receiver<usize>,
    stop: CancellationToken,
    peers: Peers,
}

pub struct Options<'a> {
    pub name: &'a str,
    pub incarnation: u64,
    pub log_url: String,
    pub live_url: String,
    pub seed_peers: Vec<SocketAddr>,
    pub extra_settings: &'a str,
}

impl Instance {
    pub async fn start(name: &str, platform: &Platform) -> Self {
        Self::start_with(Options {
            name,
            incarnation: 1,
            log_url: platform.url(),
            live_url: platform.url(),
            seed_peers: Vec::new(),
            extra_settings: "",
        })
        .await
    }

    pub async fn start_with(options: Options<'_>) -> Self {
        let Options {
            name,
            log_url,
            live_url,
            seed_peers,
            extra_settings,
            incarnation,
        } = options;
        let text = format!(
            "name: {name}
failure_domain: d-{name}
entry_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
admin_address: 127.0.0.1:0
platform:
  log_url: {log_url}
  live_url: {live_url}
  targets_url: {log_url}
  usage_url: {log_url}
timing:
  heartbeat_ms: 50
  poll_ms: 50
{extra_settings}
"
        );
        let mut settings = Settings::parse(&text, Path::new("entry.yaml")).unwrap();
        settings.seed_peers = seed_peers;
        let ledger = LedgerHandle::new(Ledger::new());
        let stop = CancellationToken::new();
        let (live_sender, live_instances) = watch::channel(1);
        let log_options = LogOptions::new(&settings, incarnation);
        let log = log::spawn(&log_options, ledger.clone(), live_instances.clone(), &stop);
        let listener = TcpListener::bind(settings.peer_address).await.unwrap();
        let peer_address = listener.local_addr().unwrap();
        let client = LiveClient::new(reqwest::Client::new(), &live_url, Duration::from_secs(1));
        let inputs = PeerInputs {
            settings: &settings,
            log: &log,
            ledger: ledger.clone(),
            live_instances: live_sender,
            live_client: client,
            listener,
            admin_address: settings.admin_address,
        };
        let peers = peer::spawn(inputs, &stop).unwrap();
        Self {
            handle: peers.handle.clone(),
            ledger,
            log,
            peer_address,
            live_instances,
            stop,
            peers,
        }
    }

    pub async fn append(&self, body: Body) -> Receipt {
        let append = self.log.appender.append(body);
        within("append", append).await.unwrap()
    }

    /// Waits until the ledger includes the record at `offset`.
    pub async fn wait_applied(&self, offset: Offset) {
        let mut applied = self.ledger.subscribe_applied();
        let reached = applied.wait_for(|applied| *applied >= offset);
        within("applied", reached).await.unwrap();
    }

    /// Waits until exactly `count` peers are connected.
    pub async fn wait_connected(&self, count: usize) {
        eventually("connected", || self.handle.connected().len() == count).await;
    }

    /// Aborts all tasks without announcing the shutdown.
    pub async fn kill(mut self) {
        self.peers.tasks.shutdown().await;
        self.log.tasks.shutdown().await;
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
