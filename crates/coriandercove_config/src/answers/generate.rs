//! Generation of the configuration from the answers.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use coriandercove_base::{Layer, TargetId};

use super::origins::Origins;
use super::{
    AddressSpread, Answers, CallAnswer, LinkQuality, ModelAnswer, ServiceAnswer, TargetGroup,
};
use crate::config::{
    Account, Config, Link, Pipeline, Placement, Repeat, Rule, Service, Site, Target, TargetKind,
    Zone,
};

/// Largest number of targets in one deployment, more than three times the planned size.
pub const MAX_TARGETS: u32 = 12_000;
/// Distance between the ports of consecutive targets on one machine.
pub(super) const PORT_STRIDE: u32 = 10;
/// Default burst of an account, in seconds of its quota.
const BURST_SECONDS: u64 = 10;

/// Generates the configuration for `answers`. Equal answers give equal configurations.
///
/// Invalid answers give a configuration that does not pass [`Config::check`].
#[must_use]
pub fn generate(answers: &Answers) -> Config {
    generate_with_origins(answers).0
}

/// Generates the configuration and records which answer each object comes from.
pub(super) fn generate_with_origins(answers: &Answers) -> (Config, Origins) {
    let mut config = Config {
        limits: answers.limits.clone(),
        claims: answers.claims.clone(),
        ..Config::default()
    };
    let mut origins = Origins::default();
    origins.add("limits/all".to_owned(), "limits".to_owned());
    origins.add("claims/all".to_owned(), "claims".to_owned());
    sites(answers, &mut config, &mut origins);
    links(answers, &mut config, &mut origins);
    for (i, a) in answers.accounts.iter().enumerate() {
        origins.add(format!("account/{}", a.name), format!("accounts[{i}]"));
        config.accounts.push(account(a));
    }
    for (i, m) in answers.models.iter().enumerate() {
        origins.add(format!("pipeline/{}", m.model), format!("models[{i}]"));
        config.pipelines.push(pipeline(m));
    }
    for (i, s) in answers.services.iter().enumerate() {
        service_origins(s, i, &mut origins);
        config.services.push(service(s));
    }
    targets(answers, &mut config, &mut origins);
    config.sort();
    (config, origins)
}

fn sites(answers: &Answers, config: &mut Config, origins: &mut Origins) {
    for (i, site) in answers.sites.iter().enumerate() {
        origins.add(format!("site/{}", site.name), format!("sites[{i}]"));
        config.sites.push(Site {
            name: site.name.clone(),
            region: site.region.clone(),
        });
        for (j, zone) in site.zones.iter().enumerate() {
            origins.add(format!("zone/{zone}"), format!("sites[{i}].zones[{j}]"));
            config.zones.push(Zone {
                name: zone.clone(),
                site: site.name.clone(),
            });
        }
    }
}

/// Adds a link for each pair of zones, so that the cost of every link is known.
fn links(answers: &Answers, config: &mut Config, origins: &mut Origins) {
    let network = &answers.network;
    let mut zones: Vec<(&str, &str)> = answers
        .sites
        .iter()
        .flat_map(|s| s.zones.iter().map(|z| (&**z, s.region.as_str())))
        .collect();
    zones.sort_unstable();
    zones.dedup_by_key(|(zone, _)| *zone);
    for (i, (a, region_a)) in zones.iter().enumerate() {
        for (b, region_b) in &zones[i..] {
            let (quality, path) = match (a == b, region_a == region_b) {
                (true, _) => (&network.within_zone, "network.within_zone"),
                (_, true) => (&network.between_zones, "network.between_zones"),
                _ => (&network.between_regions, "network.between_regions"),
            };
            origins.add(format!("link/{a}~{b}"), path.to_owned());
            config.links.push(link(a, b, quality));
        }
    }
    for (i, link_override) in network.links.iter().enumerate() {
        let (a, b) = if link_override.a <= link_override.b {
            (&link_override.a, &link_override.b)
        } else {
            (&link_override.b, &link_override.a)
        };
        let quality = LinkQuality {
            delay: link_override.delay,
            bytes_per_second: link_override.bytes_per_second,
        };
        origins.add(format!("link/{a}~{b}"), format!("network.links[{i}]"));
        config.links.retain(|l| l.a != *a || l.b != *b);
        config.links.push(link(a, b, &quality));
    }
}

fn link(a: &str, b: &str, quality: &LinkQuality) -> Link {
    Link {
        a: a.into(),
        b: b.into(),
        delay: quality.delay,
        bytes_per_second: quality.bytes_per_second,
    }
}

fn account(a: &super::AccountAnswer) -> Account {
    let quota = a.quota_tokens_per_second;
    Account {
        name: a.name.as_str().into(),
        weight: a.weight,
        quota_tokens_per_second: quota,
        burst_tokens: a
            .burst_tokens
            .unwrap_or_else(|| quota.saturating_mul(BURST_SECONDS)),
        concurrency: a.concurrency,
        priority: a.priority,
        keys: a.keys.clone(),
    }
}

fn pipeline(m: &ModelAnswer) -> Pipeline {
    let mut compute = m.compute.clone();
    compute.sort_by(|a, b| a.accelerator.cmp(&b.accelerator));
    Pipeline {
        model: m.model.clone(),
        version: m.version.clone(),
        layers: m.layers,
        hidden_size: m.hidden_size,
        bytes_per_value: m.bytes_per_value,
        max_tokens: m.max_tokens,
        first_token_deadline: m.first_token_deadline,
        token_deadline: m.token_deadline,
        request_deadline: m.request_deadline,
        priority: m.priority,
        compute,
    }
}

/// Puts the calls that must not repeat first: the first matching rule applies, so a wide pattern of
/// repeatable calls cannot shadow them.
fn service(s: &ServiceAnswer) -> Service {
    let once = s
        .must_not_repeat
        .iter()
        .map(|c| rule(c, Repeat::AtMostOnce, s.timeout));
    let repeatable = s
        .repeatable
        .iter()
        .map(|c| rule(c, Repeat::Repeatable, s.timeout));
    Service {
        name: s.name.clone(),
        rules: once.chain(repeatable).collect(),
        timeout: s.timeout,
        concurrency: s.concurrency,
    }
}

fn rule(call: &CallAnswer, repeat: Repeat, timeout: Duration) -> Rule {
    let (method, path) = call.call.trim().split_once(' ').unwrap_or((&call.call, ""));
    let own_timeout = call.timeout.as_deref().map(crate::duration::parse);
    Rule {
        method: method.to_owned(),
        path: path.trim().to_owned(),
        repeat,
        timeout: own_timeout.and_then(Result::ok).unwrap_or(timeout),
    }
}

fn service_origins(s: &ServiceAnswer, i: usize, origins: &mut Origins) {
    let key = format!("service/{}", s.name);
    origins.add(key.clone(), format!("services[{i}]"));
    let once = (0..s.must_not_repeat.len()).map(|j| format!("services[{i}].must_not_repeat[{j}]"));
    let repeatable = (0..s.repeatable.len()).map(|j| format!("services[{i}].repeatable[{j}]"));
    for (j, path) in once.chain(repeatable).enumerate() {
        origins.add(format!("{key}.rules[{j}]"), path);
    }
}

fn targets(answers: &Answers, config: &mut Config, origins: &mut Origins) {
    let mut remaining = MAX_TARGETS;
    for (i, group) in answers.targets.iter().enumerate() {
        let path = format!("targets[{i}]");
        let count = group.replicas.min(remaining);
        remaining -= count;
        let mut ids: Vec<TargetId> = Vec::new();
        for n in 0..count {
            let target = target(group, n);
            origins.add(format!("target/{}", target.id), path.clone());
            ids.push(target.id.clone());
            config.targets.push(target);
        }
        if let Some((model, version, first, end)) = held_range(answers, group) {
            let placement = Placement {
                model: model.into(),
                version,
                first_layer: first,
                end_layer: end,
                targets: ids,
            };
            origins.add(format!("placement/{}", placement.name()), path);
            add_placement(config, placement);
        }
    }
}

/// Adds a desired placement. Groups that hold the same layer range share one.
fn add_placement(config: &mut Config, placement: Placement) {
    let name = placement.name();
    match config.placements.iter_mut().find(|p| p.name() == name) {
        Some(existing) => {
            existing.targets.extend(placement.targets);
            existing.targets.sort();
        }
        None => config.placements.push(placement),
    }
}

/// The model, version and layer range that a group of engines holds; `None` for services.
fn held_range<'a>(
    answers: &Answers,
    group: &'a TargetGroup,
) -> Option<(&'a str, String, Layer, Layer)> {
    let name = group.model.as_deref()?;
    let model = answers.models.iter().find(|m| *m.model == *name);
    let version = group
        .version
        .clone()
        .or_else(|| Some(model?.version.clone()));
    let end = group.end_layer.or_else(|| Some(model?.layers));
    Some((
        name,
        version.unwrap_or_default(),
        group.first_layer.unwrap_or(0),
        end.unwrap_or(0),
    ))
}

fn target(group: &TargetGroup, n: u32) -> Target {
    let peer = nth_address(group, n);
    let kind = match &group.service {
        Some(service) => TargetKind::Service {
            service: service.clone(),
        },
        None => TargetKind::Engine {
            accelerator: group.accelerator.clone().unwrap_or_default(),
        },
    };
    Target {
        id: target_id(group, n),
        zone: group.zone.clone(),
        peer,
        operations: SocketAddr::new(peer.ip(), peer.port().saturating_add(1)),
        kind,
        checks_orders: group.checks_orders,
    }
}

pub(super) fn target_id(group: &TargetGroup, n: u32) -> TargetId {
    format!("{}-{:03}", group.name, n.saturating_add(1)).into()
}

/// Port of the engine or service of the first agent in the group.
pub(super) fn first_target_port(group: &TargetGroup) -> u16 {
    group
        .target_port
        .unwrap_or_else(|| group.peer.port().saturating_add(2))
}

/// Address of the engine or service of target `n`, counted from 0.
pub(super) fn target_address(group: &TargetGroup, n: u32) -> SocketAddr {
    let peer = nth_address(group, n);
    let shift = peer.port().saturating_sub(group.peer.port());
    let first = first_target_port(group);
    SocketAddr::new(peer.ip(), first.saturating_add(shift))
}

/// Peer address of target `n`, counted from 0. If the IP address or port overflows, the port is 0,
/// which the configuration check rejects.
pub(super) fn nth_address(group: &TargetGroup, n: u32) -> SocketAddr {
    let first = group.peer;
    match group.spread {
        AddressSpread::Ip => match nth_ip(first.ip(), n) {
            Some(ip) => SocketAddr::new(ip, first.port()),
            None => SocketAddr::new(first.ip(), 0),
        },
        AddressSpread::Port => {
            let port = u32::from(first.port()).saturating_add(n.saturating_mul(PORT_STRIDE));
            SocketAddr::new(first.ip(), u16::try_from(port).unwrap_or(0))
        }
    }
}

fn nth_ip(ip: IpAddr, n: u32) -> Option<IpAddr> {
    match ip {
        IpAddr::V4(ip) => ip.to_bits().checked_add(n).map(|b| IpAddr::V4(b.into())),
        IpAddr::V6(ip) => {
            let bits = ip.to_bits().checked_add(u128::from(n));
            bits.map(|b| IpAddr::V6(b.into()))
        }
    }
}
