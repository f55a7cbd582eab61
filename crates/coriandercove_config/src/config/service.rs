//! Plain services and the rules of their calls.

use std::time::Duration;

use coriandercove_base::data;

data! {
    /// A plain service that runs beside the pipelines.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Name of the service, as in `/services/{name}/`.
        pub name: String,
        /// Rules in order; the first that matches a call applies.
        pub rules: Vec<Rule>,
        /// Timeout of calls that no rule matches. Such calls are treated as [`Repeat::Once`].
        #[serde(with = "crate::duration")]
        pub timeout: Duration,
        /// Calls in progress at one replica.
        pub concurrency: u32,
    }

    /// How calls of one kind are handled.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Rule {
        /// HTTP method in upper case, or `*` for every method.
        pub method: String,
        /// Path pattern from the service's root. `*` matches one segment, a final `**` any rest.
        pub path: String,
        /// Whether a call may repeat.
        pub repeat: Repeat,
        /// Latest end of a call after it arrived.
        #[serde(with = "crate::duration")]
        pub timeout: Duration,
    }

    /// Whether a call may repeat.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Repeat {
        /// The call runs at most once.
        Once,
        /// The call may be retried.
        Repeatable,
    }
}

impl Service {
    /// The first rule that matches a call.
    #[must_use]
    pub fn rule(&self, method: &str, path: &str) -> Option<&Rule> {
        self.rules.iter().find(|r| r.matches(method, path))
    }

    /// Whether a call may repeat, and its timeout. Calls without a rule run at most once,
    /// because repeating a call of unknown effect could double that effect.
    #[must_use]
    pub fn handling(&self, method: &str, path: &str) -> (Repeat, Duration) {
        self.rule(method, path)
            .map_or((Repeat::Once, self.timeout), |r| (r.repeat, r.timeout))
    }
}

impl Rule {
    /// Whether the rule applies to a call. A query string in `path` is ignored.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or_default();
        (self.method == "*" || self.method == method) && path_matches(&self.path, path)
    }
}

fn path_matches(pattern: &str, path: &str) -> bool {
    let mut segments = path.trim_matches('/').split('/');
    for part in pattern.trim_matches('/').split('/') {
        if part == "**" {
            return true;
        }
        match segments.next() {
            Some(segment) if part == "*" && !segment.is_empty() => {}
            Some(segment) if part == segment => {}
            _ => return false,
        }
    }
    segments.next().is_none()
}

/// Methods that a rule may name, for error messages.
pub(crate) const METHODS_FORM: &str = "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS or *";
/// Form of path patterns, for error messages.
pub(crate) const PATTERN_FORM: &str =
    "a path from `/`, in which `*` stands for one segment and a final `**` for any rest";

/// Whether a rule may name this method.
pub(crate) fn is_method(method: &str) -> bool {
    matches!(
        method,
        "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE" | "OPTIONS" | "*"
    )
}

/// Checks the form of a path pattern.
pub(crate) fn check_pattern(pattern: &str) -> Result<(), String> {
    if !pattern.starts_with('/') {
        return Err(format!("`{pattern}` does not start with `/`"));
    }
    let segments: Vec<&str> = pattern[1..].split('/').collect();
    let wrong = segments.iter().enumerate().find(|(i, s)| {
        let last = i + 1 == segments.len();
        let odd = s.contains(['?', '#', ' ']) || (s.contains('*') && **s != "*" && **s != "**");
        odd || (**s == "**" && !last) || (s.is_empty() && !last)
    });
    match wrong {
        Some((_, segment)) => Err(format!("`{pattern}` has the invalid segment `{segment}`")),
        None => Ok(()),
    }
}
