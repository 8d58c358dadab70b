//! Duties: fleet control, usage reporting and checkpoints.
//!
//! Instances share three duties. [`DutyRules`] decides who claims, renews and
//! resigns one; [`Authority`] says at any moment whether this instance may act
//! under it; [`OrderSender`] sends orders so that none takes effect after the
//! authority is lost.

mod authority;
mod clock;
mod duty;
mod error;
mod lease;
mod orders;
mod preference;
mod runner;
mod settlement;

pub use self::{
    authority::{Authority, OrderPermit},
    clock::Clock,
    duty::{DutyRules, DutySituation, DutyStep, Identity},
    error::{Error, Result},
    lease::{ChallengeClock, LeaseClock, LeaseTiming},
    orders::{Observation, OrderOutcome, OrderSender, SentOrder, WriteOutcome},
    preference::{Member, rank},
    runner::DutyRunner,
    settlement::{AbsenceClock, IntentSituation, Settlement, is_direct, settlement},
};
