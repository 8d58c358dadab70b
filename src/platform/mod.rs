//! Adapter for the users' platform: its store, its API and its HTTP headers.
//!
//! Only this module uses the names in the platform's messages. The module decodes
//! these messages into this crate's types and encodes the messages to the platform. It
//! contains no policy.
//!
//! `store` is the client of the store. `config` decodes the configuration document in
//! it and `workers` the entries that targets register there. `cloud` is the client of
//! the platform's API. `request` contains the HTTP headers of requests and answers, `asked`
//! those of requests whose destination an operator asks for, and `engine` the messages of
//! engine calls.

mod asked;
mod cloud;
mod config;
mod engine;
mod request;
mod store;
mod token_count;
mod workers;

pub use asked::{AskedRequest, asked_parts};
pub use cloud::{CloudClient, CloudError, Holder, TargetCount};
pub use config::read_catalog;
pub use engine::{KvSource, LoadReport, Prefilled, RoleOrder, prefill_release_path};
pub use request::{
    AnswerHead, AttemptHead, CallerHead, HeadError, TargetHints, attempt_headers, caller_headers,
};
pub use request::{
    engine_headers, read_answer_head, read_caller_head, read_target_hints, refusal_headers,
};
pub use store::{
    Appended, CallOutcomes, KeyedRecord, Newest, Position, ReadBatch, StoreClient, StoreEra,
    StoreError, Topic,
};
pub use workers::read_target;

/// Topic to which the operator writes the configuration.
pub const OPERATOR_TOPIC: Topic = Topic("keyed.op");
/// Key of the configuration in [`OPERATOR_TOPIC`].
pub const CONFIGURATION_KEY: &str = "config";
/// Topic of the targets' entries, keyed by target identifier.
pub const TARGET_TOPIC: Topic = Topic("keyed.servers");
