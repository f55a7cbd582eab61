//! One request over all its attempts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode, Uri};
use slog::{info, warn};

use coriandercove_base::{AccountId, ConfigVersion, TargetId, Time};

use super::Own;
use super::accounting::{PathText, Watched};
use crate::admit::Refusal;
use crate::attempt::{Attempts, Failure, Next, Outcome};
use crate::path::{Demand, Hop, Narrowest, NoPath};
use crate::protocol::{CallerHead, Dispatch};
use crate::relay::Body;
use crate::routes::{Route, Service};
use crate::sse::Cursor;
use crate::state::{InFlight, Router};
use crate::upstream::{Exchange, ExchangeError, call, read_body, send};

/// Largest answer of a plain service that is held until it is whole.
const MAX_WHOLE_ANSWER: usize = 8 * 1024 * 1024;
/// Requests at one target of a plain service, for each of its slots, beyond which more would miss
/// their objective; a third waits for the second round.
const REQUESTS_PER_SLOT: u32 = 3;
/// Time for the first part of a path to accept a new one.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Factor on the objective that the expected time to the first event may reach. The expectation
/// counts a waiting prompt at each part of its path at once, so it is about twice what happens.
const FIRST_EVENT_FACTOR: u32 = 2;

/// A request on its way, over all its attempts.
pub(crate) struct Job {
    pub(crate) router: Rc<Router>,
    pub(crate) head: CallerHead,
    pub(crate) route: Arc<Route>,
    pub(crate) attempts: Attempts,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// Last event that the caller has.
    pub(crate) cursor: Cursor,
    /// Version of the configuration that admitted it.
    pub(super) version: ConfigVersion,
    /// Notes a caller that leaves.
    pub(crate) watched: Watched,
    pub(super) service: Arc<Service>,
    pub(super) account: Option<AccountId>,
    pub(super) priority: u8,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Targets that were tried as the first part.
    pub(super) tried: Vec<SocketAddr>,
}

/// An attempt whose answer has begun.
pub(crate) struct Started {
    pub(crate) exchange: Exchange,
    pub(crate) in_flight: InFlight,
    pub(crate) address: SocketAddr,
    hops: Vec<Hop>,
}

/// An attempt that failed before its answer began.
pub(crate) struct Failed {
    pub(crate) failure: Failure,
    pub(super) reason: Refusal,
}

impl Failed {
    /// An attempt that may have run.
    pub(super) fn unknown() -> Self {
        Self {
            failure: Failure::Unknown,
            reason: Refusal::NotRun,
        }
    }

    /// An attempt of which nothing has left.
    fn not_sent(reason: Refusal) -> Self {
        Self {
            failure: Failure::NotSent,
            reason,
        }
    }
}

/// Where an attempt goes.
struct Choice {
    target: TargetId,
    address: SocketAddr,
    hops: Vec<Hop>,
    /// Expected time to the first event.
    expected: Duration,
    in_flight: InFlight,
}

/// The end of an attempt whose answer has begun.
pub(super) enum Finished {
    Answer(Response<Body>),
    /// A failure that the target answered for a request that ran.
    TargetFailure(Response<Body>),
    /// The answer was cut short.
    Broken,
    /// A stream, to be forwarded as it arrives.
    Passing(Started),
}

impl Started {
    /// Parts of the path that the events come through; none where a single target serves.
    pub(crate) fn parts(&self) -> impl Iterator<Item = SocketAddr> {
        self.hops.iter().map(|h| h.address)
    }
}

impl Job {
    fn now(&self) -> Time {
        self.router.now()
    }

    pub(super) fn refusal(&self, outcome: Outcome, reason: Refusal) -> Own {
        match outcome {
            Outcome::NotRun => Own::not_run(&self.router, reason, Some(&self.service)),
            Outcome::Unknown if self.now() >= self.deadline => {
                Own::final_answer(StatusCode::GATEWAY_TIMEOUT, "deadline")
            }
            Outcome::Unknown => Own::final_answer(StatusCode::BAD_GATEWAY, "target_failed"),
        }
    }

    /// Decides what follows a failure.
    pub(crate) fn on_failure(&mut self, failure: Failure) -> Next {
        let (now, deadline) = (self.now(), self.deadline);
        let router = Rc::clone(&self.router);
        self.attempts
            .on_failure(failure, now, deadline, || router.take_repeat())
    }

    /// A stream that has begun goes on even if that takes longer than its objective.
    fn first_event_limit(&self) -> Duration {
        if self.attempts.sent == 0 {
            self.route.objective * FIRST_EVENT_FACTOR
        } else {
            self.deadline.saturating_sub(self.now())
        }
    }

    fn demand(&self) -> Option<Demand> {
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

    /// Makes an attempt and waits for the head of its answer.
    pub(crate) async fn start(&mut self) -> Result<Started, Failed> {
        let Choice {
            target,
            address,
            hops,
            expected,
            in_flight,
        } = self.choose()?;
        let time_left = self.deadline.saturating_sub(self.now());
        if time_left.is_zero() {
            return Err(Failed::not_sent(Refusal::Deadline));
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
        }
        self.tried.push(address);
        info!(self.router.log, "sent"; "req" => &*self.head.label, "route" => &*self.route.name,
            "account" => self.account.as_deref(), "target" => &*target, "first" => %address,
            "path" => PathText(&hops), "expected_ms" => expected.as_millis(),
            "left_ms" => time_left.as_millis(), "config" => self.version,
            "attempt" => self.attempts.sent + 1);
        let router = Rc::clone(&self.router);
        router.pulse.borrow_mut().begin_connect(address, self.now());
        let exchange = send(address, request, || {
            router.pulse.borrow_mut().end_probe(address, true);
        });
        let sent = tokio::time::timeout(time_left, exchange).await;
        match sent {
            Ok(Ok(exchange)) => self.judge(exchange, in_flight, address, hops),
            Ok(Err(e)) => Err(self.exchange_failed(&e, address, &hops)),
            Err(_) => Err(Failed {
                failure: Failure::Unknown,
                reason: Refusal::Deadline,
            }),
        }
    }

    fn exchange_failed(&self, e: &ExchangeError, address: SocketAddr, hops: &[Hop]) -> Failed {
        warn!(self.router.log, "attempt failed"; "req" => &*self.head.label,
            "first" => %address, "cause" => %e);
        let failure = match e {
            ExchangeError::NotSent { .. } => Failure::NotSent,
            ExchangeError::Broken { .. } => Failure::Unknown,
        };
        if failure == Failure::NotSent {
            self.router.lost(address, "connection");
        } else if hops.is_empty() {
            self.router.suspect(address, "connection");
        }
        Failed {
            failure,
            reason: Refusal::NotRun,
        }
    }

    /// Tells an answer of the target from one for another request and from a statement that the
    /// request did not run.
    fn judge(
        &self,
        exchange: Exchange,
        in_flight: InFlight,
        address: SocketAddr,
        hops: Vec<Hop>,
    ) -> Result<Started, Failed> {
        let head = &exchange.head;
        let facts = self
            .router
            .protocol
            .answer_facts(head.status, &head.headers);
        let is_other = facts.label.is_some_and(|l| *l != *self.head.label);
        if is_other {
            warn!(self.router.log, "answer to another request"; "req" => &*self.head.label,
                "first" => %address);
            return Err(Failed::unknown());
        }
        if facts.is_not_run {
            let at_fault = facts.at_fault.unwrap_or(address);
            warn!(self.router.log, "target did not run it"; "req" => &*self.head.label,
                "status" => head.status.as_u16(), "first" => %address, "at" => %at_fault);
            self.router.suspect(at_fault, "not_run");
            return Err(Failed {
                failure: Failure::NotRun,
                reason: Refusal::NotRun,
            });
        }
        if !facts.is_stamped {
            warn!(self.router.log, "answer without a stamp"; "req" => &*self.head.label,
                "status" => head.status.as_u16(), "first" => %address);
            return Err(Failed::unknown());
        }
        Ok(Started {
            exchange,
            in_flight,
            address,
            hops,
        })
    }

    fn choose(&self) -> Result<Choice, Failed> {
        if self.service.engine.is_some()
            && let Some(demand) = self.demand()
        {
            let path = self
                .router
                .choose_path(
                    &self.service,
                    demand,
                    self.first_event_limit(),
                    None,
                    &self.tried,
                )
                .map_err(|(reason, narrowest)| {
                    self.log_no_path(reason, narrowest, demand);
                    Failed::not_sent(match reason {
                        NoPath::Full => Refusal::Full,
                        NoPath::Slow => Refusal::Slow,
                        NoPath::Incomplete => Refusal::NoTarget,
                    })
                })?;
            let in_flight = InFlight::over_path(&self.router, &path.hops, &[], demand);
            self.router.pressure.borrow_mut().on_admitted(self.now());
            let first = &path.hops[0];
            return Ok(Choice {
                target: first.id.clone(),
                address: first.address,
                expected: path.first_event,
                in_flight,
                hops: path.hops,
            });
        }
        let target = self
            .router
            .choose_target(&self.service.name, &self.tried)
            .ok_or_else(|| Failed::not_sent(Refusal::NoTarget))?;
        let requests = self.router.load.borrow().total(target.address).requests;
        if requests >= target.slots.max(1) * REQUESTS_PER_SLOT {
            return Err(Failed::not_sent(Refusal::Full));
        }
        let in_flight = InFlight::at_target(&self.router, target.address);
        Ok(Choice {
            target: target.id.clone(),
            address: target.address,
            hops: Vec::new(),
            expected: Duration::ZERO,
            in_flight,
        })
    }

    fn log_no_path(&self, reason: NoPath, narrowest: Narrowest, demand: Demand) {
        let (targets, peers) = {
            let fleet = self.router.fleet.borrow();
            let load = self.router.load.borrow();
            (fleet.of_service(&self.service.name).count(), load.peers())
        };
        warn!(self.router.log, "no path"; "req" => &*self.head.label, "reason" => ?reason,
            "prompt" => demand.prompt, "answer" => demand.answer, "targets" => targets,
            "narrowest_layer" => narrowest.layer, "holders" => narrowest.holders,
            "with_room" => narrowest.with_room, "peers" => peers, "config" => self.version);
    }

    pub(super) async fn finish(&self, started: Started) -> Finished {
        let status = started.exchange.head.status;
        if self.route.repeat.is_stream() && status.is_success() {
            return Finished::Passing(started);
        }
        let Started {
            exchange, address, ..
        } = started;
        let left = self.deadline.saturating_sub(self.now());
        let body = tokio::time::timeout(left, read_body(exchange.body, MAX_WHOLE_ANSWER)).await;
        let Ok(Ok(body)) = body else {
            warn!(self.router.log, "answer cut short"; "req" => &*self.head.label,
                "first" => %address);
            return Finished::Broken;
        };
        let mut response = Response::new(Body::whole(body));
        *response.status_mut() = status;
        *response.headers_mut() = self.router.protocol.caller_headers(&exchange.head.headers);
        response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
        let took = self.now().saturating_sub(self.arrived);
        info!(self.router.log, "target answered"; "req" => &*self.head.label,
            "status" => status.as_u16(), "first" => %address, "ms" => took.as_millis());
        if status.is_server_error() && self.route.repeat.is_repeatable() {
            return Finished::TargetFailure(response);
        }
        if !status.is_server_error() {
            self.router.trust(address);
        }
        self.router.metrics.answer(status.as_u16(), took);
        Finished::Answer(response)
    }

    /// Asks those parts of a silent or broken stream's path through which nothing came since `since`
    /// whether they are alive. Returns whether any is asked.
    pub(crate) fn probe(&self, started: &Started, since: Time) -> bool {
        crate::placer::probe_parts(&self.router, started.parts(), since)
    }

    /// Which part of the path is excluded, if any.
    pub(crate) fn lost_part(&self, started: &Started) -> Option<LostPart> {
        let now = self.now();
        let suspects = self.router.suspects.borrow();
        let is_lost = |part| suspects.is_excluded(part, now);
        if is_lost(started.address) {
            return Some(LostPart::First);
        }
        let mut others = started.hops.iter().skip(1);
        others
            .any(|h| is_lost(h.address))
            .then_some(LostPart::Later)
    }

    /// Which part of the path of a stream that is silent since `since` is lost by what probes show.
    /// Only a failed probe loses the first part, because that means another run; a later part is
    /// replaced without one, so that an answer which is late is enough.
    pub(crate) fn silent_part(&self, started: &Started, since: Time) -> Option<LostPart> {
        let now = self.now();
        let pulse = self.router.pulse.borrow();
        if pulse.has_failed(started.address, since) {
            return Some(LostPart::First);
        }
        let mut others = started.hops.iter().skip(1);
        let is_lost = others.any(|h| pulse.is_late(h.address, since, now));
        is_lost.then_some(LostPart::Later)
    }

    /// Leads a running request around a lost later part, without running it again. Returns whether
    /// the first part accepted the new path.
    pub(crate) async fn change_path(&self, started: &mut Started) -> bool {
        let Some(demand) = self.demand().filter(|_| !started.hops.is_empty()) else {
            return false;
        };
        let left = self.deadline.saturating_sub(self.now());
        let chosen = self
            .router
            .choose_path(&self.service, demand, left, Some(&started.hops), &[]);
        let Ok(path) = chosen else {
            return false;
        };
        let request = self
            .router
            .protocol
            .repath_request(&self.head.label, &path.hops);
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
            started.in_flight =
                InFlight::over_path(&self.router, &path.hops, &started.hops, demand);
            started.hops = path.hops;
        }
        is_accepted
    }
}

/// A part of a path that is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LostPart {
    /// The part that the router talks to.
    First,
    /// Another one.
    Later,
}
