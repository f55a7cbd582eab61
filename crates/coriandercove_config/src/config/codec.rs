//! Conversion between the typed configuration and its JSON objects.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{
    Account, ClaimSettings, Config, Limits, Link, Pipeline, Placement, Service, Site, Target, Zone,
};
use crate::objects::{Delta, Objects};
use crate::problem::{Problem, Problems, split_expected};

/// Source ([`Problem::file`]) that errors in configuration objects report.
pub const OBJECTS_SOURCE: &str = "configuration";
/// All kinds of objects, for error messages.
const KINDS: &str =
    "site, zone, link, pipeline, service, account, target, placement, limits, claims";
/// Key of the only object of kind `limits`.
const LIMITS: &str = "limits/all";
/// Key of the only object of kind `claims`.
const CLAIMS: &str = "claims/all";

/// A kind of object of which a configuration may have many.
trait ConfigObject: Serialize + DeserializeOwned {
    /// First part of the object key.
    const KIND: &'static str;

    /// Name of the object, the second part of its key.
    fn name(&self) -> String;

    /// The list of this kind in a configuration, sorted by [`ConfigObject::cmp`].
    fn list(config: &mut Config) -> &mut Vec<Self>;

    /// Order of the items in their list.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering;

    fn key(&self) -> String {
        format!("{}/{}", Self::KIND, self.name())
    }
}

/// Implements [`ConfigObject`] for a type that is named and sorted by one field.
macro_rules! config_object {
    ($type:ty, $kind:literal, $list:ident, $name:ident) => {
        impl ConfigObject for $type {
            const KIND: &'static str = $kind;

            fn name(&self) -> String {
                self.$name.to_string()
            }

            fn list(config: &mut Config) -> &mut Vec<Self> {
                &mut config.$list
            }

            fn cmp(&self, other: &Self) -> std::cmp::Ordering {
                self.$name.cmp(&other.$name)
            }
        }
    };
}

config_object!(Site, "site", sites, name);
config_object!(Zone, "zone", zones, name);
config_object!(Pipeline, "pipeline", pipelines, model);
config_object!(Service, "service", services, name);
config_object!(Account, "account", accounts, name);
config_object!(Target, "target", targets, id);

impl ConfigObject for Link {
    const KIND: &'static str = "link";

    fn name(&self) -> String {
        Self::name(self)
    }

    fn list(config: &mut Config) -> &mut Vec<Self> {
        &mut config.links
    }

    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (&self.a, &self.b).cmp(&(&other.a, &other.b))
    }
}

impl ConfigObject for Placement {
    const KIND: &'static str = "placement";

    fn name(&self) -> String {
        Self::name(self)
    }

    fn list(config: &mut Config) -> &mut Vec<Self> {
        &mut config.placements
    }

    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        Self::name(self).cmp(&Self::name(other))
    }
}

impl Config {
    /// Converts the configuration to objects with keys `kind/name`.
    #[must_use]
    pub fn to_objects(&self) -> Objects {
        let mut out = Objects::new();
        put_all(&mut out, &self.sites);
        put_all(&mut out, &self.zones);
        put_all(&mut out, &self.links);
        put_all(&mut out, &self.pipelines);
        put_all(&mut out, &self.services);
        put_all(&mut out, &self.accounts);
        put_all(&mut out, &self.targets);
        put_all(&mut out, &self.placements);
        out.insert(LIMITS.to_owned(), to_value(&self.limits));
        out.insert(CLAIMS.to_owned(), to_value(&self.claims));
        out
    }

    /// Decodes the configuration from objects. If `limits/all` or `claims/all` is missing, its
    /// defaults apply.
    ///
    /// # Errors
    /// Every object that cannot be decoded, with its key and the path of the field.
    pub fn from_objects(objects: &Objects) -> Result<Self, Problems> {
        let mut config = Self::default();
        let mut problems = Problems::default();
        for (key, value) in objects.iter() {
            problems
                .0
                .extend(config.put(key, value, InsertMode::Append).err());
        }
        config.sort();
        problems.into_result(config)
    }

    /// Returns the configuration after a change. Only the objects of the change are decoded,
    /// because every node applies thousands of changes a day.
    ///
    /// # Errors
    /// Every object that cannot be decoded, with its key and the path of the field.
    pub fn apply(&self, delta: &Delta) -> Result<Self, Problems> {
        let mut config = self.clone();
        let mut problems = Problems::default();
        for key in &delta.remove {
            problems.0.extend(config.remove(key).err());
        }
        for (key, value) in delta.put.iter() {
            problems
                .0
                .extend(config.put(key, value, InsertMode::Upsert).err());
        }
        problems.into_result(config)
    }

    fn put(&mut self, key: &str, value: &Value, mode: InsertMode) -> Result<(), Problem> {
        match key.split('/').next().unwrap_or_default() {
            "site" => self.put_item::<Site>(key, value, mode),
            "zone" => self.put_item::<Zone>(key, value, mode),
            "link" => self.put_item::<Link>(key, value, mode),
            "pipeline" => self.put_item::<Pipeline>(key, value, mode),
            "service" => self.put_item::<Service>(key, value, mode),
            "account" => self.put_item::<Account>(key, value, mode),
            "target" => self.put_item::<Target>(key, value, mode),
            "placement" => self.put_item::<Placement>(key, value, mode),
            _ if key == LIMITS => decode(key, value).map(|limits: Limits| self.limits = limits),
            _ if key == CLAIMS => {
                decode(key, value).map(|claims: ClaimSettings| self.claims = claims)
            }
            kind => Err(unknown_kind(key, kind)),
        }
    }

    fn put_item<T: ConfigObject>(
        &mut self,
        key: &str,
        value: &Value,
        mode: InsertMode,
    ) -> Result<(), Problem> {
        let item: T = decode(key, value)?;
        // If key and name could differ, two objects could have the same name.
        if item.key() != key {
            let text = "the key does not match the name inside the object".to_owned();
            return Err(problem(key, text, &format!("the key `{}`", item.key())));
        }
        let list = T::list(self);
        match mode {
            InsertMode::Append => list.push(item),
            InsertMode::Upsert => match list.binary_search_by(|x| x.cmp(&item)) {
                Ok(i) => list[i] = item,
                Err(i) => list.insert(i, item),
            },
        }
        Ok(())
    }

    fn remove(&mut self, key: &str) -> Result<(), Problem> {
        match key.split('/').next().unwrap_or_default() {
            "site" => self.remove_item::<Site>(key),
            "zone" => self.remove_item::<Zone>(key),
            "link" => self.remove_item::<Link>(key),
            "pipeline" => self.remove_item::<Pipeline>(key),
            "service" => self.remove_item::<Service>(key),
            "account" => self.remove_item::<Account>(key),
            "target" => self.remove_item::<Target>(key),
            "placement" => self.remove_item::<Placement>(key),
            _ if key == LIMITS => self.limits = Limits::default(),
            _ if key == CLAIMS => self.claims = ClaimSettings::default(),
            kind => return Err(unknown_kind(key, kind)),
        }
        Ok(())
    }

    /// Removals are rare, so a linear search over the list is sufficient.
    fn remove_item<T: ConfigObject>(&mut self, key: &str) {
        let Some((_, name)) = key.split_once('/') else {
            return;
        };
        T::list(self).retain(|x| x.name() != name);
    }
}

/// How an item is added to its list.
#[derive(Clone, Copy)]
enum InsertMode {
    /// Append the item; the list is sorted after the last item.
    Append,
    /// Replace the item of the same name, or insert in sort order.
    Upsert,
}

fn put_all<T: ConfigObject>(out: &mut Objects, items: &[T]) {
    for item in items {
        out.insert(item.key(), to_value(item));
    }
}

fn to_value(item: &impl Serialize) -> Value {
    // Plain data with string keys is always representable as JSON.
    serde_json::to_value(item).unwrap_or_default()
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

fn unknown_kind(key: &str, kind: &str) -> Problem {
    problem(key, format!("unknown kind `{kind}`"), KINDS)
}

fn problem(key: &str, problem: String, allowed: &str) -> Problem {
    Problem {
        file: OBJECTS_SOURCE.to_owned(),
        line: 0,
        key: key.to_owned(),
        problem,
        allowed: allowed.to_owned(),
    }
}
