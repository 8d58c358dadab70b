//! Parsing and validation of service documents.

use std::collections::HashSet;

use super::{Account, Document, Error, Key, KindRole, Model, Result, Route, TargetKind};

/// Maximum length of a document, in bytes; a document must fit in one log record.
pub const MAX_DOCUMENT_BYTES: usize = 960 << 10;

/// Account to which requests on open routes, which need no key, are attributed.
pub const OPEN_ACCOUNT: &str = "open";

/// Maximum length of a service, account, key, model or target kind name, in
/// bytes.
const MAX_NAME_BYTES: usize = 128;

/// Maximum length of a route's path prefix, in bytes.
const MAX_PATH_BYTES: usize = 1024;

/// Maximum deadline of a route, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Maximum weight of an account.
const MAX_WEIGHT: u32 = 1_000_000;

/// Maximum number of routes of a service.
const MAX_ROUTES: usize = 256;

/// Maximum number of accounts of a service.
const MAX_ACCOUNTS: usize = 20_000;

/// Maximum number of keys of an account.
const MAX_KEYS: usize = 64;

/// Length of a SHA-256 digest in hexadecimal, in bytes.
const SHA256_HEX_BYTES: usize = 64;

impl Document {
    /// Parses and validates a document.
    ///
    /// ```
    /// use lavenderwind::service::Document;
    ///
    /// let error = Document::parse("service: swaps\nteam: 7\ncolour: red\n").unwrap_err();
    /// assert!(error.to_string().starts_with("line "));
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the text is longer than [`MAX_DOCUMENT_BYTES`], is not valid YAML
    /// with the fields of a document, or contains values that are out of range or
    /// contradict each other.
    pub fn parse(text: &str) -> Result<Self> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(Error::TooLong {
                bytes: text.len(),
                limit: MAX_DOCUMENT_BYTES,
            });
        }
        let document: Self = serde_yaml_ng::from_str(text).map_err(|error| parse_error(&error))?;
        document.check(&Checker { text })?;
        Ok(document)
    }

    fn check(&self, checker: &Checker<'_>) -> Result<()> {
        checker.require_name("service", &self.service)?;
        checker.require_name("team", &self.team)?;
        self.check_kinds(checker)?;
        self.check_models(checker)?;
        self.check_routes(checker)?;
        self.check_accounts(checker)?;
        self.check_spending(checker)
    }

    fn check_kinds(&self, checker: &Checker<'_>) -> Result<()> {
        let mut names = HashSet::new();
        for (index, kind) in self.target_kinds.iter().enumerate() {
            let field = format!("target_kinds[{index}].name");
            checker.require_name(&field, &kind.name)?;
            checker.require(&field, &kind.name, names.insert(&kind.name), "is repeated")?;
        }
        checker.require(
            "target_kinds",
            "target_kinds",
            !self.target_kinds.is_empty(),
            "must name at least one kind",
        )
    }

    fn check_models(&self, checker: &Checker<'_>) -> Result<()> {
        let runs_engines = self.target_kinds.iter().any(TargetKind::is_engine);
        checker.require(
            "models",
            "models",
            !runs_engines || !self.models.is_empty(),
            "must name a model, since a target kind is an engine",
        )?;
        let mut names = HashSet::new();
        for (index, model) in self.models.iter().enumerate() {
            let field = format!("models[{index}].name");
            checker.require(
                &field,
                &model.name,
                names.insert(&model.name),
                "is repeated",
            )?;
            model.check(&field, checker)?;
        }
        Ok(())
    }

    fn check_routes(&self, checker: &Checker<'_>) -> Result<()> {
        let is_count_valid = (1..=MAX_ROUTES).contains(&self.routes.len());
        checker.require(
            "routes",
            "routes",
            is_count_valid,
            "must have 1 to 256 routes",
        )?;
        let mut seen_routes = HashSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            route.check(index, checker)?;
            let field = format!("routes[{index}].target_kind");
            let is_known = self.kind(&route.target_kind).is_some();
            checker.require(
                &field,
                &route.target_kind,
                is_known,
                "is not one of target_kinds",
            )?;
            let field = format!("routes[{index}].path");
            if route.methods.is_empty() {
                let is_new = seen_routes.insert((&*route.path, ""));
                checker.require(&field, &route.path, is_new, "is repeated")?;
            }
            for method in &route.methods {
                let is_new = seen_routes.insert((&route.path, method));
                checker.require(&field, &route.path, is_new, "repeats a path and method")?;
            }
        }
        Ok(())
    }

    fn check_accounts(&self, checker: &Checker<'_>) -> Result<()> {
        let is_count_valid = self.accounts.len() <= MAX_ACCOUNTS;
        checker.require(
            "accounts",
            "accounts",
            is_count_valid,
            "must have at most 20000 accounts",
        )?;
        let mut names = HashSet::new();
        let mut ids = HashSet::new();
        let mut digests = HashSet::new();
        for (index, account) in self.accounts.iter().enumerate() {
            account.check(index, checker)?;
            if !names.insert(&account.name) {
                let field = format!("accounts[{index}].name");
                return Err(checker.error(&field, &account.name, "is repeated"));
            }
            for key in &account.keys {
                let field = format!("accounts[{index}].keys");
                key.check(&field, checker)?;
                checker.require(&field, &key.id, ids.insert(&key.id), "repeats a key id")?;
                let is_new = digests.insert(&key.sha256);
                checker.require(&field, &key.sha256, is_new, "repeats a key")?;
            }
        }
        Ok(())
    }

    fn check_spending(&self, checker: &Checker<'_>) -> Result<()> {
        let spending = &self.spending;
        let is_ordered = spending.max_targets == 0 || spending.min_targets <= spending.max_targets;
        checker.require(
            "spending.min_targets",
            "min_targets",
            is_ordered,
            "must be at most max_targets",
        )
    }

    /// Returns the target kind with this name.
    pub fn kind(&self, name: &str) -> Option<&TargetKind> {
        self.target_kinds.iter().find(|kind| &*kind.name == name)
    }
}

impl TargetKind {
    /// Returns whether targets of this kind are language-model engines.
    pub fn is_engine(&self) -> bool {
        self.role == KindRole::Engine
    }
}

impl Model {
    fn check(&self, field: &str, checker: &Checker<'_>) -> Result<()> {
        checker.require_model_name(field, &self.name)?;
        checker.require_name(field, &self.version)?;
        let mut names = HashSet::new();
        for adapter in &self.adapters {
            checker.require_model_name(field, adapter)?;
            checker.require(field, adapter, names.insert(adapter), "repeats an adapter")?;
        }
        Ok(())
    }
}

impl Route {
    fn check(&self, index: usize, checker: &Checker<'_>) -> Result<()> {
        let field = |name: &str| format!("routes[{index}].{name}");
        let is_path_valid = self.path.starts_with('/')
            && self.path.len() <= MAX_PATH_BYTES
            && !self.path.contains(['?', '#', ' ']);
        checker.require(
            &field("path"),
            &self.path,
            is_path_valid,
            "must start with / and contain no query, fragment or space",
        )?;
        for method in &self.methods {
            let is_upper_case =
                !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
            checker.require(
                &field("methods"),
                method,
                is_upper_case,
                "must be in upper case",
            )?;
        }
        let is_deadline_valid = (1..=MAX_DEADLINE_MS).contains(&self.deadline_ms);
        checker.require(
            &field("deadline_ms"),
            "deadline_ms",
            is_deadline_valid,
            "must be from 1 to 3600000",
        )?;
        let is_first_token_valid = (1..=self.deadline_ms).contains(&self.first_token_ms);
        checker.require(
            &field("first_token_ms"),
            "first_token_ms",
            is_first_token_valid,
            "must be from 1 to deadline_ms",
        )?;
        checker.require(
            &field("between_tokens_ms"),
            "between_tokens_ms",
            self.between_tokens_ms > 0,
            "must be over 0",
        )?;
        checker.require(
            &field("max_body_bytes"),
            "max_body_bytes",
            self.max_body_bytes > 0,
            "must be over 0",
        )
    }
}

impl Account {
    fn check(&self, index: usize, checker: &Checker<'_>) -> Result<()> {
        let field = |name: &str| format!("accounts[{index}].{name}");
        if &*self.name == OPEN_ACCOUNT {
            return Err(checker.error(&field("name"), &self.name, "is reserved for open routes"));
        }
        if !is_valid_name(&self.name) {
            return Err(checker.error(&field("name"), &self.name, NAME_RULE));
        }
        if !(1..=MAX_WEIGHT).contains(&self.weight) {
            return Err(checker.error(&field("weight"), "weight", "must be from 1 to 1000000"));
        }
        if self.keys.len() > MAX_KEYS {
            return Err(checker.error(&field("keys"), &self.name, "must be at most 64"));
        }
        Ok(())
    }
}

impl Key {
    /// Returns the decoded digest, or `None` unless `sha256` has 64 lower-case
    /// hexadecimal digits.
    pub fn digest(&self) -> Option<[u8; 32]> {
        let is_lower_case = !self.sha256.bytes().any(|byte| byte.is_ascii_uppercase());
        if !is_lower_case || self.sha256.len() != SHA256_HEX_BYTES {
            return None;
        }
        let mut digest = [0; 32];
        hex::decode_to_slice(&*self.sha256, &mut digest).ok()?;
        Some(digest)
    }

    fn check(&self, field: &str, checker: &Checker<'_>) -> Result<()> {
        checker.require_name(field, &self.id)?;
        checker.require(
            field,
            &self.sha256,
            self.digest().is_some(),
            "sha256 must be 64 lower-case hexadecimal digits",
        )
    }
}

/// Error text for an invalid name.
const NAME_RULE: &str = "must be 1 to 128 letters, digits, dots, hyphens or underscores";

fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

fn parse_error(error: &serde_yaml_ng::Error) -> Error {
    let location = error.location();
    Error::Parse {
        line: location.as_ref().map_or(0, serde_yaml_ng::Location::line),
        column: location.as_ref().map_or(0, serde_yaml_ng::Location::column),
        reason: error.to_string(),
    }
}

/// Builds the errors of failed checks, with the line of the invalid value.
struct Checker<'a> {
    text: &'a str,
}

impl Checker<'_> {
    fn require(&self, field: &str, value: &str, is_valid: bool, reason: &str) -> Result<()> {
        if is_valid {
            return Ok(());
        }
        Err(self.error(field, value, reason))
    }

    fn require_name(&self, field: &str, value: &str) -> Result<()> {
        self.require(field, value, is_valid_name(value), NAME_RULE)
    }

    /// Checks a model or adapter name, which may contain slashes, as in
    /// `team/model`.
    fn require_model_name(&self, field: &str, value: &str) -> Result<()> {
        let is_valid = value.split('/').all(is_valid_name);
        self.require(field, value, is_valid, NAME_RULE)
    }

    fn error(&self, field: &str, value: &str, reason: &str) -> Error {
        Error::Invalid {
            line: self.line_of(value),
            field: field.to_owned(),
            reason: reason.to_owned(),
        }
    }

    /// Returns the last line that contains the value, since of two equal values
    /// the later one is the duplicate; 1 if no line contains the value.
    fn line_of(&self, value: &str) -> usize {
        let mut found = 1;
        for (index, line) in self.text.lines().enumerate() {
            if !value.is_empty() && line.contains(value) {
                found = index + 1;
            }
        }
        found
    }
}
