//! Tests the frame protocol between instances, including protocol violations.

mod peer_net;

use std::time::Duration;

use lavenderwind::{
    infra::{
        LiveClient,
        protocol::{LiveInstance, LiveState},
    },
    peer::{
        Freshness, MAX_FRAME_BYTES,
        frames::{
            Frame, Heartbeat, Hello, LoadChange, LogRequest, LogTail, NameDefinition,
            QuarantineNotice, UsageCopy, frame::Body,
        },
    },
    standin::platform::PlatformFaults,
};
use peer_net::{
    DEADLINE, Instance, encode_frame, eventually, platform, receive_frame, with_length, within,
};
use prost::Message;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

/// Incarnation of the simulated peer.
const INCARNATION: u64 = 5;

fn encode(body: Body) -> Vec<u8> {
    encode_frame(&Frame { body: Some(body) })
}

fn hello(sender: &str, incarnation: u64) -> Vec<u8> {
    encode(Body::Hello(Hello {
        sender: sender.into(),
        incarnation,
        failure_domain: "d2".into(),
        accepts_packed_amounts: false,
    }))
}

fn first_heartbeat() -> Heartbeat {
    Heartbeat {
        sequence: 1,
        ..Heartbeat::default()
    }
}

/// A simulated peer that sends and receives raw frames.
struct TestPeer {
    stream: TcpStream,
}

impl TestPeer {
    async fn connect(instance: &Instance) -> Self {
        let stream = TcpStream::connect(instance.peer_address).await.unwrap();
        Self { stream }
    }

    async fn send(&mut self, bytes: &[u8]) {
        // The instance may have closed the connection already.
        let _ = self.stream.write_all(bytes).await;
    }

    async fn receive(&mut self) -> Option<Body> {
        receive_frame(&mut self.stream).await
    }

    /// Receives frames until `f` returns a value or the connection closes.
    async fn find<T, F>(&mut self, mut f: F) -> Option<T>
    where
        F: FnMut(Body) -> Option<T>,
    {
        let find = async {
            while let Some(body) = self.receive().await {
                if let Some(found) = f(body) {
                    return Some(found);
                }
            }
            None
        };
        within("frame or end of connection", find).await
    }

    async fn wait_closed(&mut self) {
        let found: Option<()> = self.find(|_| None).await;
        assert_eq!(found, None);
    }

    /// Waits for a heartbeat and responds with a heartbeat that echoes the sequence number
    /// `echo`, or that of the received heartbeat if `echo` is `None`. Returns the echoed
    /// sequence number.
    async fn respond_to_heartbeat(&mut self, echo: Option<u64>) -> u64 {
        let received = self.find(|body| match body {
            Body::Heartbeat(heartbeat) => Some(heartbeat.sequence),
            _ => None,
        });
        let received = received.await.unwrap();
        let echo = echo.unwrap_or(received);
        let mut response = first_heartbeat();
        response.echo = echo;
        response.log_down = true;
        self.send(&encode(Body::Heartbeat(response))).await;
        echo
    }

    /// Sends heartbeats until the connection closes.
    async fn send_heartbeats_until_closed(&mut self) {
        let frame = encode(Body::Heartbeat(first_heartbeat()));
        let heartbeats = async {
            while self.stream.write_all(&frame).await.is_ok() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        within("end of connection", heartbeats).await;
    }
}

/// What the peer does after it has sent the bytes of a case.
#[derive(Clone, Copy)]
enum Afterwards {
    SendsHeartbeats,
    IsSilent,
}

struct Case {
    name: &'static str,
    /// Bytes that the peer sends, in order.
    sent: fn() -> Vec<Vec<u8>>,
    afterwards: Afterwards,
}

const CASES: &[Case] = &[
    Case {
        name: "nothing at all",
        sent: Vec::new,
        afterwards: Afterwards::IsSilent,
    },
    Case {
        name: "half a length",
        sent: || vec![vec![0, 0]],
        afterwards: Afterwards::IsSilent,
    },
    Case {
        name: "half a frame",
        sent: || vec![hello("b", INCARNATION)[..6].to_vec()],
        afterwards: Afterwards::IsSilent,
    },
    Case {
        name: "a frame over the size limit",
        sent: || {
            let notice = QuarantineNotice {
                account: "a".repeat(MAX_FRAME_BYTES),
                body_digest: vec![1],
                number: 1,
            };
            vec![
                hello("b", INCARNATION),
                encode(Body::QuarantineNotice(notice)),
            ]
        },
        afterwards: Afterwards::SendsHeartbeats,
    },
    Case {
        name: "garbage in place of the first frame",
        sent: || vec![with_length(&[0xff; 40])],
        afterwards: Afterwards::SendsHeartbeats,
    },
    Case {
        name: "garbage after the first frame",
        sent: || vec![hello("b", INCARNATION), with_length(&[0xff; 40])],
        afterwards: Afterwards::SendsHeartbeats,
    },
    Case {
        name: "a frame without a body",
        sent: || vec![hello("b", INCARNATION), encode_frame(&Frame { body: None })],
        afterwards: Afterwards::SendsHeartbeats,
    },
    Case {
        name: "a heartbeat in place of the first frame",
        sent: || vec![encode(Body::Heartbeat(first_heartbeat()))],
        afterwards: Afterwards::IsSilent,
    },
    Case {
        name: "two first frames",
        sent: || vec![hello("b", INCARNATION), hello("b", INCARNATION)],
        afterwards: Afterwards::SendsHeartbeats,
    },
    Case {
        name: "an outdated incarnation",
        sent: || vec![hello("b", INCARNATION - 1)],
        afterwards: Afterwards::SendsHeartbeats,
    },
    Case {
        name: "this instance's own name",
        sent: || vec![hello("a", INCARNATION)],
        afterwards: Afterwards::SendsHeartbeats,
    },
    Case {
        name: "a load of a target without a name definition",
        sent: || {
            let mut heartbeat = first_heartbeat();
            heartbeat.loads.push(LoadChange {
                target: 7,
                ..LoadChange::default()
            });
            vec![hello("b", INCARNATION), encode(Body::Heartbeat(heartbeat))]
        },
        afterwards: Afterwards::SendsHeartbeats,
    },
    Case {
        name: "a usage slice of another instance",
        sent: || {
            let slice = lavenderwind::log::records::UsageSlice {
                source: "c".into(),
                source_incarnation: INCARNATION,
                ..Default::default()
            };
            let copy = UsageCopy {
                slice: slice.encode_to_vec(),
            };
            vec![hello("b", INCARNATION), encode(Body::UsageCopy(copy))]
        },
        afterwards: Afterwards::SendsHeartbeats,
    },
    Case {
        name: "a connection that goes silent",
        sent: || {
            vec![
                hello("b", INCARNATION),
                encode(Body::Heartbeat(first_heartbeat())),
            ]
        },
        afterwards: Afterwards::IsSilent,
    },
];

/// A protocol violation or silence closes the connection; a valid one is accepted afterwards.
#[tokio::test]
async fn violation_closes_connection() {
    let platform = platform(PlatformFaults::default()).await;
    let a = Instance::start("a", &platform).await;
    // Makes `INCARNATION` the newest known incarnation of `b`.
    let mut first = TestPeer::connect(&a).await;
    first.send(&hello("b", INCARNATION)).await;
    a.wait_connected(1).await;
    drop(first);
    for case in CASES {
        let mut peer = TestPeer::connect(&a).await;
        for bytes in (case.sent)() {
            peer.send(&bytes).await;
        }
        match case.afterwards {
            Afterwards::SendsHeartbeats => peer.send_heartbeats_until_closed().await,
            Afterwards::IsSilent => peer.wait_closed().await,
        }
        eventually(case.name, || a.handle.connected().is_empty()).await;
        // A valid connection is accepted afterwards.
        let mut peer = TestPeer::connect(&a).await;
        peer.send(&hello("b", INCARNATION)).await;
        let found = peer.find(|body| matches!(body, Body::Heartbeat(_)).then_some(()));
        assert!(found.await.is_some(), "{}", case.name);
        drop(peer);
        eventually(case.name, || a.handle.connected().is_empty()).await;
    }
}

/// A newer connection of the same peer replaces the older one.
#[tokio::test]
async fn older_connection_replaced() {
    let platform = platform(PlatformFaults::default()).await;
    let a = Instance::start("a", &platform).await;
    let mut old = TestPeer::connect(&a).await;
    old.send(&hello("b", INCARNATION)).await;
    a.wait_connected(1).await;
    let mut same = TestPeer::connect(&a).await;
    same.send(&hello("b", INCARNATION)).await;
    old.send_heartbeats_until_closed().await;
    let mut new = TestPeer::connect(&a).await;
    new.send(&hello("b", INCARNATION + 1)).await;
    same.send_heartbeats_until_closed().await;
    let echo = new.find(|body| matches!(body, Body::Heartbeat(_)).then_some(()));
    assert!(echo.await.is_some());
    assert_eq!(a.handle.connected().len(), 1);
    assert_eq!(a.handle.live()[0].incarnation, INCARNATION + 1);
}

/// The loads reported over a connection are removed when it closes.
#[tokio::test]
async fn closing_removes_loads() {
    let platform = platform(PlatformFaults::default()).await;
    let a = Instance::start("a", &platform).await;
    let mut peer = TestPeer::connect(&a).await;
    peer.send(&hello("b", INCARNATION)).await;
    let mut heartbeat = first_heartbeat();
    heartbeat.names.push(NameDefinition { name: "t1".into() });
    heartbeat.loads.push(LoadChange {
        target: 0,
        requests: 1,
        tokens: 50,
        blocks: 2,
    });
    peer.send(&encode(Body::Heartbeat(heartbeat))).await;
    eventually("load", || a.handle.peer_loads("t1").tokens == 50).await;
    drop(peer);
    eventually("no load", || a.handle.peer_loads("t1").tokens == 0).await;
}

/// Requests records that are not written yet, that are buffered, and that are not
/// buffered.
#[tokio::test]
async fn buffered_records_returned() {
    let platform = platform(PlatformFaults::default()).await;
    let a = Instance::start("a", &platform).await;
    let complete = {
        let mut status = a.log.status.clone();
        async move { status.wait_for(|status| status.caught_up).await.is_ok() }
    };
    assert!(within("complete", complete).await);
    let mut peer = TestPeer::connect(&a).await;
    peer.send(&hello("b", INCARNATION)).await;
    let tail = request_log(&mut peer, 1).await;
    assert_eq!((tail.missing, tail.records.len()), (false, 0));
    assert!(u64::from(tail.known_age_ms) < Duration::from_secs(60).as_millis() as u64);
    let claim = lavenderwind::log::records::record::Body::RequestClaim(Default::default());
    let offset = a.append(claim).await.offset;
    let tail = request_log(&mut peer, 1).await;
    assert_eq!((tail.missing, tail.records.len()), (false, 1));
    assert_eq!(tail.records[0].offset, offset.0);
    let tail = request_log(&mut peer, 0).await;
    assert!(tail.missing, "offset 0 was never written");
}

async fn request_log(peer: &mut TestPeer, from_offset: u64) -> LogTail {
    let request = Body::LogRequest(LogRequest { from_offset });
    peer.send(&encode(request)).await;
    let tail = peer.find(|body| match body {
        Body::LogTail(tail) => Some(tail),
        _ => None,
    });
    tail.await.unwrap()
}

/// Guards against frames that were buffered while this process was paused and then count
/// as recent: the age of a peer's report is measured from the time at which this
/// instance sent the heartbeat that the report echoes.
#[tokio::test]
async fn outage_requires_echo() {
    let mut faults = PlatformFaults {
        live_ttl_ms: 60_000,
        ..PlatformFaults::default()
    };
    let platform = platform(faults.clone()).await;
    let a = Instance::start("a", &platform).await;
    let entry = LiveInstance {
        name: "b".into(),
        incarnation: INCARNATION,
        failure_domain: "d2".into(),
        peer_address: "127.0.0.1:9".into(),
        admin_address: "127.0.0.1:9".into(),
        state: LiveState::Live,
    };
    let client = LiveClient::new(reqwest::Client::new(), &platform.url(), DEADLINE);
    client.announce(&entry).await.unwrap();
    eventually("listed", || a.handle.live().iter().any(|peer| peer.listed)).await;
    eventually("fresh", || a.handle.freshness() == Freshness::ByLog).await;
    let mut peer = TestPeer::connect(&a).await;
    peer.send(&hello("b", INCARNATION)).await;
    faults.log.outage = true;
    platform.set_faults(faults);

    let mut echo = 0;
    let responses = async {
        while a.handle.freshness() != Freshness::ByOutage {
            echo = peer.respond_to_heartbeat(None).await;
        }
    };
    within("fresh by outage", responses).await;
    let repeated_echoes = async {
        while a.handle.may_serve_keyed() {
            peer.respond_to_heartbeat(Some(echo)).await;
        }
    };
    within("stale", repeated_echoes).await;
    assert_eq!(a.handle.connected().len(), 1);
}
