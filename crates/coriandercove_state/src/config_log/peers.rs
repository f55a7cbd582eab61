//! Learning from peers and serving them.

use super::snapshot::{self, Assembly};
use super::{ConfigAction, ConfigLog, PullConfig, PullReply};
use coriandercove_base::{ConfigVersion, NodeId, Time};

/// Bytes of changes in one answer; the peer asks again for the rest.
const REPLY_BYTES: usize = 512_000;
/// Peers ahead that are remembered, which leaves others to ask when one does not answer.
const AHEAD: usize = 8;

/// Pulls from peers.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// Peers that reported a higher version, latest report last.
    ahead: Vec<(NodeId, ConfigVersion)>,
    /// The open pull and the time at which it counts as failed.
    open: Option<(NodeId, Time)>,
    /// A snapshot that is arriving.
    assembly: Option<Assembly>,
    /// Seed to ask next.
    next_seed: usize,
}

impl ConfigLog {
    pub(super) fn peer_version(&mut self, now: Time, peer: NodeId, version: ConfigVersion) {
        self.peers.ahead.retain(|(p, _)| *p != peer);
        if version > self.version && peer != self.cfg.node {
            if self.peers.ahead.len() == AHEAD {
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

    /// Asks the peer that reported last. A node without any version asks its seeds in turn.
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

    pub(super) fn pull_failed(&mut self, now: Time, peer: &NodeId) {
        self.peers.ahead.retain(|(p, _)| p != peer);
        // The open pull keeps its time, so that a failing peer is not asked in a tight loop.
        if self.version > 0 && self.peers.open.as_ref().is_some_and(|(p, _)| p == peer) {
            self.peers.open = None;
            self.pull_next(now);
        }
    }

    pub(super) fn pulled(&mut self, now: Time, peer: &NodeId, reply: PullReply) {
        let before = self.version;
        let done = match reply {
            PullReply::Changes(changes) => {
                for change in changes {
                    self.apply(now, change);
                }
                true
            }
            PullReply::Snapshot { manifest, part } => self.pulled_part(manifest, part),
        };
        if !done || self.peers.open.as_ref().is_none_or(|(p, _)| p != peer) {
            return;
        }
        if self.version > before {
            self.peers.open = None;
            self.pull_next(now);
        } else {
            // Nothing usable came, so the peer is asked again only after the time of the pull.
            self.peers.ahead.retain(|(p, _)| p != peer);
        }
    }

    /// Takes a part of a snapshot and returns whether the answer is complete.
    fn pulled_part(&mut self, manifest: super::Manifest, part: super::SnapshotPart) -> bool {
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
        if assembly.missing().is_some() {
            self.peers.assembly = Some(assembly);
            return false;
        }
        let (manifest, objects) = assembly.objects();
        self.install(manifest, objects);
        true
    }

    pub(super) fn serve_pull(&mut self, peer: &NodeId, req: PullConfig) {
        let oldest = self.recent.front().map_or(u64::MAX, |c| c.version);
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

    fn changes_after(&self, after: ConfigVersion) -> Vec<super::Change> {
        let mut bytes = 0;
        self.recent
            .iter()
            .filter(|c| c.version > after)
            .take_while(|c| {
                let fits = bytes == 0 || bytes + c.size() <= REPLY_BYTES;
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
