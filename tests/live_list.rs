//! Tests the live list client against the stand-in platform.

use std::{sync::Arc, time::Duration};

use lavenderwind::{
    infra::{
        LiveClient,
        protocol::{LiveInstance, LiveState},
    },
    standin::{
        loopback,
        platform::{Platform, PlatformFaults},
    },
    target::http_client,
};
use tokio::time::timeout;

/// Timeout that makes a hanging test fail.
const DEADLINE: Duration = Duration::from_secs(20);

fn client(platform: &Platform, request_timeout: Duration) -> LiveClient {
    LiveClient::new(
        http_client().expect("client"),
        &platform.url(),
        request_timeout,
    )
}

fn instance(name: &str, state: LiveState) -> LiveInstance {
    LiveInstance {
        name: name.into(),
        incarnation: 1,
        failure_domain: "domain-a".into(),
        peer_address: "127.0.0.1:1".into(),
        admin_address: "127.0.0.1:2".into(),
        state,
    }
}

async fn names(client: &LiveClient) -> Vec<Arc<str>> {
    let list = client.list().await.expect("list");
    list.into_iter().map(|instance| instance.name).collect()
}

async fn wait_for_names(client: &LiveClient, expected: &[&str]) {
    let wait = async {
        loop {
            let names = names(client).await;
            if names
                .iter()
                .map(|name| &**name)
                .eq(expected.iter().copied())
            {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    timeout(DEADLINE, wait).await.expect("list changes");
}

#[tokio::test]
async fn listed_until_withdrawn() {
    let platform = Platform::start(loopback(), PlatformFaults::default())
        .await
        .expect("platform");
    let client = client(&platform, DEADLINE);
    for name in ["a", "b"] {
        let announced = client.announce(&instance(name, LiveState::Live)).await;
        announced.expect("announced");
    }
    assert_eq!(names(&client).await.len(), 2);
    let leaving = instance("a", LiveState::Leaving);
    client.announce(&leaving).await.expect("announced");
    assert!(client.list().await.expect("list").contains(&leaving));
    client.withdraw("a").await.expect("withdrawn");
    client.withdraw("a").await.expect("withdrawn again");
    assert_eq!(names(&client).await, ["b".into()]);
}

#[tokio::test]
async fn unchanged_not_resent() {
    let faults = PlatformFaults {
        live_ttl_ms: 60_000,
        ..PlatformFaults::default()
    };
    let platform = Platform::start(loopback(), faults).await.expect("platform");
    let client = client(&platform, DEADLINE);
    let announced = client.announce(&instance("a", LiveState::Live)).await;
    announced.expect("announced");
    let url = format!("{}/live", platform.url());
    let http = http_client().expect("client");
    let first = http.get(&url).send().await.expect("answer");
    let tag = first.headers().get("etag").cloned().expect("tag");
    let second = http.get(&url).header("if-none-match", &tag).send().await;
    assert_eq!(second.expect("answer").status().as_u16(), 304);
    // The client returns the same list both times, the second time from its cache.
    for _ in 0..2 {
        assert_eq!(names(&client).await, ["a".into()]);
    }
    client.withdraw("a").await.expect("withdrawn");
    assert!(names(&client).await.is_empty());
}

/// An instance that is not announced again within the time to live is removed.
#[tokio::test]
async fn silent_instance_removed() {
    let faults = PlatformFaults {
        live_ttl_ms: 30,
        ..PlatformFaults::default()
    };
    let platform = Platform::start(loopback(), faults).await.expect("platform");
    let client = client(&platform, DEADLINE);
    let announced = client.announce(&instance("a", LiveState::Live)).await;
    announced.expect("announced");
    wait_for_names(&client, &[]).await;
}

/// A lagging list shows an announced instance later.
#[tokio::test]
async fn lagging_list_updates() {
    let faults = PlatformFaults {
        live_lag_ms: 100_000,
        live_ttl_ms: 200_000,
        ..PlatformFaults::default()
    };
    let platform = Platform::start(loopback(), faults).await.expect("platform");
    let client = client(&platform, DEADLINE);
    let announced = client.announce(&instance("a", LiveState::Live)).await;
    announced.expect("announced");
    assert!(names(&client).await.is_empty(), "the list lags");
    platform.set_faults(PlatformFaults {
        live_lag_ms: 30,
        live_ttl_ms: 200_000,
        ..PlatformFaults::default()
    });
    wait_for_names(&client, &["a"]).await;
}

/// A failed announcement may have taken effect.
#[tokio::test]
async fn failed_announcement_uncertain() {
    struct Case {
        name: &'static str,
        outage: bool,
        slow_ms: u64,
        lose_answers: u32,
        takes_effect: bool,
    }
    let cases = [
        Case {
            name: "outage",
            outage: true,
            slow_ms: 0,
            lose_answers: 0,
            takes_effect: false,
        },
        Case {
            name: "slower than the timeout",
            outage: false,
            slow_ms: 60_000,
            lose_answers: 0,
            takes_effect: false,
        },
        Case {
            name: "answer lost after taking effect",
            outage: false,
            slow_ms: 0,
            lose_answers: 1,
            takes_effect: true,
        },
    ];
    for case in cases {
        let mut faults = PlatformFaults {
            live_ttl_ms: 60_000,
            ..PlatformFaults::default()
        };
        faults.live.outage = case.outage;
        faults.live.slow_ms = case.slow_ms;
        faults.live.lose_answers = case.lose_answers;
        let platform = Platform::start(loopback(), faults).await.expect("platform");
        let request_timeout = if case.slow_ms > 0 {
            Duration::from_millis(50)
        } else {
            DEADLINE
        };
        let short_timeout_client = client(&platform, request_timeout);
        let error = short_timeout_client
            .announce(&instance("a", LiveState::Live))
            .await;
        let error = error.expect_err(case.name);
        assert!(error.may_have_been_sent(), "{}: {error}", case.name);
        platform.set_faults(PlatformFaults::default());
        let default_client = client(&platform, DEADLINE);
        assert_eq!(
            !names(&default_client).await.is_empty(),
            case.takes_effect,
            "{}",
            case.name
        );
    }
}
