//! `coriandercove accept`: creates the next configuration version.

use std::rc::Rc;
use std::time::Duration;

use coriandercove_base::rng::{from_os, random_id};
use coriandercove_base::{ConfigVersion, data};
use coriandercove_config::Objects;
use coriandercove_config::diff::{Difference, diff};

use super::diff::format_differences;
use super::files;
use crate::args::{AcceptArgs, StoreArgs};
use crate::config_log::{ConfigLog, CreateOutcome, LogEntry, LogError, connect};
use crate::error::{CliError, Exit};
use crate::output::Output;

/// Number of reads that check whether an unconfirmed write created the version. There are several,
/// because the store may be slow for some seconds.
const READ_BACK_ATTEMPTS: u32 = 5;
/// Pause after the first such read that does not settle the outcome; it doubles for each further
/// one.
const READ_BACK_PAUSE: Duration = Duration::from_millis(100);

data! {
    /// Result of `accept`, as its JSON output shows it.
    #[derive(Eq)]
    pub(crate) struct Accepted {
        /// The latest version after the command.
        pub(crate) version: ConfigVersion,
        /// Whether the command created it.
        pub(crate) created: bool,
        /// Digest of the proposed objects.
        pub(crate) digest: String,
        /// Differences between the previously latest version and the proposed objects.
        pub(crate) changes: Vec<Difference>,
    }
}

/// A configuration to accept as the next version.
pub(crate) struct Proposal<'a> {
    /// All objects of the configuration.
    pub(crate) objects: &'a Objects,
    /// Version that must be the latest; 0 for an empty log.
    pub(crate) expect: ConfigVersion,
    /// Operator who is named in the log.
    pub(crate) author: &'a str,
    /// Whether to compute the differences only.
    pub(crate) dry_run: bool,
}

pub(crate) async fn run(args: &AcceptArgs, out: &mut Output) -> Result<Exit, CliError> {
    let checked = files::answers(&args.answers)?;
    let log = open_log(&args.store, &checked.answers.platform.store)?;
    let proposal = Proposal {
        objects: &checked.config.to_objects(),
        expect: args.expect,
        author: &args.author,
        dry_run: args.dry_run,
    };
    let accepted = accept(&*log, &proposal).await?;
    let summary = match (accepted.created, accepted.changes.len()) {
        (true, n) => format!("accepted version {} with {n} changes\n", accepted.version),
        (false, 0) => format!("version {} is already in force\n", accepted.version),
        (false, n) => format!("version {} would get {n} changes\n", accepted.version + 1),
    };
    let text = format!("{}{summary}", format_differences(&accepted.changes));
    out.result(&text, &accepted);
    Ok(Exit::Success)
}

/// Returns the log in the store that the flags name, or else in the store that the answers name.
pub(crate) fn open_log(
    args: &StoreArgs,
    answers: &[String],
) -> Result<Rc<dyn ConfigLog>, CliError> {
    let urls = if args.store.is_empty() {
        answers
    } else {
        &args.store
    };
    if urls.is_empty() {
        let message = "no store is given; use --store URL or --answers FILE".to_owned();
        return Err(CliError::Usage { message });
    }
    connect(urls)
}

/// Creates the next version, or fails with [`CliError::Conflict`] if the expected version is not
/// the latest or another operator creates the next one first.
pub(crate) async fn accept(
    log: &dyn ConfigLog,
    proposal: &Proposal<'_>,
) -> Result<Accepted, CliError> {
    let (latest, current) = log.latest().await?;
    let changes = diff(&current, proposal.objects);
    if latest != proposal.expect {
        return Err(conflict(proposal.expect, latest, &changes));
    }
    let digest = proposal.objects.digest();
    let mut accepted = Accepted {
        version: latest,
        created: false,
        digest: digest.clone(),
        changes,
    };
    if accepted.changes.is_empty() || proposal.dry_run {
        return Ok(accepted);
    }
    let entry = LogEntry {
        version: latest + 1,
        author: proposal.author.to_owned(),
        write_id: format!("{:032x}", random_id(&mut from_os())),
        digest,
        delta: current.delta(proposal.objects),
    };
    create(log, entry, proposal).await?;
    accepted.version = latest + 1;
    accepted.created = true;
    Ok(accepted)
}

/// Writes the entry of the next version and makes sure that it was this write that took effect.
async fn create(
    log: &dyn ConfigLog,
    entry: LogEntry,
    proposal: &Proposal<'_>,
) -> Result<(), CliError> {
    let (version, write_id) = (entry.version, entry.write_id.clone());
    match log.create(entry).await {
        Ok(CreateOutcome::Created) => Ok(()),
        // `Conflict` may be due to this very write: a retry in the store client may find the object
        // that its first attempt created.
        Ok(CreateOutcome::Conflict) | Err(LogError::AnswerLost { .. }) => {
            resolve_outcome(log, version, &write_id, proposal).await
        }
        Err(e) => Err(e.into()),
    }
}

/// Reads the version back to find out whether this write or that of another operator created it.
async fn resolve_outcome(
    log: &dyn ConfigLog,
    version: ConfigVersion,
    write_id: &str,
    proposal: &Proposal<'_>,
) -> Result<(), CliError> {
    let mut pause = READ_BACK_PAUSE;
    for _ in 0..READ_BACK_ATTEMPTS {
        match log.get(version).await {
            Ok(Some(entry)) if entry.write_id == write_id => return Ok(()),
            Ok(Some(_)) => {
                let (latest, current) = log.latest().await?;
                let changes = diff(&current, proposal.objects);
                return Err(conflict(proposal.expect, latest, &changes));
            }
            // A delayed write may still reach the store, so a missing version does not show that
            // the write failed; the outcome stays unknown after the last read.
            Ok(None) | Err(_) => {
                actix_rt::time::sleep(pause).await;
                pause *= 2;
            }
        }
    }
    let message = format!(
        "it is unknown whether version {version} was accepted, because the store did not confirm \
         it; check with `coriandercove history` before you accept again"
    );
    Err(CliError::Remote { message })
}

fn conflict(expect: ConfigVersion, latest: ConfigVersion, changes: &[Difference]) -> CliError {
    let message = format!(
        "version {latest} is the latest, not {expect}; nothing was accepted. Review the \
         differences, then accept with --expect {latest}. Compared with version {latest}, the \
         answers would change:\n{}",
        format_differences(changes).trim_end()
    );
    CliError::Conflict { message }
}

#[cfg(test)]
mod tests;
