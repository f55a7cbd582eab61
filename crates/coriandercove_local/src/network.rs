//! Delays, bandwidths and partitions between the zones of a local deployment.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use coriandercove_base::{NodeId, ZoneId};
use coriandercove_peer::link::{Passage, Shaper};

/// State of the links in one direction between two zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneLink {
    /// Frames arrive after this delay and the time that the bandwidth needs for them.
    Open {
        /// One-way delay.
        delay: Duration,
        /// Bytes for each second.
        bandwidth: u64,
    },
    /// Nothing passes.
    Cut,
}

#[derive(Debug, Default)]
struct State {
    zones: BTreeMap<NodeId, ZoneId>,
    links: BTreeMap<(ZoneId, ZoneId), ZoneLink>,
}

/// The network of a deployment; clones share it. Links without a state pass at once.
#[derive(Debug, Clone, Default)]
pub struct Network(Arc<RwLock<State>>);

impl Network {
    /// Sets the links between two zones, in both directions.
    pub fn set(&self, a: &str, b: &str, link: ZoneLink) {
        let mut state = self.0.write().unwrap_or_else(PoisonError::into_inner);
        state.links.insert((a.into(), b.into()), link);
        state.links.insert((b.into(), a.into()), link);
    }

    /// Lets everything pass at once.
    pub fn clear(&self) {
        let mut state = self.0.write().unwrap_or_else(PoisonError::into_inner);
        state.links.clear();
    }

    /// Adds a node and returns what shapes the frames that it sends.
    pub(crate) fn shaper(&self, node: &NodeId, zone: &ZoneId) -> impl Shaper + Send + use<> {
        let mut state = self.0.write().unwrap_or_else(PoisonError::into_inner);
        state.zones.insert(node.clone(), zone.clone());
        ZoneShaper {
            from: zone.clone(),
            network: self.clone(),
        }
    }

    fn passage(&self, from: &ZoneId, to: &NodeId, bytes: usize) -> Passage {
        let state = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let link = state
            .zones
            .get(to)
            .and_then(|zone| state.links.get(&(from.clone(), zone.clone())));
        match link {
            None => Passage::After(Duration::ZERO),
            Some(ZoneLink::Cut) => Passage::Blocked,
            Some(ZoneLink::Open { delay, bandwidth }) => {
                let transfer = bytes as f64 / (*bandwidth).max(1) as f64;
                Passage::After(*delay + Duration::from_secs_f64(transfer))
            }
        }
    }
}

struct ZoneShaper {
    from: ZoneId,
    network: Network,
}

impl Shaper for ZoneShaper {
    fn passage(&self, to: &NodeId, bytes: usize) -> Passage {
        self.network.passage(&self.from, to, bytes)
    }
}

#[cfg(test)]
mod tests;
