//! Invalid answers: each error has a location and says what is allowed.

mod common;

use common::{Case, assert_problem, change};
use coriandercove_config::answers::{TEMPLATE, parse};

const ANSWERS: [Case; 44] = [
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
    (
        "    target_port: 7502",
        "    target_port: 0",
        "targets[0].target_port",
        "out of range",
    ),
    (
        "    target_port: 7502",
        "    target_port: 65530",
        "targets[0].target_port",
        "65540 is out of range",
    ),
];

/// Problems that are reported at another line than the changed one: key, text and line. A missing
/// key is reported at the item that lacks it, and a dangling reference at the line of the
/// reference.
const OTHER_LINES: [(&str, &str, usize); 6] = [
    ("accounts[0].quota_tokens_per_second", "missing key", 34),
    ("accounts[0].keys[0]", "malformed", 43),
    ("targets", "too many", 75),
    ("targets[0].checks_orders", "missing key", 76),
    ("targets[0].accelerator", "no expected compute", 85),
    ("targets[1]", "neither `model` nor `service`", 90),
];

/// Guards against invalid answers that pass, and errors without a location or allowed values.
#[test]
fn wrong_answers() {
    for (from, to, key, expected) in ANSWERS {
        let (text, line) = change(TEMPLATE, from, to);
        let what = format!("{from:?} -> {to:?}");
        let problems = parse("answers.yaml", &text).expect_err(&what);
        let found = assert_problem(&problems, &what, key, expected);
        assert!(found > 0, "{what}: no line in\n{problems}");
        let moved = OTHER_LINES
            .iter()
            .find(|(k, t, _)| (*k, *t) == (key, expected));
        let line = moved.map_or(line, |(_, _, line)| *line);
        assert_eq!(found, line, "{what}:\n{problems}");
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

/// Guards against files that are no YAML map, or too long, and that crash the parser or give errors
/// without allowed values.
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
