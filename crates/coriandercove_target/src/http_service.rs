//! HTTP client of a plain service.

use coriandercove_base::http::{HttpCall, HttpClient, HttpError};
use futures_util::future::LocalBoxFuture;

use crate::service::{Service, ServiceAnswer, ServiceCall, ServiceError};

/// Client of one plain service over HTTP. Clones share the limits of the HTTP client.
#[derive(Clone)]
pub struct HttpService {
    client: HttpClient,
    url: String,
}

impl HttpService {
    /// Creates a client of the service at the base URL `url`, such as `http://127.0.0.1:8080`.
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
                fresh_connection: true,
            };
            let answer = client
                .call(http)
                .await
                .map_err(|e| exchange_error(url, e))?;
            Ok(ServiceAnswer {
                status: answer.status,
                headers: answer.headers,
                body: answer.body,
            })
        })
    }
}

/// Converts a failed exchange, depending on whether the call may have reached the service.
const fn exchange_error(url: String, source: HttpError) -> ServiceError {
    if source.may_have_arrived() {
        ServiceError::Unknown { url, source }
    } else {
        ServiceError::Connect { url, source }
    }
}
