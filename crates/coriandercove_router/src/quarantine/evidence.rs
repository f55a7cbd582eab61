//! Finds the mark of the requests that explains why targets end.

use std::time::Duration;

use coriandercove_base::{SortedMap, Time};

use super::history::MarkHistory;
use super::mark::{Mark, is_request};

/// Identifies one incarnation of a target; equal in all entries.
pub type IncarnationKey = u64;
/// Identifies one request of a caller.
pub type RequestKey = u64;
/// Identifies the entry that saw a crash.
pub type ObserverKey = u64;

/// Number of targets that must have ended under a mark. The users' rule counts from the fifth
/// crash; the difference is left for crashes that no entry could relate to a request.
const MIN_TARGETS: usize = 3;
/// Number of requests with the mark that must be among them. A sound request that is moved along
/// with a crashing one meets the same crashes, but alone.
const MIN_REQUESTS: usize = 2;
/// Number of crashes that must have followed one another. Targets that are lost together end under
/// requests that were all sent before the loss.
const MIN_CHAIN: usize = 2;
/// Uncertainty of the order of what two entries saw, from the time that a datagram takes.
const ORDER_TOLERANCE: Duration = Duration::from_millis(300);
/// Time before a crash in which an answer on a mark shows that the mark was not its cause.
pub const ANSWER_MEMORY: Duration = Duration::from_secs(30);

/// An attempt that had just begun when its target ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedAttempt {
    /// The target that ended.
    pub target: IncarnationKey,
    /// The request.
    pub request: RequestKey,
    /// The entry that sent it.
    pub observer: ObserverKey,
    /// Its marks: the shared parts of the prompt in order, then the request as a whole.
    pub marks: Vec<Mark>,
    /// Time at which it was sent.
    pub sent_at: Time,
    /// Time at which the sender saw the target end; not before `sent_at`.
    pub ended_at: Time,
}

/// The mark that explains a series of crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Culprit {
    /// The mark.
    pub mark: Mark,
    /// Targets that ended under it, sorted.
    pub targets: Vec<IncarnationKey>,
    /// Number of requests with the mark among them.
    pub requests: usize,
}

/// A mark with the crashes that count against it.
#[derive(Debug)]
struct Suspect {
    mark: Mark,
    /// Position of the mark in the prompts; later marks are more specific.
    depth: usize,
    /// Sorted, without duplicates.
    targets: Vec<IncarnationKey>,
    /// Sorted, without duplicates.
    requests: Vec<RequestKey>,
    /// Number of crashes that followed one another.
    chain: usize,
    /// Number of requests with the mark lately.
    frequency: f64,
}

impl Suspect {
    fn is_conclusive(&self) -> bool {
        self.targets.len() >= MIN_TARGETS
            && self.requests.len() >= MIN_REQUESTS
            && self.chain >= MIN_CHAIN
    }

    /// Whether the requests of this mark are some of the other's requests and explain most of its
    /// crashes, so that the other mark may merely accompany this one.
    fn refines(&self, other: &Self) -> bool {
        let shared = count_shared(&self.targets, &other.targets);
        let is_rarer = self.frequency < other.frequency
            || (self.frequency <= other.frequency && self.depth > other.depth);
        // Each request has a mark of its own, which refines another only if the request came again.
        let is_repeated = !is_request(self.mark) || self.requests.len() >= MIN_REQUESTS;
        self.mark != other.mark
            && is_repeated
            && shared * 2 >= other.targets.len()
            && count_shared(&self.requests, &other.requests) == self.requests.len()
            && is_rarer
    }
}

/// Number of values that two sorted lists share.
fn count_shared(a: &[u64], b: &[u64]) -> usize {
    a.iter().filter(|x| b.binary_search(x).is_ok()).count()
}

fn sorted(values: impl Iterator<Item = u64>) -> Vec<u64> {
    let mut values: Vec<u64> = values.collect();
    values.sort_unstable();
    values.dedup();
    values
}

/// Number of crashes that followed one another: of each, a request was sent only after the one
/// before had been seen.
fn chain_length(attempts: &[&CrashedAttempt]) -> usize {
    let mut by_end = attempts.to_vec();
    by_end.sort_by_key(|a| a.ended_at);
    let mut last: Option<&CrashedAttempt> = None;
    let mut length = 0;
    for attempt in by_end {
        let follows = last.is_none_or(|l| {
            let tolerance = if l.observer == attempt.observer {
                Duration::ZERO
            } else {
                ORDER_TOLERANCE
            };
            attempt.sent_at >= l.ended_at + tolerance
        });
        if follows {
            length += 1;
            last = Some(attempt);
        }
    }
    length
}

fn suspects(attempts: &[CrashedAttempt], history: &MarkHistory, now: Time) -> Vec<Suspect> {
    let mut by_mark: SortedMap<Mark, (usize, Vec<&CrashedAttempt>)> = SortedMap::default();
    for attempt in attempts {
        for (depth, mark) in attempt.marks.iter().enumerate() {
            let was_answered = history
                .last_answer(*mark)
                .is_some_and(|at| at + ANSWER_MEMORY > attempt.ended_at);
            if was_answered {
                continue;
            }
            let (deepest, of_mark) = by_mark.get_or_insert_with(*mark, || (depth, Vec::new()));
            *deepest = depth.max(*deepest);
            of_mark.push(attempt);
        }
    }
    let suspects = by_mark.iter().map(|(mark, (depth, of_mark))| Suspect {
        mark: *mark,
        depth: *depth,
        targets: sorted(of_mark.iter().map(|a| a.target)),
        requests: sorted(of_mark.iter().map(|a| a.request)),
        chain: chain_length(of_mark),
        frequency: history.frequency(*mark, now),
    });
    suspects.collect()
}

/// Finds the mark that explains the crashes, if the evidence is conclusive: targets ended one after
/// the other, each under a request with the mark that had just begun, and no request with the mark
/// was answered meanwhile or shortly before.
///
/// No mark is named for targets that are lost together, nor one that most prompts hold, nor one
/// whose crashes are explained by a more specific mark.
#[must_use]
pub fn find_culprit(
    attempts: &[CrashedAttempt],
    history: &MarkHistory,
    now: Time,
) -> Option<Culprit> {
    let suspects = suspects(attempts, history, now);
    let is_refined = |s: &Suspect| suspects.iter().any(|other| other.refines(s));
    let conclusive = suspects
        .iter()
        .filter(|s| s.is_conclusive() && !history.is_common(s.mark, now) && !is_refined(s));
    let strongest = conclusive.max_by(|a, b| {
        let rarity = b.frequency.total_cmp(&a.frequency);
        a.targets.len().cmp(&b.targets.len()).then(rarity)
    })?;
    Some(Culprit {
        mark: strongest.mark,
        targets: strongest.targets.clone(),
        requests: strongest.requests.len(),
    })
}
