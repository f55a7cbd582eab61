//! The configuration as a set of small JSON objects, and the changes between two sets.

use std::collections::BTreeMap;

use coriandercove_base::data;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;

use crate::keys::hex;

/// A set of JSON values by key, in key order. A key is `kind/name`.
///
/// It is a B-tree and no sorted vector, because a deployment of the planned size has about 20,000
/// objects and every accepted change inserts into the set.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Objects {
    map: BTreeMap<String, Object>,
}

/// A value and its cached hash, so that the digest of the set can be computed after a change
/// without hashing all values again.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Object {
    value: Value,
    /// BLAKE3 hash of `value`.
    hash: [u8; 32],
}

impl Object {
    fn new(value: Value) -> Self {
        let mut hasher = blake3::Hasher::new();
        hash_value(&mut hasher, &value);
        let hash = *hasher.finalize().as_bytes();
        Self { value, hash }
    }
}

data! {
    /// The change from one set of objects, or one accepted configuration version, to the next.
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
        self.map.get(key).map(|o| &o.value)
    }

    /// Inserts or replaces an object and returns the replaced value.
    pub fn insert(&mut self, key: String, value: Value) -> Option<Value> {
        let old = self.map.insert(key, Object::new(value));
        old.map(|o| o.value)
    }

    /// Removes an object and returns its value.
    pub fn remove(&mut self, key: &str) -> Option<Value> {
        self.map.remove(key).map(|o| o.value)
    }

    /// All objects in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&str, &Value)> {
        self.map.iter().map(|(k, o)| (k.as_str(), &o.value))
    }

    /// Number of objects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// The change that turns this set into `new`.
    #[must_use]
    pub fn delta(&self, new: &Self) -> Delta {
        let put = new.map.iter().filter(|(k, o)| self.map.get(*k) != Some(o));
        let remove = self.map.keys().filter(|k| !new.map.contains_key(*k));
        Delta {
            put: Self {
                map: put.map(|(k, o)| (k.clone(), o.clone())).collect(),
            },
            remove: remove.cloned().collect(),
        }
    }

    /// Applies a change. Removing a key that does not exist has no effect.
    pub fn apply(&mut self, delta: &Delta) {
        for key in &delta.remove {
            self.map.remove(key);
        }
        for (key, object) in &delta.put.map {
            self.map.insert(key.clone(), object.clone());
        }
    }

    /// BLAKE3 hash over all keys and values, 64 hexadecimal digits.
    ///
    /// It depends neither on white space nor on the order of the members of a JSON object.
    #[must_use]
    pub fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        for (key, object) in &self.map {
            hash_str(&mut hasher, key);
            hasher.update(&object.hash);
        }
        hex(hasher.finalize().as_bytes())
    }

    /// Formats the set as indented JSON with a final newline. Equal sets give equal bytes.
    #[must_use]
    pub fn to_json(&self) -> String {
        // A map with string keys is always representable as JSON.
        let mut text = serde_json::to_string_pretty(self).unwrap_or_default();
        text.push('\n');
        text
    }
}

impl FromIterator<(String, Value)> for Objects {
    fn from_iter<I: IntoIterator<Item = (String, Value)>>(iter: I) -> Self {
        Self {
            map: iter.into_iter().map(|(k, v)| (k, Object::new(v))).collect(),
        }
    }
}

/// In binary formats such as postcard, each value is a string of JSON: such formats are not
/// self-describing and cannot decode a value of unknown type.
impl Serialize for Objects {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        if s.is_human_readable() {
            return s.collect_map(self.iter());
        }
        s.collect_map(self.iter().map(|(k, v)| (k, v.to_string())))
    }
}

impl<'de> Deserialize<'de> for Objects {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        if d.is_human_readable() {
            let map = BTreeMap::<String, Value>::deserialize(d)?;
            return Ok(map.into_iter().collect());
        }
        let map = BTreeMap::<String, String>::deserialize(d)?;
        let parse = |(key, text): (String, String)| match serde_json::from_str(&text) {
            Ok(value) => Ok((key, value)),
            Err(e) => Err(D::Error::custom(format!("object {key}: {e}"))),
        };
        map.into_iter().map(parse).collect()
    }
}

impl IntoIterator for Objects {
    type Item = (String, Value);
    type IntoIter = std::vec::IntoIter<(String, Value)>;

    fn into_iter(self) -> Self::IntoIter {
        let items = self.map.into_iter().map(|(k, o)| (k, o.value));
        items.collect::<Vec<_>>().into_iter()
    }
}

impl Delta {
    /// Whether there is neither an object to put nor one to remove.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.remove.is_empty()
    }
}

fn hash_str(hasher: &mut blake3::Hasher, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}

/// Feeds a value to the hash in a canonical form. Members are sorted, so that equal values give
/// equal bytes. Arrays, objects, strings and other values start with different bytes and carry
/// their lengths, so that different values give different bytes.
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
                hash_str(hasher, name);
                hash_value(hasher, member);
            }
        }
        Value::String(text) => {
            hasher.update(b"s");
            hash_str(hasher, text);
        }
        other => {
            hasher.update(b"v");
            hash_str(hasher, &other.to_string());
        }
    }
}

#[cfg(test)]
mod tests;
