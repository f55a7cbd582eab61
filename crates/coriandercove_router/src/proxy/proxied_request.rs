//! One request of a caller over all its attempts: where each attempt is sent, and what its result
//! means.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body as _;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};
use slog::{info, warn};

use coriandercove_base::body_buf::DoesNotFit;
use coriandercove_base::byte_budget::{BASE_BYTES, ByteShare, accounted};
use coriandercove_base::{AccountId, ConfigVersion, TargetId, Time};

use super::RefusalAnswer;
use super::accounting::{MarksText, PathText, RequestGuard};
use super::waiting::WaitState;
use crate::attempt::{Attempts, Failure, Next, Outcome, Run, StartedMs};
use crate::collect::{CollectError, collect};
use crate::end_check::{END_CHECK_LIMIT, Fate, check};
use crate::fair_share::Rank;
use crate::path::interference::{FirstEventTiming, is_long};
use crate::path::{Bottleneck, Demand, Hop, NoPath};
use crate::protocol::{CallerHead, Dispatch};
use crate::quarantine::BrokenAttempt;
use crate::quarantine::mark::Mark;
use crate::refusal::Refusal;
use crate::relay::{Body, RECHECK_INTERVAL, SILENCE_LIMIT, stall_limit};
use crate::returning::{RefusedCaller, earliest_return, is_scheduled};
use crate::routes::{EngineModel, Route, Service};
use crate::sse::Cursor;
use crate::state::{InFlight, Router};
use crate::upstream::{Exchange, ExchangeError, call, send};
use crate::urgency::Level;
use crate::usage::{AccountKey, account_key};

/// Maximum size of a plain service's answer, which is buffered until it is complete. Dozens of
/// targets that send without end must fit into the memory of an entry.
const MAX_WHOLE_ANSWER: usize = 1024 * 1024;
/// Requests in flight at one target of a plain service, for each of its slots, from which on no
/// more are sent. Further ones would miss their objective: a third one already waits for two
/// others.
const REQUESTS_PER_SLOT: u32 = 3;
/// Time for which the check of a target that broke a connection is waited for.
const PROOF_WAIT: Duration = Duration::from_millis(250);
/// Timeout for the first hop to accept a changed path.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after the first event from which on an answer counts as well under way: its target has not
/// crashed on it.
const UNDER_WAY_AFTER: Duration = Duration::from_millis(500);
/// A request that is being served, over all its attempts.
pub(crate) struct ProxiedRequest {
    pub(crate) router: Rc<Router>,
    pub(crate) head: CallerHead,
    pub(crate) route: Arc<Route>,
    pub(crate) attempts: Attempts,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// Position of the stream: the last event that the caller has.
    pub(crate) cursor: Cursor,
    /// Marks by which crashes of targets are related to the request.
    pub(crate) marks: Vec<Mark>,
    /// Whether an attempt broke off after a target had ended under an earlier one.
    pub(super) broke_again: Cell<bool>,
    /// Version of the configuration under which the request was admitted.
    pub(super) version: ConfigVersion,
    /// Counts the request as in flight and detects a caller that disconnects.
    pub(crate) guard: RequestGuard,
    pub(super) service: Arc<Service>,
    pub(super) account: Option<AccountId>,
    pub(super) priority: u8,
    /// Whether the caller has been refused before, by the time that it has left.
    pub(super) is_returning: bool,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Memory of the body and of what is collected of the answer.
    pub(crate) bytes: ByteShare,
    /// Part of it that is not of the answer.
    pub(crate) base_bytes: usize,
    /// Targets that earlier attempts were sent to.
    pub(super) tried: Vec<SocketAddr>,
    /// What the request remembers of its wait for room.
    pub(super) wait: WaitState,
}

/// An attempt whose answer's head has arrived.
pub(crate) struct StartedAttempt {
    pub(crate) exchange: Exchange,
    pub(crate) in_flight: InFlight,
    pub(crate) address: SocketAddr,
    hops: Vec<Hop>,
    /// Time at which the request was sent to the target.
    pub(crate) sent_at: Time,
    /// Whether the answer has a body that ends with its connection.
    pub(crate) ends_with_connection: bool,
    progress: Progress,
}

/// How far the answer to an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// No event has arrived.
    Waiting,
    /// The first event arrived at this time.
    Begun(Time),
    /// Events have arrived for [`UNDER_WAY_AFTER`].
    UnderWay,
}

/// An attempt that failed before the head of its answer arrived.
pub(crate) struct FailedAttempt {
    pub(crate) failure: Failure,
    pub(super) reason: Refusal,
}

impl FailedAttempt {
    /// An attempt after which the request may have run.
    pub(super) fn unknown() -> Self {
        Self {
            failure: Failure::Unknown,
            reason: Refusal::NotRun,
        }
    }

    /// An attempt that sent no byte of the request.
    pub(super) fn not_sent(reason: Refusal) -> Self {
        Self {
            failure: Failure::NotSent,
            reason,
        }
    }
}

/// Where an attempt is sent.
pub(super) struct Destination {
    target: TargetId,
    address: SocketAddr,
    /// Start of the target's incarnation.
    started_ms: StartedMs,
    hops: Vec<Hop>,
    /// Expected time to the first event; zero for plain services.
    expected: Duration,
    in_flight: InFlight,
}

/// What became of an attempt after the head of its answer arrived.
pub(super) enum FinishedAttempt {
    Answer(Response<Body>),
    /// A server error that the target answered to a request that may be repeated.
    TargetFailure(Response<Body>),
    /// The answer was cut short or did not arrive before the deadline.
    Broken,
    /// A stream, to be forwarded as its events arrive.
    Streaming(StartedAttempt),
}

impl StartedAttempt {
    /// Addresses of the hops that the events come through; none for a plain service.
    pub(crate) fn hop_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.hops.iter().map(|h| h.address)
    }

    /// Whether the answer is well under way.
    pub(crate) fn is_under_way(&self) -> bool {
        self.progress == Progress::UnderWay
    }

    /// Whether an event has arrived.
    pub(crate) fn has_begun(&self) -> bool {
        self.progress != Progress::Waiting
    }

    /// Records an event. Returns whether the answer has just come to be well under way.
    pub(crate) fn on_event(&mut self, now: Time) -> bool {
        match self.progress {
            Progress::Waiting => self.progress = Progress::Begun(now),
            Progress::Begun(at) if now.saturating_sub(at) >= UNDER_WAY_AFTER => {
                self.progress = Progress::UnderWay;
                return true;
            }
            Progress::Begun(_) | Progress::UnderWay => {}
        }
        false
    }
}

/// Whether an answer has a body with neither a length nor chunks.
fn ends_with_connection(exchange: &Exchange) -> bool {
    let headers = &exchange.head.headers;
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    // An answer without a body needs no frame.
    !is_framed && !exchange.body.is_end_stream()
}

impl ProxiedRequest {
    fn now(&self) -> Time {
        self.router.now()
    }

    /// Whether the caller has been refused before.
    pub(crate) fn is_returning(&self) -> bool {
        self.is_returning
    }

    /// Whether the request is a model request of a contended service.
    pub(super) fn is_contended(&self) -> bool {
        let contention = self.router.contention_of(&self.service.name);
        self.head.size.is_some() && contention.is_contended()
    }

    pub(super) fn refusal(&self, outcome: Outcome, reason: Refusal) -> RefusalAnswer {
        let mut answer = self.refusal_answer(outcome, reason);
        answer.is_returning = self.is_returning();
        if self.is_returning() && self.is_contended() {
            let is_sent = !self.tried.is_empty();
            let outcome = if is_sent { "not_answered" } else { "refused" };
            self.router.metrics.returning.caller(outcome);
        }
        answer
    }

    /// A refusal of a request that has not run, with a return by the schedule of all entries.
    fn scheduled(&self, reason: Refusal) -> RefusalAnswer {
        let now = self.now();
        let draws = {
            use rand::Rng as _;
            self.router.rng.borrow_mut().random()
        };
        let mut returns = self.router.contention.returns.borrow_mut();
        let caller = RefusedCaller {
            level: self.priority,
            left: self.deadline.saturating_sub(now),
            earliest: earliest_return(reason),
        };
        let mut answer = RefusalAnswer::not_run(&self.router, reason, Some(&self.service));
        if let Some(after) = returns.promise(caller, draws, now) {
            answer.retry_after = Some(after);
        } else if let Some(after) = answer.retry_after {
            returns.record(caller.level, after, now);
        }
        if let Some(after) = answer.retry_after {
            self.router.metrics.returning.retry_after(after);
        }
        answer
    }

    fn refusal_answer(&self, outcome: Outcome, reason: Refusal) -> RefusalAnswer {
        match outcome {
            Outcome::NotRun if reason == Refusal::CrashingPart => {
                self.router.convicted_mark(&self.marks).map_or_else(
                    || RefusalAnswer::final_answer(StatusCode::BAD_GATEWAY, "target_failed"),
                    |mark| RefusalAnswer::quarantined(&self.router, mark),
                )
            }
            Outcome::NotRun => {
                if reason.is_for_capacity() && self.is_ranked() {
                    self.router.metrics.levels.refused(self.level());
                }
                if self.is_contended() && is_scheduled(reason) {
                    return self.scheduled(reason);
                }
                RefusalAnswer::not_run(&self.router, reason, Some(&self.service))
            }
            Outcome::Unknown if self.now() >= self.deadline => {
                RefusalAnswer::final_answer(StatusCode::GATEWAY_TIMEOUT, "deadline")
            }
            Outcome::Unknown => {
                RefusalAnswer::final_answer(StatusCode::BAD_GATEWAY, "target_failed")
            }
        }
    }

    /// Records a failed attempt and decides whether another one follows.
    pub(crate) fn on_failure(&mut self, failure: Failure) -> Next {
        if self.broke_again.get() {
            // Two targets that a request has probably ended are enough until it is judged.
            return self.stop(failure);
        }
        let (now, deadline) = (self.now(), self.deadline);
        let router = Rc::clone(&self.router);
        self.attempts.on_failure(
            failure,
            now,
            deadline,
            |run| router.has_ended(run),
            || router.try_take_repeat(),
        )
    }

    /// Whether another attempt may begin while the attempts so far may still go on. Counts it against
    /// the retry budget.
    pub(crate) fn may_run_again(&mut self) -> bool {
        !self.broke_again.get() && self.has_runs_left() && self.router.try_take_repeat()
    }

    /// Whether the route allows another run now.
    pub(crate) fn has_runs_left(&mut self) -> bool {
        let (now, deadline, router) = (self.now(), self.deadline, &self.router);
        self.attempts
            .may_run_again(now, deadline, |run| router.has_ended(run))
    }

    /// Records a failed attempt after which the request is not sent again, and returns what the caller
    /// is told.
    pub(super) fn stop(&mut self, failure: Failure) -> Next {
        if failure != Failure::NotSent {
            let (now, deadline) = (self.now(), self.deadline);
            // Without a repeat allowed, the outcome is all that this decides.
            let _ = self
                .attempts
                .on_failure(failure, now, deadline, |_| false, || false);
        }
        Next::Stop(self.attempts.outcome())
    }

    /// Whether a part of the prompt is in quarantine.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.router.convicted_mark(&self.marks).is_some()
    }

    /// Maximum expected time to the first event. Beyond the objective, admitted requests would make
    /// each other late, so that no answer of an overloaded fleet would be in time. A request that has
    /// been sent before is continued even if that takes longer than its objective.
    fn first_event_limit(&self, is_ranked: bool, rank: Rank) -> Duration {
        if self.attempts.sent() == 0 && is_ranked {
            let kind = (self.level(), &*self.route);
            let router = &self.router;
            let limit = router.first_event_limit(&self.service.name, kind, rank);
            limit.min(self.objective_left())
        } else if self.attempts.sent() == 0 {
            self.objective_left()
        } else {
            self.deadline.saturating_sub(self.now())
        }
    }

    /// Urgency of the request.
    pub(crate) fn level(&self) -> Level {
        Level {
            priority: self.priority,
            route_priority: self.route.priority,
        }
    }

    fn first_event_timing(&self, limit: Duration) -> FirstEventTiming {
        let waited = if self.is_contended() {
            self.now().saturating_sub(self.arrived)
        } else {
            Duration::ZERO
        };
        FirstEventTiming {
            limit,
            objective: self.route.objective,
            waited,
        }
    }

    /// Records the time from arrival to the first event of the answer.
    pub(crate) fn record_first_event(&self, took: Duration) {
        let metrics = &self.router.metrics;
        metrics.first_event(took);
        if let Some(engine) = &self.service.engine
            && let Some(size) = &self.head.size
            && self.router.contention_of(&self.service.name).is_contended()
        {
            let is_long = is_long(engine, size.prompt);
            metrics.long_prompts.first_event(is_long, took);
        }
    }

    pub(super) fn account_key(&self) -> AccountKey {
        account_key(self.account.as_deref())
    }

    pub(super) fn demand(&self) -> Option<Demand> {
        let size = self.head.size?;
        let usual = self
            .service
            .engine
            .as_ref()
            .map_or(0, |e| e.usual_answer as u32);
        let expected = size.estimate.unwrap_or(usual).min(size.max_answer);
        Some(Demand {
            prompt: size.prompt,
            answer: expected.max(1),
        })
    }

    /// Records a failed attempt beside one that goes on. Returns whether another one may follow.
    pub(crate) fn on_failure_beside(&mut self, failure: Failure) -> bool {
        let (now, deadline, router) = (self.now(), self.deadline, &self.router);
        // The budget is asked when the next attempt begins.
        let next =
            self.attempts
                .on_failure(failure, now, deadline, |run| router.has_ended(run), || true);
        next == Next::Retry
    }

    /// Records that the target of an attempt broke the connection, and checks whether it has ended.
    pub(crate) fn on_broken(&mut self, address: SocketAddr) {
        let now = self.now();
        self.attempts.on_broken(address, now);
        crate::placer::probe_broken(&self.router, address);
    }

    /// Waits, at the limit of runs, for the checks of targets that broke the connection: those that have
    /// ended do not count. Returns whether another attempt may begin.
    pub(crate) async fn wait_for_proof(&mut self) -> bool {
        let is_final = !self.route.repeat.is_repeatable() || self.broke_again.get();
        if is_final || self.has_runs_left() {
            return false;
        }
        let router = Rc::clone(&self.router);
        let mut limit = std::pin::pin!(tokio::time::sleep(PROOF_WAIT));
        loop {
            let unreachable = router.target_unreachable.notified();
            if self.has_runs_left() {
                return self.may_run_again();
            }
            tokio::select! {
                () = unreachable => {}
                () = &mut limit => return false,
            }
        }
    }

    /// Whether an attempt whose answer has not begun is better made elsewhere: its target does not
    /// answer a probe either, or has taken so long that a stream would count as stalled.
    fn is_head_overdue(&mut self, address: SocketAddr, hops: &[Hop], sent_at: Time) -> bool {
        let has_failed = self.router.liveness.borrow().has_failed(address, sent_at);
        let is_stalled = self.now().saturating_sub(sent_at) >= stall_limit(&self.route);
        if (has_failed || is_stalled) && self.has_runs_left() {
            return true;
        }
        let addresses = hops.iter().map(|h| h.address);
        crate::placer::probe_hops(&self.router, addresses, sent_at);
        false
    }

    /// Makes an attempt and waits for the head of its answer.
    pub(crate) async fn start(&mut self) -> Result<StartedAttempt, FailedAttempt> {
        self.attempts.settle();
        if self.is_quarantined() {
            return Err(FailedAttempt::not_sent(Refusal::CrashingPart));
        }
        let Destination {
            target,
            address,
            started_ms,
            hops,
            expected,
            in_flight,
        } = self.choose_or_wait().await?;
        let time_left = self.deadline.saturating_sub(self.now());
        if time_left.is_zero() {
            return Err(FailedAttempt::not_sent(Refusal::Deadline));
        }
        let dispatch = Dispatch {
            target: &target,
            time_left,
            account: self.account.as_deref(),
            hops: &hops,
            priority: self.priority,
            resume_after: self.cursor.last(),
        };
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self
            .router
            .protocol
            .target_headers(&self.headers, &dispatch);
        if self.tried.is_empty() {
            let waited = self.now().saturating_sub(self.arrived);
            self.router.metrics.before_sending(waited);
            self.record_placed();
        }
        self.tried.push(address);
        info!(self.router.log, "sent"; "req" => &*self.head.label, "route" => &*self.route.name,
            "account" => self.account.as_deref(), "target" => &*target, "first" => %address,
            "path" => PathText(&hops), "expected_ms" => expected.as_millis(),
            "left_ms" => time_left.as_millis(), "config" => self.version,
            "attempt" => self.attempts.sent() + 1, "parts" => MarksText(&self.marks));
        let router = Rc::clone(&self.router);
        router
            .liveness
            .borrow_mut()
            .begin_connect(address, self.now());
        let sent_at = self.now();
        self.attempts.begin(Run {
            target: Arc::clone(&target),
            address,
            started_ms,
            sent_at,
            broke_at: None,
            has_ended: false,
        });
        let exchange = send(address, request, &router.log, || {
            router.liveness.borrow_mut().end_probe(address, true);
        });
        let mut sent = std::pin::pin!(tokio::time::timeout(time_left, exchange));
        let is_watched = !hops.is_empty() && self.route.repeat.is_repeatable();
        let mut check_after = SILENCE_LIMIT;
        let sent = loop {
            tokio::select! {
                biased;
                sent = &mut sent => break sent,
                // Leaving the target before it begins the answer saves it.
                () = router.wait_until_convicted(&self.marks) => {
                    return Err(FailedAttempt {
                        failure: Failure::Unknown,
                        reason: Refusal::CrashingPart,
                    });
                }
                () = tokio::time::sleep(check_after), if is_watched => {}
            }
            if self.is_head_overdue(address, &hops, sent_at) {
                return Err(FailedAttempt::unknown());
            }
            check_after = RECHECK_INTERVAL;
        };
        match sent {
            Ok(Ok(exchange)) => {
                self.classify_answer(exchange, in_flight, (&target, address), hops, sent_at)
            }
            Ok(Err(e)) => Err(self.exchange_failed(&e, address, &hops, sent_at)),
            Err(_) => Err(FailedAttempt {
                failure: Failure::Unknown,
                reason: Refusal::Deadline,
            }),
        }
    }

    fn exchange_failed(
        &mut self,
        e: &ExchangeError,
        address: SocketAddr,
        hops: &[Hop],
        sent_at: Time,
    ) -> FailedAttempt {
        warn!(self.router.log, "attempt failed"; "req" => &*self.head.label,
            "first" => %address, "cause" => %e);
        let failure = match e {
            ExchangeError::NotSent { .. } | ExchangeError::Refused { .. } => Failure::NotSent,
            ExchangeError::Broken { .. } | ExchangeError::TimedOut { .. } => Failure::Unknown,
        };
        if matches!(e, ExchangeError::Refused { .. }) {
            self.router.record_refused(address, "connection");
        } else if failure == Failure::NotSent {
            self.router.record_unreachable(address, "connection");
        } else if hops.is_empty() {
            self.router.record_failure(address, "connection");
        }
        if failure == Failure::Unknown {
            self.record_broken(address, sent_at);
        }
        FailedAttempt {
            failure,
            reason: Refusal::NotRun,
        }
    }

    /// Records an attempt that broke before its answer was well under way.
    pub(crate) fn record_broken(&mut self, address: SocketAddr, sent_at: Time) {
        self.settle_broken(address);
        if let Some(attempt) = self.broken_attempt(address, sent_at) {
            self.router.record_broken_attempt(attempt);
        }
    }

    /// Counts an attempt as one whose target broke the connection.
    pub(crate) fn settle_broken(&mut self, address: SocketAddr) {
        let now = self.now();
        self.attempts.on_broken(address, now);
        if self.router.has_ended_target(&self.head.label) {
            self.broke_again.set(true);
        }
    }

    /// Evidence that an attempt which has just broken may give; none if its target leaves.
    pub(crate) fn broken_attempt(
        &self,
        address: SocketAddr,
        sent_at: Time,
    ) -> Option<BrokenAttempt> {
        self.router
            .broken_attempt(address, &self.head.label, &self.marks, sent_at)
    }

    /// Finds out what became of the target at `address`, whose answer has ended with its connection.
    pub(crate) async fn check_end(&self, address: SocketAddr) -> Fate {
        let limit = END_CHECK_LIMIT.min(self.deadline.saturating_sub(self.now()));
        check(
            &self.router,
            address,
            self.attempts.started_ms(address),
            limit,
        )
        .await
    }

    /// Distinguishes an answer to this request from one to another request and from a statement
    /// that the request did not run.
    fn classify_answer(
        &self,
        exchange: Exchange,
        in_flight: InFlight,
        (target, address): (&TargetId, SocketAddr),
        hops: Vec<Hop>,
        sent_at: Time,
    ) -> Result<StartedAttempt, FailedAttempt> {
        let head = &exchange.head;
        let facts = self
            .router
            .protocol
            .answer_facts(head.status, &head.headers);
        // An answer that names no request is taken for this one's only if nothing can depend on it: a
        // statement that the request did not run may be that of an earlier one, written once more.
        let is_other = match &facts.label {
            Some(label) => **label != *self.head.label,
            None => facts.is_not_run && !self.head.label.is_empty(),
        };
        if is_other {
            warn!(self.router.log, "answer to another request"; "req" => &*self.head.label,
                "first" => %address);
            return Err(FailedAttempt::unknown());
        }
        if facts.is_not_run || facts.is_stamped {
            self.router.record_limit(address, facts.limit, sent_at);
            self.router.record_pause(address, facts.pause, sent_at);
            self.router.record_answer_of(target, &facts);
        }
        if facts.is_not_run {
            let at_fault = facts.at_fault.unwrap_or(address);
            warn!(self.router.log, "target did not run it"; "req" => &*self.head.label,
                "status" => head.status.as_u16(), "first" => %address, "at" => %at_fault);
            self.router.record_failure(at_fault, "not_run");
            // A target may name only hops of the request's path to the other entries.
            if at_fault == address || hops.iter().any(|h| h.address == at_fault) {
                self.router.record_refusal(at_fault);
            }
            if self.is_ranked() {
                self.router.record_declined_level();
            }
            return Err(FailedAttempt {
                failure: Failure::NotRun,
                reason: Refusal::NotRun,
            });
        }
        if !facts.is_stamped {
            warn!(self.router.log, "answer without a stamp"; "req" => &*self.head.label,
                "status" => head.status.as_u16(), "first" => %address);
            return Err(FailedAttempt::unknown());
        }
        Ok(StartedAttempt {
            ends_with_connection: ends_with_connection(&exchange),
            exchange,
            in_flight,
            address,
            hops,
            sent_at,
            progress: Progress::Waiting,
        })
    }

    pub(super) fn choose(&self) -> Result<Destination, FailedAttempt> {
        if let Some(engine) = &self.service.engine
            && let Some(demand) = self.demand()
        {
            let is_ranked = self.is_ranked();
            let rank = if is_ranked {
                self.rank_level(engine, demand)?
            } else {
                self.rank(engine)?
            };
            let path = self
                .router
                .choose_path(
                    &self.service,
                    demand,
                    self.first_event_timing(self.first_event_limit(is_ranked, rank)),
                    None,
                    &self.tried,
                    self.behind_waiting(rank),
                )
                .map_err(|(reason, bottleneck)| {
                    if self.is_news() {
                        self.log_no_path(reason, bottleneck, demand, rank);
                    }
                    if reason != NoPath::Incomplete && is_ranked {
                        self.router.record_full_level(rank, engine);
                    } else if reason != NoPath::Incomplete {
                        self.router.record_full(rank, engine);
                    }
                    FailedAttempt::not_sent(match reason {
                        NoPath::Full => Refusal::Full,
                        NoPath::Slow => Refusal::Slow,
                        NoPath::Incomplete => Refusal::NoTarget,
                    })
                })?;
            let user = (self.account_key(), is_ranked.then(|| self.level()));
            let in_flight = InFlight::over_path(&self.router, user, &path.hops, &[], demand);
            if is_ranked && self.tried.is_empty() {
                self.router.metrics.levels.admitted(self.level());
            }
            self.router
                .wait_estimator
                .borrow_mut()
                .on_admitted(self.now());
            self.on_path_chosen(engine, demand, &path);
            let first = &path.hops[0];
            self.router.record_sent(first.address);
            return Ok(Destination {
                target: first.id.clone(),
                address: first.address,
                started_ms: {
                    let fleet = self.router.fleet.borrow();
                    fleet.get(&first.id).map_or(0, |t| t.started_ms)
                },
                expected: path.first_event,
                in_flight,
                hops: path.hops,
            });
        }
        let target = self
            .router
            .choose_target(&self.service.name, &self.tried)
            .ok_or_else(|| {
                let is_limited = self.router.has_limited_target(&self.service.name);
                FailedAttempt::not_sent(if is_limited {
                    Refusal::Full
                } else {
                    Refusal::NoTarget
                })
            })?;
        let requests = self.router.load.borrow().total(target.address).requests;
        if requests >= target.slots.max(1).saturating_mul(REQUESTS_PER_SLOT) {
            return Err(FailedAttempt::not_sent(Refusal::Full));
        }
        self.router.record_sent(target.address);
        let in_flight = InFlight::at_target(&self.router, target.address);
        Ok(Destination {
            target: target.id.clone(),
            address: target.address,
            started_ms: target.started_ms,
            hops: Vec::new(),
            expected: Duration::ZERO,
            in_flight,
        })
    }

    /// Counts a model request of a contended service that is sent for the first time.
    fn record_placed(&self) {
        if !self.is_contended() {
            return;
        }
        let mut returns = self.router.contention.returns.borrow_mut();
        returns.on_placed(self.now());
        if self.is_returning() {
            self.router.metrics.returning.caller("placed");
        }
    }

    /// Counts the arrival of a model request of a contended service.
    pub(super) fn record_arrival(&self) {
        if self.is_contended() {
            let mut returns = self.router.contention.returns.borrow_mut();
            returns.on_arrival(self.priority, self.is_returning(), self.arrived);
        }
    }

    /// Ranks the request. One that has been sent before goes on, whatever its account uses.
    fn rank(&self, engine: &EngineModel) -> Result<Rank, FailedAttempt> {
        if self.tried.is_empty() {
            self.count_arrival();
        }
        let is_returning = self.is_contended().then_some(self.is_returning);
        match self.router.rank(self.account_key(), engine, is_returning) {
            Some(rank) => Ok(rank),
            None if self.attempts.sent() > 0 => Ok(Rank::default()),
            None => {
                if self.is_news() {
                    warn!(self.router.log, "account has its share"; "req" => &*self.head.label,
                        "account" => self.account.as_deref(), "urgency" => %self.level());
                }
                Err(FailedAttempt::not_sent(Refusal::FairShare))
            }
        }
    }

    /// Ranks a request of a service whose callers compete, as [`Self::rank`] does for others.
    fn rank_level(&self, engine: &EngineModel, demand: Demand) -> Result<Rank, FailedAttempt> {
        let (level, account) = (self.level(), self.account_key());
        if self.tried.is_empty() {
            self.count_arrival();
        }
        let user = (level, account, self.is_returning);
        match self.router.rank_level(user, demand, engine) {
            Some(rank) => Ok(rank),
            None if self.attempts.sent() > 0 => Ok(Rank::default()),
            None => {
                if self.is_news() {
                    warn!(self.router.log, "level has its part"; "req" => &*self.head.label,
                        "account" => self.account.as_deref(), "urgency" => %level);
                }
                Err(FailedAttempt::not_sent(Refusal::Urgency))
            }
        }
    }

    /// Whether callers of the request's service compete for room.
    pub(super) fn is_ranked(&self) -> bool {
        self.router.contention_of(&self.service.name).is_ranked
    }

    fn log_no_path(&self, reason: NoPath, bottleneck: Bottleneck, demand: Demand, rank: Rank) {
        let (targets, peers) = {
            let fleet = self.router.fleet.borrow();
            let load = self.router.load.borrow();
            (fleet.of_service(&self.service.name).count(), load.peers())
        };
        warn!(self.router.log, "no path"; "req" => &*self.head.label, "reason" => ?reason,
            "account" => self.account.as_deref(), "urgency" => %self.level(), "ahead" => rank.ahead.round(),
            "prompt" => demand.prompt, "answer" => demand.answer, "targets" => targets,
            "narrowest_layer" => bottleneck.layer, "holders" => bottleneck.holders,
            "with_room" => bottleneck.with_room, "peers" => peers, "config" => self.version);
    }

    pub(super) async fn finish(&mut self, started: StartedAttempt) -> FinishedAttempt {
        let status = started.exchange.head.status;
        if self.route.repeat.is_stream() && status.is_success() {
            return FinishedAttempt::Streaming(started);
        }
        let StartedAttempt {
            exchange,
            address,
            sent_at,
            ends_with_connection,
            ..
        } = started;
        let left = self.deadline.saturating_sub(self.now());
        self.release_body();
        let (base, share) = (self.base_bytes, &mut self.bytes);
        let may_hold = |size: usize| share.resize(base + size.saturating_sub(BASE_BYTES));
        let mut body = exchange.body;
        let body = collect(&mut body, MAX_WHOLE_ANSWER, may_hold);
        let body = match tokio::time::timeout(left, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(CollectError::DoesNotFit { source })) => {
                // The target is alive and sends; the request is no suspect.
                self.give_up_answer(address, source);
                return FinishedAttempt::Broken;
            }
            Ok(Err(_)) | Err(_) => {
                warn!(self.router.log, "answer cut short"; "req" => &*self.head.label,
                    "first" => %address);
                self.bytes.shrink_to(base);
                self.record_broken(address, sent_at);
                return FinishedAttempt::Broken;
            }
        };
        if ends_with_connection {
            let fate = self.check_end(address).await;
            if fate != Fate::Alive {
                warn!(self.router.log, "answer not known to be whole"; "req" => &*self.head.label,
                    "first" => %address, "target" => ?fate, "bytes" => body.len());
                self.bytes.shrink_to(base);
                self.settle_broken(address);
                if fate == Fate::Ended
                    && let Some(attempt) = self.broken_attempt(address, sent_at)
                {
                    self.router.record_crash(attempt);
                }
                return FinishedAttempt::Broken;
            }
        }
        if !status.is_server_error() {
            self.router.record_answered_marks(&self.marks);
        }
        let share = self.bytes.split(self.bytes.bytes().saturating_sub(base));
        let mut response = Response::new(Body::whole(accounted(body, share)));
        *response.status_mut() = status;
        *response.headers_mut() = self.router.protocol.caller_headers(&exchange.head.headers);
        response.headers_mut().remove(CONTENT_LENGTH);
        let took = self.now().saturating_sub(self.arrived);
        info!(self.router.log, "target answered"; "req" => &*self.head.label,
            "status" => status.as_u16(), "first" => %address, "ms" => took.as_millis());
        if status.is_server_error() && self.route.repeat.is_repeatable() {
            return FinishedAttempt::TargetFailure(response);
        }
        if !status.is_server_error() {
            self.router.record_success(address);
            self.router.record_served(std::iter::once(address), sent_at);
        }
        self.router.metrics.answer(status.as_u16(), took);
        FinishedAttempt::Answer(response)
    }

    /// Gives the memory of the caller's body back once it cannot be sent again.
    pub(crate) fn release_body(&mut self) {
        if !self.route.repeat.is_repeatable() {
            self.body = Bytes::new();
            self.base_bytes = BASE_BYTES;
            self.bytes.shrink_to(BASE_BYTES);
        }
    }

    fn give_up_answer(&mut self, address: SocketAddr, cause: DoesNotFit) {
        if matches!(cause, DoesNotFit::NoMemory { .. }) {
            self.router.metrics.answers_without_memory.inc();
        }
        warn!(self.router.log, "answer given up"; "req" => &*self.head.label,
            "first" => %address, "cause" => %cause);
        self.bytes.shrink_to(self.base_bytes);
    }

    /// Probes the hops of a silent or broken stream through which no event arrived since `since`.
    /// Returns whether any probe was started.
    pub(crate) fn probe(&self, started: &StartedAttempt, since: Time) -> bool {
        crate::placer::probe_hops(&self.router, started.hop_addresses(), since)
    }

    /// Returns whether the first hop of the path is excluded, or otherwise a later one.
    pub(crate) fn excluded_hop(&self, started: &StartedAttempt) -> Option<LostHop> {
        let now = self.now();
        let exclusions = self.router.exclusions.borrow();
        let is_lost = |hop| exclusions.is_excluded(hop, now);
        if is_lost(started.address) {
            return Some(LostHop::First);
        }
        let mut others = started.hops.iter().skip(1);
        others.any(|h| is_lost(h.address)).then_some(LostHop::Later)
    }

    /// Returns the hop that probes show as lost, if any, for a stream that has been silent since
    /// `since`. The loss of the first hop needs a failed probe, because it makes another run
    /// necessary. A later hop is replaced without another run, so that an overdue probe is enough.
    pub(crate) fn unresponsive_hop(
        &self,
        started: &StartedAttempt,
        since: Time,
    ) -> Option<LostHop> {
        let now = self.now();
        let liveness = self.router.liveness.borrow();
        if liveness.has_failed(started.address, since) {
            return Some(LostHop::First);
        }
        let mut others = started.hops.iter().skip(1);
        let is_lost = others.any(|h| liveness.has_failed_or_is_overdue(h.address, since, now));
        is_lost.then_some(LostHop::Later)
    }

    /// Leads a running request around a lost later hop, without running it again. Returns whether
    /// the first hop accepted the new path.
    pub(crate) async fn change_path(&self, started: &mut StartedAttempt) -> bool {
        let Some(demand) = self.demand().filter(|_| !started.hops.is_empty()) else {
            return false;
        };
        let left = self.deadline.saturating_sub(self.now());
        let timing = self.first_event_timing(left);
        let running = Some(&started.hops[..]);
        let rank = Rank::default();
        let chosen = self
            .router
            .choose_path(&self.service, demand, timing, running, &[], rank);
        let Ok(path) = chosen else {
            return false;
        };
        let request = self
            .router
            .protocol
            .repath_request(&self.head.label, &path.hops);
        self.router.record_sent(started.address);
        let answer = call(started.address, request, CHANGE_TIMEOUT).await;
        let is_accepted = answer.as_ref().is_ok_and(|a| a.status.is_success());
        self.router.metrics.order(if is_accepted {
            "path_changed"
        } else {
            "path_kept"
        });
        info!(self.router.log, "path change"; "req" => &*self.head.label,
            "path" => PathText(&path.hops), "accepted" => is_accepted,
            "status" => answer.ok().map(|a| a.status.as_u16()));
        if is_accepted {
            let user = (self.account_key(), self.is_ranked().then(|| self.level()));
            started.in_flight =
                InFlight::over_path(&self.router, user, &path.hops, &started.hops, demand);
            started.hops = path.hops;
        }
        is_accepted
    }
}

/// A lost hop, by its position in the path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LostHop {
    /// The first hop, to which the router is connected.
    First,
    /// Any other hop.
    Later,
}
