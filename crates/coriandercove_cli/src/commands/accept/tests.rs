//! Tests of accepting versions in an in-memory log.

use coriandercove_config::Objects;
use coriandercove_config::answers::{TEMPLATE, parse};

use super::{Proposal, accept};
use crate::commands::history;
use crate::config_log::{ConfigLog as _, Fault, MemoryLog};
use crate::error::{CliError, Exit};

fn objects(weight: u32) -> Objects {
    let text = TEMPLATE.replacen("weight: 1", &format!("weight: {weight}"), 1);
    parse("answers", &text).unwrap().config.to_objects()
}

fn proposal(objects: &Objects, expect: u64) -> Proposal<'_> {
    Proposal {
        objects,
        expect,
        author: "anna",
        dry_run: false,
    }
}

/// Guards against version numbers that skip, a version that misses a change, and a stored digest
/// that differs from that of the objects.
#[actix_rt::test]
async fn versions_follow_each_other() {
    let log = MemoryLog::default();
    let (first, second) = (objects(1), objects(2));
    let one = accept(&log, &proposal(&first, 0)).await.unwrap();
    assert_eq!((one.version, one.created), (1, true));
    let two = accept(&log, &proposal(&second, 1)).await.unwrap();
    assert_eq!(two.version, 2);
    let change = two.changes[0].to_string();
    assert_eq!(change, "~ account/workshop weight: 1 -> 2");
    let (version, latest) = log.latest().await.unwrap();
    assert_eq!((version, latest.digest()), (2, second.digest()));
    let entries = history::entries(&log, 10).await.unwrap();
    let versions: Vec<u64> = entries.iter().map(|e| e.version).collect();
    assert_eq!(versions, [2, 1]);
    assert_eq!(entries[0].delta.put.len(), 1);
    assert_eq!(history::entries(&log, 1).await.unwrap().len(), 1);
}

/// Guards against an operator who overwrites a change of another operator without having seen it.
#[actix_rt::test]
async fn the_loser_of_a_race_gets_the_difference() {
    let log = MemoryLog::default();
    accept(&log, &proposal(&objects(1), 0)).await.unwrap();
    accept(&log, &proposal(&objects(2), 1)).await.unwrap();
    let e = accept(&log, &proposal(&objects(3), 1)).await.unwrap_err();
    assert_eq!(e.exit(), Exit::Conflict);
    let text = e.to_string();
    assert!(text.contains("--expect 2"), "{text}");
    assert!(text.contains("~ account/workshop weight: 2 -> 3"), "{text}");
    assert_eq!(log.latest().await.unwrap().0, 2);
}

/// Guards against an accept without changes or a dry run that creates a version.
#[actix_rt::test]
async fn nothing_is_written_without_a_change() {
    let log = MemoryLog::default();
    let (first, second) = (objects(1), objects(2));
    accept(&log, &proposal(&first, 0)).await.unwrap();
    let same = accept(&log, &proposal(&first, 1)).await.unwrap();
    assert!(!same.created && same.changes.is_empty());
    let mut dry = proposal(&second, 1);
    dry.dry_run = true;
    let dry = accept(&log, &dry).await.unwrap();
    assert!(!dry.created && dry.changes.len() == 1);
    assert_eq!(log.latest().await.unwrap().0, 1);
}

/// Guards against a lost answer that is reported as a failure although the write took effect.
#[actix_rt::test]
async fn a_lost_answer_is_settled_by_reading_back() {
    let log = MemoryLog::default();
    log.fail_next(Fault::LoseAnswer);
    let one = accept(&log, &proposal(&objects(1), 0)).await.unwrap();
    assert_eq!((one.version, one.created), (1, true));
}

/// Guards against a lost write that is reported as accepted.
#[actix_rt::test]
async fn a_lost_write_is_not_reported_as_accepted() {
    let log = MemoryLog::default();
    log.fail_next(Fault::LoseWrite);
    let e = accept(&log, &proposal(&objects(1), 0)).await.unwrap_err();
    assert!(matches!(e, CliError::Remote { .. }));
    assert!(e.to_string().contains("unknown"), "{e}");
}
