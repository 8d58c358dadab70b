//! Crowds of callers that break the rules, and what a process under test uses meanwhile.

#![allow(dead_code, unreachable_pub)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::{Mutex, MutexGuard},
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Number of callers of a crowd. It exceeds the descriptors that the tests allow a process.
pub const CROWD: usize = 240;

/// Number of those that send a body in chunks of one byte, which take the server longest.
const CHUNK_SENDERS: usize = 48;

/// Body size of the callers that stay under the limit, in bytes.
pub const BODY_BYTES: usize = 256 << 10;

/// Number of one-byte chunks that a caller sends.
const CHUNKS: usize = 64 << 10;

/// Bytes that a caller sends of a body that is far over the limit.
const HUGE_BYTES: usize = 4 << 20;

/// Announced size of such a body.
const HUGE_LENGTH: u64 = 1 << 40;

/// Requests that a caller sends at once without reading an answer.
const PIPELINED: usize = 64;

/// Receive buffer of callers that read nothing, in bytes.
const SMALL_RECEIVE_BUFFER: u32 = 4 << 10;

/// Bytes of a head of very many short fields, just under `max_header_bytes`.
const FIELD_BYTES: usize = 16_000;

/// Time after which a caller that cannot send more just keeps its connection open.
const SEND_LIMIT: Duration = Duration::from_secs(5);

/// Bytes that a slow caller sends one by one.
const SLOW_BYTES: usize = 200;

/// Pause of a slow caller between two bytes.
const SLOW_PAUSE: Duration = Duration::from_millis(10);

/// Time limit of one ordinary request. It is sent again until one is answered.
const TRY_LIMIT: Duration = Duration::from_secs(3);

/// Time in which a process that uses at most [`IDLE_TICKS`] has worked off what it was sent.
const SETTLE_INTERVAL: Duration = Duration::from_millis(300);
const IDLE_TICKS: u64 = 6;

/// Time limit of the wait for that.
const SETTLE_LIMIT: Duration = Duration::from_secs(8);

/// Time limit of all attempts, so that a failing test does not hang.
const HANG_LIMIT: Duration = Duration::from_secs(20);

/// What the callers of a crowd do. All of them keep their connections open.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Bodies of legal size in one piece, without their last byte.
    WholeBodies,
    /// The same in small pieces.
    PieceBodies,
    /// The same in chunks of one byte, without the last chunk.
    ChunkBodies,
    /// Bodies far over the limit, announced or in chunks.
    HugeBodies,
    /// Heads of very many short fields, whole or without their end.
    ShortFields,
    /// Many requests at once, of which no answer is read.
    Pipelined,
    /// Heads and bodies that are sent byte by byte.
    SlowSenders,
    /// Requests whose answers are not read.
    SlowReaders,
    /// Nothing at all, half a head, or half a body.
    HalfWay,
}

pub const BODY_BEHAVIOURS: [Behaviour; 2] = [Behaviour::WholeBodies, Behaviour::PieceBodies];

/// What a crowd is aimed at.
#[derive(Clone)]
pub struct Aim {
    pub address: SocketAddr,
    /// Paths among which the callers are divided.
    pub paths: Vec<&'static str>,
    /// Method of requests without a body.
    pub method: &'static str,
    /// Header lines of a caller's request.
    pub fields: fn(usize) -> String,
}

/// Makes tests that load a process take turns.
pub async fn take_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::const_new(());
    TURN.lock().await
}

/// Lets a crowd loose, and returns its connections once each caller is through.
pub async fn send_crowd(aim: &Aim, behaviour: Behaviour) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    let count = match behaviour {
        Behaviour::ChunkBodies => CHUNK_SENDERS,
        _ => CROWD,
    };
    for index in 0..count {
        let aim = aim.clone();
        callers.push(tokio::spawn(async move {
            let address = aim.address;
            let reads_nothing = matches!(behaviour, Behaviour::Pipelined | Behaviour::SlowReaders);
            let mut stream = connect(address, reads_nothing).await?;
            let sending = misbehave(&mut stream, &aim, behaviour, index);
            let _ = timeout(SEND_LIMIT, sending).await;
            Some(stream)
        }));
    }
    let mut streams = Vec::new();
    for caller in callers {
        streams.extend(caller.await.unwrap());
    }
    streams
}

async fn connect(address: SocketAddr, reads_nothing: bool) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().unwrap();
    if reads_nothing {
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).unwrap();
    }
    let connecting = timeout(SEND_LIMIT, socket.connect(address)).await;
    connecting.ok()?.ok()
}

async fn misbehave(
    stream: &mut TcpStream,
    aim: &Aim,
    behaviour: Behaviour,
    index: usize,
) -> std::io::Result<()> {
    let path = aim.paths[index % aim.paths.len()];
    let fields = (aim.fields)(index);
    let head = |method: &str, more: &str| format!("{method} {path} HTTP/1.1\r\n{fields}{more}\r\n");
    let body = vec![b'x'; BODY_BYTES - 1];
    let with_length = head("POST", &format!("content-length: {BODY_BYTES}\r\n"));
    let with_chunks = head("POST", "transfer-encoding: chunked\r\n");
    let without_body = head(aim.method, "content-length: 0\r\n");
    // Callers of one path don't all do the same.
    let turn = index / aim.paths.len();
    match behaviour {
        Behaviour::WholeBodies => {
            stream.write_all(with_length.as_bytes()).await?;
            stream.write_all(&body).await
        }
        Behaviour::PieceBodies => {
            stream.set_nodelay(true)?;
            stream.write_all(with_length.as_bytes()).await?;
            for piece in body.chunks(512) {
                stream.write_all(piece).await?;
                tokio::task::yield_now().await;
            }
            Ok(())
        }
        Behaviour::ChunkBodies => {
            stream.write_all(with_chunks.as_bytes()).await?;
            let chunks = "1\r\nx\r\n".repeat(CHUNKS / 64);
            for _ in 0..64 {
                stream.write_all(chunks.as_bytes()).await?;
            }
            Ok(())
        }
        Behaviour::HugeBodies if turn.is_multiple_of(2) => {
            let length = format!("content-length: {HUGE_LENGTH}\r\n");
            stream.write_all(head("POST", &length).as_bytes()).await?;
            stream.write_all(&vec![b'x'; HUGE_BYTES]).await
        }
        Behaviour::HugeBodies => {
            stream.write_all(with_chunks.as_bytes()).await?;
            let chunk = format!("{:x}\r\n{}\r\n", 4 << 10, "x".repeat(4 << 10));
            for _ in 0..HUGE_BYTES / (4 << 10) {
                stream.write_all(chunk.as_bytes()).await?;
            }
            Ok(())
        }
        Behaviour::ShortFields => {
            let mut more = String::new();
            while more.len() < FIELD_BYTES {
                more.push_str("a:\r\n");
            }
            let whole = head(aim.method, &more);
            let sent = whole.len() - 2 * (turn % 2);
            stream.write_all(&whole.as_bytes()[..sent]).await
        }
        Behaviour::Pipelined => {
            let requests = without_body.repeat(PIPELINED);
            stream.write_all(requests.as_bytes()).await
        }
        Behaviour::SlowSenders => {
            let text = [with_length.as_bytes(), &body].concat();
            let fast = [0, with_length.len()][turn % 2];
            stream.write_all(&text[..fast]).await?;
            for byte in &text[fast..fast + SLOW_BYTES] {
                stream.write_all(&[*byte]).await?;
                sleep(SLOW_PAUSE).await;
            }
            Ok(())
        }
        Behaviour::SlowReaders => stream.write_all(without_body.as_bytes()).await,
        Behaviour::HalfWay => {
            let text = [with_length.as_bytes(), &body].concat();
            let sent = [0, with_length.len() / 2, text.len() / 2][turn % 3];
            stream.write_all(&text[..sent]).await
        }
    }
}

/// Sends an ordinary request until one is answered with status 200.
pub async fn wait_until_answered(address: SocketAddr, request: &str, when: &str) {
    let answered = async {
        while !is_answered(address, request).await {
            sleep(Duration::from_millis(50)).await;
        }
    };
    let outcome = timeout(HANG_LIMIT, answered).await;
    assert!(outcome.is_ok(), "no ordinary request is answered {when}");
}

async fn is_answered(address: SocketAddr, request: &str) -> bool {
    let trying = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut start = [0; 12];
        stream.read_exact(&mut start).await?;
        std::io::Result::Ok(&start == b"HTTP/1.1 200")
    };
    matches!(timeout(TRY_LIMIT, trying).await, Ok(Ok(true)))
}

/// Watches what a process uses.
pub struct ProcessWatch {
    pid: u32,
    max_descriptors: Arc<AtomicUsize>,
    sampler: JoinHandle<()>,
}

impl Drop for ProcessWatch {
    fn drop(&mut self) {
        self.sampler.abort();
    }
}

impl ProcessWatch {
    pub fn start(pid: u32) -> Self {
        let max_descriptors: Arc<AtomicUsize> = Arc::default();
        let max = max_descriptors.clone();
        let sampler = tokio::spawn(async move {
            loop {
                if let Ok(entries) = std::fs::read_dir(format!("/proc/{pid}/fd")) {
                    max.fetch_max(entries.count(), Ordering::Relaxed);
                }
                sleep(Duration::from_millis(10)).await;
            }
        });
        Self {
            pid,
            max_descriptors,
            sampler,
        }
    }

    /// Waits until the process has worked off what it was sent, or for [`SETTLE_LIMIT`].
    async fn settle(&self) {
        let settling = async {
            let mut before = self.used_ticks();
            loop {
                sleep(SETTLE_INTERVAL).await;
                let now = self.used_ticks();
                if now <= before + IDLE_TICKS {
                    return;
                }
                before = now;
            }
        };
        let _ = timeout(SETTLE_LIMIT, settling).await;
    }

    /// Returns the processor time that the process has used, in clock ticks.
    fn used_ticks(&self) -> u64 {
        let path = format!("/proc/{}/stat", self.pid);
        let stat = std::fs::read_to_string(path).expect("the process is alive");
        let fields = stat.rsplit(')').next().unwrap().split_whitespace();
        // Times in user and kernel mode.
        fields
            .skip(11)
            .take(2)
            .map(|field| field.parse::<u64>().unwrap())
            .sum()
    }

    /// Checks that the process is alive, and that it has stayed under its limits.
    pub fn check(&self, max_memory_mb: u64, max_descriptors: usize, when: &str) {
        let path = format!("/proc/{}/status", self.pid);
        let status = std::fs::read_to_string(path).expect("the process is alive");
        assert!(
            !status.contains("State:\tZ"),
            "the process has ended {when}"
        );
        let (peak_mb, now_mb) = (field_mb(&status, "VmHWM:"), field_mb(&status, "VmRSS:"));
        let descriptors = self.max_descriptors.load(Ordering::Relaxed);
        println!("{when}: peak {peak_mb} MB, now {now_mb} MB, {descriptors} descriptors");
        assert!(
            peak_mb <= max_memory_mb && now_mb <= max_memory_mb,
            "{peak_mb} MB, of which {now_mb} MB are still held, exceed {max_memory_mb} MB {when}"
        );
        assert!(
            descriptors <= max_descriptors,
            "{descriptors} descriptors exceed {max_descriptors} {when}"
        );
    }
}

fn field_mb(status: &str, name: &str) -> u64 {
    let line = status.lines().find(|line| line.starts_with(name));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    kb.and_then(|kb| kb.parse::<u64>().ok())
        .expect("a size in kB")
        / 1_024
}

/// Sends crowds one after the other. Checks after each that the process has stayed under its
/// limits, and that an ordinary request is answered beside the crowd and after it.
pub async fn check_crowds(
    watch: &ProcessWatch,
    aim: &Aim,
    behaviours: &[Behaviour],
    ordinary: &str,
    limits: (u64, usize),
) {
    for behaviour in behaviours {
        let crowd = send_crowd(aim, *behaviour).await;
        watch.settle().await;
        let when = format!("beside {behaviour:?}");
        watch.check(limits.0, limits.1, &when);
        wait_until_answered(aim.address, ordinary, &when).await;
        drop(crowd);
        let when = format!("after {behaviour:?}");
        wait_until_answered(aim.address, ordinary, &when).await;
        watch.check(limits.0, limits.1, &when);
    }
}
