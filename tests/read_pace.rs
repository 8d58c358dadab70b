//! How soon a topic is read again after failures.

use std::time::Duration;

use lavenderwind::policy::read_pace::{ReadOutcome, ReadPace};

/// Longest time in which a call to the store fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Time that targets which leave are given, less that for which a read waits
/// for further changes.
const BOUND: Duration = Duration::from_millis(2_000);

#[test]
fn missed_records_are_read_soon() {
    // An instance was cut off for so long that the records it missed are gone.
    let mut pace = ReadPace::default();
    for _ in 0..20 {
        pace.delay_after(ReadOutcome::Failed, 1.0);
    }
    // The cut heals just after a call was sent into it.
    let mut elapsed = CALL_TIMEOUT + pace.delay_after(ReadOutcome::Failed, 1.0);
    elapsed += pace.delay_after(ReadOutcome::Trimmed, 1.0);
    assert!(elapsed <= BOUND, "{elapsed:?}");
}

#[test]
fn delays_grow_and_end() {
    let mut pace = ReadPace::default();
    let first = pace.delay_after(ReadOutcome::Failed, 0.0);
    let second = pace.delay_after(ReadOutcome::Failed, 0.0);
    assert!(second > first);
    assert_eq!(pace.delay_after(ReadOutcome::Read, 0.0), Duration::ZERO);
    assert_eq!(pace.delay_after(ReadOutcome::Failed, 0.0), first);
}
