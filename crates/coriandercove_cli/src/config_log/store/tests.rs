use coriandercove_config::{Delta, Objects};
use coriandercove_standin::store::{StoreFaults, StoreSettings, start};
use googletest::prelude::*;
use serde_json::json;

use super::super::{ConfigLog, CreateOutcome, LogEntry, LogError};
use super::StoreLog;

fn entry(version: u64, site: &str) -> LogEntry {
    let put = Objects::from_iter([(format!("site/{site}"), json!({"name": site}))]);
    LogEntry {
        version,
        author: "ume".to_owned(),
        write_id: format!("{:032x}", u128::from(version)),
        digest: String::new(),
        delta: Delta {
            put,
            remove: Vec::new(),
        },
    }
}

/// Guards against a written version that the decoder of the processes rejects, against two
/// operators who both create the same version, and against a lost answer that is reported as a
/// failed write although the version exists.
#[gtest]
fn versions_are_created_once_and_read_back() -> Result<()> {
    let store = start(StoreSettings::default())?;
    let log = StoreLog { url: store.url() };
    actix_rt::System::new().block_on(async {
        expect_that!(log.latest().await, ok(eq(&(0, Objects::new()))));
        let created = log.create(entry(1, "kumamoto")).await;
        expect_that!(created, ok(eq(&CreateOutcome::Created)));
        let again = log.create(entry(1, "fukuoka")).await;
        expect_that!(again, ok(eq(&CreateOutcome::Conflict)));
        store.faults().update(|f| {
            *f = StoreFaults {
                lose_next: 1,
                ..StoreFaults::default()
            };
        });
        let lost = log.create(entry(2, "kagoshima")).await;
        expect_that!(lost, err(matches_pattern!(LogError::AnswerLost { .. })));
        let read = log.get(2).await.or_fail()?.or_fail()?;
        expect_that!(read.write_id, eq(&entry(2, "").write_id));
        expect_that!(read.delta, eq(&entry(2, "kagoshima").delta));
        let (version, objects) = log.latest().await.or_fail()?;
        expect_that!(version, eq(2));
        expect_that!(objects.len(), eq(2));
        expect_that!(log.get(3).await, ok(none()));
        Ok(())
    })
}
