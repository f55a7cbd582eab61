//! Tests of the typed configuration.

use serde_json::json;

use super::{Config, Repeat, Rule, Service};
use crate::answers::{TEMPLATE, parse};
use crate::objects::Objects;

fn config() -> Config {
    parse("template.yaml", TEMPLATE).unwrap().config
}

fn rule(method: &str, path: &str) -> Rule {
    Rule {
        method: method.to_owned(),
        path: path.to_owned(),
        repeat: Repeat::AtMostOnce,
        timeout: std::time::Duration::from_secs(1),
    }
}

/// Guards against rules that match other calls than their pattern says.
#[test]
fn rules_match_by_method_and_segments() {
    let cases = [
        ("POST", "/slots", "POST", "/slots", true),
        ("POST", "/slots", "POST", "/slots/", true),
        ("POST", "/slots", "POST", "/slots?day=1", true),
        ("POST", "/slots", "GET", "/slots", false),
        ("POST", "/slots", "POST", "/slots/1", false),
        ("*", "/slots/*", "PUT", "/slots/1", true),
        ("GET", "/slots/*", "GET", "/slots", false),
        ("GET", "/slots/*", "GET", "/slots/1/2", false),
        ("GET", "/slots/**", "GET", "/slots", true),
        ("GET", "/slots/**", "GET", "/slots/1/2", true),
        ("GET", "/slots/**", "GET", "/slotsx", false),
        ("GET", "/**", "GET", "/", true),
        ("GET", "/", "GET", "/", true),
        ("GET", "/", "GET", "/x", false),
    ];
    for (method, pattern, m, path, expected) in cases {
        assert_eq!(
            rule(method, pattern).matches(m, path),
            expected,
            "{pattern} {path}"
        );
    }
}

/// Guards against retries of calls that no rule marks as repeatable.
#[test]
fn calls_without_a_rule_run_once() {
    let service = Service {
        name: "s".to_owned(),
        rules: Vec::new(),
        timeout: std::time::Duration::from_secs(3),
        concurrency: 1,
    };
    let expected = (Repeat::AtMostOnce, std::time::Duration::from_secs(3));
    assert_eq!(service.handling("GET", "/"), expected);
}

/// Guards against lookups that miss items because a list is not sorted.
#[test]
fn finds_items_by_name() {
    let config = config();
    assert!(config.target("engine-002").is_some());
    assert!(config.target("engine-003").is_none());
    assert!(config.link("main-1", "main-1").is_some());
    assert_eq!(config.region_of("main-1"), Some("south"));
    assert_eq!(config.pipeline("drafts").unwrap().activation_bytes(), 8192);
}

/// Guards against invalid objects that are accepted in part, and errors without the key of the
/// object.
#[test]
fn invalid_objects_are_rejected_with_their_key() {
    let cases = [
        ("colour/red", json!({}), "colour/red", "unknown kind"),
        ("zone/z", json!({"name": "z"}), "zone/z", "missing key"),
        (
            "zone/z",
            json!({"name": "z", "site": 1}),
            "zone/z.site",
            "invalid type",
        ),
        (
            "zone/z",
            json!({"name": "z", "site": "s", "x": 1}),
            "zone/z",
            "unknown key",
        ),
        (
            "zone/y",
            json!({"name": "z", "site": "s"}),
            "zone/y",
            "does not match",
        ),
        (
            "limits/all",
            json!({"slow_start": "soon"}),
            "limits/all.slow_start",
            "not a duration",
        ),
    ];
    for (key, value, prefix, problem) in cases {
        let objects: Objects = [(key.to_owned(), value)].into_iter().collect();
        let problems = Config::from_objects(&objects).unwrap_err();
        let first = &problems.0[0];
        assert!(first.key.starts_with(prefix), "{first}");
        assert!(first.problem.contains(problem), "{first}");
    }
}

/// Guards against accepting a configuration that refers to objects which do not exist.
#[test]
fn references_are_checked() {
    let mut config = config();
    assert_eq!(config.check(), Ok(()));
    config.targets[0].zone = "nowhere".into();
    config.placements[0].targets.push("ghost".into());
    config.placements[0].end_layer = 31;
    config.accounts[0].keys[0].hash.push('x');
    let problems = config.check().unwrap_err();
    let text = problems.to_string();
    for expected in [
        "there is no zone `nowhere`",
        "`ghost` is not an engine target",
        "no target holds layer 31",
        "the id or the hash is malformed",
    ] {
        assert!(text.contains(expected), "{expected} in {text}");
    }
}

/// Guards against a model priority that outweighs the priority of the account.
#[test]
fn account_priority_outweighs_model_priority() {
    let mut config = config();
    let (mut urgent, mut other) = (config.accounts[0].clone(), config.accounts[0].clone());
    (urgent.priority, other.priority) = (3, 4);
    let pipeline = config.pipelines[0].clone();
    config.pipelines[0].priority = 9;
    let low_priority = &config.pipelines[0];
    assert!(urgent.request_priority(low_priority) < other.request_priority(&pipeline));
    assert!(other.request_priority(&pipeline) < other.request_priority(low_priority));
    other.priority = u8::MAX;
    assert_eq!(other.request_priority(low_priority), 99);
}

/// Guards against an incremental change whose result differs from decoding all objects anew.
#[test]
fn applying_a_change_equals_reading_all_objects() {
    let (old, mut new) = (config(), config());
    new.accounts[0].weight = 7;
    new.targets.remove(1);
    new.placements[0].targets.pop();
    new.links.clear();
    new.limits.weight_loads = 9;
    let mut zone = new.zones[0].clone();
    zone.name = "a-zone".into();
    new.zones.insert(0, zone);
    let delta = old.to_objects().delta(&new.to_objects());
    assert_eq!(old.apply(&delta), Ok(new.clone()));
    let back = new.to_objects().delta(&old.to_objects());
    assert_eq!(new.apply(&back), Ok(old.clone()));
    let all = Objects::new().delta(&old.to_objects());
    assert_eq!(Config::default().apply(&all), Ok(old.clone()));
    let none = old.to_objects().delta(&Objects::new());
    assert_eq!(old.apply(&none), Ok(Config::default()));
}

/// Guards against two links that share a key: zone names may contain hyphens, so a hyphen cannot
/// separate them.
#[test]
fn links_of_zones_with_hyphens_have_different_keys() {
    let mut config = config();
    let link = |a: &str, b: &str| super::Link {
        a: a.into(),
        b: b.into(),
        delay: std::time::Duration::ZERO,
        bytes_per_second: 1000,
    };
    config.links = vec![link("a", "b--c"), link("a--b", "c")];
    let objects = config.to_objects();
    assert_eq!(Config::from_objects(&objects).unwrap().links.len(), 2);
}

/// Guards against a type that JSON can encode and postcard cannot.
#[test]
fn the_configuration_has_a_binary_form() {
    let config = config();
    let bytes = postcard::to_stdvec(&config).unwrap();
    assert_eq!(postcard::from_bytes::<Config>(&bytes).unwrap(), config);
}
