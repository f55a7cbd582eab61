//! Completion requests: parsing, limits of the model, and the response.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Request, Response};
use coriandercove_base::byte_budget::{BASE_BYTES, ByteShare};
use coriandercove_base::{Clock, Token};
use coriandercove_caller::request::parse;
use coriandercove_caller::{Completion, CompletionKind, NumberTokenizer, Outcome, ResponseWriter};
use coriandercove_config::Pipeline;
use tokio::sync::{mpsc, oneshot};

use super::body::{CancelGuard, TokenBody};
use super::reply::{body_refusal, core_refusal, refusal};
use super::server::{BodyError, read_body};
use super::{AuthenticatedCaller, DEADLINE_HEADER, REQUEST_ID_HEADER, id_text};
use crate::core::StreamSpec;
use crate::runtime::{Inner, ResponseSink, ResponseStart};

/// Copies of a prompt that an entry keeps while its stream is in progress: one to answer, one to place.
const PROMPT_COPIES: usize = 2;

/// Serves a chat or text completion request.
pub async fn serve(
    entry: Rc<Inner>,
    caller: AuthenticatedCaller,
    kind: CompletionKind,
    req: &mut Request,
) -> Response<BoxBody> {
    let id = caller.request_id;
    let deadline = match requested_deadline(req) {
        Ok(deadline) => deadline,
        Err(message) => {
            return refusal(&entry, id, 400, "bad_header", Outcome::NotRun, &message);
        }
    };
    let (body, mut share) = match read_body(req, &entry, usize::MAX).await {
        Ok(read) => read,
        Err(e) => return body_refusal(&entry, id, &e),
    };
    let completion = match parse(kind, &body, &NumberTokenizer) {
        Ok(completion) => completion,
        Err(e) => {
            return refusal(
                &entry,
                id,
                400,
                "bad_request",
                Outcome::NotRun,
                &e.to_string(),
            );
        }
    };
    drop(body);
    let prompt = completion.prompt.len() * size_of::<Token>();
    if !share.resize(BASE_BYTES + prompt * PROMPT_COPIES) {
        return body_refusal(&entry, id, &BodyError::no_memory());
    }
    let active = entry.active_config();
    let Some(pipeline) = active
        .as_ref()
        .and_then(|v| v.config.pipeline(&completion.model))
    else {
        let message = format!("model `{}` is not configured", completion.model);
        return refusal(&entry, id, 404, "unknown_model", Outcome::NotRun, &message);
    };
    let total = completion.prompt.len() as u64 + u64::from(completion.max_tokens);
    if total > u64::from(pipeline.max_tokens) {
        let message = format!(
            "prompt and `max_tokens` add up to {total} tokens; model `{}` allows {}",
            completion.model, pipeline.max_tokens
        );
        return refusal(
            &entry,
            id,
            400,
            "too_many_tokens",
            Outcome::NotRun,
            &message,
        );
    }
    let spec = stream_spec(&entry, &caller, &completion, pipeline, deadline);
    run(entry, completion, spec, share).await
}

/// Builds the stream of a request. The caller's deadline can only shorten the configured one.
fn stream_spec(
    entry: &Inner,
    caller: &AuthenticatedCaller,
    completion: &Completion,
    pipeline: &Pipeline,
    deadline: Option<Duration>,
) -> StreamSpec {
    let now = entry.clock.now();
    let whole = deadline
        .unwrap_or(pipeline.request_deadline)
        .min(pipeline.request_deadline);
    StreamSpec {
        req: caller.request_id,
        account: caller.account.name.clone(),
        model: completion.model.clone(),
        prompt: completion.prompt.clone(),
        max_tokens: completion.max_tokens,
        priority: caller.account.priority,
        deadline: now + whole,
        first_token_deadline: now + whole.min(pipeline.first_token_deadline),
    }
}

/// Submits the stream and responds when its first token or its refusal is known, because the status
/// of the response depends on which of them comes.
async fn run(
    entry: Rc<Inner>,
    completion: Completion,
    spec: StreamSpec,
    share: ByteShare,
) -> Response<BoxBody> {
    let id = spec.req;
    let writer = ResponseWriter::new(completion.kind, id_text(id), completion.model.clone());
    let (started_tx, started) = oneshot::channel();
    let (tx, rx) = mpsc::unbounded_channel();
    let sink = ResponseSink::new(
        writer,
        completion.stream,
        completion.prompt.len() as u32,
        completion.max_tokens,
        started_tx,
        tx,
    );
    let guard = CancelGuard::new(Rc::clone(&entry), id, share);
    entry.submit(spec, sink);
    match started.await {
        Ok(ResponseStart::Streaming) => {
            let body = TokenBody::new(rx, guard);
            response("text/event-stream", id)
                .body(body)
                .map_into_boxed_body()
        }
        Ok(ResponseStart::Whole(json)) => response("application/json", id)
            .body(json)
            .map_into_boxed_body(),
        Ok(ResponseStart::Refused(reason, outcome)) => core_refusal(&entry, id, &reason, outcome),
        Err(_) => {
            let message = "this entry shuts down";
            refusal(&entry, id, 503, "leaving", Outcome::NotRun, message)
        }
    }
}

/// Starts a successful response with the headers that all completions have.
fn response(content_type: &'static str, id: u128) -> actix_http::ResponseBuilder {
    let mut response = Response::build(actix_http::StatusCode::OK);
    response.insert_header(("content-type", content_type));
    response.insert_header(("cache-control", "no-store"));
    response.insert_header((REQUEST_ID_HEADER, id_text(id)));
    response
}

/// Parses the time that the caller allows from [`DEADLINE_HEADER`]; `None` without the header.
pub fn requested_deadline(req: &Request) -> Result<Option<Duration>, String> {
    let Some(value) = req.headers().get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let ms = value
        .to_str()
        .ok()
        .and_then(|v| v.trim().parse::<u64>().ok());
    let ms = ms.filter(|ms| (1..=3_600_000).contains(ms));
    ms.map(|ms| Some(Duration::from_millis(ms))).ok_or_else(|| {
        format!(
            "header `{DEADLINE_HEADER}`: not a number of milliseconds; 1 to 3600000 are allowed"
        )
    })
}
