//! Decoding of YAML documents that reports all errors, each with its line.

mod line_index;
mod path;

pub use line_index::LineIndex;
pub use path::{Segment, format_path, parse_path};

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_norway::Value;

use crate::problem::{Problem, Problems, split_expected};

/// Largest document, in bytes. The answers of a site with 4,000 targets have about 100 KiB.
pub const MAX_BYTES: usize = 1024 * 1024;
/// Largest number of errors reported for one document. A longer list would not help the
/// reader, and each error costs a decoding pass over the document.
const MAX_PROBLEMS: usize = 100;

/// A parsed YAML document and the lines of its keys.
#[derive(Debug, Clone)]
pub struct Document {
    file: String,
    lines: LineIndex,
    value: Value,
    /// Flag or environment variable of each overridden value, by key.
    origins: BTreeMap<String, String>,
}

/// The result of decoding a document.
#[derive(Debug)]
pub struct Decoded<T> {
    /// The value, with invalid parts replaced by those of the template. `None` if that was not
    /// possible.
    pub value: Option<T>,
    /// All decoding errors.
    pub problems: Problems,
    /// Paths that were replaced. Findings at or below them concern the template, not the document.
    pub replaced: Vec<String>,
}

impl Document {
    /// Parses `text`. `file` is the file name that errors report.
    ///
    /// # Errors
    /// If the text is longer than [`MAX_BYTES`], no valid YAML or no map.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let fail = |line, problem: String, allowed: &str| {
            Err(Problems(vec![Problem {
                file: file.to_owned(),
                line,
                key: String::new(),
                problem,
                allowed: allowed.to_owned(),
            }]))
        };
        if text.len() > MAX_BYTES {
            let problem = format!("the file has {} bytes", text.len());
            return fail(0, problem, &format!("at most {MAX_BYTES} bytes"));
        }
        match serde_norway::from_str::<Value>(text) {
            Ok(value @ Value::Mapping(_)) => Ok(Self {
                file: file.to_owned(),
                lines: LineIndex::scan(text),
                value,
                origins: BTreeMap::new(),
            }),
            Ok(_) => fail(
                1,
                "the file is empty or has no keys".to_owned(),
                "a map of keys",
            ),
            Err(e) => {
                let line = e.location().map_or(0, |l| l.line());
                fail(line, format!("invalid YAML: {e}"), "YAML with unique keys")
            }
        }
    }

    /// Creates an empty document, to be filled with [`Document::set`].
    #[must_use]
    pub fn empty(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            lines: LineIndex::default(),
            value: Value::Mapping(serde_norway::Mapping::new()),
            origins: BTreeMap::new(),
        }
    }

    /// Sets the value at a path of keys. Errors in it report `origin`, the flag or environment
    /// variable, in place of the file.
    pub fn set(&mut self, key: &str, origin: &str, value: Value) {
        let path = parse_path(key);
        if path::set(&mut self.value, &path, value) {
            self.origins.insert(key.to_owned(), origin.to_owned());
        }
    }

    /// Builds a problem at a key of this document, with its file and line or its origin.
    #[must_use]
    pub fn problem(&self, key: &str, problem: String, allowed: &str) -> Problem {
        let origin = self
            .origins
            .iter()
            .find(|(path, _)| path::is_at_or_below(key, path));
        let (file, line) = match origin {
            Some((_, origin)) => (origin.clone(), 0),
            None => (self.file.clone(), self.lines.line_of(key)),
        };
        Problem {
            file,
            line,
            key: key.to_owned(),
            problem,
            allowed: allowed.to_owned(),
        }
    }

    /// Decodes the document and collects all errors.
    ///
    /// The decoder stops at the first error. The invalid value is therefore recorded and replaced
    /// by the one in `template` (a complete valid document), and the document is decoded again.
    #[must_use]
    pub fn decode<T: DeserializeOwned>(&self, template: &Value) -> Decoded<T> {
        let mut value = self.value.clone();
        let mut problems = Problems::default();
        let mut replaced: Vec<String> = Vec::new();
        loop {
            let e = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
                Ok(decoded) => return finish(Some(decoded), problems, replaced),
                Err(e) => e,
            };
            let error = DecodeError::new(&path::from_serde(e.path()), &e.inner().to_string());
            problems.0.push(self.describe(&error, template));
            let key = format_path(&error.path);
            // A second error at the same path means that the replacement did not help.
            let repeated = replaced.contains(&key);
            if repeated || problems.0.len() >= MAX_PROBLEMS || !error.repair(&mut value, template) {
                return finish(None, problems, replaced);
            }
            replaced.push(key);
        }
    }

    fn describe(&self, error: &DecodeError, template: &Value) -> Problem {
        let key = format_path(&error.path);
        let mut problem = self.problem(&key, error.problem.clone(), &error.allowed);
        if problem.allowed.is_empty()
            && let Some(example) = path::get(template, &error.path)
            && let Ok(text) = serde_norway::to_string(example)
            && error.kind != DecodeErrorKind::Unknown
        {
            problem.allowed = format!("for example: {}", one_line(&text));
        }
        problem
    }
}

fn finish<T>(value: Option<T>, problems: Problems, replaced: Vec<String>) -> Decoded<T> {
    Decoded {
        value,
        problems,
        replaced,
    }
}

fn one_line(text: &str) -> String {
    const MAX_CHARS: usize = 160;
    let line = text.trim().replace('\n', "; ");
    line.chars().take(MAX_CHARS).collect()
}

impl<T> Decoded<T> {
    /// Whether a finding at `key` concerns a replaced value, one below it or one above it.
    #[must_use]
    pub fn was_replaced(&self, key: &str) -> bool {
        self.replaced
            .iter()
            .any(|path| path::is_at_or_below(key, path) || path::is_at_or_below(path, key))
    }
}

#[derive(Debug, PartialEq, Eq, Clone, Copy)]
enum DecodeErrorKind {
    Missing,
    Unknown,
    Invalid,
}

/// One decoding error.
struct DecodeError {
    kind: DecodeErrorKind,
    path: Vec<Segment>,
    problem: String,
    allowed: String,
}

impl DecodeError {
    fn new(path: &[Segment], message: &str) -> Self {
        let (problem, allowed) = split_expected(message);
        let field_after = |prefix: &str| {
            let rest = message.strip_prefix(prefix)?;
            Some(Segment::Key(rest.split('`').next()?.to_owned()))
        };
        let missing = field_after("missing field `");
        let unknown = field_after("unknown field `");
        let kind = match (&missing, &unknown) {
            (Some(_), _) => DecodeErrorKind::Missing,
            (_, Some(_)) => DecodeErrorKind::Unknown,
            _ => DecodeErrorKind::Invalid,
        };
        let mut path = path.to_vec();
        if let Some(name) = missing.or(unknown)
            && path.last() != Some(&name)
        {
            path.push(name);
        }
        Self {
            kind,
            path,
            problem,
            allowed,
        }
    }

    /// Replaces or removes the invalid value so that decoding gets past it. `false` if that is not
    /// possible.
    fn repair(&self, value: &mut Value, template: &Value) -> bool {
        if self.kind == DecodeErrorKind::Unknown {
            return path::remove(value, &self.path);
        }
        match path::get(template, &self.path) {
            Some(replacement) => path::set(value, &self.path, replacement.clone()),
            None => path::remove(value, &self.path),
        }
    }
}

#[cfg(test)]
mod tests;
