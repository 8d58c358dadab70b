//! Splitting of streams into whole events.

use arbtest::arbtest;
use lavenderwind::gateway::EventSplitter;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nweight-versions: 4\nid: 3\ndata: c\n\nid: 4\nda";

#[test]
fn any_cut_gives_the_same() {
    for seed in [0x5eed_0051_0000_1000, 0x5eed_0052_0000_1000] {
        arbtest(|source| {
            let mut splitter = EventSplitter::default();
            let mut relayed = Vec::new();
            let mut events = 0;
            let mut last_id = None;
            let mut rest = STREAM;
            while !rest.is_empty() {
                let length = source.int_in_range(1..=rest.len().min(9))?;
                let (chunk, left) = rest.split_at(length);
                rest = left;
                if let Some(whole) = splitter.push(chunk) {
                    relayed.extend_from_slice(&whole.bytes);
                    events += whole.count;
                    last_id = whole.last_id.or(last_id);
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

#[test]
fn endless_event() {
    let mut splitter = EventSplitter::default();
    while !splitter.exceeds_limit() {
        assert!(splitter.push(&[b'a'; 1 << 16]).is_none());
    }
    assert!(!splitter.take_pending().is_empty());
    assert!(!splitter.exceeds_limit());
}
