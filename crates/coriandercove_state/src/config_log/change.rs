//! Changes, the objects that they add up to, and their digests.

use coriandercove_base::hash::hash128;
use coriandercove_base::{ConfigVersion, data};
use std::collections::BTreeMap;
use std::sync::Arc;

data! {
    /// What one accept sets and removes.
    #[derive(Eq, Default)]
    pub struct Edit {
        /// Objects to set, key `kind/name` to JSON text.
        pub upserts: BTreeMap<String, Arc<str>>,
        /// Keys to remove; a key that does not exist is ignored.
        pub removes: Vec<String>,
    }

    /// One version of the configuration, as the step from the version before.
    #[derive(Eq)]
    pub struct Change {
        /// Version that the change makes.
        pub version: ConfigVersion,
        /// Random and unique for each accept; settles creates whose answer was lost.
        pub write_id: u128,
        /// Who accepted the change.
        pub author: String,
        /// Objects to set, key `kind/name` to JSON text.
        pub upserts: BTreeMap<String, Arc<str>>,
        /// Keys to remove.
        pub removes: Vec<String>,
        /// Covers version, write id, author and all objects after the change.
        pub digest: u128,
    }

    /// A key that two versions differ in.
    #[derive(Eq)]
    pub struct KeyChange {
        /// The key.
        pub key: String,
        /// Value in the later version, `None` if it is removed.
        pub value: Option<Arc<str>>,
    }

    /// What happened between the version an operator expected and the latest one.
    #[derive(Eq)]
    pub struct Difference {
        /// Version that the operator expected.
        pub from: ConfigVersion,
        /// Latest version.
        pub to: ConfigVersion,
        /// Authors of the changes in between, in order.
        pub authors: Vec<String>,
        /// Keys set or removed in between.
        pub changes: Vec<KeyChange>,
        /// Whether all changes in between were still at hand.
        pub complete: bool,
    }
}

/// The objects of one version, with a sum of their hashes that is kept up with each change.
///
/// A tree, because there are tens of thousands of objects at the planned size.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Objects {
    map: BTreeMap<String, Arc<str>>,
    /// Wrapping sum of the hashes of all entries; independent of their order.
    sum: u128,
}

impl Objects {
    /// The JSON text of `key`.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&str> {
        self.map.get(key).map(|v| &**v)
    }

    /// All objects in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Arc<str>)> {
        self.map.iter().map(|(k, v)| (k.as_str(), v))
    }

    /// Number of objects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Whether there is no object.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Sets `key` to `value`.
    pub fn insert(&mut self, key: String, value: Arc<str>) {
        let add = entry_hash(&key, &value);
        if let Some(old) = self.map.get(&key) {
            self.sum = self.sum.wrapping_sub(entry_hash(&key, old));
        }
        self.sum = self.sum.wrapping_add(add);
        self.map.insert(key, value);
    }

    /// Removes `key`.
    pub fn remove(&mut self, key: &str) {
        if let Some(old) = self.map.remove(key) {
            self.sum = self.sum.wrapping_sub(entry_hash(key, &old));
        }
    }

    /// Digest of the objects as of `version`.
    #[must_use]
    pub fn digest(&self, version: ConfigVersion) -> u128 {
        hash128(&[b"objects", &version.to_le_bytes(), &self.sum.to_le_bytes()])
    }

    /// The objects after removing and setting the given keys.
    #[must_use]
    pub fn with(&self, upserts: &BTreeMap<String, Arc<str>>, removes: &[String]) -> Self {
        let mut next = self.clone();
        for key in removes {
            next.remove(key);
        }
        for (key, value) in upserts {
            next.insert(key.clone(), value.clone());
        }
        next
    }
}

fn entry_hash(key: &str, value: &str) -> u128 {
    hash128(&[key.as_bytes(), value.as_bytes()])
}
