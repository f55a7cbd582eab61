use super::names::{log_name, manifest_name};
use super::*;
use googletest::prelude::*;
use std::sync::Arc;

fn log() -> ConfigLog {
    ConfigLog::new(ConfigLogSettings::new("e1".into(), true, Vec::new()))
}

fn edit(key: &str, value: &str) -> Edit {
    let mut edit = Edit::default();
    edit.upserts.insert(key.into(), value.into());
    edit
}

/// Returns the changes 1 to `n`, each based on the one before.
fn changes(n: ConfigVersion) -> Vec<Change> {
    let mut objects = Objects::default();
    let change = |version| {
        let edit = edit(&format!("k/{version}"), "1");
        let change = Change::new(version, version.into(), "op".into(), edit, &objects);
        objects = objects.with(&change.upserts, &change.removes);
        change
    };
    (1..=n).map(change).collect()
}

/// Returns a log that has applied the changes 1 to `n`.
fn log_at(n: ConfigVersion) -> ConfigLog {
    let mut log = log();
    let reply = PullReply::Changes(changes(n));
    let peer = "e2".into();
    log.on_event(Time::ZERO, ConfigEvent::Pulled { peer, reply });
    assert_eq!(log.version(), n);
    log
}

fn accept(expected: ConfigVersion, edit: Edit) -> ConfigEvent {
    ConfigEvent::Accept {
        op: 7,
        expected,
        write_id: 999,
        author: "ana".into(),
        edit,
    }
}

/// Returns the first store call among `actions`, with its id.
fn call(actions: &[ConfigAction]) -> (OpId, StoreCall) {
    let mut calls = actions.iter().filter_map(|a| match a {
        ConfigAction::Store { id, call } => Some((*id, call.clone())),
        _ => None,
    });
    calls.next().expect("the actions contain a store call")
}

fn answer(log: &mut ConfigLog, id: OpId, answer: StoreAnswer) -> Vec<ConfigAction> {
    log.on_event(Time::ZERO, ConfigEvent::Store { id, answer })
}

fn manifest(version: ConfigVersion) -> Vec<u8> {
    let first = version.saturating_sub(127);
    let manifest = Manifest {
        version,
        parts: 1,
        digest: 0,
        write_ids: (first..=version).map(u128::from).collect(),
    };
    serde_json::to_vec(&manifest).unwrap()
}

/// Runs an accept of version 11 by a node that was paused while versions up to 100 were accepted
/// and version 11 was compacted. Its create therefore finds the name free.
fn accept_after_compaction(mut log: ConfigLog) -> Vec<ConfigAction> {
    let (id, create) = call(&log.on_event(Time::ZERO, accept(10, edit("k/x", "1"))));
    assert!(matches!(create, StoreCall::Create { name, .. } if name == log_name(11)));
    let actions = answer(&mut log, id, StoreAnswer::Created);
    let (id, _) = call(&actions);
    let names = StoreAnswer::Names(vec![manifest_name(100)]);
    let actions = answer(&mut log, id, names);
    if actions
        .iter()
        .any(|a| matches!(a, ConfigAction::Accepted { .. }))
    {
        return actions;
    }
    let (id, get) = call(&actions);
    assert_eq!(
        get,
        StoreCall::Get {
            name: manifest_name(100)
        }
    );
    answer(&mut log, id, StoreAnswer::Object(Some(manifest(100))))
}

/// Guards against an accept of a version that was accepted before and whose log object has been
/// compacted.
#[gtest]
fn create_of_a_compacted_version_is_not_accepted() {
    let actions = accept_after_compaction(log_at(10));
    expect_that!(
        actions,
        not(contains(matches_pattern!(ConfigAction::Accepted { .. })))
    );
}

/// Guards against a check above that cannot fail: with the deliberate fault the accept must
/// succeed.
#[cfg(feature = "faults")]
#[gtest]
fn ignored_compaction_is_found() {
    let log = log_at(10).with_fault(ConfigFault::CompactionIgnored);
    let actions = accept_after_compaction(log);
    expect_that!(
        actions,
        contains(matches_pattern!(ConfigAction::Accepted { .. }))
    );
}

/// Guards against a reader that applies a log object that was created again after compaction.
#[gtest]
fn log_object_below_the_snapshots_is_not_applied() {
    let mut log = log_at(10);
    let entries = ConfigEvent::Entries(vec!["e1".into()]);
    let (id, get) = call(&log.on_event(Time::ZERO, entries));
    assert_eq!(get, StoreCall::Get { name: log_name(11) });
    let orphan = changes(11).pop().unwrap();
    let body = serde_json::to_vec(&orphan).unwrap();
    let (id, _) = call(&answer(&mut log, id, StoreAnswer::Object(Some(body))));
    let (id, _) = call(&answer(&mut log, id, StoreAnswer::Object(None)));
    let names = StoreAnswer::Names(vec![manifest_name(100)]);
    let (_, get) = call(&answer(&mut log, id, names));
    expect_that!(
        get,
        eq(&StoreCall::Get {
            name: manifest_name(100)
        })
    );
    expect_that!(log.version(), eq(10));
}

/// Guards against a damaged change that takes effect.
#[gtest]
fn change_with_another_digest_is_refused_and_counted() {
    let mut log = log_at(3);
    let mut change = changes(4).pop().unwrap();
    change.upserts.insert("k/evil".into(), "1".into());
    let reply = PullReply::Changes(vec![change]);
    let before = log.digest();
    let peer = "e2".into();
    log.on_event(Time::ZERO, ConfigEvent::Pulled { peer, reply });
    expect_that!(log.version(), eq(3));
    expect_that!(log.digest(), eq(before));
    expect_that!(log.counters().rejected, eq(1));
}

/// Guards against a corrupt log object that is overwritten or read again and again.
#[gtest]
fn accept_reports_a_corrupt_next_version() {
    let mut log = log_at(3);
    let (id, _) = call(&log.on_event(Time::ZERO, accept(3, edit("k/x", "1"))));
    let (id, _) = call(&answer(&mut log, id, StoreAnswer::Exists));
    let actions = answer(&mut log, id, StoreAnswer::Object(Some(b"{}".to_vec())));
    let error = AcceptError::Corrupt { version: 4 };
    expect_that!(
        actions,
        contains(eq(&ConfigAction::Refused { op: 7, error }))
    );
}

/// Guards against a conflict that does not show what changed.
#[gtest]
fn outdated_accept_gets_the_difference() {
    let mut log = log_at(5);
    let actions = log.on_event(Time::ZERO, accept(3, edit("k/x", "1")));
    let Some(ConfigAction::Refused {
        error: AcceptError::Conflict { difference },
        ..
    }) = actions.first()
    else {
        panic!("expected a conflict first, got {actions:?}");
    };
    let keys: Vec<&str> = difference.changes.iter().map(|c| c.key.as_str()).collect();
    expect_that!(keys, eq(&vec!["k/4", "k/5"]));
    expect_that!(
        (difference.from, difference.to, difference.complete),
        eq((3, 5, true))
    );
}

/// Guards against edits that the store or the readers cannot process.
#[gtest]
fn invalid_and_oversized_edits_are_refused() {
    let large = format!("\"{}\"", "x".repeat(MAX_OBJECT_BYTES));
    for bad in [
        Edit::default(),
        edit("nokind", "1"),
        edit("k/x", "{not json"),
        edit("k/x", &large),
    ] {
        let actions = log_at(1).on_event(Time::ZERO, accept(1, bad));
        expect_that!(
            actions,
            contains(matches_pattern!(ConfigAction::Refused { .. }))
        );
    }
}

/// Guards against snapshot parts above the store's limit, also with text that JSON escapes.
#[gtest]
fn snapshot_parts_fit_the_store() {
    let mut objects = Objects::default();
    let value: Arc<str> = format!("[{}]", "\"\",".repeat(20_000)).into();
    for i in 0..40 {
        objects.insert(format!("k/{i}"), value.clone());
    }
    let (manifest, parts) = snapshot::split(64, &objects, Vec::new());
    let mut assembly = snapshot::Assembly::new(manifest.clone()).unwrap();
    for part in parts {
        let size = serde_json::to_vec(&part).unwrap().len();
        expect_that!(size, lt(MAX_OBJECT_BYTES));
        assembly.add(part);
    }
    let (_, read) = assembly.into_objects();
    expect_that!(read.digest(64), eq(manifest.digest));
}

/// Guards against a choice of watchers that changes when other entries come and go.
#[gtest]
fn watchers_are_three_and_stable() {
    let entries: Vec<NodeId> = (0..20).map(|i| format!("e{i}").into()).collect();
    let chosen = watchers(&entries);
    expect_that!(chosen.len(), eq(3));
    let fewer: Vec<NodeId> = entries
        .iter()
        .filter(|e| **e != chosen[0])
        .cloned()
        .collect();
    expect_that!(watchers(&fewer)[..2], eq(&chosen[1..]));
}
