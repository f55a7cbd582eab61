//! The targets that the platform lists.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::{Layer, TargetId, ZoneId, data};

use crate::routes::ServiceId;

data! {
    /// A half-open range of layers.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub struct LayerRange {
        /// First layer.
        pub first: Layer,
        /// Layer after the last one.
        pub end: Layer,
    }
}

impl LayerRange {
    /// The range from `first` up to `end`, which it does not contain.
    #[must_use]
    pub const fn new(first: Layer, end: Layer) -> Self {
        Self { first, end }
    }

    /// Number of layers.
    #[must_use]
    pub const fn len(self) -> u16 {
        self.end.saturating_sub(self.first)
    }

    /// Whether it holds no layer.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.end <= self.first
    }
}

impl std::fmt::Display for LayerRange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{}", self.first, self.end)
    }
}

/// One target as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Identifies the target; a new start mostly has a new one.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it is called.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it announced that it leaves.
    pub is_draining: bool,
    /// Start of this incarnation, in Unix milliseconds; 0 if not told.
    pub started_ms: u64,
    /// Time that it stays slow after its start.
    pub warm_up: Duration,
    /// Kind of accelerator; empty for plain services.
    pub accelerator: Arc<str>,
    /// Layers that it holds, if any.
    pub layers: Option<LayerRange>,
}

/// All listed targets, sorted by id.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    targets: Vec<Arc<Target>>,
}

impl Fleet {
    /// A fleet of these targets.
    #[must_use]
    pub fn new(mut targets: Vec<Arc<Target>>) -> Self {
        targets.sort_by(|a, b| a.id.cmp(&b.id));
        Self { targets }
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|t| (*t.id).cmp(id))
    }

    /// The target of this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.position(id).ok().map(|i| &self.targets[i])
    }

    /// Adds or replaces a target; returns the one it replaced.
    pub fn insert(&mut self, target: Arc<Target>) -> Option<Arc<Target>> {
        match self.position(&target.id) {
            Ok(i) => Some(std::mem::replace(&mut self.targets[i], target)),
            Err(i) => {
                self.targets.insert(i, target);
                None
            }
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, id: &str) -> Option<Arc<Target>> {
        self.position(id).ok().map(|i| self.targets.remove(i))
    }

    /// Every target, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.iter()
    }

    /// The targets of one service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Target>> {
        self.targets.iter().filter(move |t| *t.service == *service)
    }

    /// Number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
