//! Requests that engines answer with event streams, and the choice of the engines.
//!
//! - Choice: `placement` selects the engine that prefills a prompt, `prefill` runs the
//!   prefill there, and `decode` selects the engine that decodes the answer.
//! - Answers: `generation` makes the attempts, `relay` forwards the stream to the caller,
//!   and `events` splits it into events.
//! - Measurements: `profiles` keeps the timing profile and the load of each service's
//!   engines, and `stream_times` measures streams.

pub(in crate::gateway) mod decode;
pub(in crate::gateway) mod events;
pub(in crate::gateway) mod generation;
pub(in crate::gateway) mod placement;
pub(in crate::gateway) mod prefill;
pub(in crate::gateway) mod profiles;
pub(in crate::gateway) mod relay;
pub(in crate::gateway) mod stream_times;
