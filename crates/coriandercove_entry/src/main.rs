//! The entry process: reads settings and secrets, then runs an [`Entry`] until it is told to stop.

use std::process::ExitCode;
use std::rc::Rc;

use clap::Parser;
use coriandercove_base::http::{HttpClient, HttpLimits};
use coriandercove_base::telemetry::logger;
use coriandercove_config::settings::{EntryArgs, EntrySettings, Secrets, Startup, process_env};
use coriandercove_entry::{Entry, EntryConfig};
use coriandercove_node::process::{
    EXIT_FAILURE, EXIT_INVALID, StopRequest, new_incarnation, print_error, print_output,
};
use coriandercove_node::store::{CALL_TIMEOUT, http_store};
use coriandercove_operator::OperationsServerBuilder;
use coriandercove_peer::{ClusterKey, PeerInfo, Role};
use coriandercove_platform::VmList;
use slog::Logger;

fn main() -> ExitCode {
    match EntryArgs::parse().startup(process_env()) {
        Ok(Startup::Print(text)) => print_output(&text),
        Ok(Startup::Run(settings, secrets)) => {
            let log = logger(settings.log);
            match actix_rt::System::new().block_on(run(&settings, secrets, log)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => print_error(EXIT_FAILURE, &format!("the entry cannot run: {e}")),
            }
        }
        Err(problems) => print_error(EXIT_INVALID, &problems),
    }
}

async fn run(settings: &EntrySettings, secrets: Secrets, log: Logger) -> std::io::Result<()> {
    let mut entry = Entry::start(config(settings, &secrets, &log)).await?;
    let stop = StopRequest::new();
    let region = settings.region.clone();
    let operations = entry.operations(region, Rc::clone(&stop));
    let server = OperationsServerBuilder::new(operations, secrets.operator_token)
        .metrics(entry.metrics().clone())
        .log(log.clone());
    let _server = server.bind(settings.operations)?;
    slog::info!(log, "entry runs"; "node" => &*settings.node, "callers" => %entry.caller_addr());
    if let Some(deadline) = stop.wait().await? {
        entry.set_drain_deadline(deadline);
    }
    slog::info!(log, "entry leaves"; "in_progress" => entry.in_progress());
    entry.drain().await;
    slog::info!(log, "entry has left");
    Ok(())
}

fn config(settings: &EntrySettings, secrets: &Secrets, log: &Logger) -> EntryConfig {
    let own = PeerInfo {
        node: settings.node.clone(),
        incarnation: new_incarnation(),
        zone: settings.zone.clone(),
        role: Role::Entry,
        listen: settings.peer,
    };
    let key = ClusterKey::from_secret(secrets.cluster_key.expose());
    let limits = &settings.limits;
    let connections = limits.connections as usize;
    let body = limits.body_bytes as usize;
    let mut cfg = EntryConfig::new(own, key, settings.callers, log.clone())
        .with_limits(connections, body, limits.head_timeout)
        .with_memory_mb(limits.memory_mb as usize)
        .with_credit(limits.credit_tokens)
        .with_drain_deadline(settings.drain_deadline)
        .with_seeds(settings.seeds.clone());
    if let Some(url) = settings.store.first() {
        cfg = cfg.with_platform_store(http_store(url));
    }
    if let Some(url) = &settings.vm_list {
        let client = HttpClient::new(HttpLimits::default());
        cfg = cfg.with_vm_list(Rc::new(VmList::new(client, url, CALL_TIMEOUT)));
    }
    cfg
}
