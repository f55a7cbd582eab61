//! Invalid settings, variables and flags: each error has a location and says what is allowed.

mod common;

use common::{Case, assert_problem, change};
use coriandercove_config::settings::{AGENT_DEFAULTS, ENTRY_DEFAULTS, Loader};

const ENTRY: [Case; 14] = [
    ("node: entry-1", "nodes: entry-1", "node", "missing key"),
    ("node: entry-1", "nodes: entry-1", "nodes", "unknown key"),
    ("node: entry-1", "node: Entry 1", "node", "not a valid name"),
    (
        "callers: 127.0.0.1:8080",
        "callers: 8080",
        "callers",
        "invalid type",
    ),
    (
        "callers: 127.0.0.1:8080",
        "callers: 127.0.0.1:0",
        "callers",
        "no port",
    ),
    (
        "operations: 127.0.0.1:7401",
        "operations: 127.0.0.1:8080",
        "operations",
        "also used by `callers`",
    ),
    (
        "peer: 127.0.0.1:7400",
        "peer: 0.0.0.0:7400",
        "peer",
        "cannot reach",
    ),
    (
        "#seeds: [\"10.0.0.6:7400\"]",
        "seeds: [abc]",
        "seeds[0]",
        "invalid socket address",
    ),
    (
        "#seeds: [\"10.0.0.6:7400\"]",
        "seeds: [\"0.0.0.0:1\"]",
        "seeds[0]",
        "cannot be reached",
    ),
    (
        "store: [",
        "store: [\"https://x\", ",
        "store[0]",
        "does not start with http://",
    ),
    ("log: text", "log: xml", "log", "unknown variant"),
    (
        "drain_deadline: 30s",
        "drain_deadline: 2d",
        "drain_deadline",
        "out of range",
    ),
    (
        "  streams: 16384",
        "  streams: 0",
        "limits.streams",
        "out of range",
    ),
    (
        "  streams: 16384",
        "  stream: 16384",
        "limits.stream",
        "unknown key",
    ),
];

const AGENT: [Case; 7] = [
    (
        "seeds: [\"127.0.0.1:7400\"]",
        "seeds: []",
        "seeds",
        "nothing is given",
    ),
    (
        "  kind: engine",
        "  kind: service",
        "target.service",
        "missing key",
    ),
    (
        "  kind: engine",
        "  kind: model",
        "target.kind",
        "unknown variant",
    ),
    (
        "  url: http://127.0.0.1:7502",
        "  url: 127.0.0.1:7502",
        "target.url",
        "http://",
    ),
    (
        "  #service: orders",
        "  service: orders",
        "target.service",
        "an engine has no",
    ),
    (
        "  forward_calls: 64",
        "  forward_calls: 1025",
        "limits.forward_calls",
        "out of range",
    ),
    (
        "  entry_grace: 5s",
        "  entry_grace: 5 years",
        "limits.entry_grace",
        "not a duration",
    ),
];

fn secrets() -> Vec<(String, String)> {
    ["CLUSTER_KEY", "OPERATOR_TOKEN"]
        .map(|n| (format!("CORIANDERCOVE_{n}"), "0123456789abcdef".to_owned()))
        .to_vec()
}

/// Guards against invalid settings that pass, and errors without a location or allowed values.
#[test]
fn wrong_settings() {
    for (from, to, key, expected) in ENTRY {
        let (text, _) = change(ENTRY_DEFAULTS, from, to);
        let loader = Loader::new().env(secrets()).text("entry.yaml", &text);
        let problems = loader.entry().expect_err(to);
        assert!(
            assert_problem(&problems, to, key, expected) > 0,
            "{to}: no line"
        );
    }
    for (from, to, key, expected) in AGENT {
        let (text, _) = change(AGENT_DEFAULTS, from, to);
        let loader = Loader::new().env(secrets()).text("agent.yaml", &text);
        let problems = loader.agent().expect_err(to);
        assert!(
            assert_problem(&problems, to, key, expected) > 0,
            "{to}: no line"
        );
    }
}

/// Guards against errors in flags and variables that are reported as errors in the file.
#[test]
fn wrong_flags_and_variables() {
    let cases = [
        (
            "",
            "CORIANDERCOVE_PEER",
            "nowhere",
            "CORIANDERCOVE_PEER",
            "peer",
        ),
        ("", "CORIANDERCOVE_ZONES", "a", "CORIANDERCOVE_ZONES", ""),
        (
            "",
            "CORIANDERCOVE_CLUSTER_KEY",
            "short",
            "entry.yaml",
            "cluster_key_file",
        ),
        (
            "cluster_key_file",
            "",
            "/nonexistent/key",
            "--cluster-key-file",
            "cluster_key_file",
        ),
        ("callers", "", "127.0.0.1:99999", "--callers", "callers"),
        ("zone", "", "Zone 1", "--zone", "zone"),
        ("seeds", "", "127.0.0.1:1,x", "--seeds", "seeds[1]"),
        ("store", "", "", "--store", "store"),
        ("log", "", "yaml", "--log", "log"),
        (
            "drain_deadline",
            "",
            "30",
            "--drain-deadline",
            "drain_deadline",
        ),
    ];
    for (flag, variable, value, file, key) in cases {
        let mut env = secrets();
        env.push((variable.to_owned(), value.to_owned()));
        let mut loader = Loader::new().text("entry.yaml", ENTRY_DEFAULTS).env(env);
        if !flag.is_empty() {
            loader = loader.flag(flag, value);
        }
        let what = format!("{flag}{variable}={value}");
        let problems = loader.entry().expect_err(&what);
        assert_eq!(problems.0.len(), 1, "{what}:\n{problems}");
        assert_problem(&problems, &what, key, "");
        assert_eq!(problems.0[0].file, file, "{what}");
    }
}
