//! Tests of problems.

use super::{Problem, split_expected};

/// Guards against names of Rust types in errors that operators read.
#[test]
fn expected_types_are_described_in_words() {
    let cases = [
        (
            "invalid type: string \"x\", expected u16",
            "a whole number from 0 to 65535",
        ),
        (
            "invalid type: integer `1`, expected a boolean",
            "true or false",
        ),
        (
            "invalid type: integer `1`, expected struct TeamAnswer",
            "a map of keys",
        ),
        (
            "unknown variant `x`, expected `ip` or `port`",
            "`ip` or `port`",
        ),
        (
            "unknown field `x`, expected one of `a`, `b`",
            "one of `a`, `b`",
        ),
        ("missing field `x`", ""),
    ];
    for (message, allowed) in cases {
        assert_eq!(split_expected(message).1, allowed, "{message}");
    }
    assert_eq!(split_expected("missing field `x`").0, "missing key `x`");
}

/// Guards against a location format that editors and terminals do not recognise as file and line.
#[test]
fn problems_start_with_file_and_line() {
    let mut problem = Problem {
        file: "a.yaml".to_owned(),
        line: 3,
        key: "x[0].y".to_owned(),
        problem: "wrong".to_owned(),
        allowed: "right".to_owned(),
    };
    assert_eq!(
        problem.to_string(),
        "a.yaml:3: x[0].y: wrong (allowed: right)"
    );
    problem.line = 0;
    problem.allowed.clear();
    assert_eq!(problem.to_string(), "a.yaml: x[0].y: wrong");
}
