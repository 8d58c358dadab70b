//! Options and injected faults of the engine stand-in.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    standin::{Error, Result, faults::InterfaceFaults},
    target::protocol::{EngineRole, LoadedModel},
};

/// Behaviour of an engine, fixed at its start.
///
/// ```
/// use lavenderwind::standin::engine::EngineOptions;
///
/// let options = EngineOptions::default()
///     .with_name("engine-1")
///     .with_model("adviser", "1")
///     .with_time_scale(10.0);
/// assert_eq!(options.models.len(), 1);
/// ```
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Name of the engine, sent with weight fetches.
    pub name: Arc<str>,
    /// Role at boot.
    pub role: EngineRole,
    /// Models loaded at boot.
    pub models: Vec<LoadedModel>,
    /// Factor by which all speeds are multiplied, and by which the durations of role
    /// and model changes are divided.
    pub time_scale: f64,
    /// Prefill speed, in tokens per second.
    pub prefill_tokens_per_s: u32,
    /// Decode speed of a batch with a single stream, in tokens per second.
    pub decode_tokens_per_s: u32,
    /// Fraction by which each further stream lengthens a decode step.
    pub decode_batch_slope: f64,
    /// Maximum number of streams in a batch.
    pub max_running: u32,
    /// Number of KV blocks.
    pub total_blocks: u32,
    /// Speed of a KV import, in blocks per second.
    pub kv_blocks_per_s: u32,
    /// Duration of a role change, in milliseconds.
    pub role_change_ms: u64,
    /// Duration of loading or unloading a model, not counting the weight fetch, in
    /// milliseconds.
    pub load_ms: u64,
    /// Time from a crash to the next boot, in milliseconds.
    pub restart_ms: u64,
    /// Whether orders are rejected if a higher fencing token has been seen.
    pub check_epoch: bool,
    /// Text that crashes the engine if it occurs in a running prompt; empty for
    /// none.
    pub crash_marker: Arc<str>,
    /// Base URL of the weight store; if empty, models load without a fetch.
    pub weights_url: Arc<str>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            role: EngineRole::Mixed,
            models: Vec::new(),
            time_scale: 1.0,
            prefill_tokens_per_s: 8_000,
            decode_tokens_per_s: 60,
            decode_batch_slope: 0.01,
            max_running: 64,
            total_blocks: 2_000,
            kv_blocks_per_s: 2_000,
            role_change_ms: 3_000,
            load_ms: 2_000,
            restart_ms: 1_000,
            check_epoch: false,
            crash_marker: "".into(),
            weights_url: "".into(),
        }
    }
}

impl EngineOptions {
    /// Sets the name of the engine.
    #[must_use]
    pub fn with_name(mut self, name: &str) -> Self {
        self.name = name.into();
        self
    }

    /// Adds a model without adapters to those loaded at boot.
    #[must_use]
    pub fn with_model(mut self, model: &str, version: &str) -> Self {
        self.models.push(LoadedModel {
            model: model.into(),
            version: version.into(),
            adapters: Vec::new(),
        });
        self
    }

    /// Sets the factor by which all speeds are multiplied, and by which the
    /// durations of role and model changes are divided.
    #[must_use]
    pub fn with_time_scale(mut self, time_scale: f64) -> Self {
        self.time_scale = time_scale;
        self
    }

    /// Checks that speeds and limits are positive.
    ///
    /// # Errors
    ///
    /// [`Error::NotPositive`] with the first option that is not.
    pub(super) fn check(&self) -> Result<()> {
        let positive = [
            (
                "time_scale",
                self.time_scale.is_finite() && self.time_scale > 0.0,
            ),
            ("prefill_tokens_per_s", self.prefill_tokens_per_s > 0),
            ("decode_tokens_per_s", self.decode_tokens_per_s > 0),
            ("max_running", self.max_running > 0),
            ("total_blocks", self.total_blocks > 0),
            ("kv_blocks_per_s", self.kv_blocks_per_s > 0),
        ];
        for (field, valid) in positive {
            if !valid {
                return Err(Error::NotPositive { field });
            }
        }
        Ok(())
    }

    /// Sets whether orders are rejected if a higher fencing token has been seen.
    #[must_use]
    pub fn with_check_epoch(mut self, check_epoch: bool) -> Self {
        self.check_epoch = check_epoch;
        self
    }

    /// Sets the text that crashes the engine if it occurs in a running prompt.
    #[must_use]
    pub fn with_crash_marker(mut self, marker: &str) -> Self {
        self.crash_marker = marker.into();
        self
    }
}

/// Injected faults of an engine, which can be replaced at run time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Faults of the HTTP interface; only answers to requests for `/orders`
    /// can be lost.
    pub http: InterfaceFaults,
    /// Factor by which the duration of each step is multiplied.
    pub slow_factor: f64,
    /// Stalls all streams without closing their connections.
    pub hang: bool,
    /// Number of sent tokens after which each stream's connection is aborted; 0
    /// for never.
    pub cut_after_tokens: u32,
    /// Reports the identifier of another request in each stream.
    pub wrong_request: bool,
    /// Delay of the load figures in reported states, in milliseconds.
    pub state_lag_ms: u64,
    /// Delay until cache events become visible, in milliseconds.
    pub event_lag_ms: u64,
    /// Probability that a cache event is lost, which leaves a gap in the sequence.
    pub event_gap_probability: f64,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            http: InterfaceFaults::default(),
            slow_factor: 1.0,
            hang: false,
            cut_after_tokens: 0,
            wrong_request: false,
            state_lag_ms: 0,
            event_lag_ms: 0,
            event_gap_probability: 0.0,
        }
    }
}
