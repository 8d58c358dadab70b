//! Choice of a target by predicted time to first token.
//!
//! The prediction is the queue ahead, the prefill of what is not cached there
//! and, for a prefill on another target, the transfer of its KV cache. A small
//! group of targets is considered whole; of a large one the rendezvous home of
//! the request's prefix under a bounded load, the holders of that prefix and a
//! random sample.

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
