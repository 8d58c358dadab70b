//! Timing of event streams, from which the timing profile of a service's engines is
//! learned.

use std::{sync::Arc, time::Duration};

use derive_more::Display;
use tokio::time::Instant;

use crate::{gateway::state::State, roster::Target};

/// Work that an engine had to do before the first event of a stream.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub(in crate::gateway) enum StartWork {
    /// Prefill of the prompt, after the prompts queued before it.
    #[display("read {tokens}")]
    LocalPrefill {
        /// Tokens to prefill, including those of the queued prompts.
        tokens: f64,
    },
    /// Fetch of a KV cache.
    #[display("fetched {tokens}")]
    KvFetch {
        /// Tokens in the KV cache.
        tokens: f64,
    },
    /// Continuation of a stream that another engine had started.
    #[display("resumed")]
    Resumed,
}

/// Timing of one stream.
#[derive(Debug)]
pub(in crate::gateway) struct StreamTimes {
    target: Arc<Target>,
    start: StartWork,
    max_output_tokens: u32,
    /// Other requests in flight on the engine when the stream's request was sent.
    requests_in_flight: f64,
    /// Whether the engine had a free slot when the request was sent; otherwise the
    /// time to the first event includes a wait and is not learned from.
    had_slot: bool,
    sent_at: Instant,
    first_event_at: Option<Instant>,
    /// When the last events arrived; equal to `sent_at` before the first event.
    last_event_at: Instant,
    longest_pause: Duration,
    pause_objective: Option<Duration>,
    event_count: usize,
}

impl StreamTimes {
    /// Starts timing when a request is sent to an engine with `requests_in_flight` other
    /// requests in flight.
    pub(in crate::gateway) fn new(
        target: &Arc<Target>,
        start: StartWork,
        requests_in_flight: f64,
    ) -> Self {
        let now = Instant::now();
        Self {
            target: target.clone(),
            start,
            max_output_tokens: 0,
            requests_in_flight,
            had_slot: requests_in_flight < f64::from(target.slots),
            sent_at: now,
            first_event_at: None,
            last_event_at: now,
            longest_pause: Duration::ZERO,
            pause_objective: None,
            event_count: 0,
        }
    }

    /// Sets the maximum number of generated tokens.
    pub(in crate::gateway) fn with_max_output_tokens(mut self, max_output_tokens: u32) -> Self {
        self.max_output_tokens = max_output_tokens;
        self
    }

    /// Sets the longest pause between two events that meets the objective. `None` means
    /// that pauses are not evaluated, because the engine has no prompts to prefill
    /// beside the stream.
    pub(in crate::gateway) fn with_pause_objective(mut self, objective: Option<Duration>) -> Self {
        self.pause_objective = objective;
        self
    }

    /// Records that `count` events have arrived. The first call updates the engine
    /// profile with the time to the first event.
    pub(in crate::gateway) fn record_events(&mut self, state: &State, count: usize) {
        let now = Instant::now();
        let pause = now - self.last_event_at;
        self.last_event_at = now;
        self.event_count += count;
        if self.first_event_at.is_some() {
            self.longest_pause = self.longest_pause.max(pause);
            return;
        }
        self.first_event_at = Some(now);
        if !self.had_slot {
            return;
        }
        let elapsed_ms = (now - self.sent_at).as_secs_f64() * 1_000.0;
        let start = self.start;
        let mut expected_ms = None;
        let service = &self.target.service;
        state
            .engines()
            .update_profile(service, |profile| match start {
                StartWork::LocalPrefill { tokens } => {
                    expected_ms = profile.learned_local_prefill_ms(tokens);
                    profile.observe_local_prefill(tokens, elapsed_ms);
                }
                StartWork::KvFetch { tokens } => profile.observe_kv_fetch(tokens, elapsed_ms),
                StartWork::Resumed => {}
            });
        let load = self.requests_in_flight;
        state.observe_speed(&self.target.id, load, expected_ms, elapsed_ms);
    }

    /// Returns the work that the engine had to do before the first event.
    pub(in crate::gateway) fn start(&self) -> StartWork {
        self.start
    }

    /// Returns the number of other requests in flight on the engine when the stream's
    /// request was sent.
    pub(in crate::gateway) fn requests_in_flight(&self) -> f64 {
        self.requests_in_flight
    }

    /// Returns the longest pause between two events.
    pub(in crate::gateway) fn longest_pause(&self) -> Duration {
        self.longest_pause
    }

    /// Returns the time from the send to the first event, in milliseconds.
    pub(in crate::gateway) fn first_event_ms(&self) -> u64 {
        let first_event_at = self.first_event_at.unwrap_or(self.last_event_at);
        (first_event_at - self.sent_at).as_millis() as u64
    }

    /// Updates the engine profile from a stream that ended normally.
    pub(in crate::gateway) fn finish(&self, state: &State) {
        let Some(first_event_at) = self.first_event_at else {
            return;
        };
        if self.start == StartWork::Resumed {
            return;
        }
        let decode_ms = first_event_at.elapsed().as_secs_f64() * 1_000.0;
        let all_pauses_ms = (self.last_event_at - first_event_at).as_secs_f64() * 1_000.0;
        let pause_count = self.event_count.saturating_sub(1) as f64;
        let max_output_tokens = self.max_output_tokens;
        let requests_in_flight = self.requests_in_flight;
        let mut expected_ms = None;
        let service = &self.target.service;
        state.engines().update_profile(service, |profile| {
            profile.observe_decode_time(max_output_tokens, decode_ms);
            if pause_count > 0.0 {
                let event_ms = profile.event_ms(requests_in_flight);
                expected_ms = event_ms.map(|event_ms| event_ms * pause_count);
                profile.observe_event(requests_in_flight, all_pauses_ms / pause_count);
            }
            if let Some(objective) = self.pause_objective {
                profile.observe_pause(self.longest_pause > objective);
            }
        });
        state.observe_speed(
            &self.target.id,
            requests_in_flight,
            expected_ms,
            all_pauses_ms,
        );
    }
}
