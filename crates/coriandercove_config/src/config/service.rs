//! Plain services and the rules for their calls.

use std::time::Duration;

use coriandercove_base::data;

data! {
    /// A plain service: an HTTP back end that serves no model.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Name of the service, as in `/services/{name}/`.
        pub name: String,
        /// Rules in order of precedence; the first that matches a call applies.
        pub rules: Vec<Rule>,
        /// Timeout of calls that no rule matches. Such calls are treated as [`Repeat::AtMostOnce`].
        #[serde(with = "crate::duration")]
        pub timeout: Duration,
        /// Maximum number of calls in flight at one replica.
        pub concurrency: u32,
    }

    /// How calls that match a method and a path pattern are handled.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Rule {
        /// HTTP method in upper case, or `*` for every method.
        pub method: String,
        /// Path pattern, relative to the root of the service. `*` matches one segment, a final `**`
        /// any number of further segments.
        pub path: String,
        /// Whether a call may be retried.
        pub repeat: Repeat,
        /// Deadline of a call, counted from its arrival.
        #[serde(with = "crate::duration")]
        pub timeout: Duration,
    }

    /// Whether a call may be executed more than once.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Repeat {
        /// The call is executed at most once.
        #[serde(rename = "once")]
        AtMostOnce,
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

    /// Whether a call may be retried, and its timeout. Calls without a rule are executed at most
    /// once, because a retry of a call with unknown effects could apply them twice.
    #[must_use]
    pub fn handling(&self, method: &str, path: &str) -> (Repeat, Duration) {
        self.rule(method, path)
            .map_or((Repeat::AtMostOnce, self.timeout), |r| {
                (r.repeat, r.timeout)
            })
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

/// HTTP methods that a rule may name, for error messages.
pub(crate) const METHODS_FORM: &str = "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS or *";
/// Allowed form of path patterns, for error messages.
pub(crate) const PATTERN_FORM: &str =
    "a path from `/`, in which `*` stands for one segment and a final `**` for any rest";

/// Whether `method` is an HTTP method that a rule may name, or `*`.
pub(crate) fn is_method(method: &str) -> bool {
    matches!(
        method,
        "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE" | "OPTIONS" | "*"
    )
}

/// Checks the form of a path pattern; the error names the invalid part.
pub(crate) fn check_pattern(pattern: &str) -> Result<(), String> {
    if !pattern.starts_with('/') {
        return Err(format!("`{pattern}` does not start with `/`"));
    }
    let segments: Vec<&str> = pattern[1..].split('/').collect();
    let invalid = segments.iter().enumerate().find(|(i, s)| {
        let is_last = i + 1 == segments.len();
        let has_invalid_char =
            s.contains(['?', '#', ' ']) || (s.contains('*') && **s != "*" && **s != "**");
        has_invalid_char || (**s == "**" && !is_last) || (s.is_empty() && !is_last)
    });
    match invalid {
        Some((_, segment)) => Err(format!("`{pattern}` has the invalid segment `{segment}`")),
        None => Ok(()),
    }
}
