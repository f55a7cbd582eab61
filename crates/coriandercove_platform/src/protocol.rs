//! The HTTP protocol of the object store. The value of a single object is the plain body; listings,
//! watches and refusals are JSON.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /v1/objects/{key}` | the value; its version in [`VERSION_HEADER`] |
//! | `GET /v1/objects?prefix=P&after=K` | [`WireListing`] |
//! | `PUT /v1/objects/{key}` | create with `if-none-match: *`, replace with `if-match: VERSION` |
//! | `DELETE /v1/objects/{key}` | with `if-match: VERSION` |
//! | `GET /v1/watch?prefix=P&after=REVISION&wait_ms=N` | [`WireBatch`] |
//!
//! Refusals: 404 not found, 409 [`WireConflict`], 410 [`WireCompacted`], 413 too large, 429 with
//! [`RETRY_AFTER_HEADER`], 503 unavailable.

use bytes::Bytes;
use coriandercove_base::data;

use crate::store::{Change, Listing, Object, Version, WatchBatch};

/// Response header with the version of an object.
pub const VERSION_HEADER: &str = "x-version";
/// Response header with the time after which a call is allowed again, in milliseconds.
pub const RETRY_AFTER_HEADER: &str = "retry-after-ms";

data! {
    /// A value in JSON.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum WireValue {
        /// A value that is UTF-8.
        Text(String),
        /// Any other value, as two hex digits for each byte.
        Hex(String),
    }

    /// An object in JSON; `value` is `null` for a deleted object.
    #[derive(Eq)]
    pub struct WireObject {
        /// Name of the object.
        pub key: String,
        /// Version of the value.
        pub version: Version,
        /// The value; `None` for a deleted object. The field must be present, so that an object
        /// whose value was left out by mistake is not read as deleted.
        #[serde(deserialize_with = "Option::deserialize")]
        pub value: Option<WireValue>,
    }

    /// One page of a listing; see [`Listing`].
    #[derive(Eq)]
    pub struct WireListing {
        /// Revision of the store when the page was read.
        pub revision: Version,
        /// Objects in the order of their keys.
        pub objects: Vec<WireObject>,
        /// Whether objects follow after the last one.
        pub more: bool,
    }

    /// Result of a watch; see [`WatchBatch`].
    #[derive(Eq)]
    pub struct WireBatch {
        /// Revision from which the next watch begins.
        pub revision: Version,
        /// Changed objects in the order of their versions.
        pub changes: Vec<WireObject>,
    }

    /// Body of a 409 refusal: the object has another version than the request named.
    #[derive(Eq)]
    pub struct WireConflict {
        /// Current version of the object; `null` if it does not exist. A body without the field is
        /// invalid, because it would otherwise mean that the object does not exist.
        #[serde(deserialize_with = "Option::deserialize")]
        pub current: Option<Version>,
    }

    /// Body of a 410 refusal: the watch began at a revision that is too old.
    #[derive(Eq)]
    pub struct WireCompacted {
        /// Earliest revision from which a watch may begin.
        pub oldest: Version,
    }
}

impl WireValue {
    /// Encodes a value as text if it is UTF-8, otherwise as hex digits.
    #[must_use]
    pub fn encode(value: &[u8]) -> Self {
        match std::str::from_utf8(value) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Hex(value.iter().map(|b| format!("{b:02x}")).collect()),
        }
    }

    /// Decodes a value.
    ///
    /// # Errors
    /// Returns a description of the problem if the hex digits are not valid.
    pub fn decode(self) -> Result<Bytes, String> {
        let hex = match self {
            Self::Text(text) => return Ok(text.into()),
            Self::Hex(hex) => hex,
        };
        let digits = hex.as_bytes().chunks(2);
        let bytes: Option<Vec<u8>> = digits.map(hex_byte).collect();
        Ok(bytes
            .ok_or("value.hex: must be pairs of hex digits")?
            .into())
    }
}

fn hex_byte(pair: &[u8]) -> Option<u8> {
    let [high, low] = pair else { return None };
    let digit = |b: u8| char::from(b).to_digit(16);
    Some((digit(*high)? * 16 + digit(*low)?) as u8)
}

impl From<&Listing> for WireListing {
    fn from(listing: &Listing) -> Self {
        let wire = |o: &Object| WireObject {
            key: o.key.clone(),
            version: o.version,
            value: Some(WireValue::encode(&o.value)),
        };
        Self {
            revision: listing.revision,
            objects: listing.objects.iter().map(wire).collect(),
            more: listing.more,
        }
    }
}

impl TryFrom<WireListing> for Listing {
    type Error = String;

    fn try_from(wire: WireListing) -> Result<Self, String> {
        let object = |(i, o): (usize, WireObject)| {
            let value = o.value.ok_or("value: missing".to_owned());
            let value = value.and_then(WireValue::decode);
            Ok(Object {
                key: o.key,
                version: o.version,
                value: value.map_err(|e| format!("objects[{i}].{e}"))?,
            })
        };
        let objects = wire.objects.into_iter().enumerate().map(object);
        Ok(Self {
            revision: wire.revision,
            objects: objects.collect::<Result<_, String>>()?,
            more: wire.more,
        })
    }
}

impl From<&WatchBatch> for WireBatch {
    fn from(batch: &WatchBatch) -> Self {
        let wire = |c: &Change| WireObject {
            key: c.key.clone(),
            version: c.version,
            value: c.value.as_deref().map(WireValue::encode),
        };
        Self {
            revision: batch.revision,
            changes: batch.changes.iter().map(wire).collect(),
        }
    }
}

impl TryFrom<WireBatch> for WatchBatch {
    type Error = String;

    fn try_from(wire: WireBatch) -> Result<Self, String> {
        let change = |(i, o): (usize, WireObject)| {
            let value = o.value.map(WireValue::decode).transpose();
            Ok(Change {
                key: o.key,
                version: o.version,
                value: value.map_err(|e| format!("changes[{i}].{e}"))?,
            })
        };
        let changes = wire.changes.into_iter().enumerate().map(change);
        Ok(Self {
            revision: wire.revision,
            changes: changes.collect::<Result<_, String>>()?,
        })
    }
}

/// Decodes the body of a listing.
///
/// # Errors
/// Returns a description of the first place that is not valid.
pub fn decode_listing(body: &[u8]) -> Result<Listing, String> {
    let wire: WireListing = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    wire.try_into()
}

/// Decodes the body of a watch.
///
/// # Errors
/// Returns a description of the first place that is not valid.
pub fn decode_batch(body: &[u8]) -> Result<WatchBatch, String> {
    let wire: WireBatch = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    wire.try_into()
}
