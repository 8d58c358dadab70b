//! Burn history and burn report.

use lavenderwind::report::{BurnHistory, BurnInput, BurnReport, BurnSample, ResultCounts};

fn counts(good: u64, late: u64, refused: u64, failed: u64) -> ResultCounts {
    ResultCounts {
        good,
        late,
        refused,
        failed,
    }
}

fn sample(service: &str, account: &str, age_s: u64, counts: ResultCounts) -> BurnSample {
    BurnSample {
        service: service.into(),
        account: account.into(),
        age_s,
        length_s: 30,
        counts,
    }
}

fn report(samples: Vec<BurnSample>) -> BurnReport {
    BurnReport::new(&BurnInput::new(samples))
}

#[test]
fn burn_rates() {
    let cases = [
        ("no requests", counts(0, 0, 0, 0), 1.0, 0.0),
        ("all good", counts(100, 0, 0, 0), 1.0, 0.0),
        ("at the objective", counts(95, 5, 0, 0), 0.95, 1.0),
        ("late, refused and failed", counts(70, 10, 10, 10), 0.7, 6.0),
        ("nothing good", counts(0, 1, 2, 3), 0.0, 20.0),
    ];
    for (name, counts, good_share, burn_rate) in cases {
        let report = report(vec![sample("adviser", "a", 0, counts)]);
        for window in &report.rows[0].windows {
            assert!((window.good_share - good_share).abs() < 1e-9, "{name}");
            assert!((window.burn_rate - burn_rate).abs() < 1e-9, "{name}");
        }
    }
}

/// A window counts the samples whose age is below its length.
#[test]
fn sample_windows() {
    let report = report(vec![
        sample("adviser", "a", 0, counts(1, 0, 0, 0)),
        sample("adviser", "a", 299, counts(1, 0, 0, 0)),
        sample("adviser", "a", 300, counts(1, 0, 0, 0)),
        sample("adviser", "a", 3_600, counts(1, 0, 0, 0)),
        sample("adviser", "a", 30_000, counts(1, 0, 0, 0)),
    ]);
    let windows = &report.rows[0].windows;
    let totals: Vec<u64> = windows.iter().map(|window| window.counts.good).collect();
    assert_eq!(totals, [2, 3, 4]);
}

/// Services are ordered by name, and their accounts by burn rate, highest first.
#[test]
fn row_order() {
    let report = report(vec![
        sample("swaps", "c", 0, counts(10, 0, 0, 0)),
        sample("adviser", "small", 0, counts(10, 0, 0, 0)),
        sample("adviser", "worst", 0, counts(0, 0, 10, 0)),
        sample("adviser", "bad", 0, counts(5, 5, 0, 0)),
        sample("adviser", "worst", 10, counts(1, 0, 0, 0)),
    ]);
    let rows = report.rows.iter();
    let rows = rows.map(|row| (&*row.service, row.account.as_deref()));
    let expected = [
        ("adviser", None),
        ("adviser", Some("worst")),
        ("adviser", Some("bad")),
        ("adviser", Some("small")),
        ("swaps", None),
        ("swaps", Some("c")),
    ];
    assert!(rows.eq(expected));
    assert_eq!(report.rows[0].windows[0].counts, counts(16, 5, 10, 0));
}

#[test]
fn output_formats() {
    let report = report(vec![
        sample("adviser", "<script>", 0, counts(90, 10, 0, 0)),
        sample("adviser", "<script>", 60, counts(50, 50, 0, 0)),
    ]);
    let table = report.to_table();
    assert!(
        table.contains("5m burn") && table.contains("6h burn"),
        "{table}"
    );
    assert!(table.contains("<script>"));
    let json = serde_json::to_string(&report).expect("json");
    let parsed: BurnReport = serde_json::from_str(&json).expect("json");
    assert_eq!(parsed, report);
    let html = report.to_html().expect("page");
    assert!(html.contains("<svg") && html.contains("polyline"));
    assert!(html.contains("&lt;script&gt;") && !html.contains("<script>"));
    assert!(
        !html.contains("src=") && !html.contains("href="),
        "self-contained"
    );
}

#[test]
fn empty_report() {
    let report = report(Vec::new());
    assert!(report.rows.is_empty());
    assert!(report.to_html().expect("page").contains("<svg"));
    assert!(report.to_table().contains("service"));
}

/// The samples of all instances are added up.
#[test]
fn merged_instances() {
    let mut samples = Vec::new();
    for _instance in 0..8 {
        let mut history = BurnHistory::default();
        history.observe("adviser", "a", counts(9, 1, 0, 0), 100);
        samples.extend(history.samples(130));
    }
    let report = report(samples);
    assert_eq!(report.rows[0].windows[0].counts, counts(72, 8, 0, 0));
}

/// Results of the last six hours are counted exactly once, also after their
/// buckets have been merged into longer ones.
#[test]
fn aged_history() {
    let mut history = BurnHistory::default();
    let mut total = counts(0, 0, 0, 0);
    let hours_s = 5 * 3_600;
    for now_s in (0..=hours_s).step_by(7) {
        total += counts(2, 1, 0, 0);
        history.observe("adviser", "a", total, now_s);
        history.observe("adviser", "idle", counts(0, 0, 0, 0), now_s);
    }
    let samples = history.samples(hours_s);
    assert!(samples.len() < 40, "{}", samples.len());
    let mut kept = counts(0, 0, 0, 0);
    for sample in &samples {
        assert_eq!(&*sample.account, "a");
        kept += sample.counts;
    }
    assert_eq!(kept, total);
    let report = report(samples);
    // Three requests every 7 s during the window of 300 s; the window's start may lie
    // within a bucket of 30 s.
    let expected = 300 / 7 * 3;
    let recent = report.rows[0].windows[0].counts.total();
    assert!(recent.abs_diff(expected) <= 30 / 7 * 3 + 3, "{recent}");
    history.observe("adviser", "a", total, hours_s + 40 * 3_600);
    assert!(history.samples(hours_s + 40 * 3_600).is_empty());
}

/// Cumulative counts that decrease, as after a restart of the counting, add nothing.
#[test]
fn restarted_counts() {
    let mut history = BurnHistory::default();
    history.observe("adviser", "a", counts(10, 0, 0, 0), 0);
    history.observe("adviser", "a", counts(3, 0, 0, 0), 1);
    history.observe("adviser", "a", counts(5, 0, 0, 0), 2);
    let kept: u64 = history.samples(3).iter().map(|s| s.counts.good).sum();
    assert_eq!(kept, 12);
}
