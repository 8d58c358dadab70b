//! Tests of the contract between the client that orders targets and the platform, with
//! a stand-in for the platform.

use std::{sync::Arc, time::Duration};

use lavenderwind::{
    infra::{
        Error, TargetsClient,
        protocol::{PlatformTarget, TargetList, TargetOrder, TargetState},
    },
    standin::{
        loopback,
        plain::{PlainFaults, PlainService},
        platform::{Group, Platform, PlatformFaults, Reclaim},
    },
    target::http_client,
};
use serde::Serialize;
use tokio::time::timeout;

/// Time limit of calls and waits, so that a failing test does not hang.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const KIND: &str = "cheap";
const DOMAIN: &str = "domain-a";

struct Fixture {
    platform: Platform,
    client: TargetsClient,
    services: Vec<PlainService>,
}

impl Fixture {
    async fn start(faults: PlatformFaults, idle_targets: usize) -> Self {
        let platform = Platform::start(loopback(), faults).await.expect("platform");
        let http = http_client().expect("client");
        let fixture = Self {
            client: TargetsClient::new(http, &platform.url(), TEST_TIMEOUT),
            platform,
            services: Vec::new(),
        };
        fixture.with_targets(idle_targets).await
    }

    async fn with_targets(mut self, count: usize) -> Self {
        for index in 0..count {
            let service = PlainService::start(loopback(), PlainFaults::default())
                .await
                .expect("service");
            let target = PlatformTarget {
                name: format!("t{index}").into(),
                kind: KIND.into(),
                failure_domain: DOMAIN.into(),
                address: service.addr().to_string().into(),
                state: TargetState::Starting,
                leaves_in_ms: None,
            };
            let url = format!("{}/targets/{}", self.platform.url(), target.name);
            send(http_client().expect("client").put(url), &target).await;
            self.services.push(service);
        }
        self
    }

    async fn post<T>(&self, path: &str, body: &T)
    where
        T: Serialize,
    {
        let url = format!("{}/{path}", self.platform.url());
        send(http_client().expect("client").post(url), body).await;
    }

    async fn wait_for<F>(&self, name: &str, condition: F) -> TargetList
    where
        F: Fn(&TargetList) -> bool,
    {
        let wait = async {
            loop {
                let list = self.client.list().await.expect("list");
                if condition(&list) {
                    return list;
                }
                tokio::task::yield_now().await;
            }
        };
        timeout(TEST_TIMEOUT, wait).await.expect(name)
    }
}

async fn send<T>(request: reqwest::RequestBuilder, body: &T)
where
    T: Serialize,
{
    let response = request.json(body).send().await.expect("answer");
    assert!(response.status().is_success());
}

fn short_delays() -> PlatformFaults {
    PlatformFaults {
        start_ms: 20,
        release_notice_ms: 20,
        ..PlatformFaults::default()
    }
}

fn order(order_id: u64, epoch: u64, count: u32) -> TargetOrder {
    TargetOrder {
        order_id,
        epoch,
        kind: KIND.into(),
        failure_domain: DOMAIN.into(),
        count,
    }
}

fn group() -> Group {
    Group {
        kind: KIND.into(),
        failure_domain: DOMAIN.into(),
    }
}

fn count(list: &TargetList, state: TargetState) -> usize {
    let targets = list.targets.iter();
    targets.filter(|target| target.state == state).count()
}

#[tokio::test]
async fn target_count_set() {
    let fixture = Fixture::start(short_delays(), 3).await;
    let list = fixture.client.list().await.expect("list");
    assert!(list.targets.is_empty(), "nothing was ordered");
    fixture.client.order(&order(1, 1, 2)).await.expect("order");
    let list = fixture
        .wait_for("two targets live", |list| {
            count(list, TargetState::Live) == 2
        })
        .await;
    assert_eq!(list.orders[0].last_order_id, 1);
    assert_eq!(list.orders[0].available, 2);
    fixture.client.order(&order(2, 1, 1)).await.expect("order");
    fixture
        .wait_for("one target left", |list| {
            list.targets.len() == 1 && list.orders[0].wanted == 1
        })
        .await;
}

/// Reclaimed targets leave, and return once they are available again.
#[tokio::test]
async fn reclaimed_targets_return() {
    let fixture = Fixture::start(short_delays(), 2).await;
    fixture.client.order(&order(1, 1, 2)).await.expect("order");
    fixture
        .wait_for("two targets live", |list| {
            count(list, TargetState::Live) == 2
        })
        .await;
    let mut reclaim = Reclaim {
        group: group(),
        notice_ms: 60_000,
    };
    fixture.post("targets/reclaim", &reclaim).await;
    let list = fixture.client.list().await.expect("list");
    assert_eq!(count(&list, TargetState::Leaving), 2);
    for target in &list.targets {
        assert!(target.leaves_in_ms.is_some_and(|ms| ms <= 60_000));
    }
    reclaim.notice_ms = 0;
    fixture.post("targets/reclaim", &reclaim).await;
    let list = fixture
        .wait_for("no target left", |list| list.targets.is_empty())
        .await;
    assert_eq!(list.orders[0].available, 0);
    fixture.post("targets/restore", &group()).await;
    fixture
        .wait_for("two targets live again", |list| {
            count(list, TargetState::Live) == 2
        })
        .await;
}

/// An order of an unavailable kind takes effect once the kind is available.
#[tokio::test]
async fn unavailable_kind_delayed() {
    let mut faults = short_delays();
    faults.unavailable_kinds = vec![Arc::from(KIND)];
    let fixture = Fixture::start(faults, 2).await;
    fixture.client.order(&order(1, 1, 2)).await.expect("order");
    let list = fixture.client.list().await.expect("list");
    assert_eq!(list.orders[0].wanted, 2);
    assert_eq!(list.orders[0].available, 0);
    fixture.platform.set_faults(short_delays());
    fixture
        .wait_for("two targets live", |list| {
            count(list, TargetState::Live) == 2
        })
        .await;
}

/// An order with an old epoch is rejected if the platform checks epochs.
#[tokio::test]
async fn old_epoch_rejected() {
    for check in [true, false] {
        let mut faults = short_delays();
        faults.targets_check_epoch = check;
        let fixture = Fixture::start(faults, 1).await;
        fixture.client.order(&order(7, 7, 1)).await.expect("order");
        let late = fixture.client.order(&order(3, 3, 0)).await;
        assert_eq!(late.is_err(), check);
        if let Err(error) = late {
            assert!(matches!(error, Error::OldEpoch { .. }), "{error}");
        }
        let received = fixture.platform.target_orders();
        assert_eq!(received.len(), 2);
        assert_eq!(received[1].accepted, !check);
    }
}

/// An order without an answer may have been sent.
#[tokio::test]
async fn unanswered_order_uncertain() {
    for (name, outage, lose_answers) in [
        ("outage", true, 0),
        ("answer lost after taking effect", false, 1),
    ] {
        let mut faults = short_delays();
        faults.targets.outage = outage;
        faults.targets.lose_answers = lose_answers;
        let fixture = Fixture::start(faults, 0).await;
        let error = fixture.client.order(&order(1, 1, 1)).await.expect_err(name);
        assert!(error.may_have_been_sent(), "{name}: {error}");
        fixture.platform.set_faults(short_delays());
        let list = fixture.client.list().await.expect("list");
        assert_eq!(list.orders.len(), usize::from(!outage), "{name}");
    }
}
