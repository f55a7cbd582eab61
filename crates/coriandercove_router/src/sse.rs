//! Splits a stream of server-sent events, so that only whole events are forwarded.

use bytes::BytesMut;

/// Largest event that is buffered; a longer one is an error of the target.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One event with its terminating blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes as they came.
    pub bytes: BytesMut,
    /// Value of its `id` field, if it is a number.
    pub id: Option<u64>,
}

/// An event grew past the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Collects bytes into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Bytes of `buf` that hold no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Adds bytes.
    ///
    /// # Errors
    /// [`EventTooLong`] if an unfinished event exceeds the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buf.extend_from_slice(bytes);
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let Some(end) = self.find_end() else {
            // The end may begin in the last three bytes ("\r\n\r").
            self.scanned = self.buf.len().saturating_sub(3);
            return None;
        };
        let bytes = self.buf.split_to(end);
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    fn find_end(&self) -> Option<usize> {
        let buf = &self.buf[..];
        let mut i = self.scanned;
        while i < buf.len() {
            if buf[i] == b'\n' {
                if buf.get(i + 1) == Some(&b'\n') {
                    return Some(i + 2);
                }
                if buf.get(i + 1) == Some(&b'\r') && buf.get(i + 2) == Some(&b'\n') {
                    return Some(i + 3);
                }
            }
            i += 1;
        }
        None
    }

    /// Whether bytes of an unfinished event are left.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops an unfinished event.
    pub fn clear(&mut self) {
        self.buf.clear();
        self.scanned = 0;
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|b| *b == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}

/// What to do with an event of a stream that may have been continued at another target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward it.
    Forward,
    /// The caller has it already.
    Duplicate,
    /// Events before it are missing.
    Gap,
}

/// The last event that the caller has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Highest id forwarded, or the one that the caller resumes after.
    last: Option<u64>,
    /// Step between the ids of consecutive events, once two are known.
    step: Option<u64>,
}

impl Cursor {
    /// A stream that the caller resumes after `last`.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self { last, step: None }
    }

    /// The id to resume after.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Judges the next event and moves on if it is to be forwarded.
    pub fn accept(&mut self, id: Option<u64>) -> Verdict {
        let Some(id) = id else {
            return Verdict::Forward;
        };
        if let Some(last) = self.last {
            if id <= last {
                return Verdict::Duplicate;
            }
            match self.step {
                Some(step) if id > last + step => return Verdict::Gap,
                Some(_) => {}
                None => self.step = Some(id - last),
            }
        }
        self.last = Some(id);
        Verdict::Forward
    }
}

#[cfg(test)]
mod tests;
