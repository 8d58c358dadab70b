//! Placements by a dispatcher, which other instances query by datagrams.

mod dispatch_datagrams;
mod platform_support;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use dispatch_datagrams::{
    frames::{
        Ended, Failure, Notice, Part, Placed, Prefilled, Prompt, Query, RefusalReason,
        datagram::Body,
    },
    peer_address, receive, send_to,
};
use hyper::Method;
use platform_support::{
    Cloud, DEADLINE, Gateway, Store, Worker, configuration, not_run, signed, stream,
};
use serde_json::{Value, json};
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep, timeout},
};

const COMPLETE: &str = "id: 1\ndata: a\n\nid: 2\nevent: end\ndata: b\n\n";

const PREFILLED: &str = r#"{"kv_handle":"h1","tokens":900,"version":1}"#;

const PROMPT_TOKENS: u32 = 9_000;

/// Tokens whose prefill takes longer than one failure costs, and less long than two cost.
const OCCUPIED_TOKENS: u32 = 34_000;

/// Dispatcher, and a socket from which it is queried as by another instance.
struct Fleet {
    store: Store,
    _cloud: Cloud,
    _workers: Vec<Worker>,
    gateway: Gateway,
    dispatcher: SocketAddr,
    socket: UdpSocket,
    next_number: AtomicU64,
}

impl Fleet {
    /// Starts a dispatcher with these engines and their roles.
    async fn start(workers: Vec<(Worker, &str)>) -> Self {
        let mut engines = Vec::new();
        for (worker, role) in workers {
            engines.push((worker, "models", role));
        }
        Self::start_services(engines).await
    }

    /// Starts a dispatcher with these engines, their services and roles. The configuration has
    /// only the service `models`.
    async fn start_services(engines: Vec<(Worker, &str, &str)>) -> Self {
        let (store, cloud) = (Store::start().await, Cloud::start().await);
        store.put("keyed.op", "config", &configuration(1));
        for (worker, service, role) in &engines {
            let entry = worker.entry(service, Some(role));
            store.put("keyed.servers", &worker.id, &entry);
        }
        let settings = "placement:\n  shared: true\n";
        let gateway = Gateway::start_with("entry-0", &store, &cloud, settings).await;
        gateway.wait_until_ready().await;
        let dispatcher = peer_address(&store, "entry-0").await;
        // Services get a timing profile some time after the start.
        sleep(Duration::from_secs(1)).await;
        Self {
            store,
            _cloud: cloud,
            _workers: engines.into_iter().map(|(worker, ..)| worker).collect(),
            gateway,
            dispatcher,
            socket: UdpSocket::bind("127.0.0.1:0").await.unwrap(),
            next_number: AtomicU64::new(1),
        }
    }

    async fn tell(&self, body: Body) {
        send_to(&self.socket, self.dispatcher, body).await;
    }

    /// Asks the dispatcher to place a prompt of which nothing is cached.
    async fn ask(&self, may_refuse: bool) -> Body {
        self.ask_for("models", may_refuse).await
    }

    /// Asks the dispatcher to place a prompt of a service of which nothing is cached.
    async fn ask_for(&self, service: &str, may_refuse: bool) -> Body {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let query = Query {
            number,
            service: service.into(),
            prompt: Some(prompt(number)),
            objective_ms: 500,
            event_objective_ms: 500,
            left_ms: 6_000,
            may_refuse,
            ..Query::default()
        };
        self.tell(Body::Query(query)).await;
        timeout(DEADLINE, receive(&self.socket)).await.unwrap().0
    }

    async fn place(&self) -> Option<Placed> {
        match self.ask(false).await {
            Body::Placed(placed) => Some(placed),
            _ => None,
        }
    }

    /// Asks where a prompt would be placed.
    async fn probe(&self) -> Placed {
        let placed = self.place().await.expect("not placed");
        let ended = Ended {
            number: placed.number,
            service: "models".into(),
        };
        self.tell(Body::Ended(ended)).await;
        placed
    }

    /// Reports a prompt of so many tokens on an engine that will not end.
    async fn occupy(&self, engine: &str, tokens: u32) {
        self.occupy_for("models", engine, tokens).await;
    }

    /// Reports a prompt of a service on an engine that will not end.
    async fn occupy_for(&self, service: &str, engine: &str, tokens: u32) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let notice = Notice {
            number,
            service: service.into(),
            prompt: Some(prompt(number)),
            target: engine.into(),
            local_prefill: true,
            uncached_tokens: tokens,
            left_ms: 600_000,
            ..Notice::default()
        };
        self.tell(Body::Notice(notice)).await;
    }

    /// Asks where a prompt of a service would be placed, again until the dispatcher places it
    /// or, if `is_placed` is false, until it declines. Returns the placement.
    async fn probe_until(&self, service: &str, is_placed: bool) -> Option<Placed> {
        let began_at = Instant::now();
        loop {
            let placed = match self.ask_for(service, false).await {
                Body::Placed(placed) => Some(placed),
                Body::Declined(_) => None,
                other => panic!("neither placed nor declined: {other:?}"),
            };
            if let Some(placed) = &placed {
                let ended = Ended {
                    number: placed.number,
                    service: service.into(),
                };
                self.tell(Body::Ended(ended)).await;
            }
            if placed.is_some() == is_placed {
                return placed;
            }
            assert!(began_at.elapsed() < DEADLINE, "still {placed:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the number of datagrams that instances of this process have ignored because of
    /// an unknown service.
    async fn ignored(&self) -> f64 {
        let url = format!("http://{}/metrics", self.gateway.metrics_address);
        let text = reqwest::get(url).await.unwrap().text().await.unwrap();
        let line = "dispatch_datagrams_ignored_total{cause=\"service\"} ";
        let mut counts = text.lines().filter_map(|text| text.strip_prefix(line));
        counts.next().map_or(0.0, |count| count.parse().unwrap())
    }

    /// Sends a prompt that the dispatcher receives itself.
    async fn send_own(&self, id: &str) -> bool {
        let request = self
            .gateway
            .request(Method::POST, "/chat/1", id)
            .header("model", "m")
            .header("token-count", "9000,20")
            .header("prompt-prefix", "a1:6000,b2:3000");
        let response = request.body("prompt").send().await.unwrap();
        response.status() == 200 && response.text().await.is_ok_and(|text| text == COMPLETE)
    }
}

fn prompt(id: u64) -> Prompt {
    let part = Part {
        id,
        tokens: PROMPT_TOKENS,
    };
    Prompt {
        prompt_tokens: PROMPT_TOKENS,
        max_output_tokens: 20,
        parts: vec![part],
    }
}

/// Returns a configuration that also has the service `drafts`.
fn with_drafts(version: u64) -> Value {
    let mut configuration = configuration(version);
    configuration["services"]
        .as_array_mut()
        .unwrap()
        .push(json!({
            "name": "drafts", "health_path": "/health", "max_conns": 100,
            "engine": {"slots": 64, "kv_tokens": 500_000, "switch_s": 3.0, "handle_ttl_s": 5.0},
        }));
    configuration
}

async fn decoding(id: &str) -> Worker {
    Worker::start(id, |arrival| Some(stream(arrival, vec![Ok(COMPLETE)]))).await
}

async fn prefilling(id: &str) -> Worker {
    Worker::start(id, |arrival| Some(signed(arrival, 200, PREFILLED))).await
}

/// An engine that refused a prompt of another instance and then prefills one must get prompts
/// as before. Otherwise it gets only one in each backoff period until the dispatcher's own
/// prompts, a small part of all, are answered there.
#[tokio::test(flavor = "multi_thread")]
async fn refusing_engine_recovers() {
    let fleet = Fleet::start(vec![(decoding("i-d").await, "decode")]).await;
    fleet.probe().await;
    for _ in 0..4 {
        let failure = Failure {
            target: "i-d".into(),
            refused: true,
        };
        fleet.tell(Body::Failure(failure)).await;
    }
    let placed = loop {
        if let Some(placed) = fleet.place().await {
            break placed;
        }
        sleep(Duration::from_millis(20)).await;
    };
    let prefilled = Prefilled {
        number: placed.number,
        service: "models".into(),
        elapsed_ms: 5,
    };
    fleet.tell(Body::Prefilled(prefilled)).await;
    for number in 0..10 {
        assert!(fleet.place().await.is_some(), "{number}");
    }
}

/// Before the profile predicts, the speeds of engines must not be learned from answers. They
/// would be compared with a constant, and engines that have answered would seem faster than
/// others.
#[tokio::test(flavor = "multi_thread")]
async fn speeds_need_profile() {
    let engines = vec![
        (prefilling("i-p").await, "prefill"),
        (decoding("i-d").await, "decode"),
    ];
    let fleet = Fleet::start(engines).await;
    let prior_ms = fleet.probe().await.first_event_ms;
    for number in 0..3 {
        assert!(fleet.send_own(&format!("s-{number}")).await);
    }
    assert_eq!(fleet.probe().await.first_event_ms, prior_ms);
}

/// A service whose engines all prefill and decode must see a shortage, too. Otherwise its most
/// urgent requests wait behind all others.
#[tokio::test(flavor = "multi_thread")]
async fn shortage_without_prefill_engines() {
    let fleet = Fleet::start(vec![(decoding("i-d").await, "decode")]).await;
    assert!(matches!(fleet.ask(true).await, Body::Placed(_)));
    // More than the objective, and less than callers wait.
    fleet.occupy("i-d", 20_000).await;
    match fleet.ask(true).await {
        Body::Refused(refused) => assert_eq!(refused.reason(), RefusalReason::Shortage),
        other => panic!("not refused: {other:?}"),
    }
}

/// A failed attempt of the dispatcher itself must count once against its engine, as those of
/// other instances do.
#[tokio::test(flavor = "multi_thread")]
async fn own_failures_counted_once() {
    let refused: Arc<Mutex<Option<String>>> = Arc::default();
    let mut engines = vec![(decoding("i-d").await, "decode")];
    for id in ["i-p0", "i-p1"] {
        let refused = refused.clone();
        let worker = Worker::start(id, move |arrival| {
            let mut refused = refused.lock().unwrap();
            if refused.is_some() || arrival.header("request-id").is_none() {
                return Some(signed(arrival, 200, PREFILLED));
            }
            *refused = Some(id.to_owned());
            Some(not_run(arrival))
        });
        engines.push((worker.await, "prefill"));
    }
    let fleet = Fleet::start(engines).await;
    assert!(fleet.send_own("f-1").await);
    let refusing = refused.lock().unwrap().clone().expect("nothing refused");
    let other = match &*refusing {
        "i-p0" => "i-p1",
        _ => "i-p0",
    };
    fleet.occupy(other, OCCUPIED_TOKENS).await;
    fleet.occupy("i-d", 10 * OCCUPIED_TOKENS).await;
    // Longer than the backoff after two refusals.
    sleep(Duration::from_millis(600)).await;
    assert_eq!(fleet.probe().await.target, refusing);
}

/// A dispatcher must keep nothing about services that are not in its configuration. Otherwise
/// datagrams with arbitrary names of services make its memory grow. It must decline to place
/// their prompts, so that the instance that asks decides itself, and place them once the
/// configuration has the service.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_services_ignored() {
    let engines = vec![
        (decoding("i-d").await, "models", "decode"),
        (decoding("i-draft").await, "drafts", "decode"),
    ];
    let fleet = Fleet::start_services(engines).await;
    let before = fleet.ignored().await;
    fleet.occupy_for("drafts", "i-draft", OCCUPIED_TOKENS).await;
    let answer = fleet.ask_for("drafts", true).await;
    assert!(matches!(answer, Body::Declined(_)), "{answer:?}");
    assert_eq!(fleet.ignored().await - before, 2.0);
    assert!(matches!(fleet.ask(true).await, Body::Placed(_)));

    fleet.store.put("keyed.op", "config", &with_drafts(2));
    let placed = fleet.probe_until("drafts", true).await.unwrap();
    assert_eq!((placed.requests, placed.queued_tokens), (0, 0));
    fleet.occupy_for("drafts", "i-draft", OCCUPIED_TOKENS).await;
    let placed = fleet.probe_until("drafts", true).await.unwrap();
    assert_eq!(placed.queued_tokens, OCCUPIED_TOKENS);

    // What is known of a service is dropped with the service.
    fleet.store.put("keyed.op", "config", &configuration(3));
    fleet.probe_until("drafts", false).await;
    fleet.store.put("keyed.op", "config", &with_drafts(4));
    let placed = fleet.probe_until("drafts", true).await.unwrap();
    assert_eq!((placed.requests, placed.queued_tokens), (0, 0));
}
