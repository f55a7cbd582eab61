//! The body of every error that a caller gets.

use std::time::Duration;

use serde::Serialize;

/// Whether a refused request had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Stable name, the same as in the JSON body.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// JSON body of every error. The top-level fields are stable; `error` repeats the reason, with a
/// message, in the format that existing clients read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RefusalBody {
    /// Stable name of the reason.
    pub reason: String,
    /// Whether the request did not run or may have run.
    pub outcome: Outcome,
    /// Time after which the caller may retry, in milliseconds; none if the refusal states no time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Id of the refused request.
    pub request_id: String,
    error: ErrorObject,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct ErrorObject {
    message: String,
    #[serde(rename = "type")]
    kind: &'static str,
    code: String,
}

impl RefusalBody {
    /// Creates the body of a refusal. `status` is the HTTP status that it is sent with; it
    /// determines the type of the error.
    #[must_use]
    pub fn new(
        status: u16,
        reason: &str,
        outcome: Outcome,
        message: impl Into<String>,
        request_id: String,
    ) -> Self {
        let kind = match status {
            401 | 403 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        Self {
            reason: reason.to_owned(),
            outcome,
            retry_after_ms: None,
            request_id,
            error: ErrorObject {
                message: message.into(),
                kind,
                code: reason.to_owned(),
            },
        }
    }

    /// Adds the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Value of the `Retry-After` header, in seconds, rounded up and at least 1.
    #[must_use]
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1000).max(1))
    }

    /// Encodes the body as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        // A body holds only strings and numbers, which always serialize.
        serde_json::to_string(self).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
