//! Quotas of client accounts over all instances.
//!
//! Requests are charged when they are admitted. A task reports the charges to the other
//! instances, and charges what they report. The decisions are those of [`FleetLimit`].

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio::time::sleep;

use crate::{
    call::Call,
    catalog::{Catalog, Quota},
    gateway::{caller::reply::Refusal, clock::boot_ms, run::PEER_HEARTBEAT, state::State},
    peer::{
        MAX_MESH_INSTANCES, PeerAmount, PeerHandle, heartbeat_interval, topology::GROUP_INSTANCES,
    },
    platform::CallerHead,
    policy::share::{FleetLimit, HeardInstances, Limit, OverLimit, Reach},
    settings::QuotaSettings,
};

/// Interval at which usage is reported to the other instances.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// Names under which usage is reported: this prefix and the account's name. The prefix alone
/// is the name of the reported presence.
const NAME_PREFIX: &str = "quota/";

/// Resolution of reported presence, in units per millisecond. Heartbeats carry the largest
/// amounts first, and presence must not wait behind the usage of accounts within their limits.
const PRESENCE_UNITS_PER_MS: f64 = 10.0;

/// Longest presence that one report contains, in milliseconds.
const MAX_PRESENCE_MS: u64 = 500;

/// Time without a run of the task after which the known usage is discarded, in milliseconds:
/// the instance was suspended or had no processor time, and has missed reports.
const MAX_PAUSE_MS: u64 = 1_500;

/// Number of instances that are assumed until the list of instances is read. The goal for
/// the size of a fleet.
const ASSUMED_INSTANCES: u32 = 320;

/// Time without use after which an account's state is removed, in milliseconds.
const UNUSED_MS: u64 = 60_000;

/// Units of a request in a quota that counts requests, so that parts of a request can be
/// divided between instances.
const REQUEST_UNITS: u64 = 1_000;

/// Quotas as known to this instance.
#[derive(Debug)]
pub(in crate::gateway) struct Quotas {
    settings: QuotaSettings,
    heard: HeardInstances,
    /// State of the accounts that were used lately, by name.
    limits: IndexMap<Arc<str>, FleetLimit>,
    /// Since when the reports of other instances are received, in time since boot.
    listening_since_ms: u64,
    /// Last run of the task, in time since boot.
    ran_at_ms: u64,
}

/// Charge of an admitted request.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct Charge {
    account: Arc<str>,
    units: u64,
}

/// Returns whether peers report usage of quotas under this name.
pub(in crate::gateway) fn is_quota_name(name: &str) -> bool {
    name.starts_with(NAME_PREFIX)
}

impl Quotas {
    pub(in crate::gateway) fn new(settings: QuotaSettings) -> Self {
        let now_ms = boot_ms();
        Self {
            settings,
            heard: new_heard(ASSUMED_INSTANCES, now_ms),
            limits: IndexMap::new(),
            listening_since_ms: now_ms,
            ran_at_ms: now_ms,
        }
    }

    fn reach(&self, now_ms: u64) -> Reach {
        self.heard.reach(now_ms)
    }

    /// Discards the known usage if this instance has missed reports.
    fn check_pause(&mut self, now_ms: u64) {
        let pause_ms = now_ms.saturating_sub(self.ran_at_ms);
        if pause_ms <= MAX_PAUSE_MS {
            return;
        }
        tracing::warn!(
            pause_ms,
            "gateway: known usage of quotas discarded after a pause"
        );
        self.limits.clear();
        self.heard = new_heard(self.reach(now_ms).instances, now_ms);
        self.listening_since_ms = now_ms;
        self.ran_at_ms = now_ms;
    }

    /// Returns the state of an account under its present quota.
    fn limit(&mut self, account: &Arc<str>, quota: &Quota, now_ms: u64) -> &mut FleetLimit {
        let limit = self.bounds(quota);
        let knows_past = now_ms >= self.listening_since_ms + limit.window_ms;
        let known = self.limits.entry(account.clone()).or_insert_with(|| {
            if knows_past {
                return FleetLimit::idle(limit, now_ms);
            }
            FleetLimit::unknown(limit, now_ms)
        });
        known.set_limit(limit, now_ms);
        known
    }

    fn bounds(&self, quota: &Quota) -> Limit {
        let (factor, slack) = if quota.unit.is_tokens() {
            (1, self.settings.slack_tokens)
        } else {
            (REQUEST_UNITS, 0)
        };
        Limit {
            rate_per_s: quota.rate_per_s.saturating_mul(factor),
            burst: quota.burst.saturating_mul(factor),
            window_ms: self.settings.quota_window_s * 1_000,
            overage: self.settings.overage,
            slack,
        }
    }

    /// Charges what other instances have reported.
    fn hear(&mut self, amounts: Vec<PeerAmount>, catalog: &Catalog, now_ms: u64) {
        let mut presence_ms = 0.0;
        for PeerAmount { name, amount } in &amounts {
            if &**name == NAME_PREFIX {
                presence_ms = *amount as f64 / PRESENCE_UNITS_PER_MS;
            }
        }
        self.heard.add(presence_ms, now_ms);
        let reach = self.reach(now_ms);
        for PeerAmount { name, amount } in amounts {
            let account = name.strip_prefix(NAME_PREFIX).unwrap_or_default();
            let Some(quota) = catalog.quota(account) else {
                continue;
            };
            let limit = self.limit(&account.into(), quota, now_ms);
            limit.hear(amount, reach, now_ms);
        }
    }

    /// Returns the charges to be reported to the other instances. Removes the state of
    /// accounts that are not used or have no quota any more.
    fn take_reports(&mut self, catalog: &Catalog, now_ms: u64) -> Vec<PeerAmount> {
        let mut reports = Vec::new();
        let reach = self.reach(now_ms);
        self.limits.retain(|account, limit| {
            let amount = limit.take_report(reach, now_ms);
            if amount > 0 {
                let name = format!("{NAME_PREFIX}{account}").into();
                reports.push(PeerAmount { name, amount });
            }
            let is_used = !limit.is_unused_since(now_ms.saturating_sub(UNUSED_MS));
            is_used && catalog.quota(account).is_some()
        });
        reports
    }
}

fn new_heard(instances: u32, now_ms: u64) -> HeardInstances {
    HeardInstances::new(instances, relay_heartbeat_ms(instances), now_ms)
}

/// Returns the interval of the heartbeats of a relay in a fleet of this size.
fn relay_heartbeat_ms(instances: u32) -> u64 {
    let others = instances.saturating_sub(1) as usize;
    let links = if others < MAX_MESH_INSTANCES {
        others
    } else {
        GROUP_INSTANCES + others / GROUP_INSTANCES
    };
    heartbeat_interval(links, PEER_HEARTBEAT).as_millis() as u64
}

/// Charges an admitted request to its account's quota. Returns `None` if the account has
/// none.
///
/// # Errors
///
/// Fails if the account is over its quota.
pub(in crate::gateway) fn charge(
    state: &State,
    call: &Call,
    head: &CallerHead,
) -> Result<Option<Charge>, Refusal> {
    let Some(account) = &call.account else {
        return Ok(None);
    };
    let Some(quota) = account.quota else {
        return Ok(None);
    };
    let units = if quota.unit.is_tokens() {
        head.tokens.unwrap_or(quota.plain_tokens)
    } else {
        REQUEST_UNITS
    };
    let now_ms = boot_ms();
    let mut quotas = state.quotas();
    quotas.check_pause(now_ms);
    let reach = quotas.reach(now_ms);
    let charged = quotas
        .limit(&account.name, &quota, now_ms)
        .charge(units, reach, now_ms);
    drop(quotas);
    if let Err(over) = charged {
        log_refusal(state, call, units, reach, &over);
        let wait_ms = u32::try_from(over.wait_ms).unwrap_or(u32::MAX);
        return Err(Refusal::OverQuota { wait_ms });
    }
    metrics::counter!("gateway_quota_charges_total").increment(1);
    Ok(Some(Charge {
        account: account.name.clone(),
        units,
    }))
}

/// Takes back the charge of a request that was refused without having run.
pub(in crate::gateway) fn refund(state: &State, charge: Option<Charge>) {
    let Some(charge) = charge else {
        return;
    };
    if let Some(limit) = state.quotas().limits.get_mut(&charge.account) {
        limit.refund(charge.units);
    }
    metrics::counter!("gateway_quota_refunds_total").increment(1);
}

/// Reports the charges to the other instances, and charges what they report. Never returns.
pub(in crate::gateway) async fn exchange_usage(state: Arc<State>, peers: PeerHandle) {
    let mut presence_from_ms = boot_ms();
    let mut heard_all = true;
    loop {
        sleep(REPORT_PERIOD).await;
        let now_ms = boot_ms();
        let amounts = peers.take_peer_amounts_of(is_quota_name);
        let Some(catalog) = state.catalog().filter(|catalog| catalog.has_quotas()) else {
            state.quotas().ran_at_ms = now_ms;
            presence_from_ms = now_ms;
            continue;
        };
        let mut quotas = state.quotas();
        quotas.check_pause(now_ms);
        quotas.ran_at_ms = now_ms;
        if peers.has_live_list() {
            let instances = u32::try_from(peers.live().len() + 1).unwrap_or(u32::MAX);
            quotas
                .heard
                .set_known(instances, relay_heartbeat_ms(instances), now_ms);
        }
        quotas.hear(amounts, &catalog, now_ms);
        let reports = quotas.take_reports(&catalog, now_ms);
        let reach = quotas.reach(now_ms);
        drop(quotas);
        for PeerAmount { name, amount } in reports {
            peers.report_divisible_amount(&name, amount);
        }
        let presence_ms = now_ms.saturating_sub(presence_from_ms).min(MAX_PRESENCE_MS);
        presence_from_ms = now_ms;
        let units = (presence_ms as f64 * PRESENCE_UNITS_PER_MS) as u64;
        peers.report_divisible_amount(NAME_PREFIX, units);
        metrics::gauge!("gateway_quota_heard_fraction").set(reach.fraction);
        let hears_all = reach.fraction >= 1.0;
        if hears_all != heard_all {
            heard_all = hears_all;
            tracing::info!(
                instances = reach.instances,
                heard_fraction = reach.fraction,
                "gateway: instances heard for quotas changed"
            );
        }
    }
}

fn log_refusal(state: &State, call: &Call, units: u64, reach: Reach, over: &OverLimit) {
    tracing::info!(
        request = &*call.id,
        account = call.account_name(),
        units,
        wait_ms = over.wait_ms,
        level = over.level,
        known = over.known,
        unknown = over.unknown,
        part = over.part,
        instances = reach.instances,
        heard_fraction = reach.fraction,
        config_version = state.catalog().map_or(0, |catalog| catalog.version()),
        "gateway: request is over the account's quota"
    );
}
