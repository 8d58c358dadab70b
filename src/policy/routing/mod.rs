//! Choice of a target by predicted time to first token.
//!
//! The predicted time covers the target's prefill queue, the prefill of the
//! prompt tokens that are not cached there and, if another target runs the
//! prefill, the transfer of the KV cache. All targets of a small group are
//! compared. Of a large group only a few are: the rendezvous home of the
//! request's prefix (with a bound on its load), other targets that have the
//! prefix cached, and a random sample.

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
