//! Decoders of an engine's answers. They never panic, whatever the bytes, and return only values
//! that passed the protocol's checks.

use serde::de::DeserializeOwned;

use crate::cache::CacheEvents;
use crate::engine::{EngineInfo, EngineLoad, ForwardReply, ForwardRequest};

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| e.to_string())
}

/// Decodes the answer to `req` and checks that it has a matching result for each item.
///
/// # Errors
/// Describes the first field or position that is not valid.
pub fn decode_reply(body: &[u8], req: &ForwardRequest) -> Result<ForwardReply, String> {
    let reply: ForwardReply = parse_json(body)?;
    reply.check(req)?;
    Ok(reply)
}

/// Decodes the description of an engine and checks its layer range and batch size.
///
/// # Errors
/// Describes the first field or position that is not valid.
pub fn decode_info(body: &[u8]) -> Result<EngineInfo, String> {
    let info: EngineInfo = parse_json(body)?;
    info.check()?;
    Ok(info)
}

/// Decodes a load report.
///
/// # Errors
/// Describes the first field or position that is not valid.
pub fn decode_load(body: &[u8]) -> Result<EngineLoad, String> {
    parse_json(body)
}

/// Decodes cache events and checks that their numbers are above `after` and strictly ascending.
///
/// # Errors
/// Describes the first field or position that is not valid.
pub fn decode_cache_events(body: &[u8], after: u64) -> Result<CacheEvents, String> {
    let events: CacheEvents = parse_json(body)?;
    events.check(after)?;
    Ok(events)
}
