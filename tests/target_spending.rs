//! Number of targets to order: cost, and targets left after a domain is reclaimed.

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use lavenderwind::policy::spending::{
    DomainSupply, NeedWindow, Shortage, SpendingLimits, SpendingPlan, SpendingPrices, keep_regular,
    needed_targets, plan, regular_until_replaced,
};

const SEEDS: [u64; 6] = [
    0x5eed_0051_0000_4000,
    0x5eed_0052_0000_4000,
    0x5eed_0053_0000_4000,
    0x5eed_0054_0000_4000,
    0x5eed_0055_0000_4000,
    0x5eed_0056_0000_4000,
];
const PRICES: SpendingPrices = SpendingPrices {
    reclaimable_milli_per_hour: 300,
    regular_milli_per_hour: 1_000,
};

fn check_seeds<F>(mut property: F)
where
    F: FnMut(&mut Unstructured<'_>) -> Result<()>,
{
    for seed in SEEDS {
        arbtest(&mut property).seed(seed).run();
    }
}

fn domain(index: usize, reclaimable: u32, regular: u32) -> DomainSupply {
    DomainSupply {
        failure_domain: format!("domain-{index}").into(),
        reclaimable,
        reclaimable_live: reclaimable,
        is_out_of_capacity: false,
        regular,
    }
}

fn four_domains(reclaimable: u32, regular: u32) -> Vec<DomainSupply> {
    (0..4)
        .map(|index| domain(index, reclaimable, regular))
        .collect()
}

/// Returns the number of targets left after the loss of the reclaimable targets in
/// the domain `lost`.
fn left_without(plan: &SpendingPlan, lost: usize) -> u32 {
    let mut left = 0;
    for index in 0..plan.regular.len() {
        left += plan.regular[index];
        if index != lost {
            left += plan.reclaimable[index];
        }
    }
    left
}

/// Finds the lowest cost by exhaustive search over the reclaimable targets of all
/// domains.
fn least_cost(needed: u32, supply: &[DomainSupply]) -> Option<u64> {
    let mut least = None;
    let regular: u32 = supply.iter().map(|domain| domain.regular).sum();
    let mut counts = vec![0; supply.len()];
    'counts: loop {
        let reclaimable: u32 = counts.iter().sum();
        let survivors = reclaimable - counts.iter().max().unwrap();
        let missing = needed.saturating_sub(survivors);
        if missing <= regular {
            let cost = u64::from(reclaimable) * 300 + u64::from(missing) * 1_000;
            least = Some(least.map_or(cost, |least: u64| least.min(cost)));
        }
        for (count, domain) in counts.iter_mut().zip(supply) {
            if *count < domain.reclaimable {
                *count += 1;
                continue 'counts;
            }
            *count = 0;
        }
        return least;
    }
}

/// If the supply suffices, the needed targets survive the loss of any domain at the least cost.
#[test]
fn domain_loss_survived() {
    let (mut enough, mut short, mut cheap) = (0, 0, 0);
    check_seeds(|u| {
        for _ in 0..60 {
            let mut supply = Vec::new();
            for index in 0..u.int_in_range(1..=4)? {
                supply.push(domain(
                    index,
                    u.int_in_range(0..=4)?,
                    u.int_in_range(0..=3)?,
                ));
            }
            let needed = u.int_in_range(0..=9)?;
            let plan = plan(needed, &supply, &PRICES, &SpendingLimits::default());
            for (index, domain) in supply.iter().enumerate() {
                assert!(plan.reclaimable[index] <= domain.reclaimable);
                assert!(plan.regular[index] <= domain.regular);
            }
            cheap += u32::from(plan.reclaimable.iter().sum::<u32>() > 0);
            let Some(cost) = least_cost(needed, &supply) else {
                short += 1;
                continue;
            };
            enough += 1;
            for lost in 0..supply.len() {
                assert!(
                    left_without(&plan, lost) >= needed,
                    "{needed} {supply:?} {plan:?}"
                );
            }
            assert_eq!(
                plan.cost_milli_per_hour, cost,
                "{needed} {supply:?} {plan:?}"
            );
        }
        Ok(())
    });
    assert!(
        enough > 50 && short > 20 && cheap > 50,
        "{enough} {short} {cheap}"
    );
}

#[test]
fn supply_and_limits() {
    let none = SpendingLimits::default();
    let cost = |cost| SpendingLimits {
        max_cost_milli_per_hour: Some(cost),
        ..none
    };
    let targets = |most| SpendingLimits {
        max_targets: Some(most),
        ..none
    };
    let least = SpendingLimits {
        min_targets: 4,
        ..none
    };
    let cases = [
        // Needed targets, reclaimable and regular supply of each domain, limits, and
        // the expected reclaimable, regular and surviving targets.
        (9, 4, 4, none, 12, 0, 9),
        (9, 0, 4, none, 0, 9, 9),
        (9, 1, 4, none, 4, 6, 9),
        (9, 4, 0, none, 12, 0, 9),
        (9, 1, 0, none, 4, 0, 3),
        (9, 4, 4, cost(1_500), 4, 0, 3),
        (9, 4, 4, cost(2_100), 7, 0, 5),
        (9, 4, 4, targets(9), 0, 9, 9),
        (0, 4, 4, none, 0, 0, 0),
        (0, 4, 4, least, 6, 0, 4),
    ];
    for (needed, reclaimable, regular, limits, cheap, rest, surviving) in cases {
        let plan = plan(
            needed,
            &four_domains(reclaimable, regular),
            &PRICES,
            &limits,
        );
        let sums: [u32; 2] = [plan.reclaimable.iter().sum(), plan.regular.iter().sum()];
        assert_eq!(
            (sums, plan.surviving),
            ([cheap, rest], surviving),
            "{plan:?}"
        );
    }
}

/// Regular targets stay until reclaimable ones replace them.
#[test]
fn regular_targets_kept() {
    let mut supply = four_domains(4, 4);
    let planned = plan(9, &supply, &PRICES, &SpendingLimits::default());
    for domain in &mut supply {
        domain.reclaimable_live = 1;
    }
    // Of four running reclaimable targets, three are left if a domain is reclaimed,
    // so that six regular targets have to stay.
    let kept = regular_until_replaced(&planned, 9, &[3, 2, 2, 2], &supply);
    assert_eq!(kept.iter().sum::<u32>(), 6);
    for domain in &mut supply {
        domain.reclaimable_live = 3;
    }
    let kept = regular_until_replaced(&planned, 9, &kept, &supply);
    assert_eq!(kept.iter().sum::<u32>(), 0);
}

/// The need falls only after it was lower for the whole window.
#[test]
fn need_decrease_delayed() {
    let mut window = NeedWindow::new(60_000);
    assert_eq!(window.observe(needed_targets(6.3, 0.7), 0), 9);
    assert_eq!(window.observe(4, 10_000), 9);
    assert_eq!(window.observe(11, 20_000), 11);
    assert_eq!(window.observe(3, 60_001), 11);
    assert_eq!(window.observe(5, 79_999), 11);
    assert_eq!(window.observe(4, 80_000), 5);
    assert_eq!(window.observe(2, 500_000), 2);
}

/// Two failure domains are lost, and the shortage of reclaimable targets lasts
/// longer than a refusal marks a domain as out of capacity. The regular targets
/// that replace the lost ones must not be released during the shortage.
#[test]
fn shortage_outlasts_refusals() {
    let live = [35, 35, 1, 1];
    let supply = |is_out_of_capacity: bool| -> Vec<DomainSupply> {
        let mut domains = four_domains(50, 50);
        for (domain, live) in domains.iter_mut().zip(live) {
            domain.reclaimable_live = live;
            domain.is_out_of_capacity = is_out_of_capacity;
        }
        domains
    };
    let mut shortage = Shortage::default();
    assert!(
        !shortage.observe(141, &supply(false)),
        "nothing has been refused yet"
    );
    shortage.record_refusal();
    assert!(shortage.observe(141, &supply(true)));
    assert!(
        shortage.observe(141, &supply(false)),
        "the shortage is not over yet"
    );
    let planned = plan(141, &supply(false), &PRICES, &SpendingLimits::default());
    let kept = |now: &[u32]| -> u32 {
        let out_of_capacity = supply(true);
        keep_regular(&planned, 141, 50, now, &out_of_capacity)
            .iter()
            .sum()
    };
    let ordered = kept(&[0; 4]);
    assert_eq!(
        ordered,
        141 - 72,
        "regular targets replace all missing ones"
    );
    assert_eq!(
        kept(&[18, 17, 17, 17]),
        ordered,
        "regular targets are not released"
    );
    let mut restored = four_domains(50, 50);
    for domain in &mut restored {
        domain.reclaimable_live = 47;
    }
    assert!(!shortage.observe(141, &restored));
}

/// Regular targets are released domain by domain, as reclaimable targets replace them.
#[test]
fn release_by_domain() {
    let plan = SpendingPlan {
        reclaimable: vec![62, 62, 62],
        regular: vec![0, 0, 0],
        surviving: 124,
        cost_milli_per_hour: 0,
    };
    let supply = |live: [u32; 3]| -> Vec<DomainSupply> {
        let domains = live.iter().enumerate();
        domains
            .map(|(index, &reclaimable_live)| DomainSupply {
                failure_domain: format!("domain-{index}").into(),
                reclaimable: 70,
                reclaimable_live,
                is_out_of_capacity: false,
                regular: 70,
            })
            .collect()
    };
    // Number of running reclaimable targets and expected number of regular targets in
    // each domain. Each domain runs 35 regular targets, of at most 70 targets.
    let cases = [
        ([0, 0, 0], vec![35, 35, 35]),
        ([35, 34, 0], vec![0, 35, 35]),
        ([35, 35, 35], vec![0, 0, 0]),
    ];
    for (live, expected) in cases {
        let kept = keep_regular(&plan, 124, 70, &[35; 3], &supply(live));
        assert_eq!(kept, expected, "{live:?}");
    }
    // Regular targets do not replace the targets of a lost domain while the other
    // domains serve the load, but do so once the platform is out of capacity.
    assert_eq!(
        keep_regular(&plan, 124, 70, &[0; 3], &supply([0, 62, 62])),
        [0, 0, 0]
    );
    let mut out_of_capacity = supply([0, 62, 40]);
    for domain in &mut out_of_capacity {
        domain.is_out_of_capacity = true;
    }
    assert_eq!(
        keep_regular(&plan, 124, 70, &[0; 3], &out_of_capacity),
        [8, 7, 7]
    );
}
