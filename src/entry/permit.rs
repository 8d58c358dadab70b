//! Requirements of a request on its target, and permits, which reserve capacity on
//! a target.

use std::sync::Arc;

use tokio::time::Instant;

use crate::{
    entry::{
        scheduler::Scheduler,
        waiting::{Grant, QueueKey},
    },
    policy::{
        queue::cost_tokens,
        routing::{Choice, RouteRequest},
    },
    target::table::TargetView,
};

/// Requirements of a request on its target.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Name of the target kind that serves the request, from the route in the service
    /// document.
    pub(super) kind: Arc<str>,
    /// Model; empty for a plain service.
    pub(super) model: Arc<str>,
    /// Version of the model's weights.
    pub(super) version: Arc<str>,
    /// Adapter; empty for none.
    pub(super) adapter: Arc<str>,
    /// Account, `SERVICE/ACCOUNT`.
    pub(super) account: Arc<str>,
    /// Weight of the account in the fair queue.
    pub(super) weight: u32,
    /// Estimated number of tokens in the prompt.
    pub(super) prompt_tokens: u32,
    /// Maximum number of tokens in the answer.
    pub(super) output_tokens: u32,
    /// Hashes of the prompt's blocks, each including the blocks before it.
    pub(super) prefix_blocks: Vec<u64>,
    /// Time by which the answer must begin.
    pub(super) deadline: Option<Instant>,
    /// Maximum time between tokens, in milliseconds; 0 for a plain service.
    pub(super) between_tokens_ms: u64,
}

/// Capacity reserved for a request on its targets; released when dropped.
#[derive(Debug)]
pub(super) struct Permit {
    /// Target that answers the request.
    pub(super) target: TargetView,
    /// Target that runs the prefill, if it differs from `target`.
    pub(super) prefill: Option<TargetView>,
    scheduler: Arc<Scheduler>,
    choice: Choice,
    queue_key: QueueKey,
    account: Arc<str>,
    charged_tokens: u64,
    served_tokens: u64,
    measurement: TargetMeasurement,
}

/// Measurements of a target, taken from one answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TargetMeasurement {
    /// Mean time between tokens, in milliseconds.
    pub(super) between_tokens_ms: Option<f64>,
    /// Prompt tokens found in the target's KV cache.
    pub(super) cached_tokens: Option<u32>,
    /// Response time of a plain service, in milliseconds.
    pub(super) latency_ms: Option<f64>,
}

/// Data of a permit that the scheduler needs to release it.
#[derive(Debug)]
pub(super) struct ReleasedPermit<'a> {
    /// Targets that the request was routed to.
    pub(super) choice: &'a Choice,
    /// Key of the queue in which the request waited.
    pub(super) queue_key: &'a QueueKey,
    /// Account, `SERVICE/ACCOUNT`.
    pub(super) account: &'a str,
    /// Tokens charged to the account when the request was dispatched.
    pub(super) charged_tokens: u64,
    /// Tokens actually served.
    pub(super) served_tokens: u64,
    /// Measurements taken while the target answered the request.
    pub(super) measurement: TargetMeasurement,
}

impl Demand {
    /// Returns the key of the queue in which the request waits.
    pub(super) fn queue_key(&self) -> QueueKey {
        QueueKey {
            kind: Arc::clone(&self.kind),
            model: Arc::clone(&self.model),
        }
    }

    /// Returns the request for the route table to choose a target. `left_ms` is the
    /// time until the answer must begin.
    pub(super) fn route_request(&self, left_ms: u64) -> RouteRequest<'_> {
        let request = RouteRequest::new(&self.kind)
            .model(&self.model, &self.version)
            .adapter(&self.adapter)
            .tokens(self.prompt_tokens, self.output_tokens)
            .prefix_blocks(&self.prefix_blocks)
            .home_key(self.prefix_blocks.first().copied().unwrap_or(0));
        if self.between_tokens_ms == 0 {
            return request;
        }
        request.deadlines(left_ms, self.between_tokens_ms)
    }

    /// Returns the cost of the request in the fair queue, in tokens.
    pub(super) fn cost_tokens(&self) -> u64 {
        cost_tokens(self.prompt_tokens.into(), self.output_tokens.into())
    }
}

impl Permit {
    /// Creates the permit for a grant.
    pub(super) fn new(scheduler: &Arc<Scheduler>, demand: &Demand, grant: Grant) -> Self {
        Self {
            target: grant.target,
            prefill: grant.prefill,
            scheduler: Arc::clone(scheduler),
            choice: grant.choice,
            queue_key: demand.queue_key(),
            account: Arc::clone(&demand.account),
            charged_tokens: grant.charged_tokens,
            served_tokens: grant.charged_tokens,
            measurement: TargetMeasurement::default(),
        }
    }

    /// Sets the number of tokens actually served, which replaces the charged
    /// estimate on release.
    pub(super) fn set_served(&mut self, prompt_tokens: u32, output_tokens: u32) {
        self.served_tokens = cost_tokens(prompt_tokens.into(), output_tokens.into());
    }

    /// Sets the measurements with which the route table is updated on release.
    pub(super) fn set_measurement(&mut self, measurement: TargetMeasurement) {
        self.measurement = measurement;
    }

    /// Whether the targets of the permit still accept new requests.
    pub(super) fn is_usable(&self) -> bool {
        let prefill = self.prefill.iter().map(|target| &target.name);
        let mut names = prefill.chain([&self.target.name]);
        names.all(|name| self.scheduler.is_live(name))
    }

    /// Releases the capacity on the prefill target, if there is one.
    pub(super) fn end_prefill(&mut self) {
        if let Some(prefill) = self.choice.prefill.take() {
            self.scheduler.end_prefill(&prefill);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end_prefill();
        self.scheduler.release(&ReleasedPermit {
            choice: &self.choice,
            queue_key: &self.queue_key,
            account: &self.account,
            charged_tokens: self.charged_tokens,
            served_tokens: self.served_tokens,
            measurement: self.measurement,
        });
    }
}
