//! Usage slices and windows.
//!
//! A window is an interval for which usage is summed up and reported to the
//! platform. Windows are numbered from 1 and close in order; the lowest window
//! that is not closed is the open one. A source is one incarnation of an instance
//! that measures usage. A source reports its usage of a window in numbered slices.
//! It reports slices for the open window, or for the next window once it has
//! measured all its usage of the open one. A slice for a closed window is counted
//! in the open window.

use std::{collections::BTreeSet, sync::Arc};

use indexmap::IndexMap;

use super::{
    Rejection,
    state::{SourceState, UsageState, WindowState},
};
use crate::log::{
    Offset,
    records::{UsageLine, UsageSlice, UsageWatermark},
};

/// Number of the first window.
const FIRST_WINDOW: u64 = 1;

/// Maximum number of windows by which a slice or watermark may be ahead of the
/// open window.
const MAX_WINDOWS_AHEAD: u64 = 1;

/// Usage of one account of one service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UsageCounts {
    /// Number of requests served.
    pub requests: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub output_tokens: u64,
}

impl UsageCounts {
    fn add_line(&mut self, line: &UsageLine) {
        self.requests = self.requests.saturating_add(line.requests);
        self.prompt_tokens = self.prompt_tokens.saturating_add(line.prompt_tokens);
        self.output_tokens = self.output_tokens.saturating_add(line.output_tokens);
    }
}

/// Usage of one service by account.
pub type AccountCounts = IndexMap<Arc<str>, UsageCounts>;

/// Usage counted in one window.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WindowEntry {
    /// Number of the usage window.
    pub window: u64,
    /// Offset of the record that closed the window; 0 if the window is not closed.
    pub closed_at: Offset,
    /// Number of slices counted in this window because their own window was already
    /// closed.
    pub late_slices: u64,
    /// Counts by service and account.
    pub services: IndexMap<Arc<str>, AccountCounts>,
}

/// One incarnation of an instance that measures usage.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Source {
    name: Arc<str>,
    incarnation: u64,
}

/// Progress of one source: its counted slices and its watermark.
#[derive(Clone, Debug, Default)]
struct SourceProgress {
    /// Highest slice number up to which all slices were counted.
    counted_through: u64,
    /// Numbers of the counted slices that follow a gap after `counted_through`.
    counted_beyond_gap: BTreeSet<u64>,
    /// Last window for which the source has reported all its usage.
    watermark: u64,
    /// Offset of the last record about this source.
    offset: Offset,
}

/// Usage windows and the progress of the sources.
#[derive(Clone, Debug)]
pub(super) struct Usage {
    /// Number of the lowest usage window that is not closed.
    open_window: u64,
    /// Windows that are not closed, by number.
    windows: IndexMap<u64, WindowEntry>,
    /// Closed windows whose report the platform has not acknowledged, by number.
    unacknowledged: IndexMap<u64, WindowEntry>,
    sources: IndexMap<Source, SourceProgress>,
}

impl Default for Usage {
    fn default() -> Self {
        Self {
            open_window: FIRST_WINDOW,
            windows: IndexMap::new(),
            unacknowledged: IndexMap::new(),
            sources: IndexMap::new(),
        }
    }
}

impl Usage {
    pub(super) fn open_window(&self) -> u64 {
        self.open_window
    }

    pub(super) fn window(&self, window: u64) -> Option<&WindowEntry> {
        self.windows.get(&window)
    }

    pub(super) fn unacknowledged(&self) -> impl Iterator<Item = &WindowEntry> {
        self.unacknowledged.values()
    }

    pub(super) fn watermark(&self, source: &str, incarnation: u64) -> u64 {
        let source = Source::new(source, incarnation);
        self.sources
            .get(&source)
            .map_or(0, |progress| progress.watermark)
    }

    pub(super) fn has_counted_slice(&self, source: &str, incarnation: u64, slice: u64) -> bool {
        let source = Source::new(source, incarnation);
        self.sources
            .get(&source)
            .is_some_and(|progress| progress.has_counted(slice))
    }

    /// Counts a slice; returns `false` if it was already counted.
    pub(super) fn count_slice(
        &mut self,
        offset: Offset,
        slice: &UsageSlice,
    ) -> std::result::Result<bool, Rejection> {
        check_slice(slice)?;
        if slice.window > self.open_window + MAX_WINDOWS_AHEAD {
            return Err(Rejection::WindowNotOpen {
                window: slice.window,
                open: self.open_window,
            });
        }
        let source = Source::new(&slice.source, slice.source_incarnation);
        let progress = self.sources.entry(source).or_default();
        if !progress.mark_counted(slice.slice) {
            return Ok(false);
        }
        progress.offset = offset;
        let window = slice.window.max(self.open_window);
        let entry = self.windows.entry(window).or_default();
        entry.window = window;
        if slice.window < self.open_window {
            entry.late_slices += 1;
        }
        for line in &slice.lines {
            entry.add_line(line);
        }
        Ok(true)
    }

    pub(super) fn advance_watermark(
        &mut self,
        offset: Offset,
        watermark: &UsageWatermark,
    ) -> std::result::Result<(), Rejection> {
        if watermark.source.is_empty() {
            return Err(Rejection::Malformed("the watermark names no source"));
        }
        if watermark.window > self.open_window + MAX_WINDOWS_AHEAD {
            return Err(Rejection::WindowNotOpen {
                window: watermark.window,
                open: self.open_window,
            });
        }
        let source = Source::new(&watermark.source, watermark.source_incarnation);
        let progress = self.sources.entry(source).or_default();
        progress.watermark = progress.watermark.max(watermark.window);
        progress.offset = offset;
        Ok(())
    }

    /// Closes the open window. The counts of a closed window no longer change.
    pub(super) fn close_window(
        &mut self,
        offset: Offset,
        window: u64,
    ) -> std::result::Result<(), Rejection> {
        if window != self.open_window {
            return Err(Rejection::WindowNotOpen {
                window,
                open: self.open_window,
            });
        }
        let mut entry = self.windows.shift_remove(&window).unwrap_or_default();
        entry.window = window;
        entry.closed_at = offset;
        self.unacknowledged.insert(window, entry);
        self.open_window += 1;
        Ok(())
    }

    /// Drops a closed window whose report the platform has acknowledged.
    pub(super) fn acknowledge_window(&mut self, window: u64) -> std::result::Result<(), Rejection> {
        let known = self.unacknowledged.shift_remove(&window);
        known.ok_or(Rejection::NothingToAcknowledge(window))?;
        Ok(())
    }

    pub(super) fn expire(&mut self, up_to: Offset) {
        self.sources.retain(|_, progress| progress.offset > up_to);
    }

    pub(super) fn encode(&self) -> UsageState {
        let mut sources = Vec::with_capacity(self.sources.len());
        for (source, progress) in &self.sources {
            sources.push(SourceState {
                name: source.name.to_string(),
                incarnation: source.incarnation,
                counted_through: progress.counted_through,
                counted_beyond_gap: progress.counted_beyond_gap.iter().copied().collect(),
                watermark: progress.watermark,
                offset: progress.offset.0,
            });
        }
        UsageState {
            open_window: self.open_window,
            windows: self.windows.values().map(WindowEntry::encode).collect(),
            unacknowledged: self
                .unacknowledged
                .values()
                .map(WindowEntry::encode)
                .collect(),
            sources,
        }
    }

    pub(super) fn decode(state: UsageState) -> Self {
        let mut decoded = Self {
            open_window: state.open_window.max(FIRST_WINDOW),
            ..Self::default()
        };
        for window in state.windows {
            decoded
                .windows
                .insert(window.window, WindowEntry::decode(window));
        }
        for window in state.unacknowledged {
            decoded
                .unacknowledged
                .insert(window.window, WindowEntry::decode(window));
        }
        for source in state.sources {
            let progress = SourceProgress {
                counted_through: source.counted_through,
                counted_beyond_gap: source.counted_beyond_gap.into_iter().collect(),
                watermark: source.watermark,
                offset: Offset(source.offset),
            };
            let source = Source::new(&source.name, source.incarnation);
            decoded.sources.insert(source, progress);
        }
        decoded
    }
}

impl Source {
    fn new(name: &str, incarnation: u64) -> Self {
        Self {
            name: name.into(),
            incarnation,
        }
    }
}

impl SourceProgress {
    fn has_counted(&self, slice: u64) -> bool {
        slice <= self.counted_through || self.counted_beyond_gap.contains(&slice)
    }

    /// Marks a slice as counted; returns `false` if it already was.
    fn mark_counted(&mut self, slice: u64) -> bool {
        if self.has_counted(slice) {
            return false;
        }
        self.counted_beyond_gap.insert(slice);
        while self.counted_beyond_gap.remove(&(self.counted_through + 1)) {
            self.counted_through += 1;
        }
        true
    }
}

impl WindowEntry {
    fn add_line(&mut self, line: &UsageLine) {
        if !self.services.contains_key(line.service.as_str()) {
            self.services
                .insert(line.service.as_str().into(), AccountCounts::new());
        }
        let accounts = &mut self.services[line.service.as_str()];
        if let Some(counts) = accounts.get_mut(line.account.as_str()) {
            counts.add_line(line);
            return;
        }
        let mut counts = UsageCounts::default();
        counts.add_line(line);
        accounts.insert(line.account.as_str().into(), counts);
    }

    /// The counts of the window as one line per account, in the order in which
    /// services and accounts were first counted.
    pub fn lines(&self) -> Vec<UsageLine> {
        let mut lines = Vec::new();
        for (service, accounts) in &self.services {
            for (account, counts) in accounts {
                lines.push(UsageLine {
                    service: service.to_string(),
                    account: account.to_string(),
                    requests: counts.requests,
                    prompt_tokens: counts.prompt_tokens,
                    output_tokens: counts.output_tokens,
                });
            }
        }
        lines
    }

    fn encode(&self) -> WindowState {
        WindowState {
            window: self.window,
            closed_at: self.closed_at.0,
            late_slices: self.late_slices,
            lines: self.lines(),
        }
    }

    fn decode(state: WindowState) -> Self {
        let mut entry = Self {
            window: state.window,
            closed_at: Offset(state.closed_at),
            late_slices: state.late_slices,
            services: IndexMap::new(),
        };
        for line in &state.lines {
            entry.add_line(line);
        }
        entry
    }
}

fn check_slice(slice: &UsageSlice) -> std::result::Result<(), Rejection> {
    if slice.source.is_empty() || slice.slice == 0 {
        return Err(Rejection::Malformed(
            "the usage slice has no source or number",
        ));
    }
    for line in &slice.lines {
        if line.service.is_empty() || line.account.is_empty() {
            return Err(Rejection::Malformed(
                "a usage line has no service or account",
            ));
        }
    }
    Ok(())
}
