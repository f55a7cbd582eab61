//! Bodies of answers: whole ones, and streams that go on at another target when one breaks.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use slog::{info, warn};
use snafu::Snafu;

use coriandercove_base::Time;

use crate::attempt::{Failure, Next};
use crate::proxy::{Job, LostPart, Started};
use crate::pulse::ANSWER_DUE;
use crate::sse::{Splitter, Verdict};

/// Why a body ends before its end; the connection to the caller is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The target broke off and the stream cannot go on elsewhere.
    #[snafu(display("the target broke off"))]
    Broken,
    /// The deadline of the request passed.
    #[snafu(display("the deadline passed"))]
    Deadline,
}

/// Body of an answer to a caller.
pub enum Body {
    /// Known as a whole.
    Whole(Option<Bytes>),
    /// Forwarded as it arrives.
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>>>>),
}

impl Body {
    /// A body known as a whole.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(stream) => stream
                .as_mut()
                .poll_next(cx)
                .map(|item| item.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Silence of a stream after which the parts of its path are asked whether they are alive, where its
/// route allows longer pauses or none of its events has come; longer than the pauses of a busy chain.
const SILENCE: Duration = Duration::from_millis(400);
/// Share of the longest pause that a route allows after which the parts are asked.
const EARLY_SHARE: f64 = 0.5;
/// Time between two looks at the silence once the parts have answered.
const PROBE_WAIT: Duration = Duration::from_millis(300);

/// New paths that one request may be led over after lost parts.
const MAX_PATH_CHANGES: u32 = 3;

/// What a lost part makes of the attempt: only the first part runs the request, so only its loss
/// excuses another run.
fn loss(lost: Option<LostPart>) -> Failure {
    match lost {
        Some(LostPart::First) => Failure::TargetLost,
        Some(LostPart::Later) | None => Failure::Unknown,
    }
}

/// Forwards the events of one request.
struct Relay {
    job: Job,
    current: Option<Started>,
    splitter: Splitter,
    events: u32,
    /// Time to the first event, once there is one, of the last one, and the longest pause between
    /// two.
    first_event: Option<Duration>,
    last_event: Time,
    longest_pause: Duration,
    /// Silence after which the parts are asked between two events.
    early_silence: Duration,
    /// When bytes last came, or the attempt began.
    last_bytes: Time,
    /// Time until the silence is looked at again; none if the parts were not asked since the last
    /// bytes came.
    look_again: Option<Duration>,
    /// Whether the stream may still leave a target that is silent.
    may_move: bool,
    path_changes: u32,
}

enum Read {
    Data(Bytes),
    End,
    Broken(&'static str),
    /// Nothing came for a while.
    Silent,
    Deadline,
}

impl Read {
    fn of(frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Self {
        match frame {
            // Trailers carry nothing that is used.
            Some(Ok(frame)) => Self::Data(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => Self::Broken("connection"),
            None => Self::End,
        }
    }
}

/// A body that forwards a stream from its first attempt on.
pub(crate) fn stream(job: Job, started: Started) -> Body {
    let gap = job.route.gap_objective.map(|g| g.mul_f64(EARLY_SHARE));
    let now = job.router.now();
    let relay = Relay {
        early_silence: gap.map_or(SILENCE, |g| g.min(SILENCE)),
        last_bytes: now,
        job,
        current: Some(started),
        splitter: Splitter::default(),
        events: 0,
        first_event: None,
        last_event: Time::ZERO,
        longest_pause: Duration::ZERO,
        look_again: None,
        may_move: true,
        path_changes: 0,
    };
    let pieces = unfold(Some(relay), |state| async move {
        let mut relay = state?;
        match relay.next().await {
            Some(Ok(piece)) => Some((Ok(piece), Some(relay))),
            Some(Err(e)) => Some((Err(e), None)),
            None => None,
        }
    });
    Body::Stream(Box::pin(pieces))
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match self.whole_events() {
                Ok(Some(piece)) => return Some(Ok(piece)),
                Ok(None) => {}
                Err(cause) => {
                    if let Err(e) = self.go_on_elsewhere(cause).await {
                        return Some(Err(e));
                    }
                    continue;
                }
            }
            let cause = match self.read().await {
                Read::Data(bytes) => {
                    self.on_bytes();
                    match self.splitter.push(&bytes) {
                        Ok(()) => continue,
                        Err(_) => "event_too_long",
                    }
                }
                Read::End if !self.splitter.has_partial() => {
                    self.finish();
                    return None;
                }
                Read::End => "cut_short",
                Read::Broken(cause) => cause,
                Read::Silent => {
                    self.on_silence().await;
                    continue;
                }
                Read::Deadline => {
                    self.job.watched.done();
                    self.log_end("deadline");
                    return Some(Err(BodyError::Deadline));
                }
            };
            if let Err(e) = self.go_on_elsewhere(cause).await {
                return Some(Err(e));
            }
        }
    }

    /// The whole events that have arrived and that the caller lacks.
    fn whole_events(&mut self) -> Result<Option<Bytes>, &'static str> {
        let mut piece: Option<BytesMut> = None;
        while let Some(event) = self.splitter.next_event() {
            match self.job.cursor.accept(event.id) {
                Verdict::Duplicate => continue,
                Verdict::Gap => {
                    if piece.is_none() {
                        return Err("gap");
                    }
                    // What came before the gap is forwarded; the next read finds the stream broken.
                    self.current = None;
                    self.splitter.clear();
                    break;
                }
                Verdict::Forward => self.events += 1,
            }
            match &mut piece {
                // Events that follow one another in the buffer are joined without a copy.
                Some(buf) => buf.unsplit(event.bytes),
                None => piece = Some(event.bytes),
            }
        }
        let out = piece.map(BytesMut::freeze);
        if out.is_some() {
            self.note_event();
        }
        Ok(out)
    }

    fn note_event(&mut self) {
        if let Some(current) = &mut self.current {
            current.in_flight.prompt_is_read();
        }
        let now = self.job.router.now();
        if self.first_event.is_some() {
            let pause = now.saturating_sub(self.last_event);
            self.longest_pause = self.longest_pause.max(pause);
        } else {
            let took = now.saturating_sub(self.job.arrived);
            self.first_event = Some(took);
            self.job.router.metrics.first_event(took);
        }
        self.last_event = now;
    }

    fn on_bytes(&mut self) {
        self.look_again = None;
        self.last_bytes = self.job.router.now();
        if let Some(current) = &self.current {
            let mut pulse = self.job.router.pulse.borrow_mut();
            pulse.on_event(current.parts(), self.last_bytes);
        }
    }

    async fn read(&mut self) -> Read {
        let now = self.job.router.now();
        let left = self.job.deadline.saturating_sub(now);
        let usual = if self.first_event.is_some() {
            self.early_silence
        } else {
            SILENCE
        };
        let silence = self.look_again.unwrap_or(usual);
        let Some(current) = &mut self.current else {
            return Read::Broken("gap");
        };
        let mut wait = std::pin::pin!(tokio::time::sleep(left.min(silence)));
        loop {
            tokio::select! {
                biased;
                frame = current.exchange.body.frame() => return Read::of(frame),
                // Another stream's probe may have found a part of this path lost.
                () = self.job.router.found_lost.notified(), if self.first_event.is_some() => {
                    if self.job.silent_part(current, self.last_bytes).is_some() {
                        return Read::Silent;
                    }
                }
                () = &mut wait => {
                    return if silence < left { Read::Silent } else { Read::Deadline };
                }
            }
        }
    }

    /// Leaves a silent path only if a part of it is known to be lost: a target that is merely slow
    /// still answers. A lost later part is replaced; otherwise the stream goes on at another target
    /// once that one has begun.
    async fn on_silence(&mut self) {
        let Some(mut current) = self.current.take() else {
            return;
        };
        let now = self.job.router.now();
        let is_long = now.saturating_sub(self.last_bytes) >= SILENCE + PROBE_WAIT;
        let lost = self
            .job
            .silent_part(&current, self.last_bytes)
            .or_else(|| self.job.lost_part(&current).filter(|_| is_long));
        let is_repaired = lost == Some(LostPart::Later)
            && self.path_changes < MAX_PATH_CHANGES
            && self.job.change_path(&mut current).await;
        if is_repaired {
            self.path_changes += 1;
            self.job.router.metrics.continuation("path_change");
            self.look_again = None;
            self.last_bytes = self.job.router.now();
            self.current = Some(current);
            return;
        }
        let is_asked = self.job.probe(&current, self.last_bytes);
        self.look_again = Some(if is_asked { ANSWER_DUE } else { PROBE_WAIT });
        self.current = Some(current);
        if lost.is_some() && self.may_move {
            let failure = loss(lost);
            let next = self.job.on_failure(failure);
            self.may_move = next == Next::Retry && self.begin_elsewhere("silence").await.is_ok();
        }
    }

    /// Starts another attempt; the one before ends once the new one's answer has begun.
    async fn begin_elsewhere(&mut self, cause: &'static str) -> Result<(), Failure> {
        self.job.router.metrics.continuation(cause);
        let started = self.job.start().await.map_err(|e| e.failure)?;
        if !started.exchange.head.status.is_success() {
            return Err(Failure::Unknown);
        }
        info!(self.job.router.log, "stream continues"; "req" => &*self.job.head.label,
            "cause" => cause, "after" => self.job.cursor.last(), "first" => %started.address);
        self.splitter.clear();
        self.look_again = None;
        self.last_bytes = self.job.router.now();
        self.current = Some(started);
        Ok(())
    }

    async fn go_on_elsewhere(&mut self, cause: &'static str) -> Result<(), BodyError> {
        self.splitter.clear();
        warn!(self.job.router.log, "stream broke"; "req" => &*self.job.head.label,
            "cause" => cause, "after" => self.job.cursor.last(),
            "first" => self.current.as_ref().map(|c| c.address.to_string()));
        let mut failure = match self.current.take() {
            Some(lost) => {
                self.job.probe(&lost, self.last_bytes);
                loss(self.job.lost_part(&lost))
            }
            None => Failure::Unknown,
        };
        loop {
            if self.job.on_failure(failure) != Next::Retry {
                self.job.watched.done();
                self.log_end(cause);
                return Err(BodyError::Broken);
            }
            match self.begin_elsewhere(cause).await {
                Ok(()) => return Ok(()),
                Err(f) => failure = f,
            }
        }
    }

    fn finish(&mut self) {
        self.job.watched.done();
        self.log_end("whole");
        let took = self.job.router.now().saturating_sub(self.job.arrived);
        self.job.router.pressure.borrow_mut().on_answered(took);
        if let Some(current) = &self.current {
            self.job.router.trust(current.address);
        }
    }

    fn log_end(&self, end: &str) {
        let took = self.job.router.now().saturating_sub(self.job.arrived);
        self.job.router.metrics.answer(200, took);
        self.job.router.metrics.event_gap(self.longest_pause);
        if end == "whole" {
            info!(self.job.router.log, "answered"; "req" => &*self.job.head.label, "status" => 200,
                "events" => self.events, "ms" => took.as_millis(),
                "first_event_ms" => self.first_event.map(|d| d.as_millis()),
                "longest_pause_ms" => self.longest_pause.as_millis(),
                "attempts" => self.job.attempts.sent + 1);
        } else {
            warn!(self.job.router.log, "stream broken off"; "req" => &*self.job.head.label,
                "cause" => end, "events" => self.events, "ms" => took.as_millis());
        }
    }
}
