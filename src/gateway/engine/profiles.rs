//! Timing profile and load of the engines of each service.
//!
//! The profile is learned from the engines' answers. The load is measured in work: the
//! engine time, in milliseconds, that the requests of all instances need.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio::time::{Instant, sleep};

use crate::{
    gateway::{admission::quota, state::State, target::speeds},
    peer::{PeerAmount, PeerHandle},
    policy::{
        engine_profile::{EngineProfile, EngineWork, PromptSize},
        work_meter::{EngineLoad, WorkMeter},
    },
};

/// Interval at which the work that requests need is reported to peers.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Time constant of an engine's mean load, as a multiple of the time that a role
/// change takes. A shift of load that ends sooner is not worth a role change.
const TIME_CONSTANT_ROLE_CHANGES: u32 = 2;

/// Minimum time constant of the mean load.
const MIN_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Resolution of work reports between peers, in units per millisecond of engine
/// time.
const WORK_UNITS_PER_MS: f64 = 10.0;

/// Timing profile and load of the engines of one service.
#[derive(Debug)]
struct ServiceEngines {
    profile: EngineProfile,
    /// Work of this instance's requests that has not been reported to peers yet.
    unreported: EngineWork,
    /// Mean work of the requests of all instances.
    meter: WorkMeter,
}

impl ServiceEngines {
    fn new(time_constant: Duration) -> Self {
        Self {
            profile: EngineProfile::default(),
            unreported: EngineWork::default(),
            meter: WorkMeter::new(time_constant.as_secs_f64() * 1_000.0),
        }
    }
}

/// Timing profiles and loads of the engines of all services.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Engines {
    /// Profile and load by service name.
    services: IndexMap<Arc<str>, ServiceEngines>,
}

impl Engines {
    /// Returns the timing profile of a service's engines.
    pub(in crate::gateway) fn profile(&self, service: &str) -> EngineProfile {
        let engines = self.services.get(service);
        engines.map_or_else(EngineProfile::default, |engines| engines.profile)
    }

    /// Updates the timing profile of a service's engines.
    pub(in crate::gateway) fn update_profile<F>(&mut self, service: &str, update: F)
    where
        F: FnOnce(&mut EngineProfile),
    {
        if let Some(engines) = self.services.get_mut(service) {
            update(&mut engines.profile);
        }
    }

    /// Adds the work that a prompt needs to the service's work that is yet to be
    /// reported to peers.
    pub(in crate::gateway) fn record_work(&mut self, service: &str, size: &PromptSize, slots: u32) {
        let Some(engines) = self.services.get_mut(service) else {
            return;
        };
        let work = engines.profile.work(size, slots);
        engines.unreported.remote_prefill_ms += work.remote_prefill_ms;
        engines.unreported.local_prefill_ms += work.local_prefill_ms;
        engines.unreported.decode_ms += work.decode_ms;
    }

    /// Returns the mean load that the requests of all instances put on a
    /// service's engines.
    pub(in crate::gateway) fn load(&self, service: &str) -> EngineLoad {
        let engines = self.services.get(service);
        engines.map_or_else(EngineLoad::default, |engines| engines.meter.load())
    }

    /// Adds the services that are not known yet. Each item is the name of a service
    /// that runs on engines, and the time that a role change of its engines takes.
    fn add_services<'a, I>(&mut self, services: I)
    where
        I: Iterator<Item = (&'a Arc<str>, Duration)>,
    {
        for (service, role_change) in services {
            if self.services.contains_key(service) {
                continue;
            }
            let time_constant = (role_change * TIME_CONSTANT_ROLE_CHANGES).max(MIN_TIME_CONSTANT);
            let engines = ServiceEngines::new(time_constant);
            self.services.insert(service.clone(), engines);
        }
    }
}

/// Reports the work of this instance's requests to the peers, and updates the load with
/// that of all instances. Never returns.
pub(in crate::gateway) async fn exchange_work(state: Arc<State>, peers: PeerHandle) {
    let mut last = Instant::now();
    // Discards reports from before this task started, because they do not belong
    // to the first measured interval.
    peers.take_peer_amounts_of(is_work);
    loop {
        sleep(REPORT_PERIOD).await;
        let elapsed_ms = last.elapsed().as_secs_f64() * 1_000.0;
        last = Instant::now();
        state.loads().report_means(elapsed_ms, state.instances());
        let Some(catalog) = state.catalog() else {
            continue;
        };
        let mut reported = IndexMap::new();
        for PeerAmount { name, amount } in peers.take_peer_amounts_of(is_work) {
            if speeds::take_report(&state, &name, amount) {
                continue;
            }
            reported.insert(name, amount as f64 / WORK_UNITS_PER_MS);
        }
        speeds::review(&state, &peers);
        let mut engines = state.engines();
        engines.add_services(catalog.services().filter_map(|service| {
            let engine = service.engine.as_ref()?;
            Some((&service.name, engine.role_change))
        }));
        for (service, engines) in &mut engines.services {
            let mut requested = EngineWork::default();
            let own = &mut engines.unreported;
            for (kind, own_ms, requested_ms) in [
                (
                    "apart",
                    &mut own.remote_prefill_ms,
                    &mut requested.remote_prefill_ms,
                ),
                (
                    "direct",
                    &mut own.local_prefill_ms,
                    &mut requested.local_prefill_ms,
                ),
                ("decode", &mut own.decode_ms, &mut requested.decode_ms),
            ] {
                let name = format!("{service}/{kind}");
                let units = (*own_ms * WORK_UNITS_PER_MS) as u64;
                if units > 0 && catalog.has_quotas() {
                    // As a whole, work would displace the usage of quotas in heartbeats.
                    peers.report_divisible_amount(&name, units);
                } else if units > 0 {
                    peers.report_amount(&name, units);
                }
                let reported_ms = units as f64 / WORK_UNITS_PER_MS;
                *own_ms -= reported_ms;
                *requested_ms = reported_ms + reported.get(&*name).copied().unwrap_or(0.0);
            }
            engines.meter.observe(requested, elapsed_ms);
        }
    }
}

/// Returns whether an amount that peers report under this name is work of engines.
fn is_work(name: &str) -> bool {
    !quota::is_quota_name(name)
}
