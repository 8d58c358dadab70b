//! What a request needs of a target, and its place on one.

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

/// What a request needs of a target.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Kind of target.
    pub(super) kind: Arc<str>,
    /// Model; empty for a plain service.
    pub(super) model: Arc<str>,
    /// Version of the weights.
    pub(super) version: Arc<str>,
    /// Adapter; empty for none.
    pub(super) adapter: Arc<str>,
    /// Account, `SERVICE/ACCOUNT`.
    pub(super) account: Arc<str>,
    /// Weight of the account.
    pub(super) weight: u32,
    /// Estimated tokens of the prompt.
    pub(super) prompt_tokens: u32,
    /// Most tokens of the answer.
    pub(super) output_tokens: u32,
    /// Chained hashes of the prompt's blocks.
    pub(super) prefix_blocks: Vec<u64>,
    /// Instant by which the answer must begin.
    pub(super) deadline: Option<Instant>,
    /// Time between tokens that the target must keep, in milliseconds; 0 for
    /// a plain service.
    pub(super) between_tokens_ms: u64,
}

/// A place on a target; given back when dropped.
#[derive(Debug)]
pub(super) struct Permit {
    /// Target that answers.
    pub(super) target: TargetView,
    /// Target that runs the prefill, where that is another one.
    pub(super) prefill: Option<TargetView>,
    scheduler: Arc<Scheduler>,
    choice: Choice,
    queue: QueueKey,
    account: Arc<str>,
    charged_tokens: u64,
    served_tokens: u64,
    measurement: TargetMeasurement,
}

/// What an answer showed of its target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TargetMeasurement {
    /// Mean time between tokens, in milliseconds.
    pub(super) between_tokens_ms: Option<f64>,
    /// Prompt tokens found in the cache.
    pub(super) cached_tokens: Option<u32>,
    /// Time to a plain answer, in milliseconds.
    pub(super) latency_ms: Option<f64>,
}

/// What a permit gives back.
#[derive(Debug)]
pub(super) struct ReleasedPermit<'a> {
    /// Where the request ran.
    pub(super) choice: &'a Choice,
    /// Queue that the request came from.
    pub(super) queue: &'a QueueKey,
    /// Account, `SERVICE/ACCOUNT`.
    pub(super) account: &'a str,
    /// Tokens that the account was charged.
    pub(super) charged_tokens: u64,
    /// Tokens that the account was served.
    pub(super) served_tokens: u64,
    /// What the answer showed of the target.
    pub(super) measurement: TargetMeasurement,
}

impl Demand {
    /// Returns the queue that the request waits in.
    pub(super) fn queue_key(&self) -> QueueKey {
        QueueKey {
            kind: Arc::clone(&self.kind),
            model: Arc::clone(&self.model),
        }
    }

    /// Returns the request for the router, with the time left until the answer
    /// must begin.
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

    /// Returns the cost of the request in the fair queue.
    pub(super) fn cost_tokens(&self) -> u64 {
        cost_tokens(self.prompt_tokens.into(), self.output_tokens.into())
    }
}

impl Permit {
    /// Takes a granted place.
    pub(super) fn new(scheduler: &Arc<Scheduler>, demand: &Demand, grant: Grant) -> Self {
        Self {
            target: grant.target,
            prefill: grant.prefill,
            scheduler: Arc::clone(scheduler),
            choice: grant.choice,
            queue: demand.queue_key(),
            account: Arc::clone(&demand.account),
            charged_tokens: grant.charged_tokens,
            served_tokens: grant.charged_tokens,
            measurement: TargetMeasurement::default(),
        }
    }

    /// Sets the tokens that the account was really served.
    pub(super) fn set_served(&mut self, prompt_tokens: u32, output_tokens: u32) {
        self.served_tokens = cost_tokens(prompt_tokens.into(), output_tokens.into());
    }

    /// Sets what the answer showed of the target.
    pub(super) fn set_measurement(&mut self, measurement: TargetMeasurement) {
        self.measurement = measurement;
    }

    /// Whether all its targets may still get new work.
    pub(super) fn is_usable(&self) -> bool {
        let prefill = self.prefill.iter().map(|target| &target.name);
        let mut names = prefill.chain([&self.target.name]);
        names.all(|name| self.scheduler.is_live(name))
    }

    /// Gives the place on the target of the prefill back.
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
            queue: &self.queue,
            account: &self.account,
            charged_tokens: self.charged_tokens,
            served_tokens: self.served_tokens,
            measurement: self.measurement,
        });
    }
}
