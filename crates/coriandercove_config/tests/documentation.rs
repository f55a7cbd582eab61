//! Compares the tables of `docs/configuration.md` with the programs.

use std::collections::BTreeSet;

use coriandercove_config::Problems;
use coriandercove_config::answers::{TEMPLATE, parse};
use coriandercove_config::duration;
use coriandercove_config::settings::{
    AGENT_DEFAULTS, AGENT_KEYS, ENTRY_DEFAULTS, ENTRY_KEYS, Loader, SettingKey,
};
use serde_norway::Value;

const PAGE: &str = include_str!("../../../docs/configuration.md");

/// A documented key: path, default and allowed values.
struct Row {
    key: String,
    default: String,
    allowed: String,
}

/// Rows of the tables in the section with this heading, with the given number of columns.
fn table(heading: &str, columns: usize) -> Vec<Vec<String>> {
    let start = PAGE
        .find(&format!("\n## {heading}\n"))
        .expect("the heading exists")
        + 4;
    let end = PAGE[start..]
        .find("\n## ")
        .map_or(PAGE.len(), |i| start + i);
    let lines = PAGE[start..end].lines().filter(|l| l.starts_with("| `"));
    let rows = lines.map(|l| l.trim_matches('|').split('|').map(|c| c.trim().to_owned()));
    rows.map(Iterator::collect)
        .inspect(|r: &Vec<String>| assert_eq!(r.len(), columns, "{r:?}"))
        .collect()
}

fn rows(heading: &str) -> Vec<Row> {
    let rows = table(heading, 5).into_iter().map(|r| Row {
        key: r[0].trim_matches('`').to_owned(),
        default: r[2].clone(),
        allowed: r[3].clone(),
    });
    rows.collect()
}

/// Collects the paths of all keys of a document. `[]` stands for every index of a list.
fn keys(value: &Value, path: &str, out: &mut BTreeSet<String>) {
    match value {
        Value::Mapping(map) => {
            for (key, value) in map {
                let key = key.as_str().expect("text keys");
                let dot = if path.is_empty() { "" } else { "." };
                keys(value, &format!("{path}{dot}{key}"), out);
            }
        }
        Value::Sequence(items) => items
            .iter()
            .for_each(|v| keys(v, &format!("{path}[]"), out)),
        _ => {
            out.insert(path.to_owned());
        }
    }
}

/// Parses a defaults file with its commented-out optional keys enabled.
fn with_optional(text: &str) -> Value {
    let lines = text.lines().filter(|l| !l.trim_start().starts_with("# "));
    let lines: Vec<String> = lines.map(|l| l.replacen('#', "", 1)).collect();
    serde_norway::from_str(&lines.join("\n")).expect("valid YAML")
}

/// Mutable access to the value at `key`, in the first list element that has it.
fn find<'a>(value: &'a mut Value, key: &str) -> Option<&'a mut Value> {
    let Some((first, rest)) = key.split_once('.') else {
        return member(value, key);
    };
    match first.strip_suffix("[]") {
        Some(list) => {
            let items = value.get_mut(list)?.as_sequence_mut()?;
            items.iter_mut().find_map(|item| find(item, rest))
        }
        None => find(value.get_mut(first)?, rest),
    }
}

fn member<'a>(value: &'a mut Value, key: &str) -> Option<&'a mut Value> {
    match key.strip_suffix("[]") {
        Some(list) => value.get_mut(list)?.as_sequence_mut()?.first_mut(),
        None => value.get_mut(key),
    }
}

/// Removes the key, or the whole list if `key` ends with `[]`.
fn remove(value: &mut Value, key: &str) {
    let key = key.strip_suffix("[]").unwrap_or(key);
    let (parent, last) = key.rsplit_once('.').unwrap_or(("", key));
    let parent_value = match parent.strip_suffix("[]") {
        Some(list) => find_with(value, list, last),
        None if parent.is_empty() => Some(value),
        None => find(value, parent),
    };
    let map = parent_value
        .and_then(Value::as_mapping_mut)
        .expect("the key exists");
    assert!(map.remove(last).is_some(), "{key}");
}

/// The first element of `list` that has `key`.
fn find_with<'a>(value: &'a mut Value, list: &str, key: &str) -> Option<&'a mut Value> {
    let items = find(value, list)?.as_sequence_mut()?;
    items.iter_mut().find(|item| item.get(key).is_some())
}

type Check = fn(&str) -> Result<(), Problems>;

fn secrets() -> Vec<(String, String)> {
    ["CLUSTER_KEY", "OPERATOR_TOKEN"]
        .map(|n| (format!("CORIANDERCOVE_{n}"), "0123456789abcdef".to_owned()))
        .to_vec()
}

fn documents() -> [(&'static str, Value, Check); 3] {
    [
        ("Answers", with_optional(TEMPLATE), |t| {
            parse("f", t).map(drop)
        }),
        (
            "Settings of the entry",
            with_optional(ENTRY_DEFAULTS),
            |t| Loader::new().env(secrets()).text("f", t).entry().map(drop),
        ),
        (
            "Settings of the agent",
            with_optional(AGENT_DEFAULTS),
            |t| Loader::new().env(secrets()).text("f", t).agent().map(drop),
        ),
    ]
}

fn yaml(value: &Value) -> String {
    serde_norway::to_string(value).expect("plain data")
}

/// Guards against keys that the page does not describe, and described keys that do not exist.
#[test]
fn every_key_is_described() {
    for (heading, value, _) in documents() {
        let mut expected = BTreeSet::new();
        keys(&value, "", &mut expected);
        let described: BTreeSet<String> = rows(heading).into_iter().map(|r| r.key).collect();
        assert_eq!(described, expected, "{heading}");
    }
}

/// Guards against documented defaults that differ from those of the programs.
#[test]
fn defaults_are_those_of_the_programs() {
    for (heading, mut value, _) in documents() {
        for row in rows(heading) {
            // Defaults that are described in words depend on other keys.
            let literal = !row.default.contains(' ')
                && !["required", "none", "empty"].contains(&&*row.default);
            // The template shows `port` because it describes one machine.
            if literal && row.key != "targets[].spread" {
                let shown = yaml(find(&mut value, &row.key).expect("the key exists"));
                assert_eq!(shown.trim(), row.default, "{heading}: {}", row.key);
            }
        }
    }
}

/// Guards against required keys that are documented as optional, or the reverse.
#[test]
fn required_keys_are_marked() {
    for (heading, value, check) in documents() {
        for row in rows(heading) {
            let mut without = value.clone();
            remove(&mut without, &row.key);
            let problems = check(&yaml(&without)).err().unwrap_or_default();
            let name = row
                .key
                .trim_end_matches("[]")
                .rsplit('.')
                .next()
                .unwrap_or_default();
            let names_key = |text: &str| text.contains(&format!("missing key `{name}`"));
            let missing = problems.0.iter().any(|p| {
                names_key(&p.problem)
                    || p.problem.contains("nothing is given")
                    || p.problem.contains("neither `model`")
            });
            assert_eq!(
                missing,
                row.default == "required",
                "{heading}: {}\n{problems}",
                row.key
            );
        }
    }
}

/// The smallest and the largest allowed value, and the values just outside, for the text `A to B`.
fn bounds(allowed: &str) -> Option<([Value; 2], Vec<Value>)> {
    let (min, max) = allowed.split_once(" to ")?;
    if let (Ok(min), Ok(max)) = (min.parse::<u64>(), max.parse::<u64>()) {
        let beyond = min.checked_sub(1).into_iter().chain([max + 1]);
        return Some(([min.into(), max.into()], beyond.map(Value::from).collect()));
    }
    let (min, max) = (duration::parse(min).ok()?, duration::parse(max).ok()?);
    let step = std::time::Duration::from_micros(1);
    let text = |d| Value::from(duration::format(d));
    let beyond = min.checked_sub(step).into_iter().chain([max + step]);
    Some(([text(min), text(max)], beyond.map(text).collect()))
}

/// Guards against documented ranges that the programs do not enforce.
#[test]
fn ranges_are_those_of_the_programs() {
    let mut checked = 0;
    for (heading, value, check) in documents() {
        for row in rows(heading) {
            let Some((inside, beyond)) = bounds(&row.allowed) else {
                continue;
            };
            let name = row.key.rsplit('.').next().unwrap_or_default();
            let is_rejected = |new: &Value| {
                let mut changed = value.clone();
                if name == "target_port" {
                    // With spread `port` the second replica would need a port above the range.
                    *find(&mut changed, "targets[].spread").expect("the key exists") = "ip".into();
                }
                *find(&mut changed, &row.key).expect("the key exists") = new.clone();
                let problems = check(&yaml(&changed)).err().unwrap_or_default();
                problems.0.iter().any(|p| {
                    let is_about_key =
                        p.key.ends_with(name) || (p.key == "targets" && name == "replicas");
                    let range = [
                        "out of range",
                        "invalid value",
                        "too many",
                        "cannot be reached",
                    ];
                    is_about_key && range.iter().any(|r| p.problem.contains(r))
                })
            };
            for new in &beyond {
                assert!(
                    is_rejected(new),
                    "{heading}: {} accepts {}",
                    row.key,
                    yaml(new)
                );
            }
            // Two groups share the largest number of replicas, and one has a replica already.
            for new in inside.iter().filter(|_| name != "replicas") {
                assert!(
                    !is_rejected(new),
                    "{heading}: {} rejects {}",
                    row.key,
                    yaml(new)
                );
            }
            checked += 1;
        }
    }
    assert!(checked > 50, "only {checked} ranges were found");
}

/// Guards against flags and variables that the page omits or misspells.
#[test]
fn flags_and_variables_are_described() {
    let described: BTreeSet<Vec<String>> = table("Flags and environment variables", 4)
        .into_iter()
        .collect();
    let all = ENTRY_KEYS.iter().chain(&AGENT_KEYS);
    let row = |k: &SettingKey| {
        let has = |keys: &[SettingKey]| keys.iter().any(|x| x.key == k.key);
        let program = match (has(&ENTRY_KEYS), has(&AGENT_KEYS)) {
            (true, true) => "both",
            (true, false) => "entry",
            _ => "agent",
        };
        vec![
            format!("`{}`", k.key),
            format!("`{}`", k.flag()),
            format!("`{}`", k.variable()),
            program.to_owned(),
        ]
    };
    assert_eq!(described, all.map(row).collect());
}
