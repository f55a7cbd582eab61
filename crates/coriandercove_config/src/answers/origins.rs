//! Which answer an object of the configuration comes from.

use std::collections::HashMap;

/// Answer path of each object, and of parts of objects whose fields are answered elsewhere.
#[derive(Debug, Default)]
pub(super) struct Origins {
    paths: HashMap<String, String>,
}

impl Origins {
    pub(super) fn add(&mut self, object: String, path: String) {
        self.paths.insert(object, path);
    }

    /// Path of the answer for a key such as `target/t1.zone`; empty if there is none.
    pub(super) fn answer(&self, key: &str) -> String {
        // Names may contain dots, so the longest known object that starts the key is wanted.
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

/// Name of the answer for a field of an object. Most have the same name.
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
