//! Guards against lost updates, versions that decrease, and watches or pages that miss an object.

use googletest::prelude::*;

use super::*;

fn value(n: u64) -> Bytes {
    n.to_string().into()
}

#[gtest]
fn only_one_of_two_writers_wins() {
    let mut t = ObjectTable::default();
    let v = t.put("a", None, value(1)).expect("the key is free");
    expect_that!(
        t.put("a", None, value(2)),
        err(eq(&StoreError::Conflict { current: Some(v) }))
    );
    expect_that!(t.put("a", Some(v), value(3)).is_ok(), eq(true));
    expect_that!(t.put("a", Some(v), value(4)).is_err(), eq(true));
    expect_that!(t.get("a").map(|o| o.value), ok(eq(&value(3))));
}

#[gtest]
fn versions_rise_over_deletion() {
    let mut t = ObjectTable::default();
    let first = t.put("a", None, value(1)).expect("the key is free");
    t.delete("a", first).expect("the version is right");
    expect_that!(t.get("a"), err(eq(&StoreError::NotFound)));
    expect_that!(
        t.delete("a", first),
        err(eq(&StoreError::Conflict { current: None }))
    );
    let second = t.put("a", None, value(1)).expect("the key is free");
    expect_that!(second, gt(first));
}

#[gtest]
fn pages_cover_all_objects() {
    let mut t = ObjectTable::default();
    for i in 0..2_500 {
        t.put(&format!("p/{i:05}"), None, value(i)).expect("free");
    }
    t.put("q", None, value(0)).expect("free");
    t.put("p", None, value(0)).expect("free");
    let mut seen = Vec::new();
    let mut after = String::new();
    loop {
        let page = t.list("p/", &after).expect("a valid prefix");
        seen.extend(page.objects.iter().map(|o| o.key.clone()));
        after = seen.last().cloned().unwrap_or_default();
        if !page.more {
            break;
        }
    }
    let expected: Vec<String> = (0..2_500).map(|i| format!("p/{i:05}")).collect();
    expect_that!(seen, eq(&expected));
}

#[gtest]
fn large_values_end_a_page_early() {
    let mut t = ObjectTable::default();
    for i in 0..6 {
        let big = Bytes::from(vec![0; MAX_VALUE]);
        t.put(&format!("p/{i}"), None, big).expect("free");
    }
    let page = t.list("p/", "").expect("a valid prefix");
    expect_that!((page.objects.len(), page.more), eq((4, true)));
    let batch = t.changes("p/", 0).expect("known");
    expect_that!((batch.changes.len(), batch.revision), eq((4, 4)));
    let rest = t.changes("p/", batch.revision).expect("known");
    expect_that!((rest.changes.len(), rest.revision), eq((2, 6)));
}

#[gtest]
fn watches_see_the_latest_state_of_each_object() {
    let mut t = ObjectTable::default();
    let a = t.put("w/a", None, value(1)).expect("free");
    let b = t.put("w/b", None, value(2)).expect("free");
    t.put("x", None, value(3)).expect("free");
    let a2 = t.put("w/a", Some(a), value(4)).expect("right version");
    t.delete("w/b", b).expect("right version");
    let batch = t.changes("w/", 0).expect("known");
    let seen: Vec<_> = batch
        .changes
        .iter()
        .map(|c| (c.key.as_str(), c.version, c.value.clone()))
        .collect();
    expect_that!(
        seen,
        eq(&vec![("w/a", a2, Some(value(4))), ("w/b", a2 + 1, None)])
    );
    expect_that!(
        t.changes("w/", batch.revision).map(|b| b.changes.len()),
        ok(eq(&0))
    );
}

#[gtest]
fn a_watch_from_before_a_forgotten_deletion_fails() {
    let mut t = ObjectTable::default();
    for i in 0..=MAX_TOMBSTONES {
        let key = format!("k{i}");
        let v = t.put(&key, None, value(0)).expect("free");
        t.delete(&key, v).expect("right version");
    }
    expect_that!(
        t.changes("k", 1),
        err(eq(&StoreError::Compacted { oldest: 2 }))
    );
    expect_that!(t.changes("k", 2).is_ok(), eq(true));
    expect_that!(t.changes("k", t.revision() + 1).is_err(), eq(true));
}

#[gtest]
fn refuses_large_values_and_odd_keys() {
    let mut t = ObjectTable::default();
    let big = Bytes::from(vec![0; MAX_VALUE + 1]);
    expect_that!(
        t.put("a", None, big),
        err(eq(&StoreError::TooLarge { limit: MAX_VALUE }))
    );
    for key in ["", "a b", "ä", "a?b", "a%20"] {
        expect_that!(t.put(key, None, value(1)).is_err(), eq(true));
    }
    expect_that!(t.revision(), eq(0));
}
