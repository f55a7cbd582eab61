//! Names of the objects of the log and of the snapshots in the store.

use super::{LOG_PREFIX, SNAPSHOT_PREFIX};
use coriandercove_base::ConfigVersion;

/// Returns the name of the log object of a version. Names sort in the order of versions.
pub(crate) fn log_name(version: ConfigVersion) -> String {
    format!("{LOG_PREFIX}{version:012}")
}

/// Returns the name of a snapshot's manifest.
pub(crate) fn manifest_name(version: ConfigVersion) -> String {
    format!("{SNAPSHOT_PREFIX}{version:012}/manifest")
}

/// Returns the name of a snapshot's part.
pub(crate) fn part_name(version: ConfigVersion, index: u32) -> String {
    format!("{SNAPSHOT_PREFIX}{version:012}/{index:04}")
}

/// Returns the version in the name of a log object.
pub(crate) fn parse_log_name(name: &str) -> Option<ConfigVersion> {
    name.strip_prefix(LOG_PREFIX)?.parse().ok()
}

/// Returns the version in the name of a snapshot's object, and whether the object is the manifest.
pub(crate) fn parse_snapshot_name(name: &str) -> Option<(ConfigVersion, bool)> {
    let (version, rest) = name.strip_prefix(SNAPSHOT_PREFIX)?.split_once('/')?;
    Some((version.parse().ok()?, rest == "manifest"))
}

/// Returns the versions of the complete snapshots among `names`, which are those with a manifest,
/// in ascending order.
pub(crate) fn complete_snapshots(names: &[String]) -> Vec<ConfigVersion> {
    let mut versions: Vec<_> = names
        .iter()
        .filter_map(|n| parse_snapshot_name(n))
        .filter_map(|(v, manifest)| manifest.then_some(v))
        .collect();
    versions.sort_unstable();
    versions
}
