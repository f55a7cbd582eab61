//! Reading of settings from a file, the environment and flags.

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

/// Start of the names of all environment variables.
const ENV_PREFIX: &str = "CORIANDERCOVE_";
/// Variables that are no settings: secrets, and those of the command line.
const OTHER_VARIABLES: [&str; 3] = ["CLUSTER_KEY", "OPERATOR_TOKEN", "SETTINGS"];

/// A setting that a flag or an environment variable may give.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingKey {
    /// Path of the key in the file.
    pub key: &'static str,
    /// Whether the value is a list, separated by commas outside the file.
    pub list: bool,
}

const fn one(key: &'static str) -> SettingKey {
    SettingKey { key, list: false }
}

const fn list(key: &'static str) -> SettingKey {
    SettingKey { key, list: true }
}

/// Settings of the entry that flags and variables may give.
pub const ENTRY_KEYS: [SettingKey; 14] = [
    one("node"),
    one("zone"),
    one("region"),
    one("callers"),
    one("operations"),
    one("peer"),
    one("advertise"),
    list("seeds"),
    list("store"),
    one("vm_list"),
    one("cluster_key_file"),
    one("operator_token_file"),
    one("log"),
    one("drain_deadline"),
];

/// Settings of the agent that flags and variables may give.
pub const AGENT_KEYS: [SettingKey; 17] = [
    one("node"),
    one("zone"),
    one("region"),
    one("operations"),
    one("peer"),
    one("advertise"),
    one("target_id"),
    one("target.kind"),
    one("target.url"),
    one("target.service"),
    list("seeds"),
    list("store"),
    one("vm_list"),
    one("cluster_key_file"),
    one("operator_token_file"),
    one("log"),
    one("drain_deadline"),
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

/// The defaults with the optional keys that they show as comments, such as `#vm_list: URL`.
///
/// Other comments have a space after their sign, so that the two are told apart.
pub(super) fn template(text: &str) -> Value {
    let lines: Vec<String> = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("# "))
        .map(|line| line.replacen('#', "", 1))
        .collect();
    // A test guarantees that both templates are valid.
    serde_norway::from_str(&lines.join("\n")).unwrap_or_default()
}

/// Reads settings. Flags win over environment variables, and both win over the file.
///
/// It has no `Debug`, because the environment may hold secrets.
#[derive(Default, Clone)]
pub struct Loader {
    file: Option<PathBuf>,
    text: Option<(String, String)>,
    env: BTreeMap<String, String>,
    flags: Vec<(String, String)>,
}

impl Loader {
    /// A loader without file, environment and flags.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads this file.
    #[must_use]
    pub fn file(mut self, path: &Path) -> Self {
        self.file = Some(path.to_owned());
        self
    }

    /// Reads `text` as if it were a file called `name`.
    #[must_use]
    pub fn text(mut self, name: &str, text: &str) -> Self {
        self.text = Some((name.to_owned(), text.to_owned()));
        self
    }

    /// Uses these environment variables; those without the prefix `CORIANDERCOVE_` are ignored.
    #[must_use]
    pub fn env(mut self, vars: impl IntoIterator<Item = (String, String)>) -> Self {
        let own = vars
            .into_iter()
            .filter(|(name, _)| name.starts_with(ENV_PREFIX));
        self.env.extend(own);
        self
    }

    /// Uses a flag for the setting at `key`.
    #[must_use]
    pub fn flag(mut self, key: &str, value: &str) -> Self {
        self.flags.push((key.to_owned(), value.to_owned()));
        self
    }

    /// Settings and secrets of an entry.
    ///
    /// # Errors
    /// Every problem, with file and line, flag or variable.
    pub fn entry(self) -> Result<(EntrySettings, Secrets), Problems> {
        let (settings, document, problems) =
            self.load(&ENTRY_KEYS, &ENTRY_TEMPLATE, EntrySettings::findings)?;
        let (a, b) = (&settings.cluster_key_file, &settings.operator_token_file);
        let secrets = self.secrets(a.as_deref(), b.as_deref(), &document);
        finish(settings, secrets, problems)
    }

    /// Settings and secrets of an agent.
    ///
    /// # Errors
    /// Every problem, with file and line, flag or variable.
    pub fn agent(self) -> Result<(AgentSettings, Secrets), Problems> {
        let (settings, document, problems) =
            self.load(&AGENT_KEYS, &AGENT_TEMPLATE, AgentSettings::findings)?;
        let (a, b) = (&settings.cluster_key_file, &settings.operator_token_file);
        let secrets = self.secrets(a.as_deref(), b.as_deref(), &document);
        finish(settings, secrets, problems)
    }

    /// Settings of an entry, to be checked where its secrets are not at hand.
    ///
    /// # Errors
    /// Every problem, with file and line, flag or variable.
    pub fn entry_without_secrets(self) -> Result<EntrySettings, Problems> {
        let (settings, _, problems) =
            self.load(&ENTRY_KEYS, &ENTRY_TEMPLATE, EntrySettings::findings)?;
        problems.or(settings)
    }

    /// Settings of an agent, to be checked where its secrets are not at hand.
    ///
    /// # Errors
    /// Every problem, with file and line, flag or variable.
    pub fn agent_without_secrets(self) -> Result<AgentSettings, Problems> {
        let (settings, _, problems) =
            self.load(&AGENT_KEYS, &AGENT_TEMPLATE, AgentSettings::findings)?;
        problems.or(settings)
    }

    /// Decodes and checks. The settings are usable only if there are no problems.
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
            (None, Some(path)) => Document::parse(&path.display().to_string(), &read(path)?)?,
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

    /// A misspelt variable would otherwise have no effect without a word.
    fn unknown_variables(&self) -> Vec<Problem> {
        let mut known: Vec<String> = ENTRY_KEYS
            .iter()
            .chain(&AGENT_KEYS)
            .map(SettingKey::variable)
            .chain(OTHER_VARIABLES.iter().map(|v| format!("{ENV_PREFIX}{v}")))
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
        problem: "no flag gives this setting".to_owned(),
        allowed: known.join(", "),
    }])
}

fn finish<T>(
    settings: T,
    secrets: Result<Secrets, Problems>,
    mut problems: Problems,
) -> Result<(T, Secrets), Problems> {
    match secrets {
        Ok(secrets) => problems.or((settings, secrets)),
        Err(more) => {
            problems.0.extend(more.0);
            problems.0.sort();
            Err(problems)
        }
    }
}

fn read(path: &Path) -> Result<String, Problems> {
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
