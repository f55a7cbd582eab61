use std::sync::mpsc;

use slog::{info, warn};

use super::*;

/// A destination that waits for a signal before each write and sends the written bytes to the test.
struct Gate {
    open: mpsc::Receiver<()>,
    written: mpsc::Sender<Vec<u8>>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.open.recv().map_err(std::io::Error::other)?;
        self.written
            .send(bytes.to_vec())
            .map_err(std::io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn gate() -> (Gate, mpsc::Sender<()>, mpsc::Receiver<Vec<u8>>) {
    let (open_tx, open) = mpsc::channel();
    let (written, written_rx) = mpsc::channel();
    (Gate { open, written }, open_tx, written_rx)
}

/// Guards against successes that displace failures in the log.
#[test]
fn failures_have_a_budget_of_their_own() {
    let limits = LineLimits::default();
    let mut window = RateWindow::default();
    let now = Instant::now();
    let admitted = |window: &mut RateWindow, level, at| {
        (0..1000)
            .filter(|_| window.admit(level, limits, at))
            .count() as u32
    };
    assert_eq!(
        admitted(&mut window, slog::Level::Info, now),
        INFO_LINES_PER_SECOND
    );
    assert_eq!(
        admitted(&mut window, slog::Level::Warning, now),
        WARN_LINES_PER_SECOND
    );
    let later = now + Duration::from_secs(1);
    assert!(window.admit(slog::Level::Info, limits, later));
}

/// Guards against callers that block while the reader of standard output does not read, and against
/// memory that grows meanwhile.
#[test]
fn reader_that_stops_reading_stalls_nobody() {
    let (gate, _open, _written) = gate();
    let limits = LineLimits {
        info: u32::MAX,
        warn: u32::MAX,
    };
    let (log, lines) = to_writer(limits, gate).expect("a thread");
    let text = "x".repeat(1000);
    let began = Instant::now();
    for _ in 0..3000 {
        info!(log, "a line"; "text" => &text);
    }
    assert!(began.elapsed() < Duration::from_secs(5));
    assert!(lines.take_omitted() > 500);
    // The lines that are being written are in a second buffer, which is not counted here.
    assert!(lines.0.pending().bytes.len() <= BUFFER_BYTES + 2000);
    assert!(!lines.flush(Duration::from_millis(10)));
}

/// Guards against lines that are lost at an orderly stop, and against a separate write for each
/// line.
#[test]
fn flush_writes_all_lines_at_once() {
    let (gate, open, written) = gate();
    let (log, lines) = to_writer(LineLimits::default(), gate).expect("a thread");
    for i in 0..20 {
        warn!(log, "refused"; "number" => i);
    }
    open.send(()).expect("a writer");
    assert!(lines.flush(Duration::from_secs(10)));
    let text = String::from_utf8(written.recv().expect("a write")).expect("text");
    assert_eq!(text.lines().count(), 20);
    assert!(text.lines().all(|l| l.starts_with('{') && l.ends_with('}')));
    assert!(lines.flush(Duration::from_secs(10)), "nothing waits");
}

/// Guards against changed limits that a running process does not apply.
#[test]
fn changed_limits_hold_from_the_next_line_on() {
    let (log, lines) = to_writer(LineLimits::default(), std::io::sink()).expect("a thread");
    info!(log, "written");
    assert_eq!(lines.take_omitted(), 0);
    lines.set_limits(LineLimits { info: 0, warn: 1 });
    info!(log, "left out");
    warn!(log, "written");
    assert_eq!(lines.take_omitted(), 1);
}
