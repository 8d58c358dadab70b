//! Callers' HTTP interface.
//!
//! A request passes the key check, admission by a fair queue, for a
//! non-repeatable request the claim on its single execution, routing and
//! dispatch; its answer is relayed whole or as a stream. Every refusal and
//! failure says in the [`OUTCOME_HEADER`] what became of the request.

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
mod pace;
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
mod waiting;

pub use self::{
    burn::{BurnCounts, BurnRecorder},
    context::{EntryBuilder, EntryContext, UsageEntry},
    error::{Error, OUTCOME_HEADER, Outcome, Result},
    log_writer::{Appended, LogWriter},
    peers::PeerCallbacks,
    reply::REPLAYED_HEADER,
    server::serve,
};
