//! Tests of the answers and of the generation from them.

use super::{TEMPLATE, agent_settings, check, entry_settings, generate, parse};
use crate::config::{Config, Repeat, TargetKind};
use crate::settings::TargetSettingsKind;

fn template() -> super::Answers {
    parse("template.yaml", TEMPLATE).unwrap().answers
}

/// Guards against a printed template that the program itself rejects.
#[test]
fn the_template_passes_the_check() {
    let checked = parse("template.yaml", TEMPLATE).unwrap_or_else(|p| panic!("{p}"));
    assert_eq!(checked.config.targets.len(), 3);
    assert_eq!(checked.config.placements[0].targets.len(), 2);
}

/// Guards against defaults in the template that differ from those in the code.
#[test]
fn the_template_shows_the_defaults() {
    let answers = template();
    assert_eq!(answers.limits, Default::default());
    assert_eq!(answers.claims, Default::default());
    let defaults = super::NetworkAnswer::default();
    assert_eq!(answers.network.within_zone, defaults.within_zone);
    assert_eq!(answers.network.between_zones, defaults.between_zones);
    assert_eq!(answers.network.between_regions, defaults.between_regions);
    let mut value: serde_norway::Value = serde_norway::from_str(TEMPLATE).unwrap();
    let lists = [
        (
            "accounts",
            &["weight", "burst_tokens", "concurrency", "priority"][..],
        ),
        (
            "models",
            &[
                "bytes_per_value",
                "first_token_deadline",
                "token_deadline",
                "request_deadline",
                "priority",
            ],
        ),
        ("services", &["timeout", "concurrency"]),
        (
            "targets",
            &["target_port", "version", "first_layer", "end_layer"],
        ),
    ];
    for (list, keys) in lists {
        for key in keys {
            let item = value[list][0].as_mapping_mut().unwrap();
            assert!(item.remove(*key).is_some(), "{list} {key}");
        }
    }
    let short = serde_norway::to_string(&value).unwrap();
    let short = parse("short.yaml", &short).unwrap_or_else(|p| panic!("{p}"));
    assert_eq!(short.config, generate(&answers));
}

/// Guards against output that differs between runs or with the order of the answers: operators
/// would see it as configuration changes.
#[test]
fn the_same_answers_give_the_same_bytes() {
    let first = generate(&template()).to_objects().to_json();
    assert_eq!(first, generate(&template()).to_objects().to_json());
    let mut reordered = template();
    reordered.targets.reverse();
    assert_eq!(first, generate(&reordered).to_objects().to_json());
}

/// Guards against a configuration that changes when it is stored and read.
#[test]
fn objects_round_trip() {
    let config = generate(&template());
    let objects = config.to_objects();
    assert_eq!(Config::from_objects(&objects).unwrap(), config);
    let text = objects.to_json();
    let read: crate::Objects = serde_json::from_str(&text).unwrap();
    assert_eq!(read, objects);
    assert_eq!(read.digest(), objects.digest());
}

/// Guards against a wide pattern of repeatable calls (`* /**`) that shadows a call which must not
/// repeat, so that the call is retried and executed twice.
#[test]
fn calls_that_must_not_repeat_come_first() {
    let mut answers = template();
    answers.services[0].repeatable[0].call = "* /**".to_owned();
    let config = generate(&answers);
    let service = config.service("orders").unwrap();
    assert_eq!(service.handling("POST", "/orders").0, Repeat::AtMostOnce);
    assert_eq!(service.handling("POST", "/orders/1").0, Repeat::Repeatable);
    answers.services[0].repeatable.clear();
    let config = generate(&answers);
    let service = config.service("orders").unwrap();
    assert_eq!(service.handling("GET", "/anything").0, Repeat::AtMostOnce);
}

/// Guards against agent settings whose addresses differ from the configuration: entries would never
/// reach those agents.
#[test]
fn settings_match_the_configuration() {
    let answers = template();
    let config = generate(&answers);
    let agents = agent_settings(&answers);
    assert_eq!(agents.len(), config.targets.len());
    for agent in &agents {
        let target = config.target(&agent.target_id).unwrap();
        assert_eq!(
            (target.peer, target.operations),
            (agent.peer, agent.operations)
        );
        let is_engine = matches!(target.kind, TargetKind::Engine { .. });
        assert_eq!(is_engine, agent.target.kind == TargetSettingsKind::Engine);
        assert_eq!(agent.target.checks_orders, target.checks_orders);
        assert_eq!(agent.seeds[0], entry_settings(&answers)[0].peer);
        assert_eq!(config.region_of(&agent.zone).unwrap(), agent.region);
    }
    assert_eq!(agents[1].target.url, "http://127.0.0.1:7512");
}

/// Guards against a huge replica count that exhausts the memory of the process that checks the
/// answers.
#[test]
fn the_number_of_targets_is_bounded() {
    let mut answers = template();
    for group in &mut answers.targets {
        group.replicas = u32::MAX;
    }
    let (config, findings) = check(&answers);
    assert!(config.targets.len() <= super::MAX_TARGETS as usize);
    assert!(
        findings
            .iter()
            .any(|f| f.key == "targets" && f.problem.contains("too many"))
    );
}
