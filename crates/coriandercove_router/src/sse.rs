//! Splits a stream of server-sent events, so that only complete events are forwarded, and tracks
//! the last one forwarded.
//!
//! A faulty target may send bytes that are no events. They are recognised by the grammar of the
//! format as they arrive, before the blank line that would end an event.

use std::hash::{DefaultHasher, Hasher};

use bytes::BytesMut;

/// Maximum size of an event; a longer one is an error of the target.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Names of the fields that an event may have.
const FIELDS: [&str; 4] = ["data", "event", "id", "retry"];

/// Name of a field that only one platform knows; none if its events have the usual fields alone.
pub type ExtraField = Option<&'static str>;

/// What the `id` field of an event says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EventId {
    /// The event has no such field.
    #[default]
    None,
    /// The position of the event in its stream.
    Number(u64),
    /// The field is no number of 64 bits, or there are several.
    Unreadable,
}

/// One event, including its terminating blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event as it was received.
    pub bytes: BytesMut,
    /// What its `id` field says.
    pub id: EventId,
}

/// Why received bytes are not part of a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoEvent {
    /// An event or the buffered data exceeds the limit of 256 KiB.
    TooLong,
    /// A line has no field that an event may have, or is not UTF-8.
    Malformed,
}

/// Collects received bytes and splits them into events.
#[derive(Debug, Default)]
pub struct Splitter {
    extra_field: ExtraField,
    buf: BytesMut,
    /// Number of bytes at the start of `buf` that are known to be UTF-8.
    utf8: usize,
    /// Number of bytes at the start of `buf` that have been searched for the end of a line.
    scanned: usize,
    /// Start of the first line in `buf` whose end has not been found.
    line: usize,
    /// What the lines before it say.
    id: EventId,
}

impl Splitter {
    /// Creates a splitter that allows a further field beside the usual ones.
    #[must_use]
    pub fn new(extra_field: ExtraField) -> Self {
        Self {
            extra_field,
            ..Self::default()
        }
    }

    /// Appends received bytes.
    ///
    /// # Errors
    /// [`NoEvent::TooLong`] if the buffered bytes exceed the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), NoEvent> {
        self.buf.extend_from_slice(bytes);
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(NoEvent::TooLong);
        }
        Ok(())
    }

    /// Removes the next complete event from the buffer and returns it. A blank line that follows
    /// another one is an event of its own, without an id.
    ///
    /// # Errors
    /// [`NoEvent::Malformed`] as soon as the bytes of a line cannot belong to an event, even if the
    /// line is not complete. The bytes stay in the buffer.
    pub fn next_event(&mut self) -> Result<Option<Event>, NoEvent> {
        while let Some(length) = self.buf[self.scanned..].iter().position(|b| *b == b'\n') {
            let end = self.scanned + length;
            self.scanned = end + 1;
            self.check_utf8(end + 1)?;
            let line = &self.buf[self.line..end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            self.line = end + 1;
            if line.is_empty() {
                return Ok(Some(self.take_event()));
            }
            let (name, value) = match line.iter().position(|b| *b == b':') {
                Some(colon) => (&line[..colon], &line[colon + 1..]),
                None => (line, &[][..]),
            };
            // A line without a name is a comment.
            let mut fields = fields(self.extra_field);
            if !name.is_empty() && !fields.any(|f| f.as_bytes() == name) {
                return Err(NoEvent::Malformed);
            }
            if name == b"id" {
                self.id = match self.id {
                    EventId::None => event_id(value),
                    EventId::Number(_) | EventId::Unreadable => EventId::Unreadable,
                };
            }
        }
        self.scanned = self.buf.len();
        self.check_utf8(self.buf.len())?;
        self.check_partial_line()?;
        Ok(None)
    }

    fn take_event(&mut self) -> Event {
        let bytes = self.buf.split_to(self.line);
        self.utf8 -= bytes.len();
        self.scanned = 0;
        self.line = 0;
        let id = std::mem::take(&mut self.id);
        Event { bytes, id }
    }

    /// Checks the bytes before `end`, whose last character may be incomplete.
    fn check_utf8(&mut self, end: usize) -> Result<(), NoEvent> {
        match std::str::from_utf8(&self.buf[self.utf8..end]) {
            Ok(_) => self.utf8 = end,
            // A line feed is never part of a longer character.
            Err(e) if e.error_len().is_none() && end == self.buf.len() => {
                self.utf8 += e.valid_up_to();
            }
            Err(_) => return Err(NoEvent::Malformed),
        }
        Ok(())
    }

    /// Checks whether the line whose end is missing can still become one of an event.
    fn check_partial_line(&self) -> Result<(), NoEvent> {
        let line = &self.buf[self.line..];
        // Only the first bytes of a line decide, so that a long one is not searched again and again.
        let start = &line[..line.len().min(MAX_FIELD_NAME)];
        let is_allowed = match start.iter().position(|b| *b == b':') {
            Some(0) => true,
            Some(colon) => fields(self.extra_field).any(|f| f.as_bytes() == &start[..colon]),
            // The carriage return may belong to the end of the line.
            None => {
                let name = start.strip_suffix(b"\r").unwrap_or(start);
                fields(self.extra_field).any(|f| f.as_bytes().starts_with(name))
            }
        };
        if is_allowed {
            Ok(())
        } else {
            Err(NoEvent::Malformed)
        }
    }

    /// Whether the buffer holds no bytes of an incomplete event.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Number of bytes in the buffer.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Drops all buffered bytes.
    pub fn clear(&mut self) {
        *self = Self::new(self.extra_field);
    }
}

/// Length of a line's start within which the colon after the longest name of a field stands.
const MAX_FIELD_NAME: usize = 64;

fn fields(extra: ExtraField) -> impl Iterator<Item = &'static str> {
    FIELDS.into_iter().chain(extra)
}

fn event_id(value: &[u8]) -> EventId {
    let number = std::str::from_utf8(value).ok();
    let number = number.and_then(|value| value.trim().parse().ok());
    number.map_or(EventId::Unreadable, EventId::Number)
}

/// What to do with an event of a stream that may have been resumed at another target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward the event.
    Forward,
    /// The caller has the event already.
    Duplicate,
    /// Events between the last one forwarded and this one are missing.
    Gap,
    /// The attempt went back to an id before those that the caller has from it: the event is foreign.
    Disordered,
    /// The attempt gave the caller another event with this id or a higher one, so that one of the two
    /// is foreign and the caller may have it.
    Ambiguous,
}

/// Position of a stream: the last event that the caller has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Id of the last event forwarded, or the one after which the caller resumes.
    last: Option<u64>,
    /// Difference between the ids of consecutive events, known after two events.
    step: Option<u64>,
    /// Last id of the attempt that is followed.
    last_of_attempt: Option<u64>,
    /// First id that the caller has from it.
    first_forwarded: Option<u64>,
    /// Hash of the last event that the caller has from it.
    last_hash: u64,
}

impl Cursor {
    /// Creates the position of a stream that the caller resumes after the event `last`, or that
    /// starts anew if there is none.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Id of the last event that the caller has.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Goes on with the events of another attempt, whose ids may begin before the position.
    pub fn begin_attempt(&mut self) {
        self.last_of_attempt = None;
        self.first_forwarded = None;
    }

    /// Classifies the next event with an id and moves the position forward if the event is to be
    /// forwarded. The ids of an attempt increase.
    pub fn accept(&mut self, id: u64, event: &[u8]) -> Verdict {
        if self.last_of_attempt.is_some_and(|last| id <= last) {
            let is_forwarded = self.first_forwarded.is_some_and(|first| id >= first);
            return match is_forwarded {
                true if self.last == Some(id) && self.last_hash == hash_of(event) => {
                    Verdict::Duplicate
                }
                true => Verdict::Ambiguous,
                false => Verdict::Disordered,
            };
        }
        self.last_of_attempt = Some(id);
        if let Some(last) = self.last {
            if id <= last {
                return Verdict::Duplicate;
            }
            match self.step {
                Some(step) if id - last > step => return Verdict::Gap,
                Some(_) => {}
                None => self.step = Some(id - last),
            }
        }
        self.last = Some(id);
        self.first_forwarded.get_or_insert(id);
        self.last_hash = hash_of(event);
        Verdict::Forward
    }
}

/// Hash by which a repeated event is recognised within one process.
fn hash_of(event: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(event);
    hasher.finish()
}

#[cfg(test)]
mod tests;
