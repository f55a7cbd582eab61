//! Compares a table with a simple model under random operations. Guards against watches and
//! listings that give a reader other objects than the store has, and against conditional writes
//! that succeed although another write came first.

use std::collections::BTreeMap;

use bytes::Bytes;
use coriandercove_platform::table::ObjectTable;
use coriandercove_platform::{StoreError, Version};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Returns a configuration with a fixed seed, so that every run has the same result.
fn config() -> Config {
    Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x5eed_0004),
        failure_persistence: None,
        ..Config::default()
    }
}

/// An operation on one of a few keys. A write names the current version, or a wrong one if `stale`.
#[derive(Debug, Clone)]
enum Op {
    Create(u8),
    Put { key: u8, stale: bool },
    Delete { key: u8, stale: bool },
    Watch,
}

fn op() -> impl Strategy<Value = Op> {
    let key = 0u8..6;
    prop_oneof![
        key.clone().prop_map(Op::Create),
        (key.clone(), any::<bool>()).prop_map(|(key, stale)| Op::Put { key, stale }),
        (key, any::<bool>()).prop_map(|(key, stale)| Op::Delete { key, stale }),
        Just(Op::Watch),
    ]
}

fn name(key: u8) -> String {
    // Keys of two prefixes, so that watches must leave some out.
    format!("{}/{key}", if key < 3 { "a" } else { "b" })
}

/// A reader of the prefix `a/` that learns of objects only through watches.
#[derive(Default)]
struct Reader {
    revision: Version,
    objects: BTreeMap<String, (Version, Bytes)>,
}

impl Reader {
    fn catch_up(&mut self, table: &ObjectTable) {
        let batch = table.changes("a/", self.revision).expect("known");
        for change in batch.changes {
            assert!(change.version > self.revision, "a change came twice");
            match change.value {
                Some(value) => self.objects.insert(change.key, (change.version, value)),
                None => self.objects.remove(&change.key),
            };
        }
        self.revision = batch.revision;
    }
}

type Model = BTreeMap<String, (Version, Bytes)>;

/// Applies a write to the table and the model. The model decides whether it must succeed.
fn write(table: &mut ObjectTable, model: &mut Model, op: &Op, value: &Bytes) {
    let (key, stale, create, delete) = match op {
        Op::Create(key) => (name(*key), false, true, false),
        Op::Put { key, stale } => (name(*key), *stale, false, false),
        Op::Delete { key, stale } => (name(*key), *stale, false, true),
        Op::Watch => return,
    };
    let current = model.get(&key).map(|(v, _)| *v);
    let expected = if create {
        None
    } else {
        Some(current.unwrap_or(0).wrapping_add(u64::from(stale)))
    };
    let before = table.revision();
    let result = match expected {
        Some(version) if delete => table.delete(&key, version).map(|()| table.revision()),
        _ => table.put(&key, expected, value.clone()),
    };
    if current == expected {
        let version = result.expect("the version is right");
        assert!(version > before);
        if delete {
            model.remove(&key);
        } else {
            model.insert(key, (version, value.clone()));
        }
    } else {
        assert_eq!(result, Err(StoreError::Conflict { current }));
        assert_eq!(table.revision(), before);
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn readers_follow_the_store(ops in prop::collection::vec(op(), 0..80)) {
        let mut table = ObjectTable::default();
        let mut model = Model::new();
        let mut reader = Reader::default();
        for (i, op) in ops.iter().enumerate() {
            if matches!(op, Op::Watch) {
                reader.catch_up(&table);
            }
            write(&mut table, &mut model, op, &Bytes::from(i.to_string()));
        }
        reader.catch_up(&table);
        let listed = table.list("", "").expect("a valid prefix").objects;
        let listed: Model = listed.into_iter().map(|o| (o.key, (o.version, o.value))).collect();
        prop_assert_eq!(&listed, &model);
        model.retain(|key, _| key.starts_with("a/"));
        prop_assert_eq!(reader.objects, model);
    }
}
