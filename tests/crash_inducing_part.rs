//! A part of prompts that crashes each engine that answers a prompt with it.

mod platform_support;

use std::{
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures_util::future::{join, join_all};
use hyper::Method;
use platform_support::{
    Arrival, Cloud, Gateway, PATIENT_TIMEOUT, Store, Worker, WorkerAnswer, configuration,
    eventually, stream,
};
use serde_json::json;
use tokio::{
    sync::Notify,
    task::{AbortHandle, JoinSet},
    time::sleep,
};

const COMPLETE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const EVENT: &str = "id: 1\ndata: a\n\n";
/// Number of events of a slow answer, which takes over a second.
const SLOW_EVENTS: usize = 240;
/// Beginning of the identifiers of requests that are answered slowly.
const SLOW_ID: &str = "r-slow-";
/// Part that crashes engines.
const CRASHING_PART: &str = "dead";
/// Part that all prompts begin with.
const COMMON_PART: &str = "a1";
const ENGINES: usize = 6;
/// Crashes after which no further request with the part may reach an engine.
const MAX_CRASHES: usize = 5;
/// Time for which a crashed engine is down.
const RESTART_TIME: Duration = Duration::from_millis(50);
/// Time for which an engine whose listener outlives its answers still accepts connections.
const CLOSE_DELAY: Duration = Duration::from_millis(60);
/// Time in which instances read each other's announcements, which they do once a second,
/// and connect.
const CONNECT_TIME: Duration = Duration::from_millis(2_500);
/// Pause between two requests with the part.
const PAUSE: Duration = Duration::from_millis(400);

/// What happens as an engine crashes, after its answers broke off.
#[derive(Clone, Copy, Default)]
struct CrashSteps {
    /// Time for which the engine still accepts connections.
    close_delay: Duration,
    /// Whether its entry is removed before it stops to accept connections, and instances
    /// read that at once.
    is_unlisted_first: bool,
}

impl CrashSteps {
    /// Returns the settings of the instances.
    fn settings(&self) -> &'static str {
        match self.is_unlisted_first {
            true => "timing: {lease_ms: 900, usage_window_ms: 1000, stop_ms: 4000, drain_ms: 20}",
            false => "",
        }
    }
}

/// Engines that crash on [`CRASHING_PART`] and start again under another identifier.
struct Engines {
    crashes: Arc<AtomicUsize>,
    running: Arc<Mutex<Vec<RunningEngine>>>,
    _tasks: JoinSet<()>,
}

/// The present process of an engine.
#[derive(Clone)]
struct RunningEngine {
    server: AbortHandle,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Engines {
    fn start(store: &Store, steps: CrashSteps) -> Self {
        let crashes: Arc<AtomicUsize> = Arc::default();
        let running: Arc<Mutex<Vec<RunningEngine>>> = Arc::default();
        let mut tasks = JoinSet::new();
        for index in 0..ENGINES {
            tasks.spawn(run_engine(
                index,
                store.clone(),
                crashes.clone(),
                running.clone(),
                steps,
            ));
        }
        Self {
            crashes,
            running,
            _tasks: tasks,
        }
    }

    /// Ends engines for good, all at once. Returns how many of them had slow requests.
    fn lose(&self, count: usize) -> usize {
        let running = self.running.lock().unwrap();
        let mut busy = 0;
        for engine in running.iter().take(count) {
            engine.server.abort();
            let arrivals = engine.arrivals.lock().unwrap();
            busy += usize::from(arrivals.iter().any(is_slow));
        }
        busy
    }

    fn crashes(&self) -> usize {
        self.crashes.load(Ordering::SeqCst)
    }
}

/// Runs an engine, and starts it again after each crash.
async fn run_engine(
    index: usize,
    store: Store,
    crashes: Arc<AtomicUsize>,
    running: Arc<Mutex<Vec<RunningEngine>>>,
    steps: CrashSteps,
) {
    for start in 0.. {
        let id = format!("i-{index}-{start}");
        let crashed = Arc::new(Notify::new());
        let server: Arc<OnceLock<AbortHandle>> = Arc::default();
        let worker = {
            let (crashed, server, crashes) = (crashed.clone(), server.clone(), crashes.clone());
            let answer = move |arrival: &Arrival| {
                let answer = answer_unless_crashed(arrival);
                if answer.is_none() {
                    crashes.fetch_add(1, Ordering::SeqCst);
                    if steps.close_delay.is_zero() {
                        server.get().unwrap().abort();
                    }
                    crashed.notify_one();
                }
                answer
            };
            Worker::start(&id, answer).await
        };
        server.set(worker.server.abort_handle()).unwrap();
        running.lock().unwrap().push(RunningEngine {
            server: worker.server.abort_handle(),
            arrivals: worker.arrivals.clone(),
        });
        store.put(
            "keyed.servers",
            &id,
            &worker.entry("models", Some("decode")),
        );
        crashed.notified().await;
        if steps.is_unlisted_first {
            store.put("keyed.servers", &id, &serde_json::Value::Null);
        }
        sleep(steps.close_delay).await;
        server.get().unwrap().abort();
        sleep(RESTART_TIME).await;
        store.put("keyed.servers", &id, &serde_json::Value::Null);
    }
}

/// Returns the answer to a request, or `None` if the request crashes the engine.
fn answer_unless_crashed(arrival: &Arrival) -> WorkerAnswer {
    if is_slow(arrival) {
        return Some(stream(arrival, vec![Ok(EVENT); SLOW_EVENTS]));
    }
    let is_sound = !has_part(arrival, CRASHING_PART);
    is_sound.then(|| stream(arrival, vec![Ok(COMPLETE)]))
}

fn is_slow(arrival: &Arrival) -> bool {
    let id = arrival.header("request-id");
    id.is_some_and(|id| id.starts_with(SLOW_ID))
}

fn has_part(arrival: &Arrival, part: &str) -> bool {
    let prefix = arrival.header("prompt-prefix").unwrap_or("");
    let mut parts = prefix.split(',').filter_map(|part| part.split(':').next());
    parts.any(|id| id == part)
}

struct Fixture {
    store: Store,
    cloud: Cloud,
    engines: Engines,
    gateways: Vec<Gateway>,
}

impl Fixture {
    async fn start(instances: usize) -> Self {
        Self::start_with(instances, CrashSteps::default()).await
    }

    /// Starts instances, and engines that crash in these steps.
    async fn start_with(instances: usize, steps: CrashSteps) -> Self {
        let (store, cloud) = (Store::start().await, Cloud::start().await);
        // Requests have the time that they ask for.
        let mut configuration = configuration(1);
        for route in configuration["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = json!(PATIENT_TIMEOUT.as_millis() as u64);
        }
        store.put("keyed.op", "config", &configuration);
        let engines = Engines::start(&store, steps);
        let mut gateways = Vec::new();
        for index in 0..instances {
            let name = format!("entry-{index}");
            let gateway = Gateway::start_with(&name, &store, &cloud, steps.settings()).await;
            gateway.wait_until_ready().await;
            gateways.push(gateway);
        }
        let members = store.clone();
        eventually("all instances are announced", move || {
            members.state.lock().unwrap().newest("keyed.members").len() == instances
        })
        .await;
        sleep(CONNECT_TIME).await;
        Self {
            store,
            cloud,
            engines,
            gateways,
        }
    }

    /// Sends a prompt with these parts, and returns the status of a complete answer or of
    /// a refusal, or `None` if the answer broke off.
    async fn send(&self, instance: usize, id: &str, parts: &str) -> Option<u16> {
        self.send_body(instance, id, parts, id).await
    }

    /// Sends a prompt as [`send`](Self::send) does, on a route without retries.
    async fn send_once(&self, instance: usize, id: &str, parts: &str) -> Option<u16> {
        self.send_to("/once/", instance, id, parts, id).await
    }

    /// Sends a prompt as [`send`](Self::send) does, with a body of its own.
    async fn send_body(&self, instance: usize, id: &str, parts: &str, body: &str) -> Option<u16> {
        self.send_to("/chat/", instance, id, parts, body).await
    }

    async fn send_to(
        &self,
        path: &str,
        instance: usize,
        id: &str,
        parts: &str,
        body: &str,
    ) -> Option<u16> {
        // A slow answer that reaches its deadline on a busy machine would count as a failure of
        // its engine.
        let time = match id.starts_with(SLOW_ID) {
            true => PATIENT_TIMEOUT,
            false => Duration::from_secs(3),
        };
        let request = self.gateways[instance].request_within(time, Method::POST, path, id);
        let request = request
            .header("model", "m")
            .header("token-count", "900,20")
            .header("prompt-prefix", parts);
        let response = request.body(body.to_owned()).send().await.unwrap();
        let status = response.status().as_u16();
        response.text().await.ok().map(|_| status)
    }

    /// Sends four requests with the part, and returns the number of crashes.
    async fn crash_engines(&self) -> usize {
        for number in 0..4 {
            let id = format!("r-crashing-{number}");
            let instance = number % self.gateways.len();
            self.send(instance, &id, &crashing_parts(number)).await;
            sleep(PAUSE).await;
        }
        let crashes = self.engines.crashes();
        assert!(crashes <= MAX_CRASHES, "{crashes} crashes of engines");
        crashes
    }

    async fn wait_until_stored(&self) {
        let store = self.store.clone();
        eventually("the quarantine is stored", move || {
            let state = store.state.lock().unwrap();
            let newest = state.newest("keyed.members");
            newest.contains_key("quarantine/crashes")
        })
        .await;
    }

    /// Kills all instances, and starts one again.
    async fn restart_all(&mut self) {
        for gateway in self.gateways.drain(..) {
            gateway.kill();
        }
        let restarted = Gateway::start("entry-0", &self.store, &self.cloud).await;
        restarted.wait_until_ready().await;
        sleep(PAUSE * 3).await;
        self.gateways.push(restarted);
    }

    /// Checks that an instance refuses four other requests with the part.
    async fn expect_refusals(&self, instance: usize) {
        for number in 4..8 {
            let id = format!("r-crashing-{number}");
            let status = self.send(instance, &id, &crashing_parts(number)).await;
            assert_eq!(status, Some(503));
        }
    }
}

/// Returns the parts of a prompt with [`CRASHING_PART`], different for each number.
fn crashing_parts(number: usize) -> String {
    format!("{COMMON_PART}:400,{CRASHING_PART}:200,{number:x}1:300")
}

/// Returns the parts that all prompts of a session begin with.
fn session_parts(session: usize, parts: usize) -> String {
    let mut prefix = String::new();
    for part in 0..parts {
        prefix.push_str(&format!("5{session}{part:x}:3,"));
    }
    prefix
}

/// Guards against requests of one kind that crash engine after engine, because no
/// instance remembers what was in flight at the crashes before.
#[tokio::test]
async fn crashes_are_bounded() {
    let fixture = Fixture::start(2).await;
    for number in 0..12 {
        let id = format!("r-crashing-{number}");
        fixture.send(number % 2, &id, &crashing_parts(number)).await;
        sleep(PAUSE).await;
    }
    assert!(
        fixture.engines.crashes() <= MAX_CRASHES,
        "{} crashes of engines",
        fixture.engines.crashes()
    );
    send_sound(&fixture, 0..12).await;
}

/// Guards against engines that a part far back in a prompt crashes again and again, because
/// only the first parts of a prompt are suspected or reported.
#[tokio::test]
async fn far_part_suspected() {
    const PARTS: usize = 300;
    const SESSIONS: usize = 3;
    let fixture = Fixture::start(2).await;
    for number in 0..12 {
        let session = session_parts(number % SESSIONS, PARTS);
        let parts = format!("{session}{CRASHING_PART}:200,{number:x}1:300");
        fixture
            .send(number % 2, &format!("r-crashing-{number}"), &parts)
            .await;
        sleep(PAUSE).await;
        let sound = format!("{session}{number:x}2:300");
        let id = format!("r-sound-{number}");
        let status = fixture.send(number % 2, &id, &sound).await;
        assert_eq!(status, Some(200), "sound request {number}");
    }
    let crashes = fixture.engines.crashes();
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes of engines");
}

/// Guards against requests that come many at once and crash as many engines each time, because
/// the crashes of a burst count as one.
#[tokio::test]
async fn burst_crashes_bounded() {
    const BURST: usize = 6;
    let fixture = Fixture::start(3).await;
    for burst in 0..4 {
        let mut sending = Vec::new();
        for request in 0..BURST {
            let number = burst * BURST + request;
            let parts = format!("{number:x}3:400,{CRASHING_PART}:200,{number:x}1:300");
            let id = format!("r-crashing-{number}");
            let fixture = &fixture;
            sending.push(async move { fixture.send_once(number % 3, &id, &parts).await });
        }
        let statuses = join_all(sending).await;
        if burst > 0 {
            assert_eq!(statuses, [Some(503); BURST], "burst {burst}");
        }
        sleep(PAUSE).await;
    }
    assert!(
        fixture.engines.crashes() <= BURST,
        "{} crashes of engines",
        fixture.engines.crashes()
    );
}

/// Guards against refusals of requests with a frequent part after engines were lost all at
/// once, while such requests were in flight on them.
#[tokio::test]
async fn lost_engines_refuse_nobody() {
    const LOST: usize = 4;
    let fixture = Fixture::start(2).await;
    let slow = |number: usize| {
        let parts = format!("{COMMON_PART}:40,{number:x}4:400,{number:x}5:300");
        let id = format!("{SLOW_ID}{number}");
        let fixture = &fixture;
        async move { fixture.send(number % 2, &id, &parts).await }
    };
    let lose = async {
        sleep(PAUSE).await;
        send_sound(&fixture, 0..4).await;
        let busy = fixture.engines.lose(LOST);
        assert!(busy >= 3, "only {busy} of the lost engines were in use");
        // The crashes are noticed while no request with the part is answered.
        sleep(PAUSE / 2).await;
        send_sound(&fixture, 4..24).await;
    };
    join(join_all((0..24).map(slow)), lose).await;
}

/// Sends sound requests with the part that all prompts begin with.
async fn send_sound(fixture: &Fixture, numbers: std::ops::Range<usize>) {
    for number in numbers {
        let parts = format!("{COMMON_PART}:400,{number:x}2:300");
        let id = format!("r-sound-{number}");
        let status = fixture.send(number % 2, &id, &parts).await;
        assert_eq!(status, Some(200), "sound request {number}");
    }
}

/// Guards against crashes that are not noticed, because the engine still accepts connections
/// just after its answers broke off.
#[tokio::test]
async fn late_close_noticed() {
    let steps = CrashSteps {
        close_delay: CLOSE_DELAY,
        ..CrashSteps::default()
    };
    expect_few_crashes(steps).await;
}

/// Guards against crashes that are not noticed, because the platform's list no longer has the
/// engine by the time it is examined again.
#[tokio::test]
async fn early_removal_noticed() {
    let steps = CrashSteps {
        close_delay: CLOSE_DELAY,
        is_unlisted_first: true,
    };
    expect_few_crashes(steps).await;
}

async fn expect_few_crashes(steps: CrashSteps) {
    let fixture = Fixture::start_with(2, steps).await;
    for number in 0..12 {
        let id = format!("r-crashing-{number}");
        fixture
            .send_once(number % 2, &id, &crashing_parts(number))
            .await;
        sleep(PAUSE).await;
    }
    let crashes = fixture.engines.crashes();
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes of engines");
    send_sound(&fixture, 0..12).await;
}

/// Guards against a request that comes again unchanged and crashes engine after engine,
/// because no instance remembers under which requests engines crashed.
#[tokio::test]
async fn repeated_request_bounded() {
    let fixture = Fixture::start(2).await;
    let parts = crashing_parts(0);
    let mut statuses = Vec::new();
    for number in 0..12 {
        let id = format!("r-repeated-{number}");
        let status = fixture.send_body(number % 2, &id, &parts, "repeated").await;
        statuses.push(status);
        sleep(PAUSE).await;
    }
    let crashes = fixture.engines.crashes();
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes of engines");
    assert_eq!(statuses[8..], [Some(503); 4], "refused as not run");
}

/// Guards against an instance that starts later and crashes engines again, because its
/// peers do not tell it what they refuse.
#[tokio::test]
async fn later_instance_told() {
    let mut fixture = Fixture::start(2).await;
    let crashes = fixture.crash_engines().await;
    let later = Gateway::start("entry-later", &fixture.store, &fixture.cloud).await;
    later.wait_until_ready().await;
    sleep(PAUSE * 3).await;
    fixture.gateways.push(later);
    fixture.expect_refusals(2).await;
    assert_eq!(fixture.engines.crashes(), crashes);
}

/// Guards against a quarantine that ends as all instances are restarted.
#[tokio::test]
async fn restart_of_all_remembers() {
    let mut fixture = Fixture::start(1).await;
    let crashes = fixture.crash_engines().await;
    fixture.wait_until_stored().await;
    fixture.restart_all().await;
    fixture.expect_refusals(0).await;
    assert_eq!(fixture.engines.crashes(), crashes);
}

/// Guards against a quarantine that ends as all instances are restarted after a restore of
/// the store to a copy without it.
#[tokio::test]
async fn restore_keeps_quarantine() {
    let mut fixture = Fixture::start(2).await;
    let copy = fixture.store.copy();
    let crashes = fixture.crash_engines().await;
    fixture.wait_until_stored().await;
    fixture.store.restore(&copy);
    fixture.wait_until_stored().await;
    fixture.restart_all().await;
    fixture.expect_refusals(0).await;
    assert_eq!(fixture.engines.crashes(), crashes);
}
