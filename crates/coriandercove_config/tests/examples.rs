//! The example answers of the two teams.

use std::path::Path;

use coriandercove_config::answers::{agent_settings, entry_settings, parse};
use coriandercove_config::{Config, Repeat, TargetKind};

fn example(name: &str) -> coriandercove_config::answers::CheckedAnswers {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let path = root.join(name).join("answers.yaml");
    let text = std::fs::read_to_string(&path).expect("the example exists");
    parse(&path.display().to_string(), &text).unwrap_or_else(|p| panic!("{p}"))
}

fn engines(config: &Config) -> usize {
    let is_engine = |kind: &TargetKind| matches!(kind, TargetKind::Engine { .. });
    config.targets.iter().filter(|t| is_engine(&t.kind)).count()
}

/// Guards against examples whose size differs from the documented one: 3 zones, 30 engines, 3
/// service replicas, 10 accounts and 3 entries each.
#[test]
fn examples_have_the_described_size() {
    for name in ["brandstatter", "hyotan"] {
        let checked = example(name);
        let config = &checked.config;
        assert_eq!(config.zones.len(), 3, "{name}");
        assert_eq!(engines(config), 30, "{name}");
        assert_eq!(config.targets.len() - engines(config), 3, "{name}");
        assert_eq!(config.accounts.len(), 10, "{name}");
        assert_eq!(config.links.len(), 6, "{name}");
        assert_eq!(agent_settings(&checked.answers).len(), 33, "{name}");
        assert_eq!(entry_settings(&checked.answers).len(), 3, "{name}");
        let weights: Vec<u32> = config.accounts.iter().map(|a| a.weight).collect();
        let largest = weights.iter().max().unwrap_or(&0);
        assert!(
            weights.iter().filter(|w| *w * 2 >= *largest).count() <= 3,
            "more than 3 accounts have at least half of the largest weight"
        );
    }
}

/// Guards against a zone whose loss leaves some layer without a target.
#[test]
fn every_layer_survives_the_loss_of_a_zone() {
    for name in ["brandstatter", "hyotan"] {
        let config = example(name).config;
        for zone in &config.zones {
            let mut rest = config.clone();
            for p in &mut rest.placements {
                let stays = |id: &str| config.target(id).is_some_and(|t| t.zone != zone.name);
                p.targets.retain(|id| stays(id));
            }
            assert_eq!(rest.check(), Ok(()), "{name} without {}", zone.name);
        }
    }
}

/// Guards against bookings, orders and payments that are marked as repeatable and would be retried.
#[test]
fn calls_with_side_effects_run_at_most_once() {
    let cases = [
        (
            "brandstatter",
            "workshop",
            "POST",
            "/kiln-slots",
            Repeat::AtMostOnce,
        ),
        (
            "brandstatter",
            "workshop",
            "POST",
            "/marble-orders",
            Repeat::AtMostOnce,
        ),
        (
            "brandstatter",
            "workshop",
            "GET",
            "/order-status/7",
            Repeat::Repeatable,
        ),
        ("hyotan", "shop", "POST", "/sign-orders", Repeat::AtMostOnce),
        ("hyotan", "shop", "POST", "/payments", Repeat::AtMostOnce),
        (
            "hyotan",
            "shop",
            "POST",
            "/payments/3/refund",
            Repeat::AtMostOnce,
        ),
        ("hyotan", "shop", "GET", "/proofs/3", Repeat::Repeatable),
    ];
    for (name, service, method, path, expected) in cases {
        let config = example(name).config;
        let service = config.service(service).expect("the service exists");
        assert_eq!(
            service.handling(method, path).0,
            expected,
            "{name} {method} {path}"
        );
    }
}

/// Guards against output that differs between runs.
#[test]
fn generation_is_stable() {
    for name in ["brandstatter", "hyotan"] {
        let (a, b) = (example(name).config, example(name).config);
        assert_eq!(a.to_objects().to_json(), b.to_objects().to_json());
        assert_eq!(Config::from_objects(&a.to_objects()), Ok(a));
    }
}
