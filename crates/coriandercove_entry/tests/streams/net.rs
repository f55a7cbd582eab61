//! A network in memory: ordered connections between pairs of nodes that break, block and let
//! frames of earlier connections arrive late.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use coriandercove_base::Time;
use coriandercove_base::rng::Rng;
use coriandercove_peer::Frame;

use crate::runner::below;

pub type Node = usize;

/// Time after the last frame sent during which silence of the peer counts.
const IN_USE: Duration = Duration::from_secs(2);
/// Silence after which a link in use counts as down.
const SILENCE: Duration = Duration::from_millis(350);

pub enum Item {
    Frame(Frame),
    /// The end of a connection.
    End,
}

/// One direction between two nodes.
#[derive(Default)]
struct Link {
    /// Frames in order, and the ends of connections between them.
    queue: VecDeque<Item>,
    /// Frames of earlier connections that may still arrive.
    late: Vec<Frame>,
    /// Frames sent on broken connections whose end the sender has not seen.
    limbo: Vec<Frame>,
    /// Broken connections whose end the sender has not seen.
    broken: u32,
    last_sent: Option<Time>,
}

#[derive(Default)]
pub struct Net {
    links: BTreeMap<(Node, Node), Link>,
    /// Open connections, the smaller node first.
    up: BTreeSet<(Node, Node)>,
    /// Pairs between which nothing passes, since when.
    cut: BTreeMap<(Node, Node), Time>,
}

fn pair(a: Node, b: Node) -> (Node, Node) {
    (a.min(b), a.max(b))
}

impl Net {
    fn link(&mut self, from: Node, to: Node) -> &mut Link {
        self.links.entry((from, to)).or_default()
    }

    pub fn send(&mut self, now: Time, from: Node, to: Node, frame: Frame) {
        let link = self.link(from, to);
        link.last_sent = Some(now);
        if link.broken > 0 {
            link.limbo.push(frame);
        } else {
            link.queue.push_back(Item::Frame(frame));
            self.up.insert(pair(from, to));
        }
    }

    /// Directions with something that can arrive now.
    pub fn ready(&self) -> impl Iterator<Item = (Node, Node)> {
        self.links
            .iter()
            .filter(|(_, link)| !link.queue.is_empty() || !link.late.is_empty())
            .map(|(ends, _)| *ends)
            .filter(|(a, b)| !self.cut.contains_key(&pair(*a, *b)))
    }

    /// Takes the next thing that arrives, or a late frame.
    pub fn take(&mut self, from: Node, to: Node, rng: &mut Rng) -> Option<Item> {
        let link = self.link(from, to);
        let late = link.late.len();
        if late > 0 && (link.queue.is_empty() || below(rng, 3) == 0) {
            return Some(Item::Frame(link.late.remove(below(rng, late))));
        }
        link.queue.pop_front()
    }

    /// `node` sees the end of a connection to `peer`: the frames that surely did not leave it.
    pub fn saw_end(&mut self, node: Node, peer: Node, rng: &mut Rng) -> Vec<Frame> {
        let link = self.link(node, peer);
        link.broken = link.broken.saturating_sub(1);
        let mut frames = std::mem::take(&mut link.limbo);
        let lost = below(rng, frames.len() + 1);
        frames.split_off(lost)
    }

    /// The frames that cannot reach a dead `peer`; none if the connection had been open before.
    pub fn refuse(&mut self, node: Node, peer: Node) -> Vec<Frame> {
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

    /// Breaks the connection between two nodes; each sees its end later.
    pub fn break_link(&mut self, a: Node, b: Node, rng: &mut Rng) -> bool {
        let was_up = self.up.remove(&pair(a, b));
        if was_up {
            self.end(a, b, rng);
            self.end(b, a, rng);
        }
        was_up
    }

    fn end(&mut self, from: Node, to: Node, rng: &mut Rng) {
        let link = self.link(from, to);
        let lost = link.cut_off(rng);
        link.limbo.extend(lost);
        link.broken += 1;
        if below(rng, 2) == 0 {
            let kept = link.take_unended();
            link.late.extend(kept);
        }
        link.queue.push_back(Item::End);
    }

    /// A node ends. Its peers see the ends of their connections if its VM lives.
    pub fn kill(&mut self, node: Node, vm: bool, rng: &mut Rng) {
        let ends: Vec<_> = self.links.keys().copied().collect();
        for (from, to) in ends {
            if to == node {
                let up = self.up.remove(&pair(from, to));
                let link = self.link(from, to);
                link.late.clear();
                let queue = std::mem::take(&mut link.queue);
                link.limbo.extend(frames(queue));
                link.broken += u32::from(up);
                let back = self.link(to, from);
                back.cut_off(rng);
                (back.limbo, back.broken) = (Vec::new(), 0);
                if up && !vm {
                    back.queue.push_back(Item::End);
                }
            }
        }
    }

    /// Directions to `node` of connections whose end the sender does not know of.
    pub fn restarted(&mut self, node: Node) {
        let ends: Vec<_> = self.links.keys().copied().filter(|e| e.1 == node).collect();
        for (peer, _) in ends {
            let broken = self.link(peer, node).broken;
            let back = self.link(node, peer);
            // A new process knows of no earlier connection.
            (back.limbo, back.broken) = (Vec::new(), 0);
            let known = back.queue.iter().filter(|i| matches!(i, Item::End)).count();
            let missing = (broken as usize).saturating_sub(known);
            back.queue.extend((0..missing).map(|_| Item::End));
        }
    }

    /// Whether `node` notices that `peer`, out of reach since `since`, is silent.
    pub fn is_silent(&mut self, now: Time, node: Node, peer: Node, since: Option<Time>) -> bool {
        let cut = self.cut.get(&pair(node, peer)).copied();
        let Some(since) = since.into_iter().chain(cut).min() else {
            return false;
        };
        let up = self.up.contains(&pair(node, peer));
        let link = self.link(node, peer);
        let in_use = link.last_sent.is_some_and(|at| now - at <= IN_USE);
        in_use && now - since >= SILENCE && (up || link.broken > 0)
    }

    /// `node` closes its connection to `peer`; how many ends it sees at once.
    pub fn close_silent(&mut self, node: Node, peer: Node, rng: &mut Rng) -> usize {
        self.break_link(node, peer, rng);
        let link = self.link(peer, node);
        let queue = std::mem::take(&mut link.queue);
        let ends = queue.iter().filter(|i| matches!(i, Item::End)).count();
        let frames = frames(queue);
        link.limbo.extend(frames);
        ends.max(1)
    }

    pub fn cut(&mut self, now: Time, a: Node, b: Node) {
        self.cut.entry(pair(a, b)).or_insert(now);
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Lets the next frame of the `i`th busy direction arrive once more, later.
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
    /// Start of the frames of the open connection.
    fn start(&self) -> usize {
        let end = self.queue.iter().rposition(|i| matches!(i, Item::End));
        end.map_or(0, |i| i + 1)
    }

    fn take_unended(&mut self) -> Vec<Frame> {
        let start = self.start();
        frames(self.queue.split_off(start))
    }

    /// Takes a random number of the newest frames.
    fn cut_off(&mut self, rng: &mut Rng) -> Vec<Frame> {
        let start = self.start();
        let kept = below(rng, self.queue.len() - start + 1);
        frames(self.queue.split_off(start + kept))
    }
}

fn frames(queue: VecDeque<Item>) -> Vec<Frame> {
    let frame = |item| match item {
        Item::Frame(frame) => Some(frame),
        Item::End => None,
    };
    queue.into_iter().filter_map(frame).collect()
}
