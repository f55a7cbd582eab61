//! Reading of YAML documents with every error at once, each with its place.

mod locate;
mod path;

pub use locate::Lines;
pub use path::{Segment, format_path, parse_path};

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_norway::Value;

use crate::problem::{Problem, Problems, split_expected};

/// Largest document in bytes. The answers of a site with 4,000 targets have some 100 KiB.
pub const MAX_BYTES: usize = 1024 * 1024;
/// Errors reported for one document. More would not help, and each costs a pass over the document.
const MAX_PROBLEMS: usize = 100;

/// A YAML document and where its keys are.
#[derive(Debug, Clone)]
pub struct Document {
    file: String,
    lines: Lines,
    value: Value,
    /// Where values that replaced those of the file came from, by key.
    origins: BTreeMap<String, String>,
}

/// A decoded document and what was wrong with it.
#[derive(Debug)]
pub struct Decoded<T> {
    /// The value; wrong parts are replaced by those of the template. `None` if that was not possible.
    pub value: Option<T>,
    /// What was wrong.
    pub problems: Problems,
    /// Paths that were replaced. Findings below them say nothing about the document.
    pub replaced: Vec<String>,
}

impl Document {
    /// Parses `text`; `file` is the name for errors.
    ///
    /// # Errors
    /// If the text is too long, no valid YAML or no map.
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
                lines: Lines::scan(text),
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

    /// An empty document, to be filled with [`Document::set`].
    #[must_use]
    pub fn empty(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            lines: Lines::default(),
            value: Value::Mapping(serde_norway::Mapping::new()),
            origins: BTreeMap::new(),
        }
    }

    /// Replaces the value at a path of keys. `origin` is the flag or variable for errors.
    pub fn set(&mut self, key: &str, origin: &str, value: Value) {
        let path = parse_path(key);
        if path::set(&mut self.value, &path, value) {
            self.origins.insert(key.to_owned(), origin.to_owned());
        }
    }

    /// A problem at a key of this document.
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

    /// Decodes the document.
    ///
    /// The decoder stops at the first error. The wrong value is therefore recorded, replaced by
    /// the one in `template` (a complete valid document) and the document decoded again.
    #[must_use]
    pub fn decode<T: DeserializeOwned>(&self, template: &Value) -> Decoded<T> {
        let mut value = self.value.clone();
        let mut problems = Problems::default();
        let mut replaced: Vec<String> = Vec::new();
        loop {
            let e = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
                Ok(decoded) => return done(Some(decoded), problems, replaced),
                Err(e) => e,
            };
            let fault = Fault::new(&path::from_serde(e.path()), &e.inner().to_string());
            problems.0.push(self.describe(&fault, template));
            let key = format_path(&fault.path);
            // A fault at the same place again means that the replacement did not help.
            let repeated = replaced.contains(&key);
            if repeated || problems.0.len() >= MAX_PROBLEMS || !fault.repair(&mut value, template) {
                return done(None, problems, replaced);
            }
            replaced.push(key);
        }
    }

    fn describe(&self, fault: &Fault, template: &Value) -> Problem {
        let key = format_path(&fault.path);
        let mut problem = self.problem(&key, fault.problem.clone(), &fault.allowed);
        if problem.allowed.is_empty()
            && let Some(example) = path::get(template, &fault.path)
            && let Ok(text) = serde_norway::to_string(example)
            && fault.kind != Kind::Unknown
        {
            problem.allowed = format!("for example: {}", one_line(&text));
        }
        problem
    }
}

fn done<T>(value: Option<T>, problems: Problems, replaced: Vec<String>) -> Decoded<T> {
    Decoded {
        value,
        problems,
        replaced,
    }
}

fn one_line(text: &str) -> String {
    const SHOWN: usize = 160;
    let line = text.trim().replace('\n', "; ");
    line.chars().take(SHOWN).collect()
}

impl<T> Decoded<T> {
    /// Whether a finding at `key` concerns a value that was replaced.
    #[must_use]
    pub fn was_replaced(&self, key: &str) -> bool {
        self.replaced
            .iter()
            .any(|path| path::is_at_or_below(key, path) || path::is_at_or_below(path, key))
    }
}

#[derive(Debug, PartialEq, Eq, Clone, Copy)]
enum Kind {
    Missing,
    Unknown,
    Wrong,
}

/// One decoding error: what is wrong and at which path.
struct Fault {
    kind: Kind,
    path: Vec<Segment>,
    problem: String,
    allowed: String,
}

impl Fault {
    fn new(path: &[Segment], message: &str) -> Self {
        let (problem, allowed) = split_expected(message);
        let named = |prefix: &str| {
            let rest = message.strip_prefix(prefix)?;
            Some(Segment::Key(rest.split('`').next()?.to_owned()))
        };
        let missing = named("missing field `");
        let unknown = named("unknown field `");
        let kind = match (&missing, &unknown) {
            (Some(_), _) => Kind::Missing,
            (_, Some(_)) => Kind::Unknown,
            _ => Kind::Wrong,
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

    /// Makes the value decodable at this place. `false` if that is not possible.
    fn repair(&self, value: &mut Value, template: &Value) -> bool {
        if self.kind == Kind::Unknown {
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
