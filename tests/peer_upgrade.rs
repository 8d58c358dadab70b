//! Tests connections between instances of this and of the previous version.

mod peer_net;

use std::time::Duration;

use lavenderwind::{
    peer::frames::{Heartbeat, Hello, NameDefinition, ServedTokens, frame::Body},
    standin::platform::PlatformFaults,
};
use peer_net::{Instance, eventually, platform, receive_frame, send_frame, within};
use tokio::{net::TcpStream, time::sleep};

/// Name under which the instance reports amounts.
const NAME: &str = "quota/a";
/// An amount that is not sent in one part.
const AMOUNT: u64 = 70_001;

/// A simulated peer, and the sum of the amounts that it has received in each form.
struct TestPeer {
    stream: TcpStream,
    served: u64,
    packed: u64,
}

impl TestPeer {
    async fn connect(instance: &Instance, name: &str, accepts_packed_amounts: bool) -> Self {
        let stream = TcpStream::connect(instance.peer_address).await.unwrap();
        let mut peer = Self {
            stream,
            served: 0,
            packed: 0,
        };
        let hello = Hello {
            sender: name.into(),
            incarnation: 5,
            failure_domain: "d2".into(),
            accepts_packed_amounts,
        };
        peer.send(Body::Hello(hello)).await;
        peer
    }

    async fn send(&mut self, body: Body) {
        send_frame(&mut self.stream, body).await;
    }

    async fn receive(&mut self) -> Body {
        receive_frame(&mut self.stream).await.unwrap()
    }

    /// Receives heartbeats and answers them until all of [`AMOUNT`] has arrived.
    async fn receive_amount(&mut self) {
        while self.served + self.packed < AMOUNT {
            let Body::Heartbeat(heartbeat) = self.receive().await else {
                continue;
            };
            for entry in &heartbeat.served {
                self.served += entry.tokens;
            }
            for element in &heartbeat.packed_amounts {
                let exponent = element >> 4 & 31;
                let digits = u64::from(element & 15);
                self.packed += match exponent {
                    0 => digits,
                    _ => (16 + digits) << (exponent - 1),
                };
            }
            let answer = Heartbeat {
                sequence: heartbeat.sequence,
                ..Heartbeat::default()
            };
            self.send(Body::Heartbeat(answer)).await;
        }
    }
}

/// Guards against amounts that are sent in a form which the peer does not decode: one instance
/// has a peer of the previous version and one of this version.
#[tokio::test]
async fn form_by_hello() {
    let platform = platform(PlatformFaults::default()).await;
    let a = Instance::start("a", &platform).await;
    let mut old = TestPeer::connect(&a, "b", false).await;
    let mut new = TestPeer::connect(&a, "c", true).await;
    a.wait_connected(2).await;
    a.handle.report_divisible_amount(NAME, AMOUNT);
    within("amounts", async {
        tokio::join!(old.receive_amount(), new.receive_amount())
    })
    .await;
    assert_eq!((old.served, old.packed), (AMOUNT, 0));
    assert_eq!((new.served, new.packed), (0, AMOUNT));
}

/// Guards against a connection that fails, or amounts that are not counted, because the peer
/// is of the previous version.
#[tokio::test]
async fn old_peer_counted() {
    let platform = platform(PlatformFaults::default()).await;
    let a = Instance::start("a", &platform).await;
    let mut old = TestPeer::connect(&a, "b", false).await;
    a.wait_connected(1).await;
    let mut heartbeat = Heartbeat {
        sequence: 1,
        ..Heartbeat::default()
    };
    heartbeat.names.push(NameDefinition { name: NAME.into() });
    heartbeat.served.push(ServedTokens {
        account: 0,
        tokens: AMOUNT,
    });
    old.send(Body::Heartbeat(heartbeat)).await;
    let mut received = 0;
    eventually("amount", || {
        for amount in a.handle.take_peer_amounts() {
            received += amount.amount;
        }
        received >= AMOUNT
    })
    .await;
    sleep(Duration::from_millis(100)).await;
    assert_eq!(received, AMOUNT);
    assert_eq!(a.handle.connected().len(), 1);
}

/// Two instances of this version exchange packed amounts.
#[tokio::test]
async fn packed_amounts_exchanged() {
    let platform = platform(PlatformFaults::default()).await;
    let a = Instance::start("a", &platform).await;
    let b = Instance::start("b", &platform).await;
    a.wait_connected(1).await;
    b.wait_connected(1).await;
    eventually("two live", || *a.live_instances.borrow() == 2).await;
    a.handle.report_divisible_amount(NAME, AMOUNT);
    let mut received = 0;
    eventually("amount", || {
        for amount in b.handle.take_peer_amounts() {
            received += amount.amount;
        }
        received >= AMOUNT
    })
    .await;
    assert_eq!(received, AMOUNT);
}
