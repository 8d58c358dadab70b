//! Tests of parsing and validating the settings of a gateway.

use std::path::Path;

use lavenderwind::settings::GatewaySettings;

const VALID: &str = "name: entry-1
failure_domain: eibar
caller_address: 127.0.0.1:1
readiness_address: 127.0.0.1:2
peer_address: 127.0.0.1:3
metrics_address: 127.0.0.1:4
store_address: 127.0.0.1:5
cloud_address: 127.0.0.1:6
timing:
  lease_ms: 3000
retries:
  ratio: 0.2
";

#[test]
fn valid_settings_parsed() {
    let settings = GatewaySettings::parse(VALID, Path::new("entry.yaml")).unwrap();
    assert_eq!(settings.timing.lease_ms, 3_000);
    assert!(!settings.duties.usage);
}

/// Errors name the field and the line.
#[test]
fn error_positions() {
    let cases = [
        ("name: entry-1", "name: \"\"", "entry.yaml:1: name"),
        ("lease_ms: 3000", "lease_ms: 0", "entry.yaml:10: lease_ms"),
        ("ratio: 0.2", "ratio: -1", "entry.yaml:12: ratio"),
        (
            "ratio: 0.2",
            "ratio: 0.2\nquotas:\n  quota_window_s: 0",
            "entry.yaml:14: quota_window_s",
        ),
        (
            "ratio: 0.2",
            "ratio: 0.2\nquotas:\n  overage: -1",
            "entry.yaml:14: overage",
        ),
        ("127.0.0.1:5", "here", "line 7"),
        ("lease_ms", "leese_ms", "unknown field `leese_ms`"),
        (
            "failure_domain: eibar\n",
            "",
            "missing field `failure_domain`",
        ),
    ];
    for (from, to, expected) in cases {
        let text = VALID.replace(from, to);
        let error = GatewaySettings::parse(&text, Path::new("entry.yaml")).unwrap_err();
        let error = error.to_string();
        assert!(error.contains(expected), "{error}");
    }
}
