//! The oracle of once-calls: what took effect, and what callers were told.

use std::collections::{BTreeMap, BTreeSet};

use coriandercove_base::RequestId;
use coriandercove_state::claim::Segment;
use coriandercove_state::once::{Doubt, KeyStatus, Outcome, Refusal};
use coriandercove_state::ticket::Answer;

use crate::runner::{tally, violation};

/// A run of an entry: its place and how often it was restarted.
pub type Run = (usize, u32);

#[derive(Default)]
struct Request {
    run: Run,
    key: u8,
    effects: u32,
    replied: bool,
    /// The caller was told that the request did not run.
    refused: bool,
    /// The caller was told that there is no claim of the request.
    unclaimed: bool,
}

#[derive(Default)]
pub struct Oracle {
    requests: BTreeMap<RequestId, Request>,
    /// Requests with a claim in the store, now or earlier.
    claimed: BTreeSet<RequestId>,
    key_effects: BTreeMap<u8, RequestId>,
    /// Queries: the key, and whether it had taken effect before.
    queries: BTreeMap<RequestId, (u8, bool)>,
}

/// The body by which an answer tells its request.
pub fn answer_to(req: RequestId) -> Answer {
    Answer {
        status: 200,
        body: Some(req.to_le_bytes().as_slice().into()),
    }
}

fn origin(answer: &Answer) -> RequestId {
    let body = answer.body.as_deref().unwrap();
    RequestId::from_le_bytes(body.try_into().unwrap())
}

impl Oracle {
    pub fn request(&mut self, run: Run, key: u8) -> RequestId {
        let req = self.requests.len() as RequestId + 1;
        let request = Request {
            run,
            key,
            ..Request::default()
        };
        self.requests.insert(req, request);
        req
    }

    pub fn query(&mut self, key: u8) -> RequestId {
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
                violation("claim written of a request refused as store_unavailable");
            }
        }
    }

    pub fn on_outcome(&mut self, req: RequestId, outcome: &Outcome) {
        tally(name_of(outcome));
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
        // The entry tells the caller of an unsettled claim that the call did not run.
        request.refused = matches!(
            outcome,
            Outcome::NotRun(_) | Outcome::KeyReused | Outcome::Unknown(Doubt::ClaimUnsettled)
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

    /// Every caller whose entry did not restart must have an answer.
    pub fn at_rest(&self, is_current: impl Fn(Run) -> bool) {
        if self
            .requests
            .values()
            .any(|r| !r.replied && is_current(r.run))
        {
            violation("a caller was not answered");
        }
    }
}

fn name_of(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answer { replayed: true, .. } => "replayed answer",
        Outcome::Answer { .. } => "answer",
        Outcome::NotRun(Refusal::StoreUnavailable) => "store unavailable",
        Outcome::NotRun(_) => "not run",
        Outcome::Unknown(Doubt::ClaimUnsettled) => "claim unsettled",
        Outcome::Unknown(_) => "unknown",
        Outcome::InProgress => "in progress",
        Outcome::KeyReused => "key reused",
    }
}
