//! Wrong answers, settings, variables and flags: each error names its place and a remedy.

use coriandercove_config::Problems;
use coriandercove_config::answers::{TEMPLATE, parse};
use coriandercove_config::settings::{AGENT_DEFAULTS, ENTRY_DEFAULTS, Loader};

/// Replaces `from` by `to` once and returns the changed text and the line of the change.
fn change(text: &str, from: &str, to: &str) -> (String, usize) {
    let at = text
        .find(from)
        .unwrap_or_else(|| panic!("{from:?} is not in the text"));
    let line = text[..at].matches('\n').count() + 1;
    (text.replacen(from, to, 1), line)
}

/// Asserts that some problem has this key and text, and that every problem names a remedy.
fn assert_problem(problems: &Problems, what: &str, key: &str, text: &str) -> usize {
    for problem in &problems.0 {
        assert!(
            !problem.file.is_empty() && !problem.problem.is_empty(),
            "{what}: {problem}"
        );
        assert!(
            !problem.allowed.is_empty(),
            "{what}: no remedy in {problem}"
        );
    }
    let found = problems
        .0
        .iter()
        .find(|p| p.key == key && p.problem.contains(text));
    found
        .unwrap_or_else(|| panic!("{what}: no {key}: {text} in\n{problems}"))
        .line
}

/// Text in the template, its replacement, and the key and the text of the expected problem.
type Case = (&'static str, &'static str, &'static str, &'static str);

const ANSWERS: [Case; 42] = [
    ("trade:\n", "tirade:\n", "tirade", "unknown key"),
    (
        "  name: Example workshop",
        "  name: \"\"",
        "trade.name",
        "nothing is given",
    ),
    (
        "  name: Example workshop",
        "  title: x",
        "trade.title",
        "unknown key",
    ),
    (
        "name: main\n",
        "name: Main Site\n",
        "sites[0].name",
        "not a valid name",
    ),
    (
        "zones: [main-1]",
        "zones: []",
        "sites[0].zones",
        "nothing is given",
    ),
    (
        "zones: [main-1]",
        "zones: [main-1, main-1]",
        "sites[0].zones[1]",
        "given twice",
    ),
    (
        "zones: [main-1]",
        "zones: main-1",
        "sites[0].zones",
        "invalid type",
    ),
    (
        "delay: 100us,",
        "delay: 100,",
        "network.within_zone.delay",
        "invalid type",
    ),
    (
        "delay: 100us,",
        "delay: fast,",
        "network.within_zone.delay",
        "not a duration",
    ),
    (
        "delay: 100us,",
        "delay: 2m,",
        "network.within_zone.delay",
        "out of range",
    ),
    (
        "{a: main-1, b: main-1,",
        "{a: main-1, b: main-9,",
        "network.links[0].b",
        "no zone `main-9`",
    ),
    (
        "store: [\"http://127.0.0.1:7300\"]",
        "store: []",
        "platform.store",
        "nothing is given",
    ),
    (
        "store: [\"http://127.0.0.1:7300\"]",
        "store: [\"127.0.0.1:7300\"]",
        "platform.store[0]",
        "http://",
    ),
    (
        "vm_list: http://127.0.0.1:7301",
        "vm_list: http://:1",
        "platform.vm_list",
        "no host",
    ),
    (
        "callers: 127.0.0.1:8080",
        "callers: 127.0.0.1",
        "entries[0].callers",
        "invalid socket address",
    ),
    (
        "zone: main-1\n    callers",
        "zone: main-2\n    callers",
        "entries[0].zone",
        "no zone `main-2`",
    ),
    (
        "operations: 127.0.0.1:7401",
        "operations: 127.0.0.1:7400",
        "entries[0].operations",
        "also used by",
    ),
    (
        "peer: 127.0.0.1:7400",
        "peer: 0.0.0.0:7400",
        "entries[0].peer",
        "cannot be reached",
    ),
    (
        "    weight: 1\n",
        "    weight: 0\n",
        "accounts[0].weight",
        "out of range",
    ),
    (
        "    weight: 1\n",
        "    weight: -1\n",
        "accounts[0].weight",
        "invalid value",
    ),
    (
        "    weight: 1\n",
        "    wieght: 1\n",
        "accounts[0].wieght",
        "unknown key",
    ),
    (
        "    quota_tokens_per_second: 1000\n",
        "",
        "accounts[0].quota_tokens_per_second",
        "missing key",
    ),
    (
        "    quota_tokens_per_second: 1000\n",
        "    quota_tokens_per_second: many\n",
        "accounts[0].quota_tokens_per_second",
        "invalid type",
    ),
    (
        "id: \"000000000001\"",
        "id: \"xyz\"",
        "accounts[0].keys[0]",
        "malformed",
    ),
    (
        "hash: \"00000000",
        "hash: \"cck_0000",
        "accounts[0].keys[0]",
        "malformed",
    ),
    (
        "    layers: 32",
        "    layers: 0",
        "models[0].layers",
        "out of range",
    ),
    (
        "    layers: 32",
        "    layers: 33",
        "models[0].layers",
        "no target holds layer 32",
    ),
    (
        "    layers: 32",
        "    layers: 99999",
        "models[0].layers",
        "invalid value",
    ),
    (
        "hidden_size: 4096",
        "hidden_size: 0",
        "models[0].hidden_size",
        "out of range",
    ),
    (
        "request_deadline: 2m",
        "request_deadline: 1ms",
        "models[0].request_deadline",
        "shorter",
    ),
    (
        "accelerator: l4, decode",
        "accelerator: h100, decode",
        "targets[0].accelerator",
        "no expected compute",
    ),
    (
        "call: POST /orders",
        "call: BOOK /orders",
        "services[0].must_not_repeat[0].call",
        "not an HTTP method",
    ),
    (
        "call: POST /orders",
        "call: POST",
        "services[0].must_not_repeat[0].call",
        "not a method and a path",
    ),
    (
        "call: GET /**",
        "call: GET /**/x",
        "services[0].repeatable[0].call",
        "invalid segment",
    ),
    (
        "call: GET /**",
        "call: POST /orders",
        "services[0].repeatable[0]",
        "given twice",
    ),
    (
        "        timeout: 5s",
        "        timeout: 5",
        "services[0].repeatable[0].timeout",
        "invalid type",
    ),
    (
        "    replicas: 2",
        "    replicas: 0",
        "targets[0].replicas",
        "out of range",
    ),
    (
        "    replicas: 2",
        "    replicas: 20000",
        "targets",
        "too many",
    ),
    (
        "    checks_orders: true\n",
        "",
        "targets[0].checks_orders",
        "missing key",
    ),
    (
        "    service: orders\n",
        "    service: kiln\n",
        "targets[1].service",
        "no service `kiln`",
    ),
    (
        "    service: orders\n",
        "",
        "targets[1]",
        "neither `model` nor `service`",
    ),
    (
        "  shards: 16",
        "  shards: 65",
        "claims.shards",
        "out of range",
    ),
];

/// Problems whose line is not that of the changed text: key, text and line. A missing key has the
/// line of the item that lacks it, and a reference to something that is gone has its own line.
const ELSEWHERE: [(&str, &str, usize); 6] = [
    ("accounts[0].quota_tokens_per_second", "missing key", 34),
    ("accounts[0].keys[0]", "malformed", 43),
    ("targets", "too many", 75),
    ("targets[0].checks_orders", "missing key", 76),
    ("targets[0].accelerator", "no expected compute", 85),
    ("targets[1]", "neither `model` nor `service`", 90),
];

/// Guards against wrong answers that pass, or that get an error without place or remedy.
#[test]
fn wrong_answers() {
    for (from, to, key, expected) in ANSWERS {
        let (text, line) = change(TEMPLATE, from, to);
        let what = format!("{from:?} -> {to:?}");
        let problems = parse("answers.yaml", &text).expect_err(&what);
        let found = assert_problem(&problems, &what, key, expected);
        assert!(found > 0, "{what}: no line in\n{problems}");
        let moved = ELSEWHERE
            .iter()
            .find(|(k, t, _)| (*k, *t) == (key, expected));
        let line = moved.map_or(line, |(_, _, line)| *line);
        assert_eq!(found, line, "{what}:\n{problems}");
    }
}

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
        "  forward_calls: 3",
        "  forward_calls: 65",
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

/// Guards against wrong settings that pass, or that get an error without place or remedy.
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

/// Guards against errors in flags and variables that blame the file.
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

/// Guards against a check that stops at the first error.
#[test]
fn all_errors_are_reported_together() {
    let mut text = TEMPLATE.to_owned();
    let chosen = [0, 3, 8, 12, 18, 24, 25, 32, 38, 41];
    for (from, to, _, _) in chosen.map(|i| ANSWERS[i]) {
        text = change(&text, from, to).0;
    }
    let problems = parse("answers.yaml", &text).expect_err("ten errors");
    for (_, _, key, expected) in chosen.map(|i| ANSWERS[i]) {
        assert_problem(&problems, "together", key, expected);
    }
    let lines: Vec<usize> = problems.0.iter().map(|p| p.line).collect();
    assert!(
        lines.is_sorted(),
        "not in the order of the file:\n{problems}"
    );
}

/// Guards against files that are no settings at all.
#[test]
fn files_that_are_no_documents() {
    for text in [
        "",
        "- a\n",
        "a: [",
        "a: 1\na: 2\n",
        "\u{0}",
        "text",
        "a: *b\n",
        "\t{",
    ] {
        let problems = parse("answers.yaml", text).expect_err(text);
        assert_eq!(problems.0[0].file, "answers.yaml");
        assert!(!problems.0[0].allowed.is_empty(), "{text:?}: {problems}");
    }
    let long = "a".repeat(2 * 1024 * 1024);
    let problems = parse("answers.yaml", &long).expect_err("too long");
    assert!(problems.to_string().contains("at most"), "{problems}");
}
