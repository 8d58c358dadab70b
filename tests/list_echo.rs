//! Reports of the list of targets on a connection between instances.

mod peer_net;

use std::time::Duration;

use lavenderwind::{
    peer::{
        ListCopy,
        frames::{Heartbeat, Hello, frame::Body},
    },
    standin::platform::PlatformFaults,
};
use peer_net::{Instance, eventually, platform, receive_frame, send_frame, within};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep},
};

/// Time for which a heartbeat is held back. Shorter than the silence after which the
/// connection is closed.
const HELD_BACK: Duration = Duration::from_millis(600);

/// A simulated peer.
struct TestPeer {
    stream: TcpStream,
}

impl TestPeer {
    async fn connect(instance: &Instance) -> Self {
        let stream = TcpStream::connect(instance.peer_address).await.unwrap();
        let mut peer = Self { stream };
        let hello = Body::Hello(Hello {
            sender: "x".into(),
            incarnation: 5,
            failure_domain: "d2".into(),
            accepts_packed_amounts: false,
        });
        peer.send(hello).await;
        peer
    }

    async fn send(&mut self, body: Body) {
        send_frame(&mut self.stream, body).await;
    }

    /// Receives frames until a heartbeat arrives.
    async fn heartbeat(&mut self) -> Heartbeat {
        let receive = async {
            loop {
                let body = receive_frame(&mut self.stream).await.unwrap();
                if let Body::Heartbeat(heartbeat) = body {
                    return heartbeat;
                }
            }
        };
        within("heartbeat", receive).await
    }
}

/// Guards against a confirmation that counts from the arrival of a heartbeat that was held
/// back, and against one by a heartbeat without a digest.
#[tokio::test]
async fn held_back_heartbeat() {
    let platform = platform(PlatformFaults::default()).await;
    let instance = Instance::start("a", &platform).await;
    let mut peer = TestPeer::connect(&instance).await;
    let echoed = peer.heartbeat().await;
    let received_at = Instant::now();
    let mut response = Heartbeat {
        sequence: 1,
        echo: echoed.sequence,
        target_list_digest: Some(7),
        target_list_age_ms: 1,
        ..Heartbeat::default()
    };
    sleep(HELD_BACK).await;
    peer.send(Body::Heartbeat(response.clone())).await;
    let compare = || instance.handle.compare_target_list(7);
    eventually("list confirmed", || compare().confirmed_as_of.is_some()).await;
    assert!(compare().confirmed_as_of.unwrap() < received_at);

    response.sequence = 2;
    response.echo = peer.heartbeat().await.sequence;
    response.target_list_digest = None;
    response.target_list_age_ms = 0;
    peer.send(Body::Heartbeat(response)).await;
    eventually("no list", || compare().confirmed_as_of.is_none()).await;
}

/// Guards against heartbeats with a list in fleets without shared reads, and against a digest
/// that is sent without need.
#[tokio::test]
async fn list_reported() {
    let platform = platform(PlatformFaults::default()).await;
    let instance = Instance::start("a", &platform).await;
    let mut peer = TestPeer::connect(&instance).await;
    let first = peer.heartbeat().await;
    assert_eq!(first.target_list_digest, None);
    assert_eq!(first.target_list_age_ms, 0);
    instance.handle.report_target_list(Some(ListCopy {
        digest: 7,
        current_as_of: Instant::now() - Duration::from_millis(300),
    }));
    let mut reported = peer.heartbeat().await;
    while reported.target_list_age_ms == 0 {
        reported = peer.heartbeat().await;
    }
    assert_eq!(reported.target_list_digest, Some(7));
    assert!(reported.target_list_age_ms > 300);
    let later = peer.heartbeat().await;
    assert_eq!(later.target_list_digest, None);
    assert!(later.target_list_age_ms > reported.target_list_age_ms);
}
