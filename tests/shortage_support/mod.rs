//! A queue model of engines and callers for the tests of admission control.

#![allow(dead_code, unreachable_pub)]

use std::{cmp::Reverse, collections::BinaryHeap};

use lavenderwind::policy::shortage::{Decision, Offer, Request};

/// Kind of requests that are sent at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub priority: u8,
    pub objective_ms: f64,
    pub deadline_ms: f64,
    pub account: u64,
    pub work_ms: f64,
    pub per_s: f64,
}

impl Kind {
    /// Returns a kind of one of the three priorities of the first deployment.
    pub fn of(priority: u8, per_s: f64) -> Self {
        let index = usize::from(priority);
        Self {
            priority,
            objective_ms: [800.0, 1_500.0, 3_000.0][index],
            deadline_ms: [6_000.0, 4_000.0, 8_000.0][index],
            account: 1 + u64::from(priority),
            work_ms: 100.0,
            per_s,
        }
    }

    pub fn account(self, account: u64) -> Self {
        Self { account, ..self }
    }

    pub fn work_ms(self, work_ms: f64) -> Self {
        Self { work_ms, ..self }
    }

    /// Returns the number of engines that requests of the kind keep busy.
    pub fn engines(self) -> f64 {
        self.per_s * self.work_ms / 1_000.0
    }
}

/// Load, and the engines that take it.
pub struct Load<'a> {
    pub kinds: &'a [Kind],
    pub duration_ms: u64,
    /// Number of engines at a time.
    pub engines: &'a dyn Fn(u64) -> usize,
    /// Factor of the rate of a kind, given by its index, at a time.
    pub demand: &'a dyn Fn(usize, u64) -> f64,
    /// Largest error of the predicted times, as a fraction of them.
    pub error: f64,
}

impl<'a> Load<'a> {
    /// Returns a constant load of 20 s.
    pub fn constant(kinds: &'a [Kind], engines: &'a dyn Fn(u64) -> usize) -> Self {
        Self {
            kinds,
            duration_ms: 20_000,
            engines,
            demand: &|_, _| 1.0,
            error: 0.0,
        }
    }

    /// Returns the work that the engines can do as it comes, in milliseconds of one engine.
    pub fn possible_ms(&self) -> f64 {
        let mut possible_ms = 0.0;
        for now_ms in 0..self.duration_ms {
            let mut demand = 0.0;
            for (index, kind) in self.kinds.iter().enumerate() {
                demand += kind.engines() * (self.demand)(index, now_ms);
            }
            possible_ms += demand.min((self.engines)(now_ms) as f64);
        }
        possible_ms
    }
}

/// What became of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub kind: usize,
    pub sent_ms: u64,
    /// Time from the first attempt to the first event; `None` if all attempts were refused.
    pub served_after_ms: Option<f64>,
    /// Whether the first attempt was refused.
    pub is_retry: bool,
    pub refused: u32,
}

impl Outcome {
    pub fn is_in_time(&self, kinds: &[Kind]) -> bool {
        let objective_ms = kinds[self.kind].objective_ms;
        self.served_after_ms
            .is_some_and(|after_ms| after_ms <= objective_ms)
    }
}

/// A caller's next attempt; the fields are in the order of comparison.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Attempt {
    at_ms: u64,
    number: u64,
    sent_ms: u64,
    kind: usize,
    is_retry: bool,
}

/// Outcomes of a load, and how many callers came back in each 100 ms.
#[derive(Debug, Default)]
pub struct Played {
    pub outcomes: Vec<Outcome>,
    pub returns: Vec<u32>,
    /// Work that the engines were given, in milliseconds of one engine.
    pub admitted_ms: f64,
}

impl Played {
    /// Returns the fraction of callers with a property among those of some kinds that sent
    /// their first attempt in a period.
    pub fn part<F>(&self, kinds: &[usize], period: std::ops::Range<u64>, has: F) -> f64
    where
        F: Fn(&Outcome) -> bool,
    {
        let (mut count, mut having) = (0.0, 0.0);
        for outcome in &self.outcomes {
            if !kinds.contains(&outcome.kind) || !period.contains(&outcome.sent_ms) {
                continue;
            }
            count += 1.0;
            having += f64::from(u8::from(has(outcome)));
        }
        having / f64::max(count, 1.0)
    }

    /// Returns the fraction of callers that are served within their objective.
    pub fn in_time(&self, kinds: &[Kind], which: &[usize], period: std::ops::Range<u64>) -> f64 {
        self.part(which, period, |outcome| outcome.is_in_time(kinds))
    }

    /// Returns the fraction of callers that are served at all.
    pub fn served(&self, which: &[usize], period: std::ops::Range<u64>) -> f64 {
        self.part(which, period, |outcome| outcome.served_after_ms.is_some())
    }
}

/// Sends a load to engines with one first-in, first-out queue each.
///
/// Each request goes to the engine with the shortest queue. The queues of engines that
/// are lost move to the others. A refused caller comes back once, after the time that it
/// was told, but at most a third of its remaining time.
pub fn play<F>(load: &Load<'_>, mut decide: F) -> Played
where
    F: FnMut(&Request, &Offer, u64) -> Decision,
{
    let mut attempts = first_attempts(load);
    let mut backlogs_ms: Vec<f64> = Vec::new();
    let mut played = Played::default();
    let mut last_ms = 0;
    let mut errors = Errors(1);
    while let Some(Reverse(attempt)) = attempts.pop() {
        let now_ms = attempt.at_ms;
        resize(&mut backlogs_ms, (load.engines)(now_ms));
        for backlog_ms in &mut backlogs_ms {
            *backlog_ms = (*backlog_ms - (now_ms - last_ms) as f64).max(0.0);
        }
        last_ms = now_ms;
        let kind = load.kinds[attempt.kind];
        let best = (0..backlogs_ms.len())
            .min_by(|a, b| backlogs_ms[*a].total_cmp(&backlogs_ms[*b]))
            .unwrap();
        let elapsed_ms = (now_ms - attempt.sent_ms) as f64;
        let request = Request {
            priority: kind.priority,
            objective_ms: kind.objective_ms,
            left_ms: kind.deadline_ms - elapsed_ms,
            account: kind.account,
            work_ms: kind.work_ms,
        };
        let wait_ms = backlogs_ms[best];
        let mut predict = |time_ms: f64| time_ms * (1.0 + load.error * errors.next_error());
        let offer = Offer {
            wait_ms: predict(wait_ms),
            mean_wait_ms: predict(wait_ms),
            own_ms: predict(kind.work_ms),
            capacity: backlogs_ms.len() as f64,
        };
        if attempt.is_retry {
            let tenth = (now_ms / 100) as usize;
            played
                .returns
                .resize(played.returns.len().max(tenth + 1), 0);
            played.returns[tenth] += 1;
        }
        let mut outcome = Outcome {
            kind: attempt.kind,
            sent_ms: attempt.sent_ms,
            served_after_ms: None,
            is_retry: attempt.is_retry,
            refused: u32::from(attempt.is_retry),
        };
        match decide(&request, &offer, now_ms) {
            Decision::Admit => {
                outcome.served_after_ms = Some(elapsed_ms + wait_ms + kind.work_ms);
                backlogs_ms[best] += kind.work_ms;
                played.admitted_ms += kind.work_ms;
            }
            Decision::Refuse { retry_after_ms, .. } if !attempt.is_retry => {
                let longest_ms = (request.left_ms / 3.0) as u64;
                attempts.push(Reverse(Attempt {
                    at_ms: now_ms + retry_after_ms.min(longest_ms),
                    is_retry: true,
                    ..attempt
                }));
                continue;
            }
            Decision::Refuse { .. } => outcome.refused = 2,
        }
        played.outcomes.push(outcome);
    }
    played
}

/// Errors of predictions between -1 and 1, by a linear congruential generator.
struct Errors(u64);

impl Errors {
    fn next_error(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = self.0.wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 52) as f64 - 1.0
    }
}

fn first_attempts(load: &Load<'_>) -> BinaryHeap<Reverse<Attempt>> {
    let mut attempts = BinaryHeap::new();
    let mut number = 0;
    for (kind, sent) in load.kinds.iter().enumerate() {
        // Fraction of a request that has accrued, different for each kind at the start.
        let mut due = 0.37 * kind as f64 % 1.0;
        for now_ms in 0..load.duration_ms {
            due += sent.per_s / 1_000.0 * (load.demand)(kind, now_ms);
            while due >= 1.0 {
                due -= 1.0;
                number += 1;
                attempts.push(Reverse(Attempt {
                    at_ms: now_ms,
                    number,
                    sent_ms: now_ms,
                    kind,
                    is_retry: false,
                }));
            }
        }
    }
    attempts
}

fn resize(backlogs_ms: &mut Vec<f64>, engines: usize) {
    while backlogs_ms.len() > engines {
        let lost_ms = backlogs_ms.pop().unwrap_or_default();
        let share_ms = lost_ms / backlogs_ms.len().max(1) as f64;
        for backlog_ms in backlogs_ms.iter_mut() {
            *backlog_ms += share_ms;
        }
    }
    backlogs_ms.resize(engines, 0.0);
}
