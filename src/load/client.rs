//! Client of a load run: sends single requests and measures their answers.

use std::time::Duration;

use reqwest::{RequestBuilder, Response};
use serde::Deserialize;
use tokio::time::{Instant, timeout};

use super::{
    plan::{LoadPlan, PlainCall},
    schedule::Arrival,
};
use crate::{
    standin::engine::Answer,
    target::{sse::SseBuffer, tokens::BYTES_PER_TOKEN},
};

/// Response header that reports whether a target ran a request that got no
/// complete answer.
const OUTCOME_HEADER: &str = "lavenderwind-outcome";
/// Largest share of the gaps between tokens, in percent, that may exceed
/// `between_tokens_ms` in a good answer.
const MAX_LATE_GAPS_PERCENT: u64 = 5;

/// How a request ended. The deadlines are `first_token_ms` and
/// `between_tokens_ms` of the plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Complete, within both deadlines, except that up to 5 % of the gaps between
    /// tokens may be longer.
    Good,
    /// Complete, but not within the deadlines.
    Late,
    /// Answered with a status other than success.
    Refused,
    /// Cut off, timed out or not sent.
    Failed,
    /// Complete, but with other content than expected.
    Wrong,
}

/// Outcome of a request as reported by the headers of its answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportedOutcome {
    /// The header is missing or its value is not recognized.
    #[default]
    None,
    /// No target ran the request.
    NotRun,
    /// A target ran the request.
    Ran,
    /// A target may have run the request.
    Unknown,
}

/// Measurements of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// How the request ended.
    pub ending: Ending,
    /// Outcome reported by the answer.
    pub reported_outcome: ReportedOutcome,
    /// Time from the scheduled arrival to the first token or the complete plain
    /// answer; `None` if neither was received.
    pub first_token: Option<Duration>,
    /// Time from sending to the first token or the complete plain answer; `None`
    /// if neither was received.
    pub first_token_from_send: Option<Duration>,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
    /// Number of tokens received.
    pub tokens: u64,
    /// Time from the scheduled arrival to the end of the answer or the failure.
    pub total: Duration,
}

/// Sends the requests of one run.
#[derive(Debug)]
pub(super) struct LoadClient {
    plan: LoadPlan,
    http: reqwest::Client,
}

/// Chunk of a streamed chat answer.
#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
}

#[derive(Debug, Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// State of an answer while it is received.
#[derive(Debug)]
struct AnswerProgress {
    arrived_at: Instant,
    sent_at: Instant,
    first_at: Option<Instant>,
    last_at: Instant,
    gaps: Vec<Duration>,
    text: String,
    complete: bool,
}

impl LoadClient {
    pub(super) fn new(plan: LoadPlan, http: reqwest::Client) -> Self {
        Self { plan, http }
    }

    /// Sends one request and measures its answer; times count from
    /// `arrived_at`.
    pub(super) async fn run(&self, arrival: &Arrival, arrived_at: Instant) -> Sample {
        let mut progress = AnswerProgress::new(arrived_at);
        let mut reported = ReportedOutcome::None;
        let request_timeout = Duration::from_millis(self.plan.timeout_ms);
        let exchange = self.exchange(arrival, &mut progress, &mut reported);
        let ending = timeout(request_timeout, exchange)
            .await
            .unwrap_or(Ending::Failed);
        let first_after = |start| {
            let first_at = progress.first_at?;
            Some(first_at.saturating_duration_since(start))
        };
        Sample {
            ending,
            reported_outcome: reported,
            first_token: first_after(arrived_at),
            first_token_from_send: first_after(progress.sent_at),
            tokens: progress.text.len().div_ceil(BYTES_PER_TOKEN) as u64,
            gaps: progress.gaps,
            total: arrived_at.elapsed(),
        }
    }

    /// Sends the request and reads its answer. `progress` and `reported` are
    /// updated on the way, so that both are known even if the timeout cancels the
    /// exchange.
    async fn exchange(
        &self,
        arrival: &Arrival,
        progress: &mut AnswerProgress,
        reported: &mut ReportedOutcome,
    ) -> Ending {
        let content = self.prompt(arrival);
        let request = match &self.plan.plain {
            Some(call) => self.plain_request(call, arrival, &content),
            None => self.chat_request(arrival, &content),
        };
        progress.sent_at = Instant::now();
        let Ok(mut response) = request.send().await else {
            return Ending::Failed;
        };
        *reported = reported_outcome(&response);
        if !response.status().is_success() {
            return Ending::Refused;
        }
        if self.plan.plain.is_some() {
            return self.read_plain(response, &content, progress).await;
        }
        if !progress.read_stream(&mut response).await {
            return Ending::Failed;
        }
        self.classify_chat(arrival, &content, progress)
    }

    fn chat_request(&self, arrival: &Arrival, content: &str) -> RequestBuilder {
        let body = serde_json::json!({
            "model": self.plan.model,
            "messages": [{ "role": "user", "content": content }],
            "max_tokens": arrival.output_tokens,
            "stream": true,
        });
        let url = format!("{}/v1/chat/completions", self.url(arrival));
        self.authorize(self.http.post(url), arrival).json(&body)
    }

    fn plain_request(&self, call: &PlainCall, arrival: &Arrival, content: &str) -> RequestBuilder {
        let url = format!("{}{}", self.url(arrival), call.path);
        let method = call.method.parse().unwrap_or(reqwest::Method::GET);
        let idempotent = method == reqwest::Method::GET;
        let request = self.authorize(self.http.request(method, url), arrival);
        if idempotent {
            return request;
        }
        let key = format!("load-{}-{}", self.plan.seed, arrival.number);
        request
            .header("idempotency-key", key)
            .body(content.to_owned())
    }

    fn authorize(&self, request: RequestBuilder, arrival: &Arrival) -> RequestBuilder {
        let key = &self.plan.accounts[arrival.account].key;
        if key.is_empty() {
            return request;
        }
        request.bearer_auth(key)
    }

    fn url(&self, arrival: &Arrival) -> &str {
        self.plan.urls[arrival.entry].trim_end_matches('/')
    }

    /// Builds a prompt: the prefix shared by the account's requests, followed
    /// by text unique to the request.
    fn prompt(&self, arrival: &Arrival) -> String {
        let account = &self.plan.accounts[arrival.account];
        let bytes = arrival.prompt_tokens as usize * BYTES_PER_TOKEN;
        let shared_tokens = account.shared_prefix_tokens.min(arrival.prompt_tokens);
        let mut content = Answer::new(&account.name).text(shared_tokens);
        let number = format!("{}.{} ", self.plan.seed, arrival.number);
        let unique_text = Answer::new(&number);
        content.push_str(&number);
        let mut index = 0;
        while content.len() < bytes {
            content.push_str(&unique_text.token(index));
            index += 1;
        }
        content
    }

    async fn read_plain(
        &self,
        response: Response,
        content: &str,
        progress: &mut AnswerProgress,
    ) -> Ending {
        let Ok(body) = response.bytes().await else {
            return Ending::Failed;
        };
        progress.record_token();
        let sent_body = self
            .plan
            .plain
            .as_ref()
            .is_some_and(|c| &*c.method != "GET");
        let body = String::from_utf8_lossy(&body);
        if self.plan.verify && sent_body && !body.contains(content) {
            return Ending::Wrong;
        }
        self.classify_timing(progress)
    }

    fn classify_chat(&self, arrival: &Arrival, content: &str, progress: &AnswerProgress) -> Ending {
        if self.plan.verify {
            let expected = Answer::new(&engine_prompt(content)).text(arrival.output_tokens);
            if progress.text != expected {
                return Ending::Wrong;
            }
        }
        self.classify_timing(progress)
    }

    fn classify_timing(&self, progress: &AnswerProgress) -> Ending {
        let first_token_limit = Duration::from_millis(self.plan.first_token_ms);
        let gap_limit = Duration::from_millis(self.plan.between_tokens_ms);
        if progress.meets_deadlines(first_token_limit, gap_limit) {
            Ending::Good
        } else {
            Ending::Late
        }
    }
}

impl AnswerProgress {
    fn new(arrived_at: Instant) -> Self {
        Self {
            arrived_at,
            sent_at: arrived_at,
            first_at: None,
            last_at: arrived_at,
            gaps: Vec::new(),
            text: String::new(),
            complete: false,
        }
    }

    fn record_token(&mut self) {
        let now = Instant::now();
        if self.first_at.is_none() {
            self.first_at = Some(now);
        } else {
            self.gaps.push(now.saturating_duration_since(self.last_at));
        }
        self.last_at = now;
    }

    /// Reads a streamed answer to its end; returns `true` if it is complete.
    async fn read_stream(&mut self, response: &mut Response) -> bool {
        let mut buffer = SseBuffer::default();
        while let Ok(Some(bytes)) = response.chunk().await {
            if !buffer.push(&bytes) {
                return false;
            }
            while let Some(data) = buffer.take_data() {
                if !self.process_event(&data) {
                    return false;
                }
            }
        }
        self.complete
    }

    /// Records one event of a streamed answer; returns `false` if it cannot be
    /// parsed.
    fn process_event(&mut self, data: &[u8]) -> bool {
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            self.complete = true;
            return true;
        }
        let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
            return false;
        };
        for choice in chunk.choices {
            let text = choice.delta.content.unwrap_or_default();
            if text.is_empty() {
                continue;
            }
            self.record_token();
            self.text.push_str(&text);
        }
        true
    }

    fn meets_deadlines(&self, first_token_limit: Duration, gap_limit: Duration) -> bool {
        let first = self.first_at;
        let first = first.map(|at| at.saturating_duration_since(self.arrived_at));
        let late_gaps = self.gaps.iter().filter(|gap| **gap > gap_limit).count() as u64;
        let first_in_time = first.is_some_and(|first| first <= first_token_limit);
        first_in_time && late_gaps * 100 <= self.gaps.len() as u64 * MAX_LATE_GAPS_PERCENT
    }
}

fn reported_outcome(response: &Response) -> ReportedOutcome {
    let value = response.headers().get(OUTCOME_HEADER);
    match value.map(|value| value.as_bytes()) {
        Some(b"not-run") => ReportedOutcome::NotRun,
        Some(b"ran") => ReportedOutcome::Ran,
        Some(b"unknown") => ReportedOutcome::Unknown,
        _ => ReportedOutcome::None,
    }
}

/// Renders the prompt that an engine receives for a single user message.
fn engine_prompt(content: &str) -> String {
    format!("<|user|>\n{content}\n<|assistant|>\n")
}
