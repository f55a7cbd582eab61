//! Builds the nodes of the shortest-path search, and the chain from a found path.

use std::time::Duration;

use coriandercove_base::ModelId;

use super::fleet::{Fleet, LoadContext};
use super::links::{LinkTime, RequestLinks};
use super::path::Node;
use super::types::{Chain, ChainHop, ChainRequest};

/// Builds the nodes of the sampled targets, sorted by exit layer. A target that can stop early has
/// one node for each layer at which another target can continue.
pub(super) fn build_nodes(
    fleet: &Fleet,
    picked: &[u32],
    req: &ChainRequest<'_>,
    cx: LoadContext,
) -> Vec<Node> {
    let mut nodes = Vec::with_capacity(picked.len());
    for i in picked {
        let c = &fleet.slot(*i).candidate;
        if c.stops_early {
            let exits = early_exits(fleet, picked, c.first_layer, c.end_layer.min(req.end_layer));
            nodes.extend(exits.map(|exit| build_node(fleet, *i, exit, req, cx)));
        }
        if c.end_layer <= req.end_layer || c.stops_early {
            nodes.push(build_node(
                fleet,
                *i,
                c.end_layer.min(req.end_layer),
                req,
                cx,
            ));
        }
    }
    nodes.sort_by_key(|n| n.exit);
    nodes
}

/// Returns the layers strictly inside a range at which another candidate can continue.
fn early_exits<'a>(
    fleet: &'a Fleet,
    picked: &'a [u32],
    first: u16,
    end: u16,
) -> impl Iterator<Item = u16> + use<'a> {
    let mut starts: Vec<u16> = picked
        .iter()
        .map(|i| fleet.slot(*i).candidate.first_layer)
        .filter(|s| first < *s && *s < end)
        .collect();
    starts.sort_unstable();
    starts.dedup();
    starts.into_iter()
}

/// Builds the node of a target that runs up to layer `exit`, with its expected times.
pub(super) fn build_node(
    fleet: &Fleet,
    i: u32,
    exit: u16,
    req: &ChainRequest<'_>,
    cx: LoadContext,
) -> Node {
    let slot = fleet.slot(i);
    let c = &slot.candidate;
    let slowdown = 1.0 + slot.queue(cx);
    let prefill = c.prefill_per_layer.as_nanos() as f64;
    let saved = f64::from(req.cached_tokens(&c.target)) * prefill;
    let prompt = f64::from(req.prompt_tokens) * prefill * slowdown - saved;
    let token = c.decode_per_layer.as_nanos() as f64 * slowdown;
    Node {
        slot: i,
        zone: slot.zone,
        first_layer: c.first_layer,
        exit,
        prompt_per_layer: prompt,
        token_per_layer: token,
        total_per_layer: (prompt + f64::from(req.output_tokens) * token).max(f64::MIN_POSITIVE),
    }
}

/// Builds the chain through `nodes` in the given order, with its expected times.
pub(super) fn build_chain(
    fleet: &Fleet,
    nodes: &[Node],
    order: &[usize],
    req: &ChainRequest<'_>,
    links: &RequestLinks<'_>,
    (model, version): (&ModelId, &String),
) -> Chain {
    let mut time = LinkTime::default();
    let mut add = |link: LinkTime| {
        time.prompt += link.prompt;
        time.token += link.token;
    };
    let picked: Vec<&Node> = order.iter().map(|i| &nodes[*i]).collect();
    let (head, last) = (picked[0], picked[picked.len() - 1]);
    add(links.input_time(head.zone));
    add(links.output_time(last.zone, head.zone));
    let mut hops = Vec::with_capacity(picked.len());
    let mut layer = req.first_layer;
    for (k, node) in picked.iter().enumerate() {
        if k > 0 {
            add(links.stage_time(picked[k - 1], node));
        }
        let layers = f64::from(node.exit - layer);
        add(LinkTime {
            prompt: layers * node.prompt_per_layer,
            token: layers * node.token_per_layer,
            delay: 0.0,
        });
        let c = &fleet.slot(node.slot).candidate;
        hops.push(ChainHop {
            target: c.target.clone(),
            zone: c.zone.clone(),
            first_layer: layer,
            end_layer: node.exit,
        });
        layer = node.exit;
    }
    Chain {
        model: model.clone(),
        version: version.clone(),
        hops,
        first_token: Duration::from_nanos(time.prompt as u64),
        per_token: Duration::from_nanos(time.token as u64),
        kv_tokens: req.kv_tokens(),
    }
}
