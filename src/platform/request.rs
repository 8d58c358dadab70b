//! HTTP headers of the requests and answers that the gateway exchanges with callers and
//! with targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use displaydoc::Display;
use hyper::{
    HeaderMap, StatusCode,
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, HOST,
        HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
    http::{request, response},
};

use super::{KvSource, token_count::read_tokens};
use crate::call::{Call, Prompt, PromptPart};

pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
pub(super) const MODEL: HeaderName = HeaderName::from_static("model");
pub(super) const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
// The platform's "tenant" is a client account.
const TENANT: HeaderName = HeaderName::from_static("tenant");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
const REQUEST_PRIORITY: HeaderName = HeaderName::from_static("request-priority");
const STAGE: HeaderName = HeaderName::from_static("stage");
const KV_SOURCE: HeaderName = HeaderName::from_static("kv-source");
const KV_FETCH: HeaderName = HeaderName::from_static("kv-fetch");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
// A target's signature of its answer.
const RESPONSE_SEAL: HeaderName = HeaderName::from_static("response-seal");

/// Headers that only the gateway sets. They are dropped from callers' requests.
const GATEWAY_HEADERS: [HeaderName; 14] = [
    DEADLINE,
    LAST_EVENT_ID,
    TENANT,
    EXPECT_INSTANCE,
    REQUEST_PRIORITY,
    STAGE,
    KV_SOURCE,
    AUTHORIZATION,
    HeaderName::from_static("expect-version"),
    HeaderName::from_static("pin-ms"),
    HeaderName::from_static("kv-hold"),
    HeaderName::from_static("kv-backup"),
    KV_FETCH,
    HeaderName::from_static("not-executed"),
];

/// Hop-by-hop headers, and headers that the HTTP library sets itself on each
/// connection. They are not forwarded.
const CONNECTION_HEADERS: [HeaderName; 10] = [
    CONNECTION,
    CONTENT_LENGTH,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-authenticate"),
    HeaderName::from_static("proxy-authorization"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Authorization scheme of an API key, with the separating space.
pub(super) const KEY_SCHEME: &str = "Token ";

/// Longest pause that a target may ask for, in seconds.
const MAX_PAUSE_S: f64 = 3_600.0;

/// Longest idle timeout of a target that is used, in seconds. Targets may announce any number.
const MAX_IDLE_TIMEOUT_S: u64 = 3_600;

/// Least urgent priority that targets accept.
const MAX_PRIORITY: u8 = 9;

/// Decoded head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallerHead {
    /// Identifier that the caller assigned to the request.
    pub id: Arc<str>,
    /// Requested host, in lower case and without the port.
    pub host: Arc<str>,
    /// Time for which the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// API key of a client account.
    pub key: Option<Arc<str>>,
    /// Description of the prompt, if the request has one.
    pub prompt: Option<Prompt>,
    /// Tokens of the prompt and the maximum of the answer, if the request names both.
    pub tokens: Option<u64>,
    /// Identifier of the last event that the caller has received, if the request
    /// resumes a stream.
    pub resume_after: Option<Arc<str>>,
    /// Headers that are forwarded unchanged.
    pub headers: HeaderMap,
}

/// Error that makes a request head invalid.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub enum HeadError {
    /// the request has no identifier
    MissingId,
    /// the request names no host
    MissingHost,
    /// the deadline is not a number of milliseconds
    InvalidDeadline,
}

/// Decodes the head of a caller's request.
///
/// # Errors
///
/// Fails if the identifier or the host is missing or the deadline is invalid.
pub fn read_caller_head(parts: &request::Parts) -> Result<CallerHead, HeadError> {
    let headers = &parts.headers;
    let id = header_text(headers, &REQUEST_ID).filter(|id| !id.is_empty());
    let host = header_text(headers, &HOST).or_else(|| parts.uri.host());
    Ok(CallerHead {
        id: id.ok_or(HeadError::MissingId)?.into(),
        host: without_port(host.ok_or(HeadError::MissingHost)?)
            .to_ascii_lowercase()
            .into(),
        deadline: read_deadline(headers)?,
        key: header_text(headers, &AUTHORIZATION)
            .and_then(|value| value.strip_prefix(KEY_SCHEME))
            .map(|key| key.trim().into()),
        prompt: read_prompt(headers),
        tokens: read_tokens(headers).map(|(prompt, output)| prompt.saturating_add(output)),
        resume_after: header_text(headers, &LAST_EVENT_ID).map(Arc::from),
        headers: forwarded_headers(headers, &GATEWAY_HEADERS),
    })
}

/// Head fields of a request to a target, in addition to those of the call.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptHead<'a> {
    /// Identifier of the only target that may run the request.
    pub target_id: &'a str,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Whether the target only prefills the prompt and generates no answer.
    pub prefill_only: bool,
    /// Location of the prompt's KV cache, if another engine has prefilled the prompt.
    pub kv_source: Option<&'a KvSource>,
    /// Engine from which the target first fetches the KV cache of the prompt's
    /// shared parts.
    pub fetch_from: Option<SocketAddr>,
    /// Identifier of the last event that the caller has received, from an earlier
    /// attempt or as stated in the caller's request.
    pub resume_after: Option<&'a str>,
}

/// Encodes the headers of a request to a target.
#[must_use]
pub fn attempt_headers(call: &Call, head: &AttemptHead<'_>) -> HeaderMap {
    let mut headers = call.headers.clone();
    let left_ms = head.time_left.as_millis().max(1) as u64;
    headers.insert(DEADLINE, HeaderValue::from(left_ms));
    insert_header(&mut headers, EXPECT_INSTANCE, head.target_id);
    if let Some(account) = &call.account {
        insert_header(&mut headers, TENANT, &account.name);
    }
    if let Some(event) = head.resume_after {
        insert_header(&mut headers, LAST_EVENT_ID, event);
    }
    if call.prompt.is_some() {
        let priority = call.priority.min(MAX_PRIORITY);
        headers.insert(REQUEST_PRIORITY, HeaderValue::from(u16::from(priority)));
    }
    if head.prefill_only {
        headers.insert(STAGE, HeaderValue::from_static("prefill"));
    }
    if let Some(address) = head.fetch_from {
        insert_header(&mut headers, KV_FETCH, &address.to_string());
    }
    if let Some(source) = head.kv_source {
        insert_header(&mut headers, KV_SOURCE, &source.to_string());
    }
    headers
}

/// Decoded headers of a target's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerHead {
    /// Identifier of the request to which the answer belongs.
    pub request_id: Option<Arc<str>>,
    /// Whether the target signed the answer.
    pub is_signed: bool,
    /// Whether the answer states that the target did not run the request.
    pub is_not_run: bool,
    /// Whether the body has a content encoding, which was not requested.
    pub is_encoded: bool,
    /// Whether a length or chunks mark the end of the body. Otherwise the body ends with
    /// the connection.
    pub is_delimited: bool,
    /// Time for which the target keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// What the target says about the requests that it takes.
    pub hints: TargetHints,
}

/// What a target says in an answer about the requests that it takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetHints {
    /// Rate of requests that the target takes from all instances together, in requests per
    /// second; `None` if it names no limit.
    pub limit_per_s: Option<f64>,
    /// Whether the target is about to stop, and takes no new requests.
    pub is_leaving: bool,
    /// Time for which the target wants no request from this instance, after it has turned
    /// one away.
    pub pause: Option<Duration>,
}

/// Decodes the head of a target's answer.
#[must_use]
pub fn read_answer_head(parts: &response::Parts) -> AnswerHead {
    let headers = &parts.headers;
    AnswerHead {
        request_id: header_text(headers, &REQUEST_ID).map(Arc::from),
        is_signed: headers.contains_key(RESPONSE_SEAL),
        is_not_run: headers.contains_key(NOT_EXECUTED)
            || parts.status == StatusCode::MISDIRECTED_REQUEST,
        is_encoded: headers.contains_key(CONTENT_ENCODING),
        is_delimited: headers.contains_key(CONTENT_LENGTH)
            || headers.contains_key(TRANSFER_ENCODING),
        idle_timeout: header_text(headers, &KEEP_ALIVE).and_then(read_keep_alive),
        hints: read_target_hints(parts.status, headers),
    }
}

/// Decodes what a target says in the status and headers of an answer about the requests
/// that it takes. A malformed header is logged and left out.
#[must_use]
pub fn read_target_hints(status: StatusCode, headers: &HeaderMap) -> TargetHints {
    let pause_s = match status {
        StatusCode::SERVICE_UNAVAILABLE => read_number(headers, &RETRY_AFTER),
        _ => None,
    };
    TargetHints {
        pause: pause_s.map(|pause_s| Duration::from_secs_f64(pause_s.min(MAX_PAUSE_S))),
        limit_per_s: read_number(headers, &SERVER_LIMIT),
        is_leaving: header_text(headers, &SERVER_LEAVING) == Some("1"),
    }
}

/// Returns the value of a header that is a number from 0 on.
fn read_number(headers: &HeaderMap, name: &HeaderName) -> Option<f64> {
    let text = header_text(headers, name)?;
    let number = text.parse().ok();
    let number = number.filter(|number: &f64| number.is_finite() && *number >= 0.0);
    if number.is_none() {
        tracing::warn!("platform: target sent a malformed {name}: {text}");
    }
    number
}

/// Returns the headers of a target's answer that are forwarded to the caller.
#[must_use]
pub fn caller_headers(headers: &HeaderMap) -> HeaderMap {
    forwarded_headers(headers, &[])
}

/// Encodes the headers of an answer that the gateway itself generates.
#[must_use]
pub fn refusal_headers(id: Option<&str>, retry_after: Option<Duration>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(id) = id {
        insert_header(&mut headers, REQUEST_ID, id);
    }
    if let Some(delay) = retry_after {
        insert_header(
            &mut headers,
            RETRY_AFTER,
            &format!("{:.2}", delay.as_secs_f64()),
        );
    }
    headers
}

/// Encodes the headers of a call that the gateway itself makes to an engine.
#[must_use]
pub fn engine_headers(target_id: &str, address: SocketAddr) -> HeaderMap {
    let mut headers = HeaderMap::new();
    insert_header(&mut headers, HOST, &address.to_string());
    insert_header(&mut headers, EXPECT_INSTANCE, target_id);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers
}

/// Copies the headers that are forwarded: all except [`CONNECTION_HEADERS`], the
/// headers that a `Connection` header names, and `dropped`.
fn forwarded_headers(headers: &HeaderMap, dropped: &[HeaderName]) -> HeaderMap {
    let mut connection_names = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let Ok(value) = value.to_str() else {
            continue;
        };
        connection_names.extend(
            value
                .split(',')
                .map(|name| name.trim().to_ascii_lowercase()),
        );
    }
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let concerns_connection = CONNECTION_HEADERS.contains(name)
            || connection_names
                .iter()
                .any(|listed| listed == name.as_str());
        if concerns_connection || dropped.contains(name) {
            continue;
        }
        kept.append(name, value.clone());
    }
    kept
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, HeadError> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(None);
    };
    let millis: f64 = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok())
        .ok_or(HeadError::InvalidDeadline)?;
    let deadline = Duration::try_from_secs_f64(millis / 1_000.0);
    deadline.map(Some).map_err(|_| HeadError::InvalidDeadline)
}

/// Decodes the headers that describe the prompt. Returns `None` if they are missing or
/// malformed; the target gets the headers unchanged and decides whether to run the
/// request.
fn read_prompt(headers: &HeaderMap) -> Option<Prompt> {
    let model = header_text(headers, &MODEL)?.into();
    let (prompt_tokens, max_output_tokens) = read_tokens(headers)?;
    let mut parts = Vec::new();
    for entry in header_text(headers, &PROMPT_PREFIX)
        .unwrap_or("")
        .split(',')
    {
        let Some((id, tokens)) = entry.trim().split_once(':') else {
            continue;
        };
        parts.push(PromptPart {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        });
    }
    Some(Prompt {
        model,
        prompt_tokens: prompt_tokens.try_into().ok()?,
        max_output_tokens: max_output_tokens.try_into().ok()?,
        parts,
    })
}

/// Returns the timeout of a `Keep-Alive` header, at most [`MAX_IDLE_TIMEOUT_S`].
fn read_keep_alive(value: &str) -> Option<Duration> {
    for parameter in value.split(',') {
        let Some((name, seconds)) = parameter.split_once('=') else {
            continue;
        };
        if name.trim().eq_ignore_ascii_case("timeout") {
            let seconds: u64 = seconds.trim().parse().ok()?;
            return Some(Duration::from_secs(seconds.min(MAX_IDLE_TIMEOUT_S)));
        }
    }
    None
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Sets a header. If the value is not a valid header value, the header is left out and
/// a warning is logged; values from validated sources are always valid.
pub(super) fn insert_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => tracing::warn!("platform: header {name} omitted: invalid value: {error}"),
    }
}
