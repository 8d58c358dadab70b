//! Watches whether the callers of a listener that the HTTP framework serves are still there.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::Version;
use salvo::{ConnCtrl, Response, http::ResBody};

use super::{AnswerBody, CallerSocket, Connection};

/// Closes a connection once its caller has left or must give way. Returns when the connection
/// has ended.
///
/// The server itself would not notice either while a request is in progress.
pub(crate) fn watch_caller(
    socket: Arc<CallerSocket>,
    connection: Arc<Connection>,
    control: ConnCtrl,
) -> impl Future<Output = ()> {
    // Set before the first request is read.
    connection.set_socket(&socket);
    async move {
        tokio::select! {
            () = connection.ended() => return,
            () = connection.closed() => {}
            () = socket.left() => {}
        }
        control.abort();
    }
}

/// Marks a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    connection: Arc<Connection>,
    socket: Option<Arc<CallerSocket>>,
}

impl RequestGuard {
    pub(crate) fn new(connection: Arc<Connection>) -> Self {
        let socket = connection.socket();
        connection.begin_work();
        if let Some(socket) = &socket {
            socket.begin_request();
        }
        Self { connection, socket }
    }

    /// Keeps the request in progress until its answer is sent.
    pub(super) fn guard_answer(self, response: &mut Response, version: Version) {
        let body = response.take_body();
        if body.is_none() || matches!(body, ResBody::Error(_)) {
            response.body = body;
            return;
        }
        if let Some(socket) = &self.socket {
            socket.begin_answer(version, response.headers(), &body);
        }
        let guarded = AnswerBody::new(body, self);
        response.body = ResBody::Boxed(Box::pin(guarded.map_err(Into::into)));
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.end_request();
        if let Some(socket) = &self.socket {
            socket.end_request();
        }
    }
}
