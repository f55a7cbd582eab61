//! Durations as text with a unit, such as `250ms`, for use with `#[serde(with = "duration")]`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Units from the longest to the shortest, with their lengths in microseconds.
const UNITS: [(&str, u64); 6] = [
    ("d", 86_400_000_000),
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// Allowed form of a duration, for error messages.
pub const ALLOWED: &str = "a whole number and a unit: us, ms, s, m, h or d, such as 250ms";

/// Formats `d` in the longest unit that expresses it exactly. Fractions of a microsecond are cut
/// off.
#[must_use]
pub fn format(d: Duration) -> String {
    let micros = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
    if micros == 0 {
        return "0s".to_owned();
    }
    let (unit, length) = UNITS
        .iter()
        .find(|(_, length)| micros % length == 0)
        .unwrap_or(&UNITS[5]);
    format!("{}{unit}", micros / length)
}

/// Parses a duration written as a whole number and a unit.
///
/// # Errors
/// A message with the problem and the allowed form.
pub fn parse(text: &str) -> Result<Duration, String> {
    let text = text.trim();
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let length = UNITS.iter().find(|(name, _)| *name == unit.trim());
    let value = number.parse::<u64>().ok();
    match (value, length) {
        (Some(value), Some((_, length))) => value
            .checked_mul(*length)
            .map(Duration::from_micros)
            .ok_or_else(|| format!("the duration `{text}` is too long")),
        _ => Err(format!("`{text}` is not a duration; use {ALLOWED}")),
    }
}

/// Serializes a duration as text.
///
/// # Errors
/// If the serializer fails.
pub fn serialize<S: Serializer>(d: &Duration, s: S) -> Result<S::Ok, S::Error> {
    s.serialize_str(&format(*d))
}

/// Deserializes a duration from text.
///
/// # Errors
/// If the value is no text, or no duration (see [`parse`]).
pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(d)
        .map_err(|e| D::Error::custom(format!("{e}; write a duration as {ALLOWED}")))?;
    parse(&text).map_err(D::Error::custom)
}
