//! One memory limit for all answers in flight.

use arbtest::arbtest;
use indexmap::IndexMap;
use lavenderwind::policy::answer_budget::{AnswerBudget, MAX_WITH_EVICTED, Resized};

const LIMIT_BYTES: usize = 1_000;
/// Size up to which an answer always gets its memory beside larger ones.
const SMALL_BYTES: usize = 10;

/// Checks that the limit is kept, whatever order answers open, grow, complete and end in, and
/// that only larger answers that still arrive are given up.
#[test]
fn limit_kept() {
    arbtest(|u| {
        let mut budget = AnswerBudget::default();
        // Sizes of the answers, and whether each is complete.
        let mut answers: IndexMap<u64, (usize, bool)> = IndexMap::new();
        // Answers that were given up and have not released their memory.
        let mut given_up: IndexMap<u64, usize> = IndexMap::new();
        while !u.is_empty() {
            if answers.is_empty() || u.ratio(1, 3)? {
                answers.insert(budget.open(), (0, false));
            }
            let index = u.choose_index(answers.len())?;
            let (&number, &(size, is_complete)) = answers.get_index(index).unwrap();
            match u.int_in_range(0..=5)? {
                0 => {
                    budget.close(number);
                    answers.swap_remove(&number);
                }
                1 => {
                    budget.complete(number);
                    answers[&number].1 = true;
                }
                _ if is_complete => {}
                _ => {
                    let grown = size + u.int_in_range(1..=200)?;
                    match budget.resize(number, grown, LIMIT_BYTES) {
                        Resized::Granted { evicted } => {
                            for evicted in evicted {
                                let (other, was_complete) = answers.swap_remove(&evicted).unwrap();
                                assert!(!was_complete && other > grown);
                                given_up.insert(evicted, other);
                            }
                            answers[&number].0 = grown;
                        }
                        Resized::Refused => {
                            budget.close(number);
                            answers.swap_remove(&number);
                        }
                    }
                }
            }
            if u.ratio(1, 4)?
                && let Some((number, _)) = given_up.pop()
            {
                budget.close(number);
            }
            let unreleased: usize = given_up.values().sum();
            assert_eq!(budget.evicted_bytes(), unreleased);
            let total: usize = answers.values().map(|(size, _)| size).sum();
            assert!(total + unreleased <= MAX_WITH_EVICTED * LIMIT_BYTES);
            assert_eq!(budget.total_bytes(), total);
            assert!(total <= LIMIT_BYTES, "{total} bytes");
        }
        Ok(())
    });
}

/// Guards against small answers that are lost because a few answers without end have taken
/// the memory.
#[test]
fn small_answers_pass() {
    let mut budget = AnswerBudget::default();
    let mut endless: Vec<(u64, usize)> = Vec::new();
    for turn in 0..200 {
        endless.push((budget.open(), 0));
        for (number, size) in &mut endless {
            *size += 60;
            let _ = budget.resize(*number, *size, LIMIT_BYTES);
        }
        // Those that were given up release their memory when they learn of it.
        for (number, size) in std::mem::take(&mut endless) {
            match budget.resize(number, size, LIMIT_BYTES) {
                Resized::Granted { .. } => endless.push((number, size)),
                Resized::Refused => budget.close(number),
            }
        }
        let small = budget.open();
        let resized = budget.resize(small, SMALL_BYTES, LIMIT_BYTES);
        assert!(matches!(resized, Resized::Granted { .. }), "turn {turn}");
        budget.complete(small);
        budget.close(small);
    }
}

/// An answer that was given up gets no memory again.
#[test]
fn evicted_stays_out() {
    let mut budget = AnswerBudget::default();
    let (large, small) = (budget.open(), budget.open());
    budget.resize(large, LIMIT_BYTES, LIMIT_BYTES);
    let evicted = vec![large];
    assert_eq!(
        budget.resize(small, SMALL_BYTES, LIMIT_BYTES),
        Resized::Granted { evicted }
    );
    assert_eq!(budget.resize(large, 1, LIMIT_BYTES), Resized::Refused);
    budget.close(large);
    assert_eq!(budget.total_bytes(), SMALL_BYTES);
}
