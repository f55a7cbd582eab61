//! Questions at the terminal.

use std::io::BufRead;

use crate::error::CliError;
use crate::output::Output;

/// Wrong answers to one question before the command gives up.
const TRIES: u32 = 5;

/// Asks questions and reads answers line by line.
pub struct Prompt<'a> {
    input: &'a mut dyn BufRead,
    out: &'a mut Output,
}

impl<'a> Prompt<'a> {
    /// Asks on `out` and reads from `input`.
    pub fn new(input: &'a mut dyn BufRead, out: &'a mut Output) -> Self {
        Self { input, out }
    }

    /// Asks until `parse` takes the answer. An empty answer means `default`.
    ///
    /// # Errors
    /// [`CliError::NoTerminal`] at the end of the input or after too many wrong answers.
    pub fn ask<T>(
        &mut self,
        question: &str,
        default: &str,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Result<T, CliError> {
        for _ in 0..TRIES {
            let shown = if default.is_empty() { "none" } else { default };
            self.out.remark(&format!("{question} [{shown}]: "));
            let mut line = String::new();
            let read = self.input.read_line(&mut line);
            if !matches!(read, Ok(1..)) {
                let message = format!("the input ended at the question `{question}`");
                return Err(CliError::NoTerminal { message });
            }
            let text = match line.trim() {
                "" => default,
                text => text,
            };
            match parse(text) {
                Ok(value) => return Ok(value),
                Err(problem) => self.out.remark(&format!("  {problem}\n")),
            }
        }
        let message = format!("no valid answer to `{question}` in {TRIES} tries");
        Err(CliError::NoTerminal { message })
    }
}
