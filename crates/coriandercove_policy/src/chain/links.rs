//! Link costs between zones and between targets, and the link times that follow for a request.

use std::collections::HashMap;
use std::time::Duration;

use coriandercove_base::ZoneId;

use super::path::Node;
use super::types::{ChainRequest, LinkCost};

/// Known link costs. Zones are numbered in the order of their first use.
#[derive(Debug, Default)]
pub(super) struct ZoneLinks {
    zones: Vec<ZoneId>,
    /// Cost by source zone, then destination zone. Missing entries at the end of a row are unknown
    /// links.
    costs: Vec<Vec<Option<LinkCost>>>,
    /// Cost by (source, destination) slot number of the targets; overrides that of their zones.
    pub(super) overrides: HashMap<(u32, u32), LinkCost>,
}

impl ZoneLinks {
    pub(super) fn intern(&mut self, zone: &ZoneId) -> u16 {
        self.find(zone).unwrap_or_else(|| {
            self.zones.push(zone.clone());
            self.costs.push(Vec::new());
            (self.zones.len() - 1) as u16
        })
    }

    fn find(&self, zone: &ZoneId) -> Option<u16> {
        self.zones.iter().position(|z| z == zone).map(|i| i as u16)
    }

    pub(super) fn set(&mut self, from: &ZoneId, to: &ZoneId, cost: LinkCost) {
        let (from, to) = (usize::from(self.intern(from)), usize::from(self.intern(to)));
        let row = &mut self.costs[from];
        row.resize(row.len().max(to + 1), None);
        row[to] = Some(cost);
    }

    fn cost(&self, from: u16, to: u16, default: LinkCost) -> LinkCost {
        let local = LinkCost {
            delay: Duration::ZERO,
            bandwidth: 0,
        };
        let unknown = if from == to { local } else { default };
        let row = self.costs.get(usize::from(from));
        let known = row.and_then(|row| row.get(usize::from(to)));
        known.copied().flatten().unwrap_or(unknown)
    }
}

/// Times over one link, in nanoseconds: for the whole prompt, for each generated token, and the
/// one-way delay alone.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LinkTime {
    pub(super) prompt: f64,
    pub(super) token: f64,
    pub(super) delay: f64,
}

impl LinkTime {
    fn new(cost: LinkCost, req: &ChainRequest<'_>) -> Self {
        let delay = cost.delay.as_nanos() as f64;
        let transfer = if cost.bandwidth == 0 {
            0.0
        } else {
            f64::from(req.activation_bytes) * 1e9 / cost.bandwidth as f64
        };
        Self {
            prompt: delay + f64::from(req.prompt_tokens) * transfer,
            token: delay + transfer,
            delay,
        }
    }
}

/// Link times of one request, computed once for all pairs of zones.
#[derive(Debug)]
pub(super) struct RequestLinks<'a> {
    links: &'a ZoneLinks,
    req: &'a ChainRequest<'a>,
    /// Indexed by `from * zones + to`. The last zone stands for all unknown zones.
    times: Vec<LinkTime>,
    zones: usize,
    from: u16,
    to: u16,
    output_tokens: f64,
}

impl<'a> RequestLinks<'a> {
    pub(super) fn new(links: &'a ZoneLinks, req: &'a ChainRequest<'a>, default: LinkCost) -> Self {
        let zones = links.zones.len() + 1;
        let unknown = links.zones.len() as u16;
        let mut times = Vec::with_capacity(zones * zones);
        for from in 0..zones as u16 {
            for to in 0..zones as u16 {
                times.push(LinkTime::new(links.cost(from, to, default), req));
            }
        }
        Self {
            links,
            req,
            times,
            zones,
            from: links.find(req.from).unwrap_or(unknown),
            to: links.find(req.to).unwrap_or(unknown),
            output_tokens: f64::from(req.output_tokens),
        }
    }

    pub(super) fn zone_time(&self, from: u16, to: u16) -> LinkTime {
        self.times[usize::from(from) * self.zones + usize::from(to)]
    }

    /// Returns the link times between two consecutive stages.
    pub(super) fn stage_time(&self, a: &Node, b: &Node) -> LinkTime {
        if !self.links.overrides.is_empty()
            && let Some(cost) = self.links.overrides.get(&(a.slot, b.slot))
        {
            return LinkTime::new(*cost, self.req);
        }
        self.zone_time(a.zone, b.zone)
    }

    /// Returns the link times from the source of the input to the first stage. In a ring, only the
    /// prompt takes this link.
    pub(super) fn input_time(&self, zone: u16) -> LinkTime {
        let link = self.zone_time(self.from, zone);
        if self.req.ring {
            LinkTime {
                prompt: link.delay,
                token: 0.0,
                ..link
            }
        } else {
            link
        }
    }

    /// Returns the link times from the last stage to the receiver. In a ring, the time per token is
    /// that of the return link from the last stage to the head.
    pub(super) fn output_time(&self, zone: u16, head: u16) -> LinkTime {
        let link = self.zone_time(zone, self.to);
        if self.req.ring {
            LinkTime {
                prompt: link.delay,
                token: self.zone_time(zone, head).delay,
                ..link
            }
        } else {
            link
        }
    }

    /// Returns the delay from the source of the input in nanoseconds; nearer zones are considered
    /// first.
    pub(super) fn distance(&self, zone: u16) -> f64 {
        self.zone_time(self.from, zone).delay
    }

    /// Returns the time over a link for the whole request, in nanoseconds.
    pub(super) fn total(&self, link: LinkTime) -> f64 {
        link.prompt + self.output_tokens * link.token
    }
}
