//! Targets: clients for engines and plain services, and a table of the targets'
//! health and load.
//!
//! An engine runs language models; a plain service is any other HTTP service.
//! [`protocol`] defines the bodies of the engines' HTTP interface. The simulated
//! engines in [`standin`](crate::standin) use the same definitions.
//!
//! `engine` and `plain` are the clients for the two types of targets, both based on
//! `http`. `upload` tells how much of a request was sent. `stream` validates the events of one attempt, which `sse` parses.

mod engine;
mod error;
mod http;
mod plain;
pub mod protocol;
pub(crate) mod sse;
mod stream;
pub mod table;
pub mod tokens;
mod upload;

pub(crate) use self::http::is_final_status;
pub use self::{
    engine::EngineClient,
    error::{Error, Result},
    http::http_client,
    plain::{IDEMPOTENCY_KEY, PlainClient, PlainRequest, PlainResponse, REQUEST_ID},
    stream::EventStream,
    table::{TargetTable, TargetView},
};
