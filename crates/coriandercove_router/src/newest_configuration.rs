//! Tracks the newest version of the configuration that peers have in force, and which of them to ask
//! for it.
//!
//! The platform's store delivers each version to every entry by itself. An entry asks a peer only if
//! the store does not: it is away, does not answer this entry, or came back from an older copy.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::{ConfigVersion, Time};

/// Time that the store has to deliver a version that a peer has in force.
const DELIVERY_TIME: Duration = Duration::from_millis(600);
/// Time after the start of an entry in which it asks without waiting for the store: what it has
/// listed may be older than what its peers know.
const START_TIME: Duration = Duration::from_secs(4);
/// Maximum number of peers that are remembered to have the newest version.
const MAX_HOLDERS: usize = 8;

/// The newest version that peers have in force.
#[derive(Debug, Default)]
pub struct NewestConfiguration {
    version: ConfigVersion,
    /// Time at which a peer first reported the version.
    since: Time,
    /// Peers that have the version, at most [`MAX_HOLDERS`]; the next one to ask comes last.
    holders: Vec<SocketAddr>,
}

impl NewestConfiguration {
    /// Records the version that a peer has in force.
    pub fn on_report(&mut self, peer: SocketAddr, version: ConfigVersion, now: Time) {
        if version > self.version {
            *self = Self {
                version,
                since: now,
                holders: vec![peer],
            };
        } else if version == self.version
            && self.holders.len() < MAX_HOLDERS
            && !self.holders.contains(&peer)
        {
            self.holders.push(peer);
        }
    }

    /// Returns a peer to ask for a version above `own`, which is the one in force here, once the
    /// store had its time to deliver it. Another peer is returned next time.
    pub fn next_holder(&mut self, own: Option<ConfigVersion>, now: Time) -> Option<SocketAddr> {
        let has_waited = now.saturating_sub(self.since) >= DELIVERY_TIME;
        let is_due = match own {
            None => true,
            Some(own) => own < self.version && (has_waited || now < START_TIME),
        };
        if is_due { self.holders.pop() } else { None }
    }
}

#[cfg(test)]
mod tests;
