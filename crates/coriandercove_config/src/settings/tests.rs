//! Tests of settings.

use super::{
    AGENT_DEFAULTS, AGENT_KEYS, AgentArgs, AgentLimits, DRAIN_DEADLINE, ENTRY_DEFAULTS, ENTRY_KEYS,
    EntryArgs, EntryLimits, Loader, SettingKey, Startup,
};

fn secrets() -> Vec<(String, String)> {
    ["CLUSTER_KEY", "OPERATOR_TOKEN"]
        .map(|n| (format!("CORIANDERCOVE_{n}"), "0123456789abcdef".to_owned()))
        .to_vec()
}

/// Guards against printed defaults that do not load or that differ from those in the code.
#[test]
fn printed_defaults_are_the_defaults() {
    let loader = Loader::new()
        .env(secrets())
        .text("entry.yaml", ENTRY_DEFAULTS);
    let (entry, _) = loader.entry().unwrap_or_else(|p| panic!("{p}"));
    assert_eq!(entry.limits, EntryLimits::default());
    assert_eq!(entry.drain_deadline, DRAIN_DEADLINE);
    let loader = Loader::new()
        .env(secrets())
        .text("agent.yaml", AGENT_DEFAULTS);
    let (agent, _) = loader.agent().unwrap_or_else(|p| panic!("{p}"));
    assert_eq!(agent.limits, AgentLimits::default());
    assert_eq!(agent.drain_deadline, DRAIN_DEADLINE);
}

/// Guards against a setting that the defaults file lacks, which also supplies the replacements and
/// examples for invalid values.
#[test]
fn templates_have_every_key() {
    let has = |template: &serde_norway::Value, key: &SettingKey| {
        let found = key.key.split('.').try_fold(template, |v, k| v.get(k));
        assert!(found.is_some_and(|v| !v.is_null()), "{}", key.key);
    };
    ENTRY_KEYS
        .iter()
        .for_each(|k| has(&super::load::template(ENTRY_DEFAULTS), k));
    AGENT_KEYS
        .iter()
        .for_each(|k| has(&super::load::template(AGENT_DEFAULTS), k));
}

/// Guards against a wrong precedence of flags, environment variables and the file.
#[test]
fn flags_override_variables_and_the_file() {
    let mut env = secrets();
    env.push(("CORIANDERCOVE_ZONE".to_owned(), "from-env".to_owned()));
    env.push(("CORIANDERCOVE_REGION".to_owned(), "from-env".to_owned()));
    env.push((
        "CORIANDERCOVE_TARGET_ID".to_owned(),
        "ignored-by-entries".to_owned(),
    ));
    env.push(("PATH".to_owned(), "/bin".to_owned()));
    let (entry, _) = Loader::new()
        .text("entry.yaml", ENTRY_DEFAULTS)
        .env(env)
        .flag("zone", "from-flag")
        .flag("seeds", "10.0.0.1:1, 10.0.0.2:2")
        .entry()
        .unwrap_or_else(|p| panic!("{p}"));
    assert_eq!(
        (&*entry.zone, entry.region.as_str()),
        ("from-flag", "from-env")
    );
    assert_eq!((&*entry.node, entry.seeds.len()), ("entry-1", 2));
}

/// Guards against a process that requires a file although flags and variables give all settings.
#[test]
fn settings_without_a_file() {
    use clap::Parser as _;
    let args = AgentArgs::parse_from([
        "agent",
        "--node=a",
        "--zone=z",
        "--region=r",
        "--operations=127.0.0.1:2",
        "--peer=127.0.0.1:1",
        "--target-id=t",
        "--target-kind=service",
        "--target-url=http://127.0.0.1:3",
        "--target-service=orders",
        "--seeds=127.0.0.1:9",
        "--store=http://127.0.0.1:4,http://127.0.0.1:5",
        "--drain-deadline=5s",
        "--log=json",
    ]);
    match args.startup(secrets()) {
        Ok(Startup::Run(agent, _)) => {
            assert_eq!(agent.target.service.as_deref(), Some("orders"));
            assert_eq!(agent.store.len(), 2);
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against a setting key without a clap flag.
#[test]
fn every_setting_key_has_a_flag() {
    use clap::CommandFactory as _;
    let check = |command: &clap::Command, keys: &[SettingKey]| {
        for key in keys {
            let flag = key.flag();
            let known = command.get_arguments().filter_map(|a| a.get_long());
            assert!(
                known.into_iter().any(|l| format!("--{l}") == flag),
                "{flag}"
            );
        }
    };
    check(&EntryArgs::command(), &ENTRY_KEYS);
    check(&AgentArgs::command(), &AGENT_KEYS);
}

/// Guards against secrets in the debug output of settings and errors.
#[test]
fn secrets_are_not_shown() {
    let loader = Loader::new()
        .env(secrets())
        .text("entry.yaml", ENTRY_DEFAULTS);
    let (settings, secrets) = loader.entry().unwrap();
    let shown = format!("{settings:?}{secrets:?}");
    assert!(!shown.contains("0123456789abcdef"), "{shown}");
}

/// Guards against a secret file that is ignored.
#[test]
fn secret_files_override_variables() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("key");
    std::fs::write(&path, "the-key-in-the-file\n").unwrap();
    let (_, secrets) = Loader::new()
        .text("entry.yaml", ENTRY_DEFAULTS)
        .env(secrets())
        .flag("cluster_key_file", path.to_str().unwrap())
        .entry()
        .unwrap();
    assert_eq!(secrets.cluster_key.expose(), "the-key-in-the-file");
    assert!(secrets.cluster_key.matches("the-key-in-the-file"));
    assert!(!secrets.cluster_key.matches("another"));
}

/// Guards against flags that the loader ignores silently because the program has no such setting.
#[test]
fn flags_of_the_other_program_are_rejected() {
    let loader = Loader::new()
        .env(secrets())
        .text("entry.yaml", ENTRY_DEFAULTS);
    let problems = loader
        .flag("target.url", "http://127.0.0.1:1")
        .entry()
        .unwrap_err();
    assert!(problems.to_string().contains("--callers"), "{problems}");
}
