//! Options and faults of the engine stand-in.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    standin::{Error, Result, faults::InterfaceFaults},
    target::protocol::{EngineRole, LoadedModel},
};

/// How an engine behaves; fixed as it starts.
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
    /// Name of the engine, used as it fetches weights.
    pub name: Arc<str>,
    /// Role at the start.
    pub role: EngineRole,
    /// Models held at the start.
    pub models: Vec<LoadedModel>,
    /// Factor by which the engine runs faster than its speeds say.
    pub time_scale: f64,
    /// Prefill speed, in tokens a second.
    pub prefill_tokens_per_s: u32,
    /// Decode speed of a lone stream, in tokens a second.
    pub decode_tokens_per_s: u32,
    /// Share by which each further stream lengthens a decode step.
    pub decode_batch_slope: f64,
    /// Most streams in one batch.
    pub max_running: u32,
    /// Blocks of KV memory.
    pub total_blocks: u32,
    /// Blocks of KV cache that an import moves in a second.
    pub kv_blocks_per_s: u32,
    /// Time that a role change takes, in milliseconds.
    pub role_change_ms: u64,
    /// Time that a model load takes beside the fetch, in milliseconds.
    pub load_ms: u64,
    /// Time from a crash to the next boot, in milliseconds.
    pub restart_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub check_epoch: bool,
    /// Text in a prompt that crashes the engine; empty for none.
    pub crash_marker: Arc<str>,
    /// Base URL of the weight store; empty for loads without a fetch.
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
    /// Sets the name.
    #[must_use]
    pub fn with_name(mut self, name: &str) -> Self {
        self.name = name.into();
        self
    }

    /// Adds a model without adapters.
    #[must_use]
    pub fn with_model(mut self, model: &str, version: &str) -> Self {
        self.models.push(LoadedModel {
            model: model.into(),
            version: version.into(),
            adapters: Vec::new(),
        });
        self
    }

    /// Sets the factor by which the engine runs faster than its speeds say.
    #[must_use]
    pub fn with_time_scale(mut self, time_scale: f64) -> Self {
        self.time_scale = time_scale;
        self
    }

    /// Checks that the engine can run at all.
    ///
    /// # Errors
    ///
    /// Fails with the first option that is not positive.
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

    /// Sets whether orders with an old fencing number are refused.
    #[must_use]
    pub fn with_check_epoch(mut self, check_epoch: bool) -> Self {
        self.check_epoch = check_epoch;
        self
    }

    /// Sets the text in a prompt that crashes the engine.
    #[must_use]
    pub fn with_crash_marker(mut self, marker: &str) -> Self {
        self.crash_marker = marker.into();
        self
    }
}

/// Faults of an engine, changeable at run time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Faults of the HTTP interface; answers lost are those to orders.
    pub http: InterfaceFaults,
    /// Factor by which each step is slower.
    pub slow_factor: f64,
    /// Stops all streams without closing them.
    pub hang: bool,
    /// Cuts each stream after this many tokens; 0 for none.
    pub cut_after_tokens: u32,
    /// Answers carry the identifier of another request.
    pub wrong_request: bool,
    /// Lag of the load report, in milliseconds.
    pub state_lag_ms: u64,
    /// Lag of cache events, in milliseconds.
    pub event_lag_ms: u64,
    /// Probability that a cache event is lost.
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
