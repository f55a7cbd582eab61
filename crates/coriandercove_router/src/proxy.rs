//! Serves one request of a caller: admission, attempts, and the answer or refusal.

mod accounting;
mod proxied_request;
mod waiting;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use slog::warn;

use coriandercove_base::body_buf::DoesNotFit;
use coriandercove_base::byte_budget::{BASE_BYTES, ByteShare};
use coriandercove_base::{AccountId, Time};

use crate::attempt::{Attempts, Failure, Next, Outcome};
use crate::collect::{CollectError, collect};
use crate::protocol::{CallerHead, PromptPart};
use crate::quarantine::mark::{Mark, RequestContent, is_request, part_mark, request_mark};
use crate::refusal::{Refusal, retry_after};
use crate::relay::{self, Body};
use crate::returning::is_returning;
use crate::routes::{Configuration, Route, Service, ServiceId};
use crate::sse::Cursor;
use crate::state::Router;

pub(crate) use accounting::MarksText;
use accounting::RequestGuard;
use proxied_request::{FailedAttempt, FinishedAttempt};
pub(crate) use proxied_request::{LostHop, ProxiedRequest, StartedAttempt};
use waiting::WaitState;

/// Time before the caller's deadline at which the answer must be sent.
const DEADLINE_MARGIN: Duration = Duration::from_millis(40);
/// Maximum deadline of a request, whatever its route or its caller states.
const MAX_DEADLINE: Duration = Duration::from_secs(30);
/// Assumed time of a call to a plain service, for the advised retry delay.
const USUAL_CALL: Duration = Duration::from_millis(200);

/// An error answer that the router gives itself.
struct RefusalAnswer {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Duration>,
    /// Whether the caller has been refused before.
    is_returning: bool,
}

/// Serves a request of a caller.
pub async fn serve(router: Rc<Router>, req: Request<Incoming>) -> Response<Body> {
    let arrived = router.now();
    router.metrics.requests.inc();
    router.retry_budget.borrow_mut().on_request(arrived);
    router.limits.borrow_mut().on_request(arrived);
    let head = router.protocol.caller_head(req.headers());
    let label = Arc::clone(&head.label);
    let answer = match admit(&router, req, head, arrived).await {
        Ok(request) => run(request).await,
        Err(refusal) => Err(refusal),
    };
    answer.unwrap_or_else(|refusal| refuse(&router, &label, arrived, &refusal))
}

fn refuse(router: &Router, label: &str, arrived: Time, refusal: &RefusalAnswer) -> Response<Body> {
    let took = router.now().saturating_sub(arrived);
    router.metrics.refusal(refusal.reason);
    router.metrics.answer(refusal.status.as_u16(), took);
    warn!(router.log, "refused"; "req" => label, "status" => refusal.status.as_u16(),
        "reason" => refusal.reason, "ms" => took.as_millis(),
        "returning" => refusal.is_returning,
        "retry_after_ms" => refusal.retry_after.map(|d| d.as_millis()));
    let mut response = Response::new(Body::whole(refusal.reason));
    *response.status_mut() = refusal.status;
    if let Some(wait) = refusal.retry_after {
        let text = format!("{:.2}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

impl RefusalAnswer {
    fn final_answer(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
            is_returning: false,
        }
    }

    /// A refusal stating that the request did not run, with the advised retry delay.
    fn not_run(router: &Router, reason: Refusal, service: Option<&Service>) -> Self {
        let wait = match service.and_then(|s| s.engine.as_ref()) {
            Some(engine) => {
                let mut estimator = router.wait_estimator.borrow_mut();
                estimator.on_refused(router.now());
                estimator.expected_wait(engine.usual_service_time())
            }
            None => USUAL_CALL,
        };
        let wait = retry_after(reason, wait, &mut router.rng.borrow_mut());
        Self::not_run_until(reason, wait)
    }

    /// A refusal of a request with a mark in quarantine. A prompt with a crashing part will be refused
    /// until the quarantine ends. A whole request has run before, so that its caller is not told that
    /// it has not, and is not invited to send it again.
    fn quarantined(router: &Router, mark: Mark) -> Self {
        if is_request(mark) {
            return Self::final_answer(StatusCode::BAD_GATEWAY, "crashing_request");
        }
        let now = router.now();
        let left = router.quarantine.borrow().verdicts().remaining(mark, now);
        Self::not_run_until(Refusal::CrashingPart, left.unwrap_or_default())
    }

    fn not_run_until(reason: Refusal, wait: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: reason.as_str(),
            retry_after: Some(wait),
            is_returning: false,
        }
    }
}

/// Host of the request in lower case, without the port.
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
) -> Result<ProxiedRequest, RefusalAnswer> {
    let Some(cfg) = router.configuration() else {
        return Err(RefusalAnswer::not_run(
            router,
            Refusal::NoConfiguration,
            None,
        ));
    };
    if head_bytes(&req) > cfg.limits.header_bytes {
        return Err(RefusalAnswer::final_answer(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head_too_long",
        ));
    }
    let host = host_of(&req);
    let Some(route) = cfg.route(&host, req.uri().path()) else {
        return Err(RefusalAnswer::final_answer(
            StatusCode::NOT_FOUND,
            "no_route",
        ));
    };
    let route = Arc::clone(route);
    let account = check_key(&cfg, &route, &head)?;
    let service_name = pick_service(router, &route);
    let Some(service) = cfg.service(&service_name).map(Arc::clone) else {
        return Err(RefusalAnswer::not_run(router, Refusal::NoTarget, None));
    };
    let timeout = route.timeout.min(MAX_DEADLINE);
    let by_caller = head.deadline.map(|d| d.saturating_sub(DEADLINE_MARGIN));
    let deadline = arrived + by_caller.map_or(timeout, |d| d.min(timeout));
    let is_returning = is_returning(head.deadline, route.timeout);
    let priority = account
        .as_ref()
        .and_then(|(_, p)| *p)
        .unwrap_or(route.priority);
    let mut marks: Vec<Mark> = head.shared_parts.iter().copied().map(part_mark).collect();
    if !marks.is_empty() {
        router.quarantine.borrow_mut().on_request(&marks, arrived);
    }
    if let Some(mark) = router.convicted_mark(&marks) {
        return Err(RefusalAnswer::quarantined(router, mark));
    }
    let limit = cfg.limits.body_bytes;
    if router.rejects_for_pressure(&service.name, &head) {
        discard(req.into_body(), limit, deadline.saturating_sub(arrived));
        let mut rng = router.rng.borrow_mut();
        let wait = retry_after(Refusal::Pressure, Duration::ZERO, &mut rng);
        return Err(RefusalAnswer::not_run_until(Refusal::Pressure, wait));
    }
    let mut guard = RequestGuard::new(router, &head.label, arrived);
    let (parts, body) = req.into_parts();
    let (body, bytes) = read_caller_body(router, body, limit, deadline)
        .await
        .inspect_err(|_| guard.complete())?;
    let prompt: Vec<PromptPart> = head
        .shared_parts
        .iter()
        .copied()
        .chain(head.own_part)
        .collect();
    let mark = request_mark(&RequestContent {
        method: parts.method.as_str(),
        host: &host,
        path: parts.uri.path_and_query().map_or("", |p| p.as_str()),
        account: account.as_ref().map_or("", |(name, _)| name),
        prompt: &prompt,
        body: &body,
    });
    if router.convicted_mark(&[mark]).is_some() {
        guard.complete();
        return Err(RefusalAnswer::quarantined(router, mark));
    }
    if !router.takes_request(deadline) {
        guard.complete();
        // Any other entry can serve the caller at once.
        return Err(RefusalAnswer::not_run_until(
            Refusal::Stopping,
            Duration::ZERO,
        ));
    }
    marks.push(mark);
    let request = ProxiedRequest {
        router: Rc::clone(router),
        attempts: Attempts::new(route.repeat, route.max_attempts),
        cursor: Cursor::after(head.resume_after),
        account: account.map(|(name, _)| name),
        version: cfg.version,
        marks,
        broke_again: Cell::new(false),
        guard,
        head,
        route,
        arrived,
        deadline,
        service,
        priority,
        is_returning,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        base_bytes: bytes.bytes(),
        bytes,
        tried: Vec::new(),
        wait: WaitState::default(),
    };
    request.record_arrival();
    Ok(request)
}

/// Size of the request line and the headers in bytes, as HTTP/1.1 sends them.
fn head_bytes(req: &Request<Incoming>) -> usize {
    // Spaces, version and line end.
    const REQUEST_LINE: usize = 12;
    // Colon, space and line end.
    const HEADER: usize = 4;
    let line = req.method().as_str().len() + uri_bytes(req.uri()) + REQUEST_LINE;
    let headers = req.headers().iter();
    line + headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER)
        .sum::<usize>()
}

fn uri_bytes(uri: &hyper::Uri) -> usize {
    uri.path_and_query().map_or(0, |p| p.as_str().len())
}

/// Returns the account of the request's key with its priority, or none if the request needs no key
/// and has no known one.
fn check_key(
    cfg: &Configuration,
    route: &Route,
    head: &CallerHead,
) -> Result<Option<(AccountId, Option<u8>)>, RefusalAnswer> {
    let account = head.key.as_deref().and_then(|key| cfg.account(key));
    match account {
        Some(account) => Ok(Some((account.name.clone(), account.priority))),
        None if route.is_anonymous || !cfg.has_accounts() => Ok(None),
        None => Err(RefusalAnswer::final_answer(
            StatusCode::UNAUTHORIZED,
            "unknown_key",
        )),
    }
}

/// Chooses one of the route's services at random, in proportion to their weights.
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

/// Reads the body of a caller's request, with memory for it and for a small answer.
async fn read_caller_body(
    router: &Rc<Router>,
    mut body: Incoming,
    limit: usize,
    deadline: Time,
) -> Result<(Bytes, ByteShare), RefusalAnswer> {
    let left = deadline.saturating_sub(router.now());
    let no_memory = || RefusalAnswer::not_run(router, Refusal::Memory, None);
    // A body that is too long is refused as such.
    let known = body.size_hint().exact().filter(|n| *n <= limit as u64);
    let known = known.map_or(0, |n| usize::try_from(n).unwrap_or(usize::MAX));
    let Some(mut share) = router.bytes.admit(BASE_BYTES.saturating_add(known)) else {
        discard(body, limit, left);
        return Err(no_memory());
    };
    let may_hold = |size: usize| share.grow_to(BASE_BYTES.saturating_add(size));
    let collected = tokio::time::timeout(left, collect(&mut body, limit, may_hold)).await;
    match collected {
        Ok(Ok(whole)) => Ok((whole, share)),
        Ok(Err(CollectError::DoesNotFit {
            source: DoesNotFit::TooLong { .. },
        })) => Err(RefusalAnswer::final_answer(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_long",
        )),
        Ok(Err(CollectError::DoesNotFit {
            source: DoesNotFit::NoMemory { .. },
        })) => {
            discard(body, limit, deadline.saturating_sub(router.now()));
            Err(no_memory())
        }
        Ok(Err(CollectError::Broken { .. })) => Err(RefusalAnswer::final_answer(
            StatusCode::BAD_REQUEST,
            "body_cut_short",
        )),
        Err(_) => Err(RefusalAnswer::final_answer(
            StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
        )),
    }
}

/// Reads a body that is not used and keeps nothing of it, so that its caller gets the answer: one that
/// still sends when the connection is closed may lose it.
fn discard(mut body: Incoming, limit: usize, time: Duration) {
    actix_rt::spawn(async move {
        let read = async {
            let mut bytes = 0;
            while let Some(Ok(frame)) = body.frame().await {
                bytes += frame.data_ref().map_or(0, Bytes::len);
                if bytes > limit {
                    return;
                }
            }
        };
        // A caller that is too slow loses its connection, as it would have with the body in use.
        let _ = tokio::time::timeout(time, read).await;
    });
}

/// Makes attempts until one yields an answer, no further one is allowed, or the process ends.
async fn run(mut request: ProxiedRequest) -> Result<Response<Body>, RefusalAnswer> {
    let router = Rc::clone(&request.router);
    tokio::select! {
        biased;
        () = router.giving_up.notified() => {}
        attempted = make_attempts(&mut request) => {
            return match attempted? {
                Attempted::Answer(response) => Ok(response),
                Attempted::Stream(started) => Ok(pass_stream(request, started)),
            };
        }
    }
    warn!(router.log, "given up at the end of the process"; "req" => &*request.head.label);
    request.guard.complete();
    Err(match request.attempts.outcome() {
        Outcome::NotRun => RefusalAnswer::not_run(&router, Refusal::Stopping, None),
        Outcome::Unknown => RefusalAnswer::final_answer(StatusCode::GATEWAY_TIMEOUT, "stopping"),
    })
}

/// What the attempts of a request led to.
enum Attempted {
    Answer(Response<Body>),
    /// A stream, to be forwarded as its events arrive.
    Stream(StartedAttempt),
}

async fn make_attempts(request: &mut ProxiedRequest) -> Result<Attempted, RefusalAnswer> {
    // The last error answer of a target; the caller gets it if no further attempt yields an answer.
    let mut answered: Option<Response<Body>> = None;
    loop {
        let failed = match request.start().await {
            Ok(started) => match request.finish(started).await {
                FinishedAttempt::Answer(response) => {
                    request.guard.complete();
                    return Ok(Attempted::Answer(response));
                }
                FinishedAttempt::TargetFailure(response) => {
                    answered = Some(response);
                    FailedAttempt::unknown()
                }
                FinishedAttempt::Broken => FailedAttempt::unknown(),
                FinishedAttempt::Streaming(started) => {
                    return Ok(Attempted::Stream(started));
                }
            },
            Err(failed) => failed,
        };
        if let Some(denied) = request.wait.take_denied() {
            request.guard.complete();
            return Err(denied);
        }
        let is_refusal = matches!(
            failed.reason,
            Refusal::Full
                | Refusal::Slow
                | Refusal::FairShare
                | Refusal::Urgency
                | Refusal::NoTarget
                | Refusal::Deadline
        );
        let next = if failed.reason == Refusal::CrashingPart {
            request.stop(failed.failure)
        } else if is_refusal && failed.failure == Failure::NotSent {
            Next::Stop(request.attempts.outcome())
        } else {
            request.on_failure(failed.failure)
        };
        match next {
            Next::Retry => {
                request.router.metrics.repeat(match failed.failure {
                    Failure::NotSent => "not_sent",
                    Failure::NotRun => "not_run",
                    Failure::Unknown => "repeatable",
                });
            }
            Next::Stop(outcome) => {
                request.guard.complete();
                if let Some(response) = answered {
                    return Ok(Attempted::Answer(response));
                }
                return Err(request.refusal(outcome, failed.reason));
            }
        }
    }
}

fn pass_stream(request: ProxiedRequest, started: StartedAttempt) -> Response<Body> {
    let headers = request
        .router
        .protocol
        .caller_headers(&started.exchange.head.headers);
    let status = started.exchange.head.status;
    let mut response = Response::new(relay::stream(request, started));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    // The length may change if the stream is resumed at another target.
    response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
    response
}
