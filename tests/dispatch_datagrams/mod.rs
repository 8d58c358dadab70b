//! Datagrams of shared placement, as instances send them.

#![allow(dead_code, unreachable_pub)]

#[path = "../../src/gateway/dispatch/lavenderwind.dispatch.rs"]
#[allow(clippy::all)]
pub mod frames;

use std::net::SocketAddr;

use frames::{Datagram, datagram::Body};
use prost::Message;
use serde_json::Value;
use tokio::net::UdpSocket;

use crate::platform_support::{Store, eventually};

/// Returns the address at which an instance takes part in shared placement, once it has
/// announced itself.
pub async fn peer_address(store: &Store, name: &str) -> SocketAddr {
    let find = || {
        let members = store.state.lock().unwrap().newest("keyed.members");
        let (_, value) = members.get(name)?;
        let member: Value = serde_json::from_slice(value).unwrap();
        Some(member["peer_address"].as_str()?.parse().unwrap())
    };
    eventually("the instance announces itself", || find().is_some()).await;
    find().unwrap()
}

pub async fn send_to(socket: &UdpSocket, address: SocketAddr, body: Body) {
    let bytes = Datagram { body: Some(body) }.encode_to_vec();
    socket.send_to(&bytes, address).await.unwrap();
}

pub async fn receive(socket: &UdpSocket) -> (Body, SocketAddr) {
    let mut bytes = [0; 2_048];
    let (length, from) = socket.recv_from(&mut bytes).await.unwrap();
    let datagram = Datagram::decode(&bytes[..length]).unwrap();
    (datagram.body.unwrap(), from)
}
