//! Validation errors of service documents, with line and field.

use lavenderwind::service::{Document, MAX_DOCUMENT_BYTES};

const VALID: &str = "\
service: swaps
team: desk
routes:
- path: /v1/chat/completions
  access: keyed
  repeat: idempotent
  target_kind: engine
- path: /confirmations
  methods: [POST]
  access: keyed
  repeat: once
  target_kind: app
models:
- name: quotes-8b
  version: \"3\"
  adapters: [disputes]
accounts:
- name: pokhara
  weight: 3
  keys:
  - id: pokhara-1
    sha256: 0000000000000000000000000000000000000000000000000000000000000001
target_kinds:
- name: engine
  role: engine
- name: app
  role: plain
spending:
  min_targets: 2
  max_targets: 9
";

/// A replacement in the valid document, and the text that the error must contain.
struct Case {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    error: &'static str,
}

const CASES: [Case; 20] = [
    Case {
        name: "unknown field",
        from: "team: desk",
        to: "team: desk\ncolour: red",
        error: "line 3, column 1: unknown field `colour`",
    },
    Case {
        name: "unknown access",
        from: "access: keyed",
        to: "access: maybe",
        error: "unknown variant `maybe`",
    },
    Case {
        name: "service name",
        from: "service: swaps",
        to: "service: swaps/nepal",
        error: "line 1: service: must be 1 to 128 letters",
    },
    Case {
        name: "relative path",
        from: "path: /confirmations",
        to: "path: confirmations",
        error: "line 8: routes[1].path: must start with /",
    },
    Case {
        name: "repeated path",
        from: "- path: /confirmations\n  methods: [POST]",
        to: "- path: /v1/chat/completions",
        error: "line 8: routes[1].path: is repeated",
    },
    Case {
        name: "method in lower case",
        from: "methods: [POST]",
        to: "methods: [post]",
        error: "line 9: routes[1].methods: must be in upper case",
    },
    Case {
        name: "unknown target kind",
        from: "target_kind: app",
        to: "target_kind: cheap-app",
        error: "routes[1].target_kind: is not one of target_kinds",
    },
    Case {
        name: "deadline of zero",
        from: "  target_kind: app",
        to: "  target_kind: app\n  deadline_ms: 0",
        error: "line 13: routes[1].deadline_ms: must be from 1 to 3600000",
    },
    Case {
        name: "first token after the deadline",
        from: "  target_kind: app",
        to: "  target_kind: app\n  deadline_ms: 500\n  first_token_ms: 900",
        error: "routes[1].first_token_ms: must be from 1 to deadline_ms",
    },
    Case {
        name: "engine without a model",
        from: "models:\n- name: quotes-8b\n  version: \"3\"\n  adapters: [disputes]\n",
        to: "",
        error: "models: must name a model",
    },
    Case {
        name: "repeated adapter",
        from: "adapters: [disputes]",
        to: "adapters: [disputes, disputes]",
        error: "models[0].name: repeats an adapter",
    },
    Case {
        name: "reserved account",
        from: "- name: pokhara",
        to: "- name: open",
        error: "accounts[0].name: is reserved for open routes",
    },
    Case {
        name: "weight of zero",
        from: "weight: 3",
        to: "weight: 0",
        error: "line 19: accounts[0].weight: must be from 1 to 1000000",
    },
    Case {
        name: "repeated account",
        from: "target_kinds:\n",
        to: "- name: pokhara\ntarget_kinds:\n",
        error: "accounts[1].name: is repeated",
    },
    Case {
        name: "short digest",
        from: "0000000000000000000000000000000000000000000000000000000000000001",
        to: "\"1234\"",
        error: "line 22: accounts[0].keys: sha256 must be 64 lower-case",
    },
    Case {
        name: "digest in upper case",
        from: "0000000000000000000000000000000000000000000000000000000000000001",
        to: "A000000000000000000000000000000000000000000000000000000000000001",
        error: "line 22: accounts[0].keys: sha256 must be 64 lower-case",
    },
    Case {
        name: "repeated kind",
        from: "- name: app\n  role: plain",
        to: "- name: app\n  role: plain\n- name: app\n  role: plain",
        error: "target_kinds[2].name: is repeated",
    },
    Case {
        name: "minimum above maximum",
        from: "min_targets: 2",
        to: "min_targets: 10",
        error: "spending.min_targets: must be at most max_targets",
    },
    Case {
        name: "negative number",
        from: "min_targets: 2",
        to: "min_targets: -2",
        error: "line 29",
    },
    Case {
        name: "not a mapping",
        from: VALID,
        to: "- swaps",
        error: "line 1",
    },
];

#[test]
fn error_positions() {
    assert_eq!(Document::parse(VALID).map(|_| ()), Ok(()));
    for case in &CASES {
        assert!(VALID.contains(case.from), "{}", case.name);
        let text = VALID.replacen(case.from, case.to, 1);
        let error = Document::parse(&text).expect_err(case.name).to_string();
        assert!(error.contains(case.error), "{}: {error}", case.name);
    }
}

#[test]
fn long_document_refused() {
    let text = format!("{VALID}#{}", "x".repeat(MAX_DOCUMENT_BYTES));
    let error = Document::parse(&text).unwrap_err().to_string();
    assert!(error.ends_with("the limit is 983040"), "{error}");
}

/// YAML aliases that expand exponentially are refused.
#[test]
fn alias_expansion_refused() {
    let mut text = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n");
    for level in 1..9 {
        let aliases = vec![format!("*a{}", level - 1); 10].join(", ");
        text.push_str(&format!("a{level}: &a{level} [{aliases}]\n"));
    }
    assert!(Document::parse(&text).is_err());
}
