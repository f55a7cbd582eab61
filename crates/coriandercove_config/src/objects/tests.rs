//! Tests of the object set.

use serde_json::json;

use super::Objects;

fn objects(items: &[(&str, serde_json::Value)]) -> Objects {
    items
        .iter()
        .map(|(k, v)| ((*k).to_owned(), v.clone()))
        .collect()
}

/// Guards against a delta that does not reproduce the new set when another node applies it.
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

/// Guards against a digest that depends on the order of members, which differs between writers, or
/// that ignores a difference in values.
#[test]
fn digest_ignores_member_order_but_not_values() {
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

/// Guards against a stale digest after a change, since the hashes of the values are cached.
#[test]
fn the_digest_follows_every_change() {
    let a = objects(&[("a/1", json!({"x": 1}))]);
    let mut b = objects(&[("a/1", json!({"x": 2})), ("a/2", json!({}))]);
    b.apply(&b.delta(&a));
    assert_eq!(a.digest(), b.digest());
    b.insert("a/1".to_owned(), json!({"x": 3}));
    assert_ne!(a.digest(), b.digest());
    b.insert("a/1".to_owned(), json!({"x": 1}));
    assert_eq!(a.digest(), b.digest());
    let read: Objects = serde_json::from_str(&b.to_json()).unwrap();
    assert_eq!((read.digest(), &read), (a.digest(), &a));
}

/// Guards against a digest that changes between versions of the program: during an upgrade, nodes
/// would disagree about the same configuration.
#[test]
fn the_digest_is_stable_across_versions() {
    let a = objects(&[("zone/z", json!({"name": "z", "list": [1, true, null, "t"]}))]);
    assert_eq!(
        a.digest(),
        "e67b99c3283cf507cbc400ef717dd67ffe59dad30014c55f0303dabc8b701d84"
    );
}

/// Guards against deltas that cannot be encoded with postcard, the format of the frames between
/// processes, and against truncated deltas that decode.
#[test]
fn deltas_round_trip_in_postcard() {
    let old = objects(&[("a/1", json!({"x": 1})), ("a/2", json!(null))]);
    let new = objects(&[("a/1", json!({"x": [1.5, "t", {"y": null}]}))]);
    let delta = old.delta(&new);
    let bytes = postcard::to_stdvec(&delta).unwrap();
    assert_eq!(postcard::from_bytes::<super::Delta>(&bytes).unwrap(), delta);
    for end in 0..bytes.len() {
        assert!(
            postcard::from_bytes::<super::Delta>(&bytes[..end]).is_err(),
            "{end}"
        );
    }
}
