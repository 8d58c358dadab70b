//! How many targets the service level needs.

use std::collections::VecDeque;

/// Returns the targets that serve a load at a utilization below 1.
///
/// The load is in targets' worth of work, such as tokens a second divided by
/// those of one target.
#[must_use]
pub fn needed_targets(load: f64, utilization: f64) -> u32 {
    (load / utilization).ceil() as u32
}

#[derive(Clone, Copy, Debug)]
struct Need {
    at_ms: u64,
    targets: u32,
}

/// Largest need within a window: it rises at once and falls only when the
/// window has passed, so that a short lull releases nothing.
#[derive(Clone, Debug)]
pub struct NeedWindow {
    window_ms: u64,
    // Falling needs; the front is the largest.
    needs: VecDeque<Need>,
}

impl NeedWindow {
    /// Creates a window without needs.
    #[must_use]
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            needs: VecDeque::new(),
        }
    }

    /// Takes in the need of now and returns the largest within the window.
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
