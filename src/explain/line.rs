//! Parsing of single log lines.

use std::{fmt, sync::Arc};

use serde_json::{Map, Value};

use super::refusal::RefusalFields;

/// Fields of every log line; the list of `name=value` pairs in the output leaves
/// them out.
const COMMON_FIELDS: [&str; 3] = ["timestamp", "level", "message"];

const SECONDS_PER_DAY: f64 = 86_400.0;

/// A parsed JSON log line of an instance.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Prefix added by a log collector, such as the instance's name.
    source: String,
    time_s: f64,
    message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a log line in JSON; text before the JSON object is kept as the
    /// line's source. Returns `None` if the line is not a log line.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let (source, object) = line.split_at(line.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        Some(Self {
            source: source.trim().to_owned(),
            time_s: parse_time_s(fields.get("timestamp")?.as_str()?)?,
            message: fields.get("message")?.as_str()?.to_owned(),
            fields,
        })
    }

    /// Returns the identifier of the request, if the line has one.
    #[must_use]
    pub fn request(&self) -> Option<&str> {
        self.fields.get("request")?.as_str()
    }

    /// Returns the name of the target, if the line has one.
    #[must_use]
    pub fn target(&self) -> Option<Arc<str>> {
        self.fields.get("target")?.as_str().map(Arc::from)
    }

    /// Returns the log message.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the timestamp, in seconds since an arbitrary origin.
    #[must_use]
    pub fn time_s(&self) -> f64 {
        self.time_s
    }

    /// Returns the start of the logged operation: the timestamp less
    /// `elapsed_ms`, in seconds since the same origin as [`Self::time_s`].
    #[must_use]
    pub fn start_s(&self) -> f64 {
        self.time_s - self.number("elapsed_ms").unwrap_or(0.0) / 1_000.0
    }

    /// Describes the outcome of the request, if the line reports its end.
    #[must_use]
    pub fn outcome(&self) -> Option<String> {
        let elapsed_ms = self.number("elapsed_ms").unwrap_or(0.0);
        let status = self.number("status").unwrap_or(0.0);
        let message = self.message.strip_prefix("gateway: ")?;
        if let Some(reason) = message.strip_prefix("request refused: ") {
            let outcome = format!("refused with status {status}: {reason}");
            return Some(match self.refusal_fields() {
                Some(fields) => format!("{outcome} ({})", fields.describe()),
                None => outcome,
            });
        }
        if let Some(cause) = message.strip_prefix("stream broken off: ") {
            let events = self.number("events").unwrap_or(0.0);
            return Some(format!("cut after {events} events: {cause}"));
        }
        if let Some(outcome) = message.strip_prefix("request dropped, as its caller has left; ") {
            let step = self.fields.get("step").and_then(Value::as_str);
            let step = step.unwrap_or("-");
            return Some(format!(
                "caller left after {elapsed_ms} ms, during {step}; {outcome}"
            ));
        }
        match message {
            "stream ended" => Some(format!("stream completed in {elapsed_ms} ms")),
            "request answered" => Some(format!("answered {status} after {elapsed_ms} ms")),
            _ => None,
        }
    }

    /// Returns the fields that tell why a request was refused, if the line has them.
    fn refusal_fields(&self) -> Option<RefusalFields<'_>> {
        Some(RefusalFields {
            reason: self.fields.get("reason")?.as_str()?,
            wait_ms: self.number("wait_ms"),
            retry_after_ms: self.number("retry_after_ms"),
        })
    }

    fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field)?.as_f64()
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = self.fields.get("timestamp").and_then(Value::as_str);
        write!(f, "{} ", time.unwrap_or("-"))?;
        if !self.source.is_empty() {
            write!(f, "[{}] ", self.source)?;
        }
        f.write_str(&self.message)?;
        for (name, value) in &self.fields {
            if COMMON_FIELDS.contains(&&**name) || name == "request" {
                continue;
            }
            match value.as_str() {
                Some(text) => write!(f, "  {name}={text}")?,
                None => write!(f, "  {name}={value}")?,
            }
        }
        Ok(())
    }
}

/// Parses a timestamp such as `2026-04-30T03:07:48.025256Z` into seconds. Every
/// month is counted as 31 days, since only differences are used.
fn parse_time_s(text: &str) -> Option<f64> {
    let (date, time) = text.trim_end_matches('Z').split_once('T')?;
    let mut date = date.split('-').map(str::parse::<f64>);
    let mut time = time.split(':').map(str::parse::<f64>);
    let (year, month, day) = (date.next()?.ok()?, date.next()?.ok()?, date.next()?.ok()?);
    let (hour, minute, second) = (time.next()?.ok()?, time.next()?.ok()?, time.next()?.ok()?);
    let days = (year * 12.0 + month) * 31.0 + day;
    Some(days * SECONDS_PER_DAY + hour * 3_600.0 + minute * 60.0 + second)
}
