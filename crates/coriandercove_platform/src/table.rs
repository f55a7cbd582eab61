//! The objects of a store with versions, conditional writes and watches, without I/O.

use std::collections::BTreeMap;
use std::ops::Bound;

use bytes::Bytes;

use crate::store::{
    Change, Listing, MAX_VALUE, Object, StoreError, Version, WatchBatch, check_key, check_prefix,
};

/// Largest number of objects or changes in one answer.
const MAX_PAGE: usize = 1_000;
/// Largest total of value bytes in one answer. A single larger value is still returned, alone.
const MAX_PAGE_BYTES: usize = 4 << 20;
/// Number of deletions that are kept for watches.
const MAX_TOMBSTONES: usize = 10_000;

/// All objects of a store.
#[derive(Debug, Clone, Default)]
pub struct ObjectTable {
    objects: BTreeMap<String, (Version, Bytes)>,
    /// Revision of the deletion of each deleted object.
    tombstones: BTreeMap<String, Version>,
    /// Key of each object and tombstone by its version.
    by_version: BTreeMap<Version, String>,
    revision: Version,
    /// Revision of the latest deletion that has been discarded. A watch from before it would miss
    /// the deletion.
    compacted: Version,
}

impl ObjectTable {
    /// Returns the revision of the latest write; 0 before the first.
    #[must_use]
    pub const fn revision(&self) -> Version {
        self.revision
    }

    /// Returns the number of objects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Returns whether there is no object.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// Reads an object.
    ///
    /// # Errors
    /// Returns [`StoreError::NotFound`] if it does not exist.
    pub fn get(&self, key: &str) -> Result<Object, StoreError> {
        check_key(key)?;
        let (version, value) = self.objects.get(key).ok_or(StoreError::NotFound)?;
        Ok(Object {
            key: key.to_owned(),
            version: *version,
            value: value.clone(),
        })
    }

    /// Reads one page of the objects whose keys begin with `prefix` and come after `start_after`.
    ///
    /// # Errors
    /// Returns [`StoreError::InvalidKey`] if the prefix is not allowed.
    pub fn list(&self, prefix: &str, start_after: &str) -> Result<Listing, StoreError> {
        check_prefix(prefix)?;
        let mut page = Listing {
            revision: self.revision,
            ..Listing::default()
        };
        let start = if start_after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(start_after)
        };
        let mut bytes = 0;
        for (key, (version, value)) in self.objects.range::<str, _>((start, Bound::Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            bytes += value.len();
            if is_full(page.objects.len(), bytes) {
                page.more = true;
                break;
            }
            page.objects.push(Object {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            });
        }
        Ok(page)
    }

    /// Replaces the value of an object that has the version `expected`, or creates the object if
    /// `expected` is `None`. Returns the new version.
    ///
    /// # Errors
    /// Returns [`StoreError::Conflict`] if the object has another version.
    pub fn put(
        &mut self,
        key: &str,
        expected: Option<Version>,
        value: Bytes,
    ) -> Result<Version, StoreError> {
        check_key(key)?;
        if value.len() > MAX_VALUE {
            return Err(StoreError::TooLarge { limit: MAX_VALUE });
        }
        self.check_version(key, expected)?;
        let version = self.next_version(key);
        self.objects.insert(key.to_owned(), (version, value));
        Ok(version)
    }

    /// Deletes an object that has the version `expected`.
    ///
    /// # Errors
    /// Returns [`StoreError::Conflict`] if the object has another version.
    pub fn delete(&mut self, key: &str, expected: Version) -> Result<(), StoreError> {
        check_key(key)?;
        self.check_version(key, Some(expected))?;
        let version = self.next_version(key);
        self.objects.remove(key);
        self.tombstones.insert(key.to_owned(), version);
        self.compact();
        Ok(())
    }

    fn check_version(&self, key: &str, expected: Option<Version>) -> Result<(), StoreError> {
        let current = self.objects.get(key).map(|(v, _)| *v);
        if current == expected {
            Ok(())
        } else {
            Err(StoreError::Conflict { current })
        }
    }

    /// Raises the revision and makes it the version of the key.
    fn next_version(&mut self, key: &str) -> Version {
        let live = self.objects.get(key).map(|(v, _)| *v);
        let deleted = self.tombstones.remove(key);
        if let Some(old) = live.or(deleted) {
            self.by_version.remove(&old);
        }
        self.revision += 1;
        self.by_version.insert(self.revision, key.to_owned());
        self.revision
    }

    /// Discards the oldest deletion if more than [`MAX_TOMBSTONES`] are kept.
    fn compact(&mut self) {
        if self.tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        let oldest = self.tombstones.iter().min_by_key(|(_, v)| **v);
        if let Some((key, version)) = oldest.map(|(k, v)| (k.clone(), *v)) {
            self.tombstones.remove(&key);
            self.by_version.remove(&version);
            self.compacted = version;
        }
    }

    /// Returns one page of the changes after the revision `after`; empty if there are none.
    ///
    /// # Errors
    /// Returns [`StoreError::Compacted`] if a change after `after` has been discarded, or if
    /// `after` is higher than the current revision.
    pub fn changes(&self, prefix: &str, after: Version) -> Result<WatchBatch, StoreError> {
        check_prefix(prefix)?;
        if after < self.compacted || after > self.revision {
            let oldest = self.compacted;
            return Err(StoreError::Compacted { oldest });
        }
        let mut batch = WatchBatch {
            revision: self.revision,
            changes: Vec::new(),
        };
        let mut bytes = 0;
        for (version, key) in self.by_version.range(after + 1..) {
            if !key.starts_with(prefix) {
                continue;
            }
            let value = self.objects.get(key).map(|(_, v)| v.clone());
            bytes += value.as_ref().map_or(0, Bytes::len);
            if is_full(batch.changes.len(), bytes) {
                batch.revision = version - 1;
                break;
            }
            batch.changes.push(Change {
                key: key.clone(),
                version: *version,
                value,
            });
        }
        Ok(batch)
    }
}

/// Returns whether a page of `items` items has no room for another one that would bring it to
/// `bytes` bytes.
const fn is_full(items: usize, bytes: usize) -> bool {
    items == MAX_PAGE || (items > 0 && bytes > MAX_PAGE_BYTES)
}

#[cfg(test)]
mod tests;
