//! Rules by which an instance claims, renews and resigns a duty.

mod records;

use lavenderwind::{
    control::{
        DutyInput, DutyRules, DutyStep, Identity, LeaseClock, LeaseTiming, Member, TakeoverClock,
        rank,
    },
    ledger::{DutyEntry, Ledger, LedgerHandle},
    log::records::{Duty, DutyClaim, DutyRenewal, DutyResignation},
};
use records::{Fold, Writer, claim_duty, renew_duty, resign_duty};

const TIMING: LeaseTiming = LeaseTiming {
    lease_ms: 3_000,
    drift_ms: 100,
    grace_ms: 500,
};
const RENEW_MS: u64 = 1_000;
const DUTIES: [Duty; 3] = [Duty::Fleet, Duty::Usage, Duty::Checkpoint];

fn identity(name: &str) -> Identity {
    Identity {
        name: name.into(),
        incarnation: 1,
    }
}

fn rules(name: &str) -> DutyRules {
    DutyRules::new(Duty::Fleet, identity(name), TIMING, RENEW_MS)
}

fn entry(holder: &str, resigned: bool) -> DutyEntry {
    DutyEntry {
        holder: holder.into(),
        incarnation: 1,
        epoch: 7,
        last_renewal: 9,
        resigned,
    }
}

fn input(entry: Option<&DutyEntry>, now_ms: u64) -> DutyInput<'_> {
    DutyInput {
        entry,
        is_tail_current: true,
        rank: 0,
        stopping: false,
        idle: true,
        last_read_ms: now_ms,
        now_ms,
    }
}

fn claim(after_epoch: u64, after_renewal: u64) -> DutyStep {
    DutyStep::Claim(DutyClaim {
        duty: Duty::Fleet.into(),
        after_epoch,
        after_renewal,
    })
}

/// A duty that nobody holds, or whose holder resigned, is claimed at once.
#[test]
fn free_duty_claimed() {
    assert_eq!(rules("a").step(&input(None, 0)), claim(0, 0));
    let resigned = entry("b", true);
    assert_eq!(rules("a").step(&input(Some(&resigned), 0)), claim(7, 9));
}

/// An instance that ranks further behind waits longer before it claims a free duty.
#[test]
fn rank_delays_claim() {
    let mut rules = rules("a");
    let at_rank_2 = |now_ms| DutyInput {
        rank: 2,
        ..input(None, now_ms)
    };
    assert_eq!(rules.step(&at_rank_2(0)), DutyStep::Wait);
    assert_eq!(rules.step(&at_rank_2(999)), DutyStep::Wait);
    assert_eq!(rules.step(&at_rank_2(1_000)), claim(0, 0));
}

/// Another instance's duty is claimed only once its lease has lapsed; a renewal extends it.
#[test]
fn lapsed_duty_claimed() {
    let mut rules = rules("a");
    let mut held = entry("b", false);
    assert_eq!(rules.step(&input(Some(&held), 0)), DutyStep::Wait);
    assert_eq!(rules.step(&input(Some(&held), 3_599)), DutyStep::Wait);
    held.last_renewal = 12;
    assert_eq!(rules.step(&input(Some(&held), 3_600)), DutyStep::Wait);
    assert_eq!(rules.step(&input(Some(&held), 7_199)), DutyStep::Wait);
    assert_eq!(rules.step(&input(Some(&held), 7_200)), claim(7, 12));
}

/// After a log outage, the time until a lease counts as lapsed starts again.
#[test]
fn outage_restarts_lapse() {
    let mut rules = rules("a");
    let held = entry("b", false);
    assert_eq!(rules.step(&input(Some(&held), 0)), DutyStep::Wait);
    let without_log = DutyInput {
        is_tail_current: false,
        ..input(Some(&held), 3_000)
    };
    assert_eq!(rules.step(&without_log), DutyStep::Wait);
    assert_eq!(rules.step(&input(Some(&held), 4_000)), DutyStep::Wait);
    assert_eq!(rules.step(&input(Some(&held), 7_599)), DutyStep::Wait);
    assert_eq!(rules.step(&input(Some(&held), 7_600)), claim(7, 9));
}

#[test]
fn holder_renews_periodically() {
    let mut rules = rules("a");
    let held = entry("a", false);
    let renewal = DutyStep::Renew(DutyRenewal {
        duty: Duty::Fleet.into(),
        epoch: 7,
    });
    assert_eq!(rules.step(&input(Some(&held), 0)), renewal);
    assert_eq!(rules.step(&input(Some(&held), 999)), DutyStep::Wait);
    assert_eq!(rules.step(&input(Some(&held), 1_000)), renewal);
}

#[test]
fn claim_requires_read() {
    // An instance that reads the log rarely must not claim a duty whose renewals
    // it has not read yet.
    let held = entry("b", false);
    let mut rules = rules("a");
    let read_at = |last_read_ms, now_ms| DutyInput {
        last_read_ms,
        ..input(Some(&held), now_ms)
    };
    assert_eq!(rules.step(&read_at(0, 0)), DutyStep::Wait);
    assert_eq!(rules.step(&read_at(0, 9_000)), DutyStep::Wait);
    assert_eq!(rules.step(&read_at(9_000, 9_000)), claim(7, 9));
}

#[test]
fn claims_rate_limited() {
    let mut rules = rules("a");
    assert_eq!(rules.step(&input(None, 0)), claim(0, 0));
    assert_eq!(rules.step(&input(None, RENEW_MS - 1)), DutyStep::Wait);
    assert_eq!(rules.step(&input(None, RENEW_MS)), claim(0, 0));
}

/// A stopping holder resigns as soon as it has no work of the duty in progress.
#[test]
fn stopping_holder_resigns() {
    let resignation = DutyStep::Resign(DutyResignation {
        duty: Duty::Fleet.into(),
        epoch: 7,
    });
    let held = entry("a", false);
    let mut rules = rules("a");
    let busy = DutyInput {
        stopping: true,
        idle: false,
        ..input(Some(&held), 0)
    };
    assert_ne!(rules.step(&busy), resignation);
    let idle = DutyInput { idle: true, ..busy };
    assert_eq!(rules.step(&idle), resignation);
    // The resignation may have been lost, so it is sent again until the ledger shows
    // it.
    let after_resignation = input(Some(&held), 10);
    assert_eq!(rules.step(&after_resignation), resignation);
}

/// A holder resigns after another instance has ranked first for three lease times.
#[test]
fn outranked_holder_resigns() {
    let mut rules = rules("a");
    let held = entry("a", false);
    let unpreferred = |now_ms| DutyInput {
        rank: 1,
        ..input(Some(&held), now_ms)
    };
    rules.step(&unpreferred(0));
    assert!(!matches!(
        rules.step(&unpreferred(8_999)),
        DutyStep::Resign(_)
    ));
    assert!(matches!(
        rules.step(&unpreferred(9_000)),
        DutyStep::Resign(_)
    ));
}

/// Members have distinct ranks, and leaving members are not preferred.
#[test]
fn member_ranks_distinct() {
    let mut members = Vec::new();
    for number in 0..8 {
        members.push(Member {
            identity: identity(&format!("entry-{number}")),
            leaving: false,
        });
    }
    for duty in DUTIES {
        let mut ranks = Vec::new();
        for member in &members {
            ranks.push(rank(duty, &member.identity.name, &members, None));
        }
        ranks.sort_unstable();
        assert_eq!(ranks, (0..8).collect::<Vec<_>>());
    }
    let first = |duty: Duty, members: &[Member]| {
        let mut names = members.iter().map(|member| &member.identity.name);
        names
            .find(|name| rank(duty, name, members, None) == 0)
            .cloned()
    };
    let preferred = first(Duty::Fleet, &members);
    for member in &mut members {
        member.leaving = Some(&member.identity.name) == preferred.as_ref();
    }
    let staying: Vec<_> = members
        .iter()
        .filter(|member| !member.leaving)
        .cloned()
        .collect();
    assert_ne!(first(Duty::Fleet, &staying), preferred);
}

/// A lease is counted from the send time of the record that confirms it.
#[test]
fn lease_from_send() {
    let mut lease = LeaseClock::new(3_000);
    assert_eq!(lease.epoch(0), None);
    lease.confirm(7, 100);
    assert_eq!(lease.epoch(3_099), Some(7));
    assert_eq!(lease.epoch(3_100), None);
    lease.confirm(7, 50);
    assert_eq!(lease.epoch(3_099), Some(7));
    lease.confirm(9, 0);
    assert_eq!(lease.epoch(2_999), Some(9));
    assert_eq!(lease.epoch(3_000), None);
    lease.invalidate(9);
    lease.confirm(9, 5_000);
    assert_eq!(lease.epoch(5_001), None);
}

/// The takeover clock restarts when the duty entry changes or the log is unavailable.
#[test]
fn takeover_clock_restarts() {
    let mut takeover = TakeoverClock::new();
    let held = entry("b", false);
    takeover.observe(Some(&held), true, 100);
    assert_eq!(takeover.unchanged_ms(600), 500);
    takeover.observe(Some(&entry("b", true)), true, 700);
    assert_eq!(takeover.unchanged_ms(700), 0);
    takeover.observe(None, false, 800);
    assert_eq!(takeover.unchanged_ms(9_000), 0);
}

/// The ledger rejects claims based on an old state, and renewals and resignations
/// by other instances than the holder.
#[test]
fn invalid_records_rejected() {
    let mut fold = Fold::default();
    let mut first = Writer::new("a");
    let mut second = Writer::new("b");
    let claim_before_takeover = claim_duty(&fold.ledger, Duty::Fleet);
    let epoch = fold.take_over(&mut first, Duty::Fleet);
    assert!(!fold.push(&mut second, claim_before_takeover).is_accepted());
    let claim_before_renewal = claim_duty(&fold.ledger, Duty::Fleet);
    fold.accept(&mut first, renew_duty(Duty::Fleet, epoch));
    assert!(!fold.push(&mut second, claim_before_renewal).is_accepted());
    assert!(
        !fold
            .push(&mut second, renew_duty(Duty::Fleet, epoch))
            .is_accepted()
    );
    assert!(
        !fold
            .push(&mut second, resign_duty(Duty::Fleet, epoch))
            .is_accepted()
    );
    let later = fold.take_over(&mut second, Duty::Fleet);
    assert!(later > epoch);
    assert!(
        !fold
            .push(&mut first, renew_duty(Duty::Fleet, epoch))
            .is_accepted()
    );
    fold.accept(&mut second, resign_duty(Duty::Fleet, later));
    assert!(
        !fold
            .push(&mut second, renew_duty(Duty::Fleet, later))
            .is_accepted()
    );
    // A restarted instance does not hold a duty that its former incarnation claimed.
    let epoch = fold.take_over(&mut first, Duty::Fleet);
    first.restart();
    assert!(
        !fold
            .push(&mut first, renew_duty(Duty::Fleet, epoch))
            .is_accepted()
    );
}

#[tokio::test]
async fn waiting_reader_woken() {
    let handle = LedgerHandle::new(Ledger::new());
    let reader = handle.clone();
    let waiting = tokio::spawn(async move {
        let held = |ledger: &Ledger| ledger.duty(Duty::Usage).cloned();
        reader.wait_for(held).await
    });
    let mut writer = Writer::new("a");
    let record = writer.record(handle.read(|ledger| claim_duty(ledger, Duty::Usage)));
    handle.apply(lavenderwind::log::Offset(1), &record);
    assert_eq!(&*waiting.await.unwrap().holder, "a");
}
