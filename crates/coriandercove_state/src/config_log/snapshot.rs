//! Snapshots of the configuration, split into parts below the store's value limit.

use super::change::Objects;
use coriandercove_base::{ConfigVersion, data};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Highest number of parts of a snapshot that a node accepts; limits the memory it uses.
pub(crate) const MAX_PARTS: u32 = 256;
/// Bytes of keys and texts in one part. JSON escapes can nearly double them, and a stored
/// part may have at most [`super::MAX_OBJECT_BYTES`]. A larger object gets a part of its own.
const PART_BYTES: usize = 400_000;

data! {
    /// Describes a snapshot. It is written after all parts, so its presence shows that they exist.
    #[derive(Eq)]
    pub struct Manifest {
        /// Version of the configuration that the snapshot holds.
        pub version: ConfigVersion,
        /// Number of parts.
        pub parts: u32,
        /// Digest of the objects as of the version.
        pub digest: u128,
        /// Write ids of the last versions, oldest first and ending with `version`. They show whose
        /// change became a version whose log object has been compacted.
        pub write_ids: Vec<u128>,
    }

    /// A part of a snapshot: some of its objects, in key order.
    #[derive(Eq)]
    pub struct SnapshotPart {
        /// Index of the part, from 0 and below the manifest's `parts`.
        pub index: u32,
        /// Key and JSON text of each object.
        pub objects: Vec<(String, Arc<str>)>,
    }
}

impl Manifest {
    /// Returns the write id of `version`; `None` if the manifest does not reach back that far.
    #[must_use]
    pub fn write_id(&self, version: ConfigVersion) -> Option<u128> {
        let distance = usize::try_from(self.version.checked_sub(version)?).ok()?;
        let index = self.write_ids.len().checked_sub(distance + 1)?;
        self.write_ids.get(index).copied()
    }
}

/// Splits `objects` into a manifest and its parts.
pub(crate) fn split(
    version: ConfigVersion,
    objects: &Objects,
    write_ids: Vec<u128>,
) -> (Manifest, Vec<SnapshotPart>) {
    let mut parts = vec![empty_part(0)];
    let mut size = 0;
    for (key, value) in objects.iter() {
        let bytes = key.len() + value.len();
        if size > 0 && size + bytes > PART_BYTES {
            parts.push(empty_part(parts.len()));
            size = 0;
        }
        size += bytes;
        if let Some(last) = parts.last_mut() {
            last.objects.push((key.to_owned(), value.clone()));
        }
    }
    let manifest = Manifest {
        version,
        parts: u32::try_from(parts.len()).unwrap_or(u32::MAX),
        digest: objects.digest(version),
        write_ids,
    };
    (manifest, parts)
}

fn empty_part(index: usize) -> SnapshotPart {
    SnapshotPart {
        index: u32::try_from(index).unwrap_or(u32::MAX),
        objects: Vec::new(),
    }
}

/// Collects the parts of one snapshot.
#[derive(Debug)]
pub(crate) struct Assembly {
    pub(crate) manifest: Manifest,
    parts: BTreeMap<u32, SnapshotPart>,
}

impl Assembly {
    /// Creates an empty collection; `None` if the manifest has no parts or too many.
    pub(crate) fn new(manifest: Manifest) -> Option<Self> {
        (manifest.parts >= 1 && manifest.parts <= MAX_PARTS).then(|| Self {
            manifest,
            parts: BTreeMap::new(),
        })
    }

    /// Adds a part. A part with an index out of range is ignored.
    pub(crate) fn add(&mut self, part: SnapshotPart) {
        if part.index < self.manifest.parts {
            self.parts.insert(part.index, part);
        }
    }

    /// Returns the lowest index of a missing part; `None` if the collection is complete.
    pub(crate) fn first_missing(&self) -> Option<u32> {
        (0..self.manifest.parts).find(|i| !self.parts.contains_key(i))
    }

    /// Returns the manifest and the objects of a complete collection. They are not checked against
    /// the digest.
    pub(crate) fn into_objects(self) -> (Manifest, Objects) {
        let mut objects = Objects::default();
        for (key, value) in self.parts.into_values().flat_map(|p| p.objects) {
            objects.insert(key, value);
        }
        (self.manifest, objects)
    }
}
