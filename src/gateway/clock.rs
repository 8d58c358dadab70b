//! Clocks that keep counting while the machine is suspended, and that ignore sudden
//! jumps of the system clock.

use std::{
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

use crate::sync;

/// Largest change of the system clock, relative to the boot clock, that is adopted
/// immediately, in milliseconds. A larger change counts as a jump.
const MAX_DRIFT_MS: i64 = 150;

/// Time after which a jump that persists is adopted as a correction of the system
/// clock, in milliseconds.
const JUMP_ADOPTION_MS: u64 = 120_000;

/// Returns the milliseconds since the machine started, suspension included.
pub(super) fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Unix clock that follows a jump of the system clock only once the jump has lasted
/// for [`JUMP_ADOPTION_MS`].
#[derive(Debug)]
pub(super) struct WallClock {
    offset: Mutex<UnixOffset>,
}

/// Adopted difference between Unix time and the time since boot.
#[derive(Clone, Copy, Debug)]
struct UnixOffset {
    offset_ms: i64,
    /// Time since boot at which a jump that is not yet adopted was first measured.
    jumped_at_ms: Option<u64>,
}

impl WallClock {
    pub(super) fn new() -> Self {
        Self {
            offset: Mutex::new(UnixOffset {
                offset_ms: measure_offset_ms(boot_ms()),
                jumped_at_ms: None,
            }),
        }
    }

    /// Returns the Unix time in milliseconds, without jumps that are not yet
    /// adopted.
    pub(super) fn now_ms(&self) -> u64 {
        let boot_ms = boot_ms();
        let mut offset = sync::lock(&self.offset);
        offset.observe(measure_offset_ms(boot_ms), boot_ms);
        (boot_ms as i64 + offset.offset_ms).max(0) as u64
    }
}

impl UnixOffset {
    /// Adopts a measured difference if it is close to the adopted one, or if all
    /// differences measured in the last [`JUMP_ADOPTION_MS`] were far from the adopted
    /// one.
    fn observe(&mut self, measured_offset_ms: i64, boot_ms: u64) {
        if (measured_offset_ms - self.offset_ms).abs() <= MAX_DRIFT_MS {
            self.offset_ms = measured_offset_ms;
            self.jumped_at_ms = None;
            return;
        }
        let jumped_at_ms = *self.jumped_at_ms.get_or_insert(boot_ms);
        if boot_ms.saturating_sub(jumped_at_ms) >= JUMP_ADOPTION_MS {
            self.offset_ms = measured_offset_ms;
            self.jumped_at_ms = None;
        }
    }
}

fn measure_offset_ms(boot_ms: u64) -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as i64) - boot_ms as i64
}
