//! Targets: clients for engines and plain services, their health and load.
//!
//! [`protocol`] defines the HTTP bodies, which the stand-in engines also use.

mod engine;
mod error;
mod http;
mod plain;
pub mod protocol;
pub(crate) mod sse;
mod stream;
pub mod table;
pub mod tokens;

pub use self::{
    engine::EngineClient,
    error::{Error, Result},
    http::http_client,
    plain::{IDEMPOTENCY_KEY, PlainClient, PlainRequest, PlainResponse, REQUEST_ID},
    stream::EventStream,
    table::{TargetTable, TargetView},
};
