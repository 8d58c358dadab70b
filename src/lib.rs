//! Routes requests to a fleet of targets whose total capacity is limited. A
//! target is a process that answers requests: a language-model engine or an
//! ordinary HTTP service.
//!
//! Several identical instances of this crate run at the same time and keep no
//! state on disk. There are two kinds of instance:
//!
//! - [`entry`] is the HTTP interface of this product. It reads requests, for
//!   example in the OpenAI format, and generates the answers from its engines.
//! - [`gateway`] runs on an operator's platform. It forwards callers' requests
//!   to the platform's targets and does not interpret the request bodies.
//!
//! The platform is the environment that an operator provides: a log or store
//! that all instances share, a list of the running targets, and the machines.
//!
//! Instances agree on shared decisions through the log. If two instances append
//! conflicting records, the record that comes first is valid. Entry instances
//! apply the log's records in order, and so all compute the same [`ledger`].
//!
//! ```
//! use std::path::Path;
//!
//! use lavenderwind::Settings;
//!
//! let error = Settings::parse("name: a", Path::new("entry.yaml")).unwrap_err();
//! assert!(error.to_string().contains("missing field"));
//! ```

pub mod call;
pub mod catalog;
pub mod cli;
pub mod control;
pub mod entry;
pub mod explain;
pub mod gateway;
pub mod infra;
pub mod instance;
pub mod intake;
pub mod ledger;
pub mod load;
pub mod log;
pub mod peer;
pub mod platform;
pub mod policy;
pub mod report;
pub mod roster;
pub mod service;
pub mod settings;
pub mod standin;
pub mod supervisor;
mod sync;
pub mod target;

pub use settings::Settings;
