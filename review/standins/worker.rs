//! Stand-ins for workers: plain services and engines.

use std::{
    io::{self, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request, Server, write_answer},
    platform::Store,
    record::Record,
};

/// Interval at which a worker writes its entry (`heartbeat_ms`).
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time of a change of stage (`switch_s`).
const SWITCH: Duration = Duration::from_secs(3);

/// Number of events of a stream.
const EVENTS: u32 = 12;

/// Bytes a second of each endless answer.
const ENDLESS_BYTES_PER_S: u64 = 3_200_000;
const ENDLESS_PIECE_BYTES: usize = 32 << 10;

/// What a worker does in place of a sound answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    None,
    /// Fails each request with a body of bytes without end.
    Endless,
    /// Crashes as it begins to write an answer on a prompt with this part.
    DeadlyPart(&'static str),
}

#[derive(Clone)]
pub struct WorkerOptions {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    /// Stage of an engine; empty for a plain service.
    pub stage: &'static str,
    pub work: Duration,
    /// Time between two events of a stream.
    pub event_gap: Duration,
    pub down: Duration,
}

struct State {
    /// Identifier of the present incarnation.
    id: String,
    stage: String,
    born: u64,
    orders: u64,
    busy: bool,
    /// Whether the entry is written at each heartbeat.
    registered: bool,
    crashes: u32,
    server: Option<Server>,
}

/// A request that reached a worker.
pub struct Arrival {
    pub worker: String,
    pub request: String,
    pub at: Duration,
    pub prefill: bool,
    pub parts: String,
}

/// What the workers have seen, for the check.
#[derive(Default)]
pub struct Seen {
    pub arrivals: Mutex<Vec<Arrival>>,
    pub crashes: Mutex<Vec<Duration>>,
}

pub struct Worker {
    options: WorkerOptions,
    address: String,
    state: Mutex<State>,
    pub trouble: Mutex<Trouble>,
    leaving: AtomicBool,
    store: Store,
    record: Arc<Record>,
    seen: Arc<Seen>,
}

impl Worker {
    pub fn start(
        options: WorkerOptions,
        store: &Store,
        record: &Arc<Record>,
        seen: &Arc<Seen>,
    ) -> io::Result<Arc<Self>> {
        let address = http::free_address()?.to_string();
        let worker = Arc::new(Self {
            address,
            state: Mutex::new(State {
                id: options.id.clone(),
                stage: options.stage.to_owned(),
                born: unix_ms(),
                orders: 0,
                busy: false,
                registered: true,
                crashes: 0,
                server: None,
            }),
            trouble: Mutex::new(Trouble::None),
            leaving: AtomicBool::new(false),
            options,
            store: store.clone(),
            record: record.clone(),
            seen: seen.clone(),
        });
        worker.listen()?;
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                beating.write_entry();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(worker)
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    fn listen(self: &Arc<Self>) -> io::Result<()> {
        let worker = self.clone();
        let server = Server::start(&self.address, move |request, stream| {
            worker.answer(&request, stream)
        })?;
        self.state.lock().unwrap().server = Some(server);
        Ok(())
    }

    /// Writes the entry, unless the worker has left the list or the store is away.
    fn write_entry(&self) {
        let state = self.state.lock().unwrap();
        if !state.registered || state.server.is_none() || self.store.is_away() {
            return;
        }
        self.store
            .put("keyed.servers", &state.id, &self.entry(&state));
    }

    fn entry(&self, state: &State) -> String {
        let stage = match state.stage.is_empty() {
            true => String::new(),
            false => format!(",\"stage\":\"{}\"", state.stage),
        };
        let WorkerOptions { service, zone, .. } = self.options;
        let State { born, orders, .. } = *state;
        let address = &self.address;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\
             \"seq\":{orders},\"born\":{born}{stage}}}"
        )
    }

    /// Returns whether the worker is an engine that writes answers.
    pub fn decodes(&self) -> bool {
        let state = self.state.lock().unwrap();
        state.stage == "decode" && !state.busy
    }

    /// Says in all answers that the worker leaves.
    pub fn say_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Leaves the list without a report of `draining`, and goes on serving.
    pub fn leave_list(&self) {
        let mut state = self.state.lock().unwrap();
        state.registered = false;
        self.store.put("keyed.servers", &state.id, "");
        self.record
            .note(&format!("worker {} leaves: its entry is removed", state.id));
    }

    /// Ends the process of the worker.
    pub fn end(&self) {
        let server = self.state.lock().unwrap().server.take();
        if let Some(server) = server {
            server.stop();
        }
    }

    /// Ends the worker at once, and starts it again later under a new identifier.
    fn crash(self: &Arc<Self>) {
        let mut state = self.state.lock().unwrap();
        let Some(server) = state.server.take() else {
            return;
        };
        state.crashes += 1;
        let crashed_id = state.id.clone();
        let next_id = format!("{}-{}", self.options.id, state.crashes);
        drop(state);
        server.stop();
        let at = self.record.now();
        self.seen.crashes.lock().unwrap().push(at);
        self.record.note(&format!("worker {crashed_id} crashes"));
        let worker = self.clone();
        thread::spawn(move || {
            // The platform removes an entry after three heartbeats of silence.
            thread::sleep(3 * HEARTBEAT);
            worker.store.put("keyed.servers", &crashed_id, "");
            thread::sleep(worker.options.down.saturating_sub(3 * HEARTBEAT));
            {
                let mut state = worker.state.lock().unwrap();
                state.id = next_id;
                state.born = unix_ms();
                state.orders = 0;
                state.busy = false;
            }
            match worker.listen() {
                Ok(()) => worker
                    .record
                    .note(&format!("worker {} starts", worker.id())),
                Err(error) => worker.record.note(&format!("worker cannot start: {error}")),
            }
            worker.write_entry();
        });
    }

    fn answer(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let id = self.id();
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != id {
            let request_id = request.header("request-id");
            let headers = format!("Request-Id: {request_id}\r\nInstance-Id: {id}\r\n");
            write_answer(stream, 421, &headers, b"")?;
            return Ok(true);
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/report") => self.report(stream)?,
            ("POST", "/order") => self.order(request, stream)?,
            ("DELETE", _) => write_answer(stream, 200, "", b"{}")?,
            _ => return self.run(request, stream),
        }
        Ok(true)
    }

    fn report(&self, stream: &mut TcpStream) -> io::Result<()> {
        let state = self.state.lock().unwrap();
        let State {
            stage,
            orders,
            busy,
            born,
            ..
        } = &*state;
        let body = format!(
            "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":{busy},\"seq\":{orders},\"waiting\":0,\"running\":0,\"kv_used\":0,\
             \"kv_total\":500000,\"kv_handles\":0,\"born\":{born}}}"
        );
        drop(state);
        write_answer(
            stream,
            200,
            "Content-Type: application/json\r\n",
            body.as_bytes(),
        )
    }

    fn order(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let stage = match body.contains("\"stage\":\"prefill\"") {
            true => "prefill",
            false => "decode",
        };
        let mut state = self.state.lock().unwrap();
        if state.busy {
            return write_answer(stream, 409, "", b"{}");
        }
        if state.stage == stage {
            return write_answer(stream, 200, "", b"{}");
        }
        state.busy = true;
        state.orders += 1;
        self.record
            .note(&format!("worker {} takes the order {body}", state.id));
        drop(state);
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(SWITCH);
            {
                let mut state = worker.state.lock().unwrap();
                state.stage = stage.to_owned();
                state.busy = false;
            }
            worker.write_entry();
        });
        write_answer(stream, 202, "", b"{}")
    }

    fn run(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let prefill = request.header("stage") == "prefill";
        let stage = self.state.lock().unwrap().stage.clone();
        let id = request.header("request-id");
        if !stage.is_empty() && prefill != (stage == "prefill") {
            write_answer(stream, 421, &format!("Request-Id: {id}\r\n"), b"")?;
            return Ok(true);
        }
        let parts = request.header("prompt-prefix").to_owned();
        let worker = self.id();
        self.record.note(&format!(
            "worker {worker} gets {id}{}",
            if prefill { " to read its prompt" } else { "" }
        ));
        self.seen.arrivals.lock().unwrap().push(Arrival {
            worker: worker.clone(),
            request: id.to_owned(),
            at: self.record.now(),
            prefill,
            parts: parts.clone(),
        });
        let mut head = format!("Request-Id: {id}\r\nResponse-Seal: 1.{id}.{worker}\r\n");
        if self.leaving.load(Ordering::SeqCst) {
            head.push_str("Server-Leaving: 1\r\n");
        }
        let trouble = *self.trouble.lock().unwrap();
        if trouble == Trouble::Endless {
            self.record
                .note(&format!("worker {worker} sends bytes without end for {id}"));
            return self.write_endlessly(stream, &head);
        }
        thread::sleep(self.options.work);
        if prefill {
            let body = format!("{{\"kv_handle\":\"h-{id}\",\"tokens\":1000,\"version\":1}}");
            write_answer(stream, 200, &head, body.as_bytes())?;
            return Ok(true);
        }
        if let Trouble::DeadlyPart(part) = trouble
            && parts.contains(part)
        {
            self.crash();
            return Ok(false);
        }
        if stage.is_empty() {
            write_answer(stream, 200, &head, &[b'a'; 800])?;
            return Ok(true);
        }
        write_stream(stream, &head, self.options.event_gap)?;
        Ok(true)
    }

    /// Sends bytes that are no answer until the caller closes the connection.
    fn write_endlessly(&self, stream: &mut TcpStream, head: &str) -> io::Result<bool> {
        stream.write_all(format!("HTTP/1.1 500 X\r\n{head}\r\n").as_bytes())?;
        let piece = [b'x'; ENDLESS_PIECE_BYTES];
        let since = Instant::now();
        let mut sent_bytes = 0;
        loop {
            let allowed = since.elapsed().as_millis() as u64 * (ENDLESS_BYTES_PER_S / 1_000);
            if sent_bytes > allowed {
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            stream.write_all(&piece)?;
            sent_bytes += piece.len() as u64;
        }
    }
}

fn write_stream(stream: &mut TcpStream, head: &str, event_gap: Duration) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: token {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes())?;
        thread::sleep(event_gap);
    }
    stream.write_all(b"0\r\n\r\n")
}

pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
