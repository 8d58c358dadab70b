//! Tests the appender and the tailer with the stand-in log and its faults.

use std::{path::Path, time::Duration};

use arbtest::arbtest;
use bytes::Bytes;
use futures_util::future::join_all;
use lavenderwind::{
    Settings,
    infra::protocol::LogEntry,
    ledger::{ApplyResult, Ledger, LedgerHandle},
    log::{
        self, Log, LogClient, LogOptions, Offset, RelayedEntries,
        records::{
            CheckpointChunk, CheckpointMark, Duty, DutyClaim, Record, RequestClaim, record::Body,
        },
    },
    standin::platform::{Platform, PlatformFaults},
};
use prost::Message;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, timeout},
};
use tokio_util::sync::CancellationToken;

/// Timeout that makes a hanging test fail.
const DEADLINE: Duration = Duration::from_secs(30);

struct Instance {
    log: Log,
    ledger: LedgerHandle,
    _live_instances: watch::Sender<usize>,
    stop: CancellationToken,
}

impl Instance {
    fn start(name: &str, log_url: &str, timeout_ms: u64) -> Self {
        Self::start_with_ledger(name, log_url, timeout_ms, Ledger::new())
    }

    fn start_with_ledger(name: &str, log_url: &str, timeout_ms: u64, ledger: Ledger) -> Self {
        let text = format!(
            "name: {name}
failure_domain: d1
entry_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
admin_address: 127.0.0.1:0
platform:
  log_url: {log_url}
  live_url: {log_url}
  targets_url: {log_url}
  usage_url: {log_url}
timing:
  platform_timeout_ms: {timeout_ms}
"
        );
        let settings = Settings::parse(&text, Path::new("entry.yaml")).unwrap();
        let ledger = LedgerHandle::new(ledger);
        let stop = CancellationToken::new();
        let (sender, live_instances) = watch::channel(1);
        let options = LogOptions::new(&settings, 1);
        let log = log::spawn(&options, ledger.clone(), live_instances, &stop);
        Self {
            log,
            ledger,
            _live_instances: sender,
            stop,
        }
    }

    async fn wait_caught_up(&mut self) {
        let caught_up = self.log.status.wait_for(|status| status.caught_up);
        timeout(DEADLINE, caught_up).await.unwrap().unwrap();
    }

    async fn wait_applied(&self, offset: Offset) {
        let mut applied = self.ledger.subscribe_applied();
        let reached = applied.wait_for(|applied| *applied >= offset);
        timeout(DEADLINE, reached).await.unwrap().unwrap();
    }

    async fn append(&self, body: Body) -> log::Receipt {
        let append = self.log.appender.append(body);
        timeout(DEADLINE, append).await.unwrap().unwrap()
    }

    fn digest(&self) -> [u8; 32] {
        self.ledger.read(Ledger::digest)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn platform() -> Platform {
    let address = "127.0.0.1:0".parse().unwrap();
    Platform::start(address, PlatformFaults::default())
        .await
        .unwrap()
}

fn claim(number: usize) -> Body {
    Body::RequestClaim(RequestClaim {
        account: "quotes/a".into(),
        idempotency_key: format!("key-{number}"),
        body_digest: vec![1; 32],
    })
}

async fn read_all(url: &str) -> Vec<LogEntry> {
    let client = LogClient::new(url, DEADLINE);
    let response = client.read(Offset(0), 100_000, Duration::ZERO).await;
    response.unwrap().entries
}

/// Appends claims concurrently and checks that each took effect exactly once.
async fn check_appends(platform: &Platform, instance: &Instance, case: &str) {
    const APPENDS: usize = 40;
    let mut appends = Vec::new();
    for number in 0..APPENDS {
        appends.push(instance.append(claim(number)));
    }
    let receipts = join_all(appends).await;
    let entries = read_all(&platform.url()).await;
    for (number, receipt) in receipts.iter().enumerate() {
        assert_eq!(
            receipt.apply_result,
            ApplyResult::Accepted,
            "{case}: append {number}"
        );
        let entry = &entries[receipt.offset.0 as usize - 1];
        let record = Record::decode(entry.record.clone()).unwrap();
        assert_eq!(record.body, Some(claim(number)));
    }
    assert_eq!(instance.ledger.read(Ledger::claim_count), APPENDS);
}

struct AppendCase {
    name: &'static str,
    faults: fn(&mut PlatformFaults),
    timeout_ms: u64,
}

/// Each append takes effect exactly once despite faults of the log.
#[tokio::test]
async fn append_once() {
    let cases = [
        AppendCase {
            name: "no fault",
            faults: |_| (),
            timeout_ms: 1_000,
        },
        AppendCase {
            name: "three responses lost",
            faults: |faults| faults.log.lose_answers = 3,
            timeout_ms: 1_000,
        },
        AppendCase {
            name: "half of the responses lost",
            faults: |faults| {
                faults.log.lose_probability = 0.5;
                faults.log.seed = 7;
            },
            timeout_ms: 1_000,
        },
        AppendCase {
            name: "slow responses",
            faults: |faults| faults.log.slow_ms = 100,
            timeout_ms: 1_000,
        },
        AppendCase {
            name: "twenty appends per second",
            faults: |faults| faults.appends_per_s = 20,
            timeout_ms: 1_000,
        },
    ];
    for case in cases {
        let platform = platform().await;
        let mut faults = PlatformFaults::default();
        (case.faults)(&mut faults);
        platform.set_faults(faults);
        let instance = Instance::start("a", &platform.url(), case.timeout_ms);
        check_appends(&platform, &instance, case.name).await;
    }
}

/// An append that starts in an outage completes after it.
#[tokio::test]
async fn append_after_outage() {
    let platform = platform().await;
    let mut instance = Instance::start("a", &platform.url(), 500);
    instance.wait_caught_up().await;
    let mut faults = PlatformFaults::default();
    faults.log.outage = true;
    platform.set_faults(faults);
    let down = instance.log.status.wait_for(|status| !status.live);
    timeout(DEADLINE, down).await.unwrap().unwrap();
    let appender = instance.log.appender.clone();
    let append = appender.append(claim(1));
    tokio::pin!(append);
    let early = timeout(Duration::from_millis(200), &mut append).await;
    assert!(early.is_err(), "an append completed during an outage");
    platform.set_faults(PlatformFaults::default());
    let receipt = timeout(DEADLINE, append).await.unwrap().unwrap();
    assert_eq!(receipt.apply_result, ApplyResult::Accepted);
    let live = instance.log.status.wait_for(|status| status.live);
    timeout(DEADLINE, live).await.unwrap().unwrap();
}

#[tokio::test]
async fn appends_share_batches() {
    let platform = platform().await;
    let instance = Instance::start("a", &platform.url(), 1_000);
    let mut appends = Vec::new();
    for number in 0..500 {
        appends.push(instance.append(claim(number)));
    }
    let started = Instant::now();
    join_all(appends).await;
    let entries = read_all(&platform.url()).await;
    assert_eq!(entries.len(), 500);
    // One append request per record would be 500 requests, as many as the stand-in
    // log accepts per second. All records of a batch have the same time of append.
    let mut batches = 1;
    for pair in entries.windows(2) {
        batches += usize::from(pair[0].appended_at_ms != pair[1].appended_at_ms);
    }
    assert!(
        batches < 100,
        "{batches} batches in {:?}",
        started.elapsed()
    );
}

/// Publishes a checkpoint and returns the offset of its mark.
async fn publish_checkpoint(instance: &Instance) -> Offset {
    let claim = DutyClaim {
        duty: Duty::Checkpoint.into(),
        after_epoch: 0,
        after_renewal: 0,
    };
    let epoch = instance.append(Body::DutyClaim(claim)).await.offset.0;
    let mark = Body::CheckpointMark(CheckpointMark { epoch });
    let mark = instance.append(mark).await;
    assert_eq!(mark.apply_result, ApplyResult::Accepted);
    for chunk in chunks(instance) {
        instance.append(Body::CheckpointChunk(chunk)).await;
    }
    mark.offset
}

fn chunks(instance: &Instance) -> Vec<CheckpointChunk> {
    instance
        .ledger
        .read(|ledger| ledger.checkpoint().unwrap().chunks())
}

/// An instance that starts after records have expired rebuilds its ledger from a
/// checkpoint.
#[tokio::test]
async fn trimmed_is_rebuilt() {
    let platform = platform().await;
    let writer = Instance::start("a", &platform.url(), 1_000);
    for number in 0..50 {
        writer.append(claim(number)).await;
    }
    let mark_offset = publish_checkpoint(&writer).await;
    let last = writer.append(claim(50)).await.offset;
    let retained = (last.0 - mark_offset.0) as usize;
    platform.set_faults(PlatformFaults {
        retention_records: retained,
        ..PlatformFaults::default()
    });
    let mut joiner = Instance::start("b", &platform.url(), 1_000);
    joiner.wait_caught_up().await;
    joiner.wait_applied(last).await;
    assert_eq!(joiner.digest(), writer.digest());
    let receipt = joiner.append(claim(51)).await;
    assert_eq!(receipt.apply_result, ApplyResult::Accepted);
}

/// A ledger whose oldest records have expired is not complete until a checkpoint is
/// published.
#[tokio::test]
async fn gap_is_incomplete() {
    let platform = platform().await;
    let mut writer = Instance::start("a", &platform.url(), 1_000);
    writer.wait_caught_up().await;
    for number in 0..50 {
        writer.append(claim(number)).await;
    }
    platform.set_faults(PlatformFaults {
        retention_records: 20,
        ..PlatformFaults::default()
    });
    let mut joiner = Instance::start("b", &platform.url(), 1_000);
    for number in 50..60 {
        writer.append(claim(number)).await;
    }
    assert!(!joiner.log.status.borrow().caught_up);
    publish_checkpoint(&writer).await;
    joiner.wait_caught_up().await;
    assert_eq!(joiner.digest(), writer.digest());
}

/// Relayed ranges of the log arrive in any order, with gaps and repetitions. The
/// tailer must fold every record once and without gaps.
#[tokio::test]
async fn relayed_folded_once() {
    const RECORDS: u64 = 40;
    let mut entries = Vec::new();
    let mut expected = Ledger::new();
    for number in 1..=RECORDS {
        let record = Record {
            writer: "w".into(),
            incarnation: 1,
            sequence: number,
            body: Some(claim(number as usize)),
        };
        expected.apply(Offset(number), &record);
        entries.push(LogEntry {
            offset: number,
            appended_at_ms: 0,
            record: Bytes::from(record.encode_to_vec()),
        });
    }
    let mut runs = Vec::new();
    let mut gaps = 0;
    for seed in 0..30_u64 {
        let mut run = Vec::new();
        // The lower half of an arbtest seed is the size of the generated input, here
        // 1,024 bytes. The upper half seeds the generator.
        arbtest(|input| {
            run.clear();
            for _ in 0..10 {
                let from = input.int_in_range(0..=RECORDS as usize - 1)?;
                let to = input.int_in_range(from..=RECORDS as usize)?;
                run.push((from, to));
            }
            Ok(())
        })
        .seed(seed << 32 | 0x400);
        gaps += usize::from(run[0].0 > 0);
        run.push((0, RECORDS as usize));
        runs.push(run);
    }
    assert!(gaps > 5, "runs that start with a gap: {gaps}");
    for run in runs {
        // Nothing listens on port 9, so that this instance cannot reach the log and
        // receives records only from the relay channel.
        let instance = Instance::start("a", "http://127.0.0.1:9", 50);
        for (from, to) in run {
            let relayed = RelayedEntries {
                entries: entries[from..to].to_vec(),
                end_offset: Offset(RECORDS),
                current_as_of: Instant::now(),
            };
            instance.log.relayed.send(relayed).await.unwrap();
        }
        instance.wait_applied(Offset(RECORDS)).await;
        assert_eq!(instance.digest(), expected.digest());
        let buffered = instance.log.recent.read(Offset(1), usize::MAX);
        assert_eq!(buffered.as_ref(), Some(&entries), "buffered for peers");
    }
}

/// Waits until an append request arrives; returns its connection without
/// responding.
async fn receive_append(listener: &TcpListener) -> TcpStream {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 16];
        stream.read_exact(&mut head).await.unwrap();
        if head.starts_with(b"POST /log/append") {
            return stream;
        }
    }
}

/// An append whose response never arrives completes when a peer relays the record and
/// all records before it, but not while there is a gap before the record.
#[tokio::test]
async fn relay_completes_append() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let instance = Instance::start("a", &url, 30_000);
    let append = instance.append(claim(3));
    tokio::pin!(append);
    let _unanswered = tokio::select! {
        receipt = &mut append => panic!("resolved before it was sent: {receipt:?}"),
        stream = receive_append(&listener) => stream,
    };
    let mut entries = Vec::new();
    for (offset, writer) in [(1, "b"), (2, "c"), (3, "a")] {
        let record = Record {
            writer: writer.into(),
            incarnation: 1,
            sequence: 1,
            body: Some(claim(offset)),
        };
        entries.push(LogEntry {
            offset: offset as u64,
            appended_at_ms: 0,
            record: Bytes::from(record.encode_to_vec()),
        });
    }
    for from in [2, 0] {
        let relayed = RelayedEntries {
            entries: entries[from..].to_vec(),
            end_offset: Offset(3),
            current_as_of: Instant::now(),
        };
        instance.log.relayed.send(relayed).await.unwrap();
    }
    let receipt = append.await;
    assert_eq!(receipt.offset, Offset(3));
    assert_eq!(receipt.apply_result, ApplyResult::Accepted);
}

/// A log whose end precedes the applied offset lags behind. Reading up to the end of
/// such a log must not mark the ledger as caught up.
#[tokio::test]
async fn lagging_log_incomplete() {
    let platform = platform().await;
    let client = LogClient::new(&platform.url(), DEADLINE);
    let mut ledger = Ledger::new();
    let mut records = Vec::new();
    for number in 1..=5 {
        let record = Record {
            writer: "w".into(),
            incarnation: 1,
            sequence: number,
            body: Some(claim(number as usize)),
        };
        ledger.apply(Offset(number), &record);
        records.push(Bytes::from(record.encode_to_vec()));
    }
    client.append(records[..2].to_vec()).await.unwrap();
    let mut instance = Instance::start_with_ledger("a", &platform.url(), 1_000, ledger);
    let live = instance.log.status.wait_for(|status| status.live);
    let status = *timeout(DEADLINE, live).await.unwrap().unwrap();
    assert!(!status.caught_up);
    client.append(records[2..].to_vec()).await.unwrap();
    instance.wait_caught_up().await;
}
