//! A serving system for a limited fleet of language-model engines and plain
//! services.
//!
//! Identical, diskless entry instances forward callers' requests to targets.
//! Everything that the instances must agree on is decided by the first valid
//! record in the platform's append-only log; every instance folds the log into
//! the same ledger.
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
pub mod target;

pub use settings::Settings;
