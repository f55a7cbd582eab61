//! Changes, the objects that result from them, and their digests.

use coriandercove_base::hash::hash128;
use coriandercove_base::{ConfigVersion, data};
use std::collections::BTreeMap;
use std::sync::Arc;

data! {
    /// The objects that one accept sets and removes.
    #[derive(Eq, Default)]
    pub struct Edit {
        /// JSON texts to set, by key; a key has the form `kind/name`.
        pub upserts: BTreeMap<String, Arc<str>>,
        /// Keys to remove; a key that does not exist is ignored.
        pub removes: Vec<String>,
    }

    /// One version of the configuration, as the difference from the previous version. The store
    /// holds it as JSON in a log object.
    #[derive(Eq)]
    pub struct Change {
        /// Version that results from the change.
        pub version: ConfigVersion,
        /// Random and unique for each accept. Shows whose change a log object holds if the answer
        /// to its create was lost.
        pub write_id: u128,
        /// Operator who accepted the change.
        pub author: String,
        /// JSON texts to set, by key; a key has the form `kind/name`.
        pub upserts: BTreeMap<String, Arc<str>>,
        /// Keys to remove.
        pub removes: Vec<String>,
        /// Hash of version, write id, author and all objects after the change.
        pub digest: u128,
    }

    /// A key whose value was set or removed between two versions.
    #[derive(Eq)]
    pub struct KeyChange {
        /// Key of the object, `kind/name`.
        pub key: String,
        /// JSON text in the later version; `None` if the object is removed.
        pub value: Option<Arc<str>>,
    }

    /// The changes between the version that an operator expected and the latest one.
    #[derive(Eq)]
    pub struct Difference {
        /// Version that the operator expected.
        pub from: ConfigVersion,
        /// Latest version known to this node.
        pub to: ConfigVersion,
        /// Authors of the changes in between, in order.
        pub authors: Vec<String>,
        /// Keys set or removed in between.
        pub changes: Vec<KeyChange>,
        /// Whether this node still held all changes in between; if not, `authors` and `changes`
        /// lack some.
        pub complete: bool,
    }
}

/// The objects of one version, with a sum of their hashes that each change updates.
///
/// The map is a tree, because there are tens of thousands of objects at the planned size.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Objects {
    map: BTreeMap<String, Arc<str>>,
    /// Wrapping sum of the hashes of all objects, which does not depend on their order.
    sum: u128,
}

impl Objects {
    /// Returns the JSON text of `key`.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&str> {
        self.map.get(key).map(|v| &**v)
    }

    /// Returns the JSON text of `key` without copying it.
    pub(crate) fn get_shared(&self, key: &str) -> Option<Arc<str>> {
        self.map.get(key).cloned()
    }

    /// Iterates over all objects in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Arc<str>)> {
        self.map.iter().map(|(k, v)| (k.as_str(), v))
    }

    /// Returns the number of objects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Whether there is no object.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Sets the JSON text of `key` to `value`.
    pub fn insert(&mut self, key: String, value: Arc<str>) {
        let add = entry_hash(&key, &value);
        if let Some(old) = self.map.get(&key) {
            self.sum = self.sum.wrapping_sub(entry_hash(&key, old));
        }
        self.sum = self.sum.wrapping_add(add);
        self.map.insert(key, value);
    }

    /// Removes `key`; does nothing if it does not exist.
    pub fn remove(&mut self, key: &str) {
        if let Some(old) = self.map.remove(key) {
            self.sum = self.sum.wrapping_sub(entry_hash(key, &old));
        }
    }

    /// Returns the digest of the objects as of `version`.
    #[must_use]
    pub fn digest(&self, version: ConfigVersion) -> u128 {
        hash128(&[b"objects", &version.to_le_bytes(), &self.sum.to_le_bytes()])
    }

    /// Returns a copy of the objects from which `removes` are removed and in which `upserts` are
    /// set.
    #[must_use]
    pub fn with(&self, upserts: &BTreeMap<String, Arc<str>>, removes: &[String]) -> Self {
        let mut next = self.clone();
        next.apply_edit(upserts, removes);
        next
    }

    /// Removes and sets the given keys. Returns the previous values, for [`Self::undo`].
    pub(crate) fn apply_edit(
        &mut self,
        upserts: &BTreeMap<String, Arc<str>>,
        removes: &[String],
    ) -> Vec<(String, Option<Arc<str>>)> {
        let mut undo = Vec::with_capacity(upserts.len() + removes.len());
        for key in removes {
            undo.push((key.clone(), self.map.get(key).cloned()));
            self.remove(key);
        }
        for (key, value) in upserts {
            undo.push((key.clone(), self.map.get(key).cloned()));
            self.insert(key.clone(), value.clone());
        }
        undo
    }

    /// Reverts an edit, given the previous values.
    pub(crate) fn undo(&mut self, undo: Vec<(String, Option<Arc<str>>)>) {
        for (key, value) in undo.into_iter().rev() {
            match value {
                Some(value) => self.insert(key, value),
                None => self.remove(&key),
            }
        }
    }

    /// Returns the keys whose values differ, or that exist in only one of the two.
    pub(crate) fn differing_keys(&self, other: &Self) -> Vec<String> {
        let ours = self
            .map
            .iter()
            .filter(|(k, v)| other.map.get(*k) != Some(v));
        let theirs = other.map.keys().filter(|k| !self.map.contains_key(*k));
        ours.map(|(k, _)| k).chain(theirs).cloned().collect()
    }
}

fn entry_hash(key: &str, value: &str) -> u128 {
    hash128(&[key.as_bytes(), value.as_bytes()])
}

impl Change {
    /// Creates the change by which `edit` turns `objects` into `version`.
    #[must_use]
    pub fn new(
        version: ConfigVersion,
        write_id: u128,
        author: String,
        edit: Edit,
        objects: &Objects,
    ) -> Self {
        let after = objects.with(&edit.upserts, &edit.removes);
        let digest = change_digest(version, write_id, &author, &after);
        Self {
            version,
            write_id,
            author,
            upserts: edit.upserts,
            removes: edit.removes,
            digest,
        }
    }

    /// Whether the digest matches `after`, the objects after the change.
    #[must_use]
    pub fn matches(&self, after: &Objects) -> bool {
        self.digest == change_digest(self.version, self.write_id, &self.author, after)
    }

    /// Iterates over the keys that the change sets or removes.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.upserts.keys().chain(&self.removes)
    }

    /// Returns the approximate size in memory and on the wire, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let upserts: usize = self.upserts.iter().map(|(k, v)| k.len() + v.len()).sum();
        let removes: usize = self.removes.iter().map(String::len).sum();
        100 + self.author.len() + upserts + removes
    }
}

fn change_digest(version: ConfigVersion, write_id: u128, author: &str, after: &Objects) -> u128 {
    hash128(&[
        b"change",
        &write_id.to_le_bytes(),
        author.as_bytes(),
        &after.digest(version).to_le_bytes(),
    ])
}
