//! Bodies of answers to callers: complete ones, and streams that are resumed at another target if
//! one breaks.

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
use coriandercove_base::byte_budget::{BASE_BYTES, accounted};

use crate::attempt::{Failure, Next};
use crate::end_check::Fate;
use crate::liveness::PROBE_LATE_AFTER;
use crate::proxy::{LostHop, MarksText, ProxiedRequest, StartedAttempt};
use crate::quarantine::BrokenAttempt;
use crate::routes::Route;
use crate::sse::{Event, EventId, MAX_EVENT_BYTES, NoEvent, Splitter, Verdict};

/// Why a body ends early; the connection to the caller is closed then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The target ended the stream early and it cannot be resumed elsewhere.
    #[snafu(display("the target ended the stream early"))]
    Broken,
    /// The deadline of the request has passed.
    #[snafu(display("the request's deadline passed"))]
    Deadline,
}

/// Body of an answer to a caller.
pub enum Body {
    /// A complete body; none once it has been sent.
    Whole(Option<Bytes>),
    /// A stream that is forwarded as it arrives.
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>>>>),
}

impl Body {
    /// Creates a complete body.
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

/// Silence of a stream after which the hops of its path are probed, if its route allows longer
/// pauses or none of its events has arrived. It is longer than the pauses of a busy chain.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(400);
/// Share of the longest pause that a route allows after which the hops are probed.
const EARLY_PROBE_SHARE: f64 = 0.5;
/// Interval at which the silence is checked again while no probe is pending.
pub(crate) const RECHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum time for which callers wait for the next event of a stream.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Time for which callers wait, in multiples of the objective for the first event and of the longest
/// pause that the route allows.
const PATIENCE_OBJECTIVES: u32 = 4;
const PATIENCE_PAUSES: u32 = 8;
/// Share of that time without progress after which a stream counts as stalled. The rest is enough
/// for another target to begin.
const STALLED_SHARE: f64 = 0.8;

/// Time without progress after which a stream of this route counts as stalled, although bytes may
/// arrive and its hops may answer probes. Sound streams pause for less, or their callers leave.
pub(crate) fn stall_limit(route: &Route) -> Duration {
    let by_objective = route.objective * PATIENCE_OBJECTIVES;
    let by_pause = route.gap_objective.unwrap_or_default() * PATIENCE_PAUSES;
    let patience = MIN_PATIENCE.max(by_objective).max(by_pause);
    patience.mul_f64(STALLED_SHARE)
}

/// Causes of a broken stream by which the target, or the network, ended the connection.
const CONNECTION_BROKE: &str = "connection";
const CUT_SHORT: &str = "cut_short";
/// Causes by which an answer that ended with its connection is not known to be whole: its target has
/// ended, or does not say whether it has.
const TARGET_ENDED: &str = "target_ended";
const END_UNCONFIRMED: &str = "end_unconfirmed";
/// Causes by which the target sent what does not belong to the stream.
const NO_EVENT: &str = "no_event";
const EVENT_TOO_LONG: &str = "event_too_long";
const NO_MEMORY: &str = "no_memory";
const GAP: &str = "gap";
const DISORDERED: &str = "disordered";
const AMBIGUOUS: &str = "ambiguous";

/// Maximum number of path changes of one request after lost hops.
const MAX_PATH_CHANGES: u32 = 3;

/// Forwards the events of one request, over all attempts and paths.
struct Relay {
    request: ProxiedRequest,
    current: Option<StartedAttempt>,
    splitter: Splitter,
    /// Complete events without an id that are forwarded before the next one with an id, or dropped if
    /// the attempt is left before; at most [`MAX_EVENT_BYTES`].
    held: BytesMut,
    /// Whether the events must have ids, as another target may have to go on after the last one.
    has_ids: bool,
    /// Why the attempt must be left, once the events before have been forwarded.
    fault: Option<&'static str>,
    /// Whether the whole stream has been forwarded.
    is_whole: bool,
    /// Whether the last event forwarded may be the last one of the stream, as an answer ended after it
    /// with its connection.
    may_be_whole: bool,
    /// An attempt that ended so because its target ended. It counts as a crash unless another target
    /// has nothing to add, so that the answer was whole.
    doubtful: Option<BrokenAttempt>,
    events: u32,
    /// Time from the request's arrival to the first event; none before it.
    first_event: Option<Duration>,
    last_event: Time,
    longest_pause: Duration,
    /// Silence between two events after which the hops are probed.
    event_silence_limit: Duration,
    /// Time at which bytes last arrived, the attempt began or the path was changed.
    last_bytes: Time,
    /// Time of the last event that brought the answer forward, of the start of the attempt or of the
    /// last stall, whichever is latest.
    last_progress: Time,
    /// Time without progress after which the stream counts as stalled.
    stall_limit: Duration,
    /// Wait until the silence is checked again; none if no check was made since bytes last arrived.
    next_check: Option<Duration>,
    /// Whether the stream may still be moved away from a silent target.
    may_switch_target: bool,
    path_changes: u32,
}

enum Read {
    Data(Bytes),
    End,
    Broken(&'static str),
    /// Nothing arrived for as long as the silence limit, or a hop was found lost.
    Silent,
    /// No event brought the answer forward for as long as callers wait.
    Stalled,
    Deadline,
}

impl Read {
    fn from_frame(frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Self {
        match frame {
            // Trailers carry no data that is used.
            Some(Ok(frame)) => Self::Data(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => Self::Broken(CONNECTION_BROKE),
            None => Self::End,
        }
    }
}

/// Creates a body that forwards a stream, starting with the attempt `started`.
pub(crate) fn stream(mut request: ProxiedRequest, started: StartedAttempt) -> Body {
    let gap = request
        .route
        .gap_objective
        .map(|g| g.mul_f64(EARLY_PROBE_SHARE));
    let now = request.router.now();
    request.release_body();
    let relay = Relay {
        event_silence_limit: gap.map_or(SILENCE_LIMIT, |g| g.min(SILENCE_LIMIT)),
        last_bytes: now,
        last_progress: now,
        stall_limit: stall_limit(&request.route),
        splitter: Splitter::new(request.router.protocol.extra_event_field()),
        held: BytesMut::new(),
        has_ids: request.route.repeat.is_repeatable(),
        fault: None,
        is_whole: false,
        may_be_whole: false,
        doubtful: None,
        request,
        current: Some(started),
        events: 0,
        first_event: None,
        last_event: Time::ZERO,
        longest_pause: Duration::ZERO,
        next_check: None,
        may_switch_target: true,
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
            if let Some(piece) = self.whole_events() {
                return Some(Ok(piece));
            }
            if self.is_whole {
                return None;
            }
            if let Some(fault) = self.fault.take() {
                if let Err(e) = self.resume_elsewhere(fault).await {
                    return Some(Err(e));
                }
                continue;
            }
            let cause = match self.read().await {
                Read::Data(bytes) => {
                    self.on_bytes();
                    self.push(&bytes);
                    continue;
                }
                Read::End => match self.doubt_end().await {
                    None => {
                        self.finish();
                        self.is_whole = true;
                        if self.held.is_empty() {
                            return None;
                        }
                        return Some(Ok(self.held.split().freeze()));
                    }
                    Some(cause) => cause,
                },
                Read::Broken(cause) => cause,
                Read::Silent => {
                    self.on_silence().await;
                    continue;
                }
                Read::Stalled => {
                    self.on_stall().await;
                    continue;
                }
                Read::Deadline => {
                    self.request.guard.complete();
                    self.log_end("deadline");
                    return Some(Err(BodyError::Deadline));
                }
            };
            if let Err(e) = self.resume_elsewhere(cause).await {
                return Some(Err(e));
            }
        }
    }

    /// Why an answer that has ended is not known to be whole; none if it is.
    async fn doubt_end(&self) -> Option<&'static str> {
        if !self.splitter.is_empty() {
            return Some(CUT_SHORT);
        }
        let current = self.current.as_ref()?;
        if !current.ends_with_connection {
            return None;
        }
        // Without any event, nothing shows the answer to be complete, unless the caller may have the
        // last one.
        if !current.has_begun() && !self.may_be_whole {
            return Some(CUT_SHORT);
        }
        match self.request.check_end(current.address).await {
            Fate::Alive => None,
            Fate::Ended => Some(TARGET_ENDED),
            Fate::Unknown => Some(END_UNCONFIRMED),
        }
    }

    fn push(&mut self, bytes: &[u8]) {
        if self.splitter.push(bytes).is_err() {
            self.fault = Some(EVENT_TOO_LONG);
        } else if !self.account_events() {
            self.request.router.metrics.answers_without_memory.inc();
            self.fault = Some(NO_MEMORY);
        }
    }

    /// Accounts for the events that are not forwarded yet. Returns whether there is memory for them.
    fn account_events(&mut self) -> bool {
        let events = self.splitter.len() + self.held.len();
        let wanted = self.request.base_bytes + events.saturating_sub(BASE_BYTES);
        let share = &mut self.request.bytes;
        share.bytes() == wanted || share.resize(wanted)
    }

    /// Accounts for a piece until its caller has taken it.
    fn account_piece(&mut self, piece: Bytes) -> Bytes {
        let base = self.request.base_bytes;
        let share = &mut self.request.bytes;
        let events = share.bytes().saturating_sub(base);
        if events == 0 {
            return piece;
        }
        let share = share.split(events.min(piece.len()));
        accounted(piece, share)
    }

    /// Returns the complete events that have arrived and that the caller lacks. Sets the fault if what
    /// follows them does not belong to the stream. Events that arrived together with it may be foreign
    /// as well; if another target can send them again, they are dropped.
    fn whole_events(&mut self) -> Option<Bytes> {
        let mut piece: Option<BytesMut> = None;
        let mut has_progress = false;
        let (before, events) = (self.request.cursor, self.events);
        let mut last = EventId::None;
        while self.fault.is_none() {
            match self.splitter.next_event() {
                Ok(Some(event)) => match self.place_event(event, &mut last) {
                    Ok(None) => {}
                    Ok(Some(forwarded)) => {
                        has_progress = true;
                        match &mut piece {
                            // Adjacent events of the buffer are joined without a copy.
                            Some(buf) => buf.unsplit(forwarded),
                            None => piece = Some(forwarded),
                        }
                    }
                    Err(fault) => self.fault = Some(fault),
                },
                Ok(None) => break,
                Err(NoEvent::Malformed) => self.fault = Some(NO_EVENT),
                Err(NoEvent::TooLong) => self.fault = Some(EVENT_TOO_LONG),
            }
        }
        if self.fault.is_some() && self.has_ids {
            self.request.cursor = before;
            self.events = events;
            let is_forwarded = |id| before.last() >= Some(id);
            if self.fault == Some(AMBIGUOUS)
                && !matches!(last, EventId::Number(id) if is_forwarded(id))
            {
                self.fault = Some(DISORDERED);
            }
            return None;
        }
        if has_progress {
            self.last_progress = self.request.router.now();
            self.may_be_whole = false;
            self.record_doubtful_crash();
            self.record_event();
        }
        piece.map(|piece| self.account_piece(piece.freeze()))
    }

    /// Returns the events that are to be forwarded now that `event` has arrived, if any. Notes its id in
    /// `last`.
    ///
    /// # Errors
    /// Why the event does not belong to the stream.
    fn place_event(
        &mut self,
        event: Event,
        last: &mut EventId,
    ) -> Result<Option<BytesMut>, &'static str> {
        *last = event.id;
        let id = match event.id {
            EventId::Number(id) => id,
            EventId::Unreadable if self.has_ids => return Err(NO_EVENT),
            EventId::None if self.has_ids => {
                // Only a later event with an id shows that the target goes on with this stream.
                if self.held.len() + event.bytes.len() > MAX_EVENT_BYTES {
                    return Err(EVENT_TOO_LONG);
                }
                self.held.unsplit(event.bytes);
                return Ok(None);
            }
            EventId::None | EventId::Unreadable => {
                self.events += 1;
                return Ok(Some(event.bytes));
            }
        };
        match self.request.cursor.accept(id, &event.bytes) {
            Verdict::Forward => {
                self.events += 1;
                let mut forwarded = self.held.split();
                forwarded.unsplit(event.bytes);
                Ok(Some(forwarded))
            }
            Verdict::Duplicate => {
                self.held.clear();
                Ok(None)
            }
            Verdict::Gap => Err(GAP),
            Verdict::Disordered => Err(DISORDERED),
            Verdict::Ambiguous => Err(AMBIGUOUS),
        }
    }

    fn record_event(&mut self) {
        let now = self.request.router.now();
        if let Some(current) = &mut self.current {
            current.in_flight.on_prompt_prefilled();
            if !current.has_begun() {
                let router = &self.request.router;
                router.record_served(current.hop_addresses(), current.sent_at);
            }
            if current.on_event(now) {
                let marks = &self.request.marks;
                self.request.router.record_answered_marks(marks);
            }
        }
        if self.first_event.is_some() {
            let pause = now.saturating_sub(self.last_event);
            self.longest_pause = self.longest_pause.max(pause);
        } else {
            let took = now.saturating_sub(self.request.arrived);
            self.first_event = Some(took);
            self.request.record_first_event(took);
        }
        self.last_event = now;
    }

    fn on_bytes(&mut self) {
        self.next_check = None;
        self.last_bytes = self.request.router.now();
        if let Some(current) = &self.current {
            let mut liveness = self.request.router.liveness.borrow_mut();
            liveness.on_event(current.hop_addresses(), self.last_bytes);
        }
    }

    async fn read(&mut self) -> Read {
        let now = self.request.router.now();
        let left = self.request.deadline.saturating_sub(now);
        let usual = if self.first_event.is_some() {
            self.event_silence_limit
        } else {
            SILENCE_LIMIT
        };
        let silence = self.next_check.unwrap_or(usual);
        let until_stall = (self.last_progress + self.stall_limit).saturating_sub(now);
        let may_stall = self.may_switch_target && self.request.route.repeat.is_repeatable();
        if may_stall && until_stall.is_zero() {
            return Read::Stalled;
        }
        let silence = if may_stall {
            silence.min(until_stall)
        } else {
            silence
        };
        let Some(current) = &mut self.current else {
            return Read::Broken(CONNECTION_BROKE);
        };
        let has_begun = current.has_begun();
        let convicted = self
            .request
            .router
            .wait_until_convicted(&self.request.marks);
        let mut convicted = std::pin::pin!(convicted);
        let mut wait = std::pin::pin!(tokio::time::sleep(left.min(silence)));
        loop {
            tokio::select! {
                biased;
                frame = current.exchange.body.frame() => return Read::from_frame(frame),
                // A probe on behalf of another stream may have found a hop of this path lost.
                () = self.request.router.target_unreachable.notified(),
                    if self.first_event.is_some() =>
                {
                    if self.request.unresponsive_hop(current, self.last_bytes).is_some() {
                        return Read::Silent;
                    }
                }
                // Leaving the target before it begins the answer saves it.
                () = &mut convicted, if !has_begun => return Read::Broken("crashing_part"),
                () = &mut wait => {
                    return if silence < left { Read::Silent } else { Read::Deadline };
                }
            }
        }
    }

    /// Handles a silent stream. Its path is left only if a hop is known to be lost, because a
    /// target that is merely slow still answers probes. A lost later hop is replaced; otherwise the
    /// stream is resumed at another target once that one has begun to answer.
    async fn on_silence(&mut self) {
        let Some(mut current) = self.current.take() else {
            return;
        };
        let now = self.request.router.now();
        let is_long = now.saturating_sub(self.last_bytes) >= SILENCE_LIMIT + RECHECK_INTERVAL;
        let lost = self
            .request
            .unresponsive_hop(&current, self.last_bytes)
            .or_else(|| self.request.excluded_hop(&current).filter(|_| is_long));
        let is_repaired = lost == Some(LostHop::Later)
            && self.path_changes < MAX_PATH_CHANGES
            && self.request.change_path(&mut current).await;
        if is_repaired {
            self.path_changes += 1;
            self.request.router.metrics.continuation("path_change");
            self.next_check = None;
            self.last_bytes = self.request.router.now();
            self.current = Some(current);
            return;
        }
        let is_probing = self.request.probe(&current, self.last_bytes);
        self.next_check = Some(if is_probing {
            PROBE_LATE_AFTER
        } else {
            RECHECK_INTERVAL
        });
        self.current = Some(current);
        // At the limit of runs, the silent target is waited for, unless one is proved to have ended.
        if lost.is_some() && self.may_switch_target && self.request.may_run_again() {
            self.may_switch_target = self.start_beside_silent().await;
        }
    }

    /// Handles a stream without progress whose hops answer probes: another target resumes it. The
    /// stalled attempt goes on if no other one begins.
    async fn on_stall(&mut self) {
        self.last_progress = self.request.router.now();
        if self.request.may_run_again() {
            self.may_switch_target = self.start_elsewhere("stalled").await.is_ok();
        }
    }

    /// Starts another attempt beside that of a silent target, whose answer is read meanwhile. Whichever
    /// begins or goes on first is followed, and the other one ends. Returns whether one of them did.
    async fn start_beside_silent(&mut self) -> bool {
        let Some(mut silent) = self.current.take() else {
            return false;
        };
        self.request.router.metrics.continuation("silence");
        let mut has_broken = false;
        let first = {
            let mut start = std::pin::pin!(self.request.start());
            loop {
                tokio::select! {
                    biased;
                    started = &mut start => break Err(started),
                    frame = silent.exchange.body.frame(), if !has_broken => {
                        match Read::from_frame(frame) {
                            Read::Broken(_) => has_broken = true,
                            read => break Ok(read),
                        }
                    }
                }
            }
        };
        if has_broken {
            self.on_connection_lost(&silent);
        } else {
            self.current = Some(silent);
        }
        match first {
            // The attempt that has just begun may run all the same, and counts.
            Ok(read) => {
                self.go_on_after_silence(read);
                true
            }
            Err(Ok(started)) => match self.follow(started, "silence") {
                Ok(()) => true,
                Err(failure) => self.request.on_failure_beside(failure),
            },
            Err(Err(e)) => self.request.on_failure_beside(e.failure),
        }
    }

    /// Goes on with the attempt that was silent.
    fn go_on_after_silence(&mut self, read: Read) {
        let request = &self.request;
        request.router.metrics.continuation("went_on");
        info!(request.router.log, "silent stream goes on"; "req" => &*request.head.label,
            "after" => request.cursor.last());
        self.on_bytes();
        if let Read::Data(bytes) = read {
            self.push(&bytes);
        }
    }

    /// Starts another attempt. The previous one ends once the answer of the new one has begun.
    async fn start_elsewhere(&mut self, cause: &'static str) -> Result<(), Failure> {
        self.request.router.metrics.continuation(cause);
        let started = self.request.start().await.map_err(|e| e.failure)?;
        self.follow(started, cause)
    }

    /// Goes on with an attempt whose answer has begun.
    fn follow(&mut self, started: StartedAttempt, cause: &'static str) -> Result<(), Failure> {
        if !started.exchange.head.status.is_success() {
            return Err(Failure::Unknown);
        }
        info!(self.request.router.log, "stream continues"; "req" => &*self.request.head.label,
            "cause" => cause, "after" => self.request.cursor.last(), "first" => %started.address);
        self.drop_unforwarded();
        self.request.cursor.begin_attempt();
        self.next_check = None;
        self.last_bytes = self.request.router.now();
        self.last_progress = self.last_bytes;
        self.current = Some(started);
        Ok(())
    }

    /// Records that the target of an attempt broke the connection.
    fn on_connection_lost(&mut self, lost: &StartedAttempt) {
        self.record_doubtful_crash();
        self.record_broken(lost);
        self.request.on_broken(lost.address);
    }

    /// Records an attempt that ended early as evidence for the quarantine.
    fn record_broken(&mut self, lost: &StartedAttempt) {
        if !lost.is_under_way() && !self.request.is_quarantined() {
            self.request.record_broken(lost.address, lost.sent_at);
        }
    }

    /// Drops what the attempt sent and the caller does not get.
    fn drop_unforwarded(&mut self) {
        self.splitter.clear();
        self.held.clear();
        self.fault = None;
        self.request.bytes.shrink_to(self.request.base_bytes);
    }

    /// Leaves an attempt whose target did what `cause` says.
    fn leave(&mut self, lost: &StartedAttempt, cause: &'static str) {
        match cause {
            CONNECTION_BROKE | CUT_SHORT => self.on_connection_lost(lost),
            NO_EVENT | EVENT_TOO_LONG | GAP | DISORDERED | AMBIGUOUS => {
                // The target is alive and faulty, whatever it was asked.
                self.request.router.record_failure(lost.address, cause);
                return;
            }
            // The target may be sound, and others use the memory.
            NO_MEMORY => return,
            TARGET_ENDED => {
                self.may_be_whole = true;
                self.record_doubtful_crash();
                self.request.settle_broken(lost.address);
                if !lost.is_under_way() && !self.request.is_quarantined() {
                    self.doubtful = self.request.broken_attempt(lost.address, lost.sent_at);
                }
                return;
            }
            END_UNCONFIRMED => {
                self.may_be_whole = true;
                self.request.on_broken(lost.address);
                return;
            }
            _ => self.record_broken(lost),
        }
        self.request.probe(lost, self.last_bytes);
    }

    /// Takes the end of a target into the evidence, now that its answer is known not to have been whole
    /// or nothing will tell.
    fn record_doubtful_crash(&mut self) {
        if let Some(attempt) = self.doubtful.take() {
            self.request.router.record_crash(attempt);
        }
    }

    async fn resume_elsewhere(&mut self, cause: &'static str) -> Result<(), BodyError> {
        self.drop_unforwarded();
        let now = self.request.router.now();
        let since_sent = self
            .current
            .as_ref()
            .map(|c| now.saturating_sub(c.sent_at).as_millis());
        warn!(self.request.router.log, "stream broke"; "req" => &*self.request.head.label,
            "cause" => cause, "after" => self.request.cursor.last(),
            "ms_since_sent" => since_sent,
            "first" => self.current.as_ref().map(|c| c.address.to_string()),
            "parts" => MarksText(&self.request.marks));
        if let Some(lost) = self.current.take() {
            self.leave(&lost, cause);
        }
        // The caller may have a foreign event, which no further attempt can take back.
        if cause == AMBIGUOUS {
            self.request.guard.complete();
            self.log_end(cause);
            return Err(BodyError::Broken);
        }
        let mut failure = Failure::Unknown;
        loop {
            let is_over = self.request.is_quarantined();
            let may_repeat = !is_over
                && (self.request.on_failure(failure) == Next::Retry
                    || self.request.wait_for_proof().await);
            if !may_repeat {
                self.record_doubtful_crash();
                self.request.guard.complete();
                self.log_end(cause);
                return Err(BodyError::Broken);
            }
            match self.start_elsewhere(cause).await {
                Ok(()) => return Ok(()),
                Err(f) => failure = f,
            }
        }
    }

    fn finish(&mut self) {
        self.request.guard.complete();
        self.log_end("whole");
        let took = self
            .request
            .router
            .now()
            .saturating_sub(self.request.arrived);
        self.request
            .router
            .wait_estimator
            .borrow_mut()
            .on_answered(took);
        if let Some(current) = &self.current {
            self.request.router.record_success(current.address);
            if current.has_begun() {
                let marks = &self.request.marks;
                self.request.router.record_answered_marks(marks);
            }
        }
    }

    fn log_end(&self, end: &str) {
        let took = self
            .request
            .router
            .now()
            .saturating_sub(self.request.arrived);
        self.request.router.metrics.answer(200, took);
        self.request.router.metrics.event_gap(self.longest_pause);
        if end == "whole" {
            info!(self.request.router.log, "answered"; "req" => &*self.request.head.label,
                "status" => 200, "events" => self.events, "ms" => took.as_millis(),
                "first_event_ms" => self.first_event.map(|d| d.as_millis()),
                "longest_pause_ms" => self.longest_pause.as_millis(),
                "attempts" => self.request.attempts.sent());
        } else {
            warn!(self.request.router.log, "stream broken off"; "req" => &*self.request.head.label,
                "cause" => end, "events" => self.events, "ms" => took.as_millis());
        }
    }
}
