//! Duties: fleet control, usage reporting and checkpoints.
//!
//! A duty is a task that at most one instance, its holder, performs at a time. A
//! lease enforces this limit. Claims, renewals and resignations are records in
//! the log, and every instance applies them to its ledger, a replica of the
//! state that the log defines. The offset of the accepted claim is the holder's
//! epoch, which orders carry as their fencing token.
//!
//! [`DutyRules`] decides when an instance claims, renews or resigns a duty.
//! [`Authority`] checks whether this instance currently holds a duty under a
//! valid lease. [`OrderSender`] sends orders to targets such that no order takes
//! effect after the authority is lost.
//!
//! The modules for each task:
//!
//! - Holding a duty: `duty` decides on claims, renewals and resignations from the
//!   clocks in `lease` and the ranking of the instances in `preference`. `runner`
//!   appends the resulting records. `authority` checks the lease.
//! - Orders: `orders` sends them. `intent_resolver` resolves the open intents, also
//!   those of former holders, as `intent_action` decides.
//! - Usage: `usage` records this instance's usage and appends it to the log in
//!   slices, which `slices` buffers. `windows` closes usage windows and reports them.
//! - Tasks of the duties: `fleet` orders targets, model loads and role changes,
//!   `checkpoint` publishes checkpoints, and `spawn` starts all tasks.

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
    orders::{ObservedState, OrderOutcome, OrderSender, SentOrder, WriteOutcome},
    preference::{Member, rank},
    runner::DutyRunner,
    slices::SliceBuffer,
    spawn::{ControlInputs, spawn},
    usage::{UsageFlusher, UsageRecorder},
    windows::{CloseInput, WindowCloser, may_close, report_for_order, window_report},
};
