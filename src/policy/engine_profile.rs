//! Learned times of a service's engines, on which placement, roles and orders
//! of engines rest.
//!
//! Every figure is a line through recent answers. Disturbances such as queues
//! that are not known here only lengthen an answer, so that times follow the
//! faster ones. Until enough answers were seen, figures that another one
//! implies are derived from it, and priors stand in for the rest.

use super::line_fit::LineFit;

/// Variance of tokens below which a slope is not told from noise.
const MIN_TOKEN_VARIANCE: f64 = 100.0;

/// Time that an engine that decodes takes to read a token, in times that one
/// that prefills takes (the platform's pages).
pub(super) const LOCAL_PREFILL_FACTOR: f64 = 2.0;

/// Time to read a token before any was seen read, in milliseconds.
const PRIOR_PREFILL_MS_PER_TOKEN: f64 = 0.02;

/// Time for which a stream holds a slot for each token that it may generate,
/// before any stream was seen to end, in milliseconds.
const PRIOR_HOLD_MS_PER_TOKEN: f64 = 5.0;

/// Weight of the newest stream in the part of late pauses.
const LATE_PAUSE_GAIN: f64 = 0.02;

/// Part of late pauses before any stream was seen.
const PRIOR_LATE_PAUSE_RATE: f64 = 0.25;

/// Weight of the newest prefill in the mean of what they take beyond their
/// prediction.
const OVERRUN_GAIN: f64 = 0.02;

/// Largest time of a prefill that counts, in times of what it should take.
const MAX_OVERRUN_RATIO: f64 = 4.0;

/// What serving prompts takes of engines, in milliseconds of a whole one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineWork {
    /// Reading prompts that are best read by engines that prefill, there.
    pub remote_prefill_ms: f64,
    /// Reading the other prompts, by engines that decode.
    pub local_prefill_ms: f64,
    /// Generating answers.
    pub decode_ms: f64,
}

/// Size of a prompt and its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptSize {
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Tokens that have to be read.
    pub uncached_tokens: u32,
    /// Most tokens to generate.
    pub max_output_tokens: u32,
}

/// Learned times of a service's engines.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// Time of a prefill by the tokens that were to be read before and for it.
    remote_prefill: LineFit,
    /// Time to the first event by the tokens that were to be read where it is
    /// generated.
    local_prefill: LineFit,
    /// Time to the first event by the tokens of the KV cache that was fetched.
    handover: LineFit,
    /// Time from the first event to the last by the tokens to generate.
    hold: LineFit,
    /// Time between two events by the streams that run beside.
    event: LineFit,
    /// Part of the streams beside which prompts were read that had a pause that
    /// was too long.
    late_pauses: f64,
    /// Time that prefills take, in times of what they should.
    overrun_ratio: f64,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            remote_prefill: LineFit::new(MIN_TOKEN_VARIANCE),
            local_prefill: LineFit::new(MIN_TOKEN_VARIANCE),
            handover: LineFit::new(MIN_TOKEN_VARIANCE),
            hold: LineFit::new(MIN_TOKEN_VARIANCE),
            event: LineFit::new(1.0),
            late_pauses: PRIOR_LATE_PAUSE_RATE,
            overrun_ratio: 1.0,
        }
    }
}

impl EngineProfile {
    /// Takes in a prefill that took `elapsed_ms`, with so many tokens to read
    /// before it and for it.
    pub fn observe_remote_prefill(&mut self, tokens: f64, elapsed_ms: f64) {
        let predicted_ms = self.remote_prefill_ms(tokens);
        if predicted_ms > 0.0 {
            let ratio = (elapsed_ms / predicted_ms).clamp(1.0, MAX_OVERRUN_RATIO);
            self.overrun_ratio += OVERRUN_GAIN * (ratio - self.overrun_ratio);
        }
        self.remote_prefill.observe_asymmetric(tokens, elapsed_ms);
    }

    /// Takes in a first event that came after `elapsed_ms`, with so many tokens
    /// to read at its engine.
    pub fn observe_local_prefill(&mut self, tokens: f64, elapsed_ms: f64) {
        self.local_prefill.observe_asymmetric(tokens, elapsed_ms);
    }

    /// Takes in a first event that came after `elapsed_ms` from a KV cache of
    /// so many tokens.
    pub fn observe_handover(&mut self, tokens: f64, elapsed_ms: f64) {
        self.handover.observe_asymmetric(tokens, elapsed_ms);
    }

    /// Takes in a stream that took `elapsed_ms` from its first event to its
    /// last, of at most so many tokens.
    pub fn observe_hold(&mut self, max_output_tokens: u32, elapsed_ms: f64) {
        self.hold.observe(f64::from(max_output_tokens), elapsed_ms);
    }

    /// Takes in the mean time between the events of a stream, beside which so
    /// many streams ran.
    pub fn observe_event(&mut self, streams: f64, between_events_ms: f64) {
        self.event.observe_asymmetric(streams, between_events_ms);
    }

    /// Takes in whether a stream beside which prompts were read had a pause that
    /// was too long.
    pub fn observe_pause(&mut self, is_late: bool) {
        self.late_pauses += LATE_PAUSE_GAIN * (f64::from(u8::from(is_late)) - self.late_pauses);
    }

    /// Returns the part of the streams beside which prompts were read that had
    /// a pause that was too long.
    #[must_use]
    pub fn late_pauses(&self) -> f64 {
        self.late_pauses
    }

    /// Predicts the time of a prefill with so many tokens to read before it and
    /// for it.
    #[must_use]
    pub fn remote_prefill_ms(&self, tokens: f64) -> f64 {
        let learned = self.remote_prefill.predict(tokens);
        learned.unwrap_or_else(|| tokens * self.remote_prefill_ms_per_token())
    }

    /// Predicts the time to the first event with so many tokens to read where
    /// it is generated.
    #[must_use]
    pub fn local_prefill_ms(&self, tokens: f64) -> f64 {
        let learned = self.local_prefill.predict(tokens);
        learned
            .unwrap_or_else(|| self.handover_ms(0.0) + tokens * self.local_prefill_ms_per_token())
    }

    /// Predicts the time to the first event from a KV cache of so many tokens.
    #[must_use]
    pub fn handover_ms(&self, tokens: f64) -> f64 {
        let fixed_ms = || self.local_prefill.predict(0.0).unwrap_or(0.0);
        self.handover.predict(tokens).unwrap_or_else(fixed_ms)
    }

    /// Returns the time that an engine that prefills takes to read a token.
    #[must_use]
    pub fn remote_prefill_ms_per_token(&self) -> f64 {
        let derived =
            || positive(self.local_prefill.slope()).map(|slope| slope / LOCAL_PREFILL_FACTOR);
        let slope = positive(self.remote_prefill.slope()).or_else(derived);
        slope.unwrap_or(PRIOR_PREFILL_MS_PER_TOKEN)
    }

    /// Returns the time that an engine that decodes takes to read a token.
    #[must_use]
    pub fn local_prefill_ms_per_token(&self) -> f64 {
        let derived =
            || positive(self.remote_prefill.slope()).map(|slope| slope * LOCAL_PREFILL_FACTOR);
        let slope = positive(self.local_prefill.slope()).or_else(derived);
        slope.unwrap_or(PRIOR_PREFILL_MS_PER_TOKEN * LOCAL_PREFILL_FACTOR)
    }

    /// Predicts the time for which a stream of at most so many tokens holds a
    /// slot.
    #[must_use]
    pub fn hold_ms(&self, max_output_tokens: u32) -> f64 {
        let tokens = f64::from(max_output_tokens);
        let learned = self.hold.predict(tokens);
        self.handover_ms(0.0) + learned.unwrap_or(tokens * PRIOR_HOLD_MS_PER_TOKEN)
    }

    /// Predicts the time between two events where so many streams run; `None`
    /// before streams were seen.
    #[must_use]
    pub fn event_ms(&self, streams: f64) -> Option<f64> {
        self.event.predict(streams)
    }

    /// Returns whether a prompt is read best where its answer is generated,
    /// if all engines are idle.
    #[must_use]
    pub fn is_local_prefill(&self, size: &PromptSize) -> bool {
        let uncached = f64::from(size.uncached_tokens);
        let handover_ms = self.handover_ms(f64::from(size.prompt_tokens));
        self.local_prefill_ms(uncached) <= self.remote_prefill_ms(uncached) + handover_ms
    }

    /// Returns the engine time that a prompt and its answer take, of engines
    /// with so many slots.
    #[must_use]
    pub fn work(&self, size: &PromptSize, slots: u32) -> EngineWork {
        let uncached = f64::from(size.uncached_tokens);
        let decode_ms = self.hold_ms(size.max_output_tokens) / f64::from(slots.max(1));
        let (remote_prefill_ms, local_prefill_ms) = match self.is_local_prefill(size) {
            true => (0.0, uncached * self.local_prefill_ms_per_token()),
            false => (
                uncached * self.remote_prefill_ms_per_token() * self.overrun_ratio,
                0.0,
            ),
        };
        EngineWork {
            remote_prefill_ms,
            local_prefill_ms,
            decode_ms,
        }
    }
}

/// Returns a slope that tells more than that there is none.
fn positive(slope: Option<f64>) -> Option<f64> {
    slope.filter(|slope| *slope > 0.0)
}
