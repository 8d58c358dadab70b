//! What targets say in their answers, as reported by this instance and its peers.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{
    frames::{TargetNotice, frame::Body},
    state::State,
};

/// Maximum number of targets whose notices are kept. Above it, the oldest that is no longer
/// in force is removed, or else the oldest one.
const MAX_TARGETS: usize = 16_384;

/// Latest notice of each target.
#[derive(Debug, Default)]
pub(super) struct TargetNotices {
    by_target: IndexMap<Arc<str>, TargetNotice>,
    /// Notices of peers since they were last taken.
    unread: Vec<TargetNotice>,
}

impl TargetNotices {
    /// Keeps a notice; returns whether it is new.
    fn insert(&mut self, notice: &TargetNotice) -> bool {
        let target: Arc<str> = notice.target.as_str().into();
        if self.by_target.get(&target) == Some(notice) {
            return false;
        }
        if self.by_target.len() >= MAX_TARGETS && !self.by_target.contains_key(&target) {
            let mut notices = self.by_target.values();
            let oldest = notices.position(|notice| !is_in_force(notice));
            self.by_target.shift_remove_index(oldest.unwrap_or(0));
        }
        self.by_target.insert(target, notice.clone());
        true
    }

    /// Returns the notices of peers since the last call.
    pub(super) fn take_unread(&mut self) -> Vec<TargetNotice> {
        std::mem::take(&mut self.unread)
    }

    /// Returns the frames that tell a peer about all targets.
    pub(super) fn frames(&self) -> Vec<Body> {
        let notices = self.by_target.values();
        let in_force = notices.filter(|notice| is_in_force(notice));
        in_force.cloned().map(Body::TargetNotice).collect()
    }
}

/// Returns whether a notice says anything that holds on.
fn is_in_force(notice: &TargetNotice) -> bool {
    notice.leaving || notice.limit_milli_per_s.is_some()
}

impl State {
    /// Adds a notice, and tells peers if it is new. `from` is the peer that reported it,
    /// if any did.
    pub(super) fn add_notice(&mut self, notice: TargetNotice, from: Option<&str>) {
        if !self.notices.insert(&notice) {
            return;
        }
        if from.is_some() {
            self.notices.unread.push(notice.clone());
        }
        self.reports.push(Body::TargetNotice(notice), from);
    }
}
