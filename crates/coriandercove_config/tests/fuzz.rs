//! Random input to the decoders. The seeds are fixed, so that every run checks the same cases.

use coriandercove_config::answers::{TEMPLATE, generate, parse};
use coriandercove_config::settings::{AGENT_DEFAULTS, ENTRY_DEFAULTS, Loader};
use coriandercove_config::yaml::{Document, LineIndex};
use coriandercove_config::{Config, Objects, Problems};
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use serde_json::Value;

/// Runs `test` for random values of `strategy`.
fn check<S: Strategy>(seed: u8, cases: u32, strategy: &S, test: impl Fn(S::Value)) {
    let config = Cases {
        cases,
        failure_persistence: None,
        ..Cases::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(strategy, |value| {
        test(value);
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
}

fn assert_locations(problems: &Problems) {
    assert!(!problems.0.is_empty());
    for p in &problems.0 {
        assert!(!p.file.is_empty(), "no location in {p}");
        assert!(!p.problem.is_empty(), "no problem in {p}");
        assert!(!p.allowed.is_empty(), "no allowed value in {p}");
    }
}

/// Fragments of YAML and edge-case values, which reach branches that random text seldom does.
fn fragment() -> impl Strategy<Value = String> {
    prop_oneof![
        prop::sample::select(vec![
            "",
            " ",
            "\n",
            "  ",
            ":",
            ": ",
            "- ",
            "[",
            "]",
            "{",
            "}",
            ",",
            "\"",
            "'",
            "|",
            ">",
            "#",
            "&a",
            "*a",
            "!t",
            "null",
            "~",
            "-1",
            "0",
            "65536",
            "4294967296",
            "18446744073709551616",
            "1e400",
            ".nan",
            "true",
            "5s",
            "5 s",
            "0.0.0.0:0",
            "[::]:1",
            "255.255.255.255:65535",
            "http://",
            "é",
            "\u{0}",
            "<<",
            "? ",
        ])
        .prop_map(str::to_owned),
        "\\PC{0,12}",
    ]
}

/// `text` with 1 to 5 edits. Each removes up to 23 characters and inserts a fragment; its position
/// is given in thousandths of the length.
fn mutated(text: &'static str) -> impl Strategy<Value = String> {
    let edit = (0usize..1000, 0usize..24, fragment());
    prop::collection::vec(edit, 1..6).prop_map(move |edits| {
        let mut chars: Vec<char> = text.chars().collect();
        for (at, remove, insert) in edits {
            let start = at * chars.len() / 1000;
            let end = (start + remove).min(chars.len());
            chars.splice(start..end, insert.chars());
        }
        chars.into_iter().collect()
    })
}

/// Guards against answers that crash the check, and errors without a location.
#[test]
fn mutated_answers() {
    check(1, 1500, &mutated(TEMPLATE), |text| {
        match parse("f", &text) {
            Ok(checked) => {
                let config = generate(&checked.answers);
                assert_eq!(config.check(), Ok(()));
                assert_eq!(Config::from_objects(&config.to_objects()), Ok(config));
            }
            Err(problems) => assert_locations(&problems),
        }
    });
}

/// Guards against settings that crash a process at its start.
#[test]
fn mutated_settings() {
    check(2, 1000, &mutated(ENTRY_DEFAULTS), |text| {
        if let Err(problems) = Loader::new().text("f", &text).entry() {
            assert_locations(&problems);
        }
    });
    check(3, 1000, &mutated(AGENT_DEFAULTS), |text| {
        if let Err(problems) = Loader::new().text("f", &text).agent() {
            assert_locations(&problems);
        }
    });
}

/// Guards against arbitrary text that crashes the YAML decoder.
#[test]
fn arbitrary_text() {
    let text = prop::collection::vec(fragment(), 0..40).prop_map(|parts| parts.concat());
    check(4, 3000, &text, |text| {
        let _ = LineIndex::scan(&text).line_of("a.b[0]");
        match Document::parse("f", &text) {
            Ok(_) => drop(parse("f", &text)),
            Err(problems) => assert_locations(&problems),
        }
    });
}

fn json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        fragment().prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 12, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..3).prop_map(Value::from),
            prop::collection::btree_map("[a-z_]{1,8}", inner, 0..3)
                .prop_map(|m| m.into_iter().collect::<serde_json::Map<_, _>>().into()),
        ]
    })
}

/// Replaces the value number `n`, in depth-first order, by `new`. Sets `n` to `usize::MAX` once
/// it is done.
fn replace_nth(value: &mut Value, n: &mut usize, new: &Value) {
    if *n == 0 {
        *value = new.clone();
        *n = usize::MAX;
        return;
    }
    *n -= 1;
    match value {
        Value::Array(items) => items.iter_mut().for_each(|v| replace_in_child(v, n, new)),
        Value::Object(members) => members
            .iter_mut()
            .for_each(|(_, v)| replace_in_child(v, n, new)),
        _ => {}
    }
}

fn replace_in_child(value: &mut Value, n: &mut usize, new: &Value) {
    if *n < usize::MAX / 2 {
        replace_nth(value, n, new);
    }
}

/// Guards against objects in the store that crash every node that reads them.
#[test]
fn mutated_objects() {
    let objects = parse("t", TEMPLATE)
        .expect("the template is valid")
        .config
        .to_objects();
    let keys: Vec<String> = objects.iter().map(|(k, _)| k.to_owned()).collect();
    let change = (prop::sample::select(keys), 0usize..20, json());
    check(5, 3000, &change, |(key, n, new)| {
        let mut changed: Objects = objects.clone();
        let mut value = changed.remove(&key).expect("the key exists");
        replace_nth(&mut value, &mut n.clone(), &new);
        changed.insert(key.clone(), value);
        match Config::from_objects(&changed) {
            Ok(config) => drop(config.check().map_err(|p| assert_locations(&p))),
            Err(problems) => {
                assert_locations(&problems);
                assert!(problems.0.iter().all(|p| !p.key.is_empty()), "{problems}");
            }
        }
        let base = Config::from_objects(&objects).expect("the template is valid");
        let incremental = base.apply(&objects.delta(&changed));
        assert_eq!(incremental.ok(), Config::from_objects(&changed).ok());
        let mut applied = objects.clone();
        applied.apply(&objects.delta(&changed));
        assert_eq!(applied.digest(), changed.digest());
        let _ = coriandercove_config::diff::diff(&objects, &changed);
    });
}

/// Guards against object keys and values that no program writes and that crash the decoder.
#[test]
fn arbitrary_objects() {
    let kinds = vec![
        "site",
        "zone",
        "link",
        "pipeline",
        "service",
        "account",
        "target",
        "placement",
        "limits",
        "claims",
        "",
        "x",
    ];
    let item = (prop::sample::select(kinds), "\\PC{0,10}", json());
    check(6, 2000, &prop::collection::vec(item, 0..4), |items| {
        let entries = items
            .into_iter()
            .map(|(kind, name, v)| (format!("{kind}/{name}"), v));
        let objects: Objects = entries.collect();
        if let Err(problems) = Config::from_objects(&objects) {
            assert_locations(&problems);
        }
    });
}
