//! Orders to engines with separate processes, while the instance that sends
//! them is killed, paused or stopped.

mod common;

use std::collections::HashMap;

use common::{
    cluster::{Cluster, ClusterOptions},
    process::wait_until,
};
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

const TIMING: &str = "  lease_ms: 1000\n  renew_ms: 300\n  drift_ms: 50\n  grace_ms: 200\n";

fn options(check_epoch: bool) -> ClusterOptions {
    ClusterOptions {
        engines: 3,
        plain_services: 1,
        engine_options: format!("check_epoch: {check_epoch}\nload_ms: 300\n"),
        timing: TIMING.to_owned(),
        ..ClusterOptions::default()
    }
}

/// Returns the document of the service `advice` with the given models; those that are
/// new have to be loaded by the engines.
fn document(models: &[&str], checks_fencing: bool) -> String {
    let mut text = include_str!("common/model.yaml").replace(
        "checks_fencing: true",
        &format!("checks_fencing: {checks_fencing}"),
    );
    let mut lines = String::from("models:\n");
    for model in models {
        let line = format!("  - name: {model}\n    version: \"1\"\n");
        lines.push_str(&line);
    }
    text = text.replace("models:\n  - name: norms-8b\n    version: \"1\"\n", &lines);
    text
}

/// Returns the fleet duty from an instance's status, even if its holder has
/// resigned.
async fn fleet_duty(cluster: &Cluster, observer: usize) -> Option<Value> {
    let status = cluster.status(&cluster.instances[observer]).await;
    let duties = status["duties"].as_array()?.clone();
    duties.into_iter().find(|duty| duty["duty"] == "fleet")
}

async fn wait_holder(cluster: &Cluster, observer: usize) -> usize {
    let held = || async {
        let duty = fleet_duty(cluster, observer).await;
        duty.is_some_and(|duty| duty["resigned"] == false)
    };
    wait_until("the fleet duty is held", held).await;
    let duty = fleet_duty(cluster, observer).await.expect("a holder");
    let name = duty["holder"].as_str().expect("a name");
    name.trim_start_matches("entry-").parse().expect("an index")
}

async fn wait_other_holder(cluster: &Cluster, observer: usize, former: usize) {
    let former = format!("entry-{former}");
    let taken_over = || async {
        let duty = fleet_duty(cluster, observer).await;
        duty.is_some_and(|duty| duty["holder"] != *former && duty["resigned"] == false)
    };
    wait_until("another instance holds the fleet duty", taken_over).await;
}

/// Waits until an engine has loaded a model.
async fn wait_model(cluster: &Cluster, model: &str) {
    let loaded = || async {
        for engine in &cluster.engines {
            let state = cluster.standin_json(engine, "/state").await;
            let models = state["models"].as_array().expect("a list").clone();
            if models.iter().any(|held| held["model"] == *model) {
                return true;
            }
        }
        false
    };
    wait_until("an engine holds the model", loaded).await;
}

/// Asserts that no engine accepted an order twice, under an older epoch than
/// that of an earlier order, or while it was still executing another one.
/// Returns the number of accepted orders.
async fn check_orders(cluster: &Cluster) -> usize {
    let mut total = 0;
    for engine in &cluster.engines {
        let received = cluster.standin_json(engine, "/orders").await;
        let mut orders: HashMap<u64, Value> = HashMap::new();
        let mut newest_epoch = 0;
        for entry in received.as_array().expect("a list") {
            if entry["accepted"] != true {
                continue;
            }
            total += 1;
            let epoch = entry["order"]["epoch"].as_u64().expect("an epoch");
            let order_id = entry["order"]["order_id"].as_u64().expect("an id");
            assert!(epoch >= newest_epoch, "a former holder's order: {entry}");
            newest_epoch = epoch;
            assert_eq!(entry["during_change"], false, "conflicting order: {entry}");
            let earlier = orders.insert(order_id, entry["order"].clone());
            assert!(earlier.is_none(), "an order was sent twice: {entry}");
        }
    }
    total
}

/// A peer takes over the fleet duty of a killed instance, and no order is sent twice.
#[tokio::test]
async fn killed_sender() {
    let mut cluster = Cluster::start("killed_sender", options(true)).await;
    let killed = wait_holder(&cluster, 0).await;
    let observer = (killed + 1) % cluster.instances.len();
    cluster
        .publish("more", &document(&["norms-8b", "tenders-8b"], true))
        .await;
    wait_model(&cluster, "tenders-8b").await;
    cluster.instances[killed].kill().await;
    wait_other_holder(&cluster, observer, killed).await;
    let models = ["norms-8b", "tenders-8b", "catalogue-8b"];
    let text = document(&models, true);
    publish_to_live(&cluster, &text).await;
    wait_model(&cluster, "catalogue-8b").await;
    assert!(check_orders(&cluster).await >= 2);
}

/// Publishes without `--wait`, which would wait for killed instances as well.
async fn publish_to_live(cluster: &Cluster, document: &str) {
    let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join("killed_sender.yaml");
    std::fs::write(&path, document).expect("the document can be written");
    let path = path.to_str().expect("the path is text").to_owned();
    let output = cluster.run_operator(&["service", "publish", &path]).await;
    assert!(output.0, "{}", output.1);
}

/// An instance that has lost the fleet duty while it was paused sends no order that
/// conflicts with those of the new holder, although the engines do not check fencing
/// tokens.
#[tokio::test]
async fn paused_sender() {
    let cluster = Cluster::start("paused_sender", options(false)).await;
    let paused = wait_holder(&cluster, 0).await;
    let observer = (paused + 1) % cluster.instances.len();
    cluster
        .publish("more", &document(&["norms-8b", "tenders-8b"], false))
        .await;
    cluster.instances[paused].pause().await;
    wait_other_holder(&cluster, observer, paused).await;
    wait_model(&cluster, "tenders-8b").await;
    cluster.instances[paused].resume().await;
    cluster
        .wait_instance_ready(&cluster.instances[paused])
        .await;
    let models = ["norms-8b", "tenders-8b", "catalogue-8b"];
    cluster.publish("yet-more", &document(&models, false)).await;
    wait_model(&cluster, "catalogue-8b").await;
    assert!(check_orders(&cluster).await >= 2);
}

/// An instance that stops hands the fleet duty over, and the published model is still
/// loaded.
#[tokio::test]
async fn stopped_sender() {
    let mut cluster = Cluster::start("stopped_sender", options(false)).await;
    let stopped = wait_holder(&cluster, 0).await;
    let observer = (stopped + 1) % cluster.instances.len();
    cluster
        .publish("more", &document(&["norms-8b", "tenders-8b"], false))
        .await;
    cluster.instances[stopped].terminate().await;
    assert!(cluster.instances[stopped].wait().await.success());
    wait_other_holder(&cluster, observer, stopped).await;
    wait_model(&cluster, "tenders-8b").await;
    assert!(check_orders(&cluster).await >= 1);
}

/// Returns the number of targets requested by the last accepted order of each
/// failure domain other than `reclaimed`. Asserts that the identifiers of a
/// group's orders increase and that their epochs never decrease.
async fn ordered_outside(cluster: &Cluster, reclaimed: &str) -> u64 {
    let received = cluster.standin_json(&cluster.platform, "/orders").await;
    let mut last: HashMap<String, Value> = HashMap::new();
    for entry in received.as_array().expect("a list") {
        if entry["accepted"] != true {
            continue;
        }
        let order = &entry["order"];
        let domain = order["failure_domain"].as_str().expect("a domain");
        let earlier = last.insert(domain.to_owned(), order.clone());
        let Some(earlier) = earlier else {
            continue;
        };
        assert!(earlier["order_id"].as_u64() < order["order_id"].as_u64());
        assert!(earlier["epoch"].as_u64() <= order["epoch"].as_u64());
    }
    let outside = last.iter().filter(|(domain, _)| *domain != reclaimed);
    let counts = outside.map(|(_, order)| order["count"].as_u64().expect("a count"));
    counts.sum()
}

/// Targets of a reclaimed failure domain are ordered in other domains, even if the
/// holder of the fleet duty is killed at the same time.
#[tokio::test]
async fn replaced_targets() {
    let options = ClusterOptions {
        engines: 4,
        ..options(true)
    };
    let mut cluster = Cluster::start("replaced_targets", options).await;
    let spending = "spending:\n  managed: true\n  min_targets: 2\n  max_targets: 4\n";
    let text = format!("{}{spending}", document(&["norms-8b"], true));
    cluster.publish("managed", &text).await;
    let ordered = || async { ordered_outside(&cluster, "").await >= 2 };
    wait_until("two targets are ordered", ordered).await;
    let killed = wait_holder(&cluster, 0).await;
    let url = format!("{}/targets/reclaim", cluster.platform_url());
    let group = json!({"kind": "engine", "failure_domain": "a"});
    let reclaim = json!({"group": group, "notice_ms": 500});
    let answer = cluster.http.post(url).json(&reclaim).send().await.unwrap();
    assert!(answer.status().is_success());
    // The duty's holder is killed while the failure domain is reclaimed.
    cluster.instances[killed].kill().await;
    let replaced = || async { ordered_outside(&cluster, "a").await >= 2 };
    wait_until("the targets are ordered elsewhere", replaced).await;
}

/// Sends requests one after the other until one has been sent after `stop` was
/// cancelled; asserts that all succeed. Returns the contents of the answers.
async fn send_until(request: reqwest::RequestBuilder, stop: CancellationToken) -> Vec<Value> {
    let mut answers = Vec::new();
    let mut last = false;
    while !last {
        last = stop.is_cancelled();
        let request = request.try_clone().expect("the body can be cloned");
        let answer = request.send().await.expect("an answer");
        assert_eq!(answer.status(), 200);
        let answer: Value = answer.json().await.expect("JSON");
        answers.push(answer["choices"][0]["message"]["content"].clone());
    }
    answers
}

/// While a further model is loaded, no request fails and no answer changes.
#[tokio::test]
async fn change_under_load() {
    let cluster = Cluster::start("change_under_load", options(true)).await;
    let stop = CancellationToken::new();
    let mut senders = Vec::new();
    for index in 0..9 {
        let request = cluster.chat(&cluster.instances[index % 3], "steady", 30);
        senders.push(tokio::spawn(send_until(request, stop.clone())));
    }
    cluster
        .publish("more", &document(&["norms-8b", "tenders-8b"], true))
        .await;
    wait_model(&cluster, "tenders-8b").await;
    stop.cancel();
    let mut answers = Vec::new();
    for sender in senders {
        answers.extend(sender.await.expect("all requests succeed"));
    }
    assert!(answers.iter().all(|answer| *answer == answers[0]));
    check_orders(&cluster).await;
}
