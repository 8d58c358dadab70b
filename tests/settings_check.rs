//! Validation of an instance's settings.

use std::path::Path;

use lavenderwind::Settings;

const VALID: &str = "\
name: entry-1
failure_domain: a
entry_address: 127.0.0.1:8001
peer_address: 127.0.0.1:8002
admin_address: 127.0.0.1:8003
platform:
  log_url: http://127.0.0.1:9000
  live_url: http://127.0.0.1:9000
  targets_url: http://127.0.0.1:9000
  usage_url: http://127.0.0.1:9000
timing:
  lease_ms: 3000
  renew_ms: 1000
";

/// A replacement in the valid settings and the texts that the error must contain.
struct Case {
    from: &'static str,
    to: &'static str,
    expected: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        from: "name: entry-1",
        to: "name: ''",
        expected: &["entry.yaml:1", "name", "must not be empty"],
    },
    Case {
        from: "lease_ms: 3000",
        to: "lease_s: 3",
        expected: &["unknown field `lease_s`", "line 12"],
    },
    Case {
        from: "lease_ms: 3000",
        to: "lease_ms: 3s",
        expected: &["timing.lease_ms", "line 12"],
    },
    Case {
        from: "renew_ms: 1000",
        to: "renew_ms: 2000",
        expected: &["entry.yaml:13", "renew_ms", "half of lease_ms"],
    },
    Case {
        from: "peer_address: 127.0.0.1:8002",
        to: "peer_address: 127.0.0.1:8001",
        expected: &[
            "entry.yaml:4",
            "peer_address",
            "already used by entry_address",
        ],
    },
    Case {
        from: "admin_address: 127.0.0.1:8003",
        to: "admin_address: nowhere",
        expected: &["admin_address", "line 5"],
    },
    Case {
        from: "log_url: http://127.0.0.1:9000",
        to: "log_url: https://127.0.0.1:9000",
        expected: &["entry.yaml:7", "log_url", "http://"],
    },
    Case {
        from: "failure_domain: a\n",
        to: "",
        expected: &["missing field `failure_domain`"],
    },
];

#[test]
fn valid_settings_accepted() {
    let settings = Settings::parse(VALID, Path::new("entry.yaml")).unwrap();
    assert_eq!(&*settings.name, "entry-1");
    assert_eq!(settings.timing.freshness_ms, 2_500);
}

/// Errors name the line and the field.
#[test]
fn error_positions() {
    for case in CASES {
        let text = VALID.replace(case.from, case.to);
        assert_ne!(text, VALID);
        let error = Settings::parse(&text, Path::new("entry.yaml"))
            .unwrap_err()
            .to_string();
        for expected in case.expected {
            assert!(error.contains(expected), "{error:?} lacks {expected:?}");
        }
    }
}

#[test]
fn missing_file_reported() {
    let error = Settings::load(Path::new("absent.yaml"))
        .unwrap_err()
        .to_string();
    assert!(error.starts_with("absent.yaml: cannot read"), "{error}");
}
