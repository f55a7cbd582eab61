//! The oracle of at-most-once calls: compares the effects of calls with the outcomes that callers
//! got.

use std::collections::{BTreeMap, BTreeSet};

use coriandercove_base::RequestId;
use coriandercove_state::claim::Segment;
use coriandercove_state::once::{KeyStatus, Outcome, Refusal, UnknownOutcomeReason};
use coriandercove_state::ticket::Answer;

use crate::runner::{tally, violation};

/// A run of an entry: index of the entry and number of its restarts.
pub type Run = (usize, u32);

#[derive(Default)]
struct Request {
    run: Run,
    /// Zero for a call without a key.
    key: u8,
    /// How often the service ran the call.
    effects: u32,
    replied: bool,
    /// Whether the caller was told that the request did not run.
    refused: bool,
    /// Whether the caller was told that no claim of the request was written.
    unclaimed: bool,
}

#[derive(Default)]
pub struct Oracle {
    requests: BTreeMap<RequestId, Request>,
    /// Requests with a claim in the store, now or earlier.
    claimed: BTreeSet<RequestId>,
    /// The request that took effect for each key.
    key_effects: BTreeMap<u8, RequestId>,
    /// Queries: the key, and whether a call with it had taken effect before the query.
    queries: BTreeMap<RequestId, (u8, bool)>,
}

/// Returns an answer whose body is the id of its request.
pub fn answer_to(req: RequestId) -> Answer {
    Answer {
        status: 200,
        body: Some(req.to_le_bytes().as_slice().into()),
    }
}

/// Returns the request that an answer belongs to.
fn origin(answer: &Answer) -> RequestId {
    let body = answer.body.as_deref().unwrap();
    RequestId::from_le_bytes(body.try_into().unwrap())
}

impl Oracle {
    pub fn new_request(&mut self, run: Run, key: u8) -> RequestId {
        let req = self.requests.len() as RequestId + 1;
        let request = Request {
            run,
            key,
            ..Request::default()
        };
        self.requests.insert(req, request);
        req
    }

    pub fn new_query(&mut self, key: u8) -> RequestId {
        let req = RequestId::MAX - self.queries.len() as RequestId;
        let has_effect = self.key_effects.contains_key(&key);
        self.queries.insert(req, (key, has_effect));
        req
    }

    pub fn has_effect(&self, req: RequestId) -> bool {
        self.requests[&req].effects > 0
    }

    pub fn on_effect(&mut self, req: RequestId) {
        tally("effect");
        let request = self.requests.get_mut(&req).unwrap();
        request.effects += 1;
        if request.effects > 1 {
            violation("a request took effect twice");
        }
        if request.refused {
            violation("a refused request took effect");
        }
        if request.key > 0 && self.key_effects.insert(request.key, req).is_some() {
            violation("a key took effect twice");
        }
    }

    pub fn on_segment(&mut self, value: &[u8]) {
        for claim in Segment::decode(value).unwrap().claims {
            self.claimed.insert(claim.req);
            if self.requests[&claim.req].unclaimed {
                violation("a claim was written of a request that was refused as store_unavailable");
            }
        }
    }

    pub fn on_outcome(&mut self, req: RequestId, outcome: &Outcome) {
        tally(outcome_name(outcome));
        if let Outcome::Answer { answer, replayed } = outcome {
            let origin = origin(answer);
            let is_same_key = self.requests[&origin].key == self.requests[&req].key;
            if !self.has_effect(origin) || !is_same_key || (!replayed && origin != req) {
                violation("the answer belongs to another call");
            }
        }
        let request = self.requests.get_mut(&req).unwrap();
        if std::mem::replace(&mut request.replied, true) {
            violation("a caller was answered twice");
        }
        // An unsettled claim also tells the caller that the call did not run.
        request.refused = matches!(
            outcome,
            Outcome::NotRun(_)
                | Outcome::KeyReused
                | Outcome::Unknown(UnknownOutcomeReason::ClaimUnsettled)
        );
        request.unclaimed = *outcome == Outcome::NotRun(Refusal::StoreUnavailable);
        if request.refused && request.effects > 0 {
            violation("a request that took effect was refused");
        }
        if request.unclaimed && self.claimed.contains(&req) {
            violation("a request with a claim was refused as store_unavailable");
        }
    }

    pub fn on_status(&mut self, req: RequestId, status: &KeyStatus) {
        if matches!(status, KeyStatus::Done(_)) {
            tally("state of a key");
        }
        let (key, has_effect) = self.queries[&req];
        match status {
            KeyStatus::NotFound if has_effect => violation("a key with an effect was not found"),
            KeyStatus::Done(answer) if self.key_effects.get(&key) != Some(&origin(answer)) => {
                violation("the state of a key is the answer of another call");
            }
            _ => {}
        }
    }

    /// Checks at the end of a case that every caller whose entry did not restart has an answer.
    pub fn check_all_answered(&self, is_current: impl Fn(Run) -> bool) {
        if self
            .requests
            .values()
            .any(|r| !r.replied && is_current(r.run))
        {
            violation("a caller was not answered");
        }
    }
}

fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answer { replayed: true, .. } => "replayed answer",
        Outcome::Answer { .. } => "answer",
        Outcome::NotRun(Refusal::StoreUnavailable) => "store unavailable",
        Outcome::NotRun(_) => "not run",
        Outcome::Unknown(UnknownOutcomeReason::ClaimUnsettled) => "claim unsettled",
        Outcome::Unknown(_) => "unknown",
        Outcome::InProgress => "in progress",
        Outcome::KeyReused => "key reused",
    }
}
