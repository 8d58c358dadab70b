//! Reads of snapshots by all instances of a fleet, on a simulated clock.

use std::time::Duration;

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use lavenderwind::policy::{
    read_backoff::{ReadBackoff, ReadOutcome},
    snapshot_pace::SnapshotPace,
};

/// Number of instances of the largest fleet.
const INSTANCES: usize = 320;

/// Rate at which the store delivers reads to all instances, in bytes per second.
const STORE_RATE: f64 = 80e6;

/// Size of the snapshots that one instance reads in the largest fleet, in bytes: a
/// configuration with 9,500 accounts, 600 targets, 320 instances.
const SNAPSHOT_BYTES: f64 = 1.7e6;

/// Time after a restart of all instances within which callers must be served again.
const RECOVERY: Duration = Duration::from_secs(15);

/// Time limit of a probe.
const PROBE_LIMIT: Duration = Duration::from_millis(700);

/// Time within which all instances of a fleet start again.
const START_SPREAD: Duration = Duration::from_millis(500);

/// Runs a property with fixed seeds. The lower half of an arbtest seed is the number of
/// random bytes.
fn check_seeds<F>(mut property: F)
where
    F: FnMut(&mut Unstructured<'_>) -> Result<()>,
{
    for seed in 0..50 {
        arbtest(&mut property).seed(seed << 32 | 0x4000).run();
    }
}

/// Store that delivers answers one after the other, also those whose callers have given
/// up.
#[derive(Default)]
struct BusyStore {
    busy_until: Duration,
}

impl BusyStore {
    /// Returns when an answer to a read that arrives at `now` is delivered.
    fn deliver(&mut self, now: Duration, bytes: f64) -> Duration {
        self.busy_until = self.busy_until.max(now) + Duration::from_secs_f64(bytes / STORE_RATE);
        self.busy_until
    }
}

fn fraction(u: &mut Unstructured<'_>) -> Result<f64> {
    Ok(f64::from(u.int_in_range(0..=1_000u32)?) / 1_000.0)
}

/// Attempts of one instance to read its snapshot.
#[derive(Default)]
struct Reader {
    pace: SnapshotPace,
    backoff: ReadBackoff,
    /// Whether the probe was answered, so that the snapshot is asked for next.
    probed: bool,
}

impl Reader {
    /// Makes the next call at `now`. Returns when the call after it is made, or when the
    /// snapshot arrives.
    fn call(
        &mut self,
        u: &mut Unstructured<'_>,
        store: &mut BusyStore,
        now: Duration,
        bytes: f64,
    ) -> Result<(Duration, bool)> {
        let (bytes, time_limit) = match self.probed {
            false => (0.0, PROBE_LIMIT),
            true => (bytes, self.pace.time_limit()),
        };
        let delivered_at = store.deliver(now, bytes);
        if delivered_at <= now + time_limit {
            let has_snapshot = std::mem::replace(&mut self.probed, true);
            return Ok((delivered_at, has_snapshot));
        }
        self.probed = false;
        let delay = self
            .backoff
            .delay_after(ReadOutcome::Failed, fraction(u)?)
            .max(self.pace.pause_after_failure(time_limit, fraction(u)?));
        Ok((now + time_limit + delay, false))
    }
}

/// Returns the time at which the last instance has its snapshot.
fn last_snapshot(u: &mut Unstructured<'_>, instances: usize, bytes: f64) -> Result<Duration> {
    let mut store = BusyStore::default();
    let mut calls = Vec::new();
    for _ in 0..instances {
        calls.push((START_SPREAD.mul_f64(fraction(u)?), Reader::default()));
    }
    let mut last = Duration::ZERO;
    while let Some(next) = (0..calls.len()).min_by_key(|&index| calls[index].0) {
        let (now, reader) = &mut calls[next];
        let (at, has_snapshot) = reader.call(u, &mut store, *now, bytes)?;
        *now = at;
        if has_snapshot {
            last = last.max(at);
            calls.swap_remove(next);
        }
    }
    Ok(last)
}

/// Guards against: a restart of the largest fleet overloads the store, and retries keep
/// it overloaded beyond the time within which callers must be served.
#[test]
fn largest_fleet_recovers() {
    check_seeds(|u| {
        let last = last_snapshot(u, INSTANCES, SNAPSHOT_BYTES)?;
        assert!(last <= RECOVERY, "the last snapshot took {last:?}");
        Ok(())
    });
}

/// However large the snapshots are, retries do not keep the store busy for ever.
#[test]
fn any_overload_ends() {
    check_seeds(|u| {
        let instances = u.int_in_range(1..=INSTANCES)?;
        let whole_s = f64::from(u.int_in_range(0..=12u32)?);
        let bytes = whole_s * STORE_RATE / instances as f64;
        let last = last_snapshot(u, instances, bytes)?;
        assert!(last <= 8 * RECOVERY, "the last snapshot took {last:?}");
        Ok(())
    });
}

/// The time limit returns to its first value after a success, and grows only when it
/// was used up.
#[test]
fn limit_follows_failures() {
    let mut pace = SnapshotPace::default();
    let first = pace.time_limit();
    pace.pause_after_failure(first / 10, 1.0);
    assert_eq!(pace.time_limit(), first, "a quick refusal is no overload");
    pace.pause_after_failure(first, 1.0);
    assert!(pace.time_limit() > first);
    pace.reset();
    assert_eq!(pace.time_limit(), first);
}
