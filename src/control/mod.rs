//! Duties: fleet control, usage reporting and checkpoints.
//!
//! Each duty has at most one holder among the instances, protected by a lease.
//! [`DutyRules`] decides when an instance claims, renews or resigns a duty,
//! [`Authority`] checks whether this instance may act under it, and
//! [`OrderSender`] sends orders such that none takes effect after the authority
//! is lost.

mod authority;
mod checkpoint;
mod clock;
mod duty;
mod error;
pub mod fleet;
mod intent_action;
mod intent_resolver;
mod lease;
mod orders;
mod preference;
mod runner;
mod slices;
mod spawn;
mod usage;
mod windows;

pub use self::{
    authority::{Authority, OrderPermit},
    checkpoint::{CheckpointRunner, ExpiryClock},
    clock::Clock,
    duty::{DutyInput, DutyRules, DutyStep, Identity},
    error::{Error, Result},
    fleet::{FleetClient, FleetPlanner, FleetRunner},
    intent_action::{AbsenceTracker, IntentAction, IntentInput, intent_action},
    intent_resolver::IntentResolver,
    lease::{LeaseClock, LeaseTiming, TakeoverClock},
    orders::{Observation, OrderOutcome, OrderSender, SentOrder, WriteOutcome},
    preference::{Member, rank},
    runner::DutyRunner,
    slices::SliceBuffer,
    spawn::{ControlInputs, spawn},
    usage::{UsageFlusher, UsageRecorder},
    windows::{CloseInput, WindowCloser, may_close, report_for_order, window_report},
};
