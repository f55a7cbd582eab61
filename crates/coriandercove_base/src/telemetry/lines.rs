//! Log lines on standard output, one JSON object each. Their rate and buffer are bounded, and the
//! caller never blocks.
//!
//! The caller formats a line into a buffer, which a separate thread writes at intervals, so that a
//! busy process makes only a few writes per second regardless of the number of lines.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slog::{Drain, Logger, o};

/// Default limit of lines below warning level (successes) per second and process. The CPU budget of
/// a busy entry allows a few hundred.
const INFO_LINES_PER_SECOND: u32 = 200;
/// Default limit of lines at warning level or above (refusals and failures) per second and process.
/// It is separate, so that successes do not displace them.
const WARN_LINES_PER_SECOND: u32 = 300;
/// Interval of writes. It bounds how much is lost when the process is killed, and how long a line
/// is delayed.
const WRITE_PERIOD: Duration = Duration::from_millis(200);
/// Maximum number of buffered bytes while the reader of standard output does not read; about four
/// seconds of lines at the highest rate.
const BUFFER_BYTES: usize = 1024 * 1024;

/// Maximum numbers of lines that one process writes per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LineLimits {
    /// Lines below warning level, which report successes.
    pub info: u32,
    /// Lines at warning level or above, which report refusals and failures. They have their own
    /// limit, so that successes never displace them.
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

/// Creates a logger that writes to standard output, and the handle of its writer thread.
///
/// Lines that exceed the limits per second or the buffer are dropped and counted.
///
/// # Errors
/// The writer's thread cannot be started.
pub fn stdout(limits: LineLimits) -> std::io::Result<(Logger, LogWriter)> {
    to_writer(limits, std::io::stdout())
}

/// Creates a logger like [`stdout`], with another destination.
///
/// # Errors
/// The writer's thread cannot be started.
pub fn to_writer(
    limits: LineLimits,
    out: impl Write + Send + 'static,
) -> std::io::Result<(Logger, LogWriter)> {
    let shared = Arc::new(Shared::default());
    shared.pending().limits = limits;
    let writer = Arc::clone(&shared);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || run_writer(&writer, out))?;
    let buffer = BufferWriter(Arc::clone(&shared));
    let drain = LineDrain {
        state: Mutex::new((RateWindow::default(), slog_json::Json::default(buffer))),
        shared: Arc::clone(&shared),
    };
    Ok((Logger::root(drain.fuse(), o!()), LogWriter(shared)))
}

/// Handle of the thread that writes the log lines.
#[derive(Debug, Clone)]
pub struct LogWriter(Arc<Shared>);

impl LogWriter {
    /// Changes the limits, from the next line on.
    pub fn set_limits(&self, limits: LineLimits) {
        self.0.pending().limits = limits;
    }

    /// Returns the number of lines dropped since the last call.
    #[must_use]
    pub fn take_omitted(&self) -> u64 {
        self.0.omitted.swap(0, Ordering::Relaxed)
    }

    /// Waits until all lines logged so far are written, at most for `limit`. Returns whether they
    /// are written.
    #[must_use]
    pub fn flush(&self, limit: Duration) -> bool {
        let mut pending = self.0.pending();
        pending.flush_requested = true;
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
    /// Notified when a line arrives in the empty buffer, when a flush is requested and when lines
    /// are written.
    changed: Condvar,
    omitted: AtomicU64,
}

/// Buffered lines and the state of the writer thread.
#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    is_writing: bool,
    /// Whether a flush is requested, so that the writer must not wait for more lines.
    flush_requested: bool,
    limits: LineLimits,
}

impl Shared {
    fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes the buffered lines once per [`WRITE_PERIOD`], for the life of the process.
fn run_writer(shared: &Shared, mut out: impl Write) {
    let mut bytes = Vec::new();
    loop {
        let pending = shared.pending();
        let pending = shared
            .changed
            .wait_while(pending, |p| p.bytes.is_empty())
            .unwrap_or_else(PoisonError::into_inner);
        let (mut pending, _) = shared
            .changed
            .wait_timeout_while(pending, WRITE_PERIOD, |p| !p.flush_requested)
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::swap(&mut bytes, &mut pending.bytes);
        pending.is_writing = true;
        pending.flush_requested = false;
        drop(pending);
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            // The reader has closed the stream; the lines count as dropped.
            let lines = bytes.iter().filter(|b| **b == b'\n').count();
            shared.omitted.fetch_add(lines as u64, Ordering::Relaxed);
        }
        bytes.clear();
        shared.pending().is_writing = false;
        shared.changed.notify_all();
    }
}

/// Destination of the JSON formatter: appends to the buffer.
struct BufferWriter(Arc<Shared>);

impl Write for BufferWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut pending = self.0.pending();
        if pending.bytes.is_empty() {
            self.0.changed.notify_all();
        }
        pending.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Numbers of lines counted in the current second, by kind.
#[derive(Debug, Default)]
struct RateWindow {
    began: Option<Instant>,
    info: u32,
    warn: u32,
}

impl RateWindow {
    /// Counts a line of this level, and returns whether it is within the limits.
    fn admit(&mut self, level: slog::Level, limits: LineLimits, now: Instant) -> bool {
        let has_elapsed = self
            .began
            .is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1));
        if has_elapsed {
            *self = Self {
                began: Some(now),
                ..Self::default()
            };
        }
        let (count, limit) = if level.is_at_least(slog::Level::Warning) {
            (&mut self.warn, limits.warn)
        } else {
            (&mut self.info, limits.info)
        };
        *count += 1;
        *count <= limit
    }
}

/// A drain that formats the lines within the limits and drops the others.
struct LineDrain {
    state: Mutex<(RateWindow, slog_json::Json<BufferWriter>)>,
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
