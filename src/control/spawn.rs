//! Starts the tasks of the duties under a supervisor.

use std::{sync::Arc, time::Duration};

use tokio::sync::watch;

use super::{
    Authority, CheckpointRunner, DutyRunner, FleetClient, FleetPlanner, FleetRunner, Identity,
    IntentResolver, LeaseClock, Member, ObservedState, OrderSender, SentOrder, UsageFlusher,
    UsageRecorder, WindowCloser, WriteOutcome, report_for_order,
};
use crate::{
    Settings,
    infra::{self, TargetsClient, UsageClient},
    ledger::LedgerHandle,
    log::{Appender, TailStatus, records::Duty},
    peer::PeerHandle,
    supervisor::Supervisor,
    target::{EngineClient, table::TargetTable},
};

/// Time for which a target's state is polled after an order was not answered, as a
/// multiple of the platform timeout. An order that the state does not show by then
/// counts as not applied.
const OUTCOME_TIMEOUT_FACTOR: u32 = 3;

/// Dependencies of the duties. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlInputs {
    /// Settings of this instance.
    pub settings: Arc<Settings>,
    /// Ledger of this instance.
    pub ledger: LedgerHandle,
    /// Appends this instance's records.
    pub appender: Appender,
    /// Status of the task that reads the log.
    pub tail: watch::Receiver<TailStatus>,
    /// Peers of this instance.
    pub peers: PeerHandle,
    /// Table of known targets.
    pub targets: TargetTable,
    /// HTTP client for targets and the platform.
    pub http: reqwest::Client,
    /// Recorder of the usage that callers' requests cause.
    pub recorder: UsageRecorder,
}

impl ControlInputs {
    fn identity(&self) -> Identity {
        Identity {
            name: self.appender.writer().clone(),
            incarnation: self.appender.incarnation(),
        }
    }

    fn new_authority(&self, duty: Duty) -> Authority {
        let lease = LeaseClock::new(self.settings.timing.lease_ms);
        Authority::new(duty, self.identity(), self.ledger.clone(), lease)
    }

    fn platform_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.timing.platform_timeout_ms)
    }

    /// Returns the running instances, including this one.
    fn members(&self) -> Vec<Member> {
        let mut members = vec![Member {
            identity: self.identity(),
            leaving: false,
        }];
        for peer in self.peers.live() {
            members.push(Member {
                identity: Identity {
                    name: peer.name,
                    incarnation: peer.incarnation,
                },
                leaving: peer.leaving,
            });
        }
        members
    }

    /// Returns the failure domains of the running instances.
    fn failure_domains(&self) -> Vec<Arc<str>> {
        let mut domains = vec![self.settings.failure_domain.clone()];
        for peer in self.peers.live() {
            domains.push(peer.failure_domain);
        }
        domains
    }

    /// Returns the running instances, or `None` if the live list, the platform's list
    /// of running instances, was never read.
    fn known_members(&self) -> Option<Vec<Member>> {
        self.peers.has_live_list().then(|| self.members())
    }

    fn new_order_sender<W, R>(
        &self,
        authority: &Authority,
        write: W,
        observe: R,
    ) -> Arc<OrderSender<W, R>>
    where
        W: Fn(SentOrder) -> WriteFuture + Send + Sync,
        R: Fn(Arc<str>) -> ObserveFuture + Send + Sync,
    {
        Arc::new(OrderSender::new(
            authority.clone(),
            self.appender.clone(),
            self.ledger.clone(),
            self.platform_timeout() * OUTCOME_TIMEOUT_FACTOR,
            write,
            observe,
        ))
    }
}

type WriteFuture = futures_util::future::BoxFuture<'static, WriteOutcome>;
type ObserveFuture = futures_util::future::BoxFuture<'static, ObservedState>;

/// Starts the tasks of all duties on `supervisor`.
///
/// The supervisor must be stopped after the listener for callers, so that all
/// usage is flushed, and before the log, so that usage and resignations can still
/// be appended.
pub fn spawn(inputs: &ControlInputs, supervisor: &Supervisor) {
    spawn_usage_flusher(inputs, supervisor);
    spawn_fleet(inputs, supervisor);
    spawn_usage(inputs, supervisor);
    spawn_checkpoint(inputs, supervisor);
}

fn spawn_duty(inputs: &ControlInputs, authority: &Authority, name: &str, supervisor: &Supervisor) {
    let inputs = inputs.clone();
    let authority = authority.clone();
    supervisor.spawn(name, move |stop| {
        let members = inputs.clone();
        let runner = DutyRunner::new(
            authority.clone(),
            inputs.appender.clone(),
            inputs.ledger.clone(),
            inputs.tail.clone(),
            move || members.members(),
            &inputs.settings.timing,
        );
        runner.run(stop)
    });
}

fn spawn_usage_flusher(inputs: &ControlInputs, supervisor: &Supervisor) {
    let inputs = inputs.clone();
    supervisor.spawn("usage-recorder", move |stop| {
        let copies = inputs.peers.clone();
        let flushes = inputs.peers.clone();
        let flusher = UsageFlusher::new(
            inputs.recorder.clone(),
            inputs.appender.clone(),
            inputs.ledger.clone(),
            &inputs.settings.timing,
            move |slice| copies.copy_usage(slice),
            move |number| flushes.usage_flushed(number),
        );
        flusher.run(stop)
    });
}

fn spawn_fleet(inputs: &ControlInputs, supervisor: &Supervisor) {
    let authority = inputs.new_authority(Duty::Fleet);
    let url = &inputs.settings.platform.targets_url;
    let client = FleetClient {
        table: inputs.targets.clone(),
        engines: EngineClient::new(inputs.http.clone()),
        platform: TargetsClient::new(inputs.http.clone(), url, inputs.platform_timeout()),
    };
    let timeout = inputs.platform_timeout();
    let writer = client.clone();
    let observer = client.clone();
    let write = move |sent| -> WriteFuture {
        let client = writer.clone();
        Box::pin(async move {
            let written = tokio::time::timeout(timeout, client.write(sent)).await;
            written.unwrap_or(WriteOutcome::Unknown)
        })
    };
    let observe = move |target| -> ObserveFuture {
        let client = observer.clone();
        Box::pin(async move {
            let observed = tokio::time::timeout(timeout, client.observe(target)).await;
            observed.unwrap_or(ObservedState::Unreachable)
        })
    };
    let sender = inputs.new_order_sender(&authority, write, observe);
    spawn_duty(inputs, &authority, "fleet-duty", supervisor);
    let fencing = client.clone();
    let ledger = inputs.ledger.clone();
    spawn_resolver(
        inputs,
        &sender,
        "fleet-settler",
        supervisor,
        move |target| fencing.checks_fencing(&ledger, target),
    );
    let inputs = inputs.clone();
    supervisor.spawn("fleet", move |stop| {
        let planner = FleetPlanner::new(
            inputs.settings.limits.weight_fetches_per_min,
            inputs.settings.policy.roles,
        );
        let ledger = inputs.ledger.clone();
        let domains = inputs.clone();
        let runner = FleetRunner::new(
            sender.clone(),
            ledger,
            client.clone(),
            planner,
            timeout,
            move || domains.failure_domains(),
        );
        runner.run(stop)
    });
}

fn spawn_usage(inputs: &ControlInputs, supervisor: &Supervisor) {
    let authority = inputs.new_authority(Duty::Usage);
    let url = &inputs.settings.platform.usage_url;
    let client = UsageClient::new(inputs.http.clone(), url, inputs.platform_timeout());
    let ledger = inputs.ledger.clone();
    let write = move |sent: SentOrder| -> WriteFuture {
        let client = client.clone();
        let report = report_for_order(&ledger, &sent);
        Box::pin(async move {
            match report {
                Some(report) => report_usage(&client, &report).await,
                None => WriteOutcome::Refused,
            }
        })
    };
    // The platform does not show which reports it accepted. As the platform accepts
    // each window only once, an unanswered report can safely be sent again.
    let observe = |_| -> ObserveFuture { Box::pin(async { ObservedState::LastOrder(0) }) };
    let sender = inputs.new_order_sender(&authority, write, observe);
    spawn_duty(inputs, &authority, "usage-duty", supervisor);
    spawn_resolver(inputs, &sender, "usage-settler", supervisor, |_| false);
    let inputs = inputs.clone();
    supervisor.spawn("usage", move |stop| {
        let members = inputs.clone();
        let closer = WindowCloser::new(
            sender.clone(),
            inputs.appender.clone(),
            inputs.ledger.clone(),
            &inputs.settings.timing,
            move || members.members(),
        );
        closer.run(stop)
    });
}

async fn report_usage(client: &UsageClient, report: &infra::protocol::UsageReport) -> WriteOutcome {
    match client.report(report).await {
        Ok(()) => WriteOutcome::Applied,
        Err(error @ infra::Error::Conflict { .. }) => {
            tracing::error!(
                "control: usage report of window {} refused: {error}",
                report.window
            );
            WriteOutcome::Refused
        }
        Err(infra::Error::OldEpoch { .. }) => WriteOutcome::Refused,
        Err(error) if !error.may_have_been_sent() => WriteOutcome::Refused,
        Err(_) => WriteOutcome::Unknown,
    }
}

fn spawn_resolver<W, R, C>(
    inputs: &ControlInputs,
    sender: &Arc<OrderSender<W, R>>,
    name: &str,
    supervisor: &Supervisor,
    checks_fencing: C,
) where
    W: Fn(SentOrder) -> WriteFuture + Send + Sync + 'static,
    R: Fn(Arc<str>) -> ObserveFuture + Send + Sync + 'static,
    C: Fn(&str) -> bool + Clone + Send + Sync + 'static,
{
    let inputs = inputs.clone();
    let sender = sender.clone();
    supervisor.spawn(name, move |stop| {
        let members = inputs.clone();
        let resolver = IntentResolver::new(
            sender.clone(),
            inputs.settings.timing.grace_ms,
            move || members.known_members(),
            checks_fencing.clone(),
        );
        resolver.run(stop)
    });
}

fn spawn_checkpoint(inputs: &ControlInputs, supervisor: &Supervisor) {
    let authority = inputs.new_authority(Duty::Checkpoint);
    spawn_duty(inputs, &authority, "checkpoint-duty", supervisor);
    let inputs = inputs.clone();
    supervisor.spawn("checkpoint", move |stop| {
        let runner = CheckpointRunner::new(
            authority.clone(),
            inputs.appender.clone(),
            inputs.ledger.clone(),
            &inputs.settings.timing,
        );
        runner.run(stop)
    });
}
