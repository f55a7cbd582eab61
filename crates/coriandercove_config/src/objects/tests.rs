//! Tests of the object set.

use serde_json::json;

use super::Objects;

fn objects(items: &[(&str, serde_json::Value)]) -> Objects {
    items
        .iter()
        .map(|(k, v)| ((*k).to_owned(), v.clone()))
        .collect()
}

/// Guards against a change that, applied at another node, gives another configuration.
#[test]
fn delta_turns_the_old_set_into_the_new_one() {
    let mut old = objects(&[
        ("a/1", json!({"x": 1})),
        ("a/2", json!({})),
        ("a/3", json!(1)),
    ]);
    let new = objects(&[
        ("a/1", json!({"x": 2})),
        ("a/3", json!(1)),
        ("a/4", json!([])),
    ]);
    let delta = old.delta(&new);
    assert_eq!(delta.remove, ["a/2"]);
    assert_eq!(delta.put.len(), 2);
    old.apply(&delta);
    assert_eq!(old, new);
    assert!(old.delta(&new).is_empty());
}

/// Guards against a digest that depends on the order of members, which differs between writers.
#[test]
fn digest_ignores_member_order_and_sees_values() {
    let a: Objects = serde_json::from_str(r#"{"k/n": {"a": 1, "b": [1, 2]}}"#).unwrap();
    let b: Objects = serde_json::from_str(r#"{"k/n": {"b": [1,2], "a": 1}}"#).unwrap();
    assert_eq!(a.digest(), b.digest());
    for other in [
        r#"{"k/n": {"a": 1, "b": [2, 1]}}"#,
        r#"{"k/n": {"a": "1", "b": [1, 2]}}"#,
        r#"{"k/m": {"a": 1, "b": [1, 2]}}"#,
        r#"{"k/n": {"a": 1, "b": [[1], 2]}}"#,
        "{}",
    ] {
        let c: Objects = serde_json::from_str(other).unwrap();
        assert_ne!(a.digest(), c.digest(), "{other}");
    }
}
