//! Queues requests and assigns them to targets.
//!
//! A target is an engine or a server of a plain service. Requests for the same
//! target kind and model share one fair queue. A request leaves the queue when the
//! route table finds a target with capacity for the request.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, MutexGuard},
};

use indexmap::IndexMap;
use tokio::{sync::oneshot, time::Instant};

use crate::{
    entry::{
        assign::{
            availability, choose_target, find_target, has_same_names, is_unchanged,
            observe_measurement,
        },
        error::{Error, Result},
        permit::{Demand, Permit, ReleasedPermit},
        waiting::{Grant, Queue, QueueKey, Waiter},
    },
    policy::{
        load::InFlight,
        queue::{DequeuedRequest, QueueSettings},
        routing::{
            Availability, Choice, PartitionDemand, PartitionEngines, PrefillChoice, RequestMix,
            RouteError, RouteSettings, RouteTable,
        },
        share::{KnownUsage, estimate_share},
    },
    settings::{Division, Policy, QueueOrder},
    sync,
    target::{
        protocol::{BLOCK_TOKENS, CacheEventList},
        table::{TargetTable, TargetView},
    },
};

/// Number of KV cache blocks that an instance may newly occupy on a target before
/// its peers learn of this usage.
const BURST_BLOCKS: u64 = 120;

/// Queues requests and assigns them to targets.
#[derive(Debug)]
pub(super) struct Scheduler {
    started_at: Instant,
    targets: TargetTable,
    settings: QueueSettings,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    routes: RouteTable,
    /// Snapshot of the target table that was last applied to `routes`.
    snapshot: Arc<Vec<TargetView>>,
    queues: IndexMap<QueueKey, Queue>,
    queue_order: QueueOrder,
    division: Division,
}

impl Scheduler {
    /// Creates a scheduler for the targets of a table.
    ///
    /// `max_queued` limits the requests in each queue.
    pub(super) fn new(targets: TargetTable, max_queued: u32, policy: Policy) -> Arc<Self> {
        let settings = QueueSettings {
            max_requests: max_queued as usize,
            max_account_requests: max_queued as usize,
            ..QueueSettings::default()
        };
        Arc::new(Self {
            started_at: Instant::now(),
            targets,
            settings,
            state: Mutex::new(State {
                routes: RouteTable::new(RouteSettings {
                    method: policy.routing,
                    ..RouteSettings::default()
                }),
                snapshot: Arc::default(),
                queues: IndexMap::new(),
                queue_order: policy.queue,
                division: policy.division,
            }),
        })
    }

    /// Waits for a permit, which reserves capacity on a target.
    ///
    /// Targets in `excluded` are used only if no other target is available.
    ///
    /// # Errors
    ///
    /// Returns [`Error::QueueFull`] if too many requests wait, [`Error::Overloaded`]
    /// if the answer cannot begin before the deadline, and [`Error::NoTarget`] if no
    /// target has the model loaded.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        demand: &Arc<Demand>,
        excluded: &[Arc<str>],
    ) -> Result<Permit> {
        let (grant_sender, grant_receiver) = oneshot::channel();
        let now_ms = self.now_ms();
        let deadline_ms = demand.deadline.map_or(u64::MAX, |at| self.to_ms(at));
        let waiter = Waiter {
            demand: Arc::clone(demand),
            excluded: excluded.into(),
            deadline_ms,
            grant_sender,
        };
        let key = demand.queue_key();
        {
            let mut state = self.lock();
            state.observe_targets(&self.targets, self.started_at, now_ms);
            let request = demand.route_request(u64::MAX);
            let is_long = state.routes.is_long(&request);
            let queue = state.queue(&key, &self.settings);
            queue.mix.observe(&request, is_long);
            queue.push(waiter, now_ms)?;
            state.assign_queued(&key, now_ms);
        }
        let grant = grant_receiver.await.unwrap_or(Err(Error::NoTarget))?;
        Ok(Permit::new(self, demand, grant))
    }

    /// Applies changes of the target table, refuses queued requests that can no
    /// longer meet their deadline, and assigns the other queued requests.
    pub(super) fn tick(&self) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        state.observe_targets(&self.targets, self.started_at, now_ms);
        for index in 0..state.queues.len() {
            let Some((key, _)) = state.queues.get_index(index) else {
                continue;
            };
            let key = key.clone();
            state.assign_queued(&key, now_ms);
        }
    }

    /// Sets the load that other instances have in flight on a target, and returns
    /// the load that this instance has in flight there.
    ///
    /// Updates this instance's share of the target's KV cache blocks from both
    /// loads.
    pub(super) fn exchange_load(&self, target: &str, peers: InFlight, instances: u32) -> InFlight {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let queued_blocks = state.queued_blocks(target);
        let Some(load) = state.routes.load_mut(target) else {
            return InFlight::default();
        };
        load.observe_peers(peers, now_ms);
        let own = load.own();
        let known = KnownUsage {
            own_demand: u64::from(own.blocks) + queued_blocks,
            peers_in_use: peers.blocks.into(),
            instances,
            burst: BURST_BLOCKS,
        };
        let share = estimate_share(load.total_blocks().into(), &known);
        let share = u32::try_from(share).unwrap_or(u32::MAX);
        state.routes.set_block_quota(target, Some(share));
        own
    }

    /// Charges an account for tokens served by peers.
    pub(super) fn charge_for_peers(&self, account: &str, weight: u32, tokens: u64) {
        for queue in self.lock().queues.values_mut() {
            queue.waiting.charge_for_peers(account, weight, tokens);
        }
    }

    /// Number of prefix blocks that a target is expected to have cached.
    pub(super) fn cached_blocks(&self, target: &str) -> usize {
        self.lock().routes.prefixes_mut().block_count(target)
    }

    /// Sequence number of the next cache event to request from a target.
    pub(super) fn next_cache_event(&self, target: &str) -> u64 {
        self.lock().routes.prefixes_mut().next_sequence(target)
    }

    /// Applies cache events of a target.
    pub(super) fn observe_cache_events(&self, target: &str, events: &CacheEventList) {
        let mut state = self.lock();
        state.routes.prefixes_mut().observe_events(target, events);
    }

    /// Returns averages over the recent requests of a queue.
    pub(super) fn request_mix(&self, key: &QueueKey) -> RequestMix {
        let state = self.lock();
        let queue = state.queues.get(key);
        queue.map_or_else(RequestMix::default, |queue| queue.mix.mix())
    }

    /// Returns the uncached prompt tokens of all instances' requests in flight on
    /// engines that serve the queue's model in this version.
    pub(super) fn waiting_tokens(&self, key: &QueueKey, version: &str) -> f64 {
        let state = self.lock();
        let (kind, model) = (&key.kind, &key.model);
        state.routes.waiting_tokens(kind, model, version) as f64
    }

    /// Divides the mixed engines of a model, which both prefill and decode, between
    /// long prefills and decoding according to the demand.
    pub(super) fn divide_engines(
        &self,
        key: &QueueKey,
        version: &str,
        engines: &PartitionEngines,
        demand: &PartitionDemand,
    ) {
        let mut state = self.lock();
        if state.division == Division::Whole {
            return;
        }
        let routes = &mut state.routes;
        let current = routes.prefill_engines(&key.kind, &key.model, version);
        let planned = engines.prefill_engines(demand, current);
        if planned == current {
            return;
        }
        tracing::info!(
            "entry: {planned} of {} mixed engines take long prefills of model {}",
            engines.count,
            key.model
        );
        metrics::counter!("entry_divisions_total").increment(1);
        routes.set_prefill_engines(&key.kind, &key.model, version, planned);
    }

    /// Number of requests that wait for a target.
    pub(super) fn queued(&self) -> usize {
        self.lock().queues.values().map(Queue::len).sum()
    }

    /// Whether a target accepts new requests according to the current target table.
    pub(super) fn is_live(&self, target: &str) -> bool {
        let snapshot = self.targets.snapshot();
        let view = snapshot.iter().find(|view| &*view.name == target);
        view.is_some_and(|view| availability(view) == Availability::Live)
    }

    /// Releases the capacity of a prefill.
    pub(super) fn end_prefill(&self, prefill: &PrefillChoice) {
        let now_ms = self.now_ms();
        self.lock().routes.prefill_finished(prefill, now_ms);
    }

    /// Releases the capacity that a permit reserved, and assigns queued requests to
    /// targets.
    pub(super) fn release(&self, released: &ReleasedPermit<'_>) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        observe_measurement(&mut state.routes, released.choice, &released.measurement);
        state.routes.finished(released.choice, now_ms);
        if let Some(queue) = state.queues.get_mut(released.queue_key) {
            let (charged, served) = (released.charged_tokens, released.served_tokens);
            queue
                .waiting
                .adjust_charge(released.account, charged, served);
        }
        state.assign_queued(released.queue_key, now_ms);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        sync::lock(&self.state)
    }

    fn now_ms(&self) -> u64 {
        self.to_ms(Instant::now())
    }

    fn to_ms(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.started_at).as_millis() as u64
    }
}

impl State {
    /// Number of KV cache blocks that the queued requests for the target's kind
    /// would need if all of them ran on the target.
    fn queued_blocks(&self, target: &str) -> u64 {
        let Some(target) = self.routes.target(target) else {
            return 0;
        };
        let mut tokens = 0;
        for (key, queue) in &self.queues {
            if key.kind == *target.kind() {
                tokens += queue.waiting.queued_tokens();
            }
        }
        tokens.div_ceil(BLOCK_TOKENS.into())
    }

    fn queue(&mut self, key: &QueueKey, settings: &QueueSettings) -> &mut Queue {
        self.queues
            .entry(key.clone())
            .or_insert_with(|| Queue::new(*settings, self.queue_order))
    }

    /// Applies changes of the target table to the route table.
    fn observe_targets(&mut self, targets: &TargetTable, started_at: Instant, now_ms: u64) {
        let snapshot = targets.snapshot();
        if Arc::ptr_eq(&snapshot, &self.snapshot) {
            return;
        }
        for (index, view) in snapshot.iter().enumerate() {
            let known = self.snapshot.get(index);
            if !known.is_some_and(|known| is_unchanged(known, view)) {
                self.observe_target(view, started_at, now_ms);
            }
        }
        if !has_same_names(&self.snapshot, &snapshot) {
            let names: HashSet<&str> = snapshot.iter().map(|view| &*view.name).collect();
            self.routes.retain(|name| names.contains(name));
        }
        self.snapshot = snapshot;
    }

    fn observe_target(&mut self, view: &TargetView, started_at: Instant, now_ms: u64) {
        let (name, kind) = (&view.name, &view.kind);
        let availability = availability(view);
        let Some(engine) = &view.engine else {
            let routes = &mut self.routes;
            return routes.observe_plain(name, kind, availability, now_ms);
        };
        // Another target may have caused the change of the table. The report of
        // this target is therefore observed with the time at which the report was
        // received, not with the current time.
        let received_at = view.reported_at.saturating_duration_since(started_at);
        let received_at_ms = received_at.as_millis() as u64;
        self.routes
            .observe_engine(name, kind, availability, engine, received_at_ms);
    }

    /// Assigns queued requests until no target has capacity for the next one.
    fn assign_queued(&mut self, key: &QueueKey, now_ms: u64) {
        while let Some(dequeued) = self.take_next(key, now_ms) {
            match choose_target(&self.routes, &dequeued.item, now_ms) {
                Ok(choice) => {
                    if let Some(dequeued) = self.grant(dequeued, choice, now_ms) {
                        self.put_back(key, dequeued);
                        return;
                    }
                }
                Err(RouteError::ModelNotLoaded) => self.refuse(key, dequeued),
                Err(RouteError::Unavailable | RouteError::NoRoom) => {
                    self.put_back(key, dequeued);
                    return;
                }
            }
        }
    }

    fn take_next(&mut self, key: &QueueKey, now_ms: u64) -> Option<DequeuedRequest<Waiter>> {
        self.queues.get_mut(key)?.take_next(now_ms)
    }

    fn put_back(&mut self, key: &QueueKey, dequeued: DequeuedRequest<Waiter>) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.next = Some(dequeued);
        }
    }

    fn refuse(&mut self, key: &QueueKey, dequeued: DequeuedRequest<Waiter>) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.refuse(dequeued, Error::NoTarget);
        }
    }

    /// Grants a request its targets. Returns the request if the chosen target is
    /// not in the target table.
    ///
    /// Releases the capacity if the caller of [`Scheduler::acquire`] has stopped
    /// waiting.
    fn grant(
        &mut self,
        dequeued: DequeuedRequest<Waiter>,
        choice: Choice,
        now_ms: u64,
    ) -> Option<DequeuedRequest<Waiter>> {
        let Some(target) = find_target(&self.snapshot, &choice.target) else {
            return Some(dequeued);
        };
        let prefill = choice.prefill.as_ref();
        let prefill = prefill.and_then(|prefill| find_target(&self.snapshot, &prefill.target));
        let blocks = &dequeued.item.demand.prefix_blocks;
        self.routes.dispatched(&choice, blocks, now_ms);
        let grant = Grant {
            target,
            prefill,
            choice,
            charged_tokens: dequeued.charged_tokens,
        };
        if let Err(Ok(grant)) = dequeued.item.grant_sender.send(Ok(grant)) {
            if let Some(prefill) = &grant.choice.prefill {
                self.routes.prefill_finished(prefill, now_ms);
            }
            self.routes.finished(&grant.choice, now_ms);
        }
        None
    }
}
