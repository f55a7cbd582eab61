//! The workspace's own programs, for tests that run them.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Builds the programs of these packages; returns the folder that holds them.
///
/// `cargo test` does not build the programs of other packages, so that a test would otherwise run one
/// of an earlier version, or none. The programs have the same profile as the running test.
///
/// # Errors
/// The own path is not known, or the programs do not build.
pub fn build(packages: &[&str]) -> io::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let folder = test.parent().and_then(Path::parent);
    let target = folder.and_then(Path::parent);
    let (Some(folder), Some(target)) = (folder, target) else {
        return Err(io::Error::other("the test is not in a target folder"));
    };
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--quiet", "--bins"]);
    build.args(packages.iter().flat_map(|name| ["--package", name]));
    build.arg("--target-dir").arg(target);
    if folder.ends_with("release") {
        build.arg("--release");
    }
    if build.status()?.success() {
        Ok(folder.to_owned())
    } else {
        Err(io::Error::other("the programs do not build"))
    }
}
