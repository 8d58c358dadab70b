//! HTTP server and helper functions shared by the stand-ins.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use salvo::{
    Handler, Server,
    conn::{Acceptor, tcp::TcpAcceptor},
    http::{
        Request, Response, StatusCode,
        header::{CONTENT_TYPE, ETAG, HeaderValue, IF_NONE_MATCH},
    },
    routing::Router,
    server::ServerHandle,
};
use serde::{Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};
use tokio::{
    net::{TcpListener, TcpSocket},
    task::JoinHandle,
    time::sleep,
};

use super::{Error, Result};

/// Limit on the size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Delay before another attempt to bind an address that is still in use, in
/// milliseconds.
const REBIND_MS: u64 = 20;

/// A running HTTP server, which stops when dropped.
#[derive(Debug)]
pub(crate) struct HttpServer {
    address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Starts a server that passes every request to `handler`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub(crate) async fn start<H>(address: SocketAddr, handler: H) -> Result<Self>
    where
        H: Handler,
    {
        bind(address)
            .and_then(|listener| Self::listen(listener, handler))
            .map_err(|cause| Error::Listen { address, cause })
    }

    /// Starts a server on an address that an earlier server used, and retries
    /// until the address is free.
    pub(crate) async fn restart<H>(address: SocketAddr, handler: H) -> Self
    where
        H: Handler + Clone,
    {
        loop {
            if let Ok(server) = Self::start(address, handler.clone()).await {
                return server;
            }
            sleep(Duration::from_millis(REBIND_MS)).await;
        }
    }

    fn listen<H>(listener: TcpListener, handler: H) -> std::io::Result<Self>
    where
        H: Handler,
    {
        let address = listener.local_addr()?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        debug_assert!(!acceptor.holdings().is_empty());
        let server = Server::new(acceptor);
        let handle = server.handle();
        let router = Router::with_path("{**rest}").goal(handler);
        let task = tokio::spawn(server.serve(router));
        Ok(Self {
            address,
            handle,
            task,
        })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections immediately, and waits until the
    /// server has ended.
    pub(crate) async fn stop(&mut self) {
        self.handle.stop_forceful();
        let _ = (&mut self.task).await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.handle.stop_forceful();
    }
}

/// Binds a listener with `TCP_NODELAY`, which its connections inherit, so that
/// small writes are sent without delay.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Reads a body; returns `None` if it exceeds [`MAX_BODY_BYTES`] or cannot be
/// read.
pub(crate) async fn read_body(request: &mut Request) -> Option<Bytes> {
    request
        .payload_with_max_size(MAX_BODY_BYTES)
        .await
        .ok()
        .cloned()
}

/// Reads a JSON body; responds with status 400 and returns `None` if it is
/// invalid.
pub(crate) async fn read_json<T>(request: &mut Request, response: &mut Response) -> Option<T>
where
    T: DeserializeOwned,
{
    let body = read_body(request).await.unwrap_or_default();
    match serde_json::from_slice(&body) {
        Ok(value) => Some(value),
        Err(error) => {
            write_error(response, StatusCode::BAD_REQUEST, &error.to_string());
            None
        }
    }
}

/// Writes a response with a JSON body.
pub(crate) fn write_json<T>(response: &mut Response, status: StatusCode, body: &T)
where
    T: Serialize,
{
    let body = serde_json::to_vec(body).unwrap_or_default();
    write_bytes(response, status, "application/json", Bytes::from(body));
}

/// Writes a response with a JSON body and its entity tag, or status 304 if the
/// request's `if-none-match` header has the same tag.
pub(crate) fn write_tagged_json<T>(request: &Request, response: &mut Response, body: &T)
where
    T: Serialize,
{
    let body = serde_json::to_vec(body).unwrap_or_default();
    let tag = format!("\"{}\"", hex::encode(&Sha256::digest(&body)[..8]));
    let known = request.headers().get(IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        response.status_code(StatusCode::NOT_MODIFIED);
        return;
    }
    write_bytes(
        response,
        StatusCode::OK,
        "application/json",
        Bytes::from(body),
    );
    if let Ok(tag) = HeaderValue::from_str(&tag) {
        response.headers_mut().insert(ETAG, tag);
    }
}

/// Writes a response with an error message in JSON.
pub(crate) fn write_error(response: &mut Response, status: StatusCode, message: &str) {
    write_json(response, status, &serde_json::json!({ "error": message }));
}

/// Writes a response with a body of the given content type.
pub(crate) fn write_bytes(
    response: &mut Response,
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) {
    response.status_code(status);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response.replace_body(salvo::http::ResBody::Once(body));
}

/// Returns the non-empty segments of the request's path.
pub(crate) fn path_segments(request: &Request) -> Vec<String> {
    let path = request.uri().path();
    let parts = path.split('/').filter(|part| !part.is_empty());
    parts.map(str::to_owned).collect()
}
