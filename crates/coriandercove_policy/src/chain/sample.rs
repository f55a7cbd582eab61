//! Bounded random sample of the targets that one choice considers.

use coriandercove_base::{Layer, rng::Rng};
use rand::Rng as _;

use super::fleet::{Fleet, Group, LoadContext, Usable};
use super::links::RequestLinks;
use super::types::{ChainRequest, PlannerConfig};

/// Rejection-sampling tries for each wanted target, before the group is searched in order.
const TRIES_PER_TARGET: usize = 8;

/// Draws a few usable targets from each group, groups in near zones first, up to `max_candidates`
/// targets.
///
/// Targets are sampled in proportion to their speed, so that a fast target is considered often
/// enough to be fully loaded. Choosing the better of two sampled targets corrects the remaining
/// imbalance.
pub(super) fn sample_targets(
    fleet: &Fleet,
    groups: &[Group],
    req: &ChainRequest<'_>,
    links: &RequestLinks<'_>,
    cfg: &PlannerConfig,
    cx: LoadContext,
    rng: &mut Rng,
) -> Vec<u32> {
    let mut order: Vec<&Group> = groups.iter().filter(|g| overlaps(g, req)).collect();
    order.sort_by(|a, b| links.distance(a.zone).total_cmp(&links.distance(b.zone)));
    let mut out = Vec::with_capacity(cfg.max_candidates);
    for group in order {
        let room = cfg.max_candidates.saturating_sub(out.len());
        if room == 0 {
            break;
        }
        draw_from_group(
            fleet,
            group,
            req,
            cx,
            cfg.sample_per_group.max(1).min(room),
            rng,
            &mut out,
        );
    }
    out
}

/// Returns all usable targets, for the rare case that those of the sample do not cover all layers.
pub(super) fn all_usable(
    fleet: &Fleet,
    groups: &[Group],
    req: &ChainRequest<'_>,
    cx: LoadContext,
) -> Vec<u32> {
    groups
        .iter()
        .filter(|g| overlaps(g, req))
        .flat_map(|g| g.members.iter().copied())
        .filter(|i| is_usable(fleet, *i, req, cx))
        .collect()
}

fn overlaps(group: &Group, req: &ChainRequest<'_>) -> bool {
    group.first_layer < req.end_layer && group.end_layer > req.first_layer
}

fn is_usable(fleet: &Fleet, i: u32, req: &ChainRequest<'_>, cx: LoadContext) -> bool {
    fleet.slot(i).usable(req, cx) == Usable::Yes
}

/// Draws up to `want` usable targets of a group and appends them to `out`.
fn draw_from_group(
    fleet: &Fleet,
    group: &Group,
    req: &ChainRequest<'_>,
    cx: LoadContext,
    want: usize,
    rng: &mut Rng,
    out: &mut Vec<u32>,
) {
    let start = out.len();
    let members = &group.members;
    if members.len() > want {
        for _ in 0..TRIES_PER_TARGET * want {
            let i = members[rng.random_range(0..members.len())];
            let slot = fleet.slot(i);
            let accepted = rng.random::<f64>() * group.max_speed <= slot.speed() * slot.weight;
            if accepted && !out[start..].contains(&i) && is_usable(fleet, i, req, cx) {
                out.push(i);
                if out.len() - start == want {
                    return;
                }
            }
        }
    }
    let offset = rng.random_range(0..members.len());
    for k in 0..members.len() {
        let i = members[(offset + k) % members.len()];
        if out.len() - start == want {
            return;
        }
        if !out[start..].contains(&i) && is_usable(fleet, i, req, cx) {
            out.push(i);
        }
    }
}

/// Returns the first layer that no target accepted by `keep` can run, or `None` if the accepted
/// targets cover the request.
pub(super) fn first_uncovered_layer(
    fleet: &Fleet,
    groups: &[Group],
    req: &ChainRequest<'_>,
    keep: impl Fn(Usable) -> bool,
    cx: LoadContext,
) -> Option<Layer> {
    let mut spans: Vec<(Layer, Layer)> = groups
        .iter()
        .filter(|g| overlaps(g, req))
        .flat_map(|g| &g.members)
        .map(|i| fleet.slot(*i))
        .filter(|s| keep(s.usable(req, cx)))
        .filter(|s| s.candidate.end_layer <= req.end_layer || s.candidate.stops_early)
        .map(|s| {
            (
                s.candidate.end_layer.min(req.end_layer),
                s.candidate.first_layer,
            )
        })
        .collect();
    spans.sort_unstable();
    let mut covered_to = req.first_layer;
    for (end, first) in spans {
        if first <= covered_to {
            covered_to = covered_to.max(end);
        }
    }
    (covered_to < req.end_layer).then_some(covered_to)
}
