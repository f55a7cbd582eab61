//! Tests at the planned size: 19,000 client accounts, 3,300 targets, 8 models and 11 zones.

use std::fmt::Write as _;

use coriandercove_config::Config;
use coriandercove_config::answers::parse;
use coriandercove_config::diff::diff;

const ACCOUNTS: usize = 19_000;
const MODELS: usize = 8;
const ZONES: usize = 11;

/// Answers of the planned size. Each zone has a group of targets for each model.
fn answers() -> String {
    let mut out = String::from(
        "trade: {name: scale}\nplatform: {store: [\"http://10.0.0.1:7300\"]}\nsites:\n",
    );
    for z in 0..ZONES {
        let region = z % 5;
        let _ = writeln!(out, "- {{name: s{z}, region: r{region}, zones: [z{z}]}}");
    }
    out.push_str("entries:\n- {node: e, zone: z0, callers: \"10.0.0.2:80\", peer: \"10.0.0.2:81\", operations: \"10.0.0.2:82\"}\naccounts:\n");
    for a in 0..ACCOUNTS {
        let _ = writeln!(out, "- {{name: a{a}, quota_tokens_per_second: 100}}");
    }
    out.push_str("models:\n");
    for m in 0..MODELS {
        let _ = writeln!(
            out,
            "- {{model: m{m}, version: v1, layers: 80, hidden_size: 8192, max_tokens: 8192, compute: [{{accelerator: l4, decode_us: 300, prefill_ns: 9000}}]}}"
        );
    }
    out.push_str("targets:\n");
    for (z, m) in (0..ZONES).flat_map(|z| (0..MODELS).map(move |m| (z, m))) {
        // 88 groups; 44 with 37 and 44 with 38 targets are 3,300.
        let replicas = 37 + (z * MODELS + m) % 2;
        let _ = writeln!(
            out,
            "- {{name: g{z}-{m}, zone: z{z}, replicas: {replicas}, peer: \"10.{}.{m}.1:7400\", checks_orders: true, accelerator: l4, model: m{m}}}",
            z + 1
        );
    }
    out
}

/// Guards against algorithms whose cost grows faster than the configuration: at this size they
/// would take minutes.
#[test]
fn the_planned_size_is_handled() {
    let text = answers();
    let checked = parse("scale.yaml", &text).unwrap_or_else(|p| panic!("{p}"));
    assert_eq!(checked.config.targets.len(), 3300);
    assert_eq!(checked.config.accounts.len(), ACCOUNTS);
    let objects = checked.config.to_objects();
    assert_eq!(Config::from_objects(&objects), Ok(checked.config));
    let mut changed = objects.clone();
    let mut account = changed.remove("account/a7").expect("the account exists");
    account["weight"] = 2.into();
    changed.insert("account/a7".to_owned(), account);
    assert_eq!(diff(&objects, &changed).len(), 1);
    assert_ne!(objects.digest(), changed.digest());
    // A delta is stored as one value, and the store accepts values up to 1 MB; snapshots are
    // written in chunks.
    assert!(serde_json::to_vec(&objects.delta(&changed)).is_ok_and(|d| d.len() < 1000));
}

/// Prints the time of each step; run it with `--release --ignored --nocapture`.
#[test]
#[ignore = "prints measurements and asserts nothing"]
fn measure() {
    let text = answers();
    let timed = |what: &str, f: &mut dyn FnMut()| {
        let start = std::time::Instant::now();
        f();
        println!("{what}: {:?}", start.elapsed());
    };
    let mut config = Config::default();
    timed("parse and check", &mut || {
        config = parse("scale.yaml", &text)
            .unwrap_or_else(|p| panic!("{p}"))
            .config;
    });
    let mut objects = coriandercove_config::Objects::new();
    timed("to objects", &mut || objects = config.to_objects());
    timed("from objects", &mut || drop(Config::from_objects(&objects)));
    let mut changed = objects.clone();
    let mut account = changed.remove("account/a7").unwrap_or_default();
    account["weight"] = 2.into();
    changed.insert("account/a7".to_owned(), account);
    let delta = objects.delta(&changed);
    timed("apply a change", &mut || drop(config.apply(&delta)));
    timed("check", &mut || drop(config.check()));
    timed("digest", &mut || drop(objects.digest()));
    timed("clone", &mut || drop(objects.clone()));
    println!(
        "{} objects, {} bytes of JSON",
        objects.len(),
        objects.to_json().len()
    );
}
