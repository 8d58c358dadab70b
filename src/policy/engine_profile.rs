//! Learned service times of a service's engines, used to place requests, split
//! the engines between roles and decide how many to order.
//!
//! Each time is predicted by a line fitted to recent answers. Disturbances that
//! this instance doesn't know, such as queues, can only lengthen an answer, so
//! most fits give slow answers a lower weight. Before enough answers were
//! observed, a time is derived from a related one if possible, and is otherwise
//! taken from a constant prior.
//!
//! A remote prefill runs on a prefill engine, whose KV cache another engine then
//! fetches to decode the answer. A local prefill runs on the engine that decodes
//! the answer. An event is a server-sent event of a streamed answer, and may
//! contain several tokens. A slot is the capacity of an engine for one concurrent
//! stream.

use super::line_fit::LineFit;

/// Variance of the number of tokens below which a slope is taken as 0, since it
/// cannot be distinguished from noise.
const MIN_TOKEN_VARIANCE: f64 = 100.0;

/// Ratio of the prefill time per token on a decode engine to that on a prefill
/// engine, as documented by the platform.
pub const LOCAL_PREFILL_FACTOR: f64 = 2.0;

/// Prefill time per token on a prefill engine, in milliseconds, assumed before any
/// prefill was observed.
const PRIOR_PREFILL_MS_PER_TOKEN: f64 = 0.02;

/// Time from the first event of a stream to the last, in milliseconds per token
/// that the stream may generate at most. This value is assumed before the end of
/// any stream was observed.
const PRIOR_DECODE_MS_PER_TOKEN: f64 = 5.0;

/// Weight of the newest stream in the moving average of the fraction of streams with a
/// late pause.
const LATE_PAUSE_GAIN: f64 = 0.02;

/// Fraction of streams that is assumed to have a late pause (see
/// [`EngineProfile::late_pause_rate`]) before any stream was observed.
const PRIOR_LATE_PAUSE_RATE: f64 = 0.25;

/// Weight of the newest prefill in the moving average of the overrun ratio, which
/// is the ratio of the measured to the predicted time of a prefill.
const OVERRUN_GAIN: f64 = 0.02;

/// Upper bound of the ratio of measured to predicted time taken from one prefill.
const MAX_OVERRUN_RATIO: f64 = 4.0;

/// Engine time that requests need. An amount of 1 ms occupies a whole engine for
/// 1 ms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineWork {
    /// Remote prefill, of the prompts that are served faster by it.
    pub remote_prefill_ms: f64,
    /// Local prefill, of the other prompts.
    pub local_prefill_ms: f64,
    /// Decoding of answers.
    pub decode_ms: f64,
}

/// Size of a prompt and its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptSize {
    /// Tokens of the prompt, cached or not.
    pub prompt_tokens: u32,
    /// Prompt tokens that are not cached and need prefill.
    pub uncached_tokens: u32,
    /// Upper bound of the tokens to generate.
    pub max_output_tokens: u32,
}

/// Learned service times of a service's engines.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// Time of a remote prefill, by the number of uncached tokens of its prompt and
    /// of the prompts queued before it.
    remote_prefill: LineFit,
    /// Time to the first event of a stream with local prefill, by the number of
    /// uncached tokens that its engine prefills.
    local_prefill: LineFit,
    /// Time from a request to a decode engine, sent after a remote prefill, to the
    /// first event, by the number of tokens in the KV cache that the engine fetches.
    kv_fetch: LineFit,
    /// Time from the first event to the last, by the maximum number of tokens to
    /// generate.
    decode_time: LineFit,
    /// Time between two events, by the number of concurrent streams.
    event_interval: LineFit,
    /// Moving average described at [`EngineProfile::late_pause_rate`].
    late_pause_rate: f64,
    /// Mean ratio of the measured to the predicted time of remote prefills, at
    /// least 1.
    overrun_ratio: f64,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            remote_prefill: LineFit::new(MIN_TOKEN_VARIANCE),
            local_prefill: LineFit::new(MIN_TOKEN_VARIANCE),
            kv_fetch: LineFit::new(MIN_TOKEN_VARIANCE),
            decode_time: LineFit::new(MIN_TOKEN_VARIANCE),
            event_interval: LineFit::new(1.0),
            late_pause_rate: PRIOR_LATE_PAUSE_RATE,
            overrun_ratio: 1.0,
        }
    }
}

impl EngineProfile {
    /// Adds the measured time of a remote prefill, in milliseconds.
    ///
    /// `tokens` is the number of uncached tokens of the prompt and of the prompts
    /// queued before it.
    pub fn observe_remote_prefill(&mut self, tokens: f64, elapsed_ms: f64) {
        let predicted_ms = self.remote_prefill_ms(tokens);
        if predicted_ms > 0.0 {
            let ratio = (elapsed_ms / predicted_ms).clamp(1.0, MAX_OVERRUN_RATIO);
            self.overrun_ratio += OVERRUN_GAIN * (ratio - self.overrun_ratio);
        }
        self.remote_prefill.observe_asymmetric(tokens, elapsed_ms);
    }

    /// Adds the time to the first event of a stream whose engine had to prefill
    /// `tokens` tokens itself.
    pub fn observe_local_prefill(&mut self, tokens: f64, elapsed_ms: f64) {
        self.local_prefill.observe_asymmetric(tokens, elapsed_ms);
    }

    /// Adds the time to the first event of a stream whose engine fetched a KV
    /// cache of `tokens` tokens.
    pub fn observe_kv_fetch(&mut self, tokens: f64, elapsed_ms: f64) {
        self.kv_fetch.observe_asymmetric(tokens, elapsed_ms);
    }

    /// Adds the time from the first event to the last of a stream of at most
    /// `max_output_tokens` tokens.
    pub fn observe_decode_time(&mut self, max_output_tokens: u32, elapsed_ms: f64) {
        self.decode_time
            .observe(f64::from(max_output_tokens), elapsed_ms);
    }

    /// Adds the mean time between the events of a stream, with `streams` streams
    /// on its engine.
    pub fn observe_event(&mut self, streams: f64, between_events_ms: f64) {
        self.event_interval
            .observe_asymmetric(streams, between_events_ms);
    }

    /// Records whether a stream had a pause between two events that was longer than
    /// the stream's objective for it. Call this method only for streams on engines
    /// that also prefill.
    pub fn observe_pause(&mut self, is_late: bool) {
        self.late_pause_rate +=
            LATE_PAUSE_GAIN * (f64::from(u8::from(is_late)) - self.late_pause_rate);
    }

    /// Returns the moving average of the fraction of streams that had a pause between
    /// two events that was longer than the stream's objective for it.
    ///
    /// Only streams on engines that also prefill prompts are counted.
    #[must_use]
    pub fn late_pause_rate(&self) -> f64 {
        self.late_pause_rate
    }

    /// Predicts the time of a remote prefill, in milliseconds.
    ///
    /// `tokens` is the number of uncached tokens of the prompt and of the prompts
    /// queued before it.
    #[must_use]
    pub fn remote_prefill_ms(&self, tokens: f64) -> f64 {
        let learned = self.remote_prefill.predict(tokens);
        learned.unwrap_or_else(|| tokens * self.remote_prefill_ms_per_token())
    }

    /// Predicts the time of a remote prefill as [`Self::remote_prefill_ms`] does; `None`
    /// before enough were observed.
    #[must_use]
    pub fn learned_remote_prefill_ms(&self, tokens: f64) -> Option<f64> {
        self.remote_prefill.predict(tokens)
    }

    /// Predicts the time to the first event of a stream with a local prefill as
    /// [`Self::local_prefill_ms`] does; `None` before enough were observed.
    #[must_use]
    pub fn learned_local_prefill_ms(&self, tokens: f64) -> Option<f64> {
        self.local_prefill.predict(tokens)
    }

    /// Predicts the time to the first event of a stream whose engine has to
    /// prefill `tokens` tokens itself, in milliseconds.
    #[must_use]
    pub fn local_prefill_ms(&self, tokens: f64) -> f64 {
        let learned = self.local_prefill.predict(tokens);
        learned
            .unwrap_or_else(|| self.kv_fetch_ms(0.0) + tokens * self.local_prefill_ms_per_token())
    }

    /// Predicts the time to the first event of a stream whose engine fetches a KV
    /// cache of `tokens` tokens, in milliseconds.
    #[must_use]
    pub fn kv_fetch_ms(&self, tokens: f64) -> f64 {
        let fixed_ms = || self.local_prefill.predict(0.0).unwrap_or(0.0);
        self.kv_fetch.predict(tokens).unwrap_or_else(fixed_ms)
    }

    /// Returns the prefill time per token on a prefill engine, in milliseconds.
    #[must_use]
    pub fn remote_prefill_ms_per_token(&self) -> f64 {
        let derived =
            || positive_slope(self.local_prefill.slope()).map(|slope| slope / LOCAL_PREFILL_FACTOR);
        let slope = positive_slope(self.remote_prefill.slope()).or_else(derived);
        slope.unwrap_or(PRIOR_PREFILL_MS_PER_TOKEN)
    }

    /// Returns the prefill time per token on a decode engine, in milliseconds.
    #[must_use]
    pub fn local_prefill_ms_per_token(&self) -> f64 {
        let derived = || {
            positive_slope(self.remote_prefill.slope()).map(|slope| slope * LOCAL_PREFILL_FACTOR)
        };
        let slope = positive_slope(self.local_prefill.slope()).or_else(derived);
        slope.unwrap_or(PRIOR_PREFILL_MS_PER_TOKEN * LOCAL_PREFILL_FACTOR)
    }

    /// Predicts the time for which a stream of at most `max_output_tokens` tokens
    /// occupies a slot, in milliseconds.
    #[must_use]
    pub fn slot_time_ms(&self, max_output_tokens: u32) -> f64 {
        let tokens = f64::from(max_output_tokens);
        let learned = self.decode_time.predict(tokens);
        self.kv_fetch_ms(0.0) + learned.unwrap_or(tokens * PRIOR_DECODE_MS_PER_TOKEN)
    }

    /// Predicts the time between two events of a stream on an engine with `streams`
    /// streams, in milliseconds; `None` before enough streams were observed.
    #[must_use]
    pub fn event_ms(&self, streams: f64) -> Option<f64> {
        self.event_interval.predict(streams)
    }

    /// Returns whether, on idle engines, a local prefill is predicted to give the first
    /// event no later than a remote prefill followed by a KV cache fetch.
    #[must_use]
    pub fn is_local_prefill(&self, size: &PromptSize) -> bool {
        let uncached = f64::from(size.uncached_tokens);
        let kv_fetch_ms = self.kv_fetch_ms(f64::from(size.prompt_tokens));
        self.local_prefill_ms(uncached) <= self.remote_prefill_ms(uncached) + kv_fetch_ms
    }

    /// Returns the engine time that a prompt and its answer need on engines with
    /// `slots` slots.
    #[must_use]
    pub fn work(&self, size: &PromptSize, slots: u32) -> EngineWork {
        let uncached = f64::from(size.uncached_tokens);
        let decode_ms = self.slot_time_ms(size.max_output_tokens) / f64::from(slots.max(1));
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

/// Returns `slope` if it is positive. A slope of 0 means that the samples don't vary
/// enough to determine the slope.
fn positive_slope(slope: Option<f64>) -> Option<f64> {
    slope.filter(|slope| *slope > 0.0)
}
