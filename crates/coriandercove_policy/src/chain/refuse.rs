//! The reason why no chain covers a request.

use super::fleet::{Fleet, Group, Moment, Usable};
use super::sample;
use super::types::{ChainRequest, NoChain};
use crate::explain::RefusalReason;

/// Why there is no cover: the mildest cause over all versions.
pub(super) fn refusal(fleet: &Fleet, req: &ChainRequest<'_>, at: Moment) -> NoChain {
    let mut known = false;
    let mut worst = NoChain {
        reason: RefusalReason::NoTarget,
        uncovered: None,
    };
    for (_, groups) in fleet.versions(req.model, req.version) {
        known = true;
        let no_chain = cause(fleet, groups, req, at);
        if worst.uncovered.is_none() || no_chain.reason != RefusalReason::NoTarget {
            worst = no_chain;
        }
    }
    if !known {
        worst.reason = RefusalReason::UnknownModel;
    }
    worst
}

fn cause(fleet: &Fleet, groups: &[Group], req: &ChainRequest<'_>, at: Moment) -> NoChain {
    let ready = |u| !matches!(u, Usable::NotReady | Usable::Excluded);
    let below_limit = |u| matches!(u, Usable::Yes | Usable::NoKvMemory);
    if let Some(layer) = sample::gap(fleet, groups, req, ready, at) {
        return NoChain {
            reason: RefusalReason::NoTarget,
            uncovered: Some(layer),
        };
    }
    let full = sample::gap(fleet, groups, req, below_limit, at);
    let short = sample::gap(fleet, groups, req, |u| u == Usable::Yes, at);
    NoChain {
        reason: if full.is_some() {
            RefusalReason::NoCapacity
        } else {
            RefusalReason::KvExhausted
        },
        uncovered: full.or(short),
    }
}
