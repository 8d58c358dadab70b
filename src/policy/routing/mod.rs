//! Choice of a target by predicted time to first token.
//!
//! A target is either an engine, which runs language models, or a plain target,
//! which runs a service without a model. An engine that runs only the prefill of a
//! request transfers the resulting KV cache to the engine that decodes the answer.
//!
//! The predicted time covers the prefill queue of the target that runs the prefill,
//! the prefill of the prompt tokens that this target has not cached and, if another
//! target decodes, the transfer of the KV cache. All targets of a small group are
//! compared; a group contains the live targets of one kind, model and version. In
//! a large group, only a few targets are compared:
//!
//! - the home of the request's prefix, which rendezvous hashing selects among the
//!   targets whose load does not exceed a bound,
//! - some holders of the prefix, which are targets that have the prefix cached,
//! - a random sample.
//!
//! `choose` makes this choice among the targets of `table`, whose state is in
//! `target`. `partition` divides mixed engines into prefill and decode engines, and
//! `mix` averages the lengths of recent requests. `baseline` contains simple methods
//! for benchmarks, and `request` the requests, choices and errors.

mod baseline;
mod choose;
mod mix;
mod partition;
mod request;
mod table;
mod target;

pub use mix::{MixMeter, RequestMix};
pub use partition::{PartitionDemand, PartitionEngines};
pub use request::{Choice, PrefillChoice, RouteError, RouteRequest};
pub use table::{RouteMethod, RouteSettings, RouteTable};
pub use target::{Availability, RouteTarget, TargetRole};
