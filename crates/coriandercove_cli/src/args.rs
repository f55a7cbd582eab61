//! Command-line arguments: global flags, subcommands and their flags.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

use crate::dev::DevArgs;
use crate::error::EXIT_CODES;
use crate::output::Format;

/// Configures and operates a coriandercove deployment.
#[derive(Debug, Parser)]
#[command(name = "coriandercove", version, after_long_help = EXIT_CODES, propagate_version = true)]
pub struct Cli {
    /// Output format
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    pub output: Format,
    /// The subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Create answers, configuration and settings for a new team
    #[command(after_help = "\
Examples:
  coriandercove init --dir site                         ask at the terminal
  coriandercove init --dir site --answers answers.yaml  take the answers from a file
  coriandercove init --dir site --example               start from an example to edit")]
    Init(InitArgs),
    /// Generate the configuration from answers
    #[command(after_help = "\
Examples:
  coriandercove generate --answers answers.yaml
  coriandercove generate --answers answers.yaml --out configuration.json")]
    Generate(GenerateArgs),
    /// Check answers, a configuration or settings, and report every error
    #[command(after_help = "\
Examples:
  coriandercove check --answers answers.yaml
  coriandercove check --entry settings/entry-1.yaml --agent settings/engine-001.yaml")]
    Check(CheckArgs),
    /// Compare two configurations field by field
    #[command(after_help = "\
Each side is a file with answers (.yaml), a file with a configuration (.json) or the operations
address of a process.

Examples:
  coriandercove diff old.yaml new.yaml
  coriandercove diff http://10.20.1.10:7401 answers.yaml --exit-code")]
    Diff(DiffArgs),
    /// Accept the configuration of the answers as the next version
    #[command(after_help = "\
Example:
  coriandercove accept --answers answers.yaml --expect 41")]
    Accept(AcceptArgs),
    /// List accepted versions
    #[command(after_help = "\
Example:
  coriandercove history --store http://10.20.0.5:7300 --limit 5")]
    History(HistoryArgs),
    /// Show the status and the configuration version of processes
    #[command(after_help = "\
Examples:
  coriandercove status --answers answers.yaml --token-file operator-token
  coriandercove status http://10.20.1.10:7401")]
    Status(StatusArgs),
    /// Drain a process: it accepts no new work and leaves the deployment
    #[command(after_help = "\
Examples:
  coriandercove drain http://10.20.1.20:7401 --wait
  coriandercove drain draft-low-1-001 --answers answers.yaml --deadline 60s")]
    Drain(DrainArgs),
    /// Explain how a request is or was routed
    #[command(after_help = "\
Examples:
  coriandercove explain http://10.20.1.10:7401 --request 0123456789abcdef0123456789abcdef
  coriandercove explain --logs entry-1.log --logs entry-2.log --request 9c41d07be2a35f68
  coriandercove explain entry-1 --answers answers.yaml --model drafting --account estimators
  coriandercove explain entry-1 --answers answers.yaml --service workshop --method POST --path /kiln-slots")]
    Explain(ExplainArgs),
    /// Write settings files for the processes of the answers
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Generate keys and secrets
    #[command(subcommand)]
    Key(KeyCommand),
    /// Run a whole deployment in one process, for trials
    Dev(DevArgs),
    /// Write completions for a shell
    #[command(after_help = "\
Example:
  coriandercove completions bash > ~/.local/share/bash-completion/completions/coriandercove")]
    Completions {
        /// Shell to write completions for
        shell: Shell,
    },
}

/// Flags of `init`.
#[derive(Debug, Args)]
pub struct InitArgs {
    /// Directory for answers.yaml, configuration.json and settings/
    #[arg(long, default_value = ".")]
    pub dir: PathBuf,
    /// File with answers, instead of questions
    #[arg(long, value_name = "FILE", conflicts_with = "example")]
    pub answers: Option<PathBuf>,
    /// Use the commented example as answers
    #[arg(long)]
    pub example: bool,
    /// Overwrite existing files
    #[arg(long)]
    pub force: bool,
}

/// Flags of `generate`.
#[derive(Debug, Args)]
pub struct GenerateArgs {
    /// File with answers
    #[arg(long, value_name = "FILE")]
    pub answers: PathBuf,
    /// File for the configuration; standard output if not given
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
}

/// Flags of `check`.
#[derive(Debug, Args)]
#[group(required = true, multiple = true)]
pub struct CheckArgs {
    /// File with answers
    #[arg(long, value_name = "FILE")]
    pub answers: Vec<PathBuf>,
    /// File with a configuration
    #[arg(long, value_name = "FILE")]
    pub config: Vec<PathBuf>,
    /// Settings file of an entry
    #[arg(long, value_name = "FILE")]
    pub entry: Vec<PathBuf>,
    /// Settings file of an agent
    #[arg(long, value_name = "FILE")]
    pub agent: Vec<PathBuf>,
}

/// Flags of `diff`.
#[derive(Debug, Args)]
pub struct DiffArgs {
    /// Old configuration
    pub old: String,
    /// New configuration
    pub new: String,
    /// End with code 5 if there are differences
    #[arg(long)]
    pub exit_code: bool,
    /// Operator token, for sides that are processes.
    #[command(flatten)]
    pub token: TokenArgs,
}

/// Flags that give the operator token.
#[derive(Debug, Args)]
pub struct TokenArgs {
    /// File with the operator token; otherwise CORIANDERCOVE_OPERATOR_TOKEN is used
    #[arg(long, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
}

/// Flags that give the store with the accepted versions.
#[derive(Debug, Args)]
pub struct StoreArgs {
    /// URLs of the store, separated by commas; those of the answers if not given
    #[arg(
        long,
        value_name = "URL,..",
        value_delimiter = ',',
        env = "CORIANDERCOVE_STORE"
    )]
    pub store: Vec<String>,
}

/// Flags of `accept`.
#[derive(Debug, Args)]
pub struct AcceptArgs {
    /// File with answers
    #[arg(long, value_name = "FILE")]
    pub answers: PathBuf,
    /// Version that the change is based on; 0 for the first
    #[arg(long, value_name = "VERSION")]
    pub expect: u64,
    /// Name of the operator, as shown by `history`
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: String,
    /// Show the change without accepting it
    #[arg(long)]
    pub dry_run: bool,
    /// Store with the accepted versions.
    #[command(flatten)]
    pub store: StoreArgs,
}

/// Flags of `history`.
#[derive(Debug, Args)]
pub struct HistoryArgs {
    /// Number of versions to list, latest first
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=1000))]
    pub limit: u32,
    /// File with answers that name the store
    #[arg(long, value_name = "FILE")]
    pub answers: Option<PathBuf>,
    /// Store with the accepted versions.
    #[command(flatten)]
    pub store: StoreArgs,
}

/// Flags of `status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    /// Operations addresses, or names with --answers; all processes of the answers if not given
    pub nodes: Vec<String>,
    /// File with answers that name the processes
    #[arg(long, value_name = "FILE")]
    pub answers: Option<PathBuf>,
    /// Operator token for the processes.
    #[command(flatten)]
    pub token: TokenArgs,
}

/// Flags of `drain`.
#[derive(Debug, Args)]
pub struct DrainArgs {
    /// Operations address, or a name with --answers
    pub node: String,
    /// File with answers that name the processes
    #[arg(long, value_name = "FILE")]
    pub answers: Option<PathBuf>,
    /// Time for work in flight to finish, such as 60s; that of the settings if not given
    #[arg(long, value_name = "DURATION", value_parser = coriandercove_config::duration::parse)]
    pub deadline: Option<std::time::Duration>,
    /// Wait until no work is in flight
    #[arg(long)]
    pub wait: bool,
    /// Operator token for the processes.
    #[command(flatten)]
    pub token: TokenArgs,
}

/// Flags of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Operations address of an entry, or a name with --answers
    #[arg(required_unless_present = "logs")]
    pub node: Option<String>,
    /// File with answers that name the processes
    #[arg(long, value_name = "FILE")]
    pub answers: Option<PathBuf>,
    /// Log file of a process to search for the request; may be repeated
    #[arg(
        long,
        value_name = "FILE",
        requires = "request",
        conflicts_with = "node"
    )]
    pub logs: Vec<PathBuf>,
    /// Id of an earlier request
    #[arg(long, value_name = "ID")]
    pub request: Option<String>,
    /// Client account of the request
    #[arg(long)]
    pub account: Option<String>,
    /// Model of the request
    #[arg(long)]
    pub model: Option<String>,
    /// Length of the prompt, in tokens
    #[arg(long, value_name = "TOKENS")]
    pub prompt_tokens: Option<u32>,
    /// Plain service of the request
    #[arg(long)]
    pub service: Option<String>,
    /// HTTP method of the call to the service
    #[arg(long)]
    pub method: Option<String>,
    /// Path of the call to the service
    #[arg(long)]
    pub path: Option<String>,
    /// Target whose state to explain
    #[arg(long, value_name = "ID")]
    pub target: Option<String>,
    /// Operator token for the processes.
    #[command(flatten)]
    pub token: TokenArgs,
}

/// The subcommands of `settings`.
#[derive(Debug, Subcommand)]
pub enum SettingsCommand {
    /// Write the settings of entries
    #[command(after_help = "\
Example:
  coriandercove settings entry --answers answers.yaml --out settings")]
    Entry(SettingsArgs),
    /// Write the settings of agents
    #[command(after_help = "\
Example:
  coriandercove settings agent --answers answers.yaml --node engine-001")]
    Agent(SettingsArgs),
}

/// Flags of `settings entry` and `settings agent`.
#[derive(Debug, Args)]
pub struct SettingsArgs {
    /// File with answers
    #[arg(long, value_name = "FILE")]
    pub answers: PathBuf,
    /// Only this process
    #[arg(long, value_name = "NAME")]
    pub node: Option<String>,
    /// Directory for one file for each process; standard output if not given
    #[arg(long, value_name = "DIR")]
    pub out: Option<PathBuf>,
    /// Overwrite existing files
    #[arg(long)]
    pub force: bool,
}

/// The subcommands of `key`.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Generate a key for a client account; only its hash goes into the answers
    #[command(after_help = "\
Example:
  coriandercove key new --account estimators")]
    New {
        /// Client account that gets the key
        #[arg(long)]
        account: String,
    },
    /// Generate a random secret, for the cluster key or the operator token
    #[command(after_help = "\
Example:
  coriandercove key secret > cluster-key")]
    Secret,
}
