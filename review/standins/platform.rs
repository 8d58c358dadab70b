//! Stand-ins for the platform: its store, its interface for duties, and the machines.

use std::{
    collections::HashMap,
    fs,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Request, Server, write_answer};

/// Longest wait of a read for a record.
const MAX_READ_WAIT: Duration = Duration::from_secs(30);

#[derive(Clone, Default)]
struct Records {
    topics: HashMap<String, Vec<Vec<u8>>>,
    era: u64,
}

impl Records {
    fn topic(&self, name: &str) -> &[Vec<u8>] {
        self.topics.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the newest value of each key of a keyed topic, with its offset.
    fn newest(&self, name: &str) -> Vec<(String, usize, Vec<u8>)> {
        let mut newest: HashMap<String, (usize, Vec<u8>)> = HashMap::new();
        for (offset, record) in self.topic(name).iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            match value.is_empty() {
                true => newest.remove(&key),
                false => newest.insert(key, (offset, value.to_vec())),
            };
        }
        let mut newest: Vec<_> = newest
            .into_iter()
            .map(|(key, (offset, value))| (key, offset, value))
            .collect();
        newest.sort();
        newest
    }
}

struct Shared {
    records: Mutex<Records>,
    changed: Condvar,
    /// Whether the store is away: it answers 503 and does nothing.
    is_away: Mutex<bool>,
}

/// The platform's store, a log with keyed topics.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

/// A copy of all that a store holds.
pub struct Copy(Records);

impl Store {
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            records: Mutex::default(),
            changed: Condvar::new(),
            is_away: Mutex::new(false),
        });
        let answering = shared.clone();
        let server = Server::start(
            &http::free_address()?.to_string(),
            move |request, stream| {
                answer_store(&answering, &request, stream)?;
                Ok(true)
            },
        )?;
        Ok(Self {
            shared,
            address: server.address,
        })
    }

    /// Appends a record of the operator or of a worker; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut records = self.shared.records.lock().unwrap();
        records
            .topics
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        self.shared.changed.notify_all();
    }

    pub fn set_away(&self, is_away: bool) {
        *self.shared.is_away.lock().unwrap() = is_away;
        self.shared.changed.notify_all();
    }

    pub fn is_away(&self) -> bool {
        *self.shared.is_away.lock().unwrap()
    }

    pub fn copy(&self) -> Copy {
        Copy(self.shared.records.lock().unwrap().clone())
    }

    /// Replaces all records by those of an older copy, in a new era.
    pub fn restore(&self, copy: Copy) {
        let mut records = self.shared.records.lock().unwrap();
        let era = records.era + 1;
        *records = Records { era, ..copy.0 };
        self.shared.changed.notify_all();
    }
}

fn answer_store(shared: &Shared, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
    if *shared.is_away.lock().unwrap() {
        return write_answer(stream, 503, "", b"");
    }
    let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
    let topic = query("topic");
    let mut records = shared.records.lock().unwrap();
    if request.path == "/log-read" {
        let from: usize = query("from").parse().unwrap_or(0);
        let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0)).min(MAX_READ_WAIT);
        let until = Instant::now() + wait;
        let era = records.era;
        while records.topic(&topic).len() == from && records.era == era {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || *shared.is_away.lock().unwrap() {
                break;
            }
            records = shared.changed.wait_timeout(records, left).unwrap().0;
        }
    }
    let (status, body) = match request.path.as_str() {
        "/log-append" => append(&mut records, &topic, &query("at"), &request.body),
        "/log-read" => read(&records, &topic, query("from").parse().unwrap_or(0)),
        "/log-newest" => newest(&records, &topic, &query("after")),
        _ => (404, Vec::new()),
    };
    let headers = format!("Store-Era: {}\r\n", records.era);
    drop(records);
    shared.changed.notify_all();
    write_answer(stream, status, &headers, &body)
}

fn append(records: &mut Records, topic: &str, at: &str, mut body: &[u8]) -> (u16, Vec<u8>) {
    let end = records.topic(topic).len();
    if !at.is_empty() && at != end.to_string() {
        return (412, format!("{{\"end_offset\":{end}}}").into_bytes());
    }
    let log = records.topics.entry(topic.to_owned()).or_default();
    while body.len() >= 4 {
        let (length, rest) = body.split_at(4);
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
        let (record, rest) = rest.split_at(length.min(rest.len()));
        log.push(record.to_vec());
        body = rest;
    }
    let end_offset = log.len();
    let answer = format!("{{\"offset\":{end},\"end_offset\":{end_offset}}}");
    (200, answer.into_bytes())
}

fn read(records: &Records, topic: &str, from: usize) -> (u16, Vec<u8>) {
    let log = records.topic(topic);
    if from > log.len() {
        return (410, b"{\"first_offset\":0}".to_vec());
    }
    let mut body = (log.len() as u64).to_be_bytes().to_vec();
    body.extend_from_slice(&0u64.to_be_bytes());
    for record in &log[from..] {
        body.extend_from_slice(&(record.len() as u32).to_be_bytes());
        body.extend_from_slice(record);
    }
    (200, body)
}

fn newest(records: &Records, topic: &str, after: &str) -> (u16, Vec<u8>) {
    let mut items = Vec::new();
    for (key, offset, value) in records.newest(topic) {
        if after.is_empty() || key.as_str() > after && !after.starts_with('%') {
            let value = base64(&value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
    }
    let end_offset = records.topic(topic).len();
    let items = items.join(",");
    let answer = format!("{{\"items\":[{items}],\"more\":false,\"end_offset\":{end_offset}}}");
    (200, answer.into_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(group >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// Starts the platform's interface for duties, which accepts each call.
pub fn start_cloud() -> io::Result<SocketAddr> {
    let server = Server::start(&http::free_address()?.to_string(), |_, stream| {
        write_answer(stream, 200, "", b"{}")?;
        Ok(true)
    })?;
    Ok(server.address)
}

/// A machine of the platform, which runs one instance of the system.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Child,
}

/// Addresses and limits of a machine.
pub struct MachineOptions<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
    pub memory_mb: u64,
}

impl Machine {
    /// Starts an instance with the command of the deploy file, and the settings that its
    /// template gives on the site `anfach-taller`.
    pub fn start(options: &MachineOptions<'_>) -> io::Result<Self> {
        let [front, ready, peer, metrics] = [
            http::free_address()?,
            http::free_address()?,
            http::free_address()?,
            http::free_address()?,
        ];
        let MachineOptions {
            name,
            zone,
            store,
            cloud,
            memory_mb,
        } = options;
        let text = format!(
            "name: \"{name}\"\nfailure_domain: \"{zone}\"\ncaller_address: \"{front}\"\n\
             readiness_address: \"{ready}\"\npeer_address: \"{peer}\"\n\
             metrics_address: \"{metrics}\"\nstore_address: \"{store}\"\n\
             cloud_address: \"{cloud}\"\nduties:\n  usage: true\n  ordering: true\n  \
             roles: true\ntiming:\n  lease_ms: 3000\n  usage_window_ms: 5000\n  \
             usage_due_ms: 10000\n  stop_ms: 8000\n  drain_ms: 2000\n  settle_ms: 3000\n\
             retries:\n  ratio: 0.2\n  window_ms: 10000\n  slack: 56\nlimits:\n  \
             memory_mb: {memory_mb}\n  max_descriptors: 4100\nlogging:\n  format: json\n"
        );
        let folder = std::env::var("CASE_TMP").unwrap_or_else(|_| "/tmp".to_owned());
        let settings = PathBuf::from(&folder).join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        let log = fs::File::create(PathBuf::from(&folder).join(format!("{name}.log")))?;
        let child = Command::new("target/release/lavenderwind")
            .arg("gateway")
            .env("LAVENDERWIND_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // The script ends these processes if this one is ended before.
        let mut options = fs::OpenOptions::new();
        options.create(true).append(true);
        let mut pids = options.open(PathBuf::from(&folder).join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        Ok(Self {
            name: (*name).to_owned(),
            front,
            ready,
            settings,
            child,
        })
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::get(self.ready, "/ready", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Returns the memory that the process has for itself, in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("RssAnon:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) >> 10
    }

    /// Returns whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Waits until all machines are ready; returns false if they are not after 30 s.
pub fn wait_until_ready(machines: &[Machine]) -> bool {
    for _ in 0..300 {
        if machines.iter().all(Machine::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
