//! Decoders of an engine's answers. They accept any bytes and yield a value that can be relied on.

use serde::de::DeserializeOwned;

use crate::cache::CacheEvents;
use crate::engine::{EngineInfo, EngineLoad, ForwardReply, ForwardRequest};

fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| e.to_string())
}

/// Decodes the answer to `req`, with the right result for each item.
///
/// # Errors
/// A description of the first place that is not valid.
pub fn decode_reply(body: &[u8], req: &ForwardRequest) -> Result<ForwardReply, String> {
    let reply: ForwardReply = json(body)?;
    reply.check(req)?;
    Ok(reply)
}

/// Decodes a description of an engine whose layer range is possible.
///
/// # Errors
/// A description of the first place that is not valid.
pub fn decode_info(body: &[u8]) -> Result<EngineInfo, String> {
    let info: EngineInfo = json(body)?;
    info.check()?;
    Ok(info)
}

/// Decodes a load report.
///
/// # Errors
/// A description of the first place that is not valid.
pub fn decode_load(body: &[u8]) -> Result<EngineLoad, String> {
    json(body)
}

/// Decodes cache events whose numbers rise from above `after`.
///
/// # Errors
/// A description of the first place that is not valid.
pub fn decode_cache_events(body: &[u8], after: u64) -> Result<CacheEvents, String> {
    let events: CacheEvents = json(body)?;
    events.check(after)?;
    Ok(events)
}
