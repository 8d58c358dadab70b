//! Speeds that an instance reports to others: for each target, the number of new answers and
//! their mean slowness.
//!
//! Reports are numbers that may be added up on their way, so that a relay forwards one number
//! for all its members. A number contains the count of answers in its upper bits and the sum
//! of their slownesses, as logarithms, in its lower bits.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{MAX_SLOWNESS, MIN_SLOWNESS};

/// Maximum number of targets whose speeds are reported. With more targets each gets so few
/// answers that reports of them are not worth their bytes.
pub const MAX_REPORTED_TARGETS: usize = 8;

/// Number of lower bits. They hold the sum of 128 answers. A larger number would displace the
/// tokens of accounts in the heartbeats, which send the largest amounts first.
const SUM_BITS: u32 = 9;

/// Units by which the logarithm of [`MAX_SLOWNESS`] is divided. What is lost by rounding is
/// added to the next report.
const LOG_UNITS: f64 = 2.0;

/// Maximum number of answers that one instance reports at once for a target.
pub const MAX_REPORTED_ANSWERS: u32 = 96;

/// Several answers of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedReport {
    /// Number of answers.
    pub answers: u32,
    /// Mean time of the answers, as a multiple of the predicted time.
    pub slowness: f64,
}

impl SpeedReport {
    /// Decodes a sum of reports; `None` if it contains no answers.
    #[must_use]
    pub fn decode(amount: u64) -> Option<Self> {
        let answers = u32::try_from(amount >> SUM_BITS).unwrap_or(u32::MAX);
        if answers == 0 {
            return None;
        }
        let sum = (amount & ((1 << SUM_BITS) - 1)) as f64;
        let mean_units = sum / f64::from(answers) - LOG_UNITS;
        let slowness = MAX_SLOWNESS.powf(mean_units / LOG_UNITS);
        Some(Self {
            answers,
            slowness: slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS),
        })
    }
}

/// Answers of one target that have not been reported yet.
#[derive(Clone, Copy, Debug, Default)]
struct Unreported {
    answers: u32,
    /// Sum of the answers' slownesses, as logarithms, and what earlier rounding has lost.
    units: f64,
}

impl Unreported {
    /// Returns the answers as one number, and keeps what rounding loses.
    fn take(&mut self) -> u64 {
        let units = self.units.round().max(0.0);
        self.units -= units;
        (u64::from(std::mem::take(&mut self.answers)) << SUM_BITS) + units as u64
    }
}

/// Answers that have not been reported yet.
#[derive(Debug, Default)]
pub struct UnreportedAnswers {
    targets: IndexMap<Arc<str>, Unreported>,
}

impl UnreportedAnswers {
    /// Adds an answer that took `slowness` times as long as predicted. It is left out if
    /// reports of too many answers or targets are pending.
    pub fn add(&mut self, target: &Arc<str>, slowness: f64) {
        let is_full = self.targets.len() >= MAX_REPORTED_TARGETS;
        if slowness.is_nan() || (is_full && !self.targets.contains_key(target)) {
            return;
        }
        let unreported = self.targets.entry(target.clone()).or_default();
        if unreported.answers >= MAX_REPORTED_ANSWERS {
            return;
        }
        let slowness = slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        unreported.answers += 1;
        unreported.units += LOG_UNITS + slowness.log(MAX_SLOWNESS) * LOG_UNITS;
    }

    /// Returns the encoded reports, by target name. Their answers count as reported.
    #[must_use]
    pub fn take(&mut self) -> Vec<(Arc<str>, u64)> {
        let mut reports = Vec::new();
        for (target, unreported) in &mut self.targets {
            if unreported.answers > 0 {
                reports.push((target.clone(), unreported.take()));
            }
        }
        reports
    }

    /// Removes the targets for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.targets.retain(|target, _| keep(target));
    }
}
