//! Measures the cost of the configuration for growing numbers of accounts and targets: the CPU time
//! and size of a change and of a snapshot, and the memory. Prints one JSON line per figure. The
//! largest size is the planned one.

mod measure;

use measure::fleet::{SIZES, answers};

use coriandercove_base::{NodeId, Time};
use coriandercove_config::Config;
use coriandercove_config::answers::parse;
use coriandercove_state::config_log::{
    Change, ConfigAction, ConfigEvent, ConfigLog, ConfigLogSettings, Edit, Objects, PullConfig,
    PullReply,
};
use std::sync::Arc;

/// Number of changes that are applied to measure one.
const CHANGES: u64 = 300;

fn log(node: &str) -> ConfigLog {
    ConfigLog::new(ConfigLogSettings::new(node.into(), false, Vec::new()))
}

fn pulled(changes: Vec<Change>) -> ConfigEvent {
    ConfigEvent::Pulled {
        peer: NodeId::from("peer"),
        reply: PullReply::Changes(changes),
    }
}

/// Returns the change that creates all objects.
fn setup_change(objects: &coriandercove_config::Objects) -> Change {
    let upserts = objects.iter();
    let edit = Edit {
        upserts: upserts
            .map(|(k, v)| (k.to_owned(), Arc::from(v.to_string())))
            .collect(),
        removes: Vec::new(),
    };
    Change::new(1, 1, "operator".to_owned(), edit, &Objects::default())
}

/// Returns changes of one account each. The digest of each covers all objects after it.
fn changes(start: &Objects, accounts: u64) -> Vec<Change> {
    let mut objects = start.clone();
    let mut out = Vec::new();
    for i in 0..CHANGES {
        let key = format!("account/a{}", i % accounts);
        let text = objects.get(&key).unwrap_or_default();
        let text = text.replacen("100", &format!("{}", 200 + i), 1);
        let mut edit = Edit::default();
        edit.upserts.insert(key.clone(), text.as_str().into());
        // With an empty set of objects the digest is cheap to compute; the right one is set below.
        let mut change = Change::new(
            i + 2,
            u128::from(i) + 2,
            "operator".to_owned(),
            edit,
            &Objects::default(),
        );
        objects.insert(key, text.as_str().into());
        let with_digest = Change::new(
            i + 2,
            u128::from(i) + 2,
            "operator".to_owned(),
            Edit::default(),
            &objects,
        );
        change.digest = with_digest.digest;
        out.push(change);
    }
    out
}

/// Figures at one size: CPU times in microseconds, sizes and memory in bytes.
#[derive(Default)]
struct Figures {
    objects: f64,
    apply_us: f64,
    serve_us: f64,
    install_us: f64,
    snapshot_bytes: f64,
    log_memory: f64,
    decode_us: f64,
    check_us: f64,
    config_memory: f64,
    change_bytes: f64,
    parse_us: f64,
    parsed_memory: f64,
}

fn measure_config(f: &mut Figures, objects: &coriandercove_config::Objects) {
    let before = measure::allocated();
    let (us, config) = measure::micros_of(|| Config::from_objects(objects));
    f.config_memory = measure::allocated() - before;
    f.decode_us = us;
    f.check_us = measure::micros_of(|| config.map(|c| c.check())).0;
}

/// Measures parsing the texts of all objects, as a process does before it decodes a configuration.
fn measure_parse(f: &mut Figures, texts: &Objects) {
    let before = measure::allocated();
    let (us, objects) = measure::micros_of(|| {
        let mut objects = coriandercove_config::Objects::new();
        for (key, text) in texts.iter() {
            let value = serde_json::from_str(text).unwrap_or_default();
            objects.insert(key.to_owned(), value);
        }
        objects
    });
    f.parsed_memory = measure::allocated() - before;
    assert_eq!(
        objects.len(),
        texts.len(),
        "the number of parsed objects differs from that of texts"
    );
    f.parse_us = us;
}

/// Lets `log` answer a pull with a snapshot; returns the CPU time in microseconds and the answers.
fn serve_snapshot(log: &mut ConfigLog) -> (f64, Vec<PullReply>) {
    let pull = ConfigEvent::Pull {
        peer: NodeId::from("peer"),
        req: PullConfig { after: 0 },
    };
    let (us, actions) = measure::micros_of(|| log.on_event(Time::ZERO, pull));
    let replies = actions.into_iter().filter_map(|a| match a {
        ConfigAction::Reply { reply, .. } => Some(reply),
        _ => None,
    });
    (us, replies.collect())
}

/// Returns the encoded size of an answer.
fn encoded_bytes(reply: &PullReply) -> f64 {
    postcard::to_allocvec(reply).map_or(0.0, |b| b.len() as f64)
}

/// Measures all figures for a number of accounts and of replicas in each group of targets.
fn measure_size(accounts: usize, replicas: usize) -> Figures {
    let checked = parse("scale.yaml", &answers(accounts, replicas, 100))
        .unwrap_or_else(|p| panic!("the answers are valid: {p}"));
    let objects = checked.config.to_objects();
    drop(checked);
    let mut f = Figures {
        objects: objects.len() as f64,
        ..Figures::default()
    };
    measure_config(&mut f, &objects);
    let before = measure::allocated();
    let setup = setup_change(&objects);
    let mut log = log("a");
    log.on_event(Time::ZERO, pulled(vec![setup]));
    f.log_memory = measure::allocated() - before;
    measure_parse(&mut f, log.objects());
    let changes = changes(log.objects(), accounts as u64);
    f.change_bytes = changes
        .iter()
        .map(|c| encoded_bytes(&PullReply::Changes(vec![c.clone()])))
        .sum::<f64>()
        / CHANGES as f64;
    let (us, ()) = measure::micros_of(|| {
        for change in changes {
            log.on_event(Time::ZERO, pulled(vec![change]));
        }
    });
    assert_eq!(log.version(), CHANGES + 1, "some change was not applied");
    f.apply_us = us / CHANGES as f64;
    let (serve, replies) = serve_snapshot(&mut log);
    f.serve_us = serve;
    f.snapshot_bytes = replies.iter().map(encoded_bytes).sum();
    f.install_us = install_snapshot(replies, log.version());
    f
}

/// Lets a new log install a snapshot; returns the CPU time in microseconds.
fn install_snapshot(replies: Vec<PullReply>, version: u64) -> f64 {
    let mut fresh = log("b");
    let (us, ()) = measure::micros_of(|| {
        for reply in replies {
            let peer = NodeId::from("peer");
            fresh.on_event(Time::ZERO, ConfigEvent::Pulled { peer, reply });
        }
    });
    assert_eq!(fresh.version(), version, "the snapshot was not installed");
    us
}

fn main() {
    let figures: Vec<Figures> = SIZES.iter().map(|(a, r)| measure_size(*a, *r)).collect();
    let print = |what: &str, y: &str, of: fn(&Figures) -> f64| {
        let points: Vec<_> = figures.iter().map(|f| (f.objects, of(f))).collect();
        measure::print(what, "objects", y, 0, &measure::fit(&points));
    };
    print("config_apply_change", "us", |f| f.apply_us);
    print("config_change", "bytes", |f| f.change_bytes);
    print("config_serve_snapshot", "us", |f| f.serve_us);
    print("config_snapshot", "bytes", |f| f.snapshot_bytes);
    print("config_install_snapshot", "us", |f| f.install_us);
    print("config_log_memory", "bytes", |f| f.log_memory);
    print("config_from_objects", "us", |f| f.decode_us);
    print("config_check", "us", |f| f.check_us);
    print("config_parse_texts", "us", |f| f.parse_us);
    print("config_parsed_memory", "bytes", |f| f.parsed_memory);
    print("config_decoded_memory", "bytes", |f| f.config_memory);
}
