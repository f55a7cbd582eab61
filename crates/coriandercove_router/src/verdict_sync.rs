//! Keeps the verdicts on crashing marks in the platform's store, where they outlast a restart of all
//! entries and where operators see and lift them.
//!
//! Every entry lists the verdicts once after its start. Only the leader writes: verdicts that the
//! store lacks, and the removal of those that have ended. A verdict that the store held and holds no
//! more was lifted by an operator; the entries tell each other. After the store came back from an older
//! copy it may lack verdicts that nobody lifted, so that what it held before counts no more.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_util::future::LocalBoxFuture;
use slog::{info, warn};

use coriandercove_base::Time;
use coriandercove_base::timer::{Subscription, TimerService};

use crate::peers::Peers;
use crate::protocol::{DirectoryError, StoreEra};
use crate::quarantine::mark::Mark;
use crate::quarantine::verdicts::{VERDICT_LIFETIME, VerdictReport};
use crate::state::Router;

/// Interval at which the verdicts are compared with the store.
const SYNC_PERIOD: Duration = Duration::from_secs(1);
/// Interval at which the leader lists the store while verdicts are in force.
const LIST_PERIOD: Duration = Duration::from_secs(5);

/// A verdict as the store holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredVerdict {
    /// The mark in quarantine.
    pub mark: Mark,
    /// Number that identifies the verdict.
    pub stamp: u64,
    /// End of the verdict, in Unix milliseconds.
    pub until_ms: u64,
}

/// The verdicts that the store holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VerdictList {
    /// Era of the list; none if the answer names none that can be read.
    pub era: Option<StoreEra>,
    /// Every verdict that can be decoded.
    pub verdicts: Vec<StoredVerdict>,
}

/// Lists and changes the verdicts in the platform's store.
pub trait VerdictStore {
    /// Lists the verdicts.
    fn list_verdicts(&self) -> LocalBoxFuture<'_, Result<VerdictList, DirectoryError>>;

    /// Adds a verdict; one that the store has for the mark already stays.
    fn add_verdict(&self, verdict: StoredVerdict)
    -> LocalBoxFuture<'_, Result<(), DirectoryError>>;

    /// Removes the verdict on a mark, if the store has one.
    fn remove_verdict(&self, mark: Mark) -> LocalBoxFuture<'_, Result<(), DirectoryError>>;
}

/// Unix time in milliseconds; 0 if the clock is set before 1970.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Change of the store, or of the verdicts in force, that a comparison of both calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Put the stored verdict in force.
    Apply(VerdictReport),
    /// Add a verdict in force to the store.
    Add(StoredVerdict),
    /// Remove a verdict that has ended or was lifted from the store.
    Remove(Mark),
    /// Lift a verdict that an operator removed from the store.
    Lift(Mark),
}

/// Compares the verdicts in force with those in the store. `known` are the marks that the store was
/// seen to hold, sorted.
fn compare(
    in_force: &[VerdictReport],
    stored: &[StoredVerdict],
    known: &[Mark],
    unix_ms: u64,
) -> Vec<Step> {
    let is_in_force = |mark| in_force.iter().any(|v| v.mark == mark);
    let of_stored = stored.iter().filter(|s| !is_in_force(s.mark)).map(|s| {
        let left = s.until_ms.saturating_sub(unix_ms);
        // A verdict that was in force here has been lifted or has ended.
        if left == 0 || known.binary_search(&s.mark).is_ok() {
            return Step::Remove(s.mark);
        }
        let longest = u32::try_from(VERDICT_LIFETIME.as_millis()).unwrap_or(u32::MAX);
        Step::Apply(VerdictReport {
            mark: s.mark,
            stamp: s.stamp,
            is_lifted: false,
            remaining_ms: u32::try_from(left).unwrap_or(longest).min(longest),
        })
    });
    let is_stored = |mark| stored.iter().any(|s| s.mark == mark);
    let of_force = in_force.iter().filter(|v| !is_stored(v.mark)).map(|v| {
        if known.binary_search(&v.mark).is_ok() {
            return Step::Lift(v.mark);
        }
        Step::Add(StoredVerdict {
            mark: v.mark,
            stamp: v.stamp,
            until_ms: unix_ms + u64::from(v.remaining_ms),
        })
    });
    of_stored.chain(of_force).collect()
}

/// Keeps the verdicts of one entry and those in the store alike.
pub struct VerdictSync {
    router: Rc<Router>,
    peers: Rc<Peers>,
    store: Rc<dyn VerdictStore>,
    /// Parts that the store held when it was last called, sorted.
    known: RefCell<Vec<Mark>>,
    /// Era in which it held them; none before the first list that names one.
    era: Cell<Option<StoreEra>>,
    /// Time of the last list; none before the first one.
    last_list: Cell<Option<Time>>,
    is_running: Cell<bool>,
}

impl VerdictSync {
    /// Starts the comparison; it ends when the subscription is dropped.
    pub fn start(
        router: Rc<Router>,
        peers: Rc<Peers>,
        store: Rc<dyn VerdictStore>,
        timers: &TimerService,
    ) -> Subscription {
        let sync = Rc::new(Self {
            router,
            peers,
            store,
            known: RefCell::default(),
            era: Cell::new(None),
            last_list: Cell::new(None),
            is_running: Cell::new(false),
        });
        sync.tick();
        timers.subscribe(SYNC_PERIOD, move || sync.tick())
    }

    fn tick(self: &Rc<Self>) {
        let now = self.router.now();
        self.router.quarantine.borrow_mut().expire(now);
        let has_verdicts = {
            let quarantine = self.router.quarantine.borrow();
            let count = quarantine.verdicts().convicted(now).count();
            self.router
                .metrics
                .quarantined
                .set(count.cast_signed() as i64);
            count > 0 || !self.known.borrow().is_empty()
        };
        let is_due = match self.last_list.get() {
            None => true,
            Some(at) => {
                has_verdicts && now.saturating_sub(at) >= LIST_PERIOD && self.peers.is_leader()
            }
        };
        if is_due && !self.is_running.replace(true) {
            let sync = Rc::clone(self);
            actix_rt::spawn(async move {
                if let Err(e) = sync.run().await {
                    sync.router.metrics.platform_error("quarantine");
                    warn!(sync.router.log, "verdicts not compared with the store"; "cause" => %e);
                }
                sync.is_running.set(false);
            });
        }
    }

    async fn run(&self) -> Result<(), DirectoryError> {
        let VerdictList {
            era,
            verdicts: stored,
        } = self.store.list_verdicts().await?;
        if let Some(era) = era.or(self.router.revisions.era())
            && self
                .era
                .replace(Some(era))
                .is_some_and(|before| before != era)
        {
            self.known.borrow_mut().clear();
        }
        let now = self.router.now();
        let in_force: Vec<VerdictReport> = {
            let quarantine = self.router.quarantine.borrow();
            quarantine.verdicts().convicted(now).collect()
        };
        let steps = compare(&in_force, &stored, &self.known.borrow(), unix_ms());
        let mut known: Vec<Mark> = stored.iter().map(|s| s.mark).collect();
        known.sort_unstable();
        *self.known.borrow_mut() = known;
        self.last_list.set(Some(now));
        for step in steps {
            self.apply(step).await?;
        }
        Ok(())
    }

    async fn apply(&self, step: Step) -> Result<(), DirectoryError> {
        match step {
            Step::Apply(verdict) => self.router.on_stored_verdict(verdict),
            Step::Lift(mark) => self.router.lift_quarantine(mark),
            Step::Add(verdict) if self.peers.is_leader() => {
                self.store.add_verdict(verdict).await?;
                let mut known = self.known.borrow_mut();
                if let Err(at) = known.binary_search(&verdict.mark) {
                    known.insert(at, verdict.mark);
                }
                info!(self.router.log, "verdict stored"; "part" => format!("{:x}", verdict.mark));
            }
            Step::Remove(mark) if self.peers.is_leader() => {
                self.store.remove_verdict(mark).await?;
                info!(self.router.log, "verdict removed"; "part" => format!("{mark:x}"));
            }
            Step::Add(_) | Step::Remove(_) => {}
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
