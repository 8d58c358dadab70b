//! Choice of a target by predicted time to first token.
//!
//! The predicted time covers the target's prefill queue, the prefill of the
//! prompt tokens that are not cached there and, if another target runs the
//! prefill, the transfer of the KV cache. All targets of a small group are
//! compared; a group contains the live targets of one kind, model and version. In
//! a large group, only a few targets are compared:
//!
//! - the home of the request's prefix, which rendezvous hashing selects among the
//!   targets whose load does not exceed a bound,
//! - some holders of the prefix, which are targets that have the prefix cached,
//! - a random sample.

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
