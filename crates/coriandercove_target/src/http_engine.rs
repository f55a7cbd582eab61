//! HTTP client of an engine.

use bytes::Bytes;
use coriandercove_base::http::{HttpCall, HttpClient, HttpError, HttpResponse};
use futures_util::future::LocalBoxFuture;
use serde::Serialize;

use crate::cache::CacheEvents;
use crate::decode::{decode_cache_events, decode_info, decode_load, decode_reply};
use crate::engine::{
    Engine, EngineError, EngineInfo, EngineLoad, ForwardReply, ForwardRequest, OrderRequest,
};

/// Future of an engine's decoded answer.
type AnswerFuture<T> = LocalBoxFuture<'static, Result<T, EngineError>>;

/// Client of one engine over HTTP. Clones share the connections of the HTTP client.
#[derive(Clone)]
pub struct HttpEngine {
    client: HttpClient,
    url: String,
}

impl HttpEngine {
    /// Creates a client of the engine at the base URL `url`, such as `http://127.0.0.1:8000`.
    #[must_use]
    pub fn new(client: HttpClient, url: &str) -> Self {
        Self {
            client,
            url: url.trim_end_matches('/').to_owned(),
        }
    }

    fn call(&self, method: &str, path: &str, body: Bytes) -> AnswerFuture<HttpResponse> {
        let client = self.client.clone();
        let url = self.url.clone();
        let call = HttpCall::new(method, format!("{url}{path}")).body(body);
        Box::pin(async move {
            let answer = client.call(call).await;
            let answer = answer.map_err(|e| exchange_error(&url, &e))?;
            match answer.status {
                200..=299 => Ok(answer),
                status => Err(EngineError::Refused {
                    url,
                    status,
                    message: answer.excerpt(),
                }),
            }
        })
    }

    fn get<T: 'static>(
        &self,
        path: &str,
        decode: impl FnOnce(&[u8]) -> Result<T, String> + 'static,
    ) -> AnswerFuture<T> {
        let call = self.call("GET", path, Bytes::new());
        let url = self.url.clone();
        Box::pin(async move { decode(&call.await?.body).map_err(|e| answer_error(&url, &e)) })
    }

    /// Calls one operation of a sequence. An id that is empty or not alphanumeric is refused
    /// without a call.
    fn sequence_call(
        &self,
        method: &str,
        seq: &str,
        operation: &str,
        body: Bytes,
    ) -> AnswerFuture<HttpResponse> {
        // Other characters, such as `/` and `?`, could change the meaning of the path.
        if !seq.is_empty() && seq.bytes().all(|b| b.is_ascii_alphanumeric()) {
            return self.call(method, &format!("/v1/sequences/{seq}/{operation}"), body);
        }
        let (url, message) = (
            self.url.clone(),
            format!("sequence id {seq:?}: must be alphanumeric and not empty"),
        );
        Box::pin(async move { Err(EngineError::Connect { url, message }) })
    }

    fn post(&self, path: &str, body: &impl Serialize) -> AnswerFuture<HttpResponse> {
        match serde_json::to_vec(body) {
            Ok(body) => self.call("POST", path, body.into()),
            Err(e) => {
                let e = answer_error(&self.url, &e);
                Box::pin(async move { Err(e) })
            }
        }
    }
}

/// Converts a failed exchange, depending on whether the call may have reached the engine.
fn exchange_error(url: &str, e: &HttpError) -> EngineError {
    let (url, message) = (url.to_owned(), e.to_string());
    if e.may_have_arrived() {
        EngineError::Answer { url, message }
    } else {
        EngineError::Connect { url, message }
    }
}

fn answer_error(url: &str, message: &impl ToString) -> EngineError {
    EngineError::Answer {
        url: url.to_owned(),
        message: message.to_string(),
    }
}

impl Engine for HttpEngine {
    fn forward(&self, req: ForwardRequest) -> AnswerFuture<ForwardReply> {
        let call = self.post("/v1/forward", &req);
        let url = self.url.clone();
        Box::pin(async move {
            let body = call.await?.body;
            decode_reply(&body, &req).map_err(|e| answer_error(&url, &e))
        })
    }

    fn cancel(&self, seq: String) -> AnswerFuture<()> {
        let call = self.sequence_call("POST", &seq, "cancel", Bytes::new());
        Box::pin(async move { call.await.map(drop) })
    }

    fn info(&self) -> AnswerFuture<EngineInfo> {
        self.get("/v1/info", decode_info)
    }

    fn load(&self) -> AnswerFuture<EngineLoad> {
        self.get("/v1/load", decode_load)
    }

    fn order(&self, req: OrderRequest) -> AnswerFuture<()> {
        let call = self.post("/v1/orders", &req);
        Box::pin(async move { call.await.map(drop) })
    }

    fn export_kv(&self, seq: String) -> AnswerFuture<Bytes> {
        let call = self.sequence_call("GET", &seq, "kv", Bytes::new());
        Box::pin(async move { Ok(call.await?.body) })
    }

    fn import_kv(&self, seq: String, kv: Bytes) -> AnswerFuture<()> {
        let call = self.sequence_call("PUT", &seq, "kv", kv);
        Box::pin(async move { call.await.map(drop) })
    }

    fn cache_events(&self, after: u64) -> AnswerFuture<CacheEvents> {
        let path = format!("/v1/cache-events?after={after}");
        self.get(&path, move |body| decode_cache_events(body, after))
    }
}
