//! Handling of a caller's request, from its headers to the response.

use std::{panic::AssertUnwindSafe, sync::Arc};

use futures_util::FutureExt;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{HeaderValue, Method, header::CONNECTION},
};
use tokio::time::Instant;

use crate::{
    entry::{
        auth::{find_key, key_digest},
        body::{check_headers, read_body},
        call::{
            Call, IDEMPOTENCY_KEY, check_idempotency_key, check_may_serve_keyed, request_digest,
        },
        claim,
        complete::{self, result_of_error},
        context::EntryContext,
        error::{Error, Outcome, Result},
        models,
        openai::{CompletionRequest, Interface},
        plain::{self, PlainCall},
        reply::Reply,
        router::{AccountEntry, OPEN_ACCOUNT, RouteEntry, ServiceIndex},
        stream,
    },
    ledger::KeyEntry,
    service::{Access, KindRole, Repeat},
    target::{REQUEST_ID, tokens::estimate_tokens},
};

/// Handler for all requests of callers.
#[derive(Clone, Debug)]
pub(super) struct EntryHandler {
    /// State shared by all requests.
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
    /// Authenticates, validates and runs a request, and writes its response.
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
        let index = context.router().index(context.ledger());
        if models::is_models_path(request) {
            if key.is_some() {
                check_may_serve_keyed(context)?;
            }
            return models::answer(&index, context, request, digest, key.as_ref(), response);
        }
        let route_entry = find_route(&index, request, digest.is_some(), key.as_ref())?;
        let account = find_account(&index, &route_entry, key.as_ref())?;
        if route_entry.route.access == Access::Keyed {
            check_may_serve_keyed(context)?;
        }
        let limits = &context.settings().limits;
        let max_body_bytes = route_entry.route.max_body_bytes.min(limits.max_body_bytes);
        let body = read_body(
            request,
            context.intake(),
            max_body_bytes,
            limits.request_read_ms,
        )
        .await?;
        let parsed = self.parse(&route_entry, request, &body)?;
        let instances = (context.peers().live_instances)();
        let limit_guard = context
            .limiter()
            .acquire(&account, instances, parsed.estimated_tokens())
            .inspect_err(|error| context.burn().record(&account, result_of_error(error)))?;
        let path_and_query = path_and_query(request);
        let call = Arc::new(Call {
            id: Arc::clone(id),
            received_at,
            key_digest: digest.filter(|_| route_entry.route.access == Access::Keyed),
            idempotency_key: idempotency_key(request)?,
            request_digest: request_digest(request.method().as_str(), &path_and_query, &body),
            route_entry,
            account,
            body,
            limit_guard,
        });
        call.recheck(context)?;
        self.run(&call, parsed, response).await
    }

    /// Parses a request as a completion request if its route leads to engines, and
    /// as a call to a plain service otherwise.
    fn parse(&self, entry: &RouteEntry, request: &Request, body: &[u8]) -> Result<ParsedRequest> {
        if entry.role == KindRole::Plain {
            return Ok(ParsedRequest::Plain(PlainCall {
                method: request.method().clone(),
                path_and_query: Arc::from(path_and_query(request)),
                headers: request.headers().clone(),
            }));
        }
        let path = request.uri().path();
        let Some(interface) = Interface::from_path(path) else {
            return Err(Error::UnknownRoute {
                path: path.to_owned(),
            });
        };
        if request.method() != Method::POST {
            return Err(Error::MethodNotAllowed {
                path: path.to_owned(),
                method: request.method().to_string(),
                allow: "POST".to_owned(),
            });
        }
        let completion = CompletionRequest::parse(interface, body)?;
        let keyed = request.headers().contains_key(IDEMPOTENCY_KEY);
        if completion.stream && keyed && entry.route.repeat != Repeat::Idempotent {
            return Err(Error::InvalidField {
                param: "stream",
                reason: "cannot be combined with an idempotency key on a non-repeatable route"
                    .to_owned(),
            });
        }
        Ok(ParsedRequest::Completion(completion))
    }

    /// Runs a parsed request, a non-repeatable one at most once, and writes its
    /// response.
    async fn run(
        &self,
        call: &Arc<Call>,
        parsed: ParsedRequest,
        response: &mut Response,
    ) -> Result<()> {
        let context = self.context.clone();
        if let ParsedRequest::Completion(completion) = &parsed
            && completion.stream
        {
            return stream::answer_stream(&context, call, completion, response).await;
        }
        if call.is_idempotent() {
            let reply = parsed.answer(&context, call).await?;
            reply.write(response);
            return Ok(());
        }
        let run = {
            let (context, call) = (context.clone(), Arc::clone(call));
            async move { parsed.answer(&context, &call).await }
        };
        let reply = claim::run_once(&context, call, run).await?;
        reply.write(response);
        Ok(())
    }
}

/// A parsed request.
#[derive(Debug)]
enum ParsedRequest {
    /// Request for a chat or text completion, which an engine generates.
    Completion(CompletionRequest),
    /// Call to a plain service.
    Plain(PlainCall),
}

impl ParsedRequest {
    /// Estimates the maximum sum of prompt and output tokens; 0 for a call to a plain
    /// service.
    fn estimated_tokens(&self) -> u64 {
        match self {
            Self::Completion(completion) => {
                u64::from(estimate_tokens(&completion.prompt)) + u64::from(completion.max_tokens)
            }
            Self::Plain(_) => 0,
        }
    }

    /// Waits for the complete answer.
    async fn answer(&self, context: &EntryContext, call: &Arc<Call>) -> Result<Reply> {
        match self {
            Self::Completion(completion) => {
                complete::answer_buffered(context, call, completion).await
            }
            Self::Plain(plain) => plain::answer(context, call, plain).await,
        }
    }
}

/// Finds the route of a request.
///
/// `has_key` tells whether the request carries an API key, which may be unknown;
/// `key` is the ledger's entry for it. A request with an unknown key gets
/// [`Error::InvalidKey`] where a request without a key gets
/// [`Error::MissingKey`].
fn find_route(
    index: &ServiceIndex,
    request: &Request,
    has_key: bool,
    key: Option<&KeyEntry>,
) -> Result<Arc<RouteEntry>> {
    let service = key.map(|key| &*key.service);
    let (path, method) = (request.uri().path(), request.method().as_str());
    match index.find(path, method, service) {
        Err(Error::MissingKey) if has_key => Err(Error::InvalidKey),
        found => found,
    }
}

/// Returns the client account that a request is charged to.
fn find_account(
    index: &ServiceIndex,
    entry: &RouteEntry,
    key: Option<&KeyEntry>,
) -> Result<Arc<AccountEntry>> {
    let service = &entry.service.document.service;
    let name = match entry.route.access {
        Access::Open => OPEN_ACCOUNT,
        Access::Keyed => &key.ok_or(Error::InvalidKey)?.account,
    };
    let account = index.account(service, name).ok_or(Error::InvalidKey)?;
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
