//! Builds the programs of the workspace for tests that run them.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Builds the programs of `packages` and returns the folder that holds them.
///
/// `cargo test` does not build the programs of other packages, so that without this call a test
/// would run an outdated program or find none. The programs are built with the profile of the
/// running test.
///
/// # Errors
/// If the path of the running test is not known or not inside a target folder, or if the build
/// fails.
pub fn build(packages: &[&str]) -> io::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let folder = test.parent().and_then(Path::parent);
    let target = folder.and_then(Path::parent);
    let (Some(folder), Some(target)) = (folder, target) else {
        return Err(io::Error::other(format!(
            "{}: the test program is not in a target folder",
            test.display()
        )));
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
        Err(io::Error::other(format!(
            "cargo build failed for the programs of {packages:?}"
        )))
    }
}
