//! Delay until a topic is read again after failed reads.

use std::time::Duration;

use lavenderwind::policy::read_backoff::{ReadBackoff, ReadOutcome};

/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Notice period of leaving targets, less the time for which a read waits for
/// further changes: records must be read within it.
const BOUND: Duration = Duration::from_millis(2_000);

#[test]
fn missed_records_are_read_soon() {
    // The store has deleted the missed records, since the instance was
    // disconnected for so long.
    let mut backoff = ReadBackoff::default();
    for _ in 0..20 {
        backoff.delay_after(ReadOutcome::Failed, 1.0);
    }
    // Worst case: the connection is restored just after a call was sent, so that
    // this call still times out.
    let mut elapsed = CALL_TIMEOUT + backoff.delay_after(ReadOutcome::Failed, 1.0);
    elapsed += backoff.delay_after(ReadOutcome::Trimmed, 1.0);
    assert!(elapsed <= BOUND, "{elapsed:?}");
}

#[test]
fn delays_grow_until_a_read_succeeds() {
    let mut backoff = ReadBackoff::default();
    let first = backoff.delay_after(ReadOutcome::Failed, 0.0);
    let second = backoff.delay_after(ReadOutcome::Failed, 0.0);
    assert!(second > first);
    assert_eq!(backoff.delay_after(ReadOutcome::Read, 0.0), Duration::ZERO);
    assert_eq!(backoff.delay_after(ReadOutcome::Failed, 0.0), first);
}
