//! Delay until a topic is read again after failed reads.

use std::time::Duration;

use lavenderwind::policy::read_backoff::{ReadBackoff, ReadOutcome};

/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Time within which missed records must be read: the notice period of leaving
/// targets, minus the time for which a read waits for further changes.
const MAX_READ_DELAY: Duration = Duration::from_millis(2_000);

/// Records missed while disconnected are read within the maximum delay.
#[test]
fn missed_records_delay() {
    // The instance was disconnected for so long that the store has deleted the
    // missed records.
    let mut backoff = ReadBackoff::default();
    for _ in 0..20 {
        backoff.delay_after(ReadOutcome::Failed, 1.0);
    }
    // Worst case: the connection is restored just after a call was sent, so that
    // this call still times out.
    let mut elapsed = CALL_TIMEOUT + backoff.delay_after(ReadOutcome::Failed, 1.0);
    elapsed += backoff.delay_after(ReadOutcome::Trimmed, 1.0);
    assert!(elapsed <= MAX_READ_DELAY, "{elapsed:?}");
}

/// Delays grow with each failure until a read succeeds.
#[test]
fn delays_grow() {
    let mut backoff = ReadBackoff::default();
    let first = backoff.delay_after(ReadOutcome::Failed, 0.0);
    let second = backoff.delay_after(ReadOutcome::Failed, 0.0);
    assert!(second > first);
    assert_eq!(backoff.delay_after(ReadOutcome::Read, 0.0), Duration::ZERO);
    assert_eq!(backoff.delay_after(ReadOutcome::Failed, 0.0), first);
}
