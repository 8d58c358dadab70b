//! Outcomes of orders by the result of their single write, and the handling of
//! intents that a former holder left open.

mod records;

use std::{
    future::{Ready, ready},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use lavenderwind::{
    control::{
        Authority, Error, Identity, IntentAction, LeaseClock, ObservedState, OrderOutcome,
        OrderSender, SentOrder, WriteOutcome,
    },
    ledger::{Ledger, LedgerHandle},
    log::{
        self, Appender, LogOptions,
        records::{Duty, EngineRole, OrderIntent, record::Body},
    },
    standin::{
        loopback,
        platform::{Platform, PlatformFaults},
    },
};
use records::{claim_duty, resign_duty, set_role};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Time after which a test that hangs fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Length of the leases, in milliseconds; long enough that none lapses in a test.
const LEASE_MS: u64 = 600_000;
const TARGET: &str = "engine-1";

/// A minimal instance: log, ledger and the authority of one duty.
struct TestInstance {
    appender: Appender,
    ledger: LedgerHandle,
    authority: Authority,
    stop: CancellationToken,
}

impl TestInstance {
    fn start(platform: &Platform, incarnation: u64) -> Self {
        let ledger = LedgerHandle::new(Ledger::new());
        let stop = CancellationToken::new();
        let (_, live_instances) = watch::channel(1);
        let options = LogOptions::for_operator(&platform.url(), incarnation, TEST_TIMEOUT);
        let mut log = log::spawn(&options, ledger.clone(), live_instances, &stop);
        log.tasks.detach_all();
        let identity = Identity {
            name: log.appender.writer().clone(),
            incarnation,
        };
        let lease = LeaseClock::new(LEASE_MS);
        Self {
            authority: Authority::new(Duty::Fleet, identity, ledger.clone(), lease),
            appender: log.appender,
            ledger,
            stop,
        }
    }

    /// Claims the duty until the claim is accepted; returns the epoch.
    async fn take_over(&self) -> u64 {
        loop {
            let claim = self.ledger.read(|ledger| claim_duty(ledger, Duty::Fleet));
            let receipt = self.appender.append(claim).await.expect("running log");
            if !receipt.apply_result.is_accepted() {
                continue;
            }
            let sent_ms = self.authority.clock().ms(receipt.sent_at);
            self.authority.confirm(receipt.offset.0, sent_ms);
            return receipt.offset.0;
        }
    }

    /// Announces an order without sending it, as if paused before the write.
    /// Returns the order's identifier.
    async fn announce(&self, epoch: u64) -> u64 {
        let intent = Body::OrderIntent(OrderIntent {
            target: TARGET.into(),
            duty: Duty::Fleet.into(),
            epoch,
            order: Some(set_role(EngineRole::Decode)),
        });
        let receipt = self.appender.append(intent).await.expect("running log");
        assert!(receipt.apply_result.is_accepted());
        receipt.offset.0
    }

    fn is_open(&self) -> bool {
        self.ledger.read(|ledger| ledger.intent(TARGET).is_some())
    }
}

impl Drop for TestInstance {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// A target with a preset write result that counts its writes.
#[derive(Clone)]
struct Target {
    outcome: WriteOutcome,
    applies: bool,
    reachable: bool,
    writes: Arc<AtomicUsize>,
    last_order: Arc<AtomicU64>,
}

impl Target {
    fn new(outcome: WriteOutcome, applies: bool) -> Self {
        Self {
            outcome,
            applies,
            reachable: true,
            writes: Arc::default(),
            last_order: Arc::default(),
        }
    }

    fn write(&self, sent: &SentOrder) -> WriteOutcome {
        self.writes.fetch_add(1, Ordering::SeqCst);
        if self.applies {
            self.last_order.store(sent.order_id, Ordering::SeqCst);
        }
        self.outcome
    }

    fn observe(&self) -> ObservedState {
        if !self.reachable {
            return ObservedState::Unreachable;
        }
        ObservedState::LastOrder(self.last_order.load(Ordering::SeqCst))
    }

    fn writes(&self) -> usize {
        self.writes.load(Ordering::SeqCst)
    }
}

fn sender(
    instance: &TestInstance,
    target: &Target,
) -> OrderSender<impl Fn(SentOrder) -> Ready<WriteOutcome>, impl Fn(Arc<str>) -> Ready<ObservedState>>
{
    let writer = target.clone();
    let observer = target.clone();
    OrderSender::new(
        instance.authority.clone(),
        instance.appender.clone(),
        instance.ledger.clone(),
        Duration::from_millis(50),
        move |sent: SentOrder| ready(writer.write(&sent)),
        move |_| ready(observer.observe()),
    )
}

async fn platform() -> Platform {
    Platform::start(loopback(), PlatformFaults::default())
        .await
        .expect("the platform starts")
}

/// The outcome of an order follows from the answer and, if that is lost, the target's state.
#[tokio::test]
async fn write_outcomes() {
    struct Case {
        name: &'static str,
        answer: WriteOutcome,
        applies: bool,
        reachable: bool,
        outcome: OrderOutcome,
    }
    let case = |name, answer, applies, reachable, outcome| Case {
        name,
        answer,
        applies,
        reachable,
        outcome,
    };
    let cases = [
        case(
            "accepted",
            WriteOutcome::Applied,
            true,
            true,
            OrderOutcome::Applied,
        ),
        case(
            "refused",
            WriteOutcome::Refused,
            false,
            true,
            OrderOutcome::NotApplied,
        ),
        case(
            "lost answer",
            WriteOutcome::Unknown,
            true,
            true,
            OrderOutcome::Applied,
        ),
        case(
            "lost order",
            WriteOutcome::Unknown,
            false,
            true,
            OrderOutcome::NotApplied,
        ),
        case(
            "unreachable",
            WriteOutcome::Unknown,
            true,
            false,
            OrderOutcome::Open,
        ),
    ];
    for case in cases {
        let platform = platform().await;
        let instance = TestInstance::start(&platform, 1);
        instance.take_over().await;
        let mut target = Target::new(case.answer, case.applies);
        target.reachable = case.reachable;
        let sender = sender(&instance, &target);
        let sent = sender
            .send(&TARGET.into(), set_role(EngineRole::Prefill))
            .await;
        assert_eq!(sent.expect(case.name), case.outcome, "{}", case.name);
        assert_eq!(target.writes(), 1, "{}", case.name);
        let open = case.outcome == OrderOutcome::Open;
        assert_eq!(instance.is_open(), open, "{}", case.name);
    }
}

/// Without the duty, or after it was invalidated, nothing is written.
#[tokio::test]
async fn write_requires_duty() {
    let platform = platform().await;
    let instance = TestInstance::start(&platform, 1);
    let target = Target::new(WriteOutcome::Applied, true);
    let sender = sender(&instance, &target);
    let sent = sender
        .send(&TARGET.into(), set_role(EngineRole::Prefill))
        .await;
    assert!(matches!(sent, Err(Error::NotHolder)));
    let epoch = instance.take_over().await;
    instance.authority.invalidate(epoch);
    let sent = sender
        .send(&TARGET.into(), set_role(EngineRole::Prefill))
        .await;
    assert!(matches!(sent, Err(Error::NotHolder)));
    assert_eq!(target.writes(), 0);
}

/// Actions of a successor for an intent that its predecessor left open.
#[tokio::test]
async fn open_intents_handled() {
    struct Case {
        name: &'static str,
        checks_fencing: bool,
        applied: bool,
        resigned: bool,
        gone: bool,
        action: IntentAction,
        writes: usize,
    }
    let case = |name, [checks_fencing, applied, resigned, gone]: [bool; 4], action, writes| Case {
        name,
        checks_fencing,
        applied,
        resigned,
        gone,
        action,
        writes,
    };
    let cases = [
        case("former holder paused", [false; 4], IntentAction::Wait, 0),
        case(
            "former holder paused, order accepted",
            [false, true, false, false],
            IntentAction::Resolve,
            0,
        ),
        case(
            "former holder resigned",
            [false, false, true, false],
            IntentAction::Resolve,
            0,
        ),
        case(
            "former holder gone",
            [false, false, false, true],
            IntentAction::Resolve,
            0,
        ),
        case(
            "fencing target, former holder paused",
            [true, false, false, false],
            IntentAction::Adopt,
            1,
        ),
        case(
            "fencing target, order accepted",
            [true, true, false, false],
            IntentAction::Resolve,
            0,
        ),
        case(
            "fencing target, former holder resigned",
            [true, false, true, false],
            IntentAction::Resolve,
            0,
        ),
    ];
    for case in cases {
        let platform = platform().await;
        let former = TestInstance::start(&platform, 1);
        let successor = TestInstance::start(&platform, 2);
        let epoch = former.take_over().await;
        let order_id = former.announce(epoch).await;
        if case.resigned {
            let resigned = former
                .appender
                .append(resign_duty(Duty::Fleet, epoch))
                .await;
            assert!(resigned.expect("running log").apply_result.is_accepted());
        }
        let announced = |ledger: &Ledger| ledger.intent(TARGET).cloned();
        successor.ledger.wait_for(announced).await;
        successor.take_over().await;
        let intent = successor.ledger.wait_for(announced).await;
        let target = Target::new(WriteOutcome::Applied, true);
        if case.applied {
            target.last_order.store(order_id, Ordering::SeqCst);
        }
        let sender = sender(&successor, &target);
        let resolved = sender
            .resolve_intent(&intent, case.checks_fencing, case.gone)
            .await;
        assert_eq!(resolved.expect(case.name), case.action, "{}", case.name);
        assert_eq!(target.writes(), case.writes, "{}", case.name);
        let open = case.action == IntentAction::Wait;
        assert_eq!(successor.is_open(), open, "{}", case.name);
    }
}

/// An adopted order is sent once per epoch, and its intent is closed once the
/// target confirms it.
#[tokio::test]
async fn adopted_order_confirmed() {
    let platform = platform().await;
    let former = TestInstance::start(&platform, 1);
    let successor = TestInstance::start(&platform, 2);
    let epoch = former.take_over().await;
    former.announce(epoch).await;
    let announced = |ledger: &Ledger| ledger.intent(TARGET).cloned();
    successor.ledger.wait_for(announced).await;
    successor.take_over().await;
    let unresponsive = Target::new(WriteOutcome::Unknown, true);
    for _ in 0..2 {
        let intent = successor.ledger.wait_for(announced).await;
        let sender = sender(&successor, &unresponsive);
        let resolved = sender.resolve_intent(&intent, true, false).await;
        assert!(resolved.is_ok());
        assert!(successor.is_open());
    }
    assert_eq!(unresponsive.writes(), 1);
    successor.take_over().await;
    let intent = successor.ledger.wait_for(announced).await;
    let target = Target::new(WriteOutcome::Applied, true);
    let sender = sender(&successor, &target);
    let resolved = sender.resolve_intent(&intent, true, false).await;
    assert_eq!(resolved.expect("running log"), IntentAction::Adopt);
    assert_eq!(target.writes(), 1);
    assert!(!successor.is_open());
}

/// A process that resumes after its successor took over writes nothing.
#[tokio::test]
async fn former_holder_blocked() {
    let platform = platform().await;
    let former = TestInstance::start(&platform, 1);
    let successor = TestInstance::start(&platform, 2);
    former.take_over().await;
    let held = |ledger: &Ledger| ledger.duty(Duty::Fleet).cloned();
    successor.ledger.wait_for(held).await;
    let epoch = successor.take_over().await;
    let applied_takeover = |ledger: &Ledger| {
        let entry = ledger.duty(Duty::Fleet)?;
        (entry.epoch == epoch).then_some(())
    };
    former.ledger.wait_for(applied_takeover).await;
    let target = Target::new(WriteOutcome::Applied, true);
    let sender = sender(&former, &target);
    let sent = sender
        .send(&TARGET.into(), set_role(EngineRole::Prefill))
        .await;
    assert!(matches!(sent, Err(Error::NotHolder)));
    assert_eq!(target.writes(), 0);
}
