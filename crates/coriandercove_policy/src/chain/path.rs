//! Shortest path over layer boundaries.

use coriandercove_base::Layer;

use super::links::RequestLinks;

/// A candidate that runs up to a certain layer.
#[derive(Debug, Clone)]
pub(super) struct Node {
    pub(super) slot: u32,
    pub(super) zone: u16,
    /// First layer that it can run.
    pub(super) first: Layer,
    /// Layer after the last one that it runs.
    pub(super) exit: Layer,
    /// Time in one layer for the prompt, cache savings deducted, in nanoseconds.
    pub(super) prompt: f64,
    /// Time in one layer for one generated token, in nanoseconds.
    pub(super) token: f64,
    /// Time in one layer for the whole request; above 0.
    pub(super) total: f64,
}

/// A path through the nodes with its time for the whole request in nanoseconds.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Path {
    pub(super) total: f64,
    pub(super) nodes: Vec<usize>,
}

const NONE: usize = usize::MAX;

/// Distances and predecessors, kept between calls to spare allocations.
#[derive(Debug, Default)]
pub(super) struct Solver {
    dist: Vec<f64>,
    prev: Vec<usize>,
}

impl Solver {
    /// Fastest cover of the layers `first..end`. `nodes` is sorted by `exit`.
    ///
    /// The link back to the head depends on the head's zone, so a ring is solved once for
    /// each zone that a head may lie in.
    pub(super) fn solve(
        &mut self,
        nodes: &[Node],
        first: Layer,
        end: Layer,
        ring: bool,
        links: &RequestLinks<'_>,
    ) -> Option<Path> {
        if !ring {
            return self.solve_for(nodes, first, end, (None, f64::INFINITY), links);
        }
        let mut heads: Vec<u16> = nodes
            .iter()
            .filter(|n| n.first <= first)
            .map(|n| n.zone)
            .collect();
        heads.sort_unstable();
        heads.dedup();
        // Near heads first, since their paths bound the search from far ones.
        heads.sort_by(|a, b| links.distance(*a).total_cmp(&links.distance(*b)));
        let mut best: Option<Path> = None;
        for head in heads {
            let bound = best.as_ref().map_or(f64::INFINITY, |b| b.total);
            let path = self.solve_for(nodes, first, end, (Some(head), bound), links);
            best = path.or(best);
        }
        best
    }

    /// Fastest cover with its head in the given zone, if it is faster than the bound.
    fn solve_for(
        &mut self,
        nodes: &[Node],
        first: Layer,
        end: Layer,
        (head, bound): (Option<u16>, f64),
        links: &RequestLinks<'_>,
    ) -> Option<Path> {
        self.dist.clear();
        self.prev.clear();
        for (i, node) in nodes.iter().enumerate() {
            let (dist, prev) = self.reach(nodes, i, first, head, links);
            debug_assert!(dist >= 0.0, "negative time at layer {}", node.exit);
            let dist = if dist < bound { dist } else { f64::INFINITY };
            self.dist.push(dist);
            self.prev.push(prev);
        }
        self.finish(nodes, end, (head, bound), links)
    }

    /// Shortest time to the exit of node `i`, and the node before it.
    fn reach(
        &self,
        nodes: &[Node],
        i: usize,
        first: Layer,
        head: Option<u16>,
        links: &RequestLinks<'_>,
    ) -> (f64, usize) {
        let node = &nodes[i];
        let mut best = (f64::INFINITY, NONE);
        if node.first <= first && node.exit > first && head.is_none_or(|h| h == node.zone) {
            let compute = f64::from(node.exit - first) * node.total;
            best.0 = links.total(links.enter(node.zone)) + compute;
        }
        let from = nodes[..i].partition_point(|n| n.exit < node.first);
        let to = nodes[..i].partition_point(|n| n.exit < node.exit);
        for (j, before) in nodes.iter().enumerate().take(to).skip(from) {
            if !self.dist[j].is_finite() {
                continue;
            }
            let compute = f64::from(node.exit - before.exit) * node.total;
            let dist = self.dist[j] + links.total(links.between(before, node)) + compute;
            if dist < best.0 {
                best = (dist, j);
            }
        }
        best
    }

    fn finish(
        &self,
        nodes: &[Node],
        end: Layer,
        (head, bound): (Option<u16>, f64),
        links: &RequestLinks<'_>,
    ) -> Option<Path> {
        let mut best = (bound, NONE);
        for (i, node) in nodes.iter().enumerate().filter(|(_, n)| n.exit == end) {
            let leave = links.leave(node.zone, head.unwrap_or(node.zone));
            let dist = self.dist[i] + links.total(leave);
            if dist < best.0 {
                best = (dist, i);
            }
        }
        let (total, mut i) = best;
        let mut path = Vec::new();
        while i != NONE {
            path.push(i);
            i = self.prev[i];
        }
        path.reverse();
        (!path.is_empty()).then_some(Path { total, nodes: path })
    }
}
