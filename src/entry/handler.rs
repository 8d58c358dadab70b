//! The way of a request from its headers to its answer.

use std::{panic::AssertUnwindSafe, sync::Arc};

use futures_util::FutureExt;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{HeaderValue, header::CONNECTION},
};
use tokio::time::Instant;

use crate::{
    entry::{
        auth::{find_key, key_digest},
        body::{check_headers, read_body},
        call::{Call, IDEMPOTENCY_KEY, check_fresh, check_idempotency_key, request_digest},
        claim, complete,
        context::EntryContext,
        error::{Error, Outcome, Result},
        models,
        openai::{CompletionRequest, Interface},
        plain::{self, PlainCall},
        reply::Reply,
        router::{AccountEntry, OPEN_ACCOUNT, RouteEntry, RouteTable},
        stream,
    },
    ledger::KeyEntry,
    service::{Access, KindRole},
    target::REQUEST_ID,
};

/// Answers all requests of callers.
#[derive(Clone, Debug)]
pub(super) struct EntryHandler {
    /// What all requests share.
    pub(super) context: EntryContext,
}

#[async_trait]
impl Handler for EntryHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = new_request_id();
        let answer = AssertUnwindSafe(self.answer(&id, request, response)).catch_unwind();
        let result = answer.await.unwrap_or_else(|_| {
            tracing::error!(request = &*id, "entry: request handler panicked");
            Err(Error::Internal {
                outcome: Outcome::Unknown,
            })
        });
        if let Err(error) = result {
            tracing::debug!(request = &*id, "entry: request not answered: {error}");
            error.write(response);
        }
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID, value);
        }
        if self.context.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
    }
}

impl EntryHandler {
    async fn answer(
        &self,
        id: &Arc<str>,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<()> {
        let context = &self.context;
        let received_at = Instant::now();
        check_headers(request.headers())?;
        let digest = key_digest(request.headers())?;
        let key = digest.and_then(|digest| find_key(context.ledger(), &digest));
        let table = context.router().table(context.ledger());
        if models::is_models_path(request) {
            if key.is_some() {
                check_fresh(context)?;
            }
            return models::answer(&table, context, request, digest, key.as_ref(), response);
        }
        let entry = find_route(&table, request, digest.is_some(), key.as_ref())?;
        let account = find_account(&table, &entry, key.as_ref())?;
        if entry.route.access == Access::Keyed {
            check_fresh(context)?;
        }
        let limits = &context.settings().limits;
        let limit = entry.route.max_body_bytes.min(limits.max_body_bytes);
        let body = read_body(request, limit, limits.request_read_ms).await?;
        let path_and_query = path_and_query(request);
        let call = Arc::new(Call {
            id: Arc::clone(id),
            received_at,
            key: digest.filter(|_| entry.route.access == Access::Keyed),
            idempotency_key: idempotency_key(request)?,
            digest: request_digest(request.method().as_str(), &path_and_query, &body),
            entry,
            account,
            body,
        });
        call.recheck(context)?;
        match call.entry.role {
            KindRole::Engine => self.complete(&call, request, response).await,
            KindRole::Plain => {
                let plain = PlainCall {
                    method: request.method().clone(),
                    path_and_query: Arc::from(path_and_query),
                    headers: request.headers().clone(),
                };
                let reply = self.call_plain(&call, plain).await?;
                reply.write(response);
                Ok(())
            }
        }
    }

    async fn complete(
        &self,
        call: &Arc<Call>,
        request: &Request,
        response: &mut Response,
    ) -> Result<()> {
        let path = request.uri().path();
        let Some(interface) = Interface::of(path) else {
            return Err(Error::UnknownRoute {
                path: path.to_owned(),
            });
        };
        if request.method() != salvo::http::Method::POST {
            return Err(Error::MethodNotAllowed {
                path: path.to_owned(),
                method: request.method().to_string(),
                allow: "POST".to_owned(),
            });
        }
        let completion = CompletionRequest::parse(interface, &call.body)?;
        if completion.stream {
            if !call.is_idempotent() && call.idempotency_key.is_some() {
                return Err(Error::InvalidField {
                    param: "stream",
                    reason: "cannot be combined with an idempotency key here".to_owned(),
                });
            }
            return stream::answer_stream(&self.context, call, &completion, response).await;
        }
        if call.is_idempotent() {
            let reply = complete::answer_whole(&self.context, call, &completion).await?;
            reply.write(response);
            return Ok(());
        }
        let context = self.context.clone();
        let run = {
            let call = Arc::clone(call);
            async move { complete::answer_whole(&context, &call, &completion).await }
        };
        claim::run_once(&self.context, call, run)
            .await?
            .write(response);
        Ok(())
    }

    async fn call_plain(&self, call: &Arc<Call>, plain: PlainCall) -> Result<Reply> {
        if call.is_idempotent() {
            return plain::answer(&self.context, call, &plain).await;
        }
        let context = self.context.clone();
        let run = {
            let call = Arc::clone(call);
            async move { plain::answer(&context, &call, &plain).await }
        };
        claim::run_once(&self.context, call, run).await
    }
}

fn find_route(
    table: &RouteTable,
    request: &Request,
    has_key: bool,
    key: Option<&KeyEntry>,
) -> Result<Arc<RouteEntry>> {
    let service = key.map(|key| &*key.service);
    let (path, method) = (request.uri().path(), request.method().as_str());
    match table.find(path, method, service) {
        Err(Error::MissingKey) if has_key => Err(Error::InvalidKey),
        found => found,
    }
}

/// Returns the account that a request runs for.
fn find_account(
    table: &RouteTable,
    entry: &RouteEntry,
    key: Option<&KeyEntry>,
) -> Result<Arc<AccountEntry>> {
    let service = &entry.service.document.service;
    let name = match entry.route.access {
        Access::Open => OPEN_ACCOUNT,
        Access::Keyed => &key.ok_or(Error::InvalidKey)?.account,
    };
    let account = table.account(service, name).ok_or(Error::InvalidKey)?;
    Ok(Arc::clone(account))
}

fn idempotency_key(request: &Request) -> Result<Option<Arc<str>>> {
    let value = request.headers().get(IDEMPOTENCY_KEY);
    value
        .map(|value| check_idempotency_key(value.as_bytes()))
        .transpose()
}

fn path_and_query(request: &Request) -> String {
    let uri = request.uri();
    let text = uri.path_and_query().map(|text| text.as_str());
    text.unwrap_or("/").to_owned()
}

fn new_request_id() -> Arc<str> {
    Arc::from(hex::encode(rand::random::<[u8; 16]>()))
}
