//! Tests of differences.

use serde_json::json;

use super::diff;
use crate::objects::Objects;

fn objects(items: &[(&str, serde_json::Value)]) -> Objects {
    items
        .iter()
        .map(|(k, v)| ((*k).to_owned(), v.clone()))
        .collect()
}

/// Guards against a diff that names only the object: the operator would have to search for the
/// changed field.
#[test]
fn names_each_field_that_changed() {
    let old = objects(&[
        ("account/a", json!({"weight": 1, "keys": [{"id": "x"}]})),
        ("account/b", json!({})),
    ]);
    let new = objects(&[
        (
            "account/a",
            json!({"weight": 2, "keys": [{"id": "x"}, {"id": "y"}]}),
        ),
        ("account/c", json!({})),
    ]);
    let lines: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            r#"~ account/a keys[1]: none -> {"id":"y"}"#,
            "~ account/a weight: 1 -> 2",
            "- account/b",
            "+ account/c",
        ]
    );
}

/// Guards against differences between equal sets.
#[test]
fn equal_sets_have_no_difference() {
    let a = objects(&[("zone/z", json!({"site": "s"}))]);
    assert!(diff(&a, &a.clone()).is_empty());
}
