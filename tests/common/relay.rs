//! A TCP relay that can interrupt its connections.

use std::net::SocketAddr;

use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// Forwards connections to one address until it is cut.
pub struct Relay {
    address: SocketAddr,
    cut: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay on a free port of the loopback interface.
    pub async fn start(destination: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (cut, cut_receiver) = watch::channel(false);
        let task = tokio::spawn(accept(listener, destination, cut_receiver));
        Self { address, cut, task }
    }

    /// Returns the base URL of the relay.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// If `cut`, closes all connections and every new one; otherwise forwards
    /// new connections again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, destination: SocketAddr, cut: watch::Receiver<bool>) {
    while let Ok((stream, _)) = listener.accept().await {
        if *cut.borrow() {
            continue;
        }
        tokio::spawn(forward(stream, destination, cut.clone()));
    }
}

async fn forward(mut stream: TcpStream, destination: SocketAddr, mut cut: watch::Receiver<bool>) {
    let Ok(mut onward) = TcpStream::connect(destination).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut onward) => (),
        _ = cut.wait_for(|cut| *cut) => (),
    }
}
