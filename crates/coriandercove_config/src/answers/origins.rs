//! Maps each generated configuration object to the answer that it comes from.

use std::collections::HashMap;

/// Answer path by object key, and by the key of a part of an object (such as a rule of a service)
/// if another answer gives that part.
#[derive(Debug, Default)]
pub(super) struct Origins {
    paths: HashMap<String, String>,
}

impl Origins {
    pub(super) fn add(&mut self, object: String, path: String) {
        self.paths.insert(object, path);
    }

    /// Path of the answer for a configuration key such as `target/t1.zone`; empty if there is none.
    pub(super) fn answer_path(&self, key: &str) -> String {
        // Names may contain dots, so the longest known prefix of the key is the object.
        let ends = std::iter::once(key.len()).chain(key.rmatch_indices('.').map(|(i, _)| i));
        for end in ends {
            if let Some(path) = self.paths.get(&key[..end]) {
                let field = key[end..].trim_start_matches('.');
                return join(path, answer_field(key, path, field));
            }
        }
        String::new()
    }
}

fn join(path: &str, field: &str) -> String {
    if field.is_empty() {
        path.to_owned()
    } else {
        format!("{path}.{field}")
    }
}

/// Key of the answer that gives a field of an object. Most keys equal the field name.
fn answer_field<'a>(key: &str, path: &str, field: &'a str) -> &'a str {
    let kind = key.split('/').next().unwrap_or_default();
    match (kind, field) {
        ("zone", _) => "",
        ("service", "method" | "path") => "call",
        ("link", "a" | "b") if !path.starts_with("network.links") => "",
        ("target", "id") => "name",
        ("target", "operations") => "peer",
        ("target", "kind.engine.accelerator") => "accelerator",
        ("target", "kind.service.service") => "service",
        ("placement", f) if f.starts_with("targets") => "accelerator",
        _ => field,
    }
}
