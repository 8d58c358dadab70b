//! A store that is restored from an older copy of itself: what instances have written
//! since is lost, and offsets are given out again.

mod platform_support;

use std::{sync::Arc, time::Duration};

use hyper::Method;
use indexmap::{IndexMap, IndexSet};
use platform_support::{
    Cloud, DutyCall, Gateway, Store, StoreCopy, Worker, configuration, eventually, signed,
};
use serde_json::{Value, json};
use tokio::time::sleep;

/// Time in which several usage windows pass and a lapsed lease is claimed.
const SEVERAL_WINDOWS: Duration = Duration::from_millis(3_500);

/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(20);

struct Fixture {
    store: Store,
    cloud: Arc<Cloud>,
    worker: Worker,
    gateways: Vec<Gateway>,
}

impl Fixture {
    async fn start(instances: usize) -> Self {
        let (store, cloud) = (Store::start().await, Cloud::start().await);
        store.put("keyed.op", "config", &configuration(1));
        let worker = start_worker("i-0").await;
        store.put("keyed.servers", "i-0", &worker.entry("desk", None));
        let mut fixture = Self {
            store,
            cloud: Arc::new(cloud),
            worker,
            gateways: Vec::new(),
        };
        for index in 0..instances {
            fixture.start_instance(index).await;
        }
        fixture
    }

    async fn start_instance(&mut self, index: usize) {
        let name = format!("entry-{index}");
        let gateway = Gateway::start(&name, &self.store, &self.cloud).await;
        gateway.wait_until_served().await;
        self.gateways.push(gateway);
    }

    /// Kills all instances and starts them again.
    async fn restart_all(&mut self) {
        let instances = self.gateways.len();
        for gateway in self.gateways.drain(..) {
            gateway.kill();
        }
        for index in 0..instances {
            self.start_instance(index).await;
        }
    }

    /// Sends requests to all instances in turn for this time.
    async fn send_requests(&self, time: Duration) {
        let requests = time.as_millis() / PAUSE.as_millis();
        for index in 0..requests as usize {
            let gateway = &self.gateways[index % self.gateways.len()];
            let request = gateway.request(Method::GET, "/look/", &format!("r-{index}"));
            let _ = request.send().await;
            sleep(PAUSE).await;
        }
    }

    fn duty_calls(&self) -> Vec<DutyCall> {
        self.cloud.calls.lock().unwrap().clone()
    }

    fn last_window(&self) -> u64 {
        let calls = self.duty_calls();
        calls.iter().map(window_of).max().unwrap_or(0)
    }

    /// Waits until this many more windows are reported.
    async fn wait_for_reports(&self, windows: u64) {
        eventually("a window is reported", || self.last_window() > 0).await;
        let awaited = self.last_window() + windows;
        eventually("later windows are reported", || {
            self.last_window() >= awaited
        })
        .await;
    }

    /// Sends requests until windows are reported that a copy of the store, which is
    /// returned, does not have.
    async fn outdate_copy(&self) -> StoreCopy {
        self.send_requests(SEVERAL_WINDOWS).await;
        self.wait_for_reports(0).await;
        let copy = self.store.copy();
        let known = self.last_window();
        self.send_requests(SEVERAL_WINDOWS).await;
        assert!(self.last_window() > known, "no window reported since");
        copy
    }

    /// Checks that each window was reported with one figure, and that fencing tokens rise
    /// with the holder.
    fn check_duty_calls(&self) {
        let mut figures: IndexMap<u64, Value> = IndexMap::new();
        let mut holders: IndexMap<u64, IndexSet<String>> = IndexMap::new();
        let mut highest = 0;
        for call in self.duty_calls() {
            let counts = call.body["counts"].clone();
            let window = window_of(&call);
            let figure = figures.entry(window).or_insert_with(|| counts.clone());
            assert_eq!(*figure, counts, "window {window}");
            assert!(call.fence >= highest, "a fencing token decreased");
            highest = call.fence;
            holders.entry(call.fence).or_default().insert(call.holder);
        }
        let is_single = |holders: &IndexSet<String>| holders.len() == 1;
        assert!(holders.values().all(is_single), "{holders:?}");
    }

    /// Returns the number of requests in all reported windows after `window`.
    fn reported_after(&self, window: u64) -> u64 {
        let mut figures = IndexMap::new();
        for call in self.duty_calls() {
            let count = call.body["counts"]["mill"].as_u64().unwrap_or(0);
            figures.insert(window_of(&call), count);
        }
        let later = figures.iter().filter(|(reported, _)| **reported > window);
        later.map(|(_, count)| count).sum()
    }
}

fn window_of(call: &DutyCall) -> u64 {
    call.body["window"].as_u64().unwrap()
}

async fn start_worker(id: &str) -> Worker {
    Worker::start(id, |arrival| Some(signed(arrival, 200, ""))).await
}

/// Guards against usage reports that stop after a restore, because the lease can no longer
/// be renewed, and against counts that are lost with the slices.
#[tokio::test]
async fn reports_go_on() {
    let fixture = Fixture::start(2).await;
    // The figure of the first window may lack an instance that has just started.
    fixture.wait_for_reports(3).await;
    let (first, earlier) = (fixture.last_window(), fixture.worker.count());
    let copy = fixture.outdate_copy().await;
    fixture.store.restore(&copy);
    fixture.send_requests(SEVERAL_WINDOWS).await;
    let requests = (fixture.worker.count() - earlier) as u64;
    eventually("all requests are reported", || {
        fixture.reported_after(first) >= requests
    })
    .await;
    fixture.check_duty_calls();
    assert_eq!(fixture.reported_after(first), requests);
}

/// Guards against a window that is reported again with other counts, because the instances
/// that knew its figure were killed after a restore.
#[tokio::test]
async fn windows_reported_once() {
    let mut fixture = Fixture::start(2).await;
    let copy = fixture.outdate_copy().await;
    fixture.store.restore(&copy);
    fixture.restart_all().await;
    fixture.send_requests(SEVERAL_WINDOWS).await;
    fixture.wait_for_reports(2).await;
    fixture.check_duty_calls();
}

/// Guards against the same where the instances start before the store is restored again.
#[tokio::test]
async fn second_restore_borne() {
    let mut fixture = Fixture::start(2).await;
    let copy = fixture.outdate_copy().await;
    fixture.store.restore(&copy);
    fixture.restart_all().await;
    fixture.store.restore(&copy);
    fixture.send_requests(SEVERAL_WINDOWS).await;
    fixture.store.restore(&copy);
    fixture.wait_for_reports(2).await;
    fixture.check_duty_calls();
}

/// Guards against fencing tokens that are given out again after a restore to a copy without
/// any claim of the lease, while the holder is killed.
#[tokio::test]
async fn fencing_tokens_rise() {
    let mut fixture = Fixture::start(2).await;
    let mut copy = fixture.store.copy();
    copy.remove_topic("keyed.duties");
    copy.remove_topic("keyed.usage-figures");
    fixture.send_requests(SEVERAL_WINDOWS).await;
    fixture.wait_for_reports(1).await;
    let last = fixture.duty_calls().pop().unwrap();
    fixture.store.restore(&copy);
    let index = usize::from(last.holder == "entry-1");
    fixture.gateways.remove(index).kill();
    fixture.send_requests(SEVERAL_WINDOWS).await;
    fixture.wait_for_reports(1).await;
    let successor = fixture.duty_calls().pop().unwrap();
    assert_ne!(last.holder, successor.holder);
    assert!(last.fence < successor.fence);
    fixture.check_duty_calls();
}

/// Guards against records that are passed over, because their offsets were read before the
/// restore with other records.
#[tokio::test]
async fn reused_offsets_read() {
    let fixture = Fixture::start(1).await;
    let copy = fixture.store.copy();
    fixture
        .store
        .put("keyed.op", "config", &with_route(2, "lost"));
    wait_for_route(&fixture.gateways[0], "lost").await;
    fixture.store.restore(&copy);
    // The first record gets the offset of the lost one.
    fixture
        .store
        .put("keyed.op", "config", &with_route(3, "later"));
    fixture.store.put("keyed.op", "other", &json!({}));
    fixture.store.put("keyed.op", "other", &json!({}));
    wait_for_route(&fixture.gateways[0], "later").await;
}

/// Returns a configuration with a further route.
fn with_route(version: u64, name: &str) -> Value {
    let mut configuration = configuration(version);
    let routes = configuration["routes"].as_array_mut().unwrap();
    let mut route = routes[1].clone();
    route["name"] = json!(name);
    route["path_prefix"] = json!(format!("/{name}/"));
    routes.push(route);
    configuration
}

async fn wait_for_route(gateway: &Gateway, name: &str) {
    let poll = async {
        loop {
            let request = gateway.request(Method::GET, &format!("/{name}/"), "r-route");
            if request.send().await.unwrap().status() == 200 {
                return;
            }
            sleep(PAUSE).await;
        }
    };
    let waited = tokio::time::timeout(platform_support::DEADLINE, poll).await;
    assert!(waited.is_ok(), "route {name} is not served");
}

/// Guards against an older configuration that comes back with the restored store.
#[tokio::test]
async fn configuration_never_older() {
    let fixture = Fixture::start(1).await;
    let copy = fixture.store.copy();
    fixture
        .store
        .put("keyed.op", "config", &with_route(2, "added"));
    wait_for_route(&fixture.gateways[0], "added").await;
    fixture.store.restore(&copy);
    for number in 0..50 {
        let id = format!("r-added-{number}");
        let request = fixture.gateways[0].request(Method::GET, "/added/", &id);
        assert_eq!(request.send().await.unwrap().status(), 200);
        sleep(PAUSE).await;
    }
}

/// Guards against instances that cannot be found by those that start later, because their
/// announcements are lost.
#[tokio::test]
async fn instances_announced_again() {
    let mut fixture = Fixture::start(1).await;
    let copy = fixture.store.copy();
    fixture.start_instance(1).await;
    let store = fixture.store.clone();
    let announced = move || {
        let state = store.state.lock().unwrap();
        state.newest("keyed.members").len()
    };
    eventually("both are announced", || announced() == 2).await;
    fixture.store.restore(&copy);
    assert_eq!(announced(), 1);
    eventually("both are announced again", || announced() == 2).await;
}

/// Guards against targets that are used again after they announced that they stop, or were
/// removed, because the restored store has older entries of them.
#[tokio::test]
async fn stopped_targets_avoided() {
    let fixture = Fixture::start(1).await;
    let removed = start_worker("i-1").await;
    let other = start_worker("i-2").await;
    let store = &fixture.store;
    store.put("keyed.servers", "i-1", &removed.entry("desk", None));
    store.put("keyed.servers", "i-2", &other.entry("desk", None));
    let copy = store.copy();
    let mut draining = fixture.worker.entry("desk", None);
    draining["state"] = json!("draining");
    store.put("keyed.servers", "i-0", &draining);
    store.put("keyed.servers", "i-1", &Value::Null);
    fixture.send_requests(SEVERAL_WINDOWS).await;
    let counts = (fixture.worker.count(), removed.count());
    store.restore(&copy);
    fixture.send_requests(Duration::from_millis(1_000)).await;
    assert_eq!((fixture.worker.count(), removed.count()), counts);
    assert!(other.count() > 0);
    // The targets run after all, and register again.
    store.put("keyed.servers", "i-1", &removed.entry("desk", None));
    fixture.send_requests(SEVERAL_WINDOWS).await;
    assert!(removed.count() > counts.1);
}

/// Time in which the platform removes the entry of a target that does not write it: three
/// heartbeats.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3_600);

/// Guards against targets that have left and are used again some time after a restore, until
/// the platform removes their older entries.
#[tokio::test]
async fn left_target_stays_out() {
    let fixture = Fixture::start(2).await;
    let left = start_worker("i-1").await;
    let store = &fixture.store;
    store.put("keyed.servers", "i-1", &left.entry("desk", None));
    fixture.send_requests(SEVERAL_WINDOWS).await;
    let copy = store.copy();
    store.put("keyed.servers", "i-1", &Value::Null);
    fixture.send_requests(SEVERAL_WINDOWS).await;
    let count = left.count();
    store.restore(&copy);
    fixture.send_requests(ENTRY_EXPIRY).await;
    store.put("keyed.servers", "i-1", &Value::Null);
    fixture.send_requests(SEVERAL_WINDOWS).await;
    assert!(count > 0);
    assert_eq!(left.count(), count);
}

/// Guards against a target that has said that it leaves and is used again because a restored
/// store lists it.
#[tokio::test]
async fn announced_leaving_remembered() {
    let fixture = Fixture::start(2).await;
    let leaving = Worker::start("i-1", |arrival| {
        let mut answer = signed(arrival, 200, "done");
        let headers = answer.headers_mut();
        headers.insert("server-leaving", "1".parse().unwrap());
        Some(answer)
    })
    .await;
    let store = &fixture.store;
    let copy_without = store.copy();
    store.put("keyed.servers", "i-1", &leaving.entry("desk", None));
    let copy = store.copy();
    fixture.send_requests(SEVERAL_WINDOWS).await;
    store.restore(&copy_without);
    fixture.send_requests(SEVERAL_WINDOWS).await;
    let count = leaving.count();
    store.restore(&copy);
    fixture.send_requests(2 * ENTRY_EXPIRY).await;
    assert!(count > 0);
    assert_eq!(leaving.count(), count);
}
