//! Stand-ins for a small platform, on loopback: the store, the API for duties and a worker,
//! each with a plain HTTP/1.1 server. A script's program includes this file.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        let mut bytes = [0; 16384];
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&bytes[..count]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let mut words = lines.next()?.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut headers = BTreeMap::new();
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length: usize = headers
        .get("content-length")
        .map_or(0, |text| text.parse().unwrap_or(0));
    while buffer.len() < length {
        let mut bytes = [0; 65536];
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&bytes[..count]),
        }
    }
    let body = buffer.drain(..length).collect();
    let (path, query_text) = target.split_once('?').unwrap_or((&target, ""));
    let mut query = BTreeMap::new();
    for pair in query_text.split('&') {
        if let Some((name, value)) = pair.split_once('=') {
            query.insert(name.to_owned(), value.replace("%2F", "/"));
        }
    }
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

pub fn respond(stream: &mut TcpStream, status: u16, more: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} X\r\n{more}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Serves connections, each in a thread, until the process ends.
pub fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Request, &mut TcpStream) -> bool + Clone + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some(request) = read_request(&mut stream, &mut buffer) {
                    if !answer(&request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}

pub fn listen() -> (TcpListener, u16) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let port = listener.local_addr().unwrap().port();
    (listener, port)
}

/// Returns a port that was free a moment ago.
pub fn free_port() -> u16 {
    listen().1
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Vec<Vec<u8>>>>,
    changed: Condvar,
}

impl Store {
    /// Appends a record of a keyed topic, as the operator or a worker does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.topics
            .lock()
            .unwrap()
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        self.changed.notify_all();
    }

    /// Answers a call of the machine whose calls are turned away while `away` is set.
    pub fn answer(&self, request: &Request, stream: &mut TcpStream, away: &AtomicBool) -> bool {
        let refused = |stream: &mut TcpStream| respond(stream, 503, "", b"{}");
        if away.load(Ordering::SeqCst) {
            return refused(stream);
        }
        let json = "Content-Type: application/json\r\n";
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let mut topics = self.topics.lock().unwrap();
        let end = topics.get(&topic).map_or(0, Vec::len);
        match request.path.as_str() {
            "/log-append" => {
                if request
                    .query
                    .get("at")
                    .is_some_and(|at| *at != end.to_string())
                {
                    let body = format!("{{\"end_offset\":{end}}}");
                    return respond(stream, 412, json, body.as_bytes());
                }
                let records = topics.entry(topic).or_default();
                let mut body = &request.body[..];
                while body.len() >= 4 {
                    let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
                    records.push(body[4..4 + length].to_vec());
                    body = &body[4 + length..];
                }
                let body = format!("{{\"offset\":{end},\"end_offset\":{}}}", records.len());
                self.changed.notify_all();
                drop(topics);
                respond(stream, 200, json, body.as_bytes())
            }
            "/log-read" => {
                let from: usize = request.query["from"].parse().unwrap_or(0);
                let wait: u64 = request
                    .query
                    .get("wait_ms")
                    .map_or(0, |text| text.parse().unwrap_or(0));
                let until = Instant::now() + Duration::from_millis(wait);
                while topics.get(&topic).map_or(0, Vec::len) <= from && Instant::now() < until {
                    topics = self
                        .changed
                        .wait_timeout(topics, Duration::from_millis(50))
                        .unwrap()
                        .0;
                    if away.load(Ordering::SeqCst) {
                        drop(topics);
                        return refused(stream);
                    }
                }
                let empty = Vec::new();
                let records = topics.get(&topic).unwrap_or(&empty);
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                drop(topics);
                respond(stream, 200, "", &body)
            }
            "/log-newest" => {
                let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
                for (offset, record) in topics.get(&topic).into_iter().flatten().enumerate() {
                    let length = record[0] as usize;
                    let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
                    match record.len() > 1 + length {
                        true => newest.insert(key, (offset, record[1 + length..].to_vec())),
                        false => newest.remove(&key),
                    };
                }
                drop(topics);
                let after = request.query.get("after").cloned().unwrap_or_default();
                let mut items = Vec::new();
                for (key, (offset, value)) in newest {
                    if key > after && after.is_ascii() && !after.starts_with('%') {
                        let value = base64(&value);
                        items.push(format!(
                            "{{\"key\":\"{key}\",\"offset\":{offset},\"value\":\"{value}\"}}"
                        ));
                    }
                }
                let items = items.join(",");
                let body = format!("{{\"items\":[{items}],\"more\":false,\"end_offset\":{end}}}");
                respond(stream, 200, json, body.as_bytes())
            }
            _ => respond(stream, 404, json, b"{}"),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// Instance of the system under test; killed on drop.
pub struct Instance {
    pub caller_port: u16,
    pub ready_port: u16,
    child: Child,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Instance {
    /// Starts an instance with the command and the template of the deploy file. Its ports were
    /// free a moment before; if another program has taken one, it ends and is started again.
    pub fn start(folder: &str, name: &str, store_port: u16, cloud_port: u16) -> Self {
        loop {
            let mut instance = Self::start_once(folder, name, store_port, cloud_port);
            thread::sleep(Duration::from_millis(300));
            if matches!(instance.child.try_wait(), Ok(None)) {
                return instance;
            }
        }
    }

    fn start_once(folder: &str, name: &str, store_port: u16, cloud_port: u16) -> Self {
        let (caller_port, ready_port) = (free_port(), free_port());
        let (peer_port, metrics_port) = (free_port(), free_port());
        let local = "127.0.0.1";
        let settings = format!(
            "name: \"{name}\"\nfailure_domain: \"z1\"\ncaller_address: \"{local}:{caller_port}\"\n\
             readiness_address: \"{local}:{ready_port}\"\npeer_address: \"{local}:{peer_port}\"\n\
             metrics_address: \"{local}:{metrics_port}\"\nstore_address: \"{local}:{store_port}\"\n\
             cloud_address: \"{local}:{cloud_port}\"\nduties:\n  usage: true\n  ordering: true\n  \
             roles: true\ntiming:\n  lease_ms: 3000\n  usage_window_ms: 5000\n  usage_due_ms: 10000\n  \
             stop_ms: 8000\n  drain_ms: 2000\n  target_heartbeat_ms: 1200\n  settle_ms: 3000\n\
             retries:\n  ratio: 0.2\n  window_ms: 10000\n  slack: 56\nlimits:\n  memory_mb: 260\n  \
             max_descriptors: 4100\nlogging:\n  format: json\n"
        );
        let path = format!("{folder}/{name}.yaml");
        std::fs::write(&path, settings).expect("cannot write settings");
        let log = std::fs::File::create(format!("{folder}/{name}.log")).expect("cannot write log");
        let child = Command::new("target/release/lavenderwind")
            .arg("gateway")
            .env("LAVENDERWIND_NODE_FILE", &path)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("cannot start an instance");
        Self {
            caller_port,
            ready_port,
            child,
        }
    }

    pub fn is_ready(&self) -> bool {
        get_status(
            self.ready_port,
            "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n",
        ) == 200
    }
}

/// Sends a request on a new connection; returns the status, 0 without an answer.
pub fn get_status(port: u16, request: &str) -> u16 {
    let Ok(mut stream) = TcpStream::connect(("127.0.0.1", port)) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    if stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let mut bytes = [0; 512];
    let count = stream.read(&mut bytes).unwrap_or(0);
    let head = String::from_utf8_lossy(&bytes[..count]).into_owned();
    head.split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Waits until a condition holds; false after 30 s.
pub fn wait_until<F: FnMut() -> bool>(mut holds: F) -> bool {
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

pub type Shared<T> = Arc<Mutex<T>>;
