//! Tests of paths, line numbers and the decoding of documents.

use serde::Deserialize;
use serde_norway::Value;

use super::{Document, LineIndex, format_path, parse_path};

const TEXT: &str = "\
# comment
a: 1
b:
  - x: 1
    'y z': 2
  -
    x: 3
c:
- one
- {k: v, l: [1, {m: 2}]}
d: |
  e: not a key
f: {g: 1,
  h: [1,
    2]}
i:
  j: \"a: b\" # x: y
";

/// Guards against errors that name a wrong line.
#[test]
fn finds_the_line_of_each_key() {
    let lines = LineIndex::scan(TEXT);
    let expected = [
        ("a", 2),
        ("b", 3),
        ("b[0]", 4),
        ("b[0].x", 4),
        ("b[0].y z", 5),
        ("b[1]", 6),
        ("b[1].x", 7),
        ("c[0]", 9),
        ("c[1].k", 10),
        ("c[1].l[1].m", 10),
        ("d", 11),
        ("f.g", 13),
        ("f.h", 14),
        ("f.h[1]", 15),
        ("i.j", 17),
    ];
    for (key, line) in expected {
        assert_eq!(lines.line_of(key), line, "{key}");
    }
}

/// Guards against an error without a line when the key itself does not exist.
#[test]
fn a_missing_key_gets_the_line_above() {
    let lines = LineIndex::scan(TEXT);
    assert_eq!(lines.line_of("b[1].missing"), 6);
    assert_eq!(lines.line_of("d.e"), 11);
    assert_eq!(lines.line_of("missing"), 1);
}

/// Guards against paths that change when they are written and read.
#[test]
fn paths_round_trip() {
    for text in ["a", "a.b[3].c", "a[0][1]"] {
        assert_eq!(format_path(&parse_path(text)), text);
    }
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Outer {
    name: String,
    items: Vec<Inner>,
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Inner {
    n: u8,
    m: u8,
}

fn template() -> Value {
    serde_norway::from_str("name: example\nitems:\n  - n: 1\n    m: 2\n").unwrap()
}

/// Guards against a check that reports one error, so that a user fixes a file error by error.
#[test]
fn reports_every_error_at_once() {
    let text = "items:\n  - n: 300\n    m: 1\n    z: 1\n  - n: x\n  - 7\ncolour: red\n";
    let document = Document::parse("f.yaml", text).unwrap();
    let decoded = document.decode::<Outer>(&template());
    let mut found: Vec<(usize, String)> = decoded
        .problems
        .0
        .iter()
        .map(|p| (p.line, p.key.clone()))
        .collect();
    found.sort();
    let expected = [
        (1, "name"),
        (2, "items[0].n"),
        (4, "items[0].z"),
        (5, "items[1].m"),
        (5, "items[1].n"),
        (6, "items[2]"),
        (7, "colour"),
    ];
    let expected = expected.map(|(line, key)| (line, key.to_owned()));
    assert_eq!(found, expected);
    let value = decoded.value.unwrap();
    assert_eq!((value.name.as_str(), value.items.len()), ("example", 3));
    assert_eq!((value.items[0].n, value.items[0].m), (1, 1));
}

/// Guards against problems that do not say what is allowed.
#[test]
fn each_error_says_what_is_allowed() {
    let text = "name: [1]\nitems:\n  - {n: 1, m: 2, o: 3}\n  - {n: 1}\n";
    let document = Document::parse("f.yaml", text).unwrap();
    let decoded = document.decode::<Outer>(&template());
    assert_eq!(decoded.problems.0.len(), 3);
    for problem in &decoded.problems.0 {
        assert!(!problem.allowed.is_empty(), "{problem}");
    }
}
