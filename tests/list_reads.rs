//! Decisions on reads of the list of targets, without a network.

use std::time::Duration;

use lavenderwind::{
    peer::{
        frames::Heartbeat,
        target_list::{ListComparison, ListCopy, ListReceiver, ListSender},
    },
    policy::list_reads::{ListEvidence, ListReadPace, ListReader, repeat_delay},
};
use tokio::time::Instant;

/// Estimate of the time that a read takes.
const READ: Duration = Duration::from_millis(50);

/// Interval at which the limits are checked.
const CHECK: Duration = Duration::from_millis(50);

/// Part of `drain_ms` that must remain in each case.
const MARGIN: Duration = Duration::from_millis(200);

const DRAINS_MS: [u64; 2] = [3_000, 2_000];

/// Interval of the heartbeats of a relay in a fleet of 80 instances.
const RELAY_HEARTBEAT: Duration = Duration::from_millis(700);

const RELAY: ListReader = ListReader::Relay {
    heartbeat_interval: RELAY_HEARTBEAT,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a time from which earlier times can be computed.
fn epoch() -> Instant {
    Instant::now() + Duration::from_secs(3_600)
}

/// Heartbeat of a peer that reports a list.
fn heartbeat(sender: &mut ListSender, copy: ListCopy, now: Instant) -> Heartbeat {
    let mut heartbeat = Heartbeat::default();
    sender.encode(Some(copy), now, &mut heartbeat);
    heartbeat
}

/// Guards against limits that leave no time for a read without an answer, for each `drain_ms`
/// in use.
#[test]
fn limits_leave_margin() {
    for drain in DRAINS_MS.map(ms) {
        for jitter in [0.0, 1.0] {
            let member = ListReadPace::new(drain, ListReader::Member, jitter).max_age();
            let relay = ListReadPace::new(drain, RELAY, jitter).max_age();
            let silent = member + CHECK + repeat_delay(READ) + READ;
            assert!(silent + MARGIN <= drain, "{drain:?}: {silent:?}");
            // A refused read, a probe and the snapshot.
            let restored = member + CHECK + READ * 4;
            assert!(restored + MARGIN <= drain, "{drain:?}: {restored:?}");
            let by_relay = relay + CHECK + READ + RELAY_HEARTBEAT + CHECK + READ;
            assert!(by_relay + MARGIN <= drain, "{drain:?}: {by_relay:?}");
        }
    }
}

/// Guards against a limit of zero or above `drain_ms` where `drain_ms` is short.
#[test]
fn short_drain() {
    for drain in [100, 300, 600, 900].map(ms) {
        for reader in [ListReader::Member, RELAY] {
            let limit = ListReadPace::new(drain, reader, 1.0).max_age();
            assert!(limit > Duration::ZERO && limit < drain, "{drain:?}");
        }
    }
}

/// Member of a group and its relay, simulated in steps of a check.
struct Simulation {
    drain: Duration,
    /// From when on the relay sends nothing; its earlier frames arrive.
    relay_stops_at: Duration,
    /// From when on the relay's reads get no answer.
    relay_blind_at: Duration,
    /// From when on the next read of the member gets no answer.
    silent_at: Duration,
    /// Delay of the relay's frames. A frozen receiver sees them late.
    frame_delay: Duration,
}

const NEVER: Duration = Duration::from_secs(1_000);

impl Simulation {
    fn new(drain: Duration) -> Self {
        Self {
            drain,
            relay_stops_at: NEVER,
            relay_blind_at: NEVER,
            silent_at: NEVER,
            frame_delay: Duration::ZERO,
        }
    }

    /// Returns the number of reads of the member in 60 s, and when it knows an entry that
    /// is written at `written`, counted from then.
    fn run(&self, written: Duration, jitter: f64) -> (usize, Duration) {
        let start = epoch();
        let digest = |read_at: Duration| u64::from(read_at >= written);
        let relay_pace = ListReadPace::new(self.drain, RELAY, jitter);
        let member_pace = ListReadPace::new(self.drain, ListReader::Member, jitter);
        let (mut sender, mut receiver) = (ListSender::default(), ListReceiver::default());
        let mut relay = ListCopy {
            digest: 0,
            current_as_of: start,
        };
        let mut member = relay;
        let (mut last_read_at, mut reads, mut known_after) = (start, 0, None);
        let mut frames = std::collections::VecDeque::new();
        let (mut next_frame, mut echo) = (RELAY_HEARTBEAT, Duration::ZERO);
        let mut elapsed = Duration::ZERO;
        let mut was_silent = false;
        while elapsed < ms(60_000) {
            elapsed += CHECK;
            let now = start + elapsed;
            let age = now - relay.current_as_of;
            if elapsed < self.relay_blind_at && age >= relay_pace.max_age() {
                relay.digest = digest(elapsed);
                relay.current_as_of = now;
            }
            if elapsed >= next_frame && elapsed < self.relay_stops_at {
                next_frame += RELAY_HEARTBEAT;
                let frame = heartbeat(&mut sender, relay, now);
                frames.push_back((elapsed + self.frame_delay, frame, start + echo));
            }
            // The member sends a heartbeat each 100 ms.
            if elapsed.as_millis().is_multiple_of(100) {
                echo = elapsed;
            }
            while frames.front().is_some_and(|(at, ..)| *at <= elapsed) {
                let (_, frame, echoed_at) = frames.pop_front().unwrap();
                receiver.apply(&frame, Some(echoed_at));
            }
            let comparison = ListComparison::new(member.digest, receiver.copy());
            member.confirm(&comparison);
            let evidence = ListEvidence {
                last_read_at,
                current_as_of: member.current_as_of,
                differs_as_of: comparison.differs_as_of,
            };
            if member_pace.is_read_due(&evidence, now) {
                reads += 1;
                let mut answered = elapsed + READ;
                if elapsed >= self.silent_at && !std::mem::replace(&mut was_silent, true) {
                    answered += repeat_delay(READ);
                }
                member.digest = digest(elapsed);
                member.current_as_of = now;
                last_read_at = now;
                if member.digest == 1 && known_after.is_none() {
                    known_after = Some(answered - written);
                }
            }
        }
        (reads, known_after.expect("the entry is never known"))
    }
}

/// Runs simulations of failures that begin at many times before or after an entry is written,
/// and returns the latest time after which one was known.
fn latest_known<F>(failing_at: F) -> Duration
where
    F: Fn(Duration) -> Simulation,
{
    let mut latest = Duration::ZERO;
    for step in 0..60 {
        let written = ms(20_000 + 47 * step);
        for lead in 0..12 {
            let failed_at = written + ms(300) - ms(270 * lead);
            for jitter in [0.0, 1.0] {
                latest = latest.max(failing_at(failed_at).run(written, jitter).1);
            }
        }
    }
    latest
}

/// Guards against a draining target that is known too late in one of the failures in
/// docs/design/store-calls.md.
#[test]
fn known_in_time() {
    for drain in DRAINS_MS.map(ms) {
        let normal = |_| Simulation::new(drain);
        let relay_gone = |at| Simulation {
            relay_stops_at: at,
            ..Simulation::new(drain)
        };
        let relay_blind = |at| Simulation {
            relay_blind_at: at,
            ..Simulation::new(drain)
        };
        let late_frames = |_| Simulation {
            frame_delay: ms(8_000),
            ..Simulation::new(drain)
        };
        let silent = |at| Simulation {
            silent_at: at,
            ..Simulation::new(drain)
        };
        let gone_and_silent = |at| Simulation {
            relay_stops_at: at,
            silent_at: at,
            ..Simulation::new(drain)
        };
        for (name, latest) in [
            ("none", latest_known(normal)),
            ("relay gone", latest_known(relay_gone)),
            ("relay blind", latest_known(relay_blind)),
            ("late frames", latest_known(late_frames)),
            ("silent", latest_known(silent)),
            ("cut off and silent", latest_known(gone_and_silent)),
        ] {
            println!("drain {drain:?}, {name}: known after {latest:?}");
            assert!(latest + MARGIN <= drain, "{name}: {latest:?}");
        }
    }
}

/// Guards against reads of a member whose relay confirms its list, and against gaps of more
/// than 10 s between its reads.
#[test]
fn confirmed_member_waits() {
    for drain in DRAINS_MS.map(ms) {
        let (reads, _) = Simulation::new(drain).run(ms(20_000), 0.5);
        // Six or seven reads, since each gap is at most 9.2 s, and one for the new entry.
        assert!((6..=9).contains(&reads), "{drain:?}: {reads} reads");
    }
}

/// Guards against a time of confirmation that counts from the arrival of a frame, and against
/// one that is later than the time of the peer's read.
#[test]
fn echo_sets_time() {
    let start = epoch();
    let read_at = start + ms(500);
    let copy = ListCopy {
        digest: 7,
        current_as_of: read_at,
    };
    let (mut sender, mut receiver) = (ListSender::default(), ListReceiver::default());
    let sent = heartbeat(&mut sender, copy, start + ms(900));
    receiver.apply(&sent, Some(start + ms(800)));
    let received = receiver.copy().unwrap();
    assert!(received.current_as_of <= read_at);
    assert!(received.current_as_of >= read_at - ms(101));
    // Echoes nothing new: the time of an earlier echo stays.
    let later = ListCopy {
        digest: 8,
        current_as_of: start + ms(5_000),
    };
    let sent = heartbeat(&mut sender, later, start + ms(5_100));
    receiver.apply(&sent, None);
    assert_eq!(receiver.copy(), Some(received));
    // The digest is sent once, and counts from the next echo on.
    let sent = heartbeat(&mut sender, later, start + ms(5_200));
    assert_eq!(sent.target_list_digest, None);
    receiver.apply(&sent, Some(start + ms(5_150)));
    let received = receiver.copy().unwrap();
    assert_eq!(received.digest, 8);
    assert!(received.current_as_of <= later.current_as_of);
}

/// Guards against an age that becomes younger where a confirmed list confirms others.
#[test]
fn age_is_passed_on() {
    let start = epoch();
    let read = ListCopy {
        digest: 7,
        current_as_of: start,
    };
    let mut copy = read;
    let mut now = start;
    for _ in 0..20 {
        now += ms(150);
        let sent = heartbeat(&mut ListSender::default(), copy, now);
        let mut receiver = ListReceiver::default();
        receiver.apply(&sent, Some(now - ms(100)));
        let comparison = ListComparison::new(7, receiver.copy());
        // An instance that read the same list long ago.
        let mut confirmed = ListCopy {
            current_as_of: start - ms(60_000),
            ..copy
        };
        confirmed.confirm(&comparison);
        assert!(confirmed.current_as_of > start - ms(60_000));
        assert!(confirmed.current_as_of <= copy.current_as_of);
        copy = confirmed;
    }
    assert!(copy.current_as_of <= read.current_as_of);
}

/// Guards against a confirmation by an instance of the previous version, or by one that has
/// stopped to report a list.
#[test]
fn no_digest_confirms_nothing() {
    let start = epoch();
    let mut receiver = ListReceiver::default();
    receiver.apply(&Heartbeat::default(), Some(start));
    assert_eq!(receiver.copy(), None);
    let copy = ListCopy {
        digest: 0,
        current_as_of: start,
    };
    let mut sender = ListSender::default();
    let sent = heartbeat(&mut sender, copy, start + ms(10));
    receiver.apply(&sent, Some(start));
    assert_eq!(receiver.copy().map(|copy| copy.digest), Some(0));
    let mut unshared = Heartbeat::default();
    sender.encode(None, start + ms(20), &mut unshared);
    assert_eq!(unshared, Heartbeat::default());
    receiver.apply(&unshared, Some(start + ms(20)));
    assert_eq!(receiver.copy(), None);
}

/// Guards against a read for each older list of a peer, and against more reads than without
/// confirmations where instances disagree for long, as they do while many targets come and go.
#[test]
fn other_lists_read() {
    let now = epoch();
    let pace = ListReadPace::new(ms(3_000), ListReader::Member, 1.0);
    let mut evidence = ListEvidence {
        last_read_at: now - ms(2_200),
        current_as_of: now - ms(2_200),
        differs_as_of: Some(now - ms(2_300)),
    };
    assert!(!pace.is_read_due(&evidence, now));
    evidence.differs_as_of = Some(now - ms(500));
    assert!(pace.is_read_due(&evidence, now));
    evidence.last_read_at = now - ms(2_000);
    assert!(!pace.is_read_due(&evidence, now));
    let equal = ListCopy {
        digest: 1,
        current_as_of: now,
    };
    let other = ListCopy {
        digest: 2,
        current_as_of: now - ms(5),
    };
    let comparison = ListComparison::new(1, [equal, other]);
    assert_eq!(comparison.confirmed_as_of, Some(now));
    assert_eq!(comparison.differs_as_of, Some(now - ms(5)));
}
