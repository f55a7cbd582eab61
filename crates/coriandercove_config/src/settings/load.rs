//! Loading of settings from a file, environment variables and flags.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::LazyLock;

use serde::de::DeserializeOwned;
use serde_norway::Value;

use super::check::Findings;
use super::common::{SecretError, Secrets};
use super::{AGENT_DEFAULTS, AgentSettings, ENTRY_DEFAULTS, EntrySettings};
use crate::problem::{Problem, Problems};
use crate::yaml::Document;

/// Prefix of the names of all environment variables.
const ENV_PREFIX: &str = "CORIANDERCOVE_";
/// Variables (without prefix) that are no settings: the secrets, and the one that a command-line
/// flag reads.
const NON_SETTING_VARIABLES: [&str; 3] = ["CLUSTER_KEY", "OPERATOR_TOKEN", "SETTINGS"];

/// A setting that can be given by a flag or an environment variable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingKey {
    /// Path of the key in the settings file.
    pub key: &'static str,
    /// Whether the value is a list. Flags and variables separate its items with commas.
    pub list: bool,
}

const fn scalar(key: &'static str) -> SettingKey {
    SettingKey { key, list: false }
}

const fn list(key: &'static str) -> SettingKey {
    SettingKey { key, list: true }
}

/// Settings of the entry that can be given by flags and environment variables.
pub const ENTRY_KEYS: [SettingKey; 14] = [
    scalar("node"),
    scalar("zone"),
    scalar("region"),
    scalar("callers"),
    scalar("operations"),
    scalar("peer"),
    scalar("advertise"),
    list("seeds"),
    list("store"),
    scalar("vm_list"),
    scalar("cluster_key_file"),
    scalar("operator_token_file"),
    scalar("log"),
    scalar("drain_deadline"),
];

/// Settings of the agent that can be given by flags and environment variables.
pub const AGENT_KEYS: [SettingKey; 17] = [
    scalar("node"),
    scalar("zone"),
    scalar("region"),
    scalar("operations"),
    scalar("peer"),
    scalar("advertise"),
    scalar("target_id"),
    scalar("target.kind"),
    scalar("target.url"),
    scalar("target.service"),
    list("seeds"),
    list("store"),
    scalar("vm_list"),
    scalar("cluster_key_file"),
    scalar("operator_token_file"),
    scalar("log"),
    scalar("drain_deadline"),
];

impl SettingKey {
    /// The flag, such as `--target-url`.
    #[must_use]
    pub fn flag(&self) -> String {
        format!("--{}", self.key.replace(['.', '_'], "-"))
    }

    /// The environment variable, such as `CORIANDERCOVE_TARGET_URL`.
    #[must_use]
    pub fn variable(&self) -> String {
        format!("{ENV_PREFIX}{}", self.key.replace('.', "_").to_uppercase())
    }

    fn value(&self, text: &str) -> Value {
        if !self.list {
            return Value::String(text.to_owned());
        }
        let items = text.split(',').map(str::trim).filter(|t| !t.is_empty());
        Value::Sequence(items.map(|t| Value::String(t.to_owned())).collect())
    }
}

static ENTRY_TEMPLATE: LazyLock<Value> = LazyLock::new(|| template(ENTRY_DEFAULTS));
static AGENT_TEMPLATE: LazyLock<Value> = LazyLock::new(|| template(AGENT_DEFAULTS));

/// Parses a defaults file with its commented-out optional keys, such as `#vm_list: URL`, enabled.
///
/// Ordinary comments have a space after the `#`; commented-out keys do not.
pub(super) fn template(text: &str) -> Value {
    let lines: Vec<String> = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("# "))
        .map(|line| line.replacen('#', "", 1))
        .collect();
    // A test guarantees that both templates are valid.
    serde_norway::from_str(&lines.join("\n")).unwrap_or_default()
}

/// Loads and validates settings. Flags override environment variables, and both override the file.
///
/// It does not implement `Debug`, because the environment may hold secrets.
#[derive(Default, Clone)]
pub struct Loader {
    file: Option<PathBuf>,
    text: Option<(String, String)>,
    env: BTreeMap<String, String>,
    flags: Vec<(String, String)>,
}

impl Loader {
    /// Creates a loader without file, environment and flags.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the settings file to read.
    #[must_use]
    pub fn file(mut self, path: &Path) -> Self {
        self.file = Some(path.to_owned());
        self
    }

    /// Uses `text` in place of the file; errors report `name` as its file name.
    #[must_use]
    pub fn text(mut self, name: &str, text: &str) -> Self {
        self.text = Some((name.to_owned(), text.to_owned()));
        self
    }

    /// Adds environment variables. Those without the prefix `CORIANDERCOVE_` are ignored.
    #[must_use]
    pub fn env(mut self, vars: impl IntoIterator<Item = (String, String)>) -> Self {
        let own = vars
            .into_iter()
            .filter(|(name, _)| name.starts_with(ENV_PREFIX));
        self.env.extend(own);
        self
    }

    /// Adds the flag of the setting at `key`, with its value.
    #[must_use]
    pub fn flag(mut self, key: &str, value: &str) -> Self {
        self.flags.push((key.to_owned(), value.to_owned()));
        self
    }

    /// Loads the settings and secrets of an entry.
    ///
    /// # Errors
    /// Every problem, with its file and line, flag or environment variable.
    pub fn entry(self) -> Result<(EntrySettings, Secrets), Problems> {
        let (settings, document, problems) =
            self.load(&ENTRY_KEYS, &ENTRY_TEMPLATE, EntrySettings::findings)?;
        let (a, b) = (&settings.cluster_key_file, &settings.operator_token_file);
        let secrets = self.secrets(a.as_deref(), b.as_deref(), &document);
        finish(settings, secrets, problems)
    }

    /// Loads the settings and secrets of an agent.
    ///
    /// # Errors
    /// Every problem, with its file and line, flag or environment variable.
    pub fn agent(self) -> Result<(AgentSettings, Secrets), Problems> {
        let (settings, document, problems) =
            self.load(&AGENT_KEYS, &AGENT_TEMPLATE, AgentSettings::findings)?;
        let (a, b) = (&settings.cluster_key_file, &settings.operator_token_file);
        let secrets = self.secrets(a.as_deref(), b.as_deref(), &document);
        finish(settings, secrets, problems)
    }

    /// Loads the settings of an entry without its secrets, to check them on another machine.
    ///
    /// # Errors
    /// Every problem, with its file and line, flag or environment variable.
    pub fn entry_without_secrets(self) -> Result<EntrySettings, Problems> {
        let (settings, _, problems) =
            self.load(&ENTRY_KEYS, &ENTRY_TEMPLATE, EntrySettings::findings)?;
        problems.into_result(settings)
    }

    /// Loads the settings of an agent without its secrets, to check them on another machine.
    ///
    /// # Errors
    /// Every problem, with its file and line, flag or environment variable.
    pub fn agent_without_secrets(self) -> Result<AgentSettings, Problems> {
        let (settings, _, problems) =
            self.load(&AGENT_KEYS, &AGENT_TEMPLATE, AgentSettings::findings)?;
        problems.into_result(settings)
    }

    /// Decodes and validates the settings. They are usable only if there are no problems.
    fn load<T: DeserializeOwned>(
        &self,
        keys: &[SettingKey],
        template: &Value,
        check: impl Fn(&T) -> Findings,
    ) -> Result<(T, Document, Problems), Problems> {
        let document = self.document(keys)?;
        let mut decoded = document.decode::<T>(template);
        let mut problems = std::mem::take(&mut decoded.problems);
        problems.0.extend(self.unknown_variables());
        let Some(settings) = decoded.value.take() else {
            problems.0.sort();
            return Err(problems);
        };
        for f in check(&settings).0 {
            if !decoded.was_replaced(&f.key) {
                problems
                    .0
                    .push(document.problem(&f.key, f.problem, &f.allowed));
            }
        }
        Ok((settings, document, problems))
    }

    fn secrets(
        &self,
        cluster_key: Option<&Path>,
        operator_token: Option<&Path>,
        document: &Document,
    ) -> Result<Secrets, Problems> {
        let env = |name: &str| self.env.get(name).cloned();
        Secrets::read_with(cluster_key, operator_token, env).map_err(|errors| {
            let problem = |e: SecretError| document.problem(e.key, e.problem, &e.allowed);
            Problems(errors.into_iter().map(problem).collect())
        })
    }

    fn document(&self, keys: &[SettingKey]) -> Result<Document, Problems> {
        let mut document = match (&self.text, &self.file) {
            (Some((name, text)), _) => Document::parse(name, text)?,
            (None, Some(path)) => Document::parse(&path.display().to_string(), &read_file(path)?)?,
            (None, None) => Document::empty("settings"),
        };
        for key in keys {
            let variable = key.variable();
            if let Some(text) = self.env.get(&variable) {
                document.set(key.key, &variable, key.value(text));
            }
        }
        for (name, text) in &self.flags {
            let key = keys.iter().find(|k| k.key == name);
            let key = key.ok_or_else(|| unknown_flag(name, keys))?;
            document.set(key.key, &key.flag(), key.value(text));
        }
        Ok(document)
    }

    /// A problem for each unknown variable with the prefix: a misspelled variable would otherwise
    /// be ignored silently.
    fn unknown_variables(&self) -> Vec<Problem> {
        let mut known: Vec<String> = ENTRY_KEYS
            .iter()
            .chain(&AGENT_KEYS)
            .map(SettingKey::variable)
            .chain(
                NON_SETTING_VARIABLES
                    .iter()
                    .map(|v| format!("{ENV_PREFIX}{v}")),
            )
            .collect();
        known.sort();
        known.dedup();
        let unknown = self.env.keys().filter(|name| !known.contains(name));
        unknown
            .map(|name| Problem {
                file: name.clone(),
                line: 0,
                key: String::new(),
                problem: "unknown environment variable".to_owned(),
                allowed: known.join(", "),
            })
            .collect()
    }
}

fn unknown_flag(name: &str, keys: &[SettingKey]) -> Problems {
    let known: Vec<String> = keys.iter().map(SettingKey::flag).collect();
    Problems(vec![Problem {
        file: name.to_owned(),
        line: 0,
        key: String::new(),
        problem: "no flag sets this setting".to_owned(),
        allowed: known.join(", "),
    }])
}

fn finish<T>(
    settings: T,
    secrets: Result<Secrets, Problems>,
    mut problems: Problems,
) -> Result<(T, Secrets), Problems> {
    match secrets {
        Ok(secrets) => problems.into_result((settings, secrets)),
        Err(more) => {
            problems.0.extend(more.0);
            problems.0.sort();
            Err(problems)
        }
    }
}

fn read_file(path: &Path) -> Result<String, Problems> {
    std::fs::read_to_string(path).map_err(|e| {
        Problems(vec![Problem {
            file: path.display().to_string(),
            line: 0,
            key: String::new(),
            problem: format!("cannot read the file: {e}"),
            allowed: "a readable YAML file, as from `--print-defaults`".to_owned(),
        }])
    })
}
