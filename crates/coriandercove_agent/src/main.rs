//! The agent's program: reads the settings, runs the agent and drains it on a signal or an
//! operator's request.

use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use coriandercove_agent::engine::BatchLimits;
use coriandercove_agent::stage::StageLimits;
use coriandercove_agent::{Agent, AgentConfig, Backend};
use coriandercove_base::byte_budget::ByteBudget;
use coriandercove_base::http::{HttpClient, HttpLimits};
use coriandercove_base::telemetry::{Metrics, logger};
use coriandercove_config::settings::{
    AgentArgs, AgentSettings, Secrets, Startup, TargetSettingsKind, process_env,
};
use coriandercove_node::process::{
    EXIT_FAILURE, EXIT_INVALID, StopRequest, new_incarnation, print_error, print_output,
};
use coriandercove_operator::OperationsServerBuilder;
use coriandercove_peer::{ClusterKey, MAX_BODY_BYTES, PeerInfo, Role};
use coriandercove_target::{HttpEngine, HttpService};
use slog::Logger;

/// Time after which a forward call to the engine counts as failed.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    match AgentArgs::parse().startup(process_env()) {
        Ok(Startup::Print(text)) => print_output(&text),
        Ok(Startup::Run(settings, secrets)) => {
            let log = logger(settings.log);
            match actix_rt::System::new().block_on(run(&settings, secrets, log)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => print_error(EXIT_FAILURE, &format!("the agent cannot run: {e}")),
            }
        }
        Err(problems) => print_error(EXIT_INVALID, &problems),
    }
}

async fn run(settings: &AgentSettings, secrets: Secrets, log: Logger) -> std::io::Result<()> {
    let mut agent = Agent::start(config(settings, &secrets, &log)).await?;
    let stop = StopRequest::new();
    let region = settings.region.clone();
    let operations = agent.operations(region, Rc::clone(&stop));
    let server = OperationsServerBuilder::new(operations, secrets.operator_token)
        .metrics(agent.metrics().clone())
        .log(log.clone());
    let _server = server.bind(settings.operations)?;
    slog::info!(log, "agent runs"; "target" => &*settings.target_id, "peer" => %settings.peer);
    if let Some(deadline) = stop.wait().await? {
        agent.set_drain_deadline(deadline);
    }
    slog::info!(log, "agent leaves"; "in_progress" => agent.in_progress());
    agent.drain().await;
    slog::info!(log, "agent has left");
    Ok(())
}

/// Builds the agent's configuration. The agent uses the id of its target as its node id towards
/// peers, because the deployment's configuration names targets by it.
fn config(settings: &AgentSettings, secrets: &Secrets, log: &Logger) -> AgentConfig {
    let own = PeerInfo {
        node: settings.target_id.clone(),
        incarnation: new_incarnation(),
        zone: settings.zone.clone(),
        role: Role::Agent,
        listen: settings.peer,
    };
    let key = ClusterKey::from_secret(secrets.cluster_key.expose());
    let metrics = Metrics::default();
    let bytes = ByteBudget::registered(settings.limits.memory_mb as usize, &metrics);
    // What fits no frame would be collected in vain, while its caller waits.
    let http = HttpLimits {
        max_body: MAX_BODY_BYTES,
        ..HttpLimits::default()
    };
    let client = HttpClient::new(http).with_budget(Arc::clone(&bytes));
    let url = &settings.target.url;
    let backend = match settings.target.kind {
        TargetSettingsKind::Engine => Backend::Engine(Rc::new(HttpEngine::new(client, url))),
        TargetSettingsKind::Service => Backend::Service(Rc::new(HttpService::new(client, url))),
    };
    let limits = &settings.limits;
    let stages = StageLimits {
        max_streams: limits.streams as usize,
        max_retained_bytes: usize::try_from(limits.retained_bytes).unwrap_or(usize::MAX),
        entry_grace: limits.entry_grace,
        ..StageLimits::default()
    };
    let batch = BatchLimits {
        calls: limits.forward_calls as usize,
        items: limits.batch_items as usize,
        timeout: FORWARD_TIMEOUT,
    };
    AgentConfig::new(own, key, backend, log.clone())
        .with_budget(metrics, bytes)
        .with_stages(stages)
        .with_batch(batch)
        .with_drain_deadline(settings.drain_deadline)
        .with_seeds(settings.seeds.clone())
}
