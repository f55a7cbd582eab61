//! The client of a plain service.

use coriandercove_base::http::{HttpCall, HttpClient, HttpError};
use futures_util::future::LocalBoxFuture;

use crate::service::{Service, ServiceAnswer, ServiceCall, ServiceError};

/// A plain service reached over HTTP.
#[derive(Clone)]
pub struct HttpService {
    client: HttpClient,
    url: String,
}

impl HttpService {
    /// The service at `url`, such as `http://127.0.0.1:8080`.
    #[must_use]
    pub fn new(client: HttpClient, url: &str) -> Self {
        Self {
            client,
            url: url.trim_end_matches('/').to_owned(),
        }
    }
}

impl Service for HttpService {
    fn call(
        &self,
        call: ServiceCall,
    ) -> LocalBoxFuture<'static, Result<ServiceAnswer, ServiceError>> {
        let client = self.client.clone();
        let url = self.url.clone();
        Box::pin(async move {
            let http = HttpCall {
                method: call.method,
                url: format!("{url}{}", call.path),
                headers: call.headers,
                body: call.body,
                timeout: call.timeout,
                fresh_connection: call.once,
            };
            let answer = client.call(http).await.map_err(|e| classify(url, e))?;
            Ok(ServiceAnswer {
                status: answer.status,
                headers: answer.headers,
                body: answer.body,
            })
        })
    }
}

const fn classify(url: String, source: HttpError) -> ServiceError {
    if source.may_have_arrived() {
        ServiceError::Unknown { url, source }
    } else {
        ServiceError::Connect { url, source }
    }
}
