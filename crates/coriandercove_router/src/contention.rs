//! Tells which model services are contended, and holds what entries share about them.
//!
//! A service is contended if its configuration declares that callers compete for room, by routes of
//! different priorities, or that its accelerators are uneven. The parts in [`urgency`], [`waiting`],
//! [`returning`], [`outages`] and [`pressure`] act only for such services; all others are served
//! without them. `docs/contention.md` describes the parts.
//!
//! [`urgency`]: crate::urgency
//! [`waiting`]: crate::waiting
//! [`returning`]: crate::returning
//! [`outages`]: crate::outages
//! [`pressure`]: crate::pressure

use std::cell::RefCell;
use std::rc::Rc;

use coriandercove_base::{NodeId, Time, data};
use tokio::sync::Notify;

use crate::outages::{Outage, OutagesReport, SharedOutages};
use crate::pressure::{CallersBehind, PressureMonitor, PressureReport};
use crate::returning::{ReturnSchedule, ReturnsReport};
use crate::routes::EngineModel;
use crate::urgency::{LevelTracker, LevelsReport};
use crate::waiting::{WaitingReport, WaitingTracker};

/// Factor by which a kind of accelerator must decode faster than one with more memory for the
/// accelerators to count as uneven. Kinds of one generation differ by less.
const UNEVEN_SPEED_FACTOR: f64 = 2.0;

/// What the configuration declares of a model service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Contention {
    /// Whether routes of the service have different priorities, so that callers compete for room.
    pub is_ranked: bool,
    /// Whether a kind of accelerator has less memory than another one and decodes much faster.
    pub is_uneven: bool,
}

/// Whether the parts for contended services are in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ContentionMode {
    /// For the services whose configuration calls for it.
    #[default]
    Auto,
    /// For all model services.
    On,
    /// For none.
    Off,
}

impl Contention {
    /// Derives the contention of a service from its engines and from the priorities of its routes.
    #[must_use]
    pub fn of(engine: &EngineModel, priorities: impl IntoIterator<Item = u8>) -> Self {
        let mut priorities = priorities.into_iter();
        let first = priorities.next();
        let kinds = &engine.accelerators;
        let is_uneven = kinds.iter().any(|small| {
            kinds.iter().any(|large| {
                small.memory_mb < large.memory_mb
                    && small.decode_factor * UNEVEN_SPEED_FACTOR <= large.decode_factor
            })
        });
        Self {
            is_ranked: priorities.any(|p| Some(p) != first),
            is_uneven,
        }
    }

    /// The contention that counts under the setting `mode`.
    #[must_use]
    pub const fn under(self, mode: ContentionMode) -> Self {
        match mode {
            ContentionMode::Auto => self,
            ContentionMode::On => Self {
                is_ranked: true,
                is_uneven: true,
            },
            ContentionMode::Off => Self {
                is_ranked: false,
                is_uneven: false,
            },
        }
    }

    /// Whether any of the parts for contended services is in force.
    #[must_use]
    pub const fn is_contended(self) -> bool {
        self.is_ranked || self.is_uneven
    }
}

data! {
    /// What an entry tells its peers of contended services. It is left out of datagrams while it is
    /// empty, so that deployments without contended services exchange the same bytes as before.
    #[derive(Default)]
    pub struct ContentionReport {
        /// Requests in flight and arriving by level of urgency.
        pub levels: LevelsReport,
        /// Requests that wait for room.
        pub waiting: WaitingReport,
        /// Refused callers that were told when to return.
        pub returns: ReturnsReport,
        /// Targets that refuse work.
        pub outages: OutagesReport,
        /// Shortage of the entry's own resources.
        pub pressure: PressureReport,
    }
}

/// State of the parts for contended services, of this entry and as its peers report it.
#[derive(Debug, Default)]
pub struct ContentionState {
    /// Requests by level of urgency.
    pub levels: RefCell<LevelTracker>,
    /// Requests that wait for room.
    pub waiting: RefCell<WaitingTracker>,
    /// Notified when requests that wait may find room.
    pub room_changed: Notify,
    /// Notified when the configuration or the setting in force has changed.
    pub changed: Notify,
    /// Promised returns of refused callers.
    pub returns: RefCell<ReturnSchedule>,
    /// Targets that refuse work.
    pub outages: RefCell<SharedOutages>,
    /// Shortage of the entries' resources.
    pub pressure: RefCell<PressureMonitor>,
    /// Callers that take their answers slower than they arrive.
    pub callers_behind: Rc<CallersBehind>,
}

impl ContentionState {
    /// What this entry tells its peers.
    #[must_use]
    pub fn report(&self, now: Time) -> ContentionReport {
        ContentionReport {
            levels: self.levels.borrow().report(now),
            waiting: self.waiting.borrow().report(now),
            returns: self.returns.borrow().report(now),
            outages: self.outages.borrow().report(now),
            pressure: self.pressure.borrow().report(now),
        }
    }

    /// Replaces what a peer told. Returns the targets that it newly found to refuse work.
    pub fn on_report(&self, from: &NodeId, report: ContentionReport, now: Time) -> Vec<Outage> {
        let mut levels = self.levels.borrow_mut();
        levels.on_report(from, report.levels, now);
        let mut waiting = self.waiting.borrow_mut();
        waiting.on_report(from, report.waiting, now);
        let mut returns = self.returns.borrow_mut();
        returns.on_report(from, report.returns, now);
        let mut pressure = self.pressure.borrow_mut();
        pressure.on_report(from, report.pressure, now);
        let mut outages = self.outages.borrow_mut();
        outages.on_report(from, &report.outages, now)
    }

    /// Drops what is outdated.
    pub fn expire(&self, now: Time) {
        self.levels.borrow_mut().expire(now);
        self.waiting.borrow_mut().expire(now);
        self.returns.borrow_mut().expire(now);
        self.outages.borrow_mut().expire(now);
        self.pressure.borrow_mut().expire(now);
    }
}

#[cfg(test)]
mod tests;
