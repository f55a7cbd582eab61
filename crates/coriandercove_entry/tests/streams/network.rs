//! A simulated network: one ordered connection at a time between each pair of nodes. Connections
//! can break, pairs can be partitioned, and frames of earlier connections can arrive late.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use coriandercove_base::Time;
use coriandercove_base::rng::Rng;
use coriandercove_peer::Frame;

use crate::runner::below;

/// Index of a node: first the entries, then the agents.
pub type NodeIndex = usize;

/// Time after the last frame sent for which a link is in use, so that silence of the peer is
/// detected.
const IN_USE_TIME: Duration = Duration::from_secs(2);
/// Silence after which a link in use is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(350);

/// An item that arrives at a node.
pub enum Item {
    Frame(Frame),
    /// The end of a connection.
    End,
}

/// One direction between two nodes.
#[derive(Default)]
struct Link {
    /// Frames in order, with the ends of connections among them.
    queue: VecDeque<Item>,
    /// Frames of earlier connections that may still arrive.
    late: Vec<Frame>,
    /// Frames sent on broken connections whose end the sender has not detected yet. They may or may
    /// not count as sent.
    unconfirmed: Vec<Frame>,
    /// Number of broken connections whose end the sender has not detected yet.
    broken: u32,
    last_sent: Option<Time>,
}

/// All links, connections and partitions.
#[derive(Default)]
pub struct Network {
    links: BTreeMap<(NodeIndex, NodeIndex), Link>,
    /// Open connections, the smaller node first.
    up: BTreeSet<(NodeIndex, NodeIndex)>,
    /// Partitioned pairs, with the time since which nothing passes between them.
    partitions: BTreeMap<(NodeIndex, NodeIndex), Time>,
}

/// Returns two nodes as the key of their connection.
fn pair(a: NodeIndex, b: NodeIndex) -> (NodeIndex, NodeIndex) {
    (a.min(b), a.max(b))
}

impl Network {
    fn link(&mut self, from: NodeIndex, to: NodeIndex) -> &mut Link {
        self.links.entry((from, to)).or_default()
    }

    pub fn send(&mut self, now: Time, from: NodeIndex, to: NodeIndex, frame: Frame) {
        let link = self.link(from, to);
        link.last_sent = Some(now);
        if link.broken > 0 {
            link.unconfirmed.push(frame);
        } else {
            link.queue.push_back(Item::Frame(frame));
            self.up.insert(pair(from, to));
        }
    }

    /// Returns the directions in which an item can arrive now.
    pub fn ready(&self) -> impl Iterator<Item = (NodeIndex, NodeIndex)> {
        self.links
            .iter()
            .filter(|(_, link)| !link.queue.is_empty() || !link.late.is_empty())
            .map(|(ends, _)| *ends)
            .filter(|(a, b)| !self.partitions.contains_key(&pair(*a, *b)))
    }

    /// Removes the next item that arrives, or a random late frame.
    pub fn take(&mut self, from: NodeIndex, to: NodeIndex, rng: &mut Rng) -> Option<Item> {
        let link = self.link(from, to);
        let late = link.late.len();
        if late > 0 && (link.queue.is_empty() || below(rng, 3) == 0) {
            return Some(Item::Frame(link.late.remove(below(rng, late))));
        }
        link.queue.pop_front()
    }

    /// Handles that `node` detects the end of a connection to `peer`. Returns the newest frames,
    /// which `node` reports as not sent; their number is random.
    pub fn on_connection_end(
        &mut self,
        node: NodeIndex,
        peer: NodeIndex,
        rng: &mut Rng,
    ) -> Vec<Frame> {
        let link = self.link(node, peer);
        link.broken = link.broken.saturating_sub(1);
        let mut frames = std::mem::take(&mut link.unconfirmed);
        let lost = below(rng, frames.len() + 1);
        frames.split_off(lost)
    }

    /// Closes the connection to a dead `peer`, and returns the frames that were not delivered.
    /// These were sent on a new connection, because [`Network::kill`] takes those of an open one.
    pub fn refuse(&mut self, node: NodeIndex, peer: NodeIndex) -> Vec<Frame> {
        self.up.remove(&pair(node, peer));
        let link = self.link(node, peer);
        link.late.clear();
        let queue = std::mem::take(&mut link.queue);
        queue
            .into_iter()
            .filter_map(|item| match item {
                Item::Frame(frame) => Some(frame),
                Item::End => None,
            })
            .collect()
    }

    /// Breaks the connection between two nodes, each of which detects it later. Returns whether
    /// there was a connection.
    pub fn break_link(&mut self, a: NodeIndex, b: NodeIndex, rng: &mut Rng) -> bool {
        let was_up = self.up.remove(&pair(a, b));
        if was_up {
            self.end(a, b, rng);
            self.end(b, a, rng);
        }
        was_up
    }

    /// Ends one direction of a connection: the newest frames are lost, the others may arrive late.
    fn end(&mut self, from: NodeIndex, to: NodeIndex, rng: &mut Rng) {
        let link = self.link(from, to);
        let lost = link.take_newest(rng);
        link.unconfirmed.extend(lost);
        link.broken += 1;
        if below(rng, 2) == 0 {
            let kept = link.take_open_frames();
            link.late.extend(kept);
        }
        link.queue.push_back(Item::End);
    }

    /// Ends the process of a node. Its peers get the ends of their connections, unless its
    /// whole VM has failed (`vm`).
    pub fn kill(&mut self, node: NodeIndex, vm: bool, rng: &mut Rng) {
        let ends: Vec<_> = self.links.keys().copied().collect();
        for (from, to) in ends {
            if to == node {
                let up = self.up.remove(&pair(from, to));
                let link = self.link(from, to);
                link.late.clear();
                let queue = std::mem::take(&mut link.queue);
                link.unconfirmed.extend(frames(queue));
                link.broken += u32::from(up);
                let back = self.link(to, from);
                back.take_newest(rng);
                (back.unconfirmed, back.broken) = (Vec::new(), 0);
                if up && !vm {
                    back.queue.push_back(Item::End);
                }
            }
        }
    }

    /// Handles the restart of `node`: peers that have not detected the end of its earlier
    /// connections get it now.
    pub fn restarted(&mut self, node: NodeIndex) {
        let ends: Vec<_> = self.links.keys().copied().filter(|e| e.1 == node).collect();
        for (peer, _) in ends {
            let broken = self.link(peer, node).broken;
            let back = self.link(node, peer);
            // The new process has no state of earlier connections.
            (back.unconfirmed, back.broken) = (Vec::new(), 0);
            let known = back.queue.iter().filter(|i| matches!(i, Item::End)).count();
            let missing = (broken as usize).saturating_sub(known);
            back.queue.extend((0..missing).map(|_| Item::End));
        }
    }

    /// Returns whether `node` detects by a timeout that `peer`, which is unresponsive since
    /// `since`, is silent. A partition counts as silence, too.
    pub fn is_silent(
        &mut self,
        now: Time,
        node: NodeIndex,
        peer: NodeIndex,
        since: Option<Time>,
    ) -> bool {
        let cut = self.partitions.get(&pair(node, peer)).copied();
        let Some(since) = since.into_iter().chain(cut).min() else {
            return false;
        };
        let up = self.up.contains(&pair(node, peer));
        let link = self.link(node, peer);
        let in_use = link.last_sent.is_some_and(|at| now - at <= IN_USE_TIME);
        in_use && now - since >= SILENCE_TIMEOUT && (up || link.broken > 0)
    }

    /// Closes the connection of `node` to a silent `peer`. Returns how many connection ends `node`
    /// detects with that.
    pub fn close_silent(&mut self, node: NodeIndex, peer: NodeIndex, rng: &mut Rng) -> usize {
        self.break_link(node, peer, rng);
        let link = self.link(peer, node);
        let queue = std::mem::take(&mut link.queue);
        let ends = queue.iter().filter(|i| matches!(i, Item::End)).count();
        let frames = frames(queue);
        link.unconfirmed.extend(frames);
        ends.max(1)
    }

    /// Partitions two nodes.
    pub fn partition(&mut self, now: Time, a: NodeIndex, b: NodeIndex) {
        self.partitions.entry(pair(a, b)).or_insert(now);
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Duplicates the next frame of the `i`th direction that has one; the copy arrives late.
    pub fn duplicate(&mut self, i: usize) {
        let busy: Vec<_> = self.ready().collect();
        let Some((from, to)) = busy.get(i % busy.len().max(1)).copied() else {
            return;
        };
        let link = self.link(from, to);
        if let Some(Item::Frame(frame)) = link.queue.front() {
            link.late.push(frame.clone());
        }
    }
}

impl Link {
    /// Returns the index in the queue at which the frames of the open connection start.
    fn start(&self) -> usize {
        let end = self.queue.iter().rposition(|i| matches!(i, Item::End));
        end.map_or(0, |i| i + 1)
    }

    /// Removes and returns the frames of the open connection.
    fn take_open_frames(&mut self) -> Vec<Frame> {
        let start = self.start();
        frames(self.queue.split_off(start))
    }

    /// Removes and returns a random number of the newest frames of the open connection.
    fn take_newest(&mut self, rng: &mut Rng) -> Vec<Frame> {
        let start = self.start();
        let kept = below(rng, self.queue.len() - start + 1);
        frames(self.queue.split_off(start + kept))
    }
}

/// Returns the frames of a queue without the connection ends.
fn frames(queue: VecDeque<Item>) -> Vec<Frame> {
    let frame = |item| match item {
        Item::Frame(frame) => Some(frame),
        Item::End => None,
    };
    queue.into_iter().filter_map(frame).collect()
}
