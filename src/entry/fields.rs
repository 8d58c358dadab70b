//! Typed, validated access to the fields of a JSON request body.

use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use crate::entry::error::{Error, Result};

/// Top-level JSON object of a request body.
///
/// Fields whose value is null count as absent.
#[derive(Debug)]
pub(super) struct Fields {
    object: Map<String, Value>,
}

impl Fields {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Json`], with line and column, unless the body is a JSON
    /// object.
    pub(super) fn parse(body: &[u8]) -> Result<Self> {
        let object = serde_json::from_slice(body)?;
        Ok(Self { object })
    }

    /// Returns the value of a field, or `None` if it is absent or null.
    pub(super) fn get(&self, param: &'static str) -> Option<&Value> {
        self.object.get(param).filter(|value| !value.is_null())
    }

    /// Removes a field and returns its value, or `None` if it is absent or null.
    pub(super) fn take(&mut self, param: &'static str) -> Option<Value> {
        self.object.remove(param).filter(|value| !value.is_null())
    }

    /// Returns the value of a required, non-empty string field.
    pub(super) fn required_string(&self, param: &'static str) -> Result<&str> {
        match self.get(param) {
            Some(Value::String(text)) if !text.is_empty() => Ok(text),
            Some(Value::String(_)) => Err(invalid(param, "must not be empty")),
            Some(other) => Err(wrong_type(param, "a string", other)),
            None => Err(invalid(param, "is required")),
        }
    }

    /// Checks that a field, if present, is a string.
    pub(super) fn check_string(&self, param: &'static str) -> Result<()> {
        match self.get(param) {
            None | Some(Value::String(_)) => Ok(()),
            Some(other) => Err(wrong_type(param, "a string", other)),
        }
    }

    /// Returns the value of a boolean field, `false` if it is absent.
    pub(super) fn boolean(&self, param: &'static str) -> Result<bool> {
        match self.get(param) {
            None => Ok(false),
            Some(Value::Bool(value)) => Ok(*value),
            Some(other) => Err(wrong_type(param, "a boolean", other)),
        }
    }

    /// Returns the value of an optional integer field, which must be within
    /// `range`.
    pub(super) fn integer(
        &self,
        param: &'static str,
        range: RangeInclusive<i64>,
    ) -> Result<Option<i64>> {
        let Some(value) = self.get(param) else {
            return Ok(None);
        };
        let Some(number) = value.as_i64() else {
            return Err(wrong_type(param, "an integer", value));
        };
        if !range.contains(&number) {
            let reason = format!("must be from {} to {}", range.start(), range.end());
            return Err(invalid(param, reason));
        }
        Ok(Some(number))
    }

    /// Returns the value of an optional number field, which must be within
    /// `range`.
    pub(super) fn number(
        &self,
        param: &'static str,
        range: RangeInclusive<f64>,
    ) -> Result<Option<f64>> {
        let Some(value) = self.get(param) else {
            return Ok(None);
        };
        let Some(number) = value.as_f64() else {
            return Err(wrong_type(param, "a number", value));
        };
        if !range.contains(&number) {
            let reason = format!("must be from {} to {}", range.start(), range.end());
            return Err(invalid(param, reason));
        }
        Ok(Some(number))
    }

    /// Rejects an unsupported field unless it is absent, `false`, or an empty
    /// array or object.
    pub(super) fn check_absent(&self, param: &'static str) -> Result<()> {
        let used = match self.get(param) {
            None | Some(Value::Bool(false)) => false,
            Some(Value::Array(items)) => !items.is_empty(),
            Some(Value::Object(items)) => !items.is_empty(),
            Some(_) => true,
        };
        if used {
            return Err(invalid(param, "is not supported"));
        }
        Ok(())
    }
}

/// Returns the error for an invalid value of a field.
pub(super) fn invalid<S>(param: &'static str, reason: S) -> Error
where
    S: Into<String>,
{
    Error::InvalidField {
        param,
        reason: reason.into(),
    }
}

/// Returns the error for a field whose value has the wrong type.
pub(super) fn wrong_type(param: &'static str, expected: &str, value: &Value) -> Error {
    invalid(
        param,
        format!("must be {expected}, not {}", type_name(value)),
    )
}

const fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    }
}
