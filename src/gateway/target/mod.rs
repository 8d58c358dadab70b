//! The targets' side: connections, attempts and what is known about each target.
//!
//! `attempt` makes one attempt over a connection of `pool` (`yielding_stream`), and
//! `attempt_history` decides on retries. `plain` forwards requests whose answers are
//! buffered in `answer_memory`, and `engine_call` makes the gateway's own calls to engines.
//! `loads` keeps the load of each target, which `in_flight` counts, `speeds` learns how fast
//! each target answers, and `crash` detects targets that crash.

pub(in crate::gateway) mod answer_memory;
pub(in crate::gateway) mod attempt;
pub(in crate::gateway) mod attempt_history;
pub(in crate::gateway) mod crash;
pub(in crate::gateway) mod engine_call;
pub(in crate::gateway) mod in_flight;
pub(in crate::gateway) mod loads;
pub(in crate::gateway) mod plain;
pub(in crate::gateway) mod pool;
pub(in crate::gateway) mod speeds;
pub(in crate::gateway) mod yielding_stream;
