//! Runs all processes in one, for trials.

use crate::error::{CliError, Exit};
use crate::output::Output;

/// Flags of `dev`.
#[derive(Debug, clap::Args)]
pub struct DevArgs {}

/// Runs until the process is told to stop.
///
/// # Errors
/// [`CliError`] if a part cannot start.
pub async fn run(_args: DevArgs, _out: &mut Output) -> Result<Exit, CliError> {
    let message = "`dev` is not part of this build".to_owned();
    Err(CliError::Remote { message })
}
