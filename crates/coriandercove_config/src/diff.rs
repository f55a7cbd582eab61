//! Field-by-field differences between two sets of objects, shown to operators.

use std::fmt;

use coriandercove_base::data;
use serde_json::Value;

use crate::objects::Objects;

data! {
    /// One difference between two sets of objects.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case", tag = "change")]
    pub enum Difference {
        /// The object exists only in the new set.
        Added {
            /// Key of the object.
            object: String,
        },
        /// The object exists only in the old set.
        Removed {
            /// Key of the object.
            object: String,
        },
        /// The value of a field differs.
        Changed {
            /// Key of the object.
            object: String,
            /// Path of the field in the object.
            field: String,
            /// Old value; absent if the field is new.
            old: Option<Value>,
            /// New value; absent if the field was removed.
            new: Option<Value>,
        },
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { object } => write!(f, "+ {object}"),
            Self::Removed { object } => write!(f, "- {object}"),
            Self::Changed {
                object,
                field,
                old,
                new,
            } => write!(f, "~ {object} {field}: {} -> {}", text(old), text(new)),
        }
    }
}

/// Differences from `old` to `new`, sorted by object key and then by field.
#[must_use]
pub fn diff(old: &Objects, new: &Objects) -> Vec<Difference> {
    let delta = old.delta(new);
    let mut out = Vec::new();
    let removed = delta.remove.into_iter();
    out.extend(removed.map(|object| Difference::Removed { object }));
    for (key, value) in delta.put {
        match old.get(&key) {
            None => out.push(Difference::Added { object: key }),
            Some(before) => compare(&key, String::new(), Some(before), Some(&value), &mut out),
        }
    }
    out.sort_by(|a, b| a.object().cmp(b.object()));
    out
}

impl Difference {
    /// Key of the object that differs.
    #[must_use]
    pub fn object(&self) -> &str {
        match self {
            Self::Added { object } | Self::Removed { object } | Self::Changed { object, .. } => {
                object
            }
        }
    }
}

fn compare(
    object: &str,
    path: String,
    old: Option<&Value>,
    new: Option<&Value>,
    out: &mut Vec<Difference>,
) {
    match (old, new) {
        (a, b) if a == b => {}
        (Some(Value::Object(a)), Some(Value::Object(b))) => {
            let mut names: Vec<&String> = a.keys().chain(b.keys()).collect();
            names.sort();
            names.dedup();
            for name in names {
                compare(object, member(&path, name), a.get(name), b.get(name), out);
            }
        }
        (Some(Value::Array(a)), Some(Value::Array(b))) => {
            for i in 0..a.len().max(b.len()) {
                compare(object, format!("{path}[{i}]"), a.get(i), b.get(i), out);
            }
        }
        (a, b) => out.push(Difference::Changed {
            object: object.to_owned(),
            field: path,
            old: a.cloned(),
            new: b.cloned(),
        }),
    }
}

fn member(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn text(value: &Option<Value>) -> String {
    value
        .as_ref()
        .map_or_else(|| "none".to_owned(), Value::to_string)
}

#[cfg(test)]
mod tests;
