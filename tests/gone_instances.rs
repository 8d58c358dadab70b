//! Instances that are gone for good, or that are only taken for gone.

mod platform_support;

use std::time::Duration;

use platform_support::{Cloud, Gateway, Store, configuration, eventually};
use serde_json::Value;
use tokio::time::{Instant, sleep};

const MEMBERS: &str = "keyed.members";
/// Time for which an outage of the store is observed; longer than an instance is ready
/// without reading the configuration or being confirmed by its peers.
const OUTAGE: Duration = Duration::from_secs(6);

struct Fixture {
    store: Store,
    gateways: Vec<Gateway>,
}

impl Fixture {
    async fn start(instances: usize) -> Self {
        let (store, cloud) = (Store::start().await, Cloud::start().await);
        store.put("keyed.op", "config", &configuration(1));
        let mut gateways = Vec::new();
        for index in 0..instances {
            let gateway = Gateway::start(&format!("entry-{index}"), &store, &cloud).await;
            gateway.wait_until_ready().await;
            gateways.push(gateway);
        }
        let fixture = Self { store, gateways };
        fixture.wait_until_listed(instances).await;
        fixture
    }

    fn listed(&self) -> Vec<String> {
        let state = self.store.state.lock().unwrap();
        state.newest(MEMBERS).into_keys().collect()
    }

    async fn wait_until_listed(&self, instances: usize) {
        let what = format!("{instances} instances are listed");
        eventually(&what, || self.listed().len() == instances).await;
    }
}

/// Guards against instances that are gone and still count in the quorum that confirms an
/// outage of the store, so that those that remain refuse all requests.
#[tokio::test]
async fn gone_leave_quorum() {
    let mut fixture = Fixture::start(4).await;
    for gateway in fixture.gateways.drain(2..) {
        gateway.kill();
    }
    fixture.wait_until_listed(2).await;
    // Both instances read the list a second after the last change at the latest.
    sleep(Duration::from_secs(2)).await;
    fixture.store.state.lock().unwrap().silent = true;
    let silent_since = Instant::now();
    while silent_since.elapsed() < OUTAGE {
        for gateway in &fixture.gateways {
            assert!(gateway.is_ready().await, "not ready during the outage");
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// An instance whose announcement is removed while it runs announces itself again.
#[tokio::test]
async fn running_instance_returns() {
    let fixture = Fixture::start(2).await;
    fixture.store.put(MEMBERS, "entry-1", &Value::Null);
    fixture.wait_until_listed(2).await;
}
