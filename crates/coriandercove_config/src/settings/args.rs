//! Command-line flags of the entry and agent programs.

use std::path::PathBuf;

use super::{AGENT_DEFAULTS, AgentSettings, ENTRY_DEFAULTS, EntrySettings, Loader, Secrets};
use crate::problem::Problems;

/// The environment variables of the process, without those that are not valid UTF-8.
#[must_use]
pub fn process_env() -> Vec<(String, String)> {
    std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
        .collect()
}

/// What a program does after its flags were read.
#[derive(Debug)]
pub enum Startup<T> {
    /// Run with these settings and secrets.
    Run(Box<T>, Secrets),
    /// Print this text and end with exit code 0.
    Print(String),
}

/// Flags that the entry and the agent share.
#[derive(Debug, Default, Clone, clap::Args)]
pub struct CommonArgs {
    /// Settings file
    #[arg(long, value_name = "FILE", env = "CORIANDERCOVE_SETTINGS")]
    pub settings: Option<PathBuf>,
    /// Check the settings and exit
    #[arg(long)]
    pub check: bool,
    /// Print settings with all defaults and exit
    #[arg(long)]
    pub print_defaults: bool,
    /// Node name of the process, unique in the deployment
    #[arg(long)]
    pub node: Option<String>,
    /// Zone of the VM
    #[arg(long)]
    pub zone: Option<String>,
    /// Region of the zone
    #[arg(long)]
    pub region: Option<String>,
    /// Listen address of the operations endpoint (HTTP)
    #[arg(long, value_name = "IP:PORT")]
    pub operations: Option<String>,
    /// TCP and UDP listen address for traffic between processes
    #[arg(long, value_name = "IP:PORT")]
    pub peer: Option<String>,
    /// Address at which other processes reach the peer address, if it differs
    #[arg(long, value_name = "IP:PORT")]
    pub advertise: Option<String>,
    /// Peer addresses of other processes, separated by commas
    #[arg(long, value_name = "IP:PORT,..")]
    pub seeds: Option<String>,
    /// URLs of the store, separated by commas
    #[arg(long, value_name = "URL,..")]
    pub store: Option<String>,
    /// URL of the service that lists the VMs
    #[arg(long, value_name = "URL")]
    pub vm_list: Option<String>,
    /// File with the cluster key
    #[arg(long, value_name = "FILE")]
    pub cluster_key_file: Option<String>,
    /// File with the operator token
    #[arg(long, value_name = "FILE")]
    pub operator_token_file: Option<String>,
    /// Format of log lines: text or json
    #[arg(long)]
    pub log: Option<String>,
    /// Time for work in flight to finish after a stop was requested
    #[arg(long, value_name = "DURATION")]
    pub drain_deadline: Option<String>,
}

/// Routes callers' requests to model pipelines and plain services.
#[derive(Debug, Default, Clone, clap::Parser)]
#[command(name = "coriandercove-entry", version)]
pub struct EntryArgs {
    /// Flags shared with the agent.
    #[command(flatten)]
    pub common: CommonArgs,
    /// Listen address for callers
    #[arg(long, value_name = "IP:PORT")]
    pub callers: Option<String>,
}

/// Connects one target to the entries.
#[derive(Debug, Default, Clone, clap::Parser)]
#[command(name = "coriandercove-agent", version)]
pub struct AgentArgs {
    /// Flags shared with the entry.
    #[command(flatten)]
    pub common: CommonArgs,
    /// Id of the target that the agent manages
    #[arg(long, value_name = "ID")]
    pub target_id: Option<String>,
    /// What the target runs: engine or service
    #[arg(long, value_name = "KIND")]
    pub target_kind: Option<String>,
    /// URL of the engine or service
    #[arg(long, value_name = "URL")]
    pub target_url: Option<String>,
    /// Name of the plain service
    #[arg(long, value_name = "NAME")]
    pub target_service: Option<String>,
}

impl CommonArgs {
    fn loader(&self, extra: &[(&str, &Option<String>)]) -> Loader {
        let shared = [
            ("node", &self.node),
            ("zone", &self.zone),
            ("region", &self.region),
            ("operations", &self.operations),
            ("peer", &self.peer),
            ("advertise", &self.advertise),
            ("seeds", &self.seeds),
            ("store", &self.store),
            ("vm_list", &self.vm_list),
            ("cluster_key_file", &self.cluster_key_file),
            ("operator_token_file", &self.operator_token_file),
            ("log", &self.log),
            ("drain_deadline", &self.drain_deadline),
        ];
        let mut loader = Loader::new();
        if let Some(path) = &self.settings {
            loader = loader.file(path);
        }
        let all_flags = shared.iter().chain(extra);
        all_flags.fold(loader, |loader, (key, value)| match value {
            Some(value) => loader.flag(key, value),
            None => loader,
        })
    }

    fn finish<T>(&self, settings: T, secrets: Secrets) -> Startup<T> {
        if self.check {
            Startup::Print("The settings are valid.\n".to_owned())
        } else {
            Startup::Run(Box::new(settings), secrets)
        }
    }
}

impl EntryArgs {
    /// Loads the settings. `env` holds the environment variables, usually [`process_env`].
    ///
    /// # Errors
    /// Every problem, with its file and line, flag or environment variable.
    pub fn startup(
        &self,
        env: impl IntoIterator<Item = (String, String)>,
    ) -> Result<Startup<EntrySettings>, Problems> {
        if self.common.print_defaults {
            return Ok(Startup::Print(ENTRY_DEFAULTS.to_owned()));
        }
        let loader = self.common.loader(&[("callers", &self.callers)]);
        let (settings, secrets) = loader.env(env).entry()?;
        Ok(self.common.finish(settings, secrets))
    }
}

impl AgentArgs {
    /// Loads the settings. `env` holds the environment variables, usually [`process_env`].
    ///
    /// # Errors
    /// Every problem, with its file and line, flag or environment variable.
    pub fn startup(
        &self,
        env: impl IntoIterator<Item = (String, String)>,
    ) -> Result<Startup<AgentSettings>, Problems> {
        if self.common.print_defaults {
            return Ok(Startup::Print(AGENT_DEFAULTS.to_owned()));
        }
        let extra = [
            ("target_id", &self.target_id),
            ("target.kind", &self.target_kind),
            ("target.url", &self.target_url),
            ("target.service", &self.target_service),
        ];
        let (settings, secrets) = self.common.loader(&extra).env(env).agent()?;
        Ok(self.common.finish(settings, secrets))
    }
}
