//! Measures the latency that the entry adds to a plain call, and its throughput
//! of relayed tokens.
//!
//! ```sh
//! cargo run --release --example measure_entry -- --seconds 10
//! ```
//!
//! Everything runs in one process over the loopback interface: stand-ins,
//! callers, and one entry instance on its own runtime.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use clap::{Arg, Command, value_parser};
use hdrhistogram::Histogram;
use lavenderwind::{
    Settings,
    entry::{Appended, EntryBuilder, LogWriter, serve},
    infra::protocol::{PlatformTarget, TargetState},
    ledger::{Ledger, LedgerHandle},
    log::{
        Offset,
        records::{Record, ServiceRevision, record::Body},
    },
    service::KindRole,
    standin::{
        engine::{Engine, EngineOptions},
        plain::{PlainFaults, PlainService},
    },
    target::{EngineClient, http_client, table::TargetTable},
};
use sha2::{Digest, Sha256};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    time::MissedTickBehavior,
};
use tokio_util::sync::CancellationToken;

/// Key of the only account.
const KEY: &str = "sk-measure";

/// Plain calls per second on each of the two routes: directly to the service and
/// through the entry.
const CALLS_PER_S: u64 = 200;

/// Number of stand-in engines.
const ENGINES: usize = 8;

/// Number of concurrent streams.
const STREAMS: usize = 384;

/// Number of tokens of one stream.
const STREAM_TOKENS: u32 = 2_000;

/// Number of threads of the entry's runtime.
const ENTRY_THREADS: usize = 2;

type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

fn main() -> Result<()> {
    let arguments = Command::new("measure_entry")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64))
                .default_value("10"),
        )
        .get_matches();
    let seconds = *arguments.get_one::<u64>("seconds").unwrap_or(&10);
    let entry_runtime = runtime("entry", ENTRY_THREADS)?;
    let runtime = runtime("others", 6)?;
    runtime.block_on(measure(&entry_runtime, Duration::from_secs(seconds)))?;
    entry_runtime.shutdown_background();
    Ok(())
}

fn runtime(name: &str, threads: usize) -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    Ok(builder
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()?)
}

async fn measure(entry_runtime: &Runtime, duration: Duration) -> Result<()> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let plain = PlainService::start(loopback, PlainFaults::default()).await?;
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let mut options = EngineOptions::default()
            .with_name(&format!("engine-{index}"))
            .with_model("adviser", "1")
            .with_time_scale(10.0);
        options.total_blocks = 200_000;
        engines.push(Engine::start(loopback, options).await?);
    }
    let entry = start_entry(entry_runtime, &plain, &engines).await?;
    measure_latency(entry, plain.addr(), duration).await?;
    measure_tokens(entry, duration).await
}

/// Starts an entry with all targets and returns its address.
async fn start_entry(
    runtime: &Runtime,
    plain: &PlainService,
    engines: &[Engine],
) -> Result<SocketAddr> {
    let ledger = LedgerHandle::new(Ledger::new());
    let log = memory_log(&ledger);
    log.append(Body::ServiceRevision(ServiceRevision {
        service: "measure".to_owned(),
        base_revision: 0,
        document: document(),
    }))
    .await?;
    let targets = TargetTable::new();
    targets.observe_list(target_list(plain, engines), |kind| match kind {
        "engine" => Some(KindRole::Engine),
        _ => Some(KindRole::Plain),
    });
    let http = http_client()?;
    let client = EngineClient::new(http.clone());
    for (index, engine) in engines.iter().enumerate() {
        let state = client.state(&engine.addr().to_string()).await?;
        targets.observe_state(&format!("engine-{index}"), state);
    }
    let settings = Arc::new(Settings::parse(SETTINGS, Path::new("measure.yaml"))?);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let listener = listener.into_std()?;
    runtime.spawn(async move {
        let http = http_client().expect("the client was built before");
        let context = EntryBuilder::new(settings, ledger, log, targets, http).build();
        let listener = TcpListener::from_std(listener).expect("the listener is bound");
        serve(context, listener, CancellationToken::new()).await
    });
    Ok(address)
}

const SETTINGS: &str = "name: measure
failure_domain: a
entry_address: 127.0.0.1:1001
peer_address: 127.0.0.1:1002
admin_address: 127.0.0.1:1003
platform: {log_url: 'http://127.0.0.1:1', live_url: 'http://127.0.0.1:1', \
targets_url: 'http://127.0.0.1:1', usage_url: 'http://127.0.0.1:1'}
";

fn document() -> String {
    format!(
        "service: measure
team: measure
routes:
  - {{path: /v1, access: keyed, repeat: idempotent, target_kind: engine, first_token_ms: 60000}}
  - {{path: /status, access: keyed, repeat: idempotent, target_kind: desk}}
models: [{{name: adviser, version: '1'}}]
accounts: [{{name: a, keys: [{{id: k, sha256: {}}}]}}]
target_kinds: [{{name: engine, role: engine}}, {{name: desk, role: plain}}]
",
        hex::encode(Sha256::digest(KEY.as_bytes()))
    )
}

/// Returns a log in memory that applies each record to the ledger at once.
fn memory_log(ledger: &LedgerHandle) -> LogWriter {
    let next = Arc::new(Mutex::new(1));
    let ledger = ledger.clone();
    LogWriter::new("measure".into(), 1, move |body| {
        let mut next = next.lock().unwrap_or_else(|error| error.into_inner());
        let offset = Offset(*next);
        let record = Record {
            writer: "measure".to_owned(),
            incarnation: 1,
            sequence: *next,
            body: Some(body),
        };
        *next += 1;
        let apply_result = ledger.apply(offset, &record);
        Box::pin(async move {
            Ok(Appended {
                offset,
                apply_result,
            })
        })
    })
}

fn target_list(plain: &PlainService, engines: &[Engine]) -> Vec<PlatformTarget> {
    let mut target_list = vec![platform_target("desk-0".to_owned(), "desk", plain.addr())];
    for (index, engine) in engines.iter().enumerate() {
        target_list.push(platform_target(
            format!("engine-{index}"),
            "engine",
            engine.addr(),
        ));
    }
    target_list
}

fn platform_target(name: String, kind: &str, address: SocketAddr) -> PlatformTarget {
    PlatformTarget {
        name: name.into(),
        kind: kind.into(),
        failure_domain: "a".into(),
        address: address.to_string().into(),
        state: TargetState::Live,
        leaves_in_ms: None,
    }
}

/// Calls the plain service alternately directly and through the entry, and prints the
/// latencies and their difference.
async fn measure_latency(entry: SocketAddr, direct: SocketAddr, duration: Duration) -> Result<()> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let period = Duration::from_micros(1_000_000 / CALLS_PER_S / 2);
    let mut tick = tokio::time::interval(period);
    tick.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let histograms = [(); 2].map(|()| Arc::new(Mutex::new(Histogram::<u64>::new(3).ok())));
    let calls = duration.as_micros() / period.as_micros();
    let mut running = Vec::new();
    for index in 0..calls {
        tick.tick().await;
        let route = (index % 2) as usize;
        let address = [direct, entry][route];
        let request = client
            .get(format!("http://{address}/status/1"))
            .bearer_auth(KEY);
        let histogram = Arc::clone(&histograms[route]);
        running.push(tokio::spawn(async move {
            let started = Instant::now();
            let response = request.send().await?.error_for_status()?;
            response.bytes().await?;
            let elapsed_us = started.elapsed().as_micros() as u64;
            let mut histogram = histogram.lock().unwrap_or_else(|e| e.into_inner());
            if let Some(histogram) = histogram.as_mut() {
                histogram.saturating_record(elapsed_us);
            }
            Ok::<(), reqwest::Error>(())
        }));
    }
    for call in running {
        call.await??;
    }
    let mut figures = Vec::new();
    for (name, histogram) in ["direct", "entry"].iter().zip(&histograms) {
        let histogram = histogram.lock().unwrap_or_else(|e| e.into_inner());
        let Some(histogram) = histogram.as_ref() else {
            continue;
        };
        let median = histogram.value_at_quantile(0.5);
        let p99 = histogram.value_at_quantile(0.99);
        println!(
            "{name}: {} calls at {CALLS_PER_S}/s, median {median} us, p99 {p99} us",
            histogram.len()
        );
        figures.push((median, p99));
    }
    if let [direct, entry] = figures[..] {
        let median = entry.0.saturating_sub(direct.0);
        let p99 = entry.1.saturating_sub(direct.1);
        println!("added: median {median} us (bound 300), p99 {p99} us (bound 1000)");
    }
    Ok(())
}

/// Keeps [`STREAMS`] streams running and counts the tokens received.
async fn measure_tokens(entry: SocketAddr, duration: Duration) -> Result<()> {
    let tokens = Arc::new(AtomicU64::new(0));
    let failures = Arc::new(AtomicU64::new(0));
    for index in 0..STREAMS {
        let tokens = Arc::clone(&tokens);
        let failures = Arc::clone(&failures);
        tokio::spawn(async move {
            loop {
                if read_stream(entry, index, &tokens).await.is_err() {
                    failures.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let cpu_before = thread_cpu_ticks("entry");
    let before = tokens.load(Ordering::Relaxed);
    let started = Instant::now();
    tokio::time::sleep(duration).await;
    let relayed = tokens.load(Ordering::Relaxed) - before;
    let elapsed_s = started.elapsed().as_secs_f64();
    let cpu_s = (thread_cpu_ticks("entry") - cpu_before) as f64 / TICKS_PER_S;
    println!(
        "relayed: {:.0} tokens/s by {STREAMS} streams (bound 75000), {} failed, \
         {:.2} cores of the entry's {ENTRY_THREADS} threads",
        relayed as f64 / elapsed_s,
        failures.load(Ordering::Relaxed),
        cpu_s / elapsed_s,
    );
    Ok(())
}

/// Clock ticks per second in the kernel's accounting of CPU time.
const TICKS_PER_S: f64 = 100.0;

/// Returns the total CPU time of the threads of this process called `name`, in
/// clock ticks.
fn thread_cpu_ticks(name: &str) -> u64 {
    let mut ticks = 0;
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else {
        return 0;
    };
    for thread in threads.flatten() {
        let Ok(stat) = std::fs::read_to_string(thread.path().join("stat")) else {
            continue;
        };
        if !stat.contains(&format!("({name})")) {
            continue;
        }
        let fields: Vec<&str> = stat.split(") ").last().unwrap_or("").split(' ').collect();
        for field in fields.iter().skip(11).take(2) {
            ticks += field.parse::<u64>().unwrap_or(0);
        }
    }
    ticks
}

async fn read_stream(entry: SocketAddr, index: usize, tokens: &AtomicU64) -> Result<()> {
    let body = format!(
        "{{\"model\":\"adviser\",\"prompt\":\"question {index}\",\"max_tokens\":{STREAM_TOKENS},\"stream\":true}}"
    );
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut connection = TcpStream::connect(entry).await?;
    connection.write_all(head.as_bytes()).await?;
    connection.write_all(body.as_bytes()).await?;
    let mut buffer = vec![0; 64 << 10];
    let mut complete = false;
    loop {
        let length = connection.read(&mut buffer).await?;
        if length == 0 {
            break;
        }
        let read = &buffer[..length];
        // Each event contains exactly two closing braces, at its end.
        let events = read.iter().filter(|byte| **byte == b'}').count() as u64;
        tokens.fetch_add(events / 2, Ordering::Relaxed);
        complete |= read.windows(6).any(|window| window == b"[DONE]");
    }
    if !complete {
        return Err("the stream ended before [DONE]".into());
    }
    Ok(())
}
