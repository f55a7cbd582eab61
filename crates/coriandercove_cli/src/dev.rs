//! `coriandercove dev`: runs a whole deployment in one process on the loopback interface.

use coriandercove_local::{Deployment, Plan};

use crate::error::{CliError, Exit};
use crate::output::Output;

/// Arguments of `dev`.
#[derive(Debug, clap::Args)]
pub struct DevArgs {
    /// Port on which the first entry listens for callers; further entries use the next ports. 0
    /// lets the system choose
    #[arg(long, default_value_t = 8080)]
    port: u16,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs a deployment until SIGINT or SIGTERM.
///
/// # Errors
/// [`CliError::Remote`] if the deployment does not start.
pub async fn run(args: DevArgs, out: &mut Output) -> Result<Exit, CliError> {
    let plan = Plan {
        first_port: args.port,
        seed: args.seed,
        ..Plan::small()
    };
    let deployment = Deployment::start(plan).map_err(|e| CliError::Remote {
        message: e.to_string(),
    })?;
    out.raw(&ready_message(&deployment));
    wait_for_signal().await;
    deployment.drain();
    Ok(Exit::Success)
}

/// Text shown once the deployment runs: `ready` and commands that send sample requests.
fn ready_message(deployment: &Deployment) -> String {
    let key = deployment.caller_key();
    let plan = deployment.plan();
    let mut out = String::from("ready\n");
    let Some(entry) = deployment.entries.first() else {
        return out;
    };
    let url = format!("http://{}", entry.caller_addr);
    out += &format!(
        "curl -N {url}/v1/completions -H 'Authorization: Bearer {key}' \
         -H 'Content-Type: application/json' \
         -d '{{\"model\":\"{}\",\"prompt\":\"a border of blue tesserae\",\"max_tokens\":16,\"stream\":true}}'\n",
        plan.model
    );
    out += &format!(
        "curl {url}/services/{}/bookings -H 'Authorization: Bearer {key}' \
         -H 'Content-Type: application/json' -d '{{\"slot\":\"monday\"}}'\n",
        plan.service
    );
    out
}

/// Returns at SIGINT or SIGTERM, or at once if a signal handler cannot be installed.
async fn wait_for_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut interrupt), Ok(mut terminate)) = (
        signal(SignalKind::interrupt()),
        signal(SignalKind::terminate()),
    ) else {
        return;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}
