//! Usage slices of instances of a large fleet whose writes failed, or that stop, and the figures
//! of their windows.

mod platform_support;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::Method;
use platform_support::{Cloud, Gateway, Store, Worker, configuration, eventually, signed};
use serde_json::{Value, json};
use tokio::time::sleep;

const WINDOW_MS: u64 = 6_000;
const TIMING: &str = "timing: {lease_ms: 900, usage_window_ms: 6000, stop_ms: 4000}";
/// Instances of the fleet. So many don't write the counts of an open window.
const INSTANCES: usize = 64;
/// Time in which the announcements of all instances are read.
const READ_TIME: Duration = Duration::from_millis(2_500);
/// Time after the end of a window at which an outage of the store begins. It is shorter than six
/// leases, after which a lease is claimed again only some time after the outage.
const OUTAGE_MS: u64 = 4_000;
/// Time after the end of a window at which an outage of the store ends: later than the figure
/// is determined without an outage, which is 6,500 ms as reports are due after 10 s.
const RECOVERY_MS: u64 = 6_700;
/// Time after an outage of the store at which the other instances write their slices.
const RETRY_TIME: Duration = Duration::from_millis(1_200);
/// Time after a claim of the lease within which the new holder determines the figures that are
/// due.
const TAKEOVER_TIME: Duration = Duration::from_millis(500);
/// Time before the end of a window at which a test takes it for too late.
const MARGIN_MS: u64 = 300;

struct Fixture {
    store: Store,
    gateway: Gateway,
    cloud: Cloud,
    _worker: Worker,
}

impl Fixture {
    /// Starts one instance of a large fleet whose other instances don't respond.
    async fn start() -> Self {
        Self::start_with(INSTANCES).await
    }

    /// Starts one instance of a fleet whose other instances don't respond.
    async fn start_with(instances: usize) -> Self {
        let (store, cloud) = (Store::start().await, Cloud::start().await);
        store.put("keyed.op", "config", &configuration(1));
        let worker = Worker::start("i-0", |arrival| Some(signed(arrival, 200, ""))).await;
        store.put("keyed.servers", "i-0", &worker.entry("desk", None));
        let gateway = Gateway::start_with("entry-0", &store, &cloud, TIMING).await;
        gateway.wait_until_served().await;
        let fixture = Self {
            store,
            gateway,
            cloud,
            _worker: worker,
        };
        fixture.announce_others(instances).await;
        fixture
    }

    async fn announce_others(&self, instances: usize) {
        let members = self.store.clone();
        eventually("the instance is announced", || {
            let state = members.state.lock().unwrap();
            state.newest("keyed.members").contains_key("entry-0")
        })
        .await;
        let own = {
            let state = self.store.state.lock().unwrap();
            let (_, value) = state.newest("keyed.members")["entry-0"].clone();
            String::from_utf8(value.to_vec()).unwrap()
        };
        for index in 1..instances {
            let name = format!("entry-{index}");
            let other: Value = serde_json::from_str(&own.replace("entry-0", &name)).unwrap();
            self.store.put("keyed.members", &name, &other);
        }
        sleep(READ_TIME).await;
    }

    /// Waits until a window after the start is reported, and then until an outage is to begin
    /// after the next window. Returns that window and the report's fencing token.
    async fn wait_until_outage(&self) -> (u64, u64) {
        let first = unix_ms() / WINDOW_MS + 1;
        let mut last = None;
        eventually("a window is reported", || {
            let calls = self.cloud.calls.lock().unwrap();
            let mut reports = calls.iter().filter(|call| call.path == "/usage");
            last = reports
                .rfind(|call| call.body["window"].as_u64() >= Some(first))
                .cloned();
            last.is_some()
        })
        .await;
        let last = last.unwrap();
        let window = last.body["window"].as_u64().unwrap() + 1;
        sleep_until_ms((window + 1) * WINDOW_MS + OUTAGE_MS).await;
        (window, last.fence)
    }

    /// Makes the store unavailable until after the decision time of a window.
    async fn interrupt_store(&self, window: u64) {
        self.store.state.lock().unwrap().unavailable = true;
        sleep_until_ms((window + 1) * WINDOW_MS + RECOVERY_MS).await;
        self.store.state.lock().unwrap().unavailable = false;
    }

    /// Writes the slice of another instance.
    fn write_slice(&self, window: u64, requests: u64) {
        let slice = json!({
            "window": window, "instance": "entry-1", "incarnation": 1, "closed": true,
            "counts": {"mill": requests},
        });
        self.store.put("keyed.usage-slices", "entry-1/0/1", &slice);
    }

    /// Returns the name in the newest claim or renewal of the lease.
    fn lease_holder(&self) -> Value {
        let state = self.store.state.lock().unwrap();
        let (_, value) = state.newest("keyed.duties")["all"].clone();
        serde_json::from_slice::<Value>(&value).unwrap()["holder"].clone()
    }

    /// Waits until a window is reported, and returns its number of requests with the report's
    /// fencing token. All its reports must have the same number.
    async fn reported(&self, window: u64) -> (u64, u64) {
        let reports = || {
            let calls = self.cloud.calls.lock().unwrap();
            let mut reports = Vec::new();
            for call in calls.iter().filter(|call| call.body["window"] == window) {
                let requests = call.body["counts"]["mill"].as_u64().unwrap_or(0);
                reports.push((requests, call.fence));
            }
            reports
        };
        eventually("the window is reported", || !reports().is_empty()).await;
        let reports = reports();
        assert!(reports.iter().all(|report| report.0 == reports[0].0));
        reports[0]
    }

    async fn send(&self, id: &str) {
        let request = self.gateway.request(Method::GET, "/look/", id);
        assert_eq!(request.send().await.unwrap().status(), 200);
    }

    /// Waits until a slice of a window has counts. Fails at the time `until_ms`.
    async fn wait_until_written(&self, window: u64, until_ms: u64) {
        while !self.has_counts(window) {
            assert!(unix_ms() < until_ms, "no counts of window {window}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn has_counts(&self, window: u64) -> bool {
        let state = self.store.state.lock().unwrap();
        let slices = state.newest("keyed.usage-slices").into_values();
        let mut slices = slices.map(|(_, value)| serde_json::from_slice(&value).unwrap());
        slices.any(|slice: Value| {
            let counts = slice["counts"].as_object().unwrap();
            slice["window"] == window && !counts.is_empty()
        })
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since_epoch.as_millis() as u64
}

async fn sleep_until_ms(at_ms: u64) {
    sleep(Duration::from_millis(at_ms.saturating_sub(unix_ms()))).await;
}

/// Guards against figures that lack the requests of instances whose writes failed during a
/// short outage of the store, because they write again only at the end of the next window.
#[tokio::test]
async fn soon_after_outage() {
    let fixture = Fixture::start().await;
    let window = unix_ms() / WINDOW_MS + 1;
    let end_ms = (window + 1) * WINDOW_MS;
    sleep_until_ms(end_ms - 700).await;
    fixture.send("r-1").await;
    fixture.store.state.lock().unwrap().silent = true;
    sleep_until_ms(end_ms + 1_500).await;
    fixture.store.state.lock().unwrap().silent = false;
    fixture
        .wait_until_written(window, end_ms + WINDOW_MS - MARGIN_MS)
        .await;
}

/// Guards against figures that lack the requests of an instance that has stopped before the
/// end of the window.
#[tokio::test]
async fn before_stop() {
    let mut fixture = Fixture::start().await;
    let window = unix_ms() / WINDOW_MS + 1;
    let start_ms = window * WINDOW_MS;
    sleep_until_ms(start_ms + 200).await;
    fixture.send("r-1").await;
    fixture.gateway.stop().await;
    fixture
        .wait_until_written(window, start_ms + WINDOW_MS - MARGIN_MS)
        .await;
}

/// Guards against a figure that is determined just after an outage of the store, before the
/// other instances have written again the slices whose writes have failed.
#[tokio::test]
async fn retries_counted() {
    let fixture = Fixture::start_with(2).await;
    let (window, _) = fixture.wait_until_outage().await;
    fixture.interrupt_store(window).await;
    sleep(RETRY_TIME).await;
    fixture.write_slice(window, 7);
    assert_eq!(fixture.reported(window).await.0, 7);
}

/// Guards against the same by an instance that claims the lease after the outage, and has read
/// no slices before.
#[tokio::test]
async fn retries_counted_by_successor() {
    let fixture = Fixture::start_with(2).await;
    let (window, earlier_fence) = fixture.wait_until_outage().await;
    let claim = json!({"holder": "entry-1", "incarnation": 1, "epoch": 0});
    fixture.store.put("keyed.duties", "all", &claim);
    let store = fixture.store.clone();
    let known_calls = store.state.lock().unwrap().calls.len();
    eventually("the claim of another instance is read", || {
        let state = store.state.lock().unwrap();
        let mut calls = state.calls.iter().skip(known_calls);
        calls.any(|call| call.starts_with("/log-read") && call.contains("keyed.duties"))
    })
    .await;
    fixture.interrupt_store(window).await;
    eventually("the instance claims the lease", || {
        fixture.lease_holder() == "entry-0"
    })
    .await;
    sleep(TAKEOVER_TIME).await;
    fixture.write_slice(window, 7);
    let (requests, fence) = fixture.reported(window).await;
    assert!(fence > earlier_fence, "the lease was claimed again");
    assert_eq!(requests, 7);
}
