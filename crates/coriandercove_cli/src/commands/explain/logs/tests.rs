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

/// Guards against lines out of order, of other requests, or without the exclusion that explains
/// them.
#[gtest]
fn the_lines_of_a_request_are_put_in_order() {
    let lines = LINES.iter().filter_map(|l| parse(l)).collect();
    let story = story(lines, "r1").unwrap();
    let messages: Vec<&str> = story.lines.iter().map(|l| field(l, "msg")).collect();
    expect_that!(messages, eq(&vec!["sent", "target excluded", "refused"]));
    expect_that!(story.deciding, eq(1));
    expect_that!(
        story.text(),
        contains_substring("> 2026-01-01T00:00:02Z e1 target excluded")
    );
}

/// Guards against a request that is not in the log being explained by nothing.
#[gtest]
fn an_unknown_request_is_an_error() {
    let lines = LINES.iter().filter_map(|l| parse(l)).collect();
    expect_that!(story(lines, "r9").is_none(), eq(true));
}
