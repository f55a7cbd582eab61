//! Errors in checked input: location, problem and allowed values.

use std::fmt;

use serde::Serialize;

/// One error in checked input.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Problem {
    /// Source of the value: a file, flag or environment variable, or `configuration` for objects.
    pub file: String,
    /// Line number from 1, or 0 if the source has no lines.
    pub line: usize,
    /// Path of the key, such as `accounts[2].weight`; empty for the whole input.
    pub key: String,
    /// What is wrong with the value.
    pub problem: String,
    /// What is allowed; empty if the problem says so already.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.problem)?;
        if !self.allowed.is_empty() {
            write!(f, " (allowed: {})", self.allowed)?;
        }
        Ok(())
    }
}

/// All errors of one input. [`Problems::into_result`] sorts them by file and line.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

impl Problems {
    /// Returns `value` if there is no problem, and the sorted problems otherwise.
    ///
    /// # Errors
    /// The problems, sorted by file, line and key.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort();
        Err(self)
    }
}

/// Splits a serde error such as `unknown field x, expected y` into the problem and the allowed
/// values.
#[must_use]
pub(crate) fn split_expected(message: &str) -> (String, String) {
    let message = message
        .replace("unknown field", "unknown key")
        .replace("missing field", "missing key");
    match message.split_once(", expected ") {
        Some((problem, expected)) => (problem.to_owned(), describe_expected(expected)),
        None => (message, String::new()),
    }
}

/// Describes the type that serde expects without names of Rust types, which operators do not know.
fn describe_expected(expected: &str) -> String {
    let number = |max: u64| format!("a whole number from 0 to {max}");
    match expected {
        "u8" => number(u8::MAX.into()),
        "u16" => number(u16::MAX.into()),
        "u32" => number(u32::MAX.into()),
        "u64" => "a whole number from 0".to_owned(),
        "a string" | "string" | "string or map" => "text".to_owned(),
        "a boolean" => "true or false".to_owned(),
        "a sequence" => "a list".to_owned(),
        "socket address" => "an IP address and a port, such as 10.0.0.5:7400".to_owned(),
        other if other.starts_with("struct ") => "a map of keys".to_owned(),
        other => other.to_owned(),
    }
}

#[cfg(test)]
mod tests;
