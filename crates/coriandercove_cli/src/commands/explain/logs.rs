//! Collects the log lines of one request from log files, sorted by time.

use std::fs::File;
use std::io::{BufRead as _, BufReader};
use std::path::PathBuf;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::error::CliError;

/// Fields that every log line of a request has. The other fields hold the inputs of the decision
/// that the line reports.
const COMMON_FIELDS: [&str; 5] = ["msg", "ts", "level", "node", "req"];

/// The log lines of one request, oldest first.
#[derive(Debug, Serialize)]
pub(crate) struct RequestTrace {
    /// Id of the request.
    pub(crate) request: String,
    /// Lines of the request, and lines about targets on its paths that were excluded in the
    /// meantime.
    pub(crate) lines: Vec<Map<String, Value>>,
    /// Index in `lines` of the line that decided the outcome: the first warning, or else the last
    /// line.
    pub(crate) deciding: usize,
}

/// Returns a text field of a line, or an empty text if the line has no such field.
fn field<'a>(line: &'a Map<String, Value>, name: &str) -> &'a str {
    line.get(name).and_then(Value::as_str).unwrap_or_default()
}

/// Reads the lines of a request from log files. Text that is not a log line is skipped.
///
/// # Errors
/// [`CliError::File`] if a file cannot be read, [`CliError::Usage`] if no line names the request.
pub(crate) fn read(files: &[PathBuf], request: &str) -> Result<RequestTrace, CliError> {
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
    trace(lines, request).ok_or_else(|| CliError::Usage {
        message: format!(
            "no log line of the request {request} was found; the log may have left it out"
        ),
    })
}

/// Parses the JSON object in a line of text, which a log collector may have prefixed with text of
/// its own.
fn parse(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Selects the lines of a request, or returns `None` if there are none.
fn trace(lines: Vec<Map<String, Value>>, request: &str) -> Option<RequestTrace> {
    let (mut own, others): (Vec<_>, Vec<_>) =
        lines.into_iter().partition(|l| field(l, "req") == request);
    // All timestamps are in UTC and in the same format, so they sort as text.
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
    // Only exclusions by nodes that handled the request count: those by another entry had no
    // influence on it.
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
    // The first failure causes the lines after it. Without a failure the last line has the outcome. A
    // request that was placed after waiting has overcome what it waited for.
    let placed = own
        .iter()
        .position(|l| field(l, "msg") == "placed after waiting")
        .unwrap_or(0);
    let deciding = own
        .iter()
        .skip(placed)
        .position(|l| field(l, "level") == "WARN")
        .map_or(own.len() - 1, |at| placed + at);
    Some(RequestTrace {
        request: request.to_owned(),
        lines: own,
        deciding,
    })
}

impl RequestTrace {
    /// Formats the lines as text and marks the deciding one with `>`.
    pub(crate) fn text(&self) -> String {
        let mut out = format!("request {}\n", self.request);
        for (i, line) in self.lines.iter().enumerate() {
            let mark = if i == self.deciding { ">" } else { " " };
            let inputs: Vec<String> = line
                .iter()
                .filter(|(name, value)| !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null())
                .map(|(name, value)| format!("{name}={}", plain_text(value)))
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

/// Formats a value, with text values unquoted.
fn plain_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

#[cfg(test)]
mod tests;
