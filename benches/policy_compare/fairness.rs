//! Fairness while one account sends ten times its share.
//!
//! Eight accounts of equal weight send requests to eight instances that share
//! 64 slots. One account sends ten times its fair share, and the other seven send
//! nine tenths of theirs. One result is the served fraction of the requests of the
//! worst-served of the seven; the other is the fraction of slots that were idle
//! while requests were queued.

use std::{collections::VecDeque, sync::Arc};

use lavenderwind::policy::{
    baseline::FifoQueue,
    queue::{FairQueue, QueueRequest, QueueSettings},
    share::{AccountDemand, SharedQuota, fair_demand},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    fleet::{exchange, instance_name},
    print_row,
    routing::uniform,
};

const INSTANCES: usize = 8;
const ACCOUNTS: usize = 8;
const SLOTS: u64 = 64;
const FLOODING_ACCOUNT: usize = 0;
const RUN_MS: u64 = 60_000;
/// Mean time for which a request occupies a slot.
const SERVICE_MS: f64 = 200.0;
/// Interval between exchanges of served tokens and shares.
const EXCHANGE_MS: u64 = 100;
/// Time until the tokens served by an instance are known to its peers.
const EXCHANGE_DELAY_MS: u64 = 50;
/// Time in the queue after which a request is no longer served.
const MAX_WAIT_MS: u64 = 1_000;
/// Cost of each request, in tokens.
const COST_TOKENS: u64 = 500;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// First-in, first-out queue.
    FirstCome,
    /// Fair queue that counts only the tokens served by its own instance.
    LocalFair,
    /// Fair queue that also counts the tokens served by peers.
    WithPeers,
    /// As `WithPeers`; in addition, the slots are divided by fair demand.
    WithFairShares,
}

/// Which instances receive the requests of each account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EntryPattern {
    /// One instance for the flooding account, all for the others.
    FloodByOne,
    /// All instances for all accounts.
    FloodByAll,
    /// All instances for the flooding account, one for each other account.
    OthersByOne,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    account: usize,
    arrived_ms: u64,
}

struct Instance {
    fair_queue: FairQueue<Request>,
    fifo_queue: FifoQueue<Request>,
    /// Share of the slots.
    quota: SharedQuota,
    /// Times at which the running requests end, in ascending order.
    end_times_ms: VecDeque<u64>,
    /// Number of queued requests of each account.
    queued: [u64; ACCOUNTS],
    /// Number of requests of each account that were served since the last exchange.
    served: [u64; ACCOUNTS],
}

impl Instance {
    fn new(index: usize, count: usize, slots: u64) -> Self {
        let members: Vec<Arc<str>> = (0..count).map(instance_name).collect();
        let mut quota = SharedQuota::new(instance_name(index), slots);
        quota.set_members(&members);
        Self {
            fair_queue: FairQueue::new(QueueSettings {
                max_requests: 1 << 20,
                max_account_requests: 1 << 20,
                initial_tokens_per_s: SLOTS * COST_TOKENS * 5 / INSTANCES as u64,
                ..QueueSettings::default()
            }),
            fifo_queue: FifoQueue::default(),
            quota,
            end_times_ms: VecDeque::new(),
            queued: [0; ACCOUNTS],
            served: [0; ACCOUNTS],
        }
    }

    fn push(&mut self, policy: Policy, request: Request) {
        self.queued[request.account] += 1;
        if policy == Policy::FirstCome {
            self.fifo_queue.push(request);
            return;
        }
        let queued = QueueRequest::new(account(request.account), request)
            .cost_tokens(COST_TOKENS)
            .deadline_ms(request.arrived_ms + MAX_WAIT_MS);
        if self.fair_queue.push(queued, request.arrived_ms).is_err() {
            self.queued[request.account] -= 1;
        }
    }

    /// Removes the next request that can still be served in time.
    fn pop(&mut self, policy: Policy, now_ms: u64) -> Option<Request> {
        while let Some(expired) = self.fair_queue.expire(now_ms) {
            self.queued[expired.item.account] -= 1;
        }
        loop {
            let request = match policy {
                Policy::FirstCome => self.fifo_queue.pop()?,
                _ => self.fair_queue.pop(now_ms)?.item,
            };
            self.queued[request.account] -= 1;
            if now_ms <= request.arrived_ms + MAX_WAIT_MS {
                return Some(request);
            }
        }
    }
}

fn account(index: usize) -> Arc<str> {
    format!("shop/{index}").into()
}

/// Result of one run.
#[derive(Clone, Copy, Debug)]
struct RunResult {
    /// Smallest fraction of its requests that any account except the flooding one
    /// was served in time.
    worst_served: f64,
    /// Fraction of the slot time that was idle while a request was queued.
    idle: f64,
}

fn run(policy: Policy, entry: EntryPattern, seed: u64) -> RunResult {
    let mut arrivals = SmallRng::seed_from_u64(seed);
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut instances: Vec<Instance> = (0..INSTANCES)
        .map(|index| Instance::new(index, INSTANCES, SLOTS))
        .collect();
    let share_per_ms = SLOTS as f64 / SERVICE_MS / ACCOUNTS as f64;
    let mut next_ms = [0.0; ACCOUNTS];
    let (mut offered, mut served) = ([0_u32; ACCOUNTS], [0_u32; ACCOUNTS]);
    let mut frames = VecDeque::new();
    let mut idle = 0;
    for now_ms in 0..RUN_MS {
        for index in 0..ACCOUNTS {
            while next_ms[index] <= now_ms as f64 {
                let load = if index == FLOODING_ACCOUNT { 10.0 } else { 0.9 };
                next_ms[index] += -uniform(&mut arrivals).ln() / (share_per_ms * load);
                let random_instance = arrivals.next_u64() as usize % INSTANCES;
                let receiver = match entry {
                    EntryPattern::FloodByOne if index == FLOODING_ACCOUNT => 0,
                    EntryPattern::OthersByOne if index != FLOODING_ACCOUNT => index % INSTANCES,
                    _ => random_instance,
                };
                offered[index] += 1;
                instances[receiver].push(
                    policy,
                    Request {
                        account: index,
                        arrived_ms: now_ms,
                    },
                );
            }
        }
        if now_ms.is_multiple_of(EXCHANGE_MS) {
            let served: Vec<[u64; ACCOUNTS]> = instances
                .iter_mut()
                .map(|instance| std::mem::take(&mut instance.served))
                .collect();
            frames.push_back((now_ms, served));
            exchange_shares(policy, &mut instances);
        }
        while let Some((_, frame)) =
            frames.pop_front_if(|(at_ms, _)| *at_ms + EXCHANGE_DELAY_MS <= now_ms)
        {
            if !matches!(policy, Policy::WithPeers | Policy::WithFairShares) {
                continue;
            }
            for (index, instance) in instances.iter_mut().enumerate() {
                let mut peers = [0; ACCOUNTS];
                for (peer, served) in frame.iter().enumerate() {
                    if peer == index {
                        continue;
                    }
                    for (sum, served) in peers.iter_mut().zip(served) {
                        *sum += served * COST_TOKENS;
                    }
                }
                for (number, tokens) in peers.into_iter().enumerate() {
                    instance
                        .fair_queue
                        .charge_for_peers(&account(number), 1, tokens);
                }
            }
        }
        for instance in &mut instances {
            while instance
                .end_times_ms
                .pop_front_if(|end_ms| *end_ms <= now_ms)
                .is_some()
            {}
            while (instance.end_times_ms.len() as u64) < instance.quota.share() {
                let Some(request) = instance.pop(policy, now_ms) else {
                    break;
                };
                let end_ms = now_ms + (SERVICE_MS * (0.5 + uniform(&mut rng))) as u64;
                let position = instance
                    .end_times_ms
                    .partition_point(|other| *other <= end_ms);
                instance.end_times_ms.insert(position, end_ms);
                instance.served[request.account] += 1;
                served[request.account] += 1;
            }
        }
        idle += idle_slots(&instances);
    }
    let mut worst_served = 1.0_f64;
    for index in 0..ACCOUNTS {
        if index != FLOODING_ACCOUNT {
            worst_served = worst_served.min(f64::from(served[index]) / f64::from(offered[index]));
        }
    }
    RunResult {
        worst_served,
        idle: idle as f64 / (SLOTS * RUN_MS) as f64,
    }
}

/// Returns the number of idle slots that queued requests could use.
fn idle_slots(instances: &[Instance]) -> u64 {
    let mut used = 0;
    let mut queued = 0;
    for instance in instances {
        used += instance.end_times_ms.len() as u64;
        queued += instance.queued.iter().sum::<u64>();
    }
    SLOTS.saturating_sub(used).min(queued)
}

/// Sets the demand of each instance for slots and exchanges the quota reports.
fn exchange_shares(policy: Policy, instances: &mut [Instance]) {
    let mut all = [0; ACCOUNTS];
    for instance in instances.iter() {
        for (all, queued) in all.iter_mut().zip(instance.queued) {
            *all += queued;
        }
    }
    let mut quotas = Vec::new();
    for instance in instances.iter_mut() {
        let in_use = instance.end_times_ms.len() as u64;
        let queued: u64 = instance.queued.iter().sum();
        let demand = match policy {
            Policy::WithFairShares => {
                let mut accounts = Vec::new();
                for (own, all) in instance.queued.into_iter().zip(all) {
                    accounts.push(AccountDemand {
                        weight: 1,
                        own,
                        all_instances: all,
                    });
                }
                fair_demand(SLOTS, &accounts)
            }
            _ => in_use + queued,
        };
        instance.quota.set_demand(demand, in_use);
        quotas.push(&mut instance.quota);
    }
    exchange(&mut quotas);
}

/// Prints the results of each policy.
pub(crate) fn compare() {
    let policies = [
        ("first come, first served", Policy::FirstCome),
        ("fair queue, own service", Policy::LocalFair),
        ("fair queue, peers' service", Policy::WithPeers),
        ("fair queue, fair shares too", Policy::WithFairShares),
    ];
    let entries = [
        ("flood to one instance", EntryPattern::FloodByOne),
        ("all accounts to all instances", EntryPattern::FloodByAll),
        ("others to one instance each", EntryPattern::OthersByOne),
    ];
    for (title, entry) in entries {
        println!("fairness: worst-served account, {title}");
        for (name, policy) in policies {
            print_row(name, "of its requests", |seed| {
                run(policy, entry, seed).worst_served
            });
            print_row("", "of the slots idle", |seed| {
                run(policy, entry, seed).idle
            });
        }
    }
}
