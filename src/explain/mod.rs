//! Traces one request through the logs of all instances.
//!
//! [`trace_request`] selects the log lines of the request, and the lines about
//! the targets involved from shortly before it was received until its last
//! line.
//!
//! ```
//! use lavenderwind::explain::trace_request;
//!
//! let log = r#"{"timestamp":"2026-04-30T03:07:48.5Z","level":"INFO",
//!  "message":"gateway: request refused: no target can take the request now",
//!  "request":"r-1","status":503,"elapsed_ms":40}"#.replace('\n', "");
//! let trace = trace_request("r-1", [log]);
//! assert_eq!(trace.outcome(), "refused with status 503: no target can take the request now");
//! ```

mod line;
mod refusal;

use std::{fmt, sync::Arc};

use indexmap::IndexSet;

pub use line::LogLine;

/// Time before the start of a request from which lines about its targets are
/// selected, in seconds.
const TARGET_LOOKBACK_S: f64 = 10.0;

/// Log lines that concern one request, ordered by time.
#[derive(Clone, Debug, Default)]
pub struct RequestTrace {
    lines: Vec<LogLine>,
    request: Arc<str>,
}

/// Selects the log lines that concern the request with identifier `id`; lines
/// that cannot be parsed are skipped.
pub fn trace_request<I>(id: &str, lines: I) -> RequestTrace
where
    I: IntoIterator<Item = String>,
{
    let mut request_lines = Vec::new();
    let mut target_lines = Vec::new();
    for line in lines {
        let Some(line) = LogLine::parse(&line) else {
            continue;
        };
        match line.request() {
            Some(request) if request == id => request_lines.push(line),
            Some(_) => {}
            None if line.target().is_some() => target_lines.push(line),
            None => {}
        }
    }
    let targets: IndexSet<Arc<str>> = request_lines.iter().filter_map(LogLine::target).collect();
    let times = request_lines.iter().map(LogLine::time_s);
    let start_s = request_lines
        .iter()
        .map(LogLine::start_s)
        .fold(f64::MAX, f64::min);
    let end_s = times.fold(f64::MIN, f64::max);
    target_lines.retain(|line| {
        let is_involved = line
            .target()
            .is_some_and(|target| targets.contains(&target));
        is_involved && (start_s - TARGET_LOOKBACK_S..=end_s).contains(&line.time_s())
    });
    request_lines.append(&mut target_lines);
    request_lines.sort_by(|a, b| a.time_s().total_cmp(&b.time_s()));
    RequestTrace {
        lines: request_lines,
        request: id.into(),
    }
}

impl RequestTrace {
    /// Returns `true` if no log line has the request's identifier.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Returns the selected lines, ordered by time.
    #[must_use]
    pub fn lines(&self) -> &[LogLine] {
        &self.lines
    }

    /// Describes the outcome of the request.
    #[must_use]
    pub fn outcome(&self) -> String {
        for line in self.request_lines().rev() {
            if let Some(outcome) = line.outcome() {
                return outcome;
            }
        }
        match self.is_empty() {
            true => "no log line names the request: it reached no instance, or lines were dropped"
                .to_owned(),
            false => "no outcome logged: the instance ended, or lines were dropped".to_owned(),
        }
    }

    /// Returns the longest time between two consecutive lines of the request,
    /// in milliseconds, and the message of the later line.
    ///
    /// The time before the first line counts from the start of its operation.
    #[must_use]
    pub fn longest_wait_ms(&self) -> Option<(u64, &str)> {
        let mut longest: Option<(u64, &str)> = None;
        let mut last_s = self.request_lines().next()?.start_s();
        for line in self.request_lines() {
            let wait_ms = ((line.time_s() - last_s).max(0.0) * 1_000.0).round() as u64;
            last_s = line.time_s();
            if longest.is_none_or(|(most_ms, _)| wait_ms > most_ms) {
                longest = Some((wait_ms, line.message()));
            }
        }
        longest
    }

    fn request_lines(&self) -> impl DoubleEndedIterator<Item = &LogLine> {
        let request = &*self.request;
        let lines = self.lines.iter();
        lines.filter(move |line| line.request() == Some(request))
    }
}

impl fmt::Display for RequestTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        writeln!(f, "outcome: {}", self.outcome())?;
        if let Some((wait_ms, message)) = self.longest_wait_ms() {
            writeln!(f, "longest wait: {wait_ms} ms, until \"{message}\"")?;
        }
        Ok(())
    }
}
