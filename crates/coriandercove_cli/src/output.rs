//! What the program writes. No other module writes to standard output or standard error.

use std::io::Write;

use serde::Serialize;
use serde_json::json;

use crate::error::CliError;

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, clap::ValueEnum)]
pub enum Format {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

/// Where a command writes its results and errors.
pub struct Output {
    format: Format,
    out: Box<dyn Write>,
    err: Box<dyn Write>,
    terminal: bool,
}

impl Output {
    /// Standard output and standard error. `terminal` says whether questions can be asked.
    #[must_use]
    pub fn standard(format: Format, terminal: bool) -> Self {
        Self::new(
            format,
            Box::new(std::io::stdout()),
            Box::new(std::io::stderr()),
            terminal,
        )
    }

    /// Any writers, for tests.
    #[must_use]
    pub fn new(format: Format, out: Box<dyn Write>, err: Box<dyn Write>, terminal: bool) -> Self {
        Self {
            format,
            out,
            err,
            terminal,
        }
    }

    /// Whether questions can be asked.
    #[must_use]
    pub const fn has_terminal(&self) -> bool {
        self.terminal
    }

    /// Writes a result: `text` for people or `value` as JSON.
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

    /// Writes text in either format, for documents such as settings or completions.
    ///
    /// A reader that went away, such as `head`, is no error of the command.
    pub fn raw(&mut self, text: &str) {
        let _ = self.out.write_all(text.as_bytes());
        let _ = self.out.flush();
    }

    /// Writes a question or a remark, in text only, beside the result.
    pub fn remark(&mut self, text: &str) {
        if self.format == Format::Text {
            let _ = self.err.write_all(text.as_bytes());
            let _ = self.err.flush();
        }
    }

    /// Writes an error.
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

fn indent(text: &str) -> String {
    text.replace('\n', "\n       ")
}

/// Formats rows as columns of equal width.
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
