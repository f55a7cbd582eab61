//! Interactive questions on the terminal.

use std::io::BufRead;

use crate::error::CliError;
use crate::output::Output;

/// Number of invalid answers to one question after which the command gives up.
const MAX_ATTEMPTS: u32 = 5;

/// Asks questions and reads answers line by line.
pub struct Prompt<'a> {
    input: &'a mut dyn BufRead,
    out: &'a mut Output,
}

impl<'a> Prompt<'a> {
    /// Writes questions to `out` and reads answers from `input`.
    pub fn new(input: &'a mut dyn BufRead, out: &'a mut Output) -> Self {
        Self { input, out }
    }

    /// Repeats the question until `parse` accepts the answer. An empty answer means `default`.
    ///
    /// # Errors
    /// [`CliError::NoTerminal`] at the end of the input or after too many invalid answers.
    pub fn ask<T>(
        &mut self,
        question: &str,
        default: &str,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Result<T, CliError> {
        for _ in 0..MAX_ATTEMPTS {
            let shown = if default.is_empty() { "none" } else { default };
            self.out.notice(&format!("{question} [{shown}]: "));
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
                Err(problem) => self.out.notice(&format!("  {problem}\n")),
            }
        }
        let message = format!("no valid answer to `{question}` in {MAX_ATTEMPTS} attempts");
        Err(CliError::NoTerminal { message })
    }
}
