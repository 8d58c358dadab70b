//! Fair queue: order of dispatch, bounds on the number of requests, deadlines, and
//! charges for tokens served by peers.

use std::sync::Arc;

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use indexmap::IndexMap;
use lavenderwind::policy::queue::{FairQueue, QueueError, QueueRequest, QueueSettings};

const SEEDS: [u64; 8] = [
    0x5eed_0001_0000_4000,
    0x5eed_0002_0000_4000,
    0x5eed_0003_0000_4000,
    0x5eed_0004_0000_4000,
    0x5eed_0005_0000_4000,
    0x5eed_0006_0000_4000,
    0x5eed_0007_0000_4000,
    0x5eed_0008_0000_4000,
];
const RATE_TOKENS_PER_S: u64 = 1_000;

fn queue() -> FairQueue<usize> {
    FairQueue::new(QueueSettings {
        initial_tokens_per_s: RATE_TOKENS_PER_S,
        ..QueueSettings::default()
    })
}

fn account(index: usize) -> Arc<str> {
    format!("shop/{index}").into()
}

fn check_seeds<F>(mut property: F)
where
    F: FnMut(&mut Unstructured<'_>) -> Result<()>,
{
    for seed in SEEDS {
        arbtest(&mut property).seed(seed).run();
    }
}

#[test]
fn served_by_weight() {
    let mut contended = 0;
    check_seeds(|u| {
        let mut queue = queue();
        let weights = [1, 2, 4];
        let mut largest = 0;
        for item in 0..300 {
            let cost = u.int_in_range(1..=200)?;
            largest = largest.max(cost);
            let weight = weights[item % 3];
            let request = QueueRequest::new(account(item % 3), item)
                .weight(weight)
                .cost_tokens(cost);
            queue.push(request, 0).unwrap();
        }
        let mut served = [0_u64; 3];
        for _ in 0..90 {
            let popped = queue.pop(0).unwrap();
            served[popped.item % 3] += popped.charged_tokens;
        }
        // The tokens served to two accounts, divided by their weights, differ by at
        // most the cost of two requests.
        for (index, weight) in weights.iter().enumerate() {
            let scaled = served[index] / u64::from(*weight);
            assert!(scaled.abs_diff(served[0]) <= 2 * largest, "{served:?}");
            contended += u64::from(served[index] > 0);
        }
        Ok(())
    });
    assert_eq!(contended, 24);
}

/// A flood of requests of one account does not starve the others.
#[test]
fn flood_without_starvation() {
    let mut waits = 0;
    check_seeds(|u| {
        let mut queue = queue();
        let accounts = u.int_in_range(2..=8)?;
        let mut pops_since: IndexMap<usize, usize> = IndexMap::new();
        for round in 0..400 {
            for _ in 0..10 {
                let request =
                    QueueRequest::new(account(0), 0).cost_tokens(u.int_in_range(50..=100)?);
                let _ = queue.push(request, 0);
            }
            let quiet = 1 + round % (accounts - 1);
            if !pops_since.contains_key(&quiet) {
                let request =
                    QueueRequest::new(account(quiet), quiet).cost_tokens(u.int_in_range(50..=100)?);
                queue.push(request, 0).unwrap();
                pops_since.insert(quiet, 0);
            }
            let popped = queue.pop(0).unwrap();
            pops_since.swap_remove(&popped.item);
            for pops in pops_since.values_mut() {
                *pops += 1;
                waits += 1;
                // Each account is served at most twice while a request of another one
                // waits, since costs range from 50 to 100 tokens.
                assert!(*pops <= 2 * accounts);
            }
        }
        Ok(())
    });
    assert!(waits > 0);
}

/// An account that queues its first request late gets half of the service from
/// then on, without credit for the time before.
#[test]
fn no_idle_credit() {
    let mut queue = queue();
    for item in 0..40 {
        queue
            .push(QueueRequest::new(account(0), item).cost_tokens(100), 0)
            .unwrap();
    }
    for _ in 0..20 {
        queue.pop(0).unwrap();
    }
    for item in 0..20 {
        queue
            .push(
                QueueRequest::new(account(1), 100 + item).cost_tokens(100),
                0,
            )
            .unwrap();
    }
    let mut late_account_pops = 0;
    for _ in 0..20 {
        late_account_pops += usize::from(queue.pop(0).unwrap().item >= 100);
    }
    assert_eq!(late_account_pops, 10);
}

/// Returns the time until the item `last` is dispatched, in milliseconds, if the
/// queue drains at [`RATE_TOKENS_PER_S`] and no other request arrives.
fn time_until_dispatch_ms(queue: &mut FairQueue<usize>, last: usize) -> u64 {
    let mut tokens = 0;
    loop {
        let popped = queue.pop(0).unwrap();
        if popped.item == last {
            return tokens * 1_000 / RATE_TOKENS_PER_S;
        }
        tokens += popped.charged_tokens;
    }
}

/// A request that is refused because of its predicted wait would have missed its
/// deadline.
#[test]
fn refusal_predicts_miss() {
    const LAST: usize = 1_000;
    let (mut refused, mut accepted) = (0, 0);
    check_seeds(|u| {
        for _ in 0..40 {
            let mut queue = queue();
            let accounts = u.int_in_range(2..=6)?;
            for index in 0..accounts {
                for item in 0..u.int_in_range(0..=8)? {
                    let request = QueueRequest::new(account(index), item)
                        .weight(1 + index as u32)
                        .cost_tokens(u.int_in_range(1..=40)?);
                    queue.push(request, 0).unwrap();
                }
            }
            let probe = u.choose_index(accounts)?;
            let request = QueueRequest::new(account(probe), LAST).weight(1 + probe as u32);
            let deadline_ms = u.int_in_range(0..=400)?;
            let timed = request.clone().service_ms(10).deadline_ms(deadline_ms);
            let Err(error) = queue.push(timed, 0) else {
                accepted += 1;
                continue;
            };
            assert!(matches!(error, QueueError::TooLate { .. }));
            refused += 1;
            queue.push(request, 0).unwrap();
            let started_at_ms = time_until_dispatch_ms(&mut queue, LAST);
            assert!(
                started_at_ms + 10 > deadline_ms,
                "{started_at_ms} {deadline_ms} {error}"
            );
        }
        Ok(())
    });
    assert!(refused > 50 && accepted > 50, "{refused} {accepted}");
}

#[test]
fn peer_tokens_charged() {
    let mut queue = queue();
    for item in 0..20 {
        queue
            .push(
                QueueRequest::new(account(item % 2), item).cost_tokens(100),
                0,
            )
            .unwrap();
    }
    queue.charge_for_peers("shop/0", 1, 500);
    let mut first = Vec::new();
    for _ in 0..6 {
        first.push(queue.pop(0).unwrap().item % 2);
    }
    assert_eq!(first.iter().sum::<usize>(), 5, "{first:?}");
}

/// The delay of an account by the service it got from peers is bounded.
#[test]
fn peer_delay_bounded() {
    let mut queue = queue();
    queue.charge_for_peers("shop/0", 1, 1_000_000_000);
    let mut popped = None;
    for item in 0..400 {
        queue
            .push(QueueRequest::new(account(0), 1_000).cost_tokens(100), 0)
            .unwrap();
        queue
            .push(QueueRequest::new(account(1), item).cost_tokens(100), 0)
            .unwrap();
        if queue.pop(0).unwrap().item == 1_000 {
            popped = Some(item);
            break;
        }
    }
    // The bound is 10 s at the drain rate, which is the time to drain 100 requests.
    assert!(matches!(popped, Some(99..=101)), "{popped:?}");
}

/// Adjusting the charge of an account changes the order of dispatch.
#[test]
fn adjusted_charge_reorders() {
    let mut queue = queue();
    for item in 0..10 {
        queue
            .push(
                QueueRequest::new(account(item % 2), item).cost_tokens(100),
                0,
            )
            .unwrap();
    }
    let pop = |queue: &mut FairQueue<usize>| queue.pop(0).unwrap().item % 2;
    assert_eq!(pop(&mut queue), 0);
    queue.adjust_charge("shop/0", 100, 0);
    assert_eq!(pop(&mut queue), 0);
    assert_eq!(pop(&mut queue), 1);
    // Both counters are at 100; the correction raises that of shop/0 to 400.
    queue.adjust_charge("shop/0", 100, 400);
    for _ in 0..3 {
        assert_eq!(pop(&mut queue), 1);
    }
    assert_eq!(pop(&mut queue), 0);
}

/// A request expires once its service can no longer end by its deadline.
#[test]
fn late_request_expires() {
    let mut queue = queue();
    let request = QueueRequest::new(account(0), 1)
        .service_ms(50)
        .deadline_ms(200);
    queue.push(request, 0).unwrap();
    queue.push(QueueRequest::new(account(1), 2), 0).unwrap();
    assert!(queue.expire(150).is_none());
    assert_eq!(queue.next_expiry_ms(), Some(151));
    let expired = queue.expire(151).unwrap();
    assert_eq!((expired.item, expired.charged_tokens), (1, 0));
    assert!(queue.expire(151).is_none());
    assert_eq!(queue.len(), 1);
}

/// A full queue refuses requests, and a ticket removes its request only once.
#[test]
fn full_queue_refuses() {
    let mut queue = FairQueue::new(QueueSettings {
        max_requests: 3,
        max_account_requests: 2,
        ..QueueSettings::default()
    });
    let first = queue.push(QueueRequest::new(account(0), 1), 0).unwrap();
    queue.push(QueueRequest::new(account(0), 2), 0).unwrap();
    let refused = queue.push(QueueRequest::new(account(0), 3), 0);
    assert_eq!(refused, Err(QueueError::AccountFull));
    queue.push(QueueRequest::new(account(1), 4), 0).unwrap();
    let refused = queue.push(QueueRequest::new(account(2), 5), 0);
    assert_eq!(refused, Err(QueueError::Full));
    assert_eq!(queue.remove_uncharged(first, 7).unwrap().waited_ms, 7);
    assert!(queue.remove_uncharged(first, 7).is_none());
    assert_eq!(queue.pop(7).unwrap().item, 2);
}
