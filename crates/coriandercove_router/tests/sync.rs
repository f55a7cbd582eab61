//! Following the platform's objects through its failures.

#![allow(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use coriandercove_router::dialect::{Batch, Directory, DirectoryError, Item, Topic};
use coriandercove_router::heard::Revisions;
use coriandercove_router::routes::ConfigurationBuilder;
use coriandercove_router::sync::follow;
use futures_util::future::LocalBoxFuture;
use googletest::prelude::*;

use support::Entry;

/// A store whose watches end as a script says and then hear nothing.
struct Script {
    /// Version that a list holds.
    version: Cell<u64>,
    /// Outcomes of the watches, the first one last.
    watches: RefCell<Vec<DirectoryError>>,
    lists: Cell<usize>,
}

fn batch(version: u64) -> Batch {
    let cfg = ConfigurationBuilder::new(version, version).build();
    Batch {
        revision: version,
        last_change: version,
        items: vec![Item::Configuration(Rc::new(cfg))],
    }
}

impl Directory for Script {
    fn list(&self, _: Topic) -> LocalBoxFuture<'_, Result<Batch, DirectoryError>> {
        self.lists.set(self.lists.get() + 1);
        Box::pin(async { Ok(batch(self.version.get())) })
    }

    fn changes(
        &self,
        _: Topic,
        _: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Batch, DirectoryError>> {
        let outcome = self.watches.borrow_mut().pop();
        Box::pin(async move {
            match outcome {
                Some(e) => Err(e),
                None => {
                    tokio::time::sleep(wait).await;
                    Ok(Batch {
                        revision: 0,
                        last_change: 0,
                        items: Vec::new(),
                    })
                }
            }
        })
    }
}

async fn start(watches: Vec<DirectoryError>) -> (Entry, Rc<Script>) {
    let entry = Entry::start(&[]).await;
    let script = Rc::new(Script {
        version: Cell::new(5),
        watches: RefCell::new(watches),
        lists: Cell::new(0),
    });
    actix_rt::spawn(follow(
        Rc::clone(&entry.router),
        Rc::clone(&script) as Rc<dyn Directory>,
        Topic::Configuration,
    ));
    tokio::time::sleep(Duration::from_millis(100)).await;
    (entry, script)
}

fn version(entry: &Entry) -> u64 {
    entry.router.configuration().unwrap().version
}

/// Replays the store that dropped its history: a watch fails, and the one after it hears nothing of
/// a change in between.
#[actix_rt::test]
async fn a_failed_watch_is_followed_by_a_list() {
    let lost = DirectoryError::Unreachable {
        problem: "reset".to_owned(),
    };
    let (entry, script) = start(vec![lost]).await;
    assert_that!(version(&entry), eq(5));
    script.version.set(7);
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert_that!(version(&entry), eq(7));
}

/// Guards against a watch on a silent connection keeping an entry behind its peers.
#[actix_rt::test]
async fn a_peer_that_is_ahead_leads_to_a_list() {
    let (entry, script) = start(Vec::new()).await;
    script.version.set(9);
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_that!(version(&entry), eq(5));
    entry.router.heard.on_peer(Revisions {
        configuration: 9,
        targets: 0,
    });
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert_that!(version(&entry), eq(9));
}

/// Guards against an older answer taking an entry back.
#[actix_rt::test]
async fn an_older_answer_is_dropped() {
    let gone = DirectoryError::HistoryGone;
    let (entry, script) = start(vec![gone]).await;
    script.version.set(3);
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_that!(version(&entry), eq(5));
    assert_that!(script.lists.get(), ge(2));
    let old = ConfigurationBuilder::new(4, 4).build();
    entry.router.apply(Rc::new(old));
    assert_that!(version(&entry), eq(5));
}
