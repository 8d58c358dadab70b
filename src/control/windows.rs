//! Closes usage windows and reports them to the platform.
//!
//! A usage window is a numbered interval for which the usage of all instances is
//! summed up and billed. One window is open at a time. The holder of the usage
//! duty, one instance at a time, closes the open window and sends its report. An
//! instance's watermark is the number of the last window for which that instance
//! has recorded all its usage in the log.

use std::{future::Future, sync::Arc, time::Duration};

use tokio_util::sync::CancellationToken;

use super::{Clock, Error, Identity, Member, OrderOutcome, OrderSender, Result, SentOrder};
use crate::{
    infra::protocol::{UsageFigure, UsageReport},
    ledger::{Ledger, LedgerHandle},
    log::{
        Appender,
        records::{UsageOrder, WindowAcknowledged, WindowClose, order_intent::Order, record::Body},
    },
    settings::Timing,
};

/// Interval between checks for windows to close or to report.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Delay before resending a report that the platform did not acknowledge.
const RETRY_PERIOD: Duration = Duration::from_secs(1);

/// State of the open window, as input to [`may_close`].
#[derive(Clone, Copy, Debug)]
pub struct CloseInput {
    /// Time for which the window has been the open one, in milliseconds.
    pub open_ms: u64,
    /// Whether all live instances have reported their complete usage of the
    /// window.
    pub usage_complete: bool,
}

/// Decides whether to close the open window, whose length is `window_ms`.
///
/// The window closes once it has been open for its length and all live instances
/// have reported their complete usage. After one and a half times its length,
/// the window closes without waiting for the instances.
pub fn may_close(input: &CloseInput, window_ms: u64) -> bool {
    if input.open_ms < window_ms {
        return false;
    }
    input.usage_complete || input.open_ms >= window_ms + window_ms / 2
}

/// Builds the report of a closed window. Returns `None` if the window is open or
/// the platform has acknowledged its report.
///
/// Every instance builds the same report for a window at any time, apart from
/// the fencing token `epoch`.
pub fn window_report(ledger: &Ledger, window: u64, epoch: u64) -> Option<UsageReport> {
    let mut windows = ledger.unacknowledged_windows();
    let entry = windows.find(|entry| entry.window == window)?;
    let mut figures = Vec::new();
    for (service, accounts) in &entry.services {
        for (account, counts) in accounts {
            figures.push(UsageFigure {
                service: service.clone(),
                account: account.clone(),
                requests: counts.requests,
                prompt_tokens: counts.prompt_tokens,
                output_tokens: counts.output_tokens,
            });
        }
    }
    Some(UsageReport {
        window,
        epoch,
        figures,
    })
}

/// Returns the usage report for an order. Returns `None` if the order is not a
/// usage order or the window of the order has no report to send.
pub fn report_for_order(ledger: &LedgerHandle, sent: &SentOrder) -> Option<UsageReport> {
    let Order::Usage(order) = &sent.order else {
        return None;
    };
    ledger.read(|ledger| window_report(ledger, order.window, sent.epoch))
}

/// Closes windows and reports them while this instance holds the usage duty.
#[derive(Debug)]
pub struct WindowCloser<W, R, M> {
    sender: Arc<OrderSender<W, R>>,
    appender: Appender,
    ledger: LedgerHandle,
    members: M,
    clock: Clock,
    window_ms: u64,
}

impl<W, R, WF, RF, M> WindowCloser<W, R, M>
where
    W: Fn(SentOrder) -> WF,
    WF: Future<Output = super::WriteOutcome>,
    R: Fn(Arc<str>) -> RF,
    RF: Future<Output = super::ObservedState>,
    M: Fn() -> Vec<Member>,
{
    /// Returns a closer that sends reports through `sender`. `members` lists the
    /// live instances, including this one.
    pub fn new(
        sender: Arc<OrderSender<W, R>>,
        appender: Appender,
        ledger: LedgerHandle,
        timing: &Timing,
        members: M,
    ) -> Self {
        Self {
            sender,
            appender,
            ledger,
            members,
            clock: Clock::start(),
            window_ms: timing.usage_window_ms,
        }
    }

    /// Runs until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the appender has stopped.
    pub async fn run(self, stop: CancellationToken) -> Result<()> {
        let work = async { tokio::try_join!(self.close_windows(), self.report_windows()) };
        tokio::select! {
            () = stop.cancelled() => Ok(()),
            done = work => done.map(|_| ()),
        }
    }

    /// Closes windows that are due, even if the reports of earlier windows have not
    /// been acknowledged.
    async fn close_windows(&self) -> Result<()> {
        let mut open_window = 0;
        let mut open_since_ms = 0;
        loop {
            let now_ms = self.clock.now_ms();
            let lowest_open = self.ledger.read(Ledger::open_window);
            if lowest_open != open_window {
                open_window = lowest_open;
                open_since_ms = now_ms;
            }
            let input = CloseInput {
                open_ms: now_ms.saturating_sub(open_since_ms),
                usage_complete: self.usage_complete(open_window),
            };
            self.close_if_due(open_window, &input).await?;
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    async fn close_if_due(&self, window: u64, input: &CloseInput) -> Result<()> {
        let Some(epoch) = self.sender.authority().epoch() else {
            return Ok(());
        };
        if may_close(input, self.window_ms) {
            let close = WindowClose { window, epoch };
            self.appender.append(Body::WindowClose(close)).await?;
        }
        Ok(())
    }

    async fn report_windows(&self) -> Result<()> {
        loop {
            if self.sender.authority().epoch().is_some() {
                self.report_oldest().await?;
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    fn usage_complete(&self, window: u64) -> bool {
        let members = (self.members)();
        self.ledger.read(|ledger| {
            members.iter().all(|member| {
                let Identity { name, incarnation } = &member.identity;
                ledger.watermark(name, *incarnation) >= window
            })
        })
    }

    /// Sends the report of the oldest closed window that is not acknowledged and
    /// has no open intent (an announced order without a recorded outcome).
    /// Further calls send the report again, in a new order, until the platform
    /// acknowledges the report.
    async fn report_oldest(&self) -> Result<()> {
        let window = self.ledger.read(|ledger| {
            let mut windows = ledger.unacknowledged_windows();
            windows.find_map(|entry| {
                let target = report_target_name(entry.window);
                ledger.intent(&target).is_none().then_some(entry.window)
            })
        });
        let Some(window) = window else {
            return Ok(());
        };
        let target = report_target_name(window);
        let order = Order::Usage(UsageOrder { window });
        match self.sender.send(&target, order).await {
            Ok(OrderOutcome::Applied) => {
                let body = Body::WindowAcknowledged(WindowAcknowledged { window });
                self.appender.append(body).await?;
            }
            Ok(OrderOutcome::NotApplied | OrderOutcome::Open) => {
                tokio::time::sleep(RETRY_PERIOD).await
            }
            Err(Error::Log(error)) => return Err(error.into()),
            Err(error) => tracing::debug!("control: usage window {window} not reported: {error}"),
        }
        Ok(())
    }
}

/// Returns the target name in the intent of a window's report.
fn report_target_name(window: u64) -> Arc<str> {
    format!("usage/{window}").into()
}
