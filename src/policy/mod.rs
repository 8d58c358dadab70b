//! Routing, scheduling and scaling decisions as deterministic functions.
//!
//! The current time, in milliseconds of a monotonic clock, and random numbers
//! are arguments. Nothing here does I/O, reads a clock or generates random
//! numbers.

pub mod answer_budget;
pub mod baseline;
pub mod breaker;
pub mod cache_locality;
pub mod caller_choice;
pub mod crash_history;
pub mod decode;
pub mod dispatch;
pub mod engine_profile;
pub mod figure_due;
pub mod limits;
pub mod line_fit;
pub mod list_reads;
pub mod load;
pub mod placement;
pub mod prefix;
pub mod queue;
pub mod read_backoff;
pub mod recent_answers;
pub mod retry;
pub mod retry_window;
pub mod role_split;
pub mod roles;
pub mod routing;
pub mod share;
pub mod shortage;
pub mod snapshot_pace;
pub mod spending;
pub mod spread;
pub mod store_outage;
mod suspect;
pub mod suspects;
pub mod target_notices;
pub mod target_speed;
pub mod token_bucket;
pub mod work_meter;
