//! Measures the memory used by a ledger, and by the delta encoder and decoder that
//! are kept for each link to a peer.
//!
//! `cargo run --release --example measure_memory`

use std::{error::Error, fs, sync::Arc};

use lavenderwind::{
    ledger::Ledger,
    log::{
        Offset,
        records::{Record, RequestClaim, RequestOutcome, ServiceRevision, record::Body},
    },
    peer::{
        delta::{DeltaDecoder, DeltaEncoder},
        frames::Heartbeat,
    },
};

/// Size of a recorded answer, in bytes.
const ANSWER_BYTES: usize = 512;

/// Number of links measured together, since the memory of a single one is too
/// small to measure.
const LINKS: usize = 40;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Ledger to which records are applied at successive offsets.
struct LedgerWriter {
    ledger: Ledger,
    offset: u64,
}

impl LedgerWriter {
    fn apply(&mut self, body: Body) -> u64 {
        self.offset += 1;
        let record = Record {
            writer: "entry-1".into(),
            incarnation: 1,
            sequence: self.offset,
            body: Some(body),
        };
        self.ledger.apply(Offset(self.offset), &record);
        self.offset
    }
}

fn main() -> Result<()> {
    println!("what count bytes_each");
    let mut writer = LedgerWriter {
        ledger: Ledger::new(),
        offset: 0,
    };
    for service in ["quotes", "swaps"] {
        let before = rss_bytes()?;
        writer.apply(revision(service, 4_750));
        print_per_item("account with a key", 4_750, before)?;
    }
    for _ in 0..3 {
        let before = rss_bytes()?;
        for _ in 0..50_000 {
            apply_claim(&mut writer);
        }
        print_per_item("claim with its answer", 50_000, before)?;
    }
    let before = rss_bytes()?;
    let links = links(9_500);
    print_per_item("account on a link, both ways", 9_500 * LINKS, before)?;
    drop(links);
    assert_eq!(writer.ledger.claim_count(), 150_000);
    Ok(())
}

fn revision(service: &str, accounts: usize) -> Body {
    let mut document = format!(
        "service: {service}\nteam: desk\nroutes:\n- path: /{service}\n  access: keyed\n  \
         repeat: once\n  target_kind: app\ntarget_kinds:\n- name: app\n  role: plain\naccounts:\n"
    );
    for account in 0..accounts {
        let id = format!("{service}{account}");
        let digest: String = id.bytes().map(|byte| format!("{byte:x}")).collect();
        document.push_str(&format!(
            "- name: account-{account:05}\n  weight: 10\n  keys:\n  - id: key-{account:05}\n    \
             sha256: {digest:0>64}\n"
        ));
    }
    Body::ServiceRevision(ServiceRevision {
        service: service.into(),
        base_revision: 0,
        document,
    })
}

fn apply_claim(writer: &mut LedgerWriter) {
    let account = format!("swaps/account-{:05}", writer.offset % 4_750);
    let idempotency_key = format!("3f0c1e9a-0000-4000-8000-{:012}", writer.offset);
    let claim_offset = writer.apply(Body::RequestClaim(RequestClaim {
        account: account.clone(),
        idempotency_key: idempotency_key.clone(),
        body_digest: vec![7; 32],
    }));
    writer.apply(Body::RequestOutcome(RequestOutcome {
        account,
        idempotency_key,
        claim_offset,
        unknown: false,
        status: 200,
        content_type: "application/json".into(),
        body: vec![b'a'; ANSWER_BYTES],
    }));
}

/// Creates links over which the served tokens of every account have been sent once.
fn links(accounts: usize) -> Vec<(DeltaEncoder, DeltaDecoder)> {
    let mut names: Vec<Arc<str>> = Vec::new();
    for account in 0..accounts {
        names.push(format!("swaps/account-{account:05}").into());
    }
    let mut links = Vec::new();
    for _ in 0..LINKS {
        let mut encoder = DeltaEncoder::default();
        let mut decoder = DeltaDecoder::default();
        for name in &names {
            encoder.add_amount(name, 1);
        }
        while encoder.pending_amount_count() > 0 {
            let mut heartbeat = Heartbeat::default();
            encoder.encode(&Default::default(), 1 << 20, &mut heartbeat);
            let _ = decoder.apply(&heartbeat);
        }
        links.push((encoder, decoder));
    }
    links
}

fn print_per_item(what: &str, count: usize, before: u64) -> Result<()> {
    let grown = rss_bytes()?.saturating_sub(before);
    println!("{what}: {count} {:.0}", grown as f64 / count as f64);
    Ok(())
}

/// Returns the resident memory of this process, in bytes.
fn rss_bytes() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    for line in status.lines() {
        let Some(value) = line.strip_prefix("VmRSS:") else {
            continue;
        };
        let kilobytes: u64 = value.trim_end_matches("kB").trim().parse()?;
        return Ok(kilobytes << 10);
    }
    Err("no VmRSS in /proc/self/status".into())
}
