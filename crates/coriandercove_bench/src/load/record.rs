//! Results of a load: latencies, tokens, failures and stalls.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::sse::Refusal;

/// Shortest gap between two tokens that is listed as a stall. It is well above the time between two
/// tokens of a loaded chain, and below the shortest time in which the router detects a failure.
const MIN_STALL: Duration = Duration::from_millis(150);

/// Part of a load that the figures count; times are from the start of the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// Start of the window; before it the deployment warms up.
    pub from: Duration,
    /// End of the window.
    pub to: Duration,
}

impl Window {
    /// Whether a time lies in the window.
    pub fn contains(&self, at: Duration) -> bool {
        (self.from..self.to).contains(&at)
    }

    /// Length in seconds.
    pub fn seconds(&self) -> f64 {
        (self.to - self.from).as_secs_f64()
    }
}

/// A long time between two tokens of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stall {
    /// Time of the last token before the stall, from the start of the load.
    pub from: Duration,
    /// Time until the next token.
    pub length: Duration,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// The answer is complete and right.
    Whole,
    /// The answer differs from the oracle's.
    Wrong,
    /// The stream ended early without stating a reason.
    Cut,
    /// No response, or no readable error response, arrived.
    Lost,
    /// Refused before the first token.
    Refused(Refusal),
    /// Refused after the first token.
    Broken(Refusal),
}

/// One finished request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedRequest {
    /// Index of the account in the load's endpoints.
    pub account: usize,
    /// Time at which it was sent, from the start of the load.
    pub sent: Duration,
    /// Time at which it ended, from the start of the load.
    pub ended: Duration,
    /// Times at which the tokens arrived, from the start of the load.
    pub tokens: Vec<Duration>,
    /// How the request ended.
    pub end: RequestEnd,
}

/// Results of one load.
#[derive(Debug, Clone)]
pub struct Record {
    window: Window,
    /// Time until the first token, in microseconds, of requests sent in the window.
    pub first_token: Histogram<u64>,
    /// Time between two tokens, in microseconds, of tokens in the window.
    pub gap: Histogram<u64>,
    /// Tokens that arrived in the window, by account.
    pub tokens: Vec<u64>,
    /// Tokens of complete, right answers that ended in the window.
    pub goodput: u64,
    /// As `goodput`, for answers whose first token arrived within 0.7 s.
    pub timely_goodput: u64,
    /// Requests sent in the window.
    pub sent: u64,
    /// Requests by how they ended, at any time of the load.
    pub ends: BTreeMap<&'static str, u64>,
    /// Refusals by reason and outcome, at any time of the load.
    pub refusals: BTreeMap<(String, String), u64>,
    /// Gaps between tokens of at least 150 ms, at any time of the load.
    pub stalls: Vec<Stall>,
    /// Times at which streams ended that were cut, broken or wrong, with the number of their
    /// tokens.
    pub failures: Vec<(Duration, usize)>,
}

/// Maximum number of failed streams that the figures list one by one.
const MAX_LISTED_FAILURES: usize = 20;
/// Longest time until the first token of an answer that counts as timely.
const TIMELY_FIRST_TOKEN: Duration = Duration::from_millis(700);

impl Record {
    /// Creates an empty record for a number of accounts.
    pub fn new(window: Window, accounts: usize) -> Self {
        Self {
            window,
            first_token: histogram(),
            gap: histogram(),
            tokens: vec![0; accounts],
            goodput: 0,
            timely_goodput: 0,
            sent: 0,
            ends: BTreeMap::new(),
            refusals: BTreeMap::new(),
            stalls: Vec::new(),
            failures: Vec::new(),
        }
    }

    /// Adds a finished request.
    pub fn add(&mut self, request: &FinishedRequest) {
        *self.ends.entry(request.end.as_str()).or_default() += 1;
        if let RequestEnd::Refused(refused) | RequestEnd::Broken(refused) = &request.end {
            let kind = (refused.reason.clone(), refused.outcome.clone());
            *self.refusals.entry(kind).or_default() += 1;
        }
        if matches!(
            request.end,
            RequestEnd::Cut | RequestEnd::Broken(_) | RequestEnd::Wrong
        ) {
            self.failures.push((request.ended, request.tokens.len()));
        }
        self.sent += u64::from(self.window.contains(request.sent));
        self.add_times(request);
        if request.end == RequestEnd::Whole && self.window.contains(request.ended) {
            let tokens = request.tokens.len() as u64;
            self.goodput += tokens;
            let first = request.tokens.first().map(|t| *t - request.sent);
            if first.is_some_and(|f| f <= TIMELY_FIRST_TOKEN) {
                self.timely_goodput += tokens;
            }
        }
    }

    /// Adds the latencies, stalls and tokens of a request.
    fn add_times(&mut self, request: &FinishedRequest) {
        if let Some(first) = request.tokens.first()
            && self.window.contains(request.sent)
        {
            record(&mut self.first_token, *first - request.sent);
        }
        for pair in request.tokens.windows(2) {
            let length = pair[1] - pair[0];
            if self.window.contains(pair[1]) {
                record(&mut self.gap, length);
            }
            if length >= MIN_STALL {
                self.stalls.push(Stall {
                    from: pair[0],
                    length,
                });
            }
        }
        let counted = request.tokens.iter().filter(|t| self.window.contains(**t));
        self.tokens[request.account] += counted.count() as u64;
    }

    /// Adds the results of another record of the same load.
    pub fn merge(&mut self, other: Self) {
        // Adding cannot fail, because both histograms resize themselves.
        let _ = self.first_token.add(other.first_token);
        let _ = self.gap.add(other.gap);
        for (mine, theirs) in self.tokens.iter_mut().zip(other.tokens) {
            *mine += theirs;
        }
        self.goodput += other.goodput;
        self.timely_goodput += other.timely_goodput;
        self.sent += other.sent;
        for (end, n) in other.ends {
            *self.ends.entry(end).or_default() += n;
        }
        for (kind, n) in other.refusals {
            *self.refusals.entry(kind).or_default() += n;
        }
        self.stalls.extend(other.stalls);
        self.failures.extend(other.failures);
    }

    /// Tokens/s of all accounts that arrived in the window.
    pub fn tokens_per_second(&self) -> f64 {
        self.tokens.iter().sum::<u64>() as f64 / self.window.seconds()
    }

    /// Tokens/s of complete, right answers.
    pub fn goodput_per_second(&self) -> f64 {
        self.goodput as f64 / self.window.seconds()
    }

    /// Tokens/s of complete, right answers whose first token arrived within 0.7 s.
    pub fn timely_goodput_per_second(&self) -> f64 {
        self.timely_goodput as f64 / self.window.seconds()
    }

    /// Number of requests that ended as the label `end` says.
    pub fn count(&self, end: &str) -> u64 {
        self.ends.get(end).copied().unwrap_or(0)
    }

    /// Whether no answer was wrong, cut, lost, broken or unfinished. Refusals before the first
    /// token are allowed.
    pub fn is_sound(&self) -> bool {
        ["wrong", "cut", "lost", "broken", "unfinished"]
            .iter()
            .all(|end| self.count(end) == 0)
    }

    /// The results as JSON.
    pub fn figures(&self) -> Value {
        let refusals: BTreeMap<String, u64> = self
            .refusals
            .iter()
            .map(|((reason, outcome), n)| (format!("{reason}/{outcome}"), *n))
            .collect();
        let failures: Vec<(u128, usize)> = self
            .failures
            .iter()
            .take(MAX_LISTED_FAILURES)
            .map(|(at, tokens)| (at.as_millis(), *tokens))
            .collect();
        json!({
            "tokens_per_s": round(self.tokens_per_second()),
            "goodput_per_s": round(self.goodput_per_second()),
            "timely_goodput_per_s": round(self.timely_goodput_per_second()),
            "sent": self.sent,
            "ends": self.ends,
            "refusals": refusals,
            "failed_at_ms_after_tokens": failures,
            "first_token_ms": quantiles(&self.first_token),
            "gap_ms": quantiles(&self.gap),
        })
    }
}

impl RequestEnd {
    /// Label of the end in the figures.
    const fn as_str(&self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Wrong => "wrong",
            Self::Cut => "cut",
            Self::Lost => "lost",
            Self::Refused(_) => "refused",
            Self::Broken(_) => "broken",
        }
    }
}

fn histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new(3).unwrap_or_else(|_| unreachable!("3 digits are allowed"));
    histogram.auto(true);
    histogram
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    // Recording cannot fail, because the histogram resizes itself.
    let _ = histogram.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
}

/// Returns a quantile of a histogram of microseconds in milliseconds.
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

/// Returns the count, the usual quantiles and the maximum in milliseconds.
pub fn quantiles(histogram: &Histogram<u64>) -> Value {
    json!({
        "n": histogram.len(),
        "p50": quantile_ms(histogram, 0.5),
        "p95": quantile_ms(histogram, 0.95),
        "p99": quantile_ms(histogram, 0.99),
        "max": histogram.max() as f64 / 1000.0,
    })
}

/// Rounds to three digits after the decimal point.
pub fn round(x: f64) -> f64 {
    (x * 1000.0).round() / 1000.0
}

#[cfg(test)]
mod tests;
