//! Simulated engines in virtual time: sequential prefill, concurrent decode and a
//! bounded KV cache.

use std::{collections::VecDeque, sync::Arc};

use lavenderwind::{
    policy::{load::RequestDemand, share::SharedQuota},
    target::protocol::{BLOCK_TOKENS, EngineRole, EngineState, LoadedModel},
};

/// Concurrent streams that an engine decodes at full speed.
const DECODE_STREAMS: f64 = 32.0;
/// Time between two tokens of a stream at full speed, in milliseconds.
const TOKEN_MS: f64 = 25.0;
/// Number of KV cache blocks of an engine.
const TOTAL_BLOCKS: u32 = 2_000;

/// A request of the workload.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) arrived_ms: u64,
    /// Index of the instance that received the job.
    pub(crate) instance: usize,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
}

impl Job {
    pub(crate) fn demand(&self) -> RequestDemand {
        RequestDemand {
            prefill_tokens: self.prompt_tokens.into(),
            blocks: (self.prompt_tokens + self.output_tokens).div_ceil(BLOCK_TOKENS),
        }
    }
}

/// A job sent to an engine, with a tag by which the sender recognizes the job.
#[derive(Clone, Debug)]
pub(crate) struct Sent<T> {
    pub(crate) job: Job,
    pub(crate) tag: T,
}

/// A job that ended.
#[derive(Debug)]
pub(crate) struct Ended<T> {
    pub(crate) sent: Sent<T>,
    pub(crate) first_token_ms: u64,
    pub(crate) between_tokens_ms: f64,
}

#[derive(Debug)]
struct Decoding<T> {
    ended: Ended<T>,
    ends_at_ms: u64,
}

/// A simulated engine.
#[derive(Debug)]
pub(crate) struct Engine<T> {
    /// Prefill speed.
    pub(crate) tokens_per_s: u32,
    used_blocks: u32,
    /// Jobs whose prefill has not ended, in the order of arrival.
    waiting: VecDeque<Sent<T>>,
    /// Tokens of the first waiting job that are still to be prefilled; `None` if its
    /// prefill has not started.
    remaining_prefill_tokens: Option<f64>,
    decoding: Vec<Decoding<T>>,
}

impl<T> Engine<T> {
    pub(crate) fn new(tokens_per_s: u32) -> Self {
        Self {
            tokens_per_s,
            used_blocks: 0,
            waiting: VecDeque::new(),
            remaining_prefill_tokens: None,
            decoding: Vec::new(),
        }
    }

    pub(crate) fn send(&mut self, sent: Sent<T>) {
        self.waiting.push_back(sent);
    }

    /// Advances by one millisecond and returns the jobs that ended.
    pub(crate) fn step(&mut self, now_ms: u64) -> Vec<Ended<T>> {
        let mut budget = f64::from(self.tokens_per_s) / 1_000.0;
        while let Some(head) = self.waiting.front() {
            let blocks = head.job.demand().blocks;
            if self.remaining_prefill_tokens.is_none() {
                if self.used_blocks + blocks > TOTAL_BLOCKS {
                    break;
                }
                self.used_blocks += blocks;
                self.remaining_prefill_tokens = Some(f64::from(head.job.prompt_tokens));
            }
            let left = self.remaining_prefill_tokens.unwrap_or(0.0) - budget;
            if left > 0.0 {
                self.remaining_prefill_tokens = Some(left);
                break;
            }
            budget = -left;
            self.remaining_prefill_tokens = None;
            let Some(sent) = self.waiting.pop_front() else {
                break;
            };
            self.decode(sent, now_ms);
        }
        let mut ended = Vec::new();
        for decoding in self
            .decoding
            .extract_if(.., |decoding| decoding.ends_at_ms <= now_ms)
        {
            self.used_blocks -= decoding.ended.sent.job.demand().blocks;
            ended.push(decoding.ended);
        }
        ended
    }

    pub(crate) fn state(&self) -> EngineState {
        let waiting: u64 = self
            .waiting
            .iter()
            .map(|sent| u64::from(sent.job.prompt_tokens))
            .sum();
        EngineState {
            boot: "boot-1".into(),
            report_age_ms: 0,
            role: EngineRole::Mixed,
            changing: false,
            models: vec![LoadedModel {
                model: "quote".into(),
                version: "1".into(),
                adapters: Vec::new(),
            }],
            running: self.decoding.len() as u32,
            waiting: self.waiting.len() as u32,
            waiting_prefill_tokens: waiting,
            used_blocks: self.used_blocks,
            total_blocks: TOTAL_BLOCKS,
            prefill_tokens_per_s: self.tokens_per_s,
            decode_tokens_per_s: (1_000.0 / TOKEN_MS) as u32,
            epoch: 0,
            last_order_id: 0,
        }
    }

    /// Starts to decode a job whose prefill has ended.
    fn decode(&mut self, sent: Sent<T>, now_ms: u64) {
        let streams = (self.decoding.len() + 1) as f64;
        let between_tokens_ms = TOKEN_MS * (streams / DECODE_STREAMS).max(1.0);
        let decode_ms = between_tokens_ms * f64::from(sent.job.output_tokens);
        self.decoding.push(Decoding {
            ends_at_ms: now_ms + decode_ms as u64,
            ended: Ended {
                first_token_ms: now_ms - sent.job.arrived_ms,
                between_tokens_ms,
                sent,
            },
        });
    }
}

pub(crate) fn instance_name(index: usize) -> Arc<str> {
    format!("entry-{index}").into()
}

/// Rebalances the quotas of all instances and delivers their reports.
pub(crate) fn exchange(quotas: &mut [&mut SharedQuota]) {
    for quota in quotas.iter_mut() {
        quota.rebalance();
    }
    for from in 0..quotas.len() {
        for to in 0..quotas.len() {
            if from == to {
                continue;
            }
            let report = quotas[from].report_for(&instance_name(to));
            quotas[to].observe(&instance_name(from), &report);
        }
    }
}

pub(crate) fn engine_name(index: usize) -> Arc<str> {
    format!("engine-{index}").into()
}
