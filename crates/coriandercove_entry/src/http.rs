//! The callers' HTTP endpoint: authentication, routing by path, and limits.

mod body;
mod completion;
mod reply;
mod server;
mod service;

pub use server::CallerServer;

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Method, Request, Response};
use coriandercove_base::RequestId;
use coriandercove_base::ids::format_request_id;
use coriandercove_caller::{CompletionKind, Outcome};
use coriandercove_config::Account;

use crate::runtime::Inner;
use reply::refusal;

/// Header of responses and of calls to plain services, with the id that identifies the request from
/// the caller to the last stage.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Request header with the time that the caller allows for the whole response, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The caller of an authenticated request.
pub(crate) struct AuthenticatedCaller {
    /// Id that this entry gave to the request.
    pub request_id: RequestId,
    /// The client account whose key the request contains.
    pub account: Account,
}

/// Authenticates one request and serves it by its path.
pub(crate) async fn serve(entry: Rc<Inner>, mut req: Request) -> Response<BoxBody> {
    let id = entry.next_request_id();
    let path = req.path().to_owned();
    let authorization = req
        .headers()
        .get("authorization")
        .and_then(|v| v.to_str().ok());
    let Some(active) = entry.active_config() else {
        let message = "this entry has no configuration yet";
        return refusal(
            &entry,
            id,
            503,
            "no_configuration",
            Outcome::NotRun,
            message,
        );
    };
    let Some(account) = active.authenticate(authorization).cloned() else {
        let message = "`Authorization: Bearer` with the key of a client account is needed";
        return refusal(&entry, id, 401, "unauthenticated", Outcome::NotRun, message);
    };
    if entry.is_leaving() {
        return refusal(
            &entry,
            id,
            503,
            "leaving",
            Outcome::NotRun,
            "this entry shuts down",
        );
    }
    let caller = AuthenticatedCaller {
        request_id: id,
        account,
    };
    match (req.method().clone(), path.as_str()) {
        (Method::POST, "/v1/chat/completions") => {
            completion::serve(entry, caller, CompletionKind::Chat, &mut req).await
        }
        (Method::POST, "/v1/completions") => {
            completion::serve(entry, caller, CompletionKind::Text, &mut req).await
        }
        (_, path) if path.starts_with("/services/") => {
            service::serve(entry, caller, &mut req).await
        }
        (Method::GET, path) if path.starts_with("/v1/requests/") => {
            service::status(entry, caller, &req).await
        }
        _ => {
            let message = format!("no resource at `{path}`");
            refusal(&entry, id, 404, "not_found", Outcome::NotRun, &message)
        }
    }
}

/// Formats a request id as it appears in headers and bodies.
pub(crate) fn id_text(req: RequestId) -> String {
    format_request_id(req)
}

pub(crate) use body::BodyChunk;
pub(crate) use reply::core_refusal_body;

/// Returns the limits of the callers' endpoint.
pub(crate) const fn server_limits(
    connections: usize,
    head_timeout: std::time::Duration,
) -> server::ServerLimits {
    server::ServerLimits {
        connections,
        head_timeout,
    }
}
