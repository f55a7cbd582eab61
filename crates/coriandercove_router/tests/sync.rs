//! Following the platform's objects through failures of its store.

#![allow(
    clippy::unwrap_used,
    reason = "a test fails at the first unexpected value"
)]

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriandercove_router::fleet::Target;
use coriandercove_router::protocol::{
    Batch, Directory, DirectoryError, Item, Malformed, StoreEra, Topic,
};
use coriandercove_router::revision_tracker::{Revisions, StorePosition};
use coriandercove_router::routes::{Configuration, ConfigurationBuilder};
use coriandercove_router::sync::follow;
use futures_util::future::LocalBoxFuture;
use googletest::prelude::*;

use support::Entry;

/// How a scripted watch ends.
enum Watch {
    Fails(DirectoryError),
    Removes(&'static str),
}

fn unreachable() -> DirectoryError {
    DirectoryError::Unreachable {
        problem: "turned away".to_owned(),
    }
}

fn targets(revision: u64, names: &[&str]) -> Batch {
    let target = |name: &&str| {
        Item::Target(Arc::new(Target {
            id: (*name).into(),
            service: "s".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "a".into(),
            slots: 1,
            is_draining: false,
            started_ms: 1,
            warm_up: Duration::ZERO,
            accelerator: "".into(),
            layers: None,
        }))
    };
    Batch {
        era: None,
        revision,
        last_change: revision,
        items: names.iter().map(target).collect(),
    }
}

fn odd(name: &str) -> Item {
    Item::Unreadable {
        name: name.into(),
        problem: Malformed {
            place: "Spec".to_owned(),
            problem: "nested too deeply".to_owned(),
        },
    }
}

/// A store whose watches end as scripted; further ones time out without a change.
struct Script {
    /// Version of the configuration, and store revision, that a list returns.
    version: Cell<u64>,
    /// Outcomes of the watches, taken from the end.
    watches: RefCell<Vec<Watch>>,
    /// Targets that a list returns.
    listed: RefCell<Vec<&'static str>>,
    /// Names of objects in a list that cannot be decoded.
    odd: RefCell<Vec<&'static str>>,
    /// Number of lists that were answered.
    lists: Cell<usize>,
    /// Whether every call fails.
    is_down: Cell<bool>,
}

fn batch(version: u64) -> Batch {
    let cfg = ConfigurationBuilder::new(version, version).build();
    Batch {
        era: None,
        revision: version,
        last_change: version,
        items: vec![Item::Configuration(Rc::new(cfg))],
    }
}

impl Directory for Script {
    fn list(&self, topic: Topic) -> LocalBoxFuture<'_, Result<Batch, DirectoryError>> {
        if self.is_down.get() {
            return Box::pin(async { Err(unreachable()) });
        }
        self.lists.set(self.lists.get() + 1);
        Box::pin(async move {
            match topic {
                Topic::Configuration => Ok(batch(self.version.get())),
                Topic::Targets => {
                    let mut batch = targets(self.version.get(), &self.listed.borrow());
                    batch
                        .items
                        .extend(self.odd.borrow().iter().map(|name| odd(name)));
                    Ok(batch)
                }
            }
        })
    }

    fn changes(
        &self,
        _: Topic,
        _: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Batch, DirectoryError>> {
        if self.is_down.get() {
            return Box::pin(async { Err(unreachable()) });
        }
        let outcome = self.watches.borrow_mut().pop();
        Box::pin(async move {
            match outcome {
                Some(Watch::Fails(e)) => Err(e),
                Some(Watch::Removes(name)) => Ok(Batch {
                    era: None,
                    revision: self.version.get() + 1,
                    last_change: self.version.get() + 1,
                    items: vec![Item::Removed { name: name.into() }],
                }),
                None => {
                    tokio::time::sleep(wait).await;
                    Ok(Batch {
                        era: None,
                        revision: 0,
                        last_change: 0,
                        items: Vec::new(),
                    })
                }
            }
        })
    }

    fn decode_configuration(&self, _: &[u8]) -> Result<Configuration, Malformed> {
        Ok(ConfigurationBuilder::new(1, 0).build())
    }

    fn last_era(&self) -> Option<StoreEra> {
        None
    }
}

async fn start(topic: Topic, watches: Vec<Watch>) -> (Entry, Rc<Script>) {
    let entry = Entry::start(&[]).await;
    let script = Rc::new(Script {
        version: Cell::new(5),
        watches: RefCell::new(watches),
        listed: RefCell::new(vec!["t1", "t2"]),
        odd: RefCell::default(),
        lists: Cell::new(0),
        is_down: Cell::new(false),
    });
    actix_rt::spawn(follow(
        Rc::clone(&entry.router),
        Rc::clone(&script) as Rc<dyn Directory>,
        topic,
    ));
    tokio::time::sleep(Duration::from_millis(100)).await;
    (entry, script)
}

fn version(entry: &Entry) -> u64 {
    entry.router.configuration().unwrap().version
}

/// Guards against missing a change after the store dropped its history: a watch fails, and the next
/// one reports nothing of a change in between.
#[actix_rt::test]
async fn a_failed_watch_is_followed_by_a_list() {
    let lost = DirectoryError::Unreachable {
        problem: "reset".to_owned(),
    };
    let (entry, script) = start(Topic::Configuration, vec![Watch::Fails(lost)]).await;
    assert_that!(version(&entry), eq(5));
    script.version.set(7);
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert_that!(version(&entry), eq(7));
}

/// Guards against an entry that stays behind its peers because of a watch on a silent connection.
#[actix_rt::test]
async fn a_peer_that_is_ahead_leads_to_a_list() {
    let (entry, script) = start(Topic::Configuration, Vec::new()).await;
    script.version.set(9);
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_that!(version(&entry), eq(5));
    entry.router.revisions.on_peer_position(StorePosition {
        era: None,
        revisions: Revisions {
            configuration: 9,
            targets: 0,
        },
    });
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert_that!(version(&entry), eq(9));
}

/// Guards against an older answer restoring an outdated state.
#[actix_rt::test]
async fn an_older_answer_is_dropped() {
    let gone = DirectoryError::HistoryGone;
    let (entry, script) = start(Topic::Configuration, vec![Watch::Fails(gone)]).await;
    script.version.set(3);
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_that!(version(&entry), eq(5));
    assert_that!(script.lists.get(), ge(2));
    let old = ConfigurationBuilder::new(4, 4).build();
    entry.router.apply(Rc::new(old));
    assert_that!(version(&entry), eq(5));
}

fn is_listed(entry: &Entry, id: &str) -> bool {
    entry.router.fleet.borrow().get(id).is_some()
}

/// Guards against keeping a target that leaves after an outage: its registration did not lapse
/// during the outage, so that it must be removed at once (found in the scenario hyotan-signs
/// trouble-1, seed 626293580639, where the store refused an entry for 7 s).
#[actix_rt::test]
async fn a_target_that_leaves_after_an_outage_is_left_at_once() {
    let (entry, script) = start(Topic::Targets, vec![Watch::Removes("t1")]).await;
    script.is_down.set(true);
    tokio::time::sleep(Duration::from_millis(2600)).await;
    script.is_down.set(false);
    while script.lists.get() < 2 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_that!(is_listed(&entry, "t1"), eq(true));
    tokio::time::sleep(Duration::from_millis(1300)).await;
    assert_that!(is_listed(&entry, "t1"), eq(false));
    assert_that!(is_listed(&entry, "t2"), eq(true));
}

/// Guards against dropping targets, whose registration lapsed while the store was unavailable,
/// before they have registered again, and against keeping those that are gone.
#[actix_rt::test]
async fn lapsed_targets_have_two_seconds_to_return() {
    let (entry, script) = start(Topic::Targets, Vec::new()).await;
    script.is_down.set(true);
    tokio::time::sleep(Duration::from_millis(2600)).await;
    script.listed.borrow_mut().clear();
    script.is_down.set(false);
    while script.lists.get() < 2 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(Duration::from_millis(1000)).await;
    assert_that!(is_listed(&entry, "t1"), eq(true));
    tokio::time::sleep(Duration::from_millis(1700)).await;
    assert_that!(is_listed(&entry, "t1"), eq(false));
}

/// Guards against a line for an odd object at each list, and against none for it when it comes back.
#[actix_rt::test]
async fn an_odd_object_is_reported_once_while_it_stands() {
    let gone = || Watch::Fails(DirectoryError::HistoryGone);
    let (entry, script) = start(Topic::Targets, (0..8).map(|_| gone()).collect()).await;
    let reported = || {
        let text = entry.router.metrics.registry.encode();
        let counts = text.lines().filter_map(|l| {
            l.strip_prefix("coriandercove_unreadable_objects_total{topic=\"targets\"} ")
        });
        counts.map(|n| n.parse::<u64>().unwrap()).sum::<u64>()
    };
    let lists = async |n: usize| {
        let until = script.lists.get() + n;
        while script.lists.get() < until {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    script.odd.borrow_mut().push("t3");
    lists(3).await;
    assert_that!(reported(), eq(1));
    assert_that!(
        is_listed(&entry, "t1") && !is_listed(&entry, "t3"),
        eq(true)
    );
    script.odd.borrow_mut().clear();
    lists(2).await;
    script.odd.borrow_mut().push("t3");
    lists(2).await;
    assert_that!(reported(), eq(2));
}
