//! Generation of the process settings from the answers.

use std::net::SocketAddr;

use super::generate::{nth_address, target_address, target_id};
use super::{Answers, EntryAnswer, MAX_TARGETS, TargetGroup};
use crate::settings::{AgentSettings, EntrySettings};

/// Generates the settings of every entry, in the order of the answers.
#[must_use]
pub fn entry_settings(answers: &Answers) -> Vec<EntrySettings> {
    answers.entries.iter().map(|e| entry(answers, e)).collect()
}

/// Generates the settings of every agent, in the order of the answers; at most [`MAX_TARGETS`].
#[must_use]
pub fn agent_settings(answers: &Answers) -> Vec<AgentSettings> {
    answers
        .targets
        .iter()
        .flat_map(|g| (0..g.replicas.min(MAX_TARGETS)).map(move |n| agent(answers, g, n)))
        .take(MAX_TARGETS as usize)
        .collect()
}

fn entry_peers(answers: &Answers) -> Vec<SocketAddr> {
    answers.entries.iter().map(|e| e.peer).collect()
}

fn region_of(answers: &Answers, zone: &str) -> String {
    let site = answers
        .sites
        .iter()
        .find(|s| s.zones.iter().any(|z| **z == *zone));
    site.map(|s| s.region.clone()).unwrap_or_default()
}

fn entry(answers: &Answers, e: &EntryAnswer) -> EntrySettings {
    let others = entry_peers(answers).into_iter().filter(|s| *s != e.peer);
    let mut settings = EntrySettings::builder(
        e.node.clone(),
        e.zone.clone(),
        [e.callers, e.operations, e.peer],
    )
    .region(&region_of(answers, &e.zone))
    .seeds(others.collect())
    .store(answers.platform.store.clone())
    .build();
    settings.vm_list.clone_from(&answers.platform.vm_list);
    settings
}

fn agent(answers: &Answers, group: &TargetGroup, n: u32) -> AgentSettings {
    let peer = nth_address(group, n);
    let operations = SocketAddr::new(peer.ip(), peer.port().saturating_add(1));
    let url = format!("http://{}", target_address(group, n));
    let mut builder = AgentSettings::builder(
        target_id(group, n),
        group.zone.clone(),
        [operations, peer],
        &url,
    )
    .region(&region_of(answers, &group.zone))
    .seeds(entry_peers(answers))
    .store(answers.platform.store.clone())
    .checks_orders(group.checks_orders);
    if let Some(service) = &group.service {
        builder = builder.service(service);
    }
    let mut settings = builder.build();
    settings.vm_list.clone_from(&answers.platform.vm_list);
    settings
}
