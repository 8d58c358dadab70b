//! Index of cached prefixes: lookup, eviction, lost events and engine restarts.

use arbtest::arbtest;
use lavenderwind::{
    policy::prefix::PrefixIndex,
    target::protocol::{CacheAction, CacheEvent, CacheEventList},
};

/// Returns a list of cache events, each given by its sequence number, block and
/// action.
fn events(boot: &str, events: &[(u64, u64, CacheAction)]) -> CacheEventList {
    let mut list = CacheEventList {
        boot: boot.into(),
        events: Vec::new(),
    };
    for &(sequence, block, action) in events {
        list.events.push(CacheEvent {
            sequence,
            block,
            action,
        });
    }
    list
}

#[test]
fn longest_prefix_found() {
    let mut index = PrefixIndex::default();
    index.insert("a", &[1, 2, 3, 4], 100);
    index.insert("b", &[1, 2], 100);
    assert_eq!(index.expected_blocks("a", &[1, 2, 3, 9]), 3);
    assert_eq!(index.expected_blocks("b", &[1, 2, 3, 9]), 2);
    assert_eq!(index.expected_blocks("c", &[1, 2, 3, 9]), 0);
    let mut holders = Vec::new();
    index.for_each_holder(&[1, 2, 3, 9], 4, |target| holders.push(target.to_owned()));
    assert_eq!(holders, ["a"]);
}

#[test]
fn events_update_index() {
    let mut index = PrefixIndex::default();
    index.observe_events(
        "a",
        &events(
            "1",
            &[(5, 1, CacheAction::Stored), (6, 2, CacheAction::Stored)],
        ),
    );
    assert_eq!(index.expected_blocks("a", &[1, 2]), 2);
    // An event with an old sequence number is skipped; the next one evicts.
    index.observe_events(
        "a",
        &events(
            "1",
            &[(5, 2, CacheAction::Evicted), (7, 2, CacheAction::Evicted)],
        ),
    );
    assert_eq!(index.expected_blocks("a", &[1, 2]), 1);
    assert_eq!(index.next_sequence("a"), 8);
    // Another boot identifier means that the engine restarted and lost its cache.
    index.observe_events("a", &events("2", &[(1, 2, CacheAction::Stored)]));
    assert_eq!(index.expected_blocks("a", &[1, 2]), 0);
    assert_eq!(index.next_sequence("a"), 2);
}

/// Lost events lower the expected blocks; observed answers correct them.
#[test]
fn lost_events_discounted() {
    let mut index = PrefixIndex::default();
    let blocks: Vec<u64> = (0..40).collect();
    index.observe_events("a", &events("1", &[(1, 100, CacheAction::Stored)]));
    index.insert("a", &blocks, 100);
    assert_eq!(index.expected_blocks("a", &blocks), 40);
    index.observe_events("a", &events("1", &[(9, 101, CacheAction::Stored)]));
    assert_eq!(index.expected_blocks("a", &blocks), 20);
    for _ in 0..60 {
        index.observe_cached_tokens("a", 320, 640);
    }
    assert!(index.expected_blocks("a", &blocks) >= 39);
    for _ in 0..60 {
        index.observe_cached_tokens("a", 320, 0);
    }
    assert_eq!(index.expected_blocks("a", &blocks), 0);
}

/// Eviction keeps the newest prefix whole and removes others from their end.
#[test]
fn eviction_from_end() {
    let mut evicted = 0;
    for seed in [
        0x5eed_0061_0000_4000,
        0x5eed_0062_0000_4000,
        0x5eed_0063_0000_4000,
    ] {
        arbtest(|u| {
            let mut index = PrefixIndex::default();
            for _ in 0..400 {
                let target = *u.choose(&["a", "b"])?;
                let prompt = u.int_in_range(0..=30)?;
                let length = u.int_in_range(1..=20)?;
                let blocks: Vec<u64> = (0..length).map(|block| prompt * 100 + block).collect();
                match u.int_in_range(0..=9)? {
                    0 => index.remove_target(target),
                    _ => {
                        index.insert(target, &blocks, 64);
                        assert_eq!(index.expected_blocks(target, &blocks), length as u32);
                    }
                }
                let held = |prompt: u64| {
                    let blocks: Vec<u64> = (0..20).map(|block| prompt * 100 + block).collect();
                    index.expected_blocks(target, &blocks) as usize
                };
                let total: usize = (0..=30).map(held).sum();
                // Prefixes are evicted from their end, so that every indexed block
                // counts as a leading block of its prompt.
                assert_eq!(total, index.block_count(target));
                assert!(total <= 64);
                evicted += usize::from(total == 64);
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
    assert!(evicted > 100, "{evicted}");
}
