//! Pulls the configuration from peers, and answers their pulls.

use super::snapshot::{self, Assembly};
use super::{ConfigAction, ConfigLog, PullConfig, PullReply};
use coriandercove_base::{ConfigVersion, NodeId, Time};

/// Highest size of the changes in one answer, in bytes; the peer pulls again for the rest.
const MAX_REPLY_BYTES: usize = 512_000;
/// Highest number of remembered peers with a higher version, so that others are left to ask when
/// one does not answer.
const MAX_PEERS_AHEAD: usize = 8;

/// State of this node's pulls from peers.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// Peers that reported a higher version, the latest report last.
    ahead: Vec<(NodeId, ConfigVersion)>,
    /// The open pull and the time at which it counts as failed.
    open: Option<(NodeId, Time)>,
    /// The snapshot that a peer is sending.
    assembly: Option<Assembly>,
    /// Number of pulls sent to seeds; selects the next seed.
    next_seed: usize,
}

impl ConfigLog {
    pub(super) fn handle_peer_version(&mut self, now: Time, peer: NodeId, version: ConfigVersion) {
        self.peers.ahead.retain(|(p, _)| *p != peer);
        if version > self.version && peer != self.cfg.node {
            if self.peers.ahead.len() == MAX_PEERS_AHEAD {
                self.peers.ahead.remove(0);
            }
            self.peers.ahead.push((peer, version));
        }
        self.pull_next(now);
    }

    pub(super) fn tick_peers(&mut self, now: Time) {
        if let Some((peer, _)) = self.peers.open.take_if(|(_, until)| *until <= now) {
            self.peers.ahead.retain(|(p, _)| *p != peer);
        }
        self.pull_next(now);
    }

    /// Pulls from the peer that reported last, unless a pull is open. A node without any version
    /// pulls from its seeds in turn if no peer has reported.
    fn pull_next(&mut self, now: Time) {
        if self.peers.open.is_some() {
            return;
        }
        let version = self.version;
        self.peers.ahead.retain(|(_, v)| *v > version);
        let peer = match self.peers.ahead.last() {
            Some((peer, _)) => peer.clone(),
            None if self.version == 0 && !self.cfg.seeds.is_empty() => {
                self.peers.next_seed += 1;
                self.cfg.seeds[self.peers.next_seed % self.cfg.seeds.len()].clone()
            }
            None => return,
        };
        if peer == self.cfg.node {
            return;
        }
        self.peers.assembly = None;
        self.peers.open = Some((peer.clone(), now + self.cfg.pull_timeout));
        let req = PullConfig {
            after: self.version,
        };
        self.out.push(ConfigAction::Pull { peer, req });
    }

    pub(super) fn handle_pull_failure(&mut self, now: Time, peer: &NodeId) {
        self.peers.ahead.retain(|(p, _)| p != peer);
        // A node without any version leaves the pull open until its timeout, so that failing seeds
        // are not asked in a tight loop.
        if self.version > 0 && self.peers.open.as_ref().is_some_and(|(p, _)| p == peer) {
            self.peers.open = None;
            self.pull_next(now);
        }
    }

    pub(super) fn handle_pull_reply(&mut self, now: Time, peer: &NodeId, reply: PullReply) {
        let before = self.version;
        let is_complete = match reply {
            PullReply::Changes(changes) => {
                for change in changes {
                    self.apply(now, change);
                }
                true
            }
            PullReply::Snapshot { manifest, part } => self.add_pulled_part(manifest, part),
        };
        if !is_complete || self.peers.open.as_ref().is_none_or(|(p, _)| p != peer) {
            return;
        }
        if self.version > before {
            self.peers.open = None;
            self.pull_next(now);
        } else {
            // The answer was of no use, so the peer is forgotten. The pull stays open until its
            // timeout, which delays the next one.
            self.peers.ahead.retain(|(p, _)| p != peer);
        }
    }

    /// Adds a part of a snapshot, and installs the snapshot if it is complete. Returns whether the
    /// answer is complete.
    fn add_pulled_part(&mut self, manifest: super::Manifest, part: super::SnapshotPart) -> bool {
        let current = self.peers.assembly.take();
        let assembly = match current {
            Some(current) if current.manifest == manifest => Some(current),
            _ => Assembly::new(manifest),
        };
        let Some(mut assembly) = assembly else {
            self.counters.rejected += 1;
            return true;
        };
        assembly.add(part);
        if assembly.first_missing().is_some() {
            self.peers.assembly = Some(assembly);
            return false;
        }
        let (manifest, objects) = assembly.into_objects();
        self.install(manifest, objects);
        true
    }

    /// Answers a peer's pull with changes, or with a snapshot if the needed changes are gone.
    pub(super) fn serve_pull(&mut self, peer: &NodeId, req: PullConfig) {
        let oldest = self.recent_changes.front().map_or(u64::MAX, |c| c.version);
        if req.after >= self.version || oldest <= req.after + 1 {
            let reply = PullReply::Changes(self.changes_after(req.after));
            self.reply(peer, reply);
            return;
        }
        let write_ids = self.write_ids.iter().copied().collect();
        let (manifest, parts) = snapshot::split(self.version, &self.objects, write_ids);
        for part in parts {
            let manifest = manifest.clone();
            self.reply(peer, PullReply::Snapshot { manifest, part });
        }
    }

    /// Returns the recent changes after a version, as many as fit into one answer but at least one.
    fn changes_after(&self, after: ConfigVersion) -> Vec<super::Change> {
        let mut bytes = 0;
        self.recent_changes
            .iter()
            .filter(|c| c.version > after)
            .take_while(|c| {
                let fits = bytes == 0 || bytes + c.size() <= MAX_REPLY_BYTES;
                bytes += c.size();
                fits
            })
            .cloned()
            .collect()
    }

    fn reply(&mut self, peer: &NodeId, reply: PullReply) {
        self.out.push(ConfigAction::Reply {
            peer: peer.clone(),
            reply,
        });
    }
}
