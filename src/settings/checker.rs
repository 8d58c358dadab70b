//! Validation of settings, with the line of the invalid field in errors.

use std::path::{Path, PathBuf};

use super::{Error, Result};

/// Builds the errors of failed checks, with the line of the invalid field.
pub(super) struct Checker<'a> {
    text: &'a str,
    path: PathBuf,
}

impl<'a> Checker<'a> {
    /// Creates a checker for the settings in `text`; errors contain `path`.
    pub(super) fn new(text: &'a str, path: &Path) -> Self {
        Self {
            text,
            path: path.to_owned(),
        }
    }

    pub(super) fn require(&self, field: &'static str, is_valid: bool, reason: &str) -> Result<()> {
        if is_valid {
            return Ok(());
        }
        Err(self.error(field, reason.to_owned()))
    }

    pub(super) fn error(&self, field: &'static str, reason: String) -> Error {
        Error::Invalid {
            path: self.path.display().to_string(),
            line: self.line_of(field),
            field,
            reason,
        }
    }

    fn line_of(&self, field: &str) -> usize {
        for (index, line) in self.text.lines().enumerate() {
            let Some(after_field) = line.trim_start().strip_prefix(field) else {
                continue;
            };
            if after_field.starts_with(':') {
                return index + 1;
            }
        }
        1
    }
}
