//! Placement of the prompts of all instances by one of them, over real connections.

mod dispatch_datagrams;
mod platform_support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dispatch_datagrams::{
    frames::{Ended, Failure, Part, Placed, Prompt, Query, Refused, datagram::Body},
    peer_address, receive, send_to,
};
use hyper::Method;
use indexmap::IndexSet;
use lavenderwind::peer::rendezvous_order;
use platform_support::{
    Cloud, DEADLINE, Gateway, Store, Worker, configuration, eventually, signed, stream,
};
use tokio::{
    net::UdpSocket,
    sync::Mutex,
    task::JoinHandle,
    time::{sleep, timeout},
};

const SHARED: &str = "placement:\n  shared: true\n";

const COMPLETE: &str = "id: 1\ndata: a\n\nid: 2\nevent: end\ndata: b\n\n";

/// Held by each test, as all count queries in the metrics of this process.
static METRICS: Mutex<()> = Mutex::const_new(());

/// Store, engines and instances with shared placement.
struct Fleet {
    store: Store,
    _cloud: Cloud,
    _workers: Vec<Worker>,
    gateways: Vec<Gateway>,
}

async fn start_fleet(instances: usize) -> Fleet {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let mut workers = Vec::new();
    for index in 0..2 {
        let (prefill_id, decode_id) = (format!("i-p{index}"), format!("i-d{index}"));
        let prefill = Worker::start(&prefill_id, |arrival| {
            let body = r#"{"kv_handle":"h1","tokens":900,"version":1}"#;
            Some(signed(arrival, 200, body))
        });
        let prefill = prefill.await;
        store.put(
            "keyed.servers",
            &prefill.id,
            &prefill.entry("models", Some("prefill")),
        );
        let decode = Worker::start(&decode_id, |arrival| {
            Some(stream(arrival, vec![Ok(COMPLETE)]))
        });
        let decode = decode.await;
        store.put(
            "keyed.servers",
            &decode.id,
            &decode.entry("models", Some("decode")),
        );
        workers.extend([prefill, decode]);
    }
    let mut gateways = Vec::new();
    for index in 0..instances {
        let name = format!("entry-{index}");
        let gateway = Gateway::start_with(&name, &store, &cloud, SHARED).await;
        gateway.wait_until_ready().await;
        gateways.push(gateway);
    }
    Fleet {
        store,
        _cloud: cloud,
        _workers: workers,
        gateways,
    }
}

/// Sends a prompt and returns whether it was answered completely.
async fn is_answered(gateway: &Gateway, id: &str) -> bool {
    is_prompt_answered(gateway, id, "a1:6000,b2:3000").await
}

/// Sends a prompt that consists of `parts`, and returns whether it was answered completely.
async fn is_prompt_answered(gateway: &Gateway, id: &str, parts: &str) -> bool {
    let request = gateway
        .request(Method::POST, "/chat/1", id)
        .header("model", "m")
        .header("token-count", "9000,20")
        .header("prompt-prefix", parts);
    let response = request.body("prompt").send().await.unwrap();
    let is_success = response.status() == 200;
    is_success && response.text().await.is_ok_and(|text| text == COMPLETE)
}

/// Returns the number of queries of all instances in this process with an outcome.
async fn queries(gateway: &Gateway, outcome: &str) -> f64 {
    let series = format!("dispatch_queries_total{{outcome=\"{outcome}\"}}");
    counted(gateway, &series).await
}

/// Returns the value of a counter of this process.
async fn counted(gateway: &Gateway, series: &str) -> f64 {
    let url = format!("http://{}/metrics", gateway.metrics_address);
    let text = reqwest::get(url).await.unwrap().text().await.unwrap();
    let line = format!("{series} ");
    let mut counts = text.lines().filter_map(|text| text.strip_prefix(&line));
    counts.next().map_or(0.0, |count| count.parse().unwrap())
}

/// What instances have told a dispatcher, by numbers of placements.
#[derive(Default)]
struct Reports {
    queries: IndexSet<u64>,
    notices: IndexSet<u64>,
    ended: IndexSet<u64>,
}

/// Waits for the next query and returns its number and its sender. Records the reports that
/// arrive before.
async fn next_query(socket: &UdpSocket, reports: &std::sync::Mutex<Reports>) -> (u64, SocketAddr) {
    loop {
        let (body, from) = receive(socket).await;
        let mut reports = reports.lock().unwrap();
        match body {
            Body::Query(query) => return (query.number, from),
            Body::Notice(notice) => _ = reports.notices.insert(notice.number),
            Body::Ended(ended) => _ = reports.ended.insert(ended.number),
            _ => {}
        }
    }
}

/// Dispatcher that lets instances find no engine: it reports each engine as unreachable, and
/// answers every other query with an engine that does not exist. It answers no others.
fn start_misleading_dispatcher(
    socket: UdpSocket,
    engine: &str,
) -> (JoinHandle<()>, Arc<std::sync::Mutex<Reports>>) {
    let reports: Arc<std::sync::Mutex<Reports>> = Arc::default();
    let (heard, engine) = (reports.clone(), engine.to_owned());
    let task = tokio::spawn(async move {
        loop {
            let (number, from) = next_query(&socket, &heard).await;
            for _ in 0..5 {
                let failure = Failure {
                    target: engine.clone(),
                    refused: false,
                };
                send_to(&socket, from, Body::Failure(failure)).await;
            }
            let is_answered = {
                let mut heard = heard.lock().unwrap();
                heard.queries.insert(number);
                heard.queries.len() % 2 == 1
            };
            if is_answered {
                let placed = Placed {
                    number,
                    target: "i-none".into(),
                    ..Placed::default()
                };
                send_to(&socket, from, Body::Placed(placed)).await;
            }
        }
    });
    (task, reports)
}

/// Dispatcher each of whose queries is refused from `foreign`, another address, first. It then
/// places every other one on `engine`, beginning with the first, and does not answer the others.
fn start_outrun_dispatcher(
    socket: UdpSocket,
    foreign: UdpSocket,
    engine: &str,
) -> (JoinHandle<()>, Arc<std::sync::Mutex<Reports>>) {
    let reports: Arc<std::sync::Mutex<Reports>> = Arc::default();
    let (heard, engine) = (reports.clone(), engine.to_owned());
    let task = tokio::spawn(async move {
        loop {
            let (number, from) = next_query(&socket, &heard).await;
            let refused = Refused {
                number,
                retry_after_ms: 900,
                ..Refused::default()
            };
            send_to(&foreign, from, Body::Refused(refused)).await;
            let (index, _) = heard.lock().unwrap().queries.insert_full(number);
            if index % 2 == 0 {
                let placed = Placed {
                    number,
                    target: engine.clone(),
                    local_prefill: true,
                    ..Placed::default()
                };
                send_to(&socket, from, Body::Placed(placed)).await;
            }
        }
    });
    (task, reports)
}

/// Asks a dispatcher to place a prompt of one part, and returns the predicted time to the
/// first event.
async fn predicted_ms(dispatcher: SocketAddr, part: u64) -> u32 {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let part = Part {
        id: part,
        tokens: 9_000,
    };
    let query = Query {
        number: 1,
        service: "models".into(),
        prompt: Some(Prompt {
            prompt_tokens: 9_000,
            max_output_tokens: 20,
            parts: vec![part],
        }),
        objective_ms: 500,
        event_objective_ms: 500,
        left_ms: 3_000,
        ..Query::default()
    };
    send_to(&socket, dispatcher, Body::Query(query)).await;
    match timeout(DEADLINE, receive(&socket)).await.unwrap() {
        (Body::Placed(placed), _) => {
            let ended = Ended {
                number: placed.number,
                service: "models".into(),
            };
            send_to(&socket, dispatcher, Body::Ended(ended)).await;
            placed.first_event_ms
        }
        (other, _) => panic!("not placed: {other:?}"),
    }
}

/// Each instance must ask the dispatcher and use its answer; with a setting that has no effect,
/// instances would go on placing prompts blindly.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn dispatcher_asked() {
    let _metrics = METRICS.lock().await;
    let fleet = start_fleet(3).await;
    let first = &fleet.gateways[0];
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        let before = queries(first, "placed").await;
        let mut sent = 0;
        while queries(first, "placed").await < before + 3.0 {
            sent += 1;
            assert!(sent < 200, "entry-{index} gets no placements");
            assert!(is_answered(gateway, &format!("r-{index}-{sent}")).await);
        }
    }
}

/// Requests must be answered while instances, the dispatcher among them, are killed one after
/// the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn dispatcher_killed() {
    let _metrics = METRICS.lock().await;
    let mut fleet = start_fleet(3).await;
    let mut number = 0;
    while fleet.gateways.len() > 1 {
        for gateway in &fleet.gateways {
            for _ in 0..5 {
                number += 1;
                assert!(is_answered(gateway, &format!("k-{number}")).await);
            }
        }
        fleet.gateways.remove(0).kill();
    }
    for _ in 0..20 {
        number += 1;
        assert!(is_answered(&fleet.gateways[0], &format!("k-{number}")).await);
        sleep(Duration::from_millis(20)).await;
    }
    // The last instance becomes its own dispatcher.
    let mut before = queries(&fleet.gateways[0], "placed").await;
    for _ in 0..300 {
        number += 1;
        assert!(is_answered(&fleet.gateways[0], &format!("k-{number}")).await);
        let placed = queries(&fleet.gateways[0], "placed").await;
        if placed > before {
            return;
        }
        before = placed;
        sleep(Duration::from_millis(50)).await;
    }
    panic!("no placements after the other instances were killed");
}

/// Without the setting no instance may be asked, as earlier deployments are served as before.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn off_by_default() {
    let _metrics = METRICS.lock().await;
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let worker = Worker::start("i-d9", |arrival| Some(stream(arrival, vec![Ok(COMPLETE)]))).await;
    let entry = worker.entry("models", Some("decode"));
    store.put("keyed.servers", &worker.id, &entry);
    let gateway = Gateway::start("entry-9", &store, &cloud).await;
    gateway.wait_until_ready().await;
    let before = queries(&gateway, "placed").await + queries(&gateway, "unanswered").await;
    assert!(is_answered(&gateway, "d-1").await);
    eventually("the request arrives", || worker.count() > 0).await;
    let after = queries(&gateway, "placed").await + queries(&gateway, "unanswered").await;
    assert_eq!(before, after);
}

/// An instance that can use no placement of the dispatcher, or gets none in time, and finds no
/// engine itself must end the placement. Otherwise it counts against its engine until the
/// deadline of the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unusable_placement_ended() {
    let _metrics = METRICS.lock().await;
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let worker = Worker::start("i-d", |arrival| Some(stream(arrival, vec![Ok(COMPLETE)]))).await;
    let entry = worker.entry("models", Some("decode"));
    store.put("keyed.servers", &worker.id, &entry);
    let names: [Arc<str>; 2] = ["entry-0".into(), "entry-1".into()];
    let order = rendezvous_order("models", &names);
    // The first instance does not use its address for datagrams, as it has no shared placement.
    let first = Gateway::start(order[0], &store, &cloud).await;
    let socket = UdpSocket::bind(peer_address(&store, order[0]).await).await;
    let (dispatcher, reports) = start_misleading_dispatcher(socket.unwrap(), "i-d");
    let gateway = Gateway::start_with(order[1], &store, &cloud, SHARED).await;
    gateway.wait_until_ready().await;
    let mut sent = 0;
    while reports.lock().unwrap().queries.len() < 6 {
        sent += 1;
        assert!(sent < 400, "the dispatcher is not asked");
        is_answered(&gateway, &format!("u-{sent}")).await;
        sleep(Duration::from_millis(20)).await;
    }
    eventually("all placements are ended", || {
        let reports = reports.lock().unwrap();
        reports.queries.is_subset(&reports.ended)
    })
    .await;
    assert_eq!(
        reports.lock().unwrap().notices.len(),
        0,
        "an engine was found"
    );
    dispatcher.abort();
    drop(first);
}

/// An instance must ignore answers from addresses that it did not query, and still use the answer
/// of the dispatcher, or decide itself if there is none. Otherwise a foreign datagram can refuse
/// requests, or choose their engines.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn foreign_answers_ignored() {
    let _metrics = METRICS.lock().await;
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let worker = Worker::start("i-d", |arrival| Some(stream(arrival, vec![Ok(COMPLETE)]))).await;
    let entry = worker.entry("models", Some("decode"));
    store.put("keyed.servers", &worker.id, &entry);
    let names: [Arc<str>; 2] = ["entry-0".into(), "entry-1".into()];
    let order = rendezvous_order("models", &names);
    // The first instance does not use its address for datagrams, as it has no shared placement.
    let first = Gateway::start(order[0], &store, &cloud).await;
    let socket = UdpSocket::bind(peer_address(&store, order[0]).await).await;
    let foreign = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let (dispatcher, reports) = start_outrun_dispatcher(socket.unwrap(), foreign, "i-d");
    let gateway = Gateway::start_with(order[1], &store, &cloud, SHARED).await;
    gateway.wait_until_ready().await;
    let ignored = "dispatch_datagrams_ignored_total{cause=\"sender\"}";
    let ignored_before = counted(&gateway, ignored).await;
    let (mut sent, mut placed, mut decided_alone) = (0, 0, 0);
    while placed < 3 || decided_alone < 3 {
        sent += 1;
        assert!(sent < 400, "{placed} placed, {decided_alone} decided alone");
        assert!(is_answered(&gateway, &format!("f-{sent}")).await);
        sleep(Duration::from_millis(20)).await;
        let reports = reports.lock().unwrap();
        (placed, decided_alone) = (0, 0);
        for number in reports.queries.intersection(&reports.ended) {
            // An instance sends a notice of each placement that it decides on itself.
            match reports.notices.contains(number) {
                true => decided_alone += 1,
                false => placed += 1,
            }
        }
    }
    let ignored = counted(&gateway, ignored).await - ignored_before;
    assert!(ignored >= f64::from(placed), "{ignored} answers ignored");
    dispatcher.abort();
    drop(first);
}

/// The dispatcher must observe the prompts that it has received itself once. If they count
/// twice, its timing profile follows its own prompts more than those of others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn own_prompts_observed_once() {
    let _metrics = METRICS.lock().await;
    let fleet = start_fleet(1).await;
    let gateway = &fleet.gateways[0];
    let dispatcher = peer_address(&fleet.store, "entry-0").await;
    // Services get a timing profile some time after the start.
    sleep(Duration::from_secs(1)).await;
    // Until the profile has observed more than four prefills, it predicts a constant time for
    // each token. The engines of this test take far less.
    let learned_ms = predicted_ms(dispatcher, 1).await / 4;
    let before = queries(gateway, "placed").await;
    for number in 1..=4 {
        let parts = format!("a{number}:6000,b{number}:3000");
        assert!(is_prompt_answered(gateway, &format!("o-{number}"), &parts).await);
    }
    let placed = queries(gateway, "placed").await - before;
    assert!(
        placed >= 2.0,
        "{placed} prompts were placed by the dispatcher"
    );
    let predicted = predicted_ms(dispatcher, 2).await;
    assert!(predicted > learned_ms, "{predicted} ms after four prompts");
    let mut number = 4;
    while predicted_ms(dispatcher, 1_000 + number).await > learned_ms {
        number += 1;
        assert!(number < 200, "nothing learned");
        let parts = format!("a{number}:6000,b{number}:3000");
        assert!(is_prompt_answered(gateway, &format!("o-{number}"), &parts).await);
    }
}
