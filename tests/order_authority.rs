//! Random walks that check that no order of an instance takes effect after the
//! instance has lost its duty.

mod records;
mod walk;

use arbtest::arbtest;
use walk::{Counts, World};

const SEEDS: u64 = 200;
/// Size of the random input of one walk, in bytes.
const INPUT_BYTES: u64 = 0x4000;

#[test]
fn random_walks() {
    let mut counts = Counts::default();
    for seed in 0..SEEDS {
        arbtest(|u| {
            let mut world = World::new(u)?;
            while u.len() > 16 {
                world.step(u, &mut counts)?;
            }
            Ok(())
        })
        .seed((0x5eed_1000 + seed) << 32 | INPUT_BYTES);
    }
    println!("{counts:?}");
    for reached in [
        counts.takeovers,
        counts.refused_claims,
        counts.resignations,
        counts.duplicates,
        counts.long_pauses,
        counts.pauses_before_write,
        counts.kills,
        counts.disconnections,
        counts.writes_after_lapse,
        counts.fenced_writes,
        counts.lapsed_checks,
        counts.resolved,
        counts.adoptions,
        counts.waits,
    ] {
        assert!(
            reached >= 50,
            "a state was reached fewer than 50 times: {counts:?}"
        );
    }
    assert!(counts.writes >= 5_000, "{counts:?}");
}
