//! Stand-ins for clients.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{http::Connection, record::Record};

/// Tokens that are generated at most for each prompt.
const OUTPUT_TOKENS: u32 = 40;

/// Result of one attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: String,
    /// Index of the machine that the request was sent to.
    pub machine: usize,
    pub sent_at: Duration,
    pub ended_at: Duration,
    /// Status; 0 if the connection ended without an answer.
    pub status: u16,
    /// Whether the answer arrived to its end.
    pub complete: bool,
    /// When the head of an answer arrived that says that its worker leaves.
    pub told_at: Option<Duration>,
}

#[derive(Default)]
pub struct Clients {
    pub attempts: Mutex<Vec<Attempt>>,
    numbers: AtomicU64,
}

/// Prompt of a request.
#[derive(Clone)]
pub struct Prompt {
    /// Parts that other requests share, each with a comma behind it.
    pub shared: String,
    /// Tokens of the last part, which is the request's own.
    pub own_tokens: u32,
}

/// A request of a client.
#[derive(Clone)]
pub struct Wanted {
    pub path: &'static str,
    /// Prompt; `None` for a plain service.
    pub prompt: Option<Prompt>,
    pub deadline: Duration,
}

impl Clients {
    fn next_id(&self, name: &str) -> String {
        format!("{name}-{}", self.numbers.fetch_add(1, Ordering::SeqCst) + 1)
    }

    /// Sends one request on a connection, which is opened if there is none, and waits for
    /// the answer.
    pub fn send(
        &self,
        record: &Record,
        name: &str,
        (machine, address): (usize, SocketAddr),
        connection: &mut Option<Connection>,
        wanted: &Wanted,
    ) -> Attempt {
        let id = self.next_id(name);
        let path = wanted.path;
        let deadline_ms = wanted.deadline.as_millis();
        let mut head = format!(
            "POST {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {deadline_ms}\r\nAuthorization: Token key-1\r\n"
        );
        if let Some(Prompt { shared, own_tokens }) = &wanted.prompt {
            let own = self.numbers.fetch_add(1, Ordering::SeqCst) + 0x10_0000;
            let parts = format!("{shared}{own:x}:{own_tokens}");
            let tokens: u32 = parts
                .split(',')
                .filter_map(|part| part.split_once(':')?.1.parse::<u32>().ok())
                .sum();
            head.push_str(&format!(
                "Model: m\r\nToken-Count: {tokens},{OUTPUT_TOKENS}\r\nPrompt-Prefix: {parts}\r\n"
            ));
        }
        let sent_at = record.now();
        record.note(&format!("client sends {id} to machine {machine}"));
        let patience = wanted.deadline + Duration::from_secs(1);
        let opened = connection
            .take()
            .map_or_else(|| Connection::open(address, patience), Ok);
        let mut told_at = None;
        let answer = opened.and_then(|mut opened| {
            let answer = opened.exchange(&head, id.as_bytes(), |headers| {
                if headers
                    .get("server-leaving")
                    .is_some_and(|text| text == "1")
                {
                    told_at = Some(record.now());
                }
            })?;
            let closes = answer
                .headers
                .get("connection")
                .is_some_and(|text| text == "close");
            *connection = Some(opened).filter(|_| answer.complete && !closes);
            Ok(answer)
        });
        let answer = answer.unwrap_or_default();
        let attempt = Attempt {
            request: id,
            machine,
            sent_at,
            ended_at: record.now(),
            status: answer.status,
            complete: answer.complete,
            told_at,
        };
        record.note(&format!(
            "client has {} from machine {machine}: {}{}{}",
            attempt.request,
            attempt.status,
            if attempt.complete {
                ""
            } else {
                ", not complete"
            },
            if attempt.told_at.is_some() {
                ", worker leaves"
            } else {
                ""
            },
        ));
        self.attempts.lock().unwrap().push(attempt.clone());
        attempt
    }
}

/// Starts a client that sends requests one after the other on a kept connection until
/// `until`, with a pause between them. The first one is sent `first_after` from now.
pub fn keep_sending(
    clients: &Arc<Clients>,
    record: &Arc<Record>,
    name: &'static str,
    machine: (usize, SocketAddr),
    wanted: Wanted,
    pause: Duration,
    (first_after, until): (Duration, Duration),
) -> thread::JoinHandle<()> {
    let (clients, record) = (clients.clone(), record.clone());
    thread::spawn(move || {
        thread::sleep(first_after);
        let mut connection = None;
        while record.now() < until {
            clients.send(&record, name, machine, &mut connection, &wanted);
            thread::sleep(pause);
        }
    })
}

/// Returns a configuration with the kinds of routes of the site `anfach-taller`.
pub fn configuration() -> String {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u32, attempts: u32| {
        let streams = kind == "streaming";
        let resumable = attempts > 1 && streams;
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":500,\
             \"priority\":2,\"service\":\"{service}\",\"max_attempts\":{attempts},\
             \"anonymous\":false,\"sticky\":{streams},\"resumable\":{resumable}}}"
        )
    };
    let routes = [
        route("order", "unsafe", "desk", 1_000, 1),
        route("look", "safe", "desk", 1_000, 2),
        route("chat", "streaming", "models", 5_000, 2),
        route("once", "streaming", "models", 5_000, 1),
    ];
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[\
         {{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":110}},\
         {{\"name\":\"models\",\"health_path\":\"/health\",\"max_conns\":370,\"engine\":\
         {{\"slots\":64,\"kv_tokens\":539004,\"switch_s\":3.0,\"handle_ttl_s\":5.0}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":5000,\"idle_timeout_ms\":30000}},\
         \"tenants\":[{{\"name\":\"mill\",\"api_keys\":[\"key-1\"]}}]}}",
        routes.join(",")
    )
}
