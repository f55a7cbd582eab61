//! Validation of the configuration: names, references, ranges and layer coverage.

mod topology;
mod traffic;

use std::time::Duration;

use super::codec::OBJECTS_SOURCE;
use super::{Config, Placement};
use crate::problem::{Problem, Problems};

/// Allowed form of names, for error messages.
pub const NAME_FORM: &str =
    "1 to 63 of a-z, 0-9, `-`, `_` and `.`, starting with a letter or digit";

/// Whether `name` is a valid object name; see [`NAME_FORM`].
#[must_use]
pub fn is_name(name: &str) -> bool {
    let first = name.bytes().next();
    name.len() <= 63
        && first.is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit())
        && name
            .bytes()
            .all(|b| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.'))
}

impl Config {
    /// Checks names, references, ranges and whether every layer of every model is placed.
    ///
    /// # Errors
    /// All problems, sorted. The key of each is the object key and the field, such as
    /// `target/t1.zone`.
    pub fn check(&self) -> Result<(), Problems> {
        let mut c = Checker::default();
        c.sites(self);
        self.links.iter().for_each(|l| c.link(self, l));
        self.pipelines.iter().for_each(|p| c.pipeline(self, p));
        self.services.iter().for_each(|s| c.service(self, s));
        self.accounts.iter().for_each(|a| c.account(a));
        c.key_ids(&self.accounts);
        c.targets(self);
        self.placements.iter().for_each(|p| c.placement(self, p));
        c.limits(&self.limits);
        c.claims(&self.claims);
        c.duplicates(self);
        c.problems.into_result(())
    }
}

#[derive(Default)]
struct Checker {
    problems: Problems,
}

impl Checker {
    fn add(&mut self, key: String, problem: String, allowed: &str) {
        self.problems.0.push(Problem {
            file: OBJECTS_SOURCE.to_owned(),
            line: 0,
            key,
            problem,
            allowed: allowed.to_owned(),
        });
    }

    fn name(&mut self, key: String, name: &str) {
        if !is_name(name) {
            self.add(key, format!("`{name}` is not a valid name"), NAME_FORM);
        }
    }

    fn range(&mut self, key: &str, field: &str, value: u64, min: u64, max: u64) {
        if !(min..=max).contains(&value) {
            self.add(
                format!("{key}.{field}"),
                format!("{value} is out of range"),
                &format!("{min} to {max}"),
            );
        }
    }

    /// Checks that a duration lies between `min` and `max`, in milliseconds.
    fn millis(&mut self, key: &str, field: &str, value: Duration, min: u64, max: u64) {
        let micros = value.as_micros();
        if micros < u128::from(min) * 1000 || micros > u128::from(max) * 1000 {
            let text = crate::duration::format;
            let limit = |ms| text(Duration::from_millis(ms));
            self.add(
                format!("{key}.{field}"),
                format!("{} is out of range", text(value)),
                &format!("{} to {}", limit(min), limit(max)),
            );
        }
    }

    /// Checks that `name` refers to an existing object; `what` is its kind for the message.
    fn reference(&mut self, key: String, what: &str, name: &str, names: &[&str]) {
        if !names.contains(&name) {
            self.add(
                key,
                format!("there is no {what} `{name}`"),
                &list_names(names),
            );
        }
    }

    fn duplicates(&mut self, config: &Config) {
        self.reject_duplicates("site", config.sites.iter().map(|x| x.name.clone()));
        self.reject_duplicates("zone", config.zones.iter().map(|x| x.name.to_string()));
        self.reject_duplicates("link", config.links.iter().map(|x| x.name()));
        self.reject_duplicates(
            "pipeline",
            config.pipelines.iter().map(|x| x.model.to_string()),
        );
        self.reject_duplicates("service", config.services.iter().map(|x| x.name.clone()));
        self.reject_duplicates(
            "account",
            config.accounts.iter().map(|x| x.name.to_string()),
        );
        self.reject_duplicates("target", config.targets.iter().map(|x| x.id.to_string()));
        self.reject_duplicates("placement", config.placements.iter().map(Placement::name));
    }

    fn reject_duplicates(&mut self, kind: &str, names: impl Iterator<Item = String>) {
        let mut names: Vec<String> = names.collect();
        names.sort();
        for pair in names.windows(2).filter(|pair| pair[0] == pair[1]) {
            self.add(
                format!("{kind}/{}", pair[0]),
                format!("`{}` is given twice", pair[0]),
                "unique names",
            );
        }
    }
}

/// Checks the delay and bandwidth at `key`, for links and for the answers that give them.
pub(crate) fn check_quality(key: &str, delay: Duration, bytes_per_second: u64) -> Problems {
    let mut c = Checker::default();
    c.millis(key, "delay", delay, 0, 10_000);
    c.range(
        key,
        "bytes_per_second",
        bytes_per_second,
        1000,
        1_000_000_000_000,
    );
    c.problems
}

impl Config {
    fn zone_names(&self) -> Vec<&str> {
        self.zones.iter().map(|z| &*z.name).collect()
    }
}

/// Lists the first 12 names, for error messages.
pub(crate) fn list_names(names: &[&str]) -> String {
    const MAX_SHOWN: usize = 12;
    match names.len() {
        0 => "none is defined yet".to_owned(),
        n if n > MAX_SHOWN => format!(
            "{} and {} more",
            names[..MAX_SHOWN].join(", "),
            n - MAX_SHOWN
        ),
        _ => names.join(", "),
    }
}
