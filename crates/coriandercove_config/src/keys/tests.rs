//! Tests of API keys.

use coriandercove_base::rng;

use super::{KeyIndex, generate_key, split_key};
use crate::config::{Account, KeyHash};

fn account(name: &str, keys: Vec<KeyHash>) -> Account {
    Account {
        name: name.into(),
        weight: 1,
        quota_tokens_per_second: 1,
        burst_tokens: 1,
        concurrency: 1,
        priority: 5,
        keys,
    }
}

/// Guards against a key that is accepted for another account, and against a key rotation that makes
/// the old key invalid.
#[test]
fn each_key_finds_its_own_account() {
    let mut rng = rng::seeded(7);
    let (a, b, c) = (
        generate_key(&mut rng),
        generate_key(&mut rng),
        generate_key(&mut rng),
    );
    let accounts = [
        account("one", vec![a.hash.clone(), b.hash.clone()]),
        account("two", vec![c.hash.clone()]),
    ];
    let index = KeyIndex::new(&accounts);
    assert_eq!(index.find(&a.key), Some(0));
    assert_eq!(index.find(&b.key), Some(0));
    assert_eq!(index.find(&c.key), Some(1));
    assert_eq!(KeyIndex::new(&accounts[1..]).find(&a.key), None);
}

/// Guards against accepting a known key id with a wrong secret, or a malformed key.
#[test]
fn wrong_keys_find_nothing() {
    let mut rng = rng::seeded(8);
    let key = generate_key(&mut rng);
    let other = generate_key(&mut rng);
    let index = KeyIndex::new(&[account("one", vec![key.hash.clone()])]);
    let (_, secret) = split_key(&other.key).unwrap();
    let mixed = format!("cck_{}_{secret}", key.hash.id);
    let changed = format!("{}0", &key.key[..key.key.len() - 1]);
    let changed_twice = format!("{}1", &key.key[..key.key.len() - 1]);
    let wrong = if changed == key.key {
        changed_twice
    } else {
        changed
    };
    for text in [
        "",
        "cck_",
        "cck__",
        &mixed,
        &wrong,
        &other.key,
        &key.hash.hash,
    ] {
        assert_eq!(index.find(text), None, "{text}");
    }
}

/// Guards against the secret part of a key in the configuration.
#[test]
fn the_hash_does_not_contain_the_key() {
    let key = generate_key(&mut rng::seeded(9));
    let (id, secret) = split_key(&key.key).unwrap();
    assert_eq!(id, key.hash.id);
    assert!(!key.hash.hash.contains(secret));
}
