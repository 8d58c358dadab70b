//! Account limits and quotas shared between instances.

use std::{collections::VecDeque, sync::Arc};

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use indexmap::IndexMap;
use lavenderwind::policy::{
    limits::{AccountLimiter, AccountLimits, LimitError},
    share::{
        AccountDemand, Claimant, KnownUsage, ShareReport, SharedQuota, divide, estimate_share,
        fair_demand,
    },
};

const SEEDS: [u64; 8] = [
    0x5eed_0021_0000_4000,
    0x5eed_0022_0000_4000,
    0x5eed_0023_0000_4000,
    0x5eed_0024_0000_4000,
    0x5eed_0025_0000_4000,
    0x5eed_0026_0000_4000,
    0x5eed_0027_0000_4000,
    0x5eed_0028_0000_4000,
];

fn check_seeds<F>(mut property: F)
where
    F: FnMut(&mut Unstructured<'_>) -> Result<()>,
{
    for seed in SEEDS {
        arbtest(&mut property).seed(seed).run();
    }
}

/// Instances that exchange reports over links with arbitrary delays.
struct Fleet {
    /// Quota of each live instance, by name.
    quotas: IndexMap<Arc<str>, SharedQuota>,
    /// Published lists of live instances, in order of publication.
    lists: Vec<Vec<Arc<str>>>,
    /// Index of the list that each instance has read last.
    read_lists: IndexMap<Arc<str>, usize>,
    /// Reports that are not delivered yet, by sender and receiver.
    links: IndexMap<(Arc<str>, Arc<str>), VecDeque<ShareReport>>,
    total: u64,
    /// Number of instances started so far.
    started: usize,
}

impl Fleet {
    fn new(count: usize, total: u64) -> Self {
        let mut fleet = Self {
            quotas: IndexMap::new(),
            lists: Vec::new(),
            read_lists: IndexMap::new(),
            links: IndexMap::new(),
            total,
            started: 0,
        };
        for _ in 0..count {
            fleet.join();
        }
        fleet.exchange_until_settled();
        fleet
    }

    fn join(&mut self) {
        let name: Arc<str> = format!("entry-{}/1", self.started).into();
        self.started += 1;
        self.quotas.insert(
            Arc::clone(&name),
            SharedQuota::new(Arc::clone(&name), self.total),
        );
        self.lists.push(self.quotas.keys().cloned().collect());
        self.read_lists
            .insert(Arc::clone(&name), self.lists.len() - 1);
        self.quotas[&name].set_members(self.lists.last().unwrap());
    }

    fn stop(&mut self, index: usize) {
        self.quotas.shift_remove_index(index);
        self.lists.push(self.quotas.keys().cloned().collect());
    }

    fn read_list(&mut self, index: usize) {
        let (name, quota) = self.quotas.get_index_mut(index).unwrap();
        let read = &mut self.read_lists[name];
        *read = (*read + 1).min(self.lists.len() - 1);
        quota.set_members(&self.lists[*read]);
    }

    fn publish(&mut self, index: usize) {
        let (from, quota) = self.quotas.get_index(index).unwrap();
        for to in self.quotas.keys() {
            let link = (Arc::clone(from), Arc::clone(to));
            self.links
                .entry(link)
                .or_default()
                .push_back(quota.report_for(to));
        }
    }

    fn deliver(&mut self, link: usize) {
        let Some(((from, to), reports)) = self.links.get_index_mut(link) else {
            return;
        };
        let Some(report) = reports.pop_front() else {
            return;
        };
        if let Some(quota) = self.quotas.get_mut(to) {
            quota.observe(from, &report);
        }
    }

    fn exchange_reports(&mut self) {
        for index in 0..self.quotas.len() {
            self.quotas[index].rebalance();
            self.publish(index);
        }
        for link in 0..self.links.len() {
            while !self.links[link].is_empty() {
                self.deliver(link);
            }
        }
    }

    fn exchange_until_settled(&mut self) {
        for index in 0..self.quotas.len() {
            for _ in 0..self.lists.len() {
                self.read_list(index);
            }
        }
        for _ in 0..3 {
            self.exchange_reports();
        }
    }

    fn shares(&self) -> Vec<u64> {
        self.quotas.values().map(SharedQuota::share).collect()
    }

    fn total_held(&self) -> u64 {
        self.quotas.values().map(SharedQuota::held).sum()
    }
}

#[test]
fn shares_within_total() {
    let (mut moved, mut changes, mut partial) = (0, 0, 0);
    check_seeds(|u| {
        let total = u.int_in_range(1..=2_000)?;
        let mut fleet = Fleet::new(5, total);
        for _ in 0..1_500 {
            let index = u.choose_index(fleet.quotas.len())?;
            let before = fleet.shares();
            match u.int_in_range(0..=199)? {
                0 if fleet.quotas.len() < 8 => fleet.join(),
                1 if fleet.quotas.len() > 2 => fleet.stop(index),
                2..=20 => fleet.read_list(index),
                21..=50 => fleet.quotas[index].set_demand(u.int_in_range(0..=total)?, 0),
                51..=80 => fleet.quotas[index].rebalance(),
                81..=110 => fleet.publish(index),
                111..=120 => fleet.exchange_reports(),
                _ => fleet.deliver(u.choose_index(fleet.links.len())?),
            }
            let after = fleet.shares();
            changes += usize::from(before.len() != after.len());
            moved += usize::from(before.len() == after.len() && before != after);
            partial += usize::from(fleet.total_held() < total);
            assert!(
                fleet.total_held() <= total,
                "{} of {total}",
                fleet.total_held()
            );
        }
        fleet.exchange_until_settled();
        assert_eq!(fleet.total_held(), total);
        Ok(())
    });
    assert!(
        moved > 100 && changes > 10 && partial > 100,
        "{moved} {changes} {partial}"
    );
}

#[test]
fn restart_needs_acknowledgement() {
    let mut fleet = Fleet::new(2, 1_000);
    fleet.quotas[0].set_demand(900, 0);
    fleet.exchange_reports();
    fleet.exchange_reports();
    assert_eq!(fleet.shares(), [950, 50]);
    // A member joins and leaves again. The second instance reads both lists, and the
    // first has read neither.
    fleet.join();
    fleet.stop(2);
    fleet.read_list(1);
    fleet.read_list(1);
    assert_eq!(fleet.shares(), [950, 50]);
    fleet.exchange_until_settled();
    assert_eq!(fleet.total_held(), 1_000);
}

#[test]
fn shares_follow_demand() {
    let mut fleet = Fleet::new(8, 2_000);
    fleet.quotas[3].set_demand(1_500, 0);
    for _ in 0..4 {
        fleet.exchange_reports();
    }
    assert!(fleet.shares()[3] >= 1_500, "{:?}", fleet.shares());
    // Instance 3 holds the amount in use until it is released, but may not start new
    // use.
    for index in 0..8 {
        fleet.quotas[index].set_demand(2_000, if index == 3 { 1_200 } else { 0 });
    }
    for _ in 0..4 {
        fleet.exchange_reports();
    }
    assert_eq!(fleet.quotas[3].held(), 1_200);
    assert_eq!(fleet.shares()[3], 250);
    for in_use in [600, 0] {
        fleet.quotas[3].set_demand(2_000, in_use);
        for _ in 0..8 {
            fleet.exchange_reports();
        }
    }
    assert!(
        fleet.shares().iter().all(|share| share.abs_diff(250) <= 8),
        "{:?}",
        fleet.shares()
    );
}

/// The total is divided by max-min fairness.
#[test]
fn max_min_division() {
    let claimant = |weight, demand| Claimant { weight, demand };
    let cases = [
        (
            100,
            vec![claimant(1, 10), claimant(1, 200), claimant(1, 200)],
            vec![10, 45, 45],
        ),
        (100, vec![claimant(3, 200), claimant(1, 200)], vec![75, 25]),
        (100, vec![claimant(1, 10), claimant(1, 0)], vec![55, 45]),
        (
            7,
            vec![claimant(1, 0), claimant(1, 0), claimant(1, 0)],
            vec![3, 2, 2],
        ),
        (5, vec![], vec![]),
    ];
    for (total, claimants, parts) in cases {
        assert_eq!(divide(total, &claimants), parts, "{claimants:?}");
    }
}

/// The share of an instance is estimated from the known usage.
#[test]
fn share_estimates() {
    let cases = [
        // Own demand, usage by peers, number of instances, burst, and the expected
        // share of a total of 2,000.
        (1_500, 0, 8, 100, 1_300),
        (5_000, 14_000, 8, 100, 250),
        (0, 14_000, 8, 100, 100),
        (0, 0, 8, 100, 250),
        (10, 0, 1, 100, 2_000),
    ];
    for (own_demand, peers_in_use, instances, burst, share) in cases {
        let known = KnownUsage {
            own_demand,
            peers_in_use,
            instances,
            burst,
        };
        assert_eq!(estimate_share(2_000, &known), share, "{known:?}");
    }
}

/// A flood of one account takes no share from a quiet one.
#[test]
fn quiet_account_share() {
    let flood = |own| AccountDemand {
        weight: 1,
        own,
        all_instances: 10_000,
    };
    let quiet = |own| AccountDemand {
        weight: 1,
        own,
        all_instances: 400,
    };
    // The flooding account sends to all eight instances, the quiet account to one of
    // them.
    let with_quiet = fair_demand(1_000, &[flood(1_250), quiet(400)]);
    let without = fair_demand(1_000, &[flood(1_250), quiet(0)]);
    assert_eq!((with_quiet, without), (475, 75));
    assert_eq!(fair_demand(1_000, &[]), 0);
}

/// The limiters of all instances together admit the total rate.
#[test]
fn limiters_total_rate() {
    let mut admitted = 0;
    let total = AccountLimits::new(40, 0, 0);
    let mut limiters = Vec::new();
    for _ in 0..8 {
        let part = AccountLimits {
            requests_milli_per_s: total.requests_milli_per_s.map(|rate| rate / 8),
            ..total
        };
        limiters.push(AccountLimiter::new(part, 0));
    }
    for now_ms in 0..10_000 {
        for limiter in &mut limiters {
            if limiter.acquire(1, now_ms).is_ok() {
                limiter.release(1, 1);
                admitted += 1;
            }
        }
    }
    // 40 requests per second for ten seconds, plus a burst of one second.
    assert!((400..=440).contains(&admitted), "{admitted}");
}

#[test]
fn excess_requests_refused() {
    let mut limiter = AccountLimiter::new(AccountLimits::new(2, 1_000, 3), 0);
    limiter.acquire(400, 0).unwrap();
    assert_eq!(
        limiter.acquire(700, 0),
        Err(LimitError::Tokens {
            retry_after_ms: 100
        })
    );
    limiter.acquire(100, 0).unwrap();
    assert_eq!(
        limiter.acquire(1, 0),
        Err(LimitError::Requests {
            retry_after_ms: 500
        })
    );
    limiter.acquire(100, 500).unwrap();
    assert_eq!(limiter.acquire(1, 500), Err(LimitError::Concurrent));
    assert_eq!(limiter.take_demand(500).max_concurrent, Some(6));
    // More tokens were served than estimated, so the level of the bucket becomes
    // negative.
    limiter.release(100, 3_000);
    let debt = Err(LimitError::Tokens {
        retry_after_ms: 1_600,
    });
    assert_eq!(limiter.acquire(100, 1_000), debt);
    limiter.acquire(100, 2_600).unwrap();
}
