//! Client of the platform's API for duties: usage reports and orders of
//! targets.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use displaydoc::Display;
use futures_util::stream;
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::{
    Request, StatusCode,
    body::Frame,
    client::conn::http1,
    header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue},
    http::request,
};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use serde::Serialize;
use socket2::SockRef;
use tokio::{net::TcpStream, sync::Mutex, time::timeout};

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Instance that holds the duty lease.
#[derive(Clone, Debug)]
pub struct Holder {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Fencing token of the lease.
    pub fence: u64,
}

/// Desired number of targets of one kind in a failure domain. The kinds are reclaimable
/// and regular, that is, not reclaimable.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TargetCount {
    /// Service that the targets run.
    pub service: Arc<str>,
    /// Failure domain in which the targets run.
    pub failure_domain: Arc<str>,
    /// Whether the platform may reclaim the targets, that is, take them away at short
    /// notice.
    pub reclaimable: bool,
    /// Desired number of targets.
    pub count: u32,
}

/// Error of a call to the platform's API.
#[derive(Debug, Display)]
pub enum CloudError {
    /// the call to the platform was not sent: {0}
    NotSent(io::Error),
    /// the call to the platform was not sent: no time left
    NoTimeLeft,
    /// the outcome of the call to the platform is unknown: {0}
    Unknown(String),
    /// the platform rejected the call with a conflict: {0}
    Conflict(String),
    /// the platform answered status {0}
    Status(u16),
}

impl std::error::Error for CloudError {}

#[derive(Serialize)]
struct UsageBody<'a> {
    // Number of the usage window.
    window: u64,
    // Numbers of started requests, by client account.
    counts: &'a IndexMap<Arc<str>, u64>,
}

#[derive(Serialize)]
struct ScaleBody<'a> {
    service: &'a str,
    zone: &'a str,
    desired: u32,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    spot: bool,
}

/// Client of the platform's API.
///
/// The platform may take calls in the order in which they arrive and check nothing. A call
/// must therefore not arrive after its holder has lost the lease, and not be overtaken by a
/// later one. Calls are made one at a time, each on its own connection, which is reset when
/// the call is given up, so that the kernel delivers no byte afterwards. The body is handed
/// over only while there is time left.
#[derive(Clone, Debug)]
pub struct CloudClient {
    address: SocketAddr,
    timeout: Duration,
    unacknowledged_limit: Duration,
    /// Held during a call.
    turn: Arc<Mutex<()>>,
}

impl CloudClient {
    /// Creates a client of the API at `address`; each call ends within `timeout`. The kernel
    /// gives up a connection whose bytes stay unacknowledged for `unacknowledged_limit`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration, unacknowledged_limit: Duration) -> Self {
        Self {
            address,
            timeout,
            unacknowledged_limit,
            turn: Arc::default(),
        }
    }

    /// Reports the numbers of started requests in a usage window. `time_left` returns the
    /// time in which the call may still be made.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects the report or does not answer in time.
    pub async fn report_usage<F>(
        &self,
        holder: &Holder,
        window: u64,
        counts: &IndexMap<Arc<str>, u64>,
        time_left: F,
    ) -> Result<(), CloudError>
    where
        F: Fn() -> Duration + Send + 'static,
    {
        let body = UsageBody { window, counts };
        self.post("/usage", holder, &body, time_left).await
    }

    /// Orders the desired number of targets of one kind in a failure domain. `time_left`
    /// returns the time in which the call may still be made.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects the order or does not answer in time.
    pub async fn order_targets<F>(
        &self,
        holder: &Holder,
        wanted: &TargetCount,
        time_left: F,
    ) -> Result<(), CloudError>
    where
        F: Fn() -> Duration + Send + 'static,
    {
        let body = ScaleBody {
            service: &wanted.service,
            zone: &wanted.failure_domain,
            desired: wanted.count,
            spot: wanted.reclaimable,
        };
        self.post("/scale", holder, &body, time_left).await
    }

    async fn post<B, F>(
        &self,
        path: &str,
        holder: &Holder,
        body: &B,
        time_left: F,
    ) -> Result<(), CloudError>
    where
        B: Serialize,
        F: Fn() -> Duration + Send + 'static,
    {
        let body = serde_json::to_vec(body).map_err(|error| CloudError::NotSent(error.into()))?;
        let head = self.request_head(path, holder, body.len());
        let head = head.map_err(|error| CloudError::NotSent(io::Error::other(error)))?;
        let _turn = self.turn.lock().await;
        let limit = self.timeout.min(time_left());
        let calling = async {
            let stream = self.connect().await.map_err(CloudError::NotSent)?;
            exchange(stream, head, body.into(), time_left).await
        };
        if limit.is_zero() {
            return Err(CloudError::NoTimeLeft);
        }
        timeout(limit, calling)
            .await
            .unwrap_or_else(|_| Err(CloudError::Unknown("no answer in time".to_owned())))
    }

    fn request_head(
        &self,
        path: &str,
        holder: &Holder,
        body_bytes: usize,
    ) -> Result<request::Builder, hyper::http::Error> {
        let name = HeaderValue::from_str(&holder.name)?;
        Ok(Request::post(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(CONTENT_LENGTH, body_bytes)
            .header(CONNECTION, "close")
            .header("Duty-Holder", name)
            .header("Fencing-Token", holder.fence))
    }

    /// Opens a connection that is reset when it is closed.
    async fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(self.unacknowledged_limit))?;
        socket.set_linger(Some(Duration::ZERO))?;
        Ok(stream)
    }
}

/// Makes one call on a connection, which is closed afterwards.
async fn exchange<F>(
    stream: TcpStream,
    head: request::Builder,
    body: Bytes,
    time_left: F,
) -> Result<(), CloudError>
where
    F: Fn() -> Duration + Send + 'static,
{
    let is_late = Arc::new(AtomicBool::new(false));
    let noted = is_late.clone();
    // Evaluated when the body is written, as this process may have been paused before.
    let body = stream::once(async move {
        if time_left().is_zero() {
            noted.store(true, Ordering::Relaxed);
            return Err(io::Error::other("no time left"));
        }
        Ok(Frame::data(body))
    });
    let request = head.body(StreamBody::new(Box::pin(body)));
    let request = request.map_err(|error| CloudError::NotSent(io::Error::other(error)))?;
    let unknown = |error: &dyn std::fmt::Display| CloudError::Unknown(error.to_string());
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| unknown(&error))?;
    let calling = async {
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| match is_late.load(Ordering::Relaxed) {
            true => CloudError::NoTimeLeft,
            false => unknown(&error),
        })?;
        let status = response.status();
        // An answer that breaks off may be one to a call that the platform has not read.
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(|error| unknown(&error))?;
        Ok((status, body.to_bytes()))
    };
    let driving = async {
        let _ = connection.await;
        std::future::pending::<Infallible>().await
    };
    let (status, body) = tokio::select! {
        result = calling => result?,
        never = driving => match never {},
    };
    match status {
        status if status.is_success() => Ok(()),
        StatusCode::CONFLICT => Err(CloudError::Conflict(
            String::from_utf8_lossy(&body).into_owned(),
        )),
        status => Err(CloudError::Status(status.as_u16())),
    }
}
