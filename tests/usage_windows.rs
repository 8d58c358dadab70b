//! Usage windows: all measured usage is reported exactly once.
//!
//! Closing a window once the watermarks of all sources have reached it is compared
//! with closing after a fixed delay.

mod records;

use std::sync::Arc;

use lavenderwind::{
    control::{CloseInput, Identity, SliceBuffer, may_close, window_report},
    ledger::UsageCounts,
    log::records::{Duty, UsageSlice, UsageWatermark, record::Body},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use records::{Fold, Writer, acknowledge_window, close_window, usage_slice};

const WINDOW_MS: u64 = 1_000;
/// Time step of the simulation.
const TICK_MS: u64 = 10;
/// Interval at which a source completes its current slice.
const FLUSH_MS: u64 = 200;
/// Time for which the sources measure usage.
const RUN_MS: u64 = 60_000;
const SOURCES: usize = 6;
const SEEDS: u64 = 12;

/// A batch of records in flight to the log.
struct Append {
    arrives_ms: u64,
    bodies: Vec<Body>,
}

struct Source {
    writer: Writer,
    buffer: SliceBuffer,
    in_flight: Option<Append>,
    watermark: u64,
}

/// Results of one run, or their sums over several.
#[derive(Debug, Default)]
struct Totals {
    windows: u64,
    slices: u64,
    late_slices: u64,
    /// Sum, over the windows, of the time from the end of a window until its close.
    close_delay_ms: u64,
}

impl Totals {
    fn add(&mut self, other: &Self) {
        self.windows += other.windows;
        self.slices += other.slices;
        self.late_slices += other.late_slices;
        self.close_delay_ms += other.close_delay_ms;
    }

    fn late_permille(&self) -> u64 {
        1_000 * self.late_slices / self.slices.max(1)
    }

    fn mean_delay_ms(&self) -> u64 {
        self.close_delay_ms / self.windows.max(1)
    }
}

/// A simulated run of several sources and of one closer, the instance that closes
/// the windows.
struct Run {
    random: SmallRng,
    fold: Fold,
    closer: Writer,
    epoch: u64,
    sources: Vec<Source>,
    open_since_ms: u64,
    measured_requests: u64,
    reported_requests: u64,
    totals: Totals,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut fold = Fold::default();
        let mut closer = Writer::new("closer");
        let epoch = fold.take_over(&mut closer, Duty::Usage);
        let mut sources = Vec::new();
        for index in 0..SOURCES {
            let name = format!("entry-{index}");
            let identity = Identity {
                name: name.as_str().into(),
                incarnation: 1,
            };
            sources.push(Source {
                writer: Writer::new(&name),
                buffer: SliceBuffer::new(identity, WINDOW_MS),
                in_flight: None,
                watermark: 0,
            });
        }
        Self {
            random: SmallRng::seed_from_u64(seed),
            fold,
            closer,
            epoch,
            sources,
            open_since_ms: 0,
            measured_requests: 0,
            reported_requests: 0,
            totals: Totals::default(),
        }
    }

    /// Returns a random append latency; one append in twenty takes up to two
    /// windows.
    fn latency_ms(&mut self) -> u64 {
        if self.random.random_ratio(1, 20) {
            return self.random.random_range(300..2 * WINDOW_MS);
        }
        self.random.random_range(5..60)
    }

    fn tick_source(&mut self, index: usize, now_ms: u64, measure: bool) {
        let open = self.fold.ledger.open_window();
        let latency_ms = self.latency_ms();
        let measures = measure && self.random.random_ratio(1, 3);
        let source = &mut self.sources[index];
        source.buffer.advance(open, now_ms);
        if measures {
            self.measured_requests += 1;
            let counts = UsageCounts {
                requests: 1,
                ..UsageCounts::default()
            };
            let account: Arc<str> = "pokhara".into();
            source.buffer.add(&"swaps".into(), &account, counts);
        }
        if now_ms.is_multiple_of(FLUSH_MS) {
            source.buffer.complete_slice();
        }
        let arrived = source
            .in_flight
            .take_if(|append| append.arrives_ms <= now_ms);
        for body in arrived.into_iter().flat_map(|append| append.bodies) {
            self.fold.accept(&mut source.writer, body.clone());
            if let Body::UsageSlice(UsageSlice { slice, .. }) = body {
                self.totals.slices += 1;
                source.buffer.mark_flushed(slice);
            }
        }
        if source.in_flight.is_some() {
            return;
        }
        let bodies = unsent_bodies(source);
        if !bodies.is_empty() {
            source.in_flight = Some(Append {
                arrives_ms: now_ms + latency_ms,
                bodies,
            });
        }
    }

    fn tick_closer<P>(&mut self, now_ms: u64, policy: &P)
    where
        P: Fn(&CloseInput) -> bool,
    {
        let open = self.fold.ledger.open_window();
        let done = |source: &Source| self.fold.ledger.watermark(&source.writer.name, 1) >= open;
        let input = CloseInput {
            open_ms: now_ms - self.open_since_ms,
            usage_complete: self.sources.iter().all(done),
        };
        if !policy(&input) {
            return;
        }
        self.fold
            .accept(&mut self.closer, close_window(open, self.epoch));
        self.totals.windows += 1;
        self.totals.close_delay_ms += input.open_ms - WINDOW_MS;
        self.open_since_ms = now_ms;
        let entry = self.fold.ledger.unacknowledged_windows().next().unwrap();
        self.totals.late_slices += entry.late_slices;
        let report = window_report(&self.fold.ledger, open, self.epoch).unwrap();
        for figure in &report.figures {
            self.reported_requests += figure.requests;
        }
        self.fold.accept(&mut self.closer, acknowledge_window(open));
        assert_eq!(window_report(&self.fold.ledger, open, self.epoch), None);
    }
}

/// Returns the slices of a source that are not in the log, and the watermark if it
/// has risen since the last call.
fn unsent_bodies(source: &mut Source) -> Vec<Body> {
    let slices = source.buffer.unflushed().into_iter();
    let mut bodies: Vec<_> = slices.map(Body::UsageSlice).collect();
    let window = source.buffer.watermark();
    if window > source.watermark {
        source.watermark = window;
        bodies.push(Body::UsageWatermark(UsageWatermark {
            source: source.writer.name.clone(),
            source_incarnation: 1,
            window,
        }));
    }
    bodies
}

/// Runs sources and a closer, and checks that all measured usage is reported.
fn simulate<P>(seed: u64, policy: P) -> Totals
where
    P: Fn(&CloseInput) -> bool,
{
    let mut run = Run::new(seed);
    let drain_ms = 6 * WINDOW_MS;
    for now_ms in (0..RUN_MS + drain_ms).step_by(TICK_MS as usize) {
        for index in 0..SOURCES {
            run.tick_source(index, now_ms, now_ms < RUN_MS);
        }
        run.tick_closer(now_ms, &policy);
    }
    assert!(run.measured_requests > 1_000);
    assert_eq!(run.reported_requests, run.measured_requests, "seed {seed}");
    run.totals
}

fn sum_over_seeds<P>(policy: P) -> Totals
where
    P: Fn(&CloseInput) -> bool,
{
    let mut total = Totals::default();
    for seed in 0..SEEDS {
        total.add(&simulate(0x5eed_2000 + seed, &policy));
    }
    total
}

/// No fixed delay closes windows as early as watermarks with as few late slices.
#[test]
fn watermarks_versus_delay() {
    let watermarks = sum_over_seeds(|input| may_close(input, WINDOW_MS));
    println!(
        "watermarks: {} of 1000 slices late, closed {} ms after the window",
        watermarks.late_permille(),
        watermarks.mean_delay_ms()
    );
    let mut dominating_delays = 0;
    for delay_ms in [0, 50, 100, 200, 300, 400, 500] {
        let fixed = sum_over_seeds(|input| input.open_ms >= WINDOW_MS + delay_ms);
        println!(
            "{delay_ms} ms: {} of 1000 slices late, closed {} ms after the window",
            fixed.late_permille(),
            fixed.mean_delay_ms()
        );
        let no_later = fixed.mean_delay_ms() <= watermarks.mean_delay_ms();
        let no_more_late_slices = fixed.late_slices <= watermarks.late_slices;
        dominating_delays += u32::from(no_later && no_more_late_slices);
    }
    assert!(watermarks.late_slices > 0, "{watermarks:?}");
    assert_eq!(
        dominating_delays, 0,
        "a fixed delay closes windows no later than the watermarks do, with no more late slices"
    );
}

/// A late slice counts in the open window, and the closed window stays as it is.
#[test]
fn late_slice_counted() {
    let mut fold = Fold::default();
    let mut writer = Writer::new("entry-1");
    let mut closer = Writer::new("entry-2");
    let epoch = fold.take_over(&mut closer, Duty::Usage);
    fold.accept(&mut writer, usage_slice("entry-1", 1, 1, 5));
    fold.accept(&mut closer, close_window(1, epoch));
    let fixed = window_report(&fold.ledger, 1, epoch).unwrap();
    fold.accept(&mut writer, usage_slice("entry-1", 2, 1, 3));
    assert_eq!(window_report(&fold.ledger, 1, epoch).unwrap(), fixed);
    let later = fold.ledger.window(2).unwrap();
    assert_eq!(later.late_slices, 1);
    assert_eq!(later.lines()[0].requests, 3);
}

#[test]
fn repeated_slice_once() {
    let mut fold = Fold::default();
    let mut writer = Writer::new("entry-1");
    let mut peer = Writer::new("entry-2");
    // A peer appends its copy of slice 2 before the source appends slices 1 and 2.
    fold.accept(&mut peer, usage_slice("entry-1", 2, 1, 7));
    fold.accept(&mut writer, usage_slice("entry-1", 1, 1, 5));
    let apply_result = fold.push(&mut writer, usage_slice("entry-1", 2, 1, 7));
    assert_eq!(apply_result, lavenderwind::ledger::ApplyResult::Duplicate);
    assert_eq!(fold.ledger.window(1).unwrap().lines()[0].requests, 12);
}
