//! Splits a stream of server-sent events, so that only complete events are forwarded, and tracks
//! the last one forwarded.

use bytes::BytesMut;

/// Maximum size of an event; a longer one is an error of the target.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One event, including its terminating blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event as it was received.
    pub bytes: BytesMut,
    /// Value of the event's `id` field, if it is a number.
    pub id: Option<u64>,
}

/// An event or the buffered data exceeds the limit of 256 KiB.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Collects received bytes and splits them into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Number of bytes at the start of `buf` that contain no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Appends received bytes.
    ///
    /// # Errors
    /// [`EventTooLong`] if the buffered bytes exceed the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buf.extend_from_slice(bytes);
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Removes the next complete event from the buffer and returns it.
    pub fn next_event(&mut self) -> Option<Event> {
        let Some(end) = self.find_end() else {
            // The terminator may begin in the last three bytes ("\r\n\r").
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

    /// Whether the buffer holds bytes of an incomplete event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops all buffered bytes.
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

/// What to do with an event of a stream that may have been resumed at another target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward the event.
    Forward,
    /// The caller has the event already.
    Duplicate,
    /// Events between the last one forwarded and this one are missing.
    Gap,
}

/// Position of a stream: the last event that the caller has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Id of the last event forwarded, or the one after which the caller resumes.
    last: Option<u64>,
    /// Difference between the ids of consecutive events, known after two events.
    step: Option<u64>,
}

impl Cursor {
    /// Creates the position of a stream that the caller resumes after the event `last`, or that
    /// starts anew if there is none.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self { last, step: None }
    }

    /// Id of the last event that the caller has.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Classifies the next event and moves the position forward if the event is to be forwarded.
    /// Events without an id are always forwarded.
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
