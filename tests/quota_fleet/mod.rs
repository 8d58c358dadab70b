//! Simulated fleet of instances that enforce a quota.
//!
//! The instances get random requests, and exchange their reports through two relays, which
//! delays them by up to 1.5 s.

use std::collections::VecDeque;

use lavenderwind::policy::{
    share::{FleetLimit, HeardInstances, Limit},
    token_bucket::{MILLI, TokenBucket},
};

pub(crate) const INSTANCES: usize = 82;
/// Instances that are cut off in the tests of a partition.
pub(crate) const CUT_OFF: usize = 29;
pub(crate) const STEP_MS: u64 = 50;
const REPORT_MS: u64 = 100;
/// Interval of the heartbeats of relays in a fleet of this size.
const HEARTBEAT_MS: u64 = 650;
const GROUP: usize = 16;
const GROUPS: usize = INSTANCES.div_ceil(GROUP);
const START_MS: u64 = 100_000;

pub(crate) fn limit(rate_per_s: u64) -> Limit {
    Limit {
        rate_per_s,
        burst: rate_per_s,
        window_ms: 8_000,
        overage: 0.1,
        slack: 190_000,
    }
}

/// Generator of reproducible numbers (xorshift).
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Number of events in a step in which `mean` are expected.
    fn events(&mut self, mean: f64) -> u32 {
        let (floor, mut events) = ((-mean).exp(), 0);
        let mut product = self.next();
        while product > floor {
            events += 1;
            product *= self.next();
        }
        events
    }
}

pub(crate) struct Instance {
    pub(crate) limit: FleetLimit,
    heard: HeardInstances,
    reported_at_ms: u64,
    pub(crate) frozen: bool,
    /// Reports on their way: arrival time, usage and presence.
    arriving: VecDeque<(u64, u64, f64)>,
}

pub(crate) struct Fleet {
    pub(crate) limit: Limit,
    pub(crate) instances: Vec<Instance>,
    random: Random,
    pub(crate) now_ms: u64,
    pub(crate) is_split: bool,
    /// Number of instances, the first ones, that exchange no reports with any other.
    pub(crate) alone: usize,
    /// Usage of each step.
    pub(crate) used: Vec<u64>,
    offered: u64,
    refused: u64,
    /// Tokens refused by a single bucket that sees all requests.
    pub(crate) refused_by_one: u64,
    one: TokenBucket,
}

impl Fleet {
    pub(crate) fn new(limit: Limit) -> Self {
        let mut fleet = Self {
            limit,
            instances: Vec::new(),
            random: Random(0x9E37_79B9_7F4A_7C15),
            now_ms: START_MS,
            is_split: false,
            alone: 0,
            used: Vec::new(),
            offered: 0,
            refused: 0,
            refused_by_one: 0,
            one: TokenBucket::default(),
        };
        fleet
            .one
            .set_burst(limit.burst, limit.rate_per_s * MILLI, START_MS);
        for _ in 0..INSTANCES {
            let instance = fleet.started();
            fleet.instances.push(instance);
        }
        fleet
    }

    fn started(&self) -> Instance {
        let mut heard = HeardInstances::new(INSTANCES as u32, HEARTBEAT_MS, self.now_ms);
        heard.set_known(INSTANCES as u32, HEARTBEAT_MS, self.now_ms);
        Instance {
            limit: FleetLimit::unknown(self.limit, self.now_ms),
            heard,
            reported_at_ms: self.now_ms,
            frozen: false,
            arriving: VecDeque::new(),
        }
    }

    pub(crate) fn restart(&mut self, index: usize) {
        self.instances[index] = self.started();
    }

    /// Runs for `seconds`; instance `i` gets `load(i)` units a second.
    pub(crate) fn run<F>(&mut self, seconds: u64, load: F)
    where
        F: Fn(usize) -> f64,
    {
        (self.offered, self.refused, self.refused_by_one) = (0, 0, 0);
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.now_ms += STEP_MS;
            self.used.push(0);
            if self.now_ms.is_multiple_of(REPORT_MS) {
                self.report();
            }
            for index in 0..self.instances.len() {
                if !self.instances[index].frozen {
                    self.step(index, load(index));
                }
            }
        }
    }

    fn step(&mut self, index: usize, load_per_s: f64) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[index];
        let mut presence_ms = 0.0;
        let mut amount = 0;
        while let Some(arrival) = instance.arriving.front().copied() {
            if arrival.0 > now_ms {
                break;
            }
            amount += arrival.1;
            presence_ms += arrival.2;
            instance.arriving.pop_front();
        }
        instance.heard.add(presence_ms, now_ms);
        let reach = instance.heard.reach(now_ms);
        if amount > 0 {
            instance.limit.hear(amount, reach, now_ms);
        }
        let requests = load_per_s * STEP_MS as f64 / 1_000.0 / 11_250.0;
        for _ in 0..self.random.events(requests) {
            let cost = 5_500 + (self.random.next() * 11_500.0) as u64;
            self.offered += cost;
            self.one.refill(now_ms);
            match self.one.wait_ms(cost) {
                0 => self.one.spend(cost as i64),
                _ => self.refused_by_one += cost,
            }
            match instance.limit.charge(cost, reach, now_ms) {
                Ok(()) => *self.used.last_mut().unwrap() += cost,
                Err(_) => self.refused += cost,
            }
        }
    }

    /// Sends the reports of all instances. Two relays pass on each report with their next
    /// heartbeat.
    fn report(&mut self) {
        let now_ms = self.now_ms;
        let mut reports = Vec::new();
        for instance in &mut self.instances {
            if instance.frozen {
                reports.push((0, 0.0));
                continue;
            }
            let presence_ms = (now_ms - instance.reported_at_ms).min(500) as f64;
            instance.reported_at_ms = now_ms;
            reports.push((
                instance
                    .limit
                    .take_report(instance.heard.reach(now_ms), now_ms),
                presence_ms,
            ));
        }
        // Sums by group and side of the partition.
        let mut sums = [[(0u64, 0.0); 2]; GROUPS];
        for (from, &(amount, presence_ms)) in reports.iter().enumerate() {
            if from < self.alone {
                continue;
            }
            let sum = &mut sums[from / GROUP][usize::from(from < CUT_OFF)];
            sum.0 += amount;
            sum.1 += presence_ms;
        }
        for (to, own) in reports.iter().enumerate() {
            if to < self.alone {
                continue;
            }
            let side = usize::from(to < CUT_OFF);
            let mut arrivals = Vec::new();
            for (group, sums) in sums.iter().enumerate() {
                let (mut amount, mut presence_ms) = sums[side];
                if !self.is_split {
                    amount += sums[1 - side].0;
                    presence_ms += sums[1 - side].1;
                }
                if group == to / GROUP {
                    amount -= own.0;
                    presence_ms -= own.1;
                }
                arrivals.push((arrival_ms(now_ms, group, to / GROUP), amount, presence_ms));
            }
            let arriving = &mut self.instances[to].arriving;
            arriving.extend(arrivals);
            arriving.make_contiguous().sort_by_key(|arrival| arrival.0);
        }
    }

    /// Returns the largest sum in a sliding window, divided by the permitted one.
    pub(crate) fn worst_window(&self) -> f64 {
        let steps = (self.limit.window_ms / STEP_MS) as usize;
        let mut worst = 0;
        for window in self.used.windows(steps) {
            worst = worst.max(window.iter().sum());
        }
        let base = (self.limit.rate_per_s * self.limit.window_ms / 1_000 + self.limit.burst) as f64;
        worst as f64 / (base * (1.0 + self.limit.overage) + self.limit.slack as f64)
    }

    pub(crate) fn refused_fraction(&self) -> f64 {
        self.refused as f64 / self.offered.max(1) as f64
    }
}

fn arrival_ms(sent_ms: u64, from: usize, to: usize) -> u64 {
    let phase_ms = |group: usize| group as u64 * 110;
    let next = |at_ms: u64, group| {
        let since_ms = (at_ms + HEARTBEAT_MS - phase_ms(group) % HEARTBEAT_MS) % HEARTBEAT_MS;
        at_ms + HEARTBEAT_MS - since_ms
    };
    if from == to {
        return next(sent_ms + 50, to);
    }
    next(next(sent_ms + 50, from) + 50, to) + 50
}

/// Load of an instance if a third of the instances get five times as much as the others.
pub(crate) fn uneven(total: f64) -> impl Fn(usize) -> f64 {
    move |index| {
        let heavy = INSTANCES.div_ceil(3) as f64;
        let unit = total / (heavy * 5.0 + INSTANCES as f64 - heavy);
        if index % 3 == 0 { 5.0 * unit } else { unit }
    }
}

/// Load of an instance if all instances get the same.
pub(crate) fn even(total: f64) -> impl Fn(usize) -> f64 {
    move |_| total / INSTANCES as f64
}
