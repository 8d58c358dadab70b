//! A small HTTP/1.1 server and client over the standard library.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

/// Ports that servers get, and about how many a run needs.
const FIRST_PORT: u16 = 11_000;
const PORTS: u32 = 20_000;
const PORTS_OF_A_RUN: u32 = 101;

/// Largest head line that is read, in bytes.
const MAX_LINE_BYTES: u64 = 64 << 10;

/// A request, with header names in lower case.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A response, with header names in lower case.
#[derive(Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its announced end.
    pub complete: bool,
}

/// A server that runs until it is stopped.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves requests on `address`; `answer` writes the answer to a request, and returns
    /// whether the connection is kept.
    pub fn start<F>(address: &str, answer: F) -> io::Result<Self>
    where
        F: Fn(Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let server = Self {
            address: listener.local_addr()?,
            stopped: Arc::default(),
            connections: Arc::default(),
        };
        listener.set_nonblocking(true)?;
        let (stopped, connections) = (server.stopped.clone(), server.connections.clone());
        let answer = Arc::new(answer);
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(kept) = stream.try_clone() {
                    connections.lock().unwrap().push(kept);
                }
                let answer = answer.clone();
                thread::spawn(move || {
                    let _ = serve_connection(stream, &*answer);
                });
            }
        });
        Ok(server)
    }

    /// Stops listening and closes all connections at once, as the end of a process does.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // The accepting thread closes its socket within a few milliseconds.
        thread::sleep(Duration::from_millis(5));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve_connection<F>(mut stream: TcpStream, answer: &F) -> io::Result<()>
where
    F: Fn(Request, &mut TcpStream) -> io::Result<bool>,
{
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        if !answer(request, &mut stream)? {
            break;
        }
    }
    stream.shutdown(Shutdown::Both)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    reader.take(MAX_LINE_BYTES).read_line(&mut line)?;
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok(headers);
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Ok(None);
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers = read_headers(reader)?;
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok(Some(Request {
        method: method.to_owned(),
        path: path.to_owned(),
        query: pairs
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
        headers,
        body,
    }))
}

/// Writes an answer with a length. `headers` are whole lines, each with its line end.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let length = body.len();
    let mut answer =
        format!("HTTP/1.1 {status} X\r\n{headers}content-length: {length}\r\n\r\n").into_bytes();
    answer.extend_from_slice(body);
    stream.write_all(&answer)
}

/// A connection of a client.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads the answer. `head` is the request line and the headers,
    /// each with its line end; `on_head` is called with the headers of the answer as they
    /// arrive. An answer that breaks off is returned as incomplete.
    pub fn exchange<F>(&mut self, head: &str, body: &[u8], on_head: F) -> io::Result<Response>
    where
        F: FnOnce(&HashMap<String, String>),
    {
        let length = body.len();
        let mut request = format!("{head}content-length: {length}\r\n\r\n").into_bytes();
        request.extend_from_slice(body);
        self.reader.get_mut().write_all(&request)?;
        let line = read_line(&mut self.reader)?;
        let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut response = Response {
            status,
            headers: read_headers(&mut self.reader)?,
            ..Response::default()
        };
        on_head(&response.headers);
        response.complete = self.read_body(&mut response).is_ok();
        Ok(response)
    }

    fn read_body(&mut self, response: &mut Response) -> io::Result<()> {
        if let Some(length) = response.headers.get("content-length") {
            let length: usize = length.parse().map_err(io::Error::other)?;
            response.body.resize(length, 0);
            return self.reader.read_exact(&mut response.body);
        }
        loop {
            let line = read_line(&mut self.reader)?;
            let size = usize::from_str_radix(&line, 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size];
            self.reader.read_exact(&mut chunk)?;
            read_line(&mut self.reader)?;
            response.body.extend_from_slice(&chunk);
            if size == 0 {
                return Ok(());
            }
        }
    }
}

/// Returns an address that is free, and whose port is below those that the system gives to
/// connections, so that it stays free while nobody listens there.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        // Two processes begin at different ports.
        let first = std::process::id().wrapping_mul(PORTS_OF_A_RUN);
        let port = FIRST_PORT + (first.wrapping_add(number) % PORTS) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Sends one request on a new connection.
pub fn get(address: SocketAddr, path: &str, patience: Duration) -> io::Result<Response> {
    let head = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n");
    Connection::open(address, patience)?.exchange(&head, &[], |_| {})
}
