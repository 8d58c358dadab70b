//! Tests that the gateway keeps serving requests while nothing reads from its standard
//! output. Log lines that do not fit into the buffer are dropped and counted.

mod platform_support;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};

use platform_support::{Cloud, DEADLINE, Store, configuration};
use serde_json::Value;
use tokio::time::{sleep, timeout};

/// Number of requests; their log lines exceed the capacity of the pipe and the
/// buffer together.
const REQUESTS: usize = 9_000;

/// Gateway process, killed when dropped.
struct Gateway(Child);

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[tokio::test]
async fn shut_pipe() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let any_port = "127.0.0.1:0";
    let settings = format!(
        "name: entry-1\nfailure_domain: z1\ncaller_address: {any_port}\nreadiness_address: {any_port}\n\
         peer_address: {any_port}\nmetrics_address: {any_port}\nstore_address: {}\ncloud_address: {}\n\
         logging: {{format: json}}\n",
        store.address(),
        cloud.server.address
    );
    let path = std::env::temp_dir().join(format!("lavenderwind-log-{}.yaml", std::process::id()));
    std::fs::write(&path, settings).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_lavenderwind"))
        .args(["gateway", "--settings"])
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let stdout = child.stdout.take().unwrap();
    let _gateway = Gateway(child);
    // The reader stops after the startup line. The pipe stays open and fills up.
    let (reader, started) = tokio::task::spawn_blocking(move || {
        let mut reader = BufReader::new(stdout);
        let started = read_until(&mut reader, "gateway: started");
        (reader, started)
    })
    .await
    .unwrap();
    std::fs::remove_file(&path).unwrap();
    let address = |field: &str| -> SocketAddr { started[field].as_str().unwrap().parse().unwrap() };
    let callers = format!("http://{}/nowhere/", address("callers"));
    let metrics = format!("http://{}/metrics", address("metrics"));
    let client = reqwest::Client::new();
    let send_requests = async {
        for index in 0..REQUESTS {
            let request = client
                .get(&callers)
                .header("request-id", format!("r-{index}"));
            let response = request.send().await.unwrap();
            assert!(matches!(response.status().as_u16(), 404 | 503));
        }
    };
    let time_limit = DEADLINE * 4;
    assert!(
        timeout(time_limit, send_requests).await.is_ok(),
        "requests did not complete in time"
    );
    let wait_for_count = async {
        loop {
            let text = client
                .get(&metrics)
                .send()
                .await
                .unwrap()
                .text()
                .await
                .unwrap();
            let dropped = text
                .lines()
                .find_map(|line| line.strip_prefix("log_lines_dropped_total "));
            if dropped.is_some_and(|count| count.parse::<f64>().unwrap() > 0.0) {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    assert!(
        timeout(time_limit, wait_for_count).await.is_ok(),
        "dropped log lines were not counted"
    );
    drop(reader);
}

/// Reads log lines until one has this message, and returns that line.
fn read_until<R>(reader: &mut R, message: &str) -> Value
where
    R: BufRead,
{
    loop {
        let mut line = String::new();
        assert_ne!(reader.read_line(&mut line).unwrap(), 0, "the log ended");
        let line: Value = serde_json::from_str(&line).unwrap();
        if line["message"] == message {
            return line;
        }
    }
}
