//! Contract tests of the weight store and of engines that fetch from it.

use std::time::Duration;

use lavenderwind::{
    infra::protocol::WeightFetch,
    standin::{
        engine::{Engine, EngineOptions},
        loopback,
        platform::{Platform, PlatformFaults},
    },
    target::{
        EngineClient, http_client,
        protocol::{EngineAction, EngineOrderRequest, EngineState},
    },
};
use tokio::time::timeout;

/// Time after which a test that hangs fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn faults(fetches_per_min: u32) -> PlatformFaults {
    PlatformFaults {
        weight_fetches_per_min: fetches_per_min,
        weight_fetch_ms: 1,
        ..PlatformFaults::default()
    }
}

async fn fetch(platform: &Platform) -> u16 {
    let body = WeightFetch {
        target: "e1".into(),
        model: "adviser".into(),
        version: "2".into(),
    };
    let url = format!("{}/weights/fetch", platform.url());
    let request = http_client().expect("client").post(url).json(&body);
    request.send().await.expect("answer").status().as_u16()
}

async fn start_engine_and_order_load(platform: &Platform) -> (Engine, EngineClient) {
    let options = EngineOptions {
        weights_url: platform.url().into(),
        load_ms: 1,
        ..EngineOptions::default()
    };
    let engine = Engine::start(loopback(), options).await.expect("engine");
    let client = EngineClient::new(http_client().expect("client"));
    let order = EngineOrderRequest {
        order_id: 9,
        epoch: 4,
        action: EngineAction::LoadModel {
            model: "adviser".into(),
            version: "2".into(),
            adapter: "norms".into(),
        },
    };
    let address = engine.addr().to_string();
    client.order(&address, &order).await.expect("order");
    (engine, client)
}

async fn wait_for_state<F>(engine: &Engine, client: &EngineClient, condition: F) -> EngineState
where
    F: Fn(&EngineState) -> bool,
{
    let address = engine.addr().to_string();
    let wait = async {
        loop {
            let state = client.state(&address).await.expect("state");
            if condition(&state) {
                return state;
            }
            tokio::task::yield_now().await;
        }
    };
    timeout(TEST_TIMEOUT, wait).await.expect("state is reached")
}

#[tokio::test]
async fn fetch_rate_limited() {
    let platform = Platform::start(loopback(), faults(2))
        .await
        .expect("platform");
    let mut statuses = Vec::new();
    for _ in 0..4 {
        statuses.push(fetch(&platform).await);
    }
    assert_eq!(statuses, [204, 204, 429, 429]);
}

#[tokio::test]
async fn ordered_model_loaded() {
    let platform = Platform::start(loopback(), faults(5))
        .await
        .expect("platform");
    let (engine, client) = start_engine_and_order_load(&platform).await;
    let state = wait_for_state(&engine, &client, |state| !state.changing).await;
    assert_eq!(state.last_order_id, 9);
    assert_eq!(&*state.models[0].version, "2");
    assert_eq!(state.models[0].adapters, ["norms".into()]);
}

/// A load waits until the store recovers from an outage or a rate limit.
#[tokio::test]
async fn load_awaits_store() {
    let mut outage = faults(5);
    outage.weights.outage = true;
    for (name, fault) in [("outage", outage), ("rate limit", faults(0))] {
        let platform = Platform::start(loopback(), fault).await.expect("platform");
        let (engine, client) = start_engine_and_order_load(&platform).await;
        let state = wait_for_state(&engine, &client, |state| state.changing).await;
        assert!(state.models.is_empty(), "{name}");
        platform.set_faults(faults(5));
        let state = wait_for_state(&engine, &client, |state| !state.changing).await;
        assert_eq!(state.models.len(), 1, "{name}");
    }
}
