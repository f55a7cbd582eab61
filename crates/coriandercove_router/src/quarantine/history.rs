//! How often parts of prompts were requested, and when they were last answered.

use std::time::Duration;

use coriandercove_base::{SortedMap, Time};

use crate::protocol::PromptPart;

/// Maximum number of parts that are remembered; the one requested longest ago makes room.
const MAX_PARTS: usize = 4096;
/// Time constant of the frequency of requests.
const FREQUENCY_WINDOW: Duration = Duration::from_secs(60);
/// Number of requests below which no part counts as common.
const MIN_SAMPLE: f64 = 30.0;
/// Share of the requests from which on a part is common. Refusing it would refuse most callers,
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
struct PartRecord {
    frequency: Frequency,
    /// Time of the last request, or of the last report of a peer.
    last_seen: Time,
    /// Time at which an answer of this entry was last well under way.
    own_answer: Option<Time>,
    /// The same of the peers, as they report it.
    peer_answer: Option<Time>,
}

/// Requests and answers by part of the prompt.
#[derive(Debug, Default)]
pub struct PartHistory {
    /// At most [`MAX_PARTS`].
    parts: SortedMap<PromptPart, PartRecord>,
    all: Frequency,
}

impl PartHistory {
    fn record(&mut self, part: PromptPart, now: Time) -> &mut PartRecord {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains(&part) {
            let oldest = self.parts.iter().min_by_key(|(_, r)| r.last_seen);
            if let Some(oldest) = oldest.map(|(p, _)| *p) {
                self.parts.remove(&oldest);
            }
        }
        let record = self.parts.get_or_insert_with(part, PartRecord::default);
        record.last_seen = now;
        record
    }

    /// Counts a request.
    pub fn on_request(&mut self, parts: &[PromptPart], now: Time) {
        self.all.count(now);
        for part in parts {
            self.record(*part, now).frequency.count(now);
        }
    }

    /// Records that an answer is well under way.
    pub fn on_answer(&mut self, parts: &[PromptPart], now: Time) {
        for part in parts {
            self.record(*part, now).own_answer = Some(now);
        }
    }

    /// Records that a peer reported an answer.
    pub fn on_peer_answer(&mut self, part: PromptPart, at: Time, now: Time) {
        let record = self.record(part, now);
        record.peer_answer = record.peer_answer.max(Some(at));
    }

    /// Time of the last answer on a part at this entry.
    #[must_use]
    pub fn own_answer(&self, part: PromptPart) -> Option<Time> {
        self.parts.get(&part)?.own_answer
    }

    /// Time of the last answer on a part at any entry.
    #[must_use]
    pub fn last_answer(&self, part: PromptPart) -> Option<Time> {
        let record = self.parts.get(&part)?;
        record.own_answer.max(record.peer_answer)
    }

    /// Number of requests with a part lately, as this entry saw them.
    #[must_use]
    pub fn frequency(&self, part: PromptPart, now: Time) -> f64 {
        self.parts.get(&part).map_or(0.0, |r| r.frequency.at(now))
    }

    /// Whether most requests hold this part.
    #[must_use]
    pub fn is_common(&self, part: PromptPart, now: Time) -> bool {
        let all = self.all.at(now);
        all >= MIN_SAMPLE && self.frequency(part, now) > all * COMMON_SHARE
    }
}
