//! Collects bodies into one buffer, whose size is accounted before it grows.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::Snafu;

use coriandercove_base::body_buf::{BodyBuf, DoesNotFit};

/// Why a body was not collected.
#[derive(Debug, Snafu)]
pub enum CollectError {
    /// The body is longer than allowed, or the process has too little memory for it.
    #[snafu(display("{source}"), context(false))]
    DoesNotFit {
        /// Cause.
        source: DoesNotFit,
    },
    /// The body was cut short.
    #[snafu(display("{source}"), context(false))]
    Broken {
        /// Cause.
        source: hyper::Error,
    },
}

/// Collects a body of at most `limit` bytes. `may_hold` is asked before the buffer takes a size, and
/// tells whether there is memory for it.
///
/// # Errors
/// [`CollectError`] as soon as it is known that the body cannot be collected.
pub async fn collect(
    body: &mut Incoming,
    limit: usize,
    mut may_hold: impl FnMut(usize) -> bool,
) -> Result<Bytes, CollectError> {
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(DoesNotFit::TooLong { limit }.into());
    }
    let known = hint.exact().and_then(|n| usize::try_from(n).ok());
    let mut buf = BodyBuf::new(limit, known);
    while let Some(frame) = body.frame().await {
        // Trailers carry no data that is used.
        if let Ok(data) = frame?.into_data() {
            buf.push(&data, &mut may_hold)?;
        }
    }
    Ok(buf.freeze())
}
