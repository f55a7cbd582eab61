//! Refusals as HTTP responses, and the statuses and messages of the core's refusal reasons.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use coriandercove_base::RequestId;
use coriandercove_base::telemetry::count;
use coriandercove_caller::{Outcome, RefusalBody};
use coriandercove_policy::RefusalReason;
use coriandercove_policy::explain::Refusal;

use super::server::BodyError;
use super::{REQUEST_ID_HEADER, id_text};
use crate::runtime::Inner;

/// Counts a refusal by the endpoint itself and builds its response.
pub fn refusal(
    entry: &Inner,
    req: RequestId,
    status: u16,
    reason: &str,
    outcome: Outcome,
    message: &str,
) -> Response<BoxBody> {
    count(&entry.refusals, "reason", reason);
    write(
        status,
        &RefusalBody::new(status, reason, outcome, message, id_text(req)),
    )
}

/// Counts the refusal of a request whose body was not taken and builds its response.
pub fn body_refusal(entry: &Inner, req: RequestId, e: &BodyError) -> Response<BoxBody> {
    count(&entry.refusals, "reason", e.reason);
    let mut body = RefusalBody::new(
        e.status,
        e.reason,
        Outcome::NotRun,
        &e.message,
        id_text(req),
    );
    if e.retry_after > Duration::ZERO {
        body = body.with_retry_after(e.retry_after);
    }
    write(e.status, &body)
}

/// Counts a refusal by the core and builds its response.
pub fn core_refusal(
    entry: &Inner,
    req: RequestId,
    refusal: &Refusal,
    outcome: Outcome,
) -> Response<BoxBody> {
    count(&entry.refusals, "reason", refusal.reason.as_str());
    write(
        status_of(refusal.reason),
        &core_refusal_body(req, refusal, outcome),
    )
}

/// Builds the body of a refusal by the core, with the time to wait before a retry if there is one.
pub fn core_refusal_body(req: RequestId, refusal: &Refusal, outcome: Outcome) -> RefusalBody {
    let reason = refusal.reason.as_str();
    let message = message_of(refusal.reason);
    let body = RefusalBody::new(
        status_of(refusal.reason),
        reason,
        outcome,
        message,
        id_text(req),
    );
    if refusal.retry_after > Duration::ZERO {
        body.with_retry_after(refusal.retry_after)
    } else {
        body
    }
}

fn write(status: u16, body: &RefusalBody) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::build(status);
    response.insert_header(("content-type", "application/json"));
    response.insert_header((REQUEST_ID_HEADER, body.request_id.clone()));
    if let Some(seconds) = body.retry_after_seconds() {
        response.insert_header(("retry-after", seconds.to_string()));
    }
    response.body(body.to_json()).map_into_boxed_body()
}

const fn status_of(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::QuotaExceeded | RefusalReason::AccountQueueFull => 429,
        RefusalReason::UnknownModel => 404,
        RefusalReason::DeadlinePassed => 504,
        RefusalReason::AttemptsFailed | RefusalReason::OutcomeUnknown => 502,
        RefusalReason::Cancelled => 499,
        RefusalReason::DuplicateRequest => 409,
        _ => 503,
    }
}

const fn message_of(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::QuotaExceeded => "the quota of the client account is used up",
        RefusalReason::AccountQueueFull => "the client account has too many waiting requests",
        RefusalReason::EntryQueueFull => "too many requests are waiting",
        RefusalReason::DeadlineTooShort => "the deadline cannot be met",
        RefusalReason::DeadlinePassed => "the deadline has passed",
        RefusalReason::NoTarget => "no target holds all that the request needs",
        RefusalReason::NoCapacity => "all targets are at their limit",
        RefusalReason::KvExhausted => "no target has memory for the request",
        RefusalReason::UnknownModel => "the model is not configured",
        RefusalReason::Leaving => "the target or this entry shuts down",
        RefusalReason::StoreUnavailable => "the platform's store does not answer",
        RefusalReason::RetryBudget => "the retry budget is used up",
        RefusalReason::AttemptsFailed => "all attempts failed",
        RefusalReason::OutcomeUnknown => "the outcome is not known",
        RefusalReason::Cancelled => "the caller went away",
        RefusalReason::DuplicateRequest => "the request is in progress already",
    }
}
