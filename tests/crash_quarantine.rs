//! A request that crashes engines is quarantined on all instances. Other requests
//! in flight at the crashes are still answered.
//!
//! Without the quarantine, retries of such a request would crash one engine after
//! another.

mod entry_support;

use std::net::SocketAddr;

use entry_support::{
    Entry, MILL_KEY, MemoryLog, PRESS_KEY, Streamed, Targets, any_address, chat_prompt, document,
    engine_options, error_code, expected_text, outcome, send_chat, start_entry, wait_until,
};
use lavenderwind::log::records::record::Body;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

/// Prompt that crashes an engine.
const CRASHING_PROMPT: &str = "poison";
/// Tokens requested with [`CRASHING_PROMPT`]: more than an engine that was scheduled
/// late generates at once to catch up, so that no answer is complete before the crash.
const CRASHING_PROMPT_TOKENS: u32 = 150;
/// Prompt that does not crash an engine.
const QUESTION: &str = "tag this listing";

/// Number of connections that a [`CrashingProxy`] accepts and closes after its crash.
const LATE_CONNECTIONS: usize = 3;

/// Two instances that share a log and engines that crash on [`CRASHING_PROMPT`].
struct Fixture {
    log: MemoryLog,
    _targets: Targets,
    first: Entry,
    second: Entry,
}

impl Fixture {
    async fn start(engines: usize) -> Self {
        let log = MemoryLog::new();
        let mut targets = Targets::default();
        for index in 0..engines {
            let mut options = engine_options(index).with_crash_marker(CRASHING_PROMPT);
            options.restart_ms = 100;
            targets.add_engine(options).await;
        }
        let first = start_entry(&log, "entry-1", &targets).await;
        let second = start_entry(&log, "entry-2", &targets).await;
        log.publish(0, &document(false));
        Self {
            log,
            _targets: targets,
            first,
            second,
        }
    }

    /// Returns the number of crash records in the log for the account that sends the
    /// crashing request.
    fn crash_records(&self) -> usize {
        let records = self.log.records();
        let suspects = records.iter().filter_map(|body| match body {
            Body::CrashSuspect(suspect) if suspect.account == "desk/mill" => Some(suspect),
            _ => None,
        });
        suspects.count()
    }
}

/// Proxy to an engine that crashes on [`CRASHING_PROMPT`] like a process that closes its
/// connections before the socket that it listens on.
struct CrashingProxy {
    address: SocketAddr,
    crashed: CancellationToken,
}

impl CrashingProxy {
    async fn start(engine: SocketAddr) -> Self {
        let listener = TcpListener::bind(any_address()).await.unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            crashed: CancellationToken::new(),
        };
        let crashed = proxy.crashed.clone();
        tokio::spawn(async move {
            while let Some(accepted) = crashed.run_until_cancelled(listener.accept()).await {
                let (stream, _) = accepted.unwrap();
                let crash = crashed.clone();
                tokio::spawn(async move {
                    let forwarding = forward(stream, engine, &crash);
                    crash.run_until_cancelled(forwarding).await;
                });
            }
            for _ in 0..LATE_CONNECTIONS {
                let _ = listener.accept().await;
            }
        });
        proxy
    }
}

/// Forwards a connection to an engine until the caller sends [`CRASHING_PROMPT`].
async fn forward(stream: TcpStream, engine: SocketAddr, crash: &CancellationToken) {
    let (mut from_caller, mut to_caller) = stream.into_split();
    let (mut from_engine, mut to_engine) = TcpStream::connect(engine).await.unwrap().into_split();
    let answers = tokio::io::copy(&mut from_engine, &mut to_caller);
    let requests = async {
        let mut bytes = vec![0; 64 << 10];
        loop {
            let count = from_caller.read(&mut bytes).await.unwrap_or(0);
            let text = String::from_utf8_lossy(&bytes[..count]);
            if text.contains(CRASHING_PROMPT) {
                return crash.cancel();
            }
            if count == 0 || to_engine.write_all(&bytes[..count]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        _ = answers => {}
        () = requests => {}
    }
}

/// Guards against a crash that is not counted because the state of the engine is queried
/// while its listener still accepts connections. The request would then crash a third
/// engine.
#[tokio::test]
async fn late_listener_close() {
    let log = MemoryLog::new();
    let engines = Targets::start(3, 0).await;
    let mut targets = Targets::default();
    let mut proxies = Vec::new();
    for engine in &engines.engines {
        let proxy = CrashingProxy::start(engine.addr()).await;
        targets.others.push(("engine", proxy.address));
        proxies.push(proxy);
    }
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let answer = send_chat(&entry, MILL_KEY, CRASHING_PROMPT, 8, false).await;
    let crashed = proxies.iter().filter(|proxy| proxy.crashed.is_cancelled());
    assert_eq!(crashed.count(), 2);
    assert_eq!(answer.status(), 422);
    assert_eq!(error_code(answer).await, "request_quarantined");
}

#[tokio::test]
async fn all_instances_quarantine() {
    let fixture = Fixture::start(3).await;
    let answer = send_chat(
        &fixture.first,
        MILL_KEY,
        CRASHING_PROMPT,
        CRASHING_PROMPT_TOKENS,
        false,
    )
    .await;
    assert_eq!(answer.status(), 422);
    assert_eq!(outcome(&answer), "unknown");
    assert_eq!(error_code(answer).await, "request_quarantined");
    wait_until("both crashes are recorded", || fixture.crash_records() == 2).await;
    for entry in [&fixture.first, &fixture.second] {
        let again = send_chat(
            entry,
            MILL_KEY,
            CRASHING_PROMPT,
            CRASHING_PROMPT_TOKENS,
            false,
        )
        .await;
        assert_eq!(again.status(), 422);
        assert_eq!(outcome(&again), "not-run");
    }
    assert_eq!(fixture.crash_records(), 2);
    let other = send_chat(&fixture.second, MILL_KEY, QUESTION, 8, false).await;
    assert_eq!(other.status(), 200);
}

#[tokio::test]
async fn other_requests_answered() {
    let fixture = Fixture::start(3).await;
    let mut streams = Vec::new();
    for index in 0..9 {
        let question = format!("{QUESTION} {index}");
        let response = send_chat(&fixture.first, PRESS_KEY, &question, 150, true).await;
        streams.push((question, response));
    }
    let crashing = send_chat(
        &fixture.first,
        MILL_KEY,
        CRASHING_PROMPT,
        CRASHING_PROMPT_TOKENS,
        false,
    );
    let reading_all = streams.into_iter().map(async |(question, response)| {
        let streamed = Streamed::read(response).await;
        (question, streamed)
    });
    let (crashing, reads) = tokio::join!(crashing, futures_util::future::join_all(reading_all));
    assert_eq!(crashing.status(), 422);
    for (question, streamed) in reads {
        assert!(
            streamed.is_done(),
            "{question}: {:?}",
            streamed.events.last()
        );
        assert_eq!(streamed.text(), expected_text(&chat_prompt(&question), 150));
    }
}
