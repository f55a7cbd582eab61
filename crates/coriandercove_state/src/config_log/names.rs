//! Names of the log's and the snapshots' objects in the store.

use super::{LOG_PREFIX, SNAPSHOT_PREFIX};
use coriandercove_base::ConfigVersion;

/// Name of the log object of a version.
pub(crate) fn log_name(version: ConfigVersion) -> String {
    format!("{LOG_PREFIX}{version:012}")
}

/// Name of a snapshot's manifest.
pub(crate) fn manifest_name(version: ConfigVersion) -> String {
    format!("{SNAPSHOT_PREFIX}{version:012}/manifest")
}

/// Name of a snapshot's part.
pub(crate) fn part_name(version: ConfigVersion, index: u32) -> String {
    format!("{SNAPSHOT_PREFIX}{version:012}/{index:04}")
}

/// Version of a log object.
pub(crate) fn log_version(name: &str) -> Option<ConfigVersion> {
    name.strip_prefix(LOG_PREFIX)?.parse().ok()
}

/// Version of a snapshot's object, and whether it is the manifest.
pub(crate) fn snapshot_version(name: &str) -> Option<(ConfigVersion, bool)> {
    let (version, rest) = name.strip_prefix(SNAPSHOT_PREFIX)?.split_once('/')?;
    Some((version.parse().ok()?, rest == "manifest"))
}

/// Versions of the complete snapshots among `names`, ascending.
pub(crate) fn complete_snapshots(names: &[String]) -> Vec<ConfigVersion> {
    let mut versions: Vec<_> = names
        .iter()
        .filter_map(|n| snapshot_version(n))
        .filter_map(|(v, manifest)| manifest.then_some(v))
        .collect();
    versions.sort_unstable();
    versions
}
