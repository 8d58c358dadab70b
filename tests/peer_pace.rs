//! Tests the interval and size of heartbeats, and the interval at which the live list is
//! polled.

use std::time::Duration;

use lavenderwind::peer::{
    BASE_HEARTBEAT_BYTES, HEARTBEAT_BYTES_PER_S, heartbeat_interval, list_interval,
    max_change_bytes,
};

const MIN_INTERVAL: Duration = Duration::from_millis(250);

#[test]
fn heartbeat_traffic_limited() {
    for links in 1..=512 {
        let interval = heartbeat_interval(links, MIN_INTERVAL);
        assert!(interval >= MIN_INTERVAL);
        let bytes = links * (BASE_HEARTBEAT_BYTES + max_change_bytes(links, interval));
        let bytes_per_s = bytes as f64 / interval.as_secs_f64();
        // Rounding adds up to one byte per link.
        let bound = HEARTBEAT_BYTES_PER_S as f64 + links as f64 / interval.as_secs_f64();
        assert!(bytes_per_s <= bound, "{links} links: {bytes_per_s} bytes/s");
    }
}

/// In a mesh of eight instances, heartbeats are sent at the minimum interval.
#[test]
fn small_mesh_interval() {
    assert_eq!(heartbeat_interval(7, MIN_INTERVAL), MIN_INTERVAL);
}

/// The poll interval grows with the length of the live list.
#[test]
fn poll_interval_grows() {
    let poll = Duration::from_millis(500);
    assert_eq!(list_interval(0, poll), poll);
    assert_eq!(list_interval(16, poll), poll);
    assert_eq!(list_interval(320, poll), poll * 20);
}
