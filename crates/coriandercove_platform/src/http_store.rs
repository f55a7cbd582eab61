//! HTTP client of the object store.

use std::time::Duration;

use bytes::Bytes;
use coriandercove_base::http::{HttpCall, HttpClient, HttpError, HttpResponse};
use futures_util::future::LocalBoxFuture;

use crate::protocol::{
    RETRY_AFTER_HEADER, VERSION_HEADER, WireCompacted, WireConflict, decode_batch, decode_listing,
};
use crate::store::{
    Listing, MAX_VALUE, Object, Store, StoreError, StoreResult, Version, WatchBatch, check_key,
    check_prefix,
};

/// Wait that is assumed if a 429 refusal does not have [`RETRY_AFTER_HEADER`].
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Client of an object store over HTTP. The limits of its [`HttpClient`] must allow answers of
/// about 10 MB: a page of values with two hex digits for each byte.
#[derive(Clone)]
pub struct HttpStore {
    client: HttpClient,
    url: String,
    timeout: Duration,
}

/// Whether a call can change the store. A write whose answer is lost has an unknown outcome.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Write,
}

impl HttpStore {
    /// Creates a client of the store at `url`, such as `http://127.0.0.1:9000`. `timeout` applies
    /// to each call; for a watch, the time that it waits is added.
    #[must_use]
    pub fn new(client: HttpClient, url: &str, timeout: Duration) -> Self {
        Self {
            client,
            url: url.trim_end_matches('/').to_owned(),
            timeout,
        }
    }

    fn object_call(&self, method: &str, key: &str) -> Result<HttpCall, StoreError> {
        check_key(key)?;
        let url = format!("{}/v1/objects/{key}", self.url);
        Ok(HttpCall::new(method, url).timeout(self.timeout))
    }

    fn range_call(&self, path: &str, prefix: &str, rest: &str) -> Result<HttpCall, StoreError> {
        check_prefix(prefix)?;
        let url = format!("{}/v1/{path}?prefix={prefix}&{rest}", self.url);
        Ok(HttpCall::new("GET", url).timeout(self.timeout))
    }

    fn send<T: 'static>(
        &self,
        call: Result<HttpCall, StoreError>,
        kind: Kind,
        decode: impl FnOnce(&HttpResponse) -> Result<T, String> + 'static,
    ) -> LocalBoxFuture<'static, Result<T, StoreError>> {
        let client = self.client.clone();
        Box::pin(async move {
            let answer = client
                .call(call?)
                .await
                .map_err(|e| transport_error(kind, &e))?;
            if !(200..300).contains(&answer.status) {
                return Err(status_error(kind, &answer));
            }
            decode(&answer).map_err(|message| unclear_answer(kind, message))
        })
    }
}

/// Returns the error for an answer from which the outcome of the call cannot be told.
const fn unclear_answer(kind: Kind, message: String) -> StoreError {
    match kind {
        Kind::Read => StoreError::Unavailable { message },
        Kind::Write => StoreError::Unknown { message },
    }
}

fn transport_error(kind: Kind, e: &HttpError) -> StoreError {
    let message = e.to_string();
    if e.may_have_arrived() {
        unclear_answer(kind, message)
    } else {
        StoreError::Unavailable { message }
    }
}

fn status_error(kind: Kind, answer: &HttpResponse) -> StoreError {
    let message = format!("status {}: {}", answer.status, answer.excerpt());
    match answer.status {
        404 if kind == Kind::Read => StoreError::NotFound,
        409 if kind == Kind::Write => match serde_json::from_slice(&answer.body) {
            Ok(WireConflict { current }) => StoreError::Conflict { current },
            Err(e) => unclear_answer(kind, format!("status 409 without the current version: {e}")),
        },
        410 if kind == Kind::Read => match serde_json::from_slice(&answer.body) {
            Ok(WireCompacted { oldest }) => StoreError::Compacted { oldest },
            Err(e) => unclear_answer(kind, format!("status 410 without the oldest revision: {e}")),
        },
        413 if kind == Kind::Write => StoreError::TooLarge { limit: MAX_VALUE },
        429 => StoreError::RateLimited {
            retry_after: retry_after(answer),
        },
        // The store answers 503 only before it executes a call, so a write had no effect.
        503 => StoreError::Unavailable { message },
        _ => unclear_answer(kind, message),
    }
}

fn retry_after(answer: &HttpResponse) -> Duration {
    let millis = answer
        .header(RETRY_AFTER_HEADER)
        .and_then(|v| v.parse().ok());
    millis.map_or(DEFAULT_RETRY_AFTER, Duration::from_millis)
}

fn version(answer: &HttpResponse) -> Result<Version, String> {
    let text = answer.header(VERSION_HEADER);
    let text = text.ok_or_else(|| format!("{VERSION_HEADER}: missing"))?;
    text.parse()
        .map_err(|e| format!("{VERSION_HEADER}: {text:?}: {e}"))
}

impl Store for HttpStore {
    fn get(&self, key: &str) -> StoreResult<Object> {
        let call = self.object_call("GET", key);
        let key = key.to_owned();
        self.send(call, Kind::Read, |answer| {
            Ok(Object {
                key,
                version: version(answer)?,
                value: answer.body.clone(),
            })
        })
    }

    fn list(&self, prefix: &str, start_after: &str) -> StoreResult<Listing> {
        let call = check_prefix(start_after)
            .and_then(|()| self.range_call("objects", prefix, &format!("after={start_after}")));
        self.send(call, Kind::Read, |answer| decode_listing(&answer.body))
    }

    fn put_if(&self, key: &str, expected: Version, value: Bytes) -> StoreResult<Version> {
        let call = self.object_call("PUT", key);
        let call = call.map(|c| c.header("if-match", expected.to_string()).body(value));
        self.send(call, Kind::Write, version)
    }

    fn create(&self, key: &str, value: Bytes) -> StoreResult<Version> {
        let call = self.object_call("PUT", key);
        let call = call.map(|c| c.header("if-none-match", "*").body(value));
        self.send(call, Kind::Write, version)
    }

    fn delete_if(&self, key: &str, expected: Version) -> StoreResult<()> {
        let call = self.object_call("DELETE", key);
        let call = call.map(|c| c.header("if-match", expected.to_string()));
        self.send(call, Kind::Write, |_| Ok(()))
    }

    fn watch(&self, prefix: &str, after: Version, wait: Duration) -> StoreResult<WatchBatch> {
        let rest = format!("after={after}&wait_ms={}", wait.as_millis());
        let timeout = self.timeout + wait;
        let call = self.range_call("watch", prefix, &rest);
        let call = call.map(|c| c.timeout(timeout));
        self.send(call, Kind::Read, |answer| decode_batch(&answer.body))
    }
}
