use googletest::prelude::*;

use super::*;

const LINES: [&str; 6] = [
    r#"x {"msg":"refused","ts":"2026-01-01T00:00:03Z","level":"WARN","node":"e2","req":"r1","reason":"full"}"#,
    r#"{"msg":"sent","ts":"2026-01-01T00:00:01Z","level":"INFO","node":"e1","req":"r1","path":"10.0.0.1:80=0-80"}"#,
    r#"{"msg":"target excluded","ts":"2026-01-01T00:00:02Z","level":"WARN","node":"e1","target":"10.0.0.1:80","cause":"probe"}"#,
    r#"{"msg":"target excluded","ts":"2026-01-01T00:00:02Z","level":"WARN","node":"e1","target":"10.0.0.9:80","cause":"probe"}"#,
    r#"{"msg":"sent","ts":"2026-01-01T00:00:01Z","level":"INFO","node":"e1","req":"r2"}"#,
    "no line of ours",
];

/// Guards against lines that are out of order or belong to other requests, and against a missing
/// exclusion of a target on the path of the request.
#[gtest]
fn the_lines_of_a_request_are_put_in_order() {
    let lines = LINES.iter().filter_map(|l| parse(l)).collect();
    let trace = trace(lines, "r1").unwrap();
    let messages: Vec<&str> = trace.lines.iter().map(|l| field(l, "msg")).collect();
    expect_that!(messages, eq(&vec!["sent", "target excluded", "refused"]));
    expect_that!(trace.deciding, eq(1));
    expect_that!(
        trace.text(),
        contains_substring("> 2026-01-01T00:00:02Z e1 target excluded")
    );
}

/// Guards against an empty explanation for a request that no log line mentions.
#[gtest]
fn an_unknown_request_is_an_error() {
    let lines = LINES.iter().filter_map(|l| parse(l)).collect();
    expect_that!(trace(lines, "r9").is_none(), eq(true));
}
