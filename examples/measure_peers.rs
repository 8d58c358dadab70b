//! Measures append throughput and peer traffic of instances over loopback.
//!
//! `cargo run --release --example measure_peers -- appends|traffic [INSTANCES...]`

use std::{error::Error, fs, path::Path, time::Duration};

use clap::{Arg, Command, value_parser};
use hdrhistogram::Histogram;
use lavenderwind::{
    Settings,
    infra::LiveClient,
    ledger::{Ledger, LedgerHandle},
    log::{
        self, Log, LogClient, LogOptions, Offset,
        records::{RequestClaim, record::Body},
    },
    peer::{self, PeerHandle, PeerInputs, Peers, TargetLoad},
    standin::platform::{Platform, PlatformFaults},
};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

/// Duration of each measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(5);

/// Time to wait for connections to open before a measurement.
const CONNECT_WAIT: Duration = Duration::from_secs(6);

/// Number of failure domains over which instances are distributed.
const FAILURE_DOMAINS: usize = 6;

/// Number of concurrent appends per writer.
const APPENDS_IN_FLIGHT: usize = 8;

/// Interval at which the loads of all instances change.
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);

/// Number of targets with changing loads.
const TARGETS: usize = 18;
/// Number of accounts with served tokens.
const ACCOUNTS: usize = 8;

/// Ticks per second of the CPU time in `/proc/self/stat` (`USER_HZ`).
const TICKS_PER_S: f64 = 100.0;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

#[tokio::main]
async fn main() -> Result<()> {
    let kinds = ["appends", "traffic"];
    let matches = Command::new("measure_peers")
        .arg(Arg::new("kind").required(true).value_parser(kinds))
        .arg(
            Arg::new("instances")
                .num_args(1..)
                .value_parser(value_parser!(usize))
                .default_values(["2", "4", "8", "16"]),
        )
        .get_matches();
    let mut counts = Vec::new();
    for count in matches.get_many::<usize>("instances").into_iter().flatten() {
        counts.push(*count);
    }
    let kind = matches.get_one::<String>("kind").map(String::as_str);
    match kind {
        Some("appends") => measure_appends(&counts).await,
        _ => measure_traffic(&counts).await,
    }
}

struct Instance {
    log: Log,
    ledger: LedgerHandle,
    handle: PeerHandle,
    stop: CancellationToken,
    _peers: Peers,
}

impl Instance {
    async fn start(index: usize, linger_ms: u64, platform: &Platform) -> Result<Self> {
        let url = platform.url();
        let text = format!(
            "name: entry-{index}
failure_domain: domain-{}
entry_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
admin_address: 127.0.0.1:0
platform:
  log_url: {url}
  live_url: {url}
  targets_url: {url}
  usage_url: {url}
timing:
  linger_ms: {linger_ms}
",
            index % FAILURE_DOMAINS
        );
        let settings = Settings::parse(&text, Path::new("measure.yaml"))?;
        let ledger = LedgerHandle::new(Ledger::new());
        let stop = CancellationToken::new();
        let (live_sender, live_instances) = watch::channel(1);
        let options = LogOptions::new(&settings, 1);
        let log = log::spawn(&options, ledger.clone(), live_instances, &stop);
        let listener = TcpListener::bind(settings.peer_address).await?;
        let inputs = PeerInputs {
            settings: &settings,
            log: &log,
            ledger: ledger.clone(),
            live_instances: live_sender,
            live_client: LiveClient::new(reqwest::Client::new(), &url, Duration::from_secs(1)),
            listener,
            admin_address: settings.admin_address,
        };
        let peers = peer::spawn(inputs, &stop)?;
        Ok(Self {
            log,
            ledger,
            handle: peers.handle.clone(),
            stop,
            _peers: peers,
        })
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Starts a platform and `count` instances, and waits for their connections.
async fn start_instances(count: usize, linger_ms: u64) -> Result<(Platform, Vec<Instance>)> {
    let platform = Platform::start("127.0.0.1:0".parse()?, PlatformFaults::default()).await?;
    let mut instances = Vec::new();
    for index in 0..count {
        instances.push(Instance::start(index, linger_ms, &platform).await?);
    }
    sleep(CONNECT_WAIT).await;
    Ok((platform, instances))
}

async fn measure_appends(counts: &[usize]) -> Result<()> {
    println!(
        "writers linger_ms records/s appends/s records/append p50_ms p99_ms \
         cpu_us_a_record_and_instance"
    );
    for linger_ms in [0, 2, 10] {
        for &writers in counts {
            let (platform, instances) = start_instances(writers, linger_ms).await?;
            let before = instances[0].ledger.applied();
            let cpu_before_s = cpu_s()?;
            let latency_us = append_for(&instances, MEASUREMENT_DURATION).await?;
            let used_cpu_s = cpu_s()? - cpu_before_s;
            let last = instances[0].ledger.applied();
            let appends = count_appends(&platform, before, last).await?;
            let records = latency_us.len() as f64;
            println!(
                "{writers:7} {linger_ms:9} {:9.0} {:9.0} {:14.1} {:6.1} {:6.1} {:6.1}",
                records / MEASUREMENT_DURATION.as_secs_f64(),
                appends as f64 / MEASUREMENT_DURATION.as_secs_f64(),
                records / appends as f64,
                latency_us.value_at_quantile(0.5) as f64 / 1e3,
                latency_us.value_at_quantile(0.99) as f64 / 1e3,
                used_cpu_s * 1e6 / records / writers as f64,
            );
        }
    }
    Ok(())
}

/// Appends from all instances for `duration` and returns the latencies in
/// microseconds.
async fn append_for(instances: &[Instance], duration: Duration) -> Result<Histogram<u64>> {
    let end = Instant::now() + duration;
    let mut tasks = JoinSet::new();
    for instance in instances {
        for worker in 0..APPENDS_IN_FLIGHT {
            let appender = instance.log.appender.clone();
            tasks.spawn(async move {
                let mut latencies_us = Vec::new();
                while Instant::now() < end {
                    let started_at = Instant::now();
                    let body = Body::RequestClaim(RequestClaim {
                        account: "quotes/a".into(),
                        idempotency_key: format!("{worker}-{}", latencies_us.len()),
                        body_digest: vec![1; 32],
                    });
                    if appender.append(body).await.is_ok() {
                        latencies_us.push(started_at.elapsed().as_micros() as u64);
                    }
                }
                latencies_us
            });
        }
    }
    let mut histogram = Histogram::new(3)?;
    while let Some(latencies_us) = tasks.join_next().await {
        for latency_us in latencies_us? {
            histogram.record(latency_us)?;
        }
    }
    Ok(histogram)
}

/// Counts batches, which are runs of consecutive records with the same writer
/// and append time.
async fn count_appends(platform: &Platform, after: Offset, last: Offset) -> Result<usize> {
    let client = LogClient::new(&platform.url(), MEASUREMENT_DURATION);
    let mut appends = 0;
    let mut previous = None;
    let mut next = Offset(after.0 + 1);
    while next <= last {
        let response = client.read(next, 10_000, Duration::ZERO).await?;
        for entry in response.entries {
            next = Offset(entry.offset + 1);
            let record: log::records::Record = prost::Message::decode(entry.record)?;
            let batch = Some((record.writer, entry.appended_at_ms));
            appends += usize::from(batch != previous);
            previous = batch;
        }
    }
    Ok(appends)
}

/// Sample of the counters of this process and its instances.
struct Sample {
    cpu_s: f64,
    rss_kb: u64,
    sent: Vec<peer::SentFrames>,
}

impl Sample {
    fn take(instances: &[Instance]) -> Result<Self> {
        let mut sent = Vec::new();
        for instance in instances {
            sent.push(instance.handle.sent_frames());
        }
        Ok(Self {
            cpu_s: cpu_s()?,
            rss_kb: rss_kb()?,
            sent,
        })
    }
}

async fn measure_traffic(counts: &[usize]) -> Result<()> {
    println!(
        "instances load links_mean links_max frames/s_mean bytes/s_mean bytes/s_max \
         bytes/frame cpu_%_an_instance rss_kb"
    );
    for &count in counts {
        let (_platform, instances) = start_instances(count, 2).await?;
        for load in ["idle", "busy"] {
            let before = Sample::take(&instances)?;
            let end = Instant::now() + MEASUREMENT_DURATION;
            let mut step = 0;
            while Instant::now() < end {
                if load == "busy" {
                    change_loads(&instances, step);
                }
                step += 1;
                sleep(CHANGE_INTERVAL).await;
            }
            print_traffic(load, &instances, &before, &Sample::take(&instances)?);
        }
    }
    Ok(())
}

/// Reports a new load of every target and served tokens of every account from every
/// instance.
fn change_loads(instances: &[Instance], step: u64) {
    for (index, instance) in instances.iter().enumerate() {
        for target in 0..TARGETS {
            let change = step.wrapping_mul(7919) + (index * TARGETS + target) as u64;
            let load = TargetLoad {
                requests: (change % 9) as u32,
                tokens: change % 20_000,
                blocks: change % 1_000,
            };
            let name = format!("engine-{target}");
            instance.handle.report_load(&name, load);
        }
        for account in 0..ACCOUNTS {
            let name = format!("quotes/account-{account}");
            instance.handle.report_amount(&name, 40 + step % 17);
        }
    }
}

fn print_traffic(load: &str, instances: &[Instance], before: &Sample, after: &Sample) {
    let seconds = MEASUREMENT_DURATION.as_secs_f64();
    let count = instances.len() as f64;
    let mut links = 0;
    let mut links_max = 0;
    let mut total = peer::SentFrames::default();
    let mut bytes_max = 0;
    for (index, instance) in instances.iter().enumerate() {
        let connected = instance.handle.connected().len();
        links += connected;
        links_max = links_max.max(connected);
        let bytes = after.sent[index].bytes - before.sent[index].bytes;
        total.bytes += bytes;
        total.frames += after.sent[index].frames - before.sent[index].frames;
        bytes_max = bytes_max.max(bytes);
    }
    println!(
        "{:9} {load} {:10.1} {links_max:9} {:13.1} {:12.0} {:11.0} {:11.1} {:17.2} {:6}",
        instances.len(),
        links as f64 / count,
        total.frames as f64 / seconds / count,
        total.bytes as f64 / seconds / count,
        bytes_max as f64 / seconds,
        total.bytes as f64 / total.frames as f64,
        (after.cpu_s - before.cpu_s) / seconds / count * 100.0,
        after.rss_kb,
    );
}

/// Returns the CPU time of this process in seconds.
fn cpu_s() -> Result<f64> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let mut ticks = 0.0;
    for field in fields.split(' ').skip(11).take(2) {
        ticks += field.parse::<f64>()?;
    }
    Ok(ticks / TICKS_PER_S)
}

/// Returns the resident set size of this process in kB, as in `VmRSS`.
fn rss_kb() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    for line in status.lines() {
        let Some(value) = line.strip_prefix("VmRSS:") else {
            continue;
        };
        return Ok(value.trim_end_matches("kB").trim().parse()?);
    }
    Err("no VmRSS in /proc/self/status".into())
}
