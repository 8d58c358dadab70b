//! Number of targets required to meet the service level.

use std::collections::VecDeque;

/// Returns the number of targets that serve a load at the given utilization,
/// which should be below 1.
///
/// The load is in units of one target's capacity, such as the demand in tokens per
/// second divided by the number of tokens per second that one target serves.
#[must_use]
pub fn needed_targets(load: f64, utilization: f64) -> u32 {
    (load / utilization).ceil() as u32
}

/// Number of targets that were needed at an instant.
#[derive(Clone, Copy, Debug)]
struct Need {
    at_ms: u64,
    targets: u32,
}

/// Maximum of the number of needed targets over a sliding window.
///
/// The maximum rises immediately and falls only after the window has passed. Targets
/// are therefore not released when the load is low for a short time only.
#[derive(Clone, Debug)]
pub struct NeedWindow {
    window_ms: u64,
    /// Observed needs that are or may become the maximum, in order of time. Each is
    /// greater than the next one, so that the front entry is the maximum.
    needs: VecDeque<Need>,
}

impl NeedWindow {
    /// Creates an empty window.
    #[must_use]
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            needs: VecDeque::new(),
        }
    }

    /// Adds the number of targets needed now and returns the maximum within the
    /// window.
    pub fn observe(&mut self, targets: u32, now_ms: u64) -> u32 {
        while self
            .needs
            .back()
            .is_some_and(|need| need.targets <= targets)
        {
            self.needs.pop_back();
        }
        self.needs.push_back(Need {
            at_ms: now_ms,
            targets,
        });
        while let Some(need) = self.needs.front() {
            if need.at_ms + self.window_ms > now_ms || self.needs.len() == 1 {
                return need.targets;
            }
            self.needs.pop_front();
        }
        targets
    }
}
