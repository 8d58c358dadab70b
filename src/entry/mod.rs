//! HTTP interface for callers.
//!
//! A request passes the API key check and the limits of its account, waits in a
//! queue that is fair between accounts, and is then routed and sent to a target.
//! A non-repeatable request with an idempotency key is first claimed in the log,
//! so that it runs at most once. The answer is returned as one body or as a stream
//! of events. Every error response states in the [`OUTCOME_HEADER`] whether the
//! request ran.
//!
//! The modules for each step:
//!
//! - Connections: `acceptor` accepts them and `server` serves them. `body` reads
//!   request bodies, and `reply` builds responses that are not streamed.
//! - Requests: `handler` handles a request. `router` finds its route, `auth` checks
//!   its API key, and `limiter` applies the limits of its account. `call` is the
//!   validated request. `openai` parses its body with `fields`. `models` answers
//!   requests for the list of models.
//! - Targets: `scheduler` keeps a queue of `waiting` requests for each target kind and
//!   model, and `assign` chooses the target of a request. `permit` reserves capacity on
//!   it. `partition` divides mixed engines between long prefills and decoding.
//! - Answers: `plain` calls plain services. `generation` generates an answer over one
//!   or more calls of `attempt`, `stop` detects stop sequences, and `complete` or
//!   `stream` returns the answer in the bodies of `answer`. `token_timing` measures
//!   its token latencies.
//! - Log: `claim` makes a non-repeatable request run at most once, `crash` and
//!   `suspect` track requests that may crash targets, and `log_writer` appends the
//!   records.
//! - State: `context` is shared by all requests, `burn` counts their results, and
//!   `cache_events` polls the engines' cache events. `exchange` exchanges loads and
//!   served tokens with the other instances through the callbacks in `peers`.

mod acceptor;
mod answer;
mod assign;
mod attempt;
mod auth;
mod body;
mod burn;
mod cache_events;
mod call;
mod claim;
mod complete;
mod context;
mod crash;
mod error;
mod exchange;
mod fields;
mod generation;
mod handler;
mod limiter;
mod log_writer;
mod models;
mod openai;
mod partition;
mod peers;
mod permit;
mod plain;
mod reply;
mod router;
mod scheduler;
mod server;
mod stop;
mod stream;
mod suspect;
mod token_timing;
mod waiting;

pub use self::{
    burn::{AccountResultCounts, BurnRecorder},
    context::{EntryBuilder, EntryContext, UsageEntry},
    error::{Error, OUTCOME_HEADER, Outcome, Result},
    log_writer::{Appended, LogWriter},
    peers::PeerCallbacks,
    reply::REPLAYED_HEADER,
    server::serve,
};
