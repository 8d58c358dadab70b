//! The engine client accepts only a complete answer to its own request, regardless
//! of how the bytes are split into chunks. The client for plain services never sends
//! a request twice.

use std::{sync::Arc, time::Duration};

use arbtest::{
    arbitrary::{self, Unstructured},
    arbtest,
};
use lavenderwind::target::{
    EngineClient, Error, PlainClient, PlainRequest, Result, http_client,
    protocol::{FinishReason, GenerateEvent, GenerateRequest},
};
use reqwest::{Method, header::HeaderMap};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    time::timeout,
};

/// Time after which a test fails instead of hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Fixed seeds; the low 32 bits are the size of the generated input.
const SEEDS: [u64; 180] = {
    let mut seeds = [0; 180];
    let mut index = 0;
    while index < seeds.len() {
        seeds[index] = 0x5eed_0000_0100 + ((index as u64) << 48);
        index += 1;
    }
    seeds
};
/// Number of tokens in the undamaged answer.
const TOKENS: u32 = 6;
/// Number of variants of [`Damage`].
const DAMAGE_KINDS: u32 = 9;

/// Damage to a complete stream before it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Damage {
    None,
    /// The token of this index is missing.
    DropToken(u32),
    /// The token of this index is sent twice.
    RepeatToken(u32),
    /// The token of this index and the next token are exchanged.
    SwapTokens(u32),
    /// The stream belongs to another request.
    OtherRequest,
    /// The stream belongs to an earlier attempt.
    OtherAttempt,
    /// The `Done` event is missing.
    NoDone,
    /// The stream ends before the end of the `Done` event.
    CutBytes,
    /// The `Done` event reports one token less than was sent.
    FewerTokensReported,
}

impl Damage {
    /// Returns damage of the given kind at an arbitrary token.
    fn arbitrary_of_kind(kind: u32, source: &mut Unstructured<'_>) -> arbitrary::Result<Self> {
        let token = source.int_in_range(0..=TOKENS - 1)?;
        Ok(match kind {
            0 => Self::None,
            1 => Self::DropToken(token),
            2 => Self::RepeatToken(token),
            3 => Self::SwapTokens(token.min(TOKENS - 2)),
            4 => Self::OtherRequest,
            5 => Self::OtherAttempt,
            6 => Self::NoDone,
            7 => Self::CutBytes,
            _ => Self::FewerTokensReported,
        })
    }
}

fn request() -> GenerateRequest {
    GenerateRequest {
        request_id: "r1".into(),
        attempt: 2,
        model: "adviser".into(),
        adapter: "".into(),
        prompt: "a prompt".into(),
        resume_text: String::new(),
        resume_tokens: 0,
        max_tokens: TOKENS,
        priority: 0,
        prefix_blocks: Vec::new(),
        prefill_only: false,
        sampling: lavenderwind::target::protocol::Sampling::default(),
    }
}

/// Returns the events of an answer with the given damage.
fn damaged_events(damage: Damage) -> Vec<GenerateEvent> {
    let request_id: Arc<str> = match damage {
        Damage::OtherRequest => "r2".into(),
        _ => "r1".into(),
    };
    let attempt = if damage == Damage::OtherAttempt { 1 } else { 2 };
    let mut tokens: Vec<GenerateEvent> = (0..TOKENS)
        .map(|index| GenerateEvent::Token {
            index,
            text: format!("t{index} "),
        })
        .collect();
    match damage {
        Damage::DropToken(index) => drop(tokens.remove(index as usize)),
        Damage::RepeatToken(index) => {
            let token = tokens[index as usize].clone();
            tokens.insert(index as usize, token);
        }
        Damage::SwapTokens(index) => tokens.swap(index as usize, index as usize + 1),
        _ => {}
    }
    let mut events = vec![GenerateEvent::Accepted {
        request_id: Arc::clone(&request_id),
        attempt,
        boot: "b1".into(),
    }];
    events.extend(tokens);
    if damage != Damage::NoDone {
        events.push(GenerateEvent::Done {
            request_id,
            attempt,
            finish_reason: FinishReason::Length,
            prompt_tokens: 2,
            cached_tokens: 0,
            output_tokens: TOKENS - u32::from(damage == Damage::FewerTokensReported),
        });
    }
    events
}

/// Returns the bytes of the damaged stream in chunks of arbitrary lengths.
fn chunks(source: &mut Unstructured<'_>, damage: Damage) -> arbitrary::Result<Vec<Vec<u8>>> {
    let mut bytes = Vec::new();
    for event in damaged_events(damage) {
        let json = serde_json::to_string(&event).expect("json");
        bytes.extend_from_slice(format!("data: {json}\n\n").as_bytes());
    }
    if damage == Damage::CutBytes {
        // Removes at least the end of the last event's `data` line.
        let kept = source.int_in_range(0..=bytes.len() - 3)?;
        bytes.truncate(kept);
    }
    let mut chunks = Vec::new();
    while !bytes.is_empty() {
        let length = source.int_in_range(1..=40)?.min(bytes.len());
        chunks.push(bytes.drain(..length).collect());
    }
    Ok(chunks)
}

/// Reads a request and returns its request line and headers. Returns `None` if the
/// connection closes first.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let read = stream.read(&mut buffer).await.ok()?;
        if read == 0 {
            return None;
        }
        text.extend_from_slice(&buffer[..read]);
        let decoded = String::from_utf8_lossy(&text);
        let Some((head, body)) = decoded.split_once("\r\n\r\n") else {
            continue;
        };
        let mut lines = head.lines();
        let length = lines.find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.map_or(0, |length| length.parse().expect("a number"));
        if body.len() >= length {
            return Some(head.to_owned());
        }
    }
}

/// Answers one request with the given chunks.
async fn send_chunks(listener: TcpListener, chunks: Vec<Vec<u8>>) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    read_request(&mut stream).await.expect("a request");
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    // Write errors are ignored: the client may close the connection as soon as it
    // detects the damage.
    let _ = stream.write_all(head.as_bytes()).await;
    for chunk in chunks {
        let mut framed = format!("{:x}\r\n", chunk.len()).into_bytes();
        framed.extend_from_slice(&chunk);
        framed.extend_from_slice(b"\r\n");
        let _ = stream.write_all(&framed).await;
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
}

/// Sends the chunks to a client, and returns the text if the client accepts the
/// answer as complete.
async fn read_answer(chunks: Vec<Vec<u8>>) -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("address").to_string();
    let server = tokio::spawn(send_chunks(listener, chunks));
    let client = EngineClient::new(http_client().expect("client"));
    let mut stream = client.generate(&address, &request()).await?;
    let mut text = String::new();
    while let Some(event) = stream.next().await? {
        if let GenerateEvent::Token { text: token, .. } = event {
            text.push_str(&token);
        }
    }
    drop(stream);
    server.await.expect("the server ends");
    Ok(text)
}

#[test]
fn damaged_streams_rejected() {
    let runtime = Runtime::new().expect("runtime");
    for (index, seed) in SEEDS.into_iter().enumerate() {
        let kind = index as u32 % DAMAGE_KINDS;
        arbtest(|source| {
            let damage = Damage::arbitrary_of_kind(kind, source)?;
            let chunks = chunks(source, damage)?;
            let answer = runtime.block_on(async {
                let reading = read_answer(chunks);
                timeout(TEST_TIMEOUT, reading)
                    .await
                    .expect("the answer ends")
            });
            match (damage, answer) {
                (Damage::None, Ok(text)) => assert_eq!(text, "t0 t1 t2 t3 t4 t5 "),
                (Damage::None, Err(error)) => panic!("complete stream rejected: {error}"),
                (damage, Ok(text)) => panic!("{damage:?} was accepted as complete: {text}"),
                (_, Err(error)) => assert!(error.may_have_been_sent(), "{error}"),
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

/// Answers one request on each connection, and then closes the connection without a
/// `connection: close` header. Returns the heads of the requests.
async fn answer_then_close(listener: TcpListener, calls: u32) -> Vec<String> {
    let mut heads = Vec::new();
    while heads.len() < calls as usize {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let Some(head) = read_request(&mut stream).await else {
            continue;
        };
        heads.push(head);
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(answer).await.expect("answered");
    }
    heads
}

/// A call over a pooled connection that the service has closed must either be
/// answered or fail as a request that may have been sent. The call must never be
/// sent twice.
#[tokio::test]
async fn calls_not_repeated() {
    const CALLS: u32 = 200;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("address").to_string();
    let server = tokio::spawn(answer_then_close(listener, CALLS));
    let client = PlainClient::new(http_client().expect("client"));
    let mut unanswered = 0;
    for number in 0.. {
        let request = PlainRequest {
            method: Method::POST,
            path_and_query: format!("/orders/{number}").into(),
            headers: HeaderMap::new(),
            request_id: format!("r{number}").into(),
            idempotency_key: "".into(),
            body: "two sheets".into(),
        };
        match timeout(TEST_TIMEOUT, client.call(&address, request)).await {
            Ok(Ok(answer)) => assert_eq!(answer.status, 200),
            Ok(Err(Error::Connect { .. })) => break,
            Ok(Err(error)) => {
                assert!(error.may_have_been_sent(), "{error}");
                unanswered += 1;
            }
            Err(_) => panic!("the call hangs"),
        }
        if server.is_finished() {
            break;
        }
    }
    let heads = server.await.expect("the server ends");
    let mut paths: Vec<&str> = heads
        .iter()
        .filter_map(|head| head.lines().next())
        .collect();
    paths.sort_unstable();
    let sent = paths.len();
    paths.dedup();
    assert_eq!(paths.len(), sent, "a call was sent twice");
    assert!(unanswered < CALLS, "{unanswered} calls without an answer");
}
