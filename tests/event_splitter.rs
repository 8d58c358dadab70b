//! Splitting of streams of server-sent events into complete events.

use arbtest::arbtest;
use lavenderwind::gateway::EventSplitter;

/// Four complete events, one of which is only a comment, and the start of a fifth.
const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nweight-versions: 4\nid: 3\ndata: c\n\nid: 4\nda";

/// The events do not depend on how the stream is divided into chunks.
#[test]
fn chunk_lengths_irrelevant() {
    for seed in [0x5eed_0051_0000_1000, 0x5eed_0052_0000_1000] {
        arbtest(|source| {
            let mut splitter = EventSplitter::default();
            let mut relayed = Vec::new();
            let mut events = 0;
            let mut last_id = None;
            let mut unread = STREAM;
            while !unread.is_empty() {
                let length = source.int_in_range(1..=unread.len().min(9))?;
                let (chunk, rest) = unread.split_at(length);
                unread = rest;
                if let Some(complete) = splitter.push(chunk) {
                    relayed.extend_from_slice(&complete.bytes);
                    events += complete.count;
                    last_id = complete.last_id.or(last_id);
                }
            }
            assert_eq!(events, 4);
            assert_eq!(last_id.as_deref(), Some("3"));
            assert!(relayed.ends_with(b"data: c\n\n"));
            relayed.extend_from_slice(&splitter.take_pending());
            assert_eq!(relayed, STREAM);
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

/// An oversized event is reported until its bytes are taken.
#[test]
fn oversized_event_detected() {
    let mut splitter = EventSplitter::default();
    while !splitter.exceeds_limit() {
        assert!(splitter.push(&[b'a'; 1 << 16]).is_none());
    }
    assert!(!splitter.take_pending().is_empty());
    assert!(!splitter.exceeds_limit());
}
