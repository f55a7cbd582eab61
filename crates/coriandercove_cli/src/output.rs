//! Output of results, prompts and errors. No other module writes to standard output or standard
//! error.

use std::io::Write;

use serde::Serialize;
use serde_json::json;

use crate::error::CliError;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, clap::ValueEnum)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

/// Writes the results and errors of a command in the chosen format.
pub struct Output {
    format: Format,
    out: Box<dyn Write>,
    err: Box<dyn Write>,
    has_terminal: bool,
}

impl Output {
    /// Writes to standard output and standard error. `has_terminal` says whether questions can be
    /// asked.
    #[must_use]
    pub fn standard(format: Format, has_terminal: bool) -> Self {
        Self::new(
            format,
            Box::new(std::io::stdout()),
            Box::new(std::io::stderr()),
            has_terminal,
        )
    }

    /// Writes results to `out` and errors to `err`; tests use this constructor.
    #[must_use]
    pub fn new(
        format: Format,
        out: Box<dyn Write>,
        err: Box<dyn Write>,
        has_terminal: bool,
    ) -> Self {
        Self {
            format,
            out,
            err,
            has_terminal,
        }
    }

    /// Whether questions can be asked, because standard input is a terminal.
    #[must_use]
    pub const fn has_terminal(&self) -> bool {
        self.has_terminal
    }

    /// Writes a result: `text` in the text format, `value` as one line of JSON otherwise.
    pub fn result(&mut self, text: &str, value: &impl Serialize) {
        match self.format {
            Format::Text => self.raw(text),
            Format::Json => {
                let mut line = serde_json::to_string(value).unwrap_or_default();
                line.push('\n');
                self.raw(&line);
            }
        }
    }

    /// Writes `text` unchanged in either format, for documents such as settings or completions.
    ///
    /// Write errors are ignored: a reader that closes the pipe early, such as `head`, is not an
    /// error of the command.
    pub fn raw(&mut self, text: &str) {
        let _ = self.out.write_all(text.as_bytes());
        let _ = self.out.flush();
    }

    /// Writes a prompt or a notice to standard error, so that it does not mix with the result. The
    /// JSON format leaves it out.
    pub fn notice(&mut self, text: &str) {
        if self.format == Format::Text {
            let _ = self.err.write_all(text.as_bytes());
            let _ = self.err.flush();
        }
    }

    /// Writes an error to standard error in the chosen format.
    pub fn error(&mut self, error: &CliError) {
        let text = match (self.format, error) {
            (Format::Text, _) => format!("error: {}\n", indent(&error.to_string())),
            (Format::Json, CliError::Invalid { problems }) => {
                format!(
                    "{}\n",
                    json!({"error": "invalid input", "problems": problems})
                )
            }
            (Format::Json, _) => format!("{}\n", json!({"error": error.to_string()})),
        };
        let _ = self.err.write_all(text.as_bytes());
        let _ = self.err.flush();
    }
}

/// Aligns the further lines of an error with the text after `error: `.
fn indent(text: &str) -> String {
    text.replace('\n', "\n       ")
}

/// Formats rows as a left-aligned table, each column as wide as its widest cell.
#[must_use]
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|h| h.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(|h| (*h).to_owned()).collect();
    let mut out = String::new();
    for row in std::iter::once(&header).chain(rows) {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells.map(|(c, w)| format!("{c:w$}", w = *w)).collect();
        out.push_str(line.join("  ").trim_end());
        out.push('\n');
    }
    out
}
