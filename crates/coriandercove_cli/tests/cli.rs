//! Runs the program as a user does and checks its output and exit codes.

#![expect(
    clippy::unwrap_used,
    reason = "helper functions of tests fail by panicking"
)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_coriandercove"));
    for (name, _) in std::env::vars_os() {
        if name.to_string_lossy().starts_with("CORIANDERCOVE_") {
            command.env_remove(name);
        }
    }
    command.stdin(Stdio::null());
    command
}

fn run(args: &[&str]) -> Output {
    program().args(args).output().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn ok(args: &[&str]) -> String {
    let output = run(args);
    assert!(output.status.success(), "{args:?}: {}", stderr(&output));
    stdout(&output)
}

fn example(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(name).join("answers.yaml").display().to_string()
}

fn file(dir: &tempfile::TempDir, name: &str, text: &str) -> String {
    let path: PathBuf = dir.path().join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

/// Guards against a new user who cannot get from the example to valid settings.
#[test]
fn init_writes_a_valid_site() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("site").display().to_string();
    let written = ok(&["init", "--dir", &path, "--example"]);
    assert_eq!(written.lines().count(), 6, "{written}");
    let (answers, config) = (
        format!("{path}/answers.yaml"),
        format!("{path}/configuration.json"),
    );
    let entry = format!("{path}/settings/entry-1.yaml");
    let agent = format!("{path}/settings/engine-002.yaml");
    let all = [
        "check",
        "--answers",
        &answers,
        "--config",
        &config,
        "--entry",
        &entry,
        "--agent",
        &agent,
    ];
    assert_eq!(ok(&all), "4 valid\n");
    let again = run(&["init", "--dir", &path, "--example"]);
    assert_eq!(again.status.code(), Some(1));
    assert!(stderr(&again).contains("--force"));
    ok(&[
        "init",
        "--dir",
        &path,
        "--answers",
        &example("hyotan"),
        "--force",
    ]);
}

/// Guards against a command that waits for input although standard input is not a terminal.
#[test]
fn init_does_not_ask_without_a_terminal() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().display().to_string();
    let output = run(&["init", "--dir", &path]);
    assert_eq!(output.status.code(), Some(6));
    assert!(stderr(&output).contains("--answers FILE"));
}

/// Guards against generated output that differs between runs, and against a `diff` that reports
/// differences between equal configurations or misses a changed field.
#[test]
fn generate_and_diff() {
    let dir = tempfile::tempdir().unwrap();
    let answers = example("brandstatter");
    let first = ok(&["generate", "--answers", &answers]);
    assert_eq!(first, ok(&["generate", "--answers", &answers]));
    let config = file(&dir, "old.json", &first);
    assert_eq!(ok(&["diff", &config, &answers, "--exit-code"]), "");
    let text = std::fs::read_to_string(&answers).unwrap();
    let changed = file(
        &dir,
        "new.yaml",
        &text.replacen("weight: 40", "weight: 30", 1),
    );
    let output = run(&["diff", &answers, &changed, "--exit-code"]);
    assert_eq!(output.status.code(), Some(5));
    assert_eq!(stdout(&output), "~ account/estimators weight: 40 -> 30\n");
    let json = ok(&["diff", &answers, &changed, "--output", "json"]);
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json[0]["field"], "weight");
}

/// Guards against generated settings that do not pass the validation of the processes.
#[test]
fn settings_of_every_example_are_valid() {
    for name in ["brandstatter", "hyotan"] {
        let dir = tempfile::tempdir().unwrap();
        let out = dir.path().display().to_string();
        let answers = example(name);
        let mut args = vec!["check".to_owned()];
        for kind in ["entry", "agent"] {
            for path in ok(&["settings", kind, "--answers", &answers, "--out", &out]).lines() {
                args.extend([format!("--{kind}"), path.to_owned()]);
            }
        }
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        assert_eq!(ok(&args), "36 valid\n");
        let one = ok(&[
            "settings",
            "entry",
            "--answers",
            &answers,
            "--node",
            "entry-2",
        ]);
        assert!(one.contains("node: entry-2"), "{one}");
    }
}

/// Guards against a check of settings that tries to read secrets, which exist only on the VM of the
/// process.
#[test]
fn settings_are_checked_without_secrets() {
    let dir = tempfile::tempdir().unwrap();
    let answers = example("hyotan");
    let mut text = ok(&[
        "settings",
        "entry",
        "--answers",
        &answers,
        "--node",
        "entry-1",
    ]);
    text.push_str("cluster_key_file: /nonexistent/on/this/machine\n");
    ok(&["check", "--entry", &file(&dir, "e.yaml", &text)]);
}

/// Guards against invalid commands that end with a wrong exit code, or whose error names neither
/// the place nor the remedy.
#[test]
fn wrong_commands_name_place_and_remedy() {
    let dir = tempfile::tempdir().unwrap();
    let answers = example("hyotan");
    let text = std::fs::read_to_string(&answers).unwrap();
    let wrong = file(
        &dir,
        "wrong.yaml",
        &text.replacen("weight: 40", "weight: forty", 1),
    );
    let config = file(&dir, "c.json", "{\n\"zone/z\": 1,\n");
    let other = file(
        &dir,
        "d.json",
        "{\"zone/z\": {\"name\": \"z\", \"site\": \"s\"}}",
    );
    let token = file(&dir, "token", "0123456789abcdef");
    let short = file(&dir, "short", "abc");
    let node = ["--token-file", token.as_str(), "http://127.0.0.1:1"];
    let cases: Vec<(i32, Vec<&str>, &str)> = vec![
        (2, vec![], "Usage"),
        (2, vec!["generat"], "generate"),
        (2, vec!["generate"], "--answers <FILE>"),
        (2, vec!["generate", "--anwsers", "x"], "--answers"),
        (2, vec!["check"], "--answers <FILE>"),
        (
            2,
            vec!["accept", "--answers", &answers],
            "--expect <VERSION>",
        ),
        (
            2,
            vec!["accept", "--answers", &answers, "--expect", "one"],
            "invalid digit",
        ),
        (
            2,
            vec!["--output", "xml", "check", "--answers", &answers],
            "text, json",
        ),
        (2, vec!["history"], "--store URL"),
        (
            2,
            vec!["history", "--store", "http://127.0.0.1:1", "--limit", "0"],
            "1..=1000",
        ),
        (2, vec!["status"], "--answers FILE"),
        (2, vec!["status", "127.0.0.1:1"], "--token-file"),
        (
            2,
            vec!["status", "127.0.0.1:1", "--token-file", &short],
            "at least 16",
        ),
        (
            2,
            vec!["status", "entry-1", "--token-file", &token],
            "http://IP:PORT",
        ),
        (
            2,
            vec![
                "status",
                "entry-9",
                "--answers",
                &answers,
                "--token-file",
                &token,
            ],
            "entry-1",
        ),
        (
            2,
            vec![
                "drain",
                "127.0.0.1:1",
                "--deadline",
                "30",
                "--token-file",
                &token,
            ],
            "such as 250ms",
        ),
        (
            2,
            vec!["explain", "127.0.0.1:1", "--token-file", &token],
            "exactly one of",
        ),
        (
            2,
            vec!["explain", "127.0.0.1:1", "--model", "m", "--path", "/"],
            "only with `service`",
        ),
        (
            2,
            vec!["settings", "entry", "--answers", &answers, "--node", "x"],
            "--node",
        ),
        (2, vec!["key", "new"], "--account <ACCOUNT>"),
        (
            2,
            vec!["key", "new", "--account", "Counter Customers"],
            "a-z, 0-9",
        ),
        (2, vec!["completions", "cmd"], "bash"),
        (
            1,
            vec!["generate", "--answers", "/nonexistent.yaml"],
            "/nonexistent.yaml: cannot read",
        ),
        (1, [&["status"], &node[..]].concat(), ""),
        (
            1,
            [&["drain"], &node[..]].concat(),
            "cannot reach http://127.0.0.1:1/drain",
        ),
        (3, vec!["check", "--answers", &wrong], "accounts[0].weight"),
        (
            3,
            vec!["generate", "--answers", &wrong],
            "(allowed: a whole number from 0 to 4294967295)",
        ),
        (3, vec!["check", "--config", &config], "c.json:"),
        (3, vec!["check", "--config", &other], "zone/z.site"),
        (3, vec!["check", "--entry", &wrong], "unknown key `trade`"),
    ];
    for (code, args, expected) in cases {
        let output = run(&args);
        let text = stderr(&output);
        assert_eq!(output.status.code(), Some(code), "{args:?}: {text}");
        assert!(
            text.contains(expected),
            "{args:?}: no {expected:?} in {text}"
        );
    }
}

/// Guards against errors that are not JSON although the JSON format was chosen.
#[test]
fn json_errors_are_json() {
    let dir = tempfile::tempdir().unwrap();
    let text = std::fs::read_to_string(example("hyotan")).unwrap();
    let wrong = file(
        &dir,
        "wrong.yaml",
        &text.replacen("weight: 40", "weight: 0", 1),
    );
    let output = run(&["check", "--answers", &wrong, "--output", "json"]);
    let error: serde_json::Value = serde_json::from_str(&stderr(&output)).unwrap();
    assert_eq!(error["problems"][0]["key"], "accounts[0].weight");
    assert_eq!(error["problems"][0]["line"], 41);
    let output = run(&["check", "--answers", "/nonexistent", "--output", "json"]);
    let error: serde_json::Value = serde_json::from_str(&stderr(&output)).unwrap();
    assert!(error["error"].as_str().unwrap().contains("/nonexistent"));
}

/// Guards against a new key whose printed hash does not match it.
#[test]
fn a_new_key_opens_its_account() {
    let json = ok(&["key", "new", "--account", "counter", "--output", "json"]);
    let new: serde_json::Value = serde_json::from_str(&json).unwrap();
    let text = |name: &str| new[name].as_str().unwrap().to_owned();
    let dir = tempfile::tempdir().unwrap();
    let answers = std::fs::read_to_string(example("hyotan")).unwrap();
    let keys = format!(
        "keys:\n      - id: \"{}\"\n        hash: \"{}\"",
        text("id"),
        text("hash")
    );
    let path = file(&dir, "a.yaml", &answers.replacen("keys:", &keys, 1));
    ok(&["check", "--answers", &path]);
    let text_of_file = std::fs::read_to_string(&path).unwrap();
    let checked = coriandercove_config::answers::parse("a", &text_of_file).unwrap();
    let index = coriandercove_config::keys::KeyIndex::new(&checked.config.accounts);
    let account = &checked.config.accounts[index.find(&text("key")).unwrap()];
    assert_eq!(&*account.name, "counter");
    assert_ne!(ok(&["key", "secret"]), ok(&["key", "secret"]));
}

/// Guards against subcommands without help or examples, and shells without completions.
#[test]
fn help_and_completions() {
    let help = ok(&["--help"]);
    assert!(help.contains("Exit codes:"), "{help}");
    let commands = [
        "init", "generate", "check", "diff", "accept", "history", "status", "drain", "explain",
    ];
    for command in commands {
        let help = ok(&[command, "--help"]);
        assert!(help.contains("Example"), "{command}: {help}");
    }
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        assert!(ok(&["completions", shell]).contains("explain"), "{shell}");
    }
}
