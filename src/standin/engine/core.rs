//! State of one engine: batch, cache, models, role, orders, load samples and
//! cache events.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use tokio::{sync::mpsc::UnboundedSender, time::Instant};

use super::{
    batch::{Batch, BodyItem, Stream},
    cache::BlockCache,
    options::{EngineFaults, EngineOptions},
};
use crate::target::protocol::{
    CacheEvent, CacheEventList, EngineAction, EngineOrderRequest, EngineRole, EngineState,
    GenerateEvent, GenerateRequest, LoadedModel,
};

/// Maximum number of load samples kept for delayed load reports.
const MAX_LOAD_SAMPLES: usize = 4_096;
/// Minimum time between two load samples, in milliseconds.
const LOAD_SAMPLE_MS: u64 = 5;
/// Maximum number of cache events kept.
const MAX_CACHE_EVENTS: usize = 65_536;
/// Request identifier reported under the fault `wrong_request`.
const WRONG_REQUEST_ID: &str = "another-request";

/// An order that the engine received.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReceivedOrder {
    /// The order.
    pub order: EngineOrderRequest,
    /// Whether the order was accepted.
    pub accepted: bool,
    /// Whether another order's change was in progress at that time.
    pub during_change: bool,
    /// Boot identifier of the engine at that time.
    pub boot: Arc<str>,
}

/// Load of the engine at an instant.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    at: Instant,
    running: u32,
    waiting: u32,
    waiting_prefill_tokens: u64,
    used_blocks: u32,
}

#[derive(Debug)]
struct PendingEvent {
    visible_at: Instant,
    event: CacheEvent,
}

/// State of one engine.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) options: EngineOptions,
    pub(super) faults: EngineFaults,
    /// Whether the engine is switched on.
    pub(super) on: bool,
    pub(super) received_orders: Vec<ReceivedOrder>,
    boots: u64,
    boot: Arc<str>,
    role: EngineRole,
    models: Vec<LoadedModel>,
    /// Whether a role or model change is in progress.
    changing: bool,
    /// Highest fencing token seen; 0 if tokens are not checked.
    epoch: u64,
    last_order_id: u64,
    batch: Batch,
    cache: BlockCache,
    load_samples: VecDeque<LoadSample>,
    events: VecDeque<PendingEvent>,
    next_event_sequence: u64,
    rng: StdRng,
}

impl Core {
    /// Returns an engine that has just booted.
    pub(super) fn new(options: EngineOptions) -> Self {
        let mut core = Self {
            faults: EngineFaults::default(),
            on: true,
            received_orders: Vec::new(),
            boots: 0,
            boot: "".into(),
            role: options.role,
            models: options.models.clone(),
            changing: false,
            epoch: 0,
            last_order_id: 0,
            batch: Batch::default(),
            cache: BlockCache::new(options.total_blocks),
            load_samples: VecDeque::new(),
            events: VecDeque::new(),
            next_event_sequence: 1,
            rng: StdRng::seed_from_u64(0),
            options,
        };
        core.reboot();
        core
    }

    /// Aborts all streams and resets all state to that of a new boot.
    ///
    /// Options, faults, received orders and power state are kept.
    pub(super) fn reboot(&mut self) {
        let batch = std::mem::take(&mut self.batch);
        for stream in batch.waiting.iter().chain(&batch.running) {
            stream.abort();
        }
        self.boots += 1;
        let nonce: u32 = rand::random();
        self.boot = format!("{}-{nonce:08x}", self.boots).into();
        self.role = self.options.role;
        self.models = self.options.models.clone();
        self.changing = false;
        self.epoch = 0;
        self.last_order_id = 0;
        self.cache = BlockCache::new(self.options.total_blocks);
        self.load_samples.clear();
        self.events.clear();
        self.next_event_sequence = 1;
        self.record_load();
    }

    /// Returns the boot identifier.
    pub(super) fn boot(&self) -> &Arc<str> {
        &self.boot
    }

    /// Queues a request, or rejects it without running any part of it.
    pub(super) fn submit(&mut self, request: GenerateRequest, sender: UnboundedSender<BodyItem>) {
        let mut request_id = Arc::clone(&request.request_id);
        if self.faults.wrong_request {
            request_id = WRONG_REQUEST_ID.into();
        }
        let refusal = self.refusal(&request);
        let accepted = GenerateEvent::Accepted {
            request_id: Arc::clone(&request_id),
            attempt: request.attempt,
            boot: Arc::clone(&self.boot),
        };
        let stream = Stream::new(request, sender, request_id);
        let too_large = stream.needed_blocks() > self.options.total_blocks;
        if let Some(reason) =
            refusal.or(too_large.then_some("the request needs more KV blocks than the engine has"))
        {
            stream.send(&GenerateEvent::Failed {
                reason: reason.into(),
                not_run: true,
            });
            return;
        }
        stream.send(&accepted);
        self.batch.enqueue(stream);
    }

    /// Cancels one attempt of a request.
    pub(super) fn cancel(&mut self, request_id: &str, attempt: u32) {
        self.batch.cancel(&mut self.cache, request_id, attempt);
    }

    /// Plans the next step and returns its duration, or `None` if no stream can
    /// run.
    pub(super) fn plan_step(&mut self) -> Option<Duration> {
        if self.faults.hang || self.changing {
            return None;
        }
        let step = self
            .batch
            .plan_step(&mut self.cache, &self.options, &self.faults, self.role);
        self.record_load();
        step
    }

    /// Applies the planned step.
    pub(super) fn apply_step(&mut self) {
        if self.faults.hang || self.changing {
            return;
        }
        self.batch.apply_step(&mut self.cache, &self.faults);
        self.publish_cache_changes();
        self.record_load();
    }

    /// Whether a running stream's prompt contains the crash marker.
    pub(super) fn runs_crash_marker(&self) -> bool {
        let marker = &self.options.crash_marker;
        let mut running = self.batch.running.iter();
        running.any(|stream| stream.prompt_contains(marker))
    }

    /// Records an order and begins the role or model change that it asks for.
    ///
    /// Returns `false` if the order is rejected: the engine checks fencing tokens
    /// and has seen a higher one.
    pub(super) fn receive_order(&mut self, order: &EngineOrderRequest) -> bool {
        let accepted = !self.options.check_epoch || order.epoch >= self.epoch;
        self.received_orders.push(ReceivedOrder {
            order: order.clone(),
            accepted,
            during_change: self.changing,
            boot: Arc::clone(&self.boot),
        });
        if !accepted {
            return false;
        }
        if self.options.check_epoch {
            self.epoch = order.epoch;
        }
        self.last_order_id = order.order_id;
        self.changing = true;
        self.fail_streams();
        true
    }

    /// Completes the change that an order asked for, unless the engine has rebooted or
    /// accepted another order since.
    pub(super) fn finish_order(&mut self, order: &EngineOrderRequest, boot: &str) {
        if &*self.boot != boot || self.last_order_id != order.order_id {
            return;
        }
        self.changing = false;
        match &order.action {
            EngineAction::SetRole { role } => self.role = *role,
            EngineAction::UnloadModel { model } => {
                self.models.retain(|loaded| loaded.model != *model)
            }
            EngineAction::LoadModel {
                model,
                version,
                adapter,
            } => self.add_model(model, version, adapter),
        }
    }

    /// Returns the duration of an order's change, not counting a weight fetch.
    pub(super) fn change_time(&self, action: &EngineAction) -> Duration {
        let change_ms = match action {
            EngineAction::SetRole { .. } => self.options.role_change_ms,
            EngineAction::LoadModel { .. } | EngineAction::UnloadModel { .. } => {
                self.options.load_ms
            }
        };
        Duration::from_millis(change_ms).div_f64(self.options.time_scale)
    }

    /// Returns the leading blocks of a list that are cached.
    pub(super) fn cached_blocks(&self, blocks: &[u64]) -> Vec<u64> {
        let cached = self.cache.cached_prefix_len(blocks);
        blocks[..cached].to_vec()
    }

    /// Caches imported blocks; returns `false`, and caches none, if there are too
    /// few free blocks.
    pub(super) fn import_blocks(&mut self, blocks: &[u64]) -> bool {
        let fits = self.cache.allocate(blocks, 0).is_some();
        if fits {
            self.cache.release(blocks, 0);
            self.publish_cache_changes();
        }
        fits
    }

    /// Returns the engine's state; its load figures are delayed by the fault
    /// `state_lag_ms`.
    pub(super) fn state(&mut self) -> EngineState {
        self.record_load();
        let load = self.reported_load();
        let scale = self.options.time_scale;
        EngineState {
            boot: Arc::clone(&self.boot),
            report_age_ms: self.faults.state_lag_ms,
            role: self.role,
            changing: self.changing,
            models: self.models.clone(),
            running: load.running,
            waiting: load.waiting,
            waiting_prefill_tokens: load.waiting_prefill_tokens,
            used_blocks: load.used_blocks,
            total_blocks: self.options.total_blocks,
            prefill_tokens_per_s: (f64::from(self.options.prefill_tokens_per_s) * scale) as u32,
            decode_tokens_per_s: (f64::from(self.options.decode_tokens_per_s) * scale) as u32,
            epoch: self.epoch,
            last_order_id: self.last_order_id,
        }
    }

    /// Returns the cache events from a sequence number on, without those still
    /// delayed by the fault `event_lag_ms`.
    pub(super) fn cache_events(&self, from: u64) -> CacheEventList {
        let now = Instant::now();
        let visible = self.events.iter();
        let visible = visible
            .filter(|pending| pending.event.sequence >= from && pending.visible_at <= now)
            .map(|pending| pending.event);
        CacheEventList {
            boot: Arc::clone(&self.boot),
            events: visible.collect(),
        }
    }

    /// Returns the reason why the engine cannot run a request, if any.
    fn refusal(&self, request: &GenerateRequest) -> Option<&'static str> {
        if self.changing {
            return Some("a role or model change is in progress");
        }
        for loaded in &self.models {
            if loaded.model != request.model {
                continue;
            }
            let adapter = &request.adapter;
            if adapter.is_empty() || loaded.adapters.contains(adapter) {
                return None;
            }
        }
        Some("the model or adapter is not loaded")
    }

    /// Ends all streams because of an accepted order, and empties the cache.
    fn fail_streams(&mut self) {
        let batch = std::mem::take(&mut self.batch);
        let failed = |not_run| GenerateEvent::Failed {
            reason: "interrupted by an ordered role or model change".into(),
            not_run,
        };
        for stream in &batch.waiting {
            stream.send(&failed(true));
        }
        for stream in &batch.running {
            stream.send(&failed(false));
        }
        self.cache = BlockCache::new(self.options.total_blocks);
    }

    /// Adds a model, or updates the version and adapters of a loaded one.
    fn add_model(&mut self, model: &Arc<str>, version: &Arc<str>, adapter: &Arc<str>) {
        let known = self.models.iter_mut().find(|loaded| loaded.model == *model);
        let adapters = (!adapter.is_empty()).then(|| Arc::clone(adapter));
        if let Some(loaded) = known {
            loaded.version = Arc::clone(version);
            loaded.adapters.retain(|existing| existing != adapter);
            loaded.adapters.extend(adapters);
            return;
        }
        self.models.push(LoadedModel {
            model: Arc::clone(model),
            version: Arc::clone(version),
            adapters: adapters.into_iter().collect(),
        });
    }

    /// Records a load sample, unless the last one is too recent.
    fn record_load(&mut self) {
        let load = self.current_load();
        let min_interval = Duration::from_millis(LOAD_SAMPLE_MS);
        let recent = self.load_samples.back();
        if recent.is_some_and(|recent| load.at.duration_since(recent.at) < min_interval) {
            return;
        }
        if self.load_samples.len() >= MAX_LOAD_SAMPLES {
            self.load_samples.pop_front();
        }
        self.load_samples.push_back(load);
    }

    fn current_load(&self) -> LoadSample {
        LoadSample {
            at: Instant::now(),
            running: self.batch.running.len() as u32,
            waiting: self.batch.waiting.len() as u32,
            waiting_prefill_tokens: self.batch.waiting_prefill_tokens(),
            used_blocks: self.cache.in_use(),
        }
    }

    /// Returns the load as it was `state_lag_ms` ago.
    fn reported_load(&self) -> LoadSample {
        let current = self.current_load();
        let lag = Duration::from_millis(self.faults.state_lag_ms);
        if lag.is_zero() {
            return current;
        }
        let as_of = current.at.checked_sub(lag);
        let mut recent = self.load_samples.iter().rev();
        let aged = recent.find(|load| as_of.is_some_and(|as_of| load.at <= as_of));
        aged.or(self.load_samples.front())
            .copied()
            .unwrap_or(current)
    }

    /// Turns the cache's changes into events. The fault `event_gap_probability` drops
    /// some of them, which leaves gaps in the sequence numbers.
    fn publish_cache_changes(&mut self) {
        let visible_at = Instant::now() + Duration::from_millis(self.faults.event_lag_ms);
        let gap_probability = self.faults.event_gap_probability.clamp(0.0, 1.0);
        for change in self.cache.take_changes() {
            let sequence = self.next_event_sequence;
            self.next_event_sequence += 1;
            if gap_probability > 0.0 && self.rng.random_bool(gap_probability) {
                continue;
            }
            let event = CacheEvent {
                sequence,
                block: change.block,
                action: change.action,
            };
            self.events.push_back(PendingEvent { visible_at, event });
        }
        while self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }
}
