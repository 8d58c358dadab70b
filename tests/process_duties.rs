//! Duties and usage reports with separate processes that are killed or paused.

mod common;

use common::{
    cluster::{Cluster, ClusterOptions},
    process::{Process, wait_until},
};
use indexmap::IndexMap;
use serde_json::{Value, json};

const TIMING: &str = "  lease_ms: 1000\n  renew_ms: 300\n  usage_window_ms: 1000\n";

fn options() -> ClusterOptions {
    ClusterOptions {
        timing: TIMING.to_owned(),
        ..ClusterOptions::default()
    }
}

/// Returns a duty from an instance's status, unless its holder has resigned.
async fn duty(cluster: &Cluster, instance: &Process, name: &str) -> Option<Value> {
    let status = cluster.status(instance).await;
    let duties = status["duties"].as_array()?.clone();
    duties
        .into_iter()
        .find(|duty| duty["duty"] == name && duty["resigned"] == false)
}

async fn wait_for_holder(cluster: &Cluster, name: &str) -> (usize, Value) {
    let held = || async { duty(cluster, &cluster.instances[0], name).await.is_some() };
    wait_until("the duty is held", held).await;
    let duty = duty(cluster, &cluster.instances[0], name)
        .await
        .expect("a holder");
    let holder = duty["holder"].as_str().expect("a name");
    let index = holder
        .trim_start_matches("entry-")
        .parse()
        .expect("an index");
    (index, duty)
}

/// Asserts that every window was always reported with the same figures; returns
/// the figures by window.
async fn check_windows(cluster: &Cluster) -> IndexMap<u64, Value> {
    let mut windows: IndexMap<u64, Value> = IndexMap::new();
    let received = cluster.standin_json(&cluster.platform, "/usage").await;
    for entry in received.as_array().expect("a list") {
        assert_ne!(entry["verdict"], "conflict", "{entry}");
        let window = entry["report"]["window"].as_u64().expect("a window");
        let figures = entry["report"]["figures"].clone();
        let known = windows.entry(window).or_insert_with(|| figures.clone());
        assert_eq!(*known, figures, "window {window}");
    }
    windows
}

fn total_requests(windows: &IndexMap<u64, Value>) -> u64 {
    let mut total = 0;
    for figures in windows.values() {
        for line in figures.as_array().expect("a list") {
            total += line["requests"].as_u64().expect("a count");
        }
    }
    total
}

async fn send_chats(cluster: &Cluster, instance: usize, count: usize) {
    for index in 0..count {
        let prompt = format!("prompt {index}");
        let answer = cluster
            .chat(&cluster.instances[instance], &prompt, 3)
            .send()
            .await
            .unwrap();
        assert_eq!(answer.status(), 200);
        answer.bytes().await.unwrap();
    }
}

/// A peer takes over a killed holder's duty under a higher epoch.
#[tokio::test]
async fn killed_holder() {
    let mut cluster = Cluster::start("killed_holder", options()).await;
    let (holder, before) = wait_for_holder(&cluster, "usage").await;
    cluster.instances[holder].kill().await;
    let observer = (holder + 1) % 3;
    let taken_over = || async {
        let now = duty(&cluster, &cluster.instances[observer], "usage").await;
        now.is_some_and(|now| now["holder"] != before["holder"])
    };
    wait_until("a peer takes over the duty", taken_over).await;
    let after = duty(&cluster, &cluster.instances[observer], "usage")
        .await
        .unwrap();
    assert!(after["epoch"].as_u64() > before["epoch"].as_u64());
}

/// The holder of the usage duty resumes after a peer has taken the duty over. Usage
/// must not be reported twice.
#[tokio::test]
async fn paused_holder() {
    let cluster = Cluster::start("paused_holder", options()).await;
    let (holder, before) = wait_for_holder(&cluster, "usage").await;
    let observer = (holder + 1) % 3;
    send_chats(&cluster, observer, 5).await;
    cluster.instances[holder].pause().await;
    let taken_over = || async {
        let now = duty(&cluster, &cluster.instances[observer], "usage").await;
        now.is_some_and(|now| now["holder"] != before["holder"])
    };
    wait_until("a peer takes over the duty", taken_over).await;
    cluster.instances[holder].resume().await;
    send_chats(&cluster, observer, 5).await;
    let all_reported = || async { total_requests(&check_windows(&cluster).await) == 10 };
    wait_until("all usage is reported once", all_reported).await;
}

/// Usage reports take effect, but some of their answers are lost, so that those reports
/// are repeated.
/// Usage must not be reported twice.
#[tokio::test]
async fn lost_acknowledgements() {
    let cluster = Cluster::start("lost_acknowledgements", options()).await;
    let faults = json!({"usage": {"lose_probability": 0.7, "seed": 11}});
    cluster.set_faults(&cluster.platform, faults).await;
    for instance in 0..3 {
        send_chats(&cluster, instance, 4).await;
    }
    let all_reported = || async { total_requests(&check_windows(&cluster).await) == 12 };
    wait_until("all usage is reported once", all_reported).await;
}

/// The usage of a killed instance is reported from the copy that a peer has.
#[tokio::test]
async fn killed_source() {
    let mut cluster = Cluster::start("killed_source", options()).await;
    send_chats(&cluster, 0, 6).await;
    send_chats(&cluster, 1, 4).await;
    // Heartbeats carry a copy of the unflushed usage slices to a peer.
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    cluster.instances[0].kill().await;
    let all_reported = || async { total_requests(&check_windows(&cluster).await) == 10 };
    wait_until("the killed instance's usage is reported", all_reported).await;
}

/// A duty whose holder is killed during an outage of the log keeps its epoch until
/// the outage has ended.
#[tokio::test]
async fn outage_takeover() {
    let mut cluster = Cluster::start("outage_takeover", options()).await;
    let (holder, before) = wait_for_holder(&cluster, "usage").await;
    cluster
        .set_faults(&cluster.platform, json!({"log": {"outage": true}}))
        .await;
    cluster.instances[holder].kill().await;
    let observer = (holder + 1) % 3;
    let unchanged = duty(&cluster, &cluster.instances[observer], "usage")
        .await
        .unwrap();
    assert_eq!(unchanged["epoch"], before["epoch"]);
    cluster.set_faults(&cluster.platform, json!({})).await;
    let taken_over = || async {
        let now = duty(&cluster, &cluster.instances[observer], "usage").await;
        now.is_some_and(|now| now["holder"] != before["holder"])
    };
    wait_until("a peer takes over the duty", taken_over).await;
}
