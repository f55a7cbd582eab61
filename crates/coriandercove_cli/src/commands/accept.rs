//! `coriandercove accept`.

use std::rc::Rc;
use std::time::Duration;

use coriandercove_base::rng::{from_os, random_id};
use coriandercove_base::{ConfigVersion, data};
use coriandercove_config::Objects;
use coriandercove_config::diff::{Difference, diff};

use super::diff::lines;
use super::files;
use crate::args::{AcceptArgs, StoreArgs};
use crate::config_log::{ConfigLog, Created, LogEntry, LogError, connect};
use crate::error::{CliError, Exit};
use crate::output::Output;

/// Reads after a lost answer. The store may be slow for some seconds.
const READ_BACKS: u32 = 5;
/// Pause before the first read after a lost answer; it doubles for each further one.
const READ_BACK_PAUSE: Duration = Duration::from_millis(100);

data! {
    /// What `accept` did.
    #[derive(Eq)]
    pub(crate) struct Accepted {
        /// The latest version now.
        pub(crate) version: ConfigVersion,
        /// Whether this call created it.
        pub(crate) created: bool,
        /// Digest of its objects.
        pub(crate) digest: String,
        /// What the version changes, or would change.
        pub(crate) changes: Vec<Difference>,
    }
}

/// What to accept.
pub(crate) struct Proposal<'a> {
    pub(crate) objects: &'a Objects,
    pub(crate) expect: ConfigVersion,
    pub(crate) author: &'a str,
    pub(crate) dry_run: bool,
}

pub(crate) async fn run(args: &AcceptArgs, out: &mut Output) -> Result<Exit, CliError> {
    let checked = files::answers(&args.answers)?;
    let log = log(&args.store, &checked.answers.platform.store)?;
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
    let text = format!("{}{summary}", lines(&accepted.changes));
    out.result(&text, &accepted);
    Ok(Exit::Success)
}

/// The log at the store of the flags, or else of the answers.
pub(crate) fn log(args: &StoreArgs, answers: &[String]) -> Result<Rc<dyn ConfigLog>, CliError> {
    let urls = if args.store.is_empty() {
        answers
    } else {
        &args.store
    };
    if urls.is_empty() {
        let message = "no store; use --store URL or --answers FILE".to_owned();
        return Err(CliError::Usage { message });
    }
    connect(urls)
}

/// Creates the next version, unless another operator was first.
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

async fn create(
    log: &dyn ConfigLog,
    entry: LogEntry,
    proposal: &Proposal<'_>,
) -> Result<(), CliError> {
    let (version, write_id) = (entry.version, entry.write_id.clone());
    match log.create(entry).await {
        Ok(Created::Accepted) => Ok(()),
        // A retry inside the store client may find the object that its first try created.
        Ok(Created::Exists) | Err(LogError::AnswerLost { .. }) => {
            settle(log, version, &write_id, proposal).await
        }
        Err(e) => Err(e.into()),
    }
}

/// Finds out whose write created the version.
async fn settle(
    log: &dyn ConfigLog,
    version: ConfigVersion,
    write_id: &str,
    proposal: &Proposal<'_>,
) -> Result<(), CliError> {
    let mut pause = READ_BACK_PAUSE;
    for _ in 0..READ_BACKS {
        match log.get(version).await {
            Ok(Some(entry)) if entry.write_id == write_id => return Ok(()),
            Ok(Some(_)) => {
                let (latest, current) = log.latest().await?;
                let changes = diff(&current, proposal.objects);
                return Err(conflict(proposal.expect, latest, &changes));
            }
            // A lost write may still arrive, so its absence is final only after the last read.
            Ok(None) | Err(_) => {
                actix_rt::time::sleep(pause).await;
                pause *= 2;
            }
        }
    }
    let message = format!(
        "it is unknown whether version {version} was accepted, because the store did not confirm \
         it; look for it with `coriandercove history` before another accept"
    );
    Err(CliError::Remote { message })
}

fn conflict(expect: ConfigVersion, latest: ConfigVersion, changes: &[Difference]) -> CliError {
    let message = format!(
        "version {latest} is the latest, not {expect}; nothing was accepted. Compare, then accept \
         with --expect {latest}. These answers would change:\n{}",
        lines(changes).trim_end()
    );
    CliError::Conflict { message }
}

#[cfg(test)]
mod tests;
