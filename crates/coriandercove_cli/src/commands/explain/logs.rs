//! Puts the log lines of one request in order.

use std::fs::File;
use std::io::{BufRead as _, BufReader};
use std::path::PathBuf;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::error::CliError;

/// Fields that every line has; the others are the inputs of its decision.
const COMMON: [&str; 5] = ["msg", "ts", "level", "node", "req"];

/// The lines of one request, oldest first.
#[derive(Debug, Serialize)]
pub(crate) struct Story {
    /// The request.
    pub(crate) request: String,
    /// Its lines, and exclusions of targets on its paths meanwhile.
    pub(crate) lines: Vec<Map<String, Value>>,
    /// Index of the line that decided how it ended.
    pub(crate) deciding: usize,
}

fn field<'a>(line: &'a Map<String, Value>, name: &str) -> &'a str {
    line.get(name).and_then(Value::as_str).unwrap_or_default()
}

/// Reads the lines of a request from files; other text in the files is passed over.
///
/// # Errors
/// [`CliError::File`] if a file cannot be read, [`CliError::Usage`] if no line names the request.
pub(crate) fn read(files: &[PathBuf], request: &str) -> Result<Story, CliError> {
    let mut lines = Vec::new();
    for path in files {
        let problem = |e: std::io::Error| CliError::File {
            path: path.display().to_string(),
            message: e.to_string(),
        };
        let file = File::open(path).map_err(problem)?;
        for line in BufReader::new(file).lines() {
            lines.extend(parse(&line.map_err(problem)?));
        }
    }
    story(lines, request).ok_or_else(|| CliError::Usage {
        message: format!("no line names the request {request}; the log may have left it out"),
    })
}

/// The object in a line of text, which may stand behind a prefix of whoever collected it.
fn parse(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn story(lines: Vec<Map<String, Value>>, request: &str) -> Option<Story> {
    let (mut own, others): (Vec<_>, Vec<_>) =
        lines.into_iter().partition(|l| field(l, "req") == request);
    // Times are written in UTC with the same form, so their text sorts as they do.
    own.sort_by(|a, b| field(a, "ts").cmp(field(b, "ts")));
    let (first, last) = (
        field(own.first()?, "ts").to_owned(),
        field(own.last()?, "ts").to_owned(),
    );
    let paths: Vec<String> = own
        .iter()
        .map(|l| format!("{} {}", field(l, "path"), field(l, "first")))
        .collect();
    let nodes: Vec<String> = own.iter().map(|l| field(l, "node").to_owned()).collect();
    // What another entry believed did not decide this request.
    let is_on_path = |l: &Map<String, Value>| {
        let target = field(l, "target");
        field(l, "msg") == "target excluded"
            && nodes.iter().any(|n| n == field(l, "node"))
            && paths.iter().any(|p| p.contains(target))
    };
    let meanwhile = |l: &Map<String, Value>| {
        let at = field(l, "ts");
        *first <= *at && *at <= *last
    };
    own.extend(others.into_iter().filter(|l| meanwhile(l) && is_on_path(l)));
    own.sort_by(|a, b| field(a, "ts").cmp(field(b, "ts")));
    // The first failure leads to what follows it; without one the last line tells the end.
    let deciding = own
        .iter()
        .position(|l| field(l, "level") == "WARN")
        .unwrap_or(own.len() - 1);
    Some(Story {
        request: request.to_owned(),
        lines: own,
        deciding,
    })
}

impl Story {
    /// The lines for a person; the deciding one is marked.
    pub(crate) fn text(&self) -> String {
        let mut out = format!("request {}\n", self.request);
        for (i, line) in self.lines.iter().enumerate() {
            let mark = if i == self.deciding { ">" } else { " " };
            let inputs: Vec<String> = line
                .iter()
                .filter(|(name, value)| !COMMON.contains(&name.as_str()) && !value.is_null())
                .map(|(name, value)| format!("{name}={}", plain(value)))
                .collect();
            out.push_str(&format!(
                "{mark} {} {} {}: {}\n",
                field(line, "ts"),
                field(line, "node"),
                field(line, "msg"),
                inputs.join(" ")
            ));
        }
        out
    }
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

#[cfg(test)]
mod tests;
