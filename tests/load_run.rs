//! Load generator: plans, arrivals and the measurements of a run.

mod entry_support;

use std::time::Duration;

use entry_support::{MILL_KEY, MODEL, MemoryLog, PRESS_KEY, Targets, document, start_entry};
use lavenderwind::{
    load::{LoadPlan, arrivals, run},
    service::Document,
    standin::{
        engine::EngineFaults,
        loopback,
        plain::{PlainFaults, PlainService},
    },
};
use sha2::{Digest, Sha256};
use tokio::time::timeout;

/// Timeout that ends a hanging test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

const TWO_ACCOUNTS: &str = "
urls: [http://127.0.0.1:1, http://127.0.0.1:2]
model: adviser
seed: 7
accounts:
  - {name: mill, weight: 3}
  - {name: press, entries: [1]}
phases:
  - {duration_ms: 50000, requests_per_s: 100, prompt_tokens: 400, output_tokens: 20}
  - {duration_ms: 50000, requests_per_s: 100, prompt_tokens: 40, output_tokens: 200, spread: 0.5}
";

fn plan(text: &str) -> LoadPlan {
    LoadPlan::parse(text).expect("a valid plan")
}

#[test]
fn invalid_plans() {
    let cases = [
        (
            "urls: [http://127.0.0.1:1, http://127.0.0.1:2]",
            "urls: []",
            "urls",
        ),
        ("model: adviser", "model: ''", "model"),
        ("entries: [1]", "entries: [2]", "accounts.press.entries"),
        ("weight: 3", "weight: 0", "accounts.mill.weight"),
        ("spread: 0.5", "spread: 2", "phases[1].spread"),
        ("requests_per_s: 100", "requests_per_s: -1", "phases[0]"),
        ("prompt_tokens: 400", "prompt_tokens: 0", "phases[0]"),
        (
            "spread: 0.5",
            "account_factors: {other: 2}",
            "phases[1].account_factors",
        ),
        ("duration_ms: 50000", "duration_s: 50", "unknown field"),
        ("seed: 7", "sede: 7", "unknown field"),
    ];
    for (from, to, expected) in cases {
        let text = TWO_ACCOUNTS.replacen(from, to, 1);
        let error = LoadPlan::parse(&text).expect_err(to).to_string();
        assert!(error.contains(expected), "{to}: {error}");
    }
}

#[test]
fn arrival_rates() {
    let plan = plan(TWO_ACCOUNTS);
    let all = arrivals(&plan);
    assert_eq!(
        all,
        arrivals(&plan),
        "the same seed gives the same arrivals"
    );
    let mill = all.iter().filter(|arrival| arrival.account == 0).count() as f64;
    let press = all.iter().filter(|arrival| arrival.account == 1).count() as f64;
    // Within six standard deviations of 7,500 and 2,500.
    assert!((mill - 7_500.0).abs() < 6.0 * 7_500_f64.sqrt(), "{mill}");
    assert!((press - 2_500.0).abs() < 6.0 * 2_500_f64.sqrt(), "{press}");
    for pair in all.windows(2) {
        assert!(pair[0].at <= pair[1].at);
        assert_eq!(pair[0].number + 1, pair[1].number);
    }
    for arrival in &all {
        assert!(arrival.account == 0 || arrival.entry == 1);
        match arrival.phase {
            0 => assert_eq!(arrival.prompt_tokens, 400),
            _ => assert!((20..=60).contains(&arrival.prompt_tokens)),
        }
    }
}

/// A higher arrival rate of one account does not change the arrivals of another.
#[test]
fn flooding_account() {
    let usual = plan(TWO_ACCOUNTS);
    let mut flooded = usual.clone();
    flooded.phases[0]
        .account_factors
        .insert("mill".into(), 10.0);
    let press_times = |plan: &LoadPlan| {
        let all = arrivals(plan).into_iter();
        let press = all.filter(|arrival| arrival.account == 1);
        press.map(|arrival| arrival.at).collect::<Vec<_>>()
    };
    assert_eq!(press_times(&usual), press_times(&flooded));
    assert!(arrivals(&flooded).len() > 3 * arrivals(&usual).len());
}

#[tokio::test]
async fn plain_run() {
    let faults = PlainFaults {
        latency_ms: 30,
        ..PlainFaults::default()
    };
    let service = PlainService::start(loopback(), faults)
        .await
        .expect("service");
    let plan = plan(&format!(
        "
urls: ['http://{}']
plain: {{method: POST, path: /orders}}
verify: true
first_token_ms: 20000
accounts: [{{name: mill}}]
phases: [{{duration_ms: 200, requests_per_s: 200, prompt_tokens: 40, output_tokens: 1}}]
",
        service.addr()
    ));
    let sent = arrivals(&plan).len() as u64;
    let report = timeout(TEST_TIMEOUT, run(plan, |_| ()))
        .await
        .expect("ends")
        .expect("runs");
    assert!(sent > 0);
    assert_eq!(report.total.counts.good, sent);
    assert_eq!(service.executions().len() as u64, sent);
    let times = report.total.first_token;
    // The histogram keeps two significant digits.
    assert!(times.p50_ms >= 29.5, "{times:?}");
    let from_send = report.total.first_token_from_send;
    assert!(from_send.p50_ms >= 29.5 && from_send.max_ms <= times.max_ms);
    assert!(times.p50_ms <= times.p95_ms && times.p99_ms <= times.max_ms);
}

fn chat_plan(url: &str, requests: u64) -> LoadPlan {
    plan(&format!(
        "
urls: ['{url}']
model: {MODEL}
verify: true
first_token_ms: 20000
between_tokens_ms: 20000
max_requests: {requests}
accounts:
  - {{name: mill, key: {MILL_KEY}, shared_prefix_tokens: 64}}
  - {{name: press, key: {PRESS_KEY}}}
  - {{name: stranger, key: sk-unknown}}
phases: [{{duration_ms: 500, requests_per_s: 200, prompt_tokens: 120, output_tokens: 12}}]
"
    ))
}

/// All answers are complete and correct, except that requests with an unknown key are
/// refused and reported as not run.
#[tokio::test]
async fn verified_chat() {
    let log = MemoryLog::new();
    let targets = Targets::start(2, 0).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let plan = chat_plan(&entry.url, 60);
    let strangers = arrivals(&plan);
    let strangers = strangers.iter().filter(|arrival| arrival.account == 2);
    let strangers = strangers.count() as u64;
    let report = timeout(TEST_TIMEOUT, run(plan, |_| ()))
        .await
        .expect("ends")
        .expect("runs");
    let total = &report.total.counts;
    assert_eq!(total.sent, 60);
    assert_eq!(total.good, 60 - strangers, "{total:?}");
    assert_eq!(total.refused, strangers);
    assert_eq!(total.told_not_run, strangers);
    assert_eq!(total.good_tokens, (60 - strangers) * 12);
    assert_eq!(&*report.worst_account, "stranger");
    assert_eq!(report.accounts[0].good_share, 1.0);
    assert!(report.total.first_token.p50_ms > 0.0);
    assert!(report.total.between_tokens.p95_ms > 0.0);
    assert!(report.to_table().contains("stranger"));
    let by_phase: u64 = report.phase_accounts.iter().map(|a| a.counts.good).sum();
    assert_eq!(by_phase, total.good);
    assert_eq!(&*report.phase_accounts[2].account, "stranger");
    assert_eq!(report.phase_accounts[2].counts.refused, strangers);
}

/// Requests to an engine that hangs count as failed after the plan's timeout.
#[tokio::test]
async fn hung_engine() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 0).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    targets.engines[0].set_faults(EngineFaults {
        hang: true,
        ..EngineFaults::default()
    });
    let mut plan = chat_plan(&entry.url, 5);
    plan.timeout_ms = 300;
    plan.accounts.truncate(1);
    let report = timeout(TEST_TIMEOUT, run(plan, |_| ()))
        .await
        .expect("ends")
        .expect("runs");
    assert_eq!(report.total.counts.good, 0);
    assert_eq!(report.total.counts.failed, 5, "{:?}", report.total.counts);
    assert_eq!(report.worst_good_share, 0.0);
}

/// The accounts, keys and models of the example load plans match the example service
/// documents.
#[test]
fn example_plans() {
    for (plan, document) in [
        ("load-association.yaml", "association/advice.yaml"),
        ("load-sanobato.yaml", "sanobato/quotes.yaml"),
    ] {
        let examples = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
        let text = std::fs::read_to_string(examples.join(plan)).expect(plan);
        let plan = LoadPlan::parse(&text).expect(plan);
        let document = std::fs::read_to_string(examples.join(document)).expect(document);
        let document: Document = serde_yaml_ng::from_str(&document).expect("a document");
        assert!(document.models.iter().any(|model| model.name == plan.model));
        let named = plan.accounts.iter().map(|account| &account.name);
        assert!(named.eq(document.accounts.iter().map(|account| &account.name)));
        for (account, known) in plan.accounts.iter().zip(&document.accounts) {
            let digest = hex::encode(Sha256::digest(account.key.as_bytes()));
            assert!(known.keys.iter().any(|key| *key.sha256 == *digest));
        }
        assert_eq!(plan.urls.len(), 8);
    }
}
