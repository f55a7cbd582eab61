//! How often parts of prompts were requested, and when marks were last answered.

use std::time::Duration;

use coriandercove_base::{SortedMap, Time};

use super::answered_requests::AnsweredRequests;
use super::evidence::ANSWER_MEMORY;
use super::mark::{Mark, is_request};

/// Maximum number of marks that are remembered; the one requested longest ago makes room.
const MAX_MARKS: usize = 4096;
/// Time constant of the frequency of requests.
const FREQUENCY_WINDOW: Duration = Duration::from_secs(60);
/// Number of requests below which no mark counts as common.
const MIN_SAMPLE: f64 = 30.0;
/// Share of the requests from which on a mark is common. Refusing it would refuse most callers,
/// which is no better than the crashes.
const COMMON_SHARE: f64 = 0.5;

/// A number of requests, each of which loses weight with [`FREQUENCY_WINDOW`].
#[derive(Debug, Clone, Copy, Default)]
struct Frequency {
    requests: f64,
    last_update: Time,
}

impl Frequency {
    fn at(self, now: Time) -> f64 {
        let age = now.saturating_sub(self.last_update);
        self.requests * (-age.as_secs_f64() / FREQUENCY_WINDOW.as_secs_f64()).exp()
    }

    fn count(&mut self, now: Time) {
        self.requests = self.at(now) + 1.0;
        self.last_update = now;
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct MarkRecord {
    frequency: Frequency,
    /// Time of the last request, or of the last report of a peer.
    last_seen: Time,
    /// Time at which an answer of this entry was last well under way.
    own_answer: Option<Time>,
    /// The same of the peers, as they report it.
    peer_answer: Option<Time>,
}

/// Requests and answers by mark.
#[derive(Debug, Default)]
pub struct MarkHistory {
    /// Parts of prompts, and what peers reported of whole requests; at most [`MAX_MARKS`].
    marks: SortedMap<Mark, MarkRecord>,
    /// All requests with a prompt.
    all: Frequency,
    requests: AnsweredRequests,
}

impl MarkHistory {
    fn record(&mut self, mark: Mark, now: Time) -> &mut MarkRecord {
        if self.marks.len() >= MAX_MARKS && !self.marks.contains(&mark) {
            let oldest = self.marks.iter().min_by_key(|(_, r)| r.last_seen);
            if let Some(oldest) = oldest.map(|(p, _)| *p) {
                self.marks.remove(&oldest);
            }
        }
        let record = self.marks.get_or_insert_with(mark, MarkRecord::default);
        record.last_seen = now;
        record
    }

    /// Counts a request with these shared parts.
    pub fn on_request(&mut self, parts: &[Mark], now: Time) {
        self.all.count(now);
        for part in parts {
            self.record(*part, now).frequency.count(now);
        }
    }

    /// Records that an answer is well under way.
    pub fn on_answer(&mut self, marks: &[Mark], now: Time) {
        for mark in marks {
            if is_request(*mark) {
                self.requests.insert(*mark, now, ANSWER_MEMORY);
            } else {
                self.record(*mark, now).own_answer = Some(now);
            }
        }
    }

    /// Records that a peer reported an answer.
    pub fn on_peer_answer(&mut self, mark: Mark, at: Time, now: Time) {
        let record = self.record(mark, now);
        record.peer_answer = record.peer_answer.max(Some(at));
    }

    /// Time of the last answer on a mark at this entry.
    #[must_use]
    pub fn own_answer(&self, mark: Mark) -> Option<Time> {
        if is_request(mark) {
            return self.requests.get(mark);
        }
        self.marks.get(&mark)?.own_answer
    }

    /// Time of the last answer on a mark at any entry.
    #[must_use]
    pub fn last_answer(&self, mark: Mark) -> Option<Time> {
        let of_peers = self.marks.get(&mark).and_then(|r| r.peer_answer);
        self.own_answer(mark).max(of_peers)
    }

    /// Number of requests with a mark lately, as this entry saw them.
    #[must_use]
    pub fn frequency(&self, mark: Mark, now: Time) -> f64 {
        self.marks.get(&mark).map_or(0.0, |r| r.frequency.at(now))
    }

    /// Whether most requests hold this mark.
    #[must_use]
    pub fn is_common(&self, mark: Mark, now: Time) -> bool {
        let all = self.all.at(now);
        all >= MIN_SAMPLE && self.frequency(mark, now) > all * COMMON_SHARE
    }
}
