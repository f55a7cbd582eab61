//! Sends a request for a streamed completion and evaluates its answer.

use std::time::{Duration, Instant};

use coriandercove_base::Token;
use coriandercove_target::oracle::generate;
use futures_util::StreamExt;
use serde_json::json;

use super::record::{FinishedRequest, RequestEnd};
use super::sse::{Event, EventReader, Refusal};
use crate::profile::LAYERS;

/// Maximum number of bytes read from the body of an error.
const MAX_ERROR_BYTES: usize = 1 << 20;

/// A request for a completion.
pub struct Job {
    /// Index of the account's key in the load's endpoints.
    pub account: usize,
    /// Index of the entry's URL in the load's endpoints.
    pub entry: usize,
    /// Tokens of the prompt.
    pub prompt: Vec<Token>,
    /// Number of tokens of the answer.
    pub output: u32,
}

/// HTTP client of one load thread.
pub struct Caller {
    client: awc::Client,
    epoch: Instant,
}

/// What has been read of a stream.
struct StreamProgress {
    answer: Vec<Token>,
    times: Vec<Duration>,
    end: Option<RequestEnd>,
}

impl Caller {
    /// Creates a caller without a limit on connections. Times count from `epoch`.
    pub fn new(epoch: Instant) -> Self {
        let connector = awc::Connector::new()
            .limit(0)
            .timeout(Duration::from_secs(5));
        let client = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self { client, epoch }
    }

    /// Sends a request, reads its answer to the end and compares it with the oracle.
    pub async fn complete(&self, url: &str, key: &str, job: Job) -> FinishedRequest {
        let sent = self.epoch.elapsed();
        let mut progress = StreamProgress {
            answer: Vec::new(),
            times: Vec::new(),
            end: None,
        };
        let end = self.send_and_read(url, key, &job, &mut progress).await;
        FinishedRequest {
            account: job.account,
            sent,
            ended: self.epoch.elapsed(),
            end: end.unwrap_or_else(|| compare_with_oracle(&job, &progress)),
            tokens: progress.times,
        }
    }

    /// Sends a request and reads its stream. Returns the end of the request if the comparison with
    /// the oracle is not needed for it.
    async fn send_and_read(
        &self,
        url: &str,
        key: &str,
        job: &Job,
        progress: &mut StreamProgress,
    ) -> Option<RequestEnd> {
        let body = json!({
            "model": "drafter",
            "prompt": job.prompt,
            "max_tokens": job.output,
            "stream": true,
        });
        let req = self.client.post(format!("{url}/v1/completions"));
        let Ok(mut answer) = req.bearer_auth(key).send_json(&body).await else {
            return Some(RequestEnd::Lost);
        };
        if !answer.status().is_success() {
            let Ok(body) = answer.body().limit(MAX_ERROR_BYTES).await else {
                return Some(RequestEnd::Lost);
            };
            return Some(refusal(answer.status().as_u16(), &body));
        }
        let mut reader = EventReader::default();
        while let Some(chunk) = answer.next().await {
            let Ok(chunk) = chunk else {
                return None;
            };
            let now = self.epoch.elapsed();
            for event in reader.push(&chunk) {
                progress.record(event, now);
            }
        }
        None
    }
}

impl StreamProgress {
    /// Records an event that arrived at the time `now`.
    fn record(&mut self, event: Event, now: Duration) {
        match event {
            Event::Tokens(tokens) => {
                self.times.extend(tokens.iter().map(|_| now));
                self.answer.extend(tokens);
            }
            Event::Done => self.end = Some(RequestEnd::Whole),
            Event::Refused(refused) => self.end = Some(RequestEnd::Broken(refused)),
            Event::Malformed => self.end = Some(RequestEnd::Wrong),
        }
    }
}

/// Returns the end of a request by comparing its answer with the oracle's. An answer that ended
/// early must be a prefix of the oracle's.
fn compare_with_oracle(job: &Job, progress: &StreamProgress) -> RequestEnd {
    let expected = generate(&job.prompt, LAYERS, job.output as usize);
    let answer = &progress.answer;
    match &progress.end {
        _ if !expected.starts_with(answer) => RequestEnd::Wrong,
        Some(RequestEnd::Whole) if answer.len() < expected.len() => RequestEnd::Wrong,
        Some(end) => end.clone(),
        None => RequestEnd::Cut,
    }
}

/// Returns the refusal that the body of an error describes.
fn refusal(status: u16, body: &[u8]) -> RequestEnd {
    let parsed = serde_json::from_slice::<Refusal>(body);
    RequestEnd::Refused(parsed.unwrap_or_else(|_| Refusal {
        reason: format!("status_{status}"),
        outcome: "unreadable".to_owned(),
        retry_after_ms: None,
        request_id: String::new(),
    }))
}

#[cfg(test)]
mod tests;
