//! Starts the append and tail tasks of an instance.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

use super::{
    Appender, LogClient, RecentEntries, RelayedEntries, TailStatus,
    appender::{self, AppendInputs},
    tailer::{self, TailInputs},
};
use crate::{Settings, ledger::LedgerHandle};

/// Capacity, in batches, of the channel through which the tailer receives records
/// that peers relay.
const RELAY_CAPACITY: usize = 16;

/// Size of the buffer of the newest records, from which peers are served, in
/// bytes.
const RECENT_BYTES: usize = 4 << 20;

/// Maximum time for which the log holds a read open until the next record is
/// appended.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_millis(500);

/// Writer name in records that are appended by operators' commands.
const OPERATOR_WRITER: &str = "operator";

/// Maximum number of append requests (batches of records) per second of an
/// operator's command.
const OPERATOR_APPENDS_PER_S: u32 = 20;

/// Options of the appender and the tailer.
#[derive(Clone, Debug)]
pub struct LogOptions {
    writer: Arc<str>,
    incarnation: u64,
    log_url: Arc<str>,
    timeout: Duration,
    linger: Duration,
    long_poll_wait: Duration,
    appends_per_s: u32,
}

impl LogOptions {
    /// Derives the options from an instance's settings.
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let freshness = Duration::from_millis(settings.timing.freshness_ms);
        Self {
            writer: settings.name.clone(),
            incarnation,
            log_url: settings.platform.log_url.clone(),
            timeout: Duration::from_millis(settings.timing.platform_timeout_ms),
            linger: Duration::from_millis(settings.timing.linger_ms),
            long_poll_wait: MAX_LONG_POLL_WAIT.min(freshness / 4),
            appends_per_s: settings.limits.log_appends_per_s,
        }
    }

    /// Creates the options for an operator's command. As such a command appends
    /// few records, it sends each batch without waiting for further records.
    pub fn for_operator(log_url: &str, incarnation: u64, timeout: Duration) -> Self {
        Self {
            writer: OPERATOR_WRITER.into(),
            incarnation,
            log_url: log_url.into(),
            timeout,
            linger: Duration::ZERO,
            long_poll_wait: MAX_LONG_POLL_WAIT,
            appends_per_s: OPERATOR_APPENDS_PER_S,
        }
    }
}

/// Handles to the append and tail tasks of an instance.
#[derive(Debug)]
pub struct Log {
    /// Handle that appends records.
    pub appender: Appender,
    /// How far the tailer, the task that reads the log, has read.
    pub status: watch::Receiver<TailStatus>,
    /// Channel over which the tailer receives records relayed by peers.
    pub relayed: mpsc::Sender<RelayedEntries>,
    /// Buffer of the newest records, from which peers are served.
    pub recent: RecentEntries,
    /// The append and tail tasks, which end when the stop token is cancelled.
    pub tasks: JoinSet<()>,
}

/// Starts the append and tail tasks.
///
/// `live_instances` is the number of live instances among which the limit on
/// append requests is divided.
pub fn spawn(
    options: &LogOptions,
    ledger: LedgerHandle,
    live_instances: watch::Receiver<usize>,
    stop: &CancellationToken,
) -> Log {
    let client = LogClient::new(&options.log_url, options.timeout);
    let (fold_report_sender, fold_reports) = mpsc::unbounded_channel();
    let (relayed_sender, relayed) = mpsc::channel(RELAY_CAPACITY);
    let recent = RecentEntries::new(RECENT_BYTES);
    let append_inputs = AppendInputs {
        client: client.clone(),
        fold_reports,
        live_instances,
        appends_per_s: options.appends_per_s,
        linger: options.linger,
    };
    let tail_inputs = TailInputs {
        client,
        ledger,
        writer: options.writer.clone(),
        incarnation: options.incarnation,
        fold_reports: fold_report_sender,
        relayed,
        recent: recent.clone(),
        long_poll_wait: options.long_poll_wait,
    };
    let (appender, append_task) =
        appender::new(options.writer.clone(), options.incarnation, append_inputs);
    let (tailer, status) = tailer::new(tail_inputs);
    let mut tasks = JoinSet::new();
    tasks.spawn(append_task.run(stop.clone()));
    tasks.spawn(tailer.run(stop.clone()));
    Log {
        appender,
        status,
        relayed: relayed_sender,
        recent,
        tasks,
    }
}
