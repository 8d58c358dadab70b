//! Memory of an instance while targets send answers without end.
//!
//! A file of its own, so that no other test takes memory in the same process.

mod platform_support;
mod raw_target;

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use futures_util::future::{join, join_all};
use hyper::Method;
use platform_support::{
    Arrival, Gateway, PATIENT_TIMEOUT, Worker, patient_configuration, signed, stream,
};
use raw_target::{End, RawTarget, SIGNED_HEAD, with_prompt};
use tokio::time::sleep;

/// Memory limit of the gateway in [`memory_bounded`], and number of answers without end.
const MEMORY_MB: u64 = 48;
const ENDLESS_ANSWERS: usize = 80;
/// Deadline of the requests that are answered without end.
const ENDLESS_TIME: Duration = Duration::from_secs(3);
/// Settings with which the instance stays ready while its calls to the store time out. The
/// answers without end keep its thread so busy that they do on a loaded machine.
const TIMING: &str =
    "timing: {lease_ms: 900, usage_window_ms: 1000, stop_ms: 4000, freshness_ms: 120000}";
/// Sound requests that each of a few callers sends meanwhile.
const SOUND_REQUESTS: usize = 30;

/// Start of an answer in chunks.
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nresponse-seal: 1.2.3\r\n\
                            transfer-encoding: chunked\r\n\r\n";

/// Guards against an instance that runs out of memory, and ends with all that sound targets
/// are answering, because each of many answers without end is buffered up to a limit.
#[tokio::test(flavor = "multi_thread")]
async fn memory_bounded() {
    for (start, repeated, path, what) in [
        (SIGNED_HEAD, "body", "/order/", "bodies"),
        (CHUNKED_HEAD, "1\r\nx\r\n", "/order/", "small chunks"),
        (SIGNED_HEAD, "data", "/once/", "events"),
    ] {
        let target = RawTarget::start(start, End::Repeat(repeated));
        let (service, role) = match path {
            "/order/" => ("desk", None),
            _ => ("models", Some("decode")),
        };
        let settings =
            format!("limits: {{memory_mb: {MEMORY_MB}, max_descriptors: 4100}}\n{TIMING}");
        let (store, _cloud, gateway) = target
            .start_gateway_with(service, role, &patient_configuration(1), &settings)
            .await;
        let (sound_path, sound_service) = match service {
            "desk" => ("/once/", ("models", Some("decode"))),
            _ => ("/look/", ("desk", None)),
        };
        let sound = Worker::start("i-sound", |arrival: &Arrival| {
            Some(match arrival.path.as_str() {
                "/once/" => stream(arrival, vec![Ok("id: 1\ndata: a\n\n"); 10]),
                _ => signed(arrival, 200, "done"),
            })
        })
        .await;
        store.put(
            "keyed.servers",
            "i-sound",
            &sound.entry(sound_service.0, sound_service.1),
        );
        store.wait_until_applied("keyed.servers").await;
        let before_mb = memory_mb();
        let peak = AtomicU64::new(0);
        let endless = (0..ENDLESS_ANSWERS).map(|_| send(&gateway, path, "r-1", ENDLESS_TIME));
        let sound = (0..4).map(|caller| send_sound(&gateway, sound_path, caller));
        let watching = watch_memory(&peak);
        tokio::select! {
            _ = join(join_all(endless), join_all(sound)) => {}
            () = watching => {}
        }
        let grown_mb = peak.load(Ordering::SeqCst).saturating_sub(before_mb);
        assert!(grown_mb < MEMORY_MB, "{what}: {grown_mb} MB more");
        target.check_closed(&gateway, what).await;
    }
}

async fn send(gateway: &Gateway, path: &str, id: &str, time: Duration) -> Option<u16> {
    let request = with_prompt(gateway.request_within(time, Method::POST, path, id));
    let response = request.body("x").send().await.unwrap();
    let status = response.status().as_u16();
    response.bytes().await.ok().map(|_| status)
}

async fn send_sound(gateway: &Gateway, path: &str, caller: usize) {
    for number in 0..SOUND_REQUESTS {
        let id = format!("r-sound-{caller}-{number}");
        let status = send(gateway, path, &id, PATIENT_TIMEOUT).await;
        assert_eq!(status, Some(200), "sound request {number}");
    }
}

/// Keeps the peak of this process's memory. Never returns.
async fn watch_memory(peak_mb: &AtomicU64) {
    loop {
        peak_mb.fetch_max(memory_mb(), Ordering::SeqCst);
        sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the memory that this process has for itself, in megabytes.
fn memory_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("RssAnon:"));
    let kilobytes = line.unwrap().split_whitespace().nth(1).unwrap();
    kilobytes.parse::<u64>().unwrap() >> 10
}
