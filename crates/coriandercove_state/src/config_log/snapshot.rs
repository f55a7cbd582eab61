//! Snapshots of the configuration, in parts below the store's value limit.

use coriandercove_base::{ConfigVersion, data};
use std::sync::Arc;

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
