//! Tests of the target table: target list, state polls, health and crashes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lavenderwind::{
    infra::{
        TargetsClient,
        protocol::{PlatformTarget, TargetState},
    },
    service::KindRole,
    standin::{
        engine::{Engine, EngineOptions},
        loopback,
        platform::{Group, Platform, PlatformFaults, Reclaim},
    },
    target::{
        EngineClient, http_client,
        table::{Health, TargetPoller, TargetTable, TargetView},
    },
};
use tokio::time::timeout;

/// Time after which a test fails instead of hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn role_of(kind: &str) -> Option<KindRole> {
    match kind {
        "cheap" => Some(KindRole::Engine),
        "desk" => Some(KindRole::Plain),
        _ => None,
    }
}

fn poller(platform: &Platform, table: &TargetTable) -> TargetPoller<fn(&str) -> Option<KindRole>> {
    let http = http_client().expect("client");
    let targets = TargetsClient::new(http.clone(), &platform.url(), TEST_TIMEOUT);
    TargetPoller::new(table.clone(), targets, EngineClient::new(http), role_of)
}

fn target(name: &str, kind: &str, address: SocketAddr) -> PlatformTarget {
    PlatformTarget {
        name: name.into(),
        kind: kind.into(),
        failure_domain: "domain-a".into(),
        address: address.to_string().into(),
        state: TargetState::Live,
        leaves_in_ms: None,
    }
}

async fn register(platform: &Platform, target: &PlatformTarget) {
    let url = format!("{}/targets/{}", platform.url(), target.name);
    let request = http_client().expect("client").put(url).json(target);
    let response = request.send().await.expect("platform answers");
    assert!(response.status().is_success());
}

fn view(table: &TargetTable, name: &str) -> Option<TargetView> {
    let snapshot = table.snapshot();
    snapshot.iter().find(|view| &*view.name == name).cloned()
}

/// A reclaimed target stays listed as leaving, and gets no new work.
#[tokio::test]
async fn reclaimed_target_unavailable() {
    let platform = Platform::start(loopback(), PlatformFaults::default())
        .await
        .expect("platform");
    let engine = Engine::start(loopback(), EngineOptions::default())
        .await
        .expect("engine");
    register(&platform, &target("e1", "cheap", engine.addr())).await;
    let table = TargetTable::new();
    let poller = poller(&platform, &table);
    poller.refresh().await;
    let before = view(&table, "e1").expect("listed");
    assert!(before.is_available());
    let reclaim = Reclaim {
        group: Group {
            kind: "cheap".into(),
            failure_domain: "domain-a".into(),
        },
        notice_ms: 60_000,
    };
    let url = format!("{}/targets/reclaim", platform.url());
    let request = http_client().expect("client").post(url).json(&reclaim);
    assert!(request.send().await.expect("answer").status().is_success());
    poller.refresh().await;
    let after = view(&table, "e1").expect("still listed");
    assert_eq!(after.state, TargetState::Leaving);
    assert!(after.leaves_at.is_some());
    assert!(!after.is_available());
}

/// A new boot identifier of an engine is reported as a crash.
#[tokio::test]
async fn restart_reports_crash() {
    let platform = Platform::start(loopback(), PlatformFaults::default())
        .await
        .expect("platform");
    let options = EngineOptions {
        restart_ms: 50,
        ..EngineOptions::default()
    };
    let engine = Engine::start(loopback(), options).await.expect("engine");
    register(&platform, &target("e1", "cheap", engine.addr())).await;
    let table = TargetTable::new();
    let poller = poller(&platform, &table);
    let mut crashes = table.crashes();
    poller.refresh().await;
    let boot = view(&table, "e1")
        .and_then(|view| view.engine)
        .expect("state")
        .boot;
    engine.crash();
    let crash_event = async {
        loop {
            poller.refresh().await;
            if let Ok(event) = crashes.try_recv() {
                return event;
            }
        }
    };
    let event = timeout(TEST_TIMEOUT, crash_event)
        .await
        .expect("crash is detected");
    assert_eq!(event.previous_boot, boot);
    assert_ne!(event.boot, boot);
    assert_eq!(&*event.target, "e1");
    assert_eq!(view(&table, "e1").expect("listed").health, Health::Healthy);
}

/// The targets are kept while the target list is unavailable.
#[tokio::test]
async fn list_outage_tolerated() {
    let platform = Platform::start(loopback(), PlatformFaults::default())
        .await
        .expect("platform");
    let engine = Engine::start(loopback(), EngineOptions::default())
        .await
        .expect("engine");
    register(&platform, &target("e1", "cheap", engine.addr())).await;
    register(&platform, &target("p1", "desk", engine.addr())).await;
    let table = TargetTable::new();
    let poller = poller(&platform, &table);
    poller.refresh().await;
    let mut faults = PlatformFaults::default();
    faults.targets.outage = true;
    platform.set_faults(faults);
    poller.refresh().await;
    assert_eq!(table.snapshot().len(), 2);
    assert!(view(&table, "p1").expect("listed").engine.is_none());
}

#[tokio::test]
async fn different_subsets_polled() {
    let platform = Platform::start(loopback(), PlatformFaults::default())
        .await
        .expect("platform");
    let engine = Engine::start(loopback(), EngineOptions::default())
        .await
        .expect("engine");
    for index in 0..40 {
        let name = format!("e{index}");
        register(&platform, &target(&name, "cheap", engine.addr())).await;
    }
    let mut covered = Vec::new();
    for instance in 0..8 {
        let table = TargetTable::new();
        let name: Arc<str> = format!("entry-{instance}").into();
        let poller = poller(&platform, &table).with_subset(name, 10);
        poller.refresh().await;
        assert_eq!(table.snapshot().len(), 10);
        covered.extend(table.snapshot().iter().map(|view| Arc::clone(&view.name)));
    }
    covered.sort();
    covered.dedup();
    assert!(
        covered.len() > 20,
        "only {} of 40 engines polled by any instance",
        covered.len()
    );
}

/// A step of a health test case.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A request succeeds.
    Success,
    /// A request fails.
    Failure,
    /// The target crashes.
    Crash,
    /// This number of milliseconds passes.
    Wait(u64),
}

/// Health follows the results of requests, crashes and pauses.
#[tokio::test(start_paused = true)]
async fn health_transitions() {
    use Step::{Crash, Failure, Success, Wait};
    let cases = [
        ("new", vec![], Health::Healthy),
        ("two failures", vec![Failure; 2], Health::Healthy),
        ("three failures", vec![Failure; 3], Health::Failing),
        (
            "failures with a success between",
            vec![Failure, Failure, Success, Failure, Failure],
            Health::Healthy,
        ),
        (
            "pause over",
            vec![Failure, Failure, Failure, Wait(500)],
            Health::Healthy,
        ),
        (
            "one failure after a pause",
            vec![Failure, Failure, Failure, Wait(500), Failure],
            Health::Failing,
        ),
        (
            "second pause is longer",
            vec![Failure, Failure, Failure, Wait(500), Failure, Wait(999)],
            Health::Failing,
        ),
        (
            "success after a pause",
            vec![Failure, Failure, Failure, Wait(500), Success, Failure],
            Health::Healthy,
        ),
        ("crash", vec![Crash], Health::Crashed),
        (
            "crash, then a success",
            vec![Crash, Success],
            Health::Healthy,
        ),
        ("crash, pause over", vec![Crash, Wait(500)], Health::Healthy),
    ];
    for (name, steps, expected) in cases {
        let table = TargetTable::new();
        let listed = vec![target("p1", "desk", loopback())];
        table.observe_list(listed.clone(), role_of);
        for step in steps {
            match step {
                Success => table.mark_success("p1"),
                Failure => table.mark_failure("p1"),
                Crash => table.mark_crashed("p1"),
                Wait(ms) => {
                    tokio::time::advance(Duration::from_millis(ms)).await;
                    table.observe_list(listed.clone(), role_of);
                }
            }
        }
        let health = view(&table, "p1").expect("listed").health;
        assert_eq!(health, expected, "{name}");
    }
}
