//! Finds the reason why no chain covers a request.

use super::fleet::{Fleet, Group, LoadContext, Usable};
use super::sample;
use super::types::{ChainRequest, NoChain};
use crate::explain::RefusalReason;

/// Returns why no chain covers the request. A version that has ready targets for every layer
/// decides before one that lacks a layer.
pub(super) fn refusal(fleet: &Fleet, req: &ChainRequest<'_>, cx: LoadContext) -> NoChain {
    let mut is_known = false;
    let mut result = NoChain {
        reason: RefusalReason::NoTarget,
        uncovered: None,
    };
    for (_, groups) in fleet.versions(req.model, req.version) {
        is_known = true;
        let no_chain = cause(fleet, groups, req, cx);
        if result.uncovered.is_none() || no_chain.reason != RefusalReason::NoTarget {
            result = no_chain;
        }
    }
    if !is_known {
        result.reason = RefusalReason::UnknownModel;
    }
    result
}

fn cause(fleet: &Fleet, groups: &[Group], req: &ChainRequest<'_>, cx: LoadContext) -> NoChain {
    let ready = |u| !matches!(u, Usable::NotReady | Usable::Excluded);
    let below_limit = |u| matches!(u, Usable::Yes | Usable::NoKvMemory);
    if let Some(layer) = sample::first_uncovered_layer(fleet, groups, req, ready, cx) {
        return NoChain {
            reason: RefusalReason::NoTarget,
            uncovered: Some(layer),
        };
    }
    let uncovered_below_limit = sample::first_uncovered_layer(fleet, groups, req, below_limit, cx);
    let uncovered = sample::first_uncovered_layer(fleet, groups, req, |u| u == Usable::Yes, cx);
    NoChain {
        reason: if uncovered_below_limit.is_some() {
            RefusalReason::NoCapacity
        } else {
            RefusalReason::KvExhausted
        },
        uncovered: uncovered_below_limit.or(uncovered),
    }
}
