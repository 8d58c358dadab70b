//! The ledger: a pure fold over the records of the log.
