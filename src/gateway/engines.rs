//! What is known of the engines of each service: their learned times, and the
//! work that all instances' callers ask of them.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio::time::{Instant, sleep};

use super::state::State;
use crate::{
    peer::PeerHandle,
    policy::{
        engine_profile::{EngineProfile, EngineWork, PromptSize},
        work_meter::{EngineLoad, WorkMeter},
    },
};

/// Time between two reports of the work that callers ask for.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Time in which the mean work follows a change, in times that a change of an
/// engine's role takes: a mix that lasts for less is not worth a change.
const TIME_CONSTANT_ROLE_CHANGES: u32 = 2;

/// Shortest time in which the mean work follows a change.
const MIN_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Parts of a millisecond in which peers tell each other of work.
const WORK_UNITS_PER_MS: f64 = 10.0;

/// Engines of one service.
#[derive(Debug)]
struct ServiceEngines {
    profile: EngineProfile,
    /// Work that was asked for here and is not reported yet.
    unreported: EngineWork,
    /// Work that callers of all instances ask for.
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

/// Engines of all services.
#[derive(Debug, Default)]
pub(super) struct Engines {
    services: IndexMap<Arc<str>, ServiceEngines>,
}

impl Engines {
    /// Returns the learned times of a service's engines.
    pub(super) fn profile(&self, service: &str) -> EngineProfile {
        let engines = self.services.get(service);
        engines.map_or_else(EngineProfile::default, |engines| engines.profile)
    }

    /// Changes the learned times of a service's engines.
    pub(super) fn update_profile<F>(&mut self, service: &str, update: F)
    where
        F: FnOnce(&mut EngineProfile),
    {
        if let Some(engines) = self.services.get_mut(service) {
            update(&mut engines.profile);
        }
    }

    /// Counts the work that a caller asks of a service's engines.
    pub(super) fn record_work(&mut self, service: &str, size: &PromptSize, slots: u32) {
        let Some(engines) = self.services.get_mut(service) else {
            return;
        };
        let work = engines.profile.work(size, slots);
        engines.unreported.remote_prefill_ms += work.remote_prefill_ms;
        engines.unreported.local_prefill_ms += work.local_prefill_ms;
        engines.unreported.decode_ms += work.decode_ms;
    }

    /// Returns the mean load that all instances' callers put on a service's
    /// engines.
    pub(super) fn load(&self, service: &str) -> EngineLoad {
        let engines = self.services.get(service);
        engines.map_or_else(EngineLoad::default, |engines| engines.meter.load())
    }

    /// Takes up the services of which the configuration says that they run on
    /// engines, each with the time that a change of role takes.
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

/// Exchanges the work that callers ask for with peers, for ever.
pub(super) async fn share_work(state: Arc<State>, peers: PeerHandle) {
    let mut last = Instant::now();
    // What was reported before this instance listened is not of this moment.
    peers.served_by_peers();
    loop {
        sleep(REPORT_PERIOD).await;
        let elapsed_ms = last.elapsed().as_secs_f64() * 1_000.0;
        last = Instant::now();
        state.loads().report_means(elapsed_ms, state.instances());
        let Some(catalog) = state.catalog() else {
            continue;
        };
        let mut reported = IndexMap::new();
        for served in peers.served_by_peers() {
            reported.insert(served.account, served.tokens as f64 / WORK_UNITS_PER_MS);
        }
        let mut engines = state.engines();
        engines.add_services(catalog.services().filter_map(|service| {
            let engine = service.engine.as_ref()?;
            Some((&service.name, engine.role_change))
        }));
        for (service, engines) in &mut engines.services {
            let mut requested = EngineWork::default();
            let own = &mut engines.unreported;
            for (part, own_ms, requested_ms) in [
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
                let name = format!("{service}/{part}");
                let units = (*own_ms * WORK_UNITS_PER_MS) as u64;
                if units > 0 {
                    peers.report_served(&name, units);
                }
                let reported_ms = units as f64 / WORK_UNITS_PER_MS;
                *own_ms -= reported_ms;
                *requested_ms = reported_ms + reported.get(&*name).copied().unwrap_or(0.0);
            }
            engines.meter.observe(requested, elapsed_ms);
        }
    }
}
