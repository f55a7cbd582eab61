//! The configuration as a set of small objects, and the changes between two sets.

use std::collections::BTreeMap;

use coriandercove_base::data;
use serde_json::Value;

use crate::keys::hex;

data! {
    /// A set of objects by key, in key order. A key is `kind/name`.
    ///
    /// A B-tree instead of a sorted vector, because the planned size has some 20,000 objects
    /// and every accepted change inserts into the set.
    #[derive(Default, Eq)]
    #[serde(transparent)]
    pub struct Objects {
        map: BTreeMap<String, Value>,
    }

    /// What one accepted version changes.
    #[derive(Default, Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Delta {
        /// Objects that are new or replaced.
        #[serde(default)]
        pub put: Objects,
        /// Keys of objects that are removed, sorted.
        #[serde(default)]
        pub remove: Vec<String>,
    }
}

impl Objects {
    /// An empty set.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            map: BTreeMap::new(),
        }
    }

    /// The object at `key`.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.map.get(key)
    }

    /// Sets an object and returns the one it replaces.
    pub fn insert(&mut self, key: String, value: Value) -> Option<Value> {
        self.map.insert(key, value)
    }

    /// Removes an object and returns it.
    pub fn remove(&mut self, key: &str) -> Option<Value> {
        self.map.remove(key)
    }

    /// All objects in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&str, &Value)> {
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

    /// The change that turns this set into `new`.
    #[must_use]
    pub fn delta(&self, new: &Self) -> Delta {
        let put = new.iter().filter(|(k, v)| self.get(k) != Some(v));
        let remove = self.map.keys().filter(|k| !new.map.contains_key(*k));
        Delta {
            put: put.map(|(k, v)| (k.to_owned(), v.clone())).collect(),
            remove: remove.cloned().collect(),
        }
    }

    /// Applies a change. Removing a key that does not exist has no effect.
    pub fn apply(&mut self, delta: &Delta) {
        for key in &delta.remove {
            self.map.remove(key);
        }
        for (key, value) in delta.put.iter() {
            self.map.insert(key.to_owned(), value.clone());
        }
    }

    /// BLAKE3 hash over all keys and values, 64 hexadecimal digits.
    ///
    /// It depends neither on white space nor on the order of members within an object.
    #[must_use]
    pub fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        for (key, value) in &self.map {
            hash_text(&mut hasher, key);
            hash_value(&mut hasher, value);
        }
        hex(hasher.finalize().as_bytes())
    }

    /// The set as indented JSON with a final newline; the same bytes for equal sets.
    #[must_use]
    pub fn to_json(&self) -> String {
        // A map with text keys always has a JSON form.
        let mut text = serde_json::to_string_pretty(&self.map).unwrap_or_default();
        text.push('\n');
        text
    }
}

impl FromIterator<(String, Value)> for Objects {
    fn from_iter<I: IntoIterator<Item = (String, Value)>>(iter: I) -> Self {
        Self {
            map: iter.into_iter().collect(),
        }
    }
}

impl IntoIterator for Objects {
    type Item = (String, Value);
    type IntoIter = std::collections::btree_map::IntoIter<String, Value>;

    fn into_iter(self) -> Self::IntoIter {
        self.map.into_iter()
    }
}

impl Delta {
    /// Whether the change changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.remove.is_empty()
    }
}

fn hash_text(hasher: &mut blake3::Hasher, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}

/// Each kind of value starts with a different byte, and members are sorted, so that
/// different values never feed the same bytes to the hash.
fn hash_value(hasher: &mut blake3::Hasher, value: &Value) {
    match value {
        Value::Array(items) => {
            hasher
                .update(b"a")
                .update(&(items.len() as u64).to_le_bytes());
            items.iter().for_each(|item| hash_value(hasher, item));
        }
        Value::Object(members) => {
            hasher
                .update(b"o")
                .update(&(members.len() as u64).to_le_bytes());
            let mut sorted: Vec<_> = members.iter().collect();
            sorted.sort_by_key(|(name, _)| name.as_str());
            for (name, member) in sorted {
                hash_text(hasher, name);
                hash_value(hasher, member);
            }
        }
        Value::String(text) => {
            hasher.update(b"s");
            hash_text(hasher, text);
        }
        other => {
            hasher.update(b"v");
            hash_text(hasher, &other.to_string());
        }
    }
}

#[cfg(test)]
mod tests;
