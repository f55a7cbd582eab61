//! Paths of keys in YAML documents, such as `accounts[2].weight`.

use serde_norway::Value;

/// One step of a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Segment {
    /// A key of a map.
    Key(String),
    /// An index of a list, from 0.
    Index(usize),
}

/// Formats a path as text, such as `accounts[2].weight`.
#[must_use]
pub fn format_path(path: &[Segment]) -> String {
    let mut out = String::new();
    for segment in path {
        match segment {
            Segment::Key(key) if out.is_empty() => out.push_str(key),
            Segment::Key(key) => {
                out.push('.');
                out.push_str(key);
            }
            Segment::Index(i) => out.push_str(&format!("[{i}]")),
        }
    }
    out
}

/// Parses the text form of a path. Indexes that are no numbers are skipped.
#[must_use]
pub fn parse_path(text: &str) -> Vec<Segment> {
    let mut out = Vec::new();
    for part in text.split('.').filter(|p| !p.is_empty()) {
        let mut pieces = part.split('[');
        let key = pieces.next().unwrap_or_default();
        if !key.is_empty() {
            out.push(Segment::Key(key.to_owned()));
        }
        let indexes = pieces.filter_map(|p| p.strip_suffix(']')?.parse().ok());
        out.extend(indexes.map(Segment::Index));
    }
    out
}

/// Whether `key` equals `path` or is a descendant of it.
pub(super) fn is_at_or_below(key: &str, path: &str) -> bool {
    key.strip_prefix(path)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

/// Converts a path of `serde_path_to_error`. Unknown segments are skipped.
pub(super) fn from_serde(path: &serde_path_to_error::Path) -> Vec<Segment> {
    use serde_path_to_error::Segment as S;
    path.iter()
        .filter_map(|segment| match segment {
            S::Seq { index } => Some(Segment::Index(*index)),
            S::Map { key } => Some(Segment::Key(key.clone())),
            S::Enum { variant } => Some(Segment::Key(variant.clone())),
            S::Unknown => None,
        })
        .collect()
}

/// The value at `path` of a template. Every index selects the first element, because lists in
/// templates show one element of each kind.
pub(super) fn get<'a>(value: &'a Value, path: &[Segment]) -> Option<&'a Value> {
    path.iter().try_fold(value, |value, segment| match segment {
        Segment::Key(key) => value.as_mapping()?.get(key.as_str()),
        Segment::Index(_) => value.as_sequence()?.first(),
    })
}

/// Sets the value at `path`. Missing maps along the path are created. `false` if the path does not
/// fit the value, such as an index beyond the end of a list.
pub(super) fn set(value: &mut Value, path: &[Segment], new: Value) -> bool {
    let Some((last, parents)) = path.split_last() else {
        return false;
    };
    let mut at = value;
    for segment in parents {
        let Some(next) = child_or_insert(at, segment) else {
            return false;
        };
        at = next;
    }
    match (last, at) {
        (Segment::Key(key), Value::Mapping(map)) => {
            map.insert(Value::String(key.clone()), new);
            true
        }
        (Segment::Index(i), Value::Sequence(list)) if *i < list.len() => {
            list[*i] = new;
            true
        }
        _ => false,
    }
}

/// The child at `segment`. A missing key of a map is added with an empty map.
fn child_or_insert<'a>(value: &'a mut Value, segment: &Segment) -> Option<&'a mut Value> {
    match segment {
        Segment::Key(key) => {
            let map = value.as_mapping_mut()?;
            if !map.contains_key(key.as_str()) {
                map.insert(
                    Value::String(key.clone()),
                    Value::Mapping(Default::default()),
                );
            }
            map.get_mut(key.as_str())
        }
        Segment::Index(i) => value.as_sequence_mut()?.get_mut(*i),
    }
}

/// Removes the value at `path`. `false` if there is none.
pub(super) fn remove(value: &mut Value, path: &[Segment]) -> bool {
    let Some((last, parents)) = path.split_last() else {
        return false;
    };
    let mut at = value;
    for segment in parents {
        let next = match segment {
            Segment::Key(key) => at.as_mapping_mut().and_then(|m| m.get_mut(key.as_str())),
            Segment::Index(i) => at.as_sequence_mut().and_then(|s| s.get_mut(*i)),
        };
        let Some(next) = next else {
            return false;
        };
        at = next;
    }
    match (last, at) {
        (Segment::Key(key), Value::Mapping(map)) => map.remove(key.as_str()).is_some(),
        (Segment::Index(i), Value::Sequence(list)) if *i < list.len() => {
            list.remove(*i);
            true
        }
        _ => false,
    }
}
