//! HTTP interface for callers.
//!
//! A request passes the API key check and the limits of its account, waits in a
//! queue that is fair between accounts, and is then routed and sent to a target.
//! A non-repeatable request with an idempotency key is first claimed in the log,
//! so that it runs at most once. The answer is returned as one body or as a stream
//! of events. Every error response states in the [`OUTCOME_HEADER`] whether the
//! request ran.

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
