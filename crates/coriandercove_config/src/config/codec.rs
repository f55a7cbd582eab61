//! Conversion between the typed configuration and its objects.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{Config, Placement};
use crate::objects::Objects;
use crate::problem::{Problem, Problems, split_expected};

/// Place that errors in objects name.
pub const PLACE: &str = "configuration";
/// Kinds of objects, for error messages.
const KINDS: &str =
    "site, zone, link, pipeline, service, account, target, placement, limits, claims";
/// Name of the only object of a kind.
const SINGLE: &str = "all";

impl Config {
    /// The configuration as objects with keys `kind/name`.
    #[must_use]
    pub fn to_objects(&self) -> Objects {
        let mut out = Objects::new();
        put(&mut out, "site", &self.sites, |x| x.name.clone());
        put(&mut out, "zone", &self.zones, |x| x.name.to_string());
        put(&mut out, "link", &self.links, |x| {
            format!("{}--{}", x.a, x.b)
        });
        put(&mut out, "pipeline", &self.pipelines, |x| {
            x.model.to_string()
        });
        put(&mut out, "service", &self.services, |x| x.name.clone());
        put(&mut out, "account", &self.accounts, |x| x.name.to_string());
        put(&mut out, "target", &self.targets, |x| x.id.to_string());
        put(&mut out, "placement", &self.placements, Placement::name);
        put(
            &mut out,
            "limits",
            std::slice::from_ref(&self.limits),
            |_| SINGLE.to_owned(),
        );
        put(
            &mut out,
            "claims",
            std::slice::from_ref(&self.claims),
            |_| SINGLE.to_owned(),
        );
        out
    }

    /// Reads the configuration from objects. Missing `limits/all` and `claims/all` mean defaults.
    ///
    /// # Errors
    /// Every object that cannot be read, with its key and the path of the field.
    pub fn from_objects(objects: &Objects) -> Result<Self, Problems> {
        let mut config = Self::default();
        let mut problems = Problems::default();
        for (key, value) in objects.iter() {
            if let Err(problem) = config.add(key, value) {
                problems.0.push(problem);
            }
        }
        if problems.0.is_empty() {
            config.sort();
            check_keys(&config, objects, &mut problems);
        }
        problems.or(config)
    }

    fn add(&mut self, key: &str, value: &Value) -> Result<(), Problem> {
        let kind = key.split('/').next().unwrap_or_default();
        match kind {
            "site" => self.sites.push(decode(key, value)?),
            "zone" => self.zones.push(decode(key, value)?),
            "link" => self.links.push(decode(key, value)?),
            "pipeline" => self.pipelines.push(decode(key, value)?),
            "service" => self.services.push(decode(key, value)?),
            "account" => self.accounts.push(decode(key, value)?),
            "target" => self.targets.push(decode(key, value)?),
            "placement" => self.placements.push(decode(key, value)?),
            "limits" => self.limits = decode(key, value)?,
            "claims" => self.claims = decode(key, value)?,
            _ => return Err(problem(key, format!("unknown kind `{kind}`"), KINDS)),
        }
        Ok(())
    }
}

/// Every object must lie at the key that its content gives, otherwise two objects could share a name.
fn check_keys(config: &Config, objects: &Objects, problems: &mut Problems) {
    let expected = config.to_objects();
    for (key, _) in objects
        .iter()
        .filter(|(key, _)| expected.get(key).is_none())
    {
        problems.0.push(problem(
            key,
            "the key does not match the name inside the object".to_owned(),
            "`kind/name` with the object's own name",
        ));
    }
}

fn put<T: Serialize>(out: &mut Objects, kind: &str, items: &[T], name: impl Fn(&T) -> String) {
    for item in items {
        // Plain data with text keys always has a JSON form.
        let value = serde_json::to_value(item).unwrap_or_default();
        out.insert(format!("{kind}/{}", name(item)), value);
    }
}

fn decode<T: DeserializeOwned>(key: &str, value: &Value) -> Result<T, Problem> {
    serde_path_to_error::deserialize(value).map_err(|e| {
        let path = e.path().to_string();
        let (text, mut allowed) = split_expected(&e.inner().to_string());
        if allowed.is_empty() {
            allowed = "an object as `coriandercove generate` writes it".to_owned();
        }
        let key = if path == "." {
            key.to_owned()
        } else {
            format!("{key}.{path}")
        };
        problem(&key, text, &allowed)
    })
}

fn problem(key: &str, problem: String, allowed: &str) -> Problem {
    Problem {
        file: PLACE.to_owned(),
        line: 0,
        key: key.to_owned(),
        problem,
        allowed: allowed.to_owned(),
    }
}
