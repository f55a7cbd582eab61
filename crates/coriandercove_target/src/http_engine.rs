//! The client of an engine.

use bytes::Bytes;
use coriandercove_base::http::{HttpAnswer, HttpCall, HttpClient, HttpError};
use futures_util::future::LocalBoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::cache::CacheEvents;
use crate::engine::{
    Engine, EngineError, EngineInfo, EngineLoad, ForwardReply, ForwardRequest, OrderRequest,
};

type Answer<T> = LocalBoxFuture<'static, Result<T, EngineError>>;

/// An engine reached over HTTP.
#[derive(Clone)]
pub struct HttpEngine {
    client: HttpClient,
    url: String,
}

impl HttpEngine {
    /// The engine at `url`, such as `http://127.0.0.1:8000`.
    #[must_use]
    pub fn new(client: HttpClient, url: &str) -> Self {
        Self {
            client,
            url: url.trim_end_matches('/').to_owned(),
        }
    }

    fn call(&self, method: &str, path: &str, body: Bytes) -> Answer<HttpAnswer> {
        let client = self.client.clone();
        let url = self.url.clone();
        let call = HttpCall::new(method, format!("{url}{path}")).body(body);
        Box::pin(async move {
            let answer = client.call(call).await;
            let answer = answer.map_err(|e| classify(&url, &e))?;
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

    fn get<T: DeserializeOwned + 'static>(&self, path: &str) -> Answer<T> {
        let call = self.call("GET", path, Bytes::new());
        let url = self.url.clone();
        Box::pin(async move { decode(&url, &call.await?.body) })
    }

    fn post(&self, path: &str, body: &impl Serialize) -> Answer<HttpAnswer> {
        match serde_json::to_vec(body) {
            Ok(body) => self.call("POST", path, body.into()),
            Err(e) => {
                let e = answer_error(&self.url, &e);
                Box::pin(async move { Err(e) })
            }
        }
    }
}

fn classify(url: &str, e: &HttpError) -> EngineError {
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

fn decode<T: DeserializeOwned>(url: &str, body: &[u8]) -> Result<T, EngineError> {
    serde_json::from_slice(body).map_err(|e| answer_error(url, &e))
}

impl Engine for HttpEngine {
    fn forward(&self, req: ForwardRequest) -> Answer<ForwardReply> {
        let call = self.post("/v1/forward", &req);
        let url = self.url.clone();
        Box::pin(async move {
            let reply: ForwardReply = decode(&url, &call.await?.body)?;
            reply.check(&req).map_err(|e| answer_error(&url, &e))?;
            Ok(reply)
        })
    }

    fn cancel(&self, seq: String) -> Answer<()> {
        let call = self.call("POST", &format!("/v1/sequences/{seq}/cancel"), Bytes::new());
        Box::pin(async move { call.await.map(drop) })
    }

    fn info(&self) -> Answer<EngineInfo> {
        let call = self.get::<EngineInfo>("/v1/info");
        let url = self.url.clone();
        Box::pin(async move {
            let info = call.await?;
            info.check().map_err(|e| answer_error(&url, &e))?;
            Ok(info)
        })
    }

    fn load(&self) -> Answer<EngineLoad> {
        self.get("/v1/load")
    }

    fn order(&self, req: OrderRequest) -> Answer<()> {
        let call = self.post("/v1/orders", &req);
        Box::pin(async move { call.await.map(drop) })
    }

    fn export_kv(&self, seq: String) -> Answer<Bytes> {
        let call = self.call("GET", &format!("/v1/sequences/{seq}/kv"), Bytes::new());
        Box::pin(async move { Ok(call.await?.body) })
    }

    fn import_kv(&self, seq: String, kv: Bytes) -> Answer<()> {
        let call = self.call("PUT", &format!("/v1/sequences/{seq}/kv"), kv);
        Box::pin(async move { call.await.map(drop) })
    }

    fn cache_events(&self, after: u64) -> Answer<CacheEvents> {
        self.get(&format!("/v1/cache-events?after={after}"))
    }
}
