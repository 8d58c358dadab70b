//! Averages of the lengths of recent requests to one instance.

use super::RouteRequest;

/// Factor by which the weight of earlier requests decays with each new one.
const DECAY: f64 = 0.9;

/// Average lengths of recent requests for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestMix {
    /// Fraction of the prompt tokens that belong to long prompts, whose prefill would
    /// delay running streams.
    pub long_share: f64,
    /// Ratio of generated tokens to prompt tokens.
    pub output_tokens_per_prompt_token: f64,
    /// Mean number of KV cache blocks of a request.
    pub blocks_per_request: f64,
}

/// Exponentially weighted averages over the requests for one model.
#[derive(Clone, Copy, Debug, Default)]
pub struct MixMeter {
    /// Sum of the weights of all requests. The other fields are weighted sums.
    sum_weights: f64,
    prompt_tokens: f64,
    long_tokens: f64,
    output_tokens: f64,
    blocks: f64,
}

impl MixMeter {
    /// Adds a request. `is_long` is whether the prefill of the request would delay
    /// running streams (see [`RouteTable::is_long`](super::RouteTable::is_long)).
    pub fn observe(&mut self, request: &RouteRequest<'_>, is_long: bool) {
        let tokens = f64::from(request.prompt_tokens);
        self.sum_weights = self.sum_weights * DECAY + 1.0;
        self.prompt_tokens = self.prompt_tokens * DECAY + tokens;
        self.long_tokens = self.long_tokens * DECAY + if is_long { tokens } else { 0.0 };
        self.output_tokens = self.output_tokens * DECAY + f64::from(request.output_tokens);
        self.blocks = self.blocks * DECAY + f64::from(request.blocks());
    }

    /// Returns the averages.
    #[must_use]
    pub fn mix(&self) -> RequestMix {
        if self.sum_weights == 0.0 {
            return RequestMix::default();
        }
        RequestMix {
            long_share: self.long_tokens / self.prompt_tokens.max(1.0),
            output_tokens_per_prompt_token: self.output_tokens / self.prompt_tokens.max(1.0),
            blocks_per_request: self.blocks / self.sum_weights,
        }
    }
}
