//! Snapshots of the configuration, in parts below the store's value limit.

use super::change::Objects;
use coriandercove_base::{ConfigVersion, data};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Most parts of a snapshot that a node accepts, which bounds its memory.
pub(crate) const MAX_PARTS: u32 = 256;
/// Text bytes of one part. JSON escapes can nearly double it, and the store takes 1 MB.
const PART_BYTES: usize = 400_000;

data! {
    /// Describes a snapshot; written after all its parts, so its presence shows that they are there.
    #[derive(Eq)]
    pub struct Manifest {
        /// Version of the snapshot.
        pub version: ConfigVersion,
        /// Number of parts.
        pub parts: u32,
        /// Digest of the objects as of the version.
        pub digest: u128,
        /// Write ids of the last versions, ending with `version`, oldest first. They settle an
        /// accept whose log object has been compacted.
        pub write_ids: Vec<u128>,
    }

    /// Some of the objects of a snapshot, in key order.
    #[derive(Eq)]
    pub struct SnapshotPart {
        /// From 0 to the manifest's `parts`, exclusive.
        pub index: u32,
        /// Objects, key and JSON text.
        pub objects: Vec<(String, Arc<str>)>,
    }
}

impl Manifest {
    /// Write id of `version`, if the manifest reaches back that far.
    #[must_use]
    pub fn write_id(&self, version: ConfigVersion) -> Option<u128> {
        let back = usize::try_from(self.version.checked_sub(version)?).ok()?;
        let index = self.write_ids.len().checked_sub(back + 1)?;
        self.write_ids.get(index).copied()
    }
}

/// Splits `objects` into a manifest and its parts.
pub(crate) fn split(
    version: ConfigVersion,
    objects: &Objects,
    write_ids: Vec<u128>,
) -> (Manifest, Vec<SnapshotPart>) {
    let mut parts = vec![part(0)];
    let mut size = 0;
    for (key, value) in objects.iter() {
        let bytes = key.len() + value.len();
        if size > 0 && size + bytes > PART_BYTES {
            parts.push(part(parts.len()));
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

fn part(index: usize) -> SnapshotPart {
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
    /// An empty collection, or `None` if the manifest is not plausible.
    pub(crate) fn new(manifest: Manifest) -> Option<Self> {
        (manifest.parts >= 1 && manifest.parts <= MAX_PARTS).then(|| Self {
            manifest,
            parts: BTreeMap::new(),
        })
    }

    /// Adds a part; one with an index out of range is ignored.
    pub(crate) fn add(&mut self, part: SnapshotPart) {
        if part.index < self.manifest.parts {
            self.parts.insert(part.index, part);
        }
    }

    /// The lowest index that is missing.
    pub(crate) fn missing(&self) -> Option<u32> {
        (0..self.manifest.parts).find(|i| !self.parts.contains_key(i))
    }

    /// The objects of a complete collection; not yet checked against the digest.
    pub(crate) fn objects(self) -> (Manifest, Objects) {
        let mut objects = Objects::default();
        for (key, value) in self.parts.into_values().flat_map(|p| p.objects) {
            objects.insert(key, value);
        }
        (self.manifest, objects)
    }
}
