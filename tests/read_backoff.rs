//! Delay until a topic is read again after failed reads.

use std::time::Duration;

use lavenderwind::policy::read_backoff::{ReadBackoff, ReadOutcome, shared_retry_at};
use tokio::time::Instant;

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

/// Guards against missed records that are read too late because topics share their retries.
#[test]
fn shared_delay_bounded() {
    let mut backoff = ReadBackoff::default();
    backoff.share_retries(true);
    for _ in 0..20 {
        backoff.delay_after(ReadOutcome::Failed, 1.0);
    }
    let elapsed = CALL_TIMEOUT + backoff.delay_after(ReadOutcome::Failed, 1.0);
    assert!(elapsed <= MAX_READ_DELAY, "{elapsed:?}");
}

/// Guards against calls in an outage that grow with the number of topics: each failed call
/// postpones the retries of the other topics.
#[test]
fn failures_postpone_others() {
    const DELAY: Duration = Duration::from_millis(400);
    let failed_at = Instant::now();
    let other_failed_at = failed_at + Duration::from_millis(300);
    let alone = shared_retry_at(failed_at, DELAY, Some(failed_at), None);
    assert_eq!(alone, failed_at + DELAY);
    let postponed = shared_retry_at(failed_at, DELAY, Some(other_failed_at), None);
    assert_eq!(postponed, other_failed_at + DELAY);
    let answered_before = Some(failed_at);
    let postponed = shared_retry_at(failed_at, DELAY, Some(other_failed_at), answered_before);
    assert_eq!(postponed, other_failed_at + DELAY);
}

/// Guards against a topic that waits for the failures of others although the store answers
/// again, and against reads without a pause if only one topic fails.
#[test]
fn answer_ends_wait() {
    const DELAY: Duration = Duration::from_millis(400);
    let failed_at = Instant::now();
    let later = |ms| Some(failed_at + Duration::from_millis(ms));
    let retry_at = shared_retry_at(failed_at, DELAY, later(900), later(1_000));
    assert_eq!(retry_at, failed_at + DELAY);
    let retry_at = shared_retry_at(failed_at, DELAY, Some(failed_at), later(10));
    assert_eq!(retry_at, failed_at + DELAY);
}
