//! One request for a streamed completion.

use std::time::{Duration, Instant};

use coriandercove_base::Token;
use coriandercove_target::oracle::generate;
use futures_util::StreamExt;
use serde_json::json;

use super::record::{End, Finished};
use super::sse::{Event, Reader, Refused};
use crate::profile::LAYERS;

/// Largest error body that is read.
const MAX_ERROR: usize = 1 << 20;

/// A request to send.
pub struct Job {
    /// Position of the account in the load's list.
    pub account: usize,
    /// Position of the entry in the load's list.
    pub entry: usize,
    /// The prompt.
    pub prompt: Vec<Token>,
    /// Tokens of the answer.
    pub output: u32,
}

/// Sends requests from one thread.
pub struct Caller {
    client: awc::Client,
    epoch: Instant,
}

/// A stream as far as it has been read.
struct Progress {
    answer: Vec<Token>,
    times: Vec<Duration>,
    end: Option<End>,
}

impl Caller {
    /// A caller without a limit on connections.
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

    /// Sends a request and reads its answer to the end.
    pub async fn complete(&self, url: &str, key: &str, job: Job) -> Finished {
        let sent = self.epoch.elapsed();
        let mut progress = Progress {
            answer: Vec::new(),
            times: Vec::new(),
            end: None,
        };
        let end = self.exchange(url, key, &job, &mut progress).await;
        Finished {
            account: job.account,
            sent,
            ended: self.epoch.elapsed(),
            end: end.unwrap_or_else(|| judge(&job, &progress)),
            tokens: progress.times,
        }
    }

    /// Reads the stream; returns how the request ended if that does not depend on the tokens.
    async fn exchange(
        &self,
        url: &str,
        key: &str,
        job: &Job,
        progress: &mut Progress,
    ) -> Option<End> {
        let body = json!({
            "model": "drafter",
            "prompt": job.prompt,
            "max_tokens": job.output,
            "stream": true,
        });
        let req = self.client.post(format!("{url}/v1/completions"));
        let Ok(mut answer) = req.bearer_auth(key).send_json(&body).await else {
            return Some(End::Lost);
        };
        if !answer.status().is_success() {
            let Ok(body) = answer.body().limit(MAX_ERROR).await else {
                return Some(End::Lost);
            };
            return Some(refusal(answer.status().as_u16(), &body));
        }
        let mut reader = Reader::default();
        while let Some(chunk) = answer.next().await {
            let Ok(chunk) = chunk else {
                return None;
            };
            let now = self.epoch.elapsed();
            for event in reader.push(&chunk) {
                progress.take(event, now);
            }
        }
        None
    }
}

impl Progress {
    fn take(&mut self, event: Event, now: Duration) {
        match event {
            Event::Tokens(tokens) => {
                self.times.extend(tokens.iter().map(|_| now));
                self.answer.extend(tokens);
            }
            Event::Done => self.end = Some(End::Whole),
            Event::Refused(refused) => self.end = Some(End::Broken(refused)),
            Event::Malformed => self.end = Some(End::Wrong),
        }
    }
}

/// Compares the answer with the oracle's. A cut answer must still be a prefix of it.
fn judge(job: &Job, progress: &Progress) -> End {
    let right = generate(&job.prompt, LAYERS, job.output as usize);
    let answer = &progress.answer;
    match &progress.end {
        _ if !right.starts_with(answer) => End::Wrong,
        Some(End::Whole) if answer.len() < right.len() => End::Wrong,
        Some(end) => end.clone(),
        None => End::Cut,
    }
}

fn refusal(status: u16, body: &[u8]) -> End {
    let refused = serde_json::from_slice::<Refused>(body);
    End::Refused(refused.unwrap_or_else(|_| Refused {
        reason: format!("status_{status}"),
        outcome: "unreadable".to_owned(),
        retry_after_ms: None,
        request_id: String::new(),
    }))
}

#[cfg(test)]
mod tests;
