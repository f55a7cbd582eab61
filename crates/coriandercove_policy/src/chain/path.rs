//! Shortest-path search over layer boundaries.

use coriandercove_base::Layer;

use super::links::RequestLinks;

/// A candidate that runs up to layer `exit`.
#[derive(Debug, Clone)]
pub(super) struct Node {
    pub(super) slot: u32,
    pub(super) zone: u16,
    /// First layer that it can run.
    pub(super) first_layer: Layer,
    /// Layer after the last one that it runs.
    pub(super) exit: Layer,
    /// Time per layer for the prompt, cache savings deducted, in nanoseconds.
    pub(super) prompt_per_layer: f64,
    /// Time per layer for one generated token, in nanoseconds.
    pub(super) token_per_layer: f64,
    /// Time per layer for the whole request, in nanoseconds; above 0.
    pub(super) total_per_layer: f64,
}

/// Indices of the nodes of a path, with its time for the whole request in nanoseconds.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Path {
    pub(super) total: f64,
    pub(super) nodes: Vec<usize>,
}

/// Marks a node without predecessor: the first of a path, or an unreachable one.
const NO_PREDECESSOR: usize = usize::MAX;

/// Distances and predecessors of the nodes, kept between calls to avoid allocations.
#[derive(Debug, Default)]
pub(super) struct Solver {
    dist: Vec<f64>,
    prev: Vec<usize>,
}

impl Solver {
    /// Returns the fastest path that covers the layers `first..end`. `nodes` is sorted by `exit`.
    ///
    /// The time of the link back to the head depends on the head's zone, so a ring is solved once
    /// for each zone in which the head may be.
    pub(super) fn solve(
        &mut self,
        nodes: &[Node],
        first: Layer,
        end: Layer,
        ring: bool,
        links: &RequestLinks<'_>,
    ) -> Option<Path> {
        if !ring {
            return self.solve_with_head(nodes, first, end, (None, f64::INFINITY), links);
        }
        let mut heads: Vec<u16> = nodes
            .iter()
            .filter(|n| n.first_layer <= first)
            .map(|n| n.zone)
            .collect();
        heads.sort_unstable();
        heads.dedup();
        // Near zones come first, since the times of their paths bound the search from far ones.
        heads.sort_by(|a, b| links.distance(*a).total_cmp(&links.distance(*b)));
        let mut best: Option<Path> = None;
        for head in heads {
            let bound = best.as_ref().map_or(f64::INFINITY, |b| b.total);
            let path = self.solve_with_head(nodes, first, end, (Some(head), bound), links);
            best = path.or(best);
        }
        best
    }

    /// Returns the fastest path with its head in the given zone, if it is faster than the bound.
    fn solve_with_head(
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
            let (dist, prev) = self.shortest_to(nodes, i, first, head, links);
            debug_assert!(dist >= 0.0, "negative time at layer {}", node.exit);
            let dist = if dist < bound { dist } else { f64::INFINITY };
            self.dist.push(dist);
            self.prev.push(prev);
        }
        self.best_path(nodes, end, (head, bound), links)
    }

    /// Returns the shortest time to the exit of node `i`, and the node before it on that path.
    fn shortest_to(
        &self,
        nodes: &[Node],
        i: usize,
        first: Layer,
        head: Option<u16>,
        links: &RequestLinks<'_>,
    ) -> (f64, usize) {
        let node = &nodes[i];
        let mut best = (f64::INFINITY, NO_PREDECESSOR);
        if node.first_layer <= first && node.exit > first && head.is_none_or(|h| h == node.zone) {
            let compute = f64::from(node.exit - first) * node.total_per_layer;
            best.0 = links.total(links.input_time(node.zone)) + compute;
        }
        let from = nodes[..i].partition_point(|n| n.exit < node.first_layer);
        let to = nodes[..i].partition_point(|n| n.exit < node.exit);
        for (j, before) in nodes.iter().enumerate().take(to).skip(from) {
            if !self.dist[j].is_finite() {
                continue;
            }
            let compute = f64::from(node.exit - before.exit) * node.total_per_layer;
            let dist = self.dist[j] + links.total(links.stage_time(before, node)) + compute;
            if dist < best.0 {
                best = (dist, j);
            }
        }
        best
    }

    /// Returns the fastest path that ends at layer `end`, if it is faster than the bound.
    fn best_path(
        &self,
        nodes: &[Node],
        end: Layer,
        (head, bound): (Option<u16>, f64),
        links: &RequestLinks<'_>,
    ) -> Option<Path> {
        let mut best = (bound, NO_PREDECESSOR);
        for (i, node) in nodes.iter().enumerate().filter(|(_, n)| n.exit == end) {
            let leave = links.output_time(node.zone, head.unwrap_or(node.zone));
            let dist = self.dist[i] + links.total(leave);
            if dist < best.0 {
                best = (dist, i);
            }
        }
        let (total, mut i) = best;
        let mut path = Vec::new();
        while i != NO_PREDECESSOR {
            path.push(i);
            i = self.prev[i];
        }
        path.reverse();
        (!path.is_empty()).then_some(Path { total, nodes: path })
    }
}
