//! What targets say in their answers about the requests that they take, shared with
//! peers.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio::time::sleep;

use crate::{
    gateway::state::State,
    peer::{PeerHandle, TargetNotice, rendezvous_order},
    platform::TargetHints,
    policy::{
        target_notices::{SenderRank, TargetNotices},
        token_bucket::MILLI,
    },
    roster::Target,
};

/// Interval at which notices of peers are applied.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(250);

/// Time for which it is remembered that a target leaves after it has left the list. A restored
/// store may list it again.
const LEFT_PERIOD_MS: u64 = 600_000;

/// Notices of one boot of a target.
#[derive(Debug, Default)]
struct BootNotices {
    started_at_unix_ms: u64,
    notices: TargetNotices,
    /// Since when the list does not have the target.
    unlisted_since_ms: Option<u64>,
}

impl BootNotices {
    /// Returns whether the notices are still needed for a target that is not listed.
    fn outlive_entry(&mut self, now_ms: u64) -> bool {
        let since_ms = *self.unlisted_since_ms.get_or_insert(now_ms);
        self.notices.is_leaving() && now_ms < since_ms + LEFT_PERIOD_MS
    }
}

/// Notices of all targets.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Notices {
    /// Notices by target identifier, of targets that have said anything.
    targets: IndexMap<Arc<str>, BootNotices>,
}

impl Notices {
    fn get(&self, target: &Target) -> Option<&TargetNotices> {
        let known = self.targets.get(&target.id)?;
        (known.started_at_unix_ms == target.started_at_unix_ms).then_some(&known.notices)
    }

    fn get_mut(&mut self, target: &Target) -> Option<&mut TargetNotices> {
        let known = self.targets.get_mut(&target.id)?;
        (known.started_at_unix_ms == target.started_at_unix_ms).then_some(&mut known.notices)
    }

    /// Returns the notices of a boot, and forgets those of an earlier one; `None` if a later
    /// boot is known.
    fn entry(&mut self, id: &Arc<str>, started_at_unix_ms: u64) -> Option<&mut TargetNotices> {
        let known = self.targets.entry(id.clone()).or_default();
        if known.started_at_unix_ms > started_at_unix_ms {
            return None;
        }
        if known.started_at_unix_ms < started_at_unix_ms {
            *known = BootNotices {
                started_at_unix_ms,
                ..BootNotices::default()
            };
        }
        Some(&mut known.notices)
    }

    /// Removes the notices of targets for which `is_listed` returns false, but for those that
    /// have announced that they leave.
    pub(in crate::gateway) fn retain<F>(&mut self, is_listed: F, now_ms: u64)
    where
        F: Fn(&str) -> bool,
    {
        self.targets.retain(|id, boot| {
            if !is_listed(id) {
                return boot.outlive_entry(now_ms);
            }
            boot.unlisted_since_ms = None;
            true
        });
    }
}

impl State {
    /// Takes in what a target has said in an answer, and reports it to peers.
    pub(in crate::gateway) fn note_hints(&self, target: &Target, hints: &TargetHints) {
        if let Some(pause) = hints.pause {
            self.note_pause(target, pause);
        }
        let (known_limit_per_s, was_leaving) = {
            let notices = self.notices();
            let known = notices.get(target);
            (
                known.and_then(TargetNotices::limit_per_s),
                known.is_some_and(TargetNotices::is_leaving),
            )
        };
        let leaves_now = hints.is_leaving && !was_leaving;
        if known_limit_per_s == hints.limit_per_s && !leaves_now {
            return;
        }
        let is_reported = self.note_change(&target.id, target.started_at_unix_ms, hints);
        let Some(peers) = self.peers().filter(|_| is_reported) else {
            return;
        };
        peers.report_notice(TargetNotice {
            target: target.id.to_string(),
            started_at_unix_ms: target.started_at_unix_ms,
            limit_milli_per_s: hints.limit_per_s.map(|limit| (limit * MILLI as f64) as u64),
            leaving: hints.is_leaving || was_leaving,
        });
    }

    /// Keeps the time for which a target wants no request from this instance.
    fn note_pause(&self, target: &Target, pause: Duration) {
        let until_ms = self.now_ms() + pause.as_millis() as u64;
        let mut notices = self.notices();
        if let Some(noted) = notices.entry(&target.id, target.started_at_unix_ms) {
            noted.pause_until(until_ms);
        }
        drop(notices);
        tracing::info!(
            target = &*target.id,
            pause_ms = pause.as_millis() as u64,
            "gateway: target asked for a pause"
        );
    }

    /// Returns the time until a target of a service takes requests, if there are targets
    /// and none takes any now.
    pub(in crate::gateway) fn pause_left(&self, service: &str) -> Option<Duration> {
        let now_ms = self.now_ms();
        let targets = self.ready_targets(service);
        let notices = self.notices();
        let mut shortest_ms = None;
        for target in &targets {
            let noted = notices.get(target);
            let wait_ms = noted.map_or(Some(0), |noted| noted.wait_ms(now_ms));
            let Some(wait_ms) = wait_ms else {
                continue;
            };
            shortest_ms = Some(shortest_ms.map_or(wait_ms, |shortest: u64| shortest.min(wait_ms)));
        }
        let shortest_ms = shortest_ms.filter(|shortest_ms| *shortest_ms > 0)?;
        Some(Duration::from_millis(shortest_ms))
    }

    /// Keeps and logs what a target has said. Returns whether it is worth a report to
    /// peers.
    fn note_change(&self, id: &Arc<str>, started_at_unix_ms: u64, hints: &TargetHints) -> bool {
        let rank = self.sender_rank(id);
        let now_ms = self.now_ms();
        let mut notices = self.notices();
        let Some(noted) = notices.entry(id, started_at_unix_ms) else {
            return false;
        };
        let leaves_now = hints.is_leaving && !noted.is_leaving();
        let limit_changed = noted.set_limit(hints.limit_per_s, rank, now_ms);
        if leaves_now {
            noted.set_leaving();
            tracing::info!(target = &**id, "gateway: target announced that it leaves");
        }
        if limit_changed {
            tracing::info!(
                target = &**id,
                limit_per_s = hints.limit_per_s,
                rank = rank.rank,
                instances = rank.instances,
                "gateway: target changed its limit"
            );
        }
        leaves_now || limit_changed
    }

    /// Returns whether a target may be sent a request now, by what it said in its
    /// answers.
    pub(in crate::gateway) fn admits(&self, target: &Target) -> bool {
        let now_ms = self.now_ms();
        let notices = self.notices();
        let noted = notices.get(target);
        noted.is_none_or(|noted| noted.admits(now_ms))
    }

    /// Takes the permission to send one request to a target; returns whether the target
    /// wants it, by what it said in its answers.
    pub(in crate::gateway) fn take_send(&self, target: &Target) -> bool {
        let now_ms = self.now_ms();
        let mut notices = self.notices();
        let noted = notices.get_mut(target);
        noted.is_none_or(|noted| noted.take(now_ms))
    }

    /// Returns whether a target has announced that it leaves.
    pub(in crate::gateway) fn announced_leaving(&self, target: &Target) -> bool {
        let notices = self.notices();
        notices.get(target).is_some_and(TargetNotices::is_leaving)
    }

    /// Returns this instance's position among those that send to a target with a limit.
    fn sender_rank(&self, target: &str) -> SenderRank {
        let own_name = &self.settings.name;
        let mut names = self.peers().map_or_else(Vec::new, PeerHandle::live_names);
        names.push(own_name.clone());
        let order = rendezvous_order(target, &names);
        SenderRank {
            rank: order.iter().position(|name| *name == own_name).unwrap_or(0),
            instances: names.len(),
        }
    }

    /// Applies what a peer has reported of a target.
    fn apply_notice(&self, notice: &TargetNotice) {
        let hints = TargetHints {
            limit_per_s: notice
                .limit_milli_per_s
                .map(|limit_milli| limit_milli as f64 / MILLI as f64),
            is_leaving: notice.leaving,
            // A pause is for the instance that was turned away.
            pause: None,
        };
        let id = notice.target.as_str().into();
        self.note_change(&id, notice.started_at_unix_ms, &hints);
    }

    /// Divides the limits of all targets anew, after the live instances have changed.
    fn divide_limits(&self) {
        let known: Vec<Arc<str>> = self.notices().targets.keys().cloned().collect();
        for id in known {
            let rank = self.sender_rank(&id);
            let now_ms = self.now_ms();
            let mut notices = self.notices();
            let Some(known) = notices.targets.get_mut(&id) else {
                continue;
            };
            let limit_per_s = known.notices.limit_per_s();
            known.notices.set_limit(limit_per_s, rank, now_ms);
        }
    }
}

/// Applies the notices of peers, and divides limits between the live instances. Never
/// returns.
pub(in crate::gateway) async fn exchange(state: Arc<State>, peers: PeerHandle) {
    let mut live = peers.live_names();
    loop {
        sleep(EXCHANGE_PERIOD).await;
        for notice in peers.take_notices() {
            state.apply_notice(&notice);
        }
        let now_live = peers.live_names();
        if now_live != live {
            live = now_live;
            state.divide_limits();
        }
    }
}
