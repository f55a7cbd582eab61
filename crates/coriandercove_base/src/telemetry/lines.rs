//! Log lines on standard output: one JSON object each, bounded, never blocking the caller.
//!
//! A caller formats a line into a buffer; a thread of its own writes the buffer at intervals, so
//! that a busy process makes a few writes in a second whatever the number of lines.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slog::{Drain, Logger, o};

/// Lines of successes that one process writes in a second; the budget of a busy entry's processor
/// allows a few hundred.
const INFO_LINES_PER_SECOND: u32 = 200;
/// Lines of refusals and failures in a second; kept before successes.
const WARN_LINES_PER_SECOND: u32 = 300;
/// Time between two writes. It bounds what is lost when the process is killed, and the age of the
/// newest line that a reader sees.
const WRITE_PERIOD: Duration = Duration::from_millis(200);
/// Bytes that may wait for a reader that does not read; about four seconds of the most lines.
const BUFFER_BYTES: usize = 1024 * 1024;

/// Most lines of one process in a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LineLimits {
    /// Lines of successes.
    pub info: u32,
    /// Lines of refusals and failures, which no number of successes pushes out.
    pub warn: u32,
}

impl Default for LineLimits {
    fn default() -> Self {
        Self {
            info: INFO_LINES_PER_SECOND,
            warn: WARN_LINES_PER_SECOND,
        }
    }
}

/// A logger that writes to standard output, and the handle of its writer.
///
/// Lines beyond the limits of a second, or beyond the buffer, are left out and counted.
///
/// # Errors
/// The writer's thread cannot be started.
pub fn stdout(limits: LineLimits) -> std::io::Result<(Logger, Lines)> {
    to_writer(limits, std::io::stdout())
}

/// As [`stdout`], with another destination.
///
/// # Errors
/// The writer's thread cannot be started.
pub fn to_writer(
    limits: LineLimits,
    out: impl Write + Send + 'static,
) -> std::io::Result<(Logger, Lines)> {
    let shared = Arc::new(Shared::default());
    shared.pending().limits = limits;
    let writer = Arc::clone(&shared);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_all(&writer, out))?;
    let sink = Sink(Arc::clone(&shared));
    let drain = LineDrain {
        state: Mutex::new((Window::default(), slog_json::Json::default(sink))),
        shared: Arc::clone(&shared),
    };
    Ok((Logger::root(drain.fuse(), o!()), Lines(shared)))
}

/// Handle of the thread that writes the lines.
#[derive(Debug, Clone)]
pub struct Lines(Arc<Shared>);

impl Lines {
    /// Changes the limits from the next line on.
    pub fn set_limits(&self, limits: LineLimits) {
        self.0.pending().limits = limits;
    }

    /// Lines left out since the last call.
    #[must_use]
    pub fn take_omitted(&self) -> u64 {
        self.0.omitted.swap(0, Ordering::Relaxed)
    }

    /// Waits until all lines so far are written, for `limit` at the longest. Returns whether they
    /// are.
    #[must_use]
    pub fn flush(&self, limit: Duration) -> bool {
        let mut pending = self.0.pending();
        pending.is_urgent = true;
        self.0.changed.notify_all();
        let (pending, _) = self
            .0
            .changed
            .wait_timeout_while(pending, limit, |p| !p.bytes.is_empty() || p.is_writing)
            .unwrap_or_else(PoisonError::into_inner);
        pending.bytes.is_empty() && !pending.is_writing
    }
}

#[derive(Debug, Default)]
struct Shared {
    pending: Mutex<Pending>,
    /// Signalled when lines arrive in an empty buffer, when they are urgent and when they are
    /// written.
    changed: Condvar,
    omitted: AtomicU64,
}

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    is_writing: bool,
    /// Whether the writer should not wait for more lines.
    is_urgent: bool,
    limits: LineLimits,
}

impl Shared {
    fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes what waits, once in each period, for the life of the process.
fn write_all(shared: &Shared, mut out: impl Write) {
    let mut bytes = Vec::new();
    loop {
        let pending = shared.pending();
        let pending = shared
            .changed
            .wait_while(pending, |p| p.bytes.is_empty())
            .unwrap_or_else(PoisonError::into_inner);
        let (mut pending, _) = shared
            .changed
            .wait_timeout_while(pending, WRITE_PERIOD, |p| !p.is_urgent)
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::swap(&mut bytes, &mut pending.bytes);
        pending.is_writing = true;
        pending.is_urgent = false;
        drop(pending);
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            // Nobody reads any more; the lines count as left out.
            let lines = bytes.iter().filter(|b| **b == b'\n').count();
            shared.omitted.fetch_add(lines as u64, Ordering::Relaxed);
        }
        bytes.clear();
        shared.pending().is_writing = false;
        shared.changed.notify_all();
    }
}

/// Where the formatter writes one line.
struct Sink(Arc<Shared>);

impl Write for Sink {
    fn write(&mut self, piece: &[u8]) -> std::io::Result<usize> {
        let mut pending = self.0.pending();
        if pending.bytes.is_empty() {
            self.0.changed.notify_all();
        }
        pending.bytes.extend_from_slice(piece);
        Ok(piece.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Lines written in the current second.
#[derive(Debug, Default)]
struct Window {
    began: Option<Instant>,
    info: u32,
    warn: u32,
}

impl Window {
    /// Whether one more line of this level fits.
    fn admit(&mut self, level: slog::Level, limits: LineLimits, now: Instant) -> bool {
        let is_over = self
            .began
            .is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1));
        if is_over {
            *self = Self {
                began: Some(now),
                ..Self::default()
            };
        }
        let (count, most) = if level.is_at_least(slog::Level::Warning) {
            (&mut self.warn, limits.warn)
        } else {
            (&mut self.info, limits.info)
        };
        *count += 1;
        *count <= most
    }
}

/// Formats the lines that the limits admit.
struct LineDrain {
    state: Mutex<(Window, slog_json::Json<Sink>)>,
    shared: Arc<Shared>,
}

impl Drain for LineDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (window, json) = &mut *state;
        let (fits, limits) = {
            let pending = self.shared.pending();
            (pending.bytes.len() < BUFFER_BYTES, pending.limits)
        };
        let is_admitted = fits && window.admit(record.level(), limits, Instant::now());
        if !is_admitted || json.log(record, values).is_err() {
            self.shared.omitted.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
