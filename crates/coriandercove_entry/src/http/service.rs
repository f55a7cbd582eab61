//! Requests for plain services.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use coriandercove_caller::Outcome;
use coriandercove_config::Repeat;
use coriandercove_peer::{Call, CallOutcome};

use super::completion::deadline;
use super::reply::refusal;
use super::server::read_body;
use super::{Authenticated, REQUEST_ID_HEADER, id_text};
use crate::runtime::Inner;

/// Headers that concern one connection and are not passed on, beside the ones that only
/// this entry needs.
const NOT_PASSED: [&str; 12] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// Serves a request for a plain service.
pub async fn serve(
    entry: Rc<Inner>,
    caller: Authenticated,
    req: &mut Request,
) -> Response<BoxBody> {
    let id = caller.req;
    let (service, path) = split(req);
    let view = entry.view();
    let Some(found) = view.as_ref().and_then(|v| v.config.service(&service)) else {
        let message = format!("service `{service}` is not configured");
        return refusal(
            &entry,
            id,
            404,
            "unknown_service",
            Outcome::NotRun,
            &message,
        );
    };
    let (repeat, timeout) = found.handling(req.method().as_str(), &path);
    let wanted = match deadline(req) {
        Ok(wanted) => wanted,
        Err(message) => {
            return refusal(&entry, id, 400, "bad_header", Outcome::NotRun, &message);
        }
    };
    let body = match read_body(req, entry.max_body).await {
        Ok(body) => body,
        Err(e) => return refusal(&entry, id, e.status, e.reason, Outcome::NotRun, &e.message),
    };
    let call = Call {
        req: id,
        account: caller.account.name.clone(),
        ticket: None,
        service,
        method: req.method().as_str().to_owned(),
        path,
        headers: passed_headers(req, id),
        body,
        deadline: wanted.unwrap_or(timeout).min(timeout),
    };
    match repeat {
        Repeat::Repeatable => answer(&entry, id, entry.call_repeatable(call).await),
        Repeat::Once => answer(&entry, id, entry.call_once(call).await),
    }
}

/// Splits `/services/{name}/{path}` into the name and the rest with its query.
fn split(req: &Request) -> (String, String) {
    let uri = req
        .uri()
        .path_and_query()
        .map_or(req.path(), |p| p.as_str());
    let rest = uri.strip_prefix("/services/").unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    (name.to_owned(), path)
}

fn passed_headers(req: &Request, id: u128) -> Vec<(String, String)> {
    let passed = req
        .headers()
        .iter()
        .filter(|(name, _)| !NOT_PASSED.contains(&name.as_str()));
    let mut headers: Vec<(String, String)> = passed
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect();
    headers.push((REQUEST_ID_HEADER.to_owned(), id_text(id)));
    headers
}

fn answer(entry: &Inner, id: u128, outcome: CallOutcome) -> Response<BoxBody> {
    match outcome {
        CallOutcome::Answer {
            status,
            headers,
            body,
        } => pass_on(id, status, &headers, body),
        CallOutcome::Refused { reason } => {
            let message = "the call did not run";
            refusal(entry, id, 503, &reason, Outcome::NotRun, message)
        }
        CallOutcome::Unknown { reason } => {
            let message = "the call may have run";
            refusal(entry, id, 502, &reason, Outcome::Unknown, message)
        }
    }
}

fn pass_on(id: u128, status: u16, headers: &[(String, String)], body: Bytes) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status);
    for (name, value) in headers {
        if !NOT_PASSED.contains(&name.as_str()) {
            response.append_header((name.as_str(), value.as_str()));
        }
    }
    response.insert_header((REQUEST_ID_HEADER, id_text(id)));
    response.body(body).map_into_boxed_body()
}
