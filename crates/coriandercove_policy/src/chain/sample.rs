//! The bounded sample of targets that one choice considers.

use coriandercove_base::{Layer, rng::Rng};
use rand::Rng as _;

use super::fleet::{Fleet, Group, Moment, Usable};
use super::links::RequestLinks;
use super::types::{ChainRequest, PlannerConfig};

/// Tries by rejection for each target wanted, before the group is searched in order.
const TRIES: usize = 8;

/// Draws a few usable targets from each group, near zones first, up to the bound.
///
/// Sampling in proportion to speed lets a fast target be considered often enough to be
/// fully loaded; choosing the better of two corrects the rest.
pub(super) fn sample(
    fleet: &Fleet,
    groups: &[Group],
    req: &ChainRequest<'_>,
    links: &RequestLinks<'_>,
    cfg: &PlannerConfig,
    at: Moment,
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
        draw(
            fleet,
            group,
            req,
            at,
            cfg.sample.max(1).min(room),
            rng,
            &mut out,
        );
    }
    out
}

/// All usable targets, for the rare case that the sample holds no cover.
pub(super) fn all(fleet: &Fleet, groups: &[Group], req: &ChainRequest<'_>, at: Moment) -> Vec<u32> {
    groups
        .iter()
        .filter(|g| overlaps(g, req))
        .flat_map(|g| g.members.iter().copied())
        .filter(|i| is_usable(fleet, *i, req, at))
        .collect()
}

fn overlaps(group: &Group, req: &ChainRequest<'_>) -> bool {
    group.first_layer < req.end_layer && group.end_layer > req.first_layer
}

fn is_usable(fleet: &Fleet, i: u32, req: &ChainRequest<'_>, at: Moment) -> bool {
    fleet.slot(i).usable(req, at) == Usable::Yes
}

fn draw(
    fleet: &Fleet,
    group: &Group,
    req: &ChainRequest<'_>,
    at: Moment,
    want: usize,
    rng: &mut Rng,
    out: &mut Vec<u32>,
) {
    let start = out.len();
    let members = &group.members;
    if members.len() > want {
        for _ in 0..TRIES * want {
            let i = members[rng.random_range(0..members.len())];
            let slot = fleet.slot(i);
            let accepted = rng.random::<f64>() * group.max_speed <= slot.speed() * slot.weight;
            if accepted && !out[start..].contains(&i) && is_usable(fleet, i, req, at) {
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
        if !out[start..].contains(&i) && is_usable(fleet, i, req, at) {
            out.push(i);
        }
    }
}

/// First layer that no member accepted by `keep` can run, if the request cannot be covered.
pub(super) fn gap(
    fleet: &Fleet,
    groups: &[Group],
    req: &ChainRequest<'_>,
    keep: impl Fn(Usable) -> bool,
    at: Moment,
) -> Option<Layer> {
    let mut spans: Vec<(Layer, Layer)> = groups
        .iter()
        .filter(|g| overlaps(g, req))
        .flat_map(|g| &g.members)
        .map(|i| fleet.slot(*i))
        .filter(|s| keep(s.usable(req, at)))
        .filter(|s| s.candidate.end_layer <= req.end_layer || s.candidate.stops_early)
        .map(|s| {
            (
                s.candidate.end_layer.min(req.end_layer),
                s.candidate.first_layer,
            )
        })
        .collect();
    spans.sort_unstable();
    let mut reached = req.first_layer;
    for (end, first) in spans {
        if first <= reached {
            reached = reached.max(end);
        }
    }
    (reached < req.end_layer).then_some(reached)
}
