//! Settings of the processes from answers.

use std::net::SocketAddr;

use coriandercove_base::telemetry::LogFormat;

use super::generate::{nth_address, target_address, target_id};
use super::{Answers, EntryAnswer, MAX_TARGETS, TargetGroup};
use crate::settings::{
    AgentLimits, AgentSettings, DRAIN_DEADLINE, EntryLimits, EntrySettings, TargetRole,
    TargetSettings,
};

/// Settings of every entry, in the order of the answers.
#[must_use]
pub fn entry_settings(answers: &Answers) -> Vec<EntrySettings> {
    answers.entries.iter().map(|e| entry(answers, e)).collect()
}

/// Settings of every agent, in the order of the answers.
#[must_use]
pub fn agent_settings(answers: &Answers) -> Vec<AgentSettings> {
    answers
        .targets
        .iter()
        .flat_map(|g| (0..g.replicas.min(MAX_TARGETS)).map(move |n| agent(answers, g, n)))
        .take(MAX_TARGETS as usize)
        .collect()
}

fn seeds(answers: &Answers) -> Vec<SocketAddr> {
    answers.entries.iter().map(|e| e.peer).collect()
}

fn region(answers: &Answers, zone: &str) -> String {
    let site = answers
        .sites
        .iter()
        .find(|s| s.zones.iter().any(|z| **z == *zone));
    site.map(|s| s.region.clone()).unwrap_or_default()
}

fn entry(answers: &Answers, e: &EntryAnswer) -> EntrySettings {
    EntrySettings {
        node: e.node.clone(),
        zone: e.zone.clone(),
        region: region(answers, &e.zone),
        callers: e.callers,
        operations: e.operations,
        peer: e.peer,
        advertise: None,
        seeds: seeds(answers)
            .into_iter()
            .filter(|s| *s != e.peer)
            .collect(),
        store: answers.platform.store.clone(),
        vm_list: answers.platform.vm_list.clone(),
        cluster_key_file: None,
        operator_token_file: None,
        log: LogFormat::default(),
        drain_deadline: DRAIN_DEADLINE,
        limits: EntryLimits::default(),
    }
}

fn agent(answers: &Answers, group: &TargetGroup, n: u32) -> AgentSettings {
    let peer = nth_address(group, n);
    let id = target_id(group, n);
    let kind = if group.service.is_some() {
        TargetRole::Service
    } else {
        TargetRole::Engine
    };
    AgentSettings {
        node: id.clone(),
        zone: group.zone.clone(),
        region: region(answers, &group.zone),
        peer,
        advertise: None,
        operations: SocketAddr::new(peer.ip(), peer.port().saturating_add(1)),
        target_id: id,
        target: TargetSettings {
            kind,
            url: format!("http://{}", target_address(group, n)),
            service: group.service.clone(),
            checks_orders: group.checks_orders,
        },
        seeds: seeds(answers),
        store: answers.platform.store.clone(),
        vm_list: answers.platform.vm_list.clone(),
        cluster_key_file: None,
        operator_token_file: None,
        log: LogFormat::default(),
        drain_deadline: DRAIN_DEADLINE,
        limits: AgentLimits::default(),
    }
}
