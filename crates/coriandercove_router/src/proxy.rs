//! Serves one request: admission, attempts, and the answer or refusal.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode, Uri};
use slog::{info, warn};

use coriandercove_base::{AccountId, ConfigVersion, TargetId, Time};

use crate::admit::{Refusal, retry_after};
use crate::attempt::{Attempts, Failure, Next, Outcome};
use crate::dialect::{CallerHead, Dispatch, RequestLabel};
use crate::path::{Demand, Hop, Narrowest, NoPath};
use crate::relay::{self, Body};
use crate::routes::{Configuration, Route, Service, ServiceId};
use crate::sse::Cursor;
use crate::state::{InFlight, Router};
use crate::upstream::{Exchange, ExchangeError, call, read_body, send};

/// Time before the caller's own deadline at which its answer must leave.
const DEADLINE_MARGIN: Duration = Duration::from_millis(40);
/// Deadline of a request that states none and whose route has none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Largest answer of a plain service that is held until it is whole.
const MAX_WHOLE_ANSWER: usize = 8 * 1024 * 1024;
/// Time of a plain call that is taken as usual for the advice to come back.
const USUAL_CALL: Duration = Duration::from_millis(200);
/// Factor on the objective that the expected time to the first event may reach. The expectation
/// counts a waiting prompt at each part of its path at once, so it is about twice what happens.
const FIRST_EVENT_FACTOR: u32 = 2;
/// Time for the first part of a path to accept a new one.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Requests at one target of a plain service, for each of its slots, beyond which more would miss
/// their objective; a third waits for the second round.
const REQUESTS_PER_SLOT: u32 = 3;

/// An answer that the router gives by itself.
struct Own {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Duration>,
}

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
    version: ConfigVersion,
    /// Notes a caller that leaves.
    pub(crate) watched: Watched,
    service: Arc<Service>,
    account: Option<AccountId>,
    priority: u8,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// Targets that were tried as the first part.
    tried: Vec<SocketAddr>,
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
    reason: Refusal,
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

/// A path as the log shows it.
struct PathText<'a>(&'a [Hop]);

impl slog::Value for PathText<'_> {
    fn serialize(
        &self,
        _: &slog::Record<'_>,
        key: slog::Key,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        let mut text = String::new();
        for hop in self.0 {
            let comma = if text.is_empty() { "" } else { "," };
            // Writing to a string cannot fail.
            let _ = write!(text, "{comma}{}={}", hop.address, hop.layers);
        }
        serializer.emit_str(key, &text)
    }
}

/// Logs a request whose caller left before its answer was complete.
pub(crate) struct Watched {
    router: Rc<Router>,
    label: RequestLabel,
    arrived: Time,
    is_done: bool,
}

impl Watched {
    pub(crate) fn done(&mut self) {
        self.is_done = true;
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        if !self.is_done {
            let took = self.router.now().saturating_sub(self.arrived);
            self.router.metrics.cancelled.inc();
            info!(self.router.log, "caller left"; "req" => &*self.label,
                "ms" => took.as_millis());
        }
    }
}

/// Counts a request while it is served.
struct Counted(Rc<Router>);

impl Counted {
    fn begin(router: &Rc<Router>) -> Self {
        router.in_flight.set(router.in_flight.get() + 1);
        router.metrics.in_flight.inc();
        Self(Rc::clone(router))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.metrics.in_flight.dec();
    }
}

/// Serves a request of a caller.
pub async fn serve(router: Rc<Router>, req: Request<Incoming>) -> Response<Body> {
    let arrived = router.now();
    router.metrics.requests.inc();
    router.budget.borrow_mut().on_request(arrived);
    let _counted = Counted::begin(&router);
    let head = router.dialect.caller_head(req.headers());
    let label = Arc::clone(&head.label);
    let answer = match admit(&router, req, head, arrived).await {
        Ok(job) => run(job).await,
        Err(own) => Err(own),
    };
    answer.unwrap_or_else(|own| refuse(&router, &label, arrived, &own))
}

fn refuse(router: &Router, label: &str, arrived: Time, own: &Own) -> Response<Body> {
    let took = router.now().saturating_sub(arrived);
    router.metrics.refusal(own.reason);
    router.metrics.answer(own.status.as_u16(), took);
    warn!(router.log, "refused"; "req" => label, "status" => own.status.as_u16(),
        "reason" => own.reason, "ms" => took.as_millis(),
        "retry_after_ms" => own.retry_after.map(|d| d.as_millis()));
    let mut response = Response::new(Body::whole(own.reason));
    *response.status_mut() = own.status;
    if let Some(wait) = own.retry_after {
        let text = format!("{:.2}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

impl Own {
    fn final_answer(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// A refusal that states that the request did not run.
    fn not_run(router: &Router, reason: Refusal, service: Option<&Service>) -> Self {
        let usual = service
            .and_then(|s| s.engine.as_ref())
            .map_or(USUAL_CALL, |e| e.step.mul_f64(e.usual_answer));
        let wait = retry_after(reason, usual, &mut router.rng.borrow_mut());
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: reason.as_str(),
            retry_after: Some(wait),
        }
    }
}

/// Host in lower case without its port.
fn host_of(req: &Request<Incoming>) -> String {
    let from_header = req
        .headers()
        .get(hyper::header::HOST)
        .and_then(|h| h.to_str().ok());
    let host = from_header.or(req.uri().host()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    host.to_ascii_lowercase()
}

async fn admit(
    router: &Rc<Router>,
    req: Request<Incoming>,
    head: CallerHead,
    arrived: Time,
) -> Result<Job, Own> {
    let Some(cfg) = router.configuration() else {
        return Err(Own::not_run(router, Refusal::NoConfiguration, None));
    };
    let Some(route) = cfg.route(&host_of(&req), req.uri().path()) else {
        return Err(Own::final_answer(StatusCode::NOT_FOUND, "no_route"));
    };
    let route = Arc::clone(route);
    let account = check_key(&cfg, &route, &head)?;
    let service_name = pick_service(router, &route);
    let Some(service) = cfg.service(&service_name).map(Arc::clone) else {
        return Err(Own::not_run(router, Refusal::NoTarget, None));
    };
    let timeout = route.timeout.min(DEFAULT_DEADLINE);
    let by_caller = head.deadline.map(|d| d.saturating_sub(DEADLINE_MARGIN));
    let deadline = arrived + by_caller.map_or(timeout, |d| d.min(timeout));
    let priority = account
        .as_ref()
        .and_then(|(_, p)| *p)
        .unwrap_or(route.priority);
    let limit = cfg.limits.body_bytes;
    let mut watched = Watched {
        router: Rc::clone(router),
        label: Arc::clone(&head.label),
        arrived,
        is_done: false,
    };
    let (parts, body) = req.into_parts();
    let body = read_caller_body(router, body, limit, deadline)
        .await
        .inspect_err(|_| watched.done())?;
    Ok(Job {
        router: Rc::clone(router),
        attempts: Attempts::new(route.repeat, route.max_attempts),
        cursor: Cursor::after(head.resume_after),
        account: account.map(|(name, _)| name),
        version: cfg.version,
        watched,
        head,
        route,
        arrived,
        deadline,
        service,
        priority,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        tried: Vec::new(),
    })
}

/// The account of the request's key, with its rank.
fn check_key(
    cfg: &Configuration,
    route: &Route,
    head: &CallerHead,
) -> Result<Option<(AccountId, Option<u8>)>, Own> {
    let account = head.key.as_deref().and_then(|key| cfg.account(key));
    match account {
        Some(account) => Ok(Some((account.name.clone(), account.priority))),
        None if route.is_anonymous || !cfg.has_accounts() => Ok(None),
        None => Err(Own::final_answer(StatusCode::UNAUTHORIZED, "unknown_key")),
    }
}

/// One of the route's services, in proportion to their shares.
fn pick_service(router: &Router, route: &Route) -> ServiceId {
    use rand::Rng as _;
    let total: u32 = route.split.iter().map(|(_, w)| *w).sum();
    let mut at = router.rng.borrow_mut().random_range(0..total.max(1));
    for (service, weight) in &route.split {
        if at < *weight {
            return Arc::clone(service);
        }
        at -= weight;
    }
    Arc::clone(&route.split[0].0)
}

async fn read_caller_body(
    router: &Router,
    body: Incoming,
    limit: usize,
    deadline: Time,
) -> Result<Bytes, Own> {
    let left = deadline.saturating_sub(router.now());
    let collected = tokio::time::timeout(left, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(e)) if e.downcast_ref::<LengthLimitError>().is_some() => Err(Own::final_answer(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_long",
        )),
        Ok(Err(_)) => Err(Own::final_answer(StatusCode::BAD_REQUEST, "body_cut_short")),
        Err(_) => Err(Own::final_answer(
            StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
        )),
    }
}

/// Makes attempts until one has an answer or no further one is made.
async fn run(mut job: Job) -> Result<Response<Body>, Own> {
    // The last failure that a target answered itself; it goes to the caller if nothing better does.
    let mut answered: Option<Response<Body>> = None;
    loop {
        let failed = match job.start().await {
            Ok(started) => match job.finish(started).await {
                Finished::Answer(response) => {
                    job.watched.done();
                    return Ok(response);
                }
                Finished::TargetFailure(response) => {
                    answered = Some(response);
                    Failed {
                        failure: Failure::Unknown,
                        reason: Refusal::NotRun,
                    }
                }
                Finished::Broken => Failed {
                    failure: Failure::Unknown,
                    reason: Refusal::NotRun,
                },
                Finished::Passing(started) => {
                    return Ok(pass_stream(job, started));
                }
            },
            Err(failed) => failed,
        };
        let is_refusal = matches!(
            failed.reason,
            Refusal::Full | Refusal::Slow | Refusal::NoTarget | Refusal::Deadline
        );
        let next = if is_refusal && failed.failure == Failure::NotSent {
            Next::Stop(job.attempts.outcome())
        } else {
            job.on_failure(failed.failure)
        };
        match next {
            Next::Retry => {
                job.router.metrics.repeat(match failed.failure {
                    Failure::NotSent => "not_sent",
                    Failure::NotRun => "not_run",
                    Failure::Unknown | Failure::TargetLost => "repeatable",
                });
            }
            Next::Stop(outcome) => {
                job.watched.done();
                if let Some(response) = answered {
                    return Ok(response);
                }
                return Err(job.refusal(outcome, failed.reason));
            }
        }
    }
}

/// The end of an attempt whose answer has begun.
enum Finished {
    Answer(Response<Body>),
    /// A failure that the target answered for a request that ran.
    TargetFailure(Response<Body>),
    /// The answer was cut short.
    Broken,
    /// A stream, to be forwarded as it arrives.
    Passing(Started),
}

fn pass_stream(job: Job, started: Started) -> Response<Body> {
    let headers = job
        .router
        .dialect
        .caller_headers(&started.exchange.head.headers);
    let status = started.exchange.head.status;
    let mut response = Response::new(relay::stream(job, started));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    // The length may change when the stream goes on at another target.
    response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
    response
}

impl Job {
    fn now(&self) -> Time {
        self.router.now()
    }

    fn refusal(&self, outcome: Outcome, reason: Refusal) -> Own {
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
            return Err(Failed {
                failure: Failure::NotSent,
                reason: Refusal::Deadline,
            });
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
        *request.headers_mut() = self.router.dialect.target_headers(&self.headers, &dispatch);
        self.tried.push(address);
        info!(self.router.log, "sent"; "req" => &*self.head.label, "route" => &*self.route.name,
            "account" => self.account.as_deref(), "target" => &*target, "first" => %address,
            "path" => PathText(&hops), "expected_ms" => expected.as_millis(),
            "left_ms" => time_left.as_millis(), "config" => self.version,
            "attempt" => self.attempts.sent + 1);
        let sent = tokio::time::timeout(time_left, send(address, request)).await;
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
        if failure == Failure::NotSent || hops.is_empty() {
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
        let facts = self.router.dialect.answer_facts(head.status, &head.headers);
        let is_other = facts.label.is_some_and(|l| *l != *self.head.label);
        if is_other {
            warn!(self.router.log, "answer to another request"; "req" => &*self.head.label,
                "first" => %address);
            return Err(Failed {
                failure: Failure::Unknown,
                reason: Refusal::NotRun,
            });
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
            return Err(Failed {
                failure: Failure::Unknown,
                reason: Refusal::NotRun,
            });
        }
        Ok(Started {
            exchange,
            in_flight,
            address,
            hops,
        })
    }

    fn choose(&self) -> Result<Choice, Failed> {
        let not_sent = |reason| Failed {
            failure: Failure::NotSent,
            reason,
        };
        if self.service.engine.is_some()
            && let Some(demand) = self.demand()
        {
            let path = self
                .router
                .choose_path(&self.service, demand, self.first_event_limit(), None)
                .map_err(|(reason, narrowest)| {
                    self.log_no_path(reason, narrowest, demand);
                    not_sent(match reason {
                        NoPath::Full => Refusal::Full,
                        NoPath::Slow => Refusal::Slow,
                        NoPath::Incomplete => Refusal::NoTarget,
                    })
                })?;
            let in_flight = InFlight::over_path(&self.router, &path.hops, demand);
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
            .ok_or_else(|| not_sent(Refusal::NoTarget))?;
        let requests = self.router.load.borrow().total(target.address).requests;
        if requests >= target.slots.max(1) * REQUESTS_PER_SLOT {
            return Err(not_sent(Refusal::Full));
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

    async fn finish(&self, started: Started) -> Finished {
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
        *response.headers_mut() = self.router.dialect.caller_headers(&exchange.head.headers);
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

    /// Asks the parts of a silent or broken stream's path whether they are alive.
    pub(crate) fn probe(&self, started: &Started) {
        crate::placer::probe_parts(&self.router, started.hops.iter().map(|h| h.address));
    }

    /// Which part of the path is lost, if any.
    pub(crate) fn lost_part(&self, started: &Started) -> Option<LostPart> {
        let now = self.now();
        let suspects = self.router.suspects.borrow();
        let is_lost = |h: &Hop| suspects.is_excluded(h.address, now);
        if suspects.is_excluded(started.address, now) {
            return Some(LostPart::First);
        }
        let mut others = started.hops.iter().skip(1);
        others.any(is_lost).then_some(LostPart::Later)
    }

    /// Leads a running request around a lost later part, without running it again. Returns whether
    /// the first part accepted the new path.
    pub(crate) async fn change_path(&self, started: &mut Started) -> bool {
        let (Some(demand), Some(first)) = (self.demand(), started.hops.first()) else {
            return false;
        };
        let left = self.deadline.saturating_sub(self.now());
        let chosen = self
            .router
            .choose_path(&self.service, demand, left, Some(first));
        let Ok(path) = chosen else {
            return false;
        };
        let request = self
            .router
            .dialect
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
            started.in_flight = InFlight::over_path(&self.router, &path.hops, demand);
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
