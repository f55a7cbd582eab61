//! Simulated callers, which compare each response with the tokens that the oracle generates.

use std::collections::{BTreeMap, BTreeSet};

use coriandercove_base::{RequestId, Time, Token};
use coriandercove_caller::Outcome;
use coriandercove_entry::core::{CoreAction, StreamSpec};
use coriandercove_policy::RefusalReason;
use coriandercove_policy::explain::Refusal;
use coriandercove_target::oracle::generate;

use crate::nodes::{CREDIT, LAYERS};
use crate::runner::violation;

/// Number of chains that an entry tries before it aborts a stream.
const MAX_ATTEMPTS: u32 = 12;
/// Maximum number of moves that one failure can cause. More mean that a stream moves back and forth
/// between the same stages.
const MOVES_PER_FAILURE: u32 = 4;

/// One request and what its caller has received.
pub struct Caller {
    pub entry: usize,
    pub spec: StreamSpec,
    /// Tokens of the complete response, from the oracle.
    expected: Vec<Token>,
    /// Number of tokens received.
    emitted: usize,
    /// Number of tokens read.
    pub consumed: u32,
    /// Whether the caller has stopped reading.
    pub slow: bool,
    /// Number of chains that the entry has opened.
    pub attempts: u32,
    /// Number of failures in the simulation when the request was submitted.
    failures: u32,
    pub ended: bool,
}

/// All requests of a case.
#[derive(Default)]
pub struct Callers {
    pub by_req: BTreeMap<RequestId, Caller>,
    /// Requests of which an engine has run at least one position.
    pub ran: BTreeSet<RequestId>,
    /// Requests refused as not run.
    not_run: BTreeSet<RequestId>,
    /// Number of complete responses.
    pub whole: u64,
    /// Number of failures that the steps can have caused so far.
    pub failures: u32,
}

impl Callers {
    pub fn add(&mut self, entry: usize, spec: StreamSpec, slow: bool) {
        let expected = generate(&spec.prompt, LAYERS, spec.max_tokens as usize);
        let caller = Caller {
            entry,
            expected,
            emitted: 0,
            consumed: 0,
            slow,
            attempts: 0,
            failures: self.failures,
            ended: false,
            spec,
        };
        self.by_req.insert(caller.spec.req, caller);
    }

    /// Returns the requests in progress.
    pub fn open(&self) -> Vec<RequestId> {
        let open = self.by_req.iter().filter(|(_, c)| !c.ended);
        open.map(|(req, _)| *req).collect()
    }

    /// Returns the requests whose callers can read a token now.
    pub fn readable(&self) -> Vec<RequestId> {
        let readable = |c: &Caller| !c.ended && !c.slow && (c.consumed as usize) < c.emitted;
        let open = self.by_req.iter().filter(|(_, c)| readable(c));
        open.map(|(req, _)| *req).collect()
    }

    /// Records that an engine ran positions of a request.
    pub fn ran(&mut self, req: RequestId) {
        self.ran.insert(req);
        if self.not_run.contains(&req) {
            violation("P3: a request that was refused as not run runs");
        }
    }

    pub fn on_action(&mut self, now: Time, entry: usize, action: &CoreAction) {
        match action {
            CoreAction::Emit {
                req,
                tokens,
                finished,
            } => self.emit(entry, *req, tokens, *finished),
            CoreAction::Refuse {
                req,
                refusal,
                outcome,
            } => self.refuse(now, entry, *req, *outcome, refusal),
            _ => {}
        }
    }

    fn caller(&mut self, entry: usize, req: RequestId) -> &mut Caller {
        match self.by_req.get_mut(&req) {
            Some(caller) if caller.entry == entry && !caller.ended => caller,
            _ => {
                violation("P2: a response for a request that has ended or belongs to another entry")
            }
        }
    }

    fn emit(&mut self, entry: usize, req: RequestId, tokens: &[Token], finished: bool) {
        let caller = self.caller(entry, req);
        for token in tokens {
            if caller.expected.get(caller.emitted) != Some(token) {
                violation("P1, P2: a token differs from the next one of the oracle");
            }
            caller.emitted += 1;
        }
        if caller.emitted > (caller.consumed + CREDIT) as usize + 1 {
            violation("an entry passes on more tokens than the caller's credit allows");
        }
        if finished != (caller.emitted == caller.expected.len()) {
            violation("P2: a response ends before or after its last token");
        }
        if finished {
            caller.ended = true;
            self.whole += 1;
        }
    }

    fn refuse(
        &mut self,
        now: Time,
        entry: usize,
        req: RequestId,
        outcome: Outcome,
        refusal: &Refusal,
    ) {
        let ran = self.ran.contains(&req);
        let failures = self.failures;
        let caller = self.caller(entry, req);
        caller.ended = true;
        let late = now >= caller.spec.deadline
            || (caller.emitted == 0 && now >= caller.spec.first_token_deadline);
        let attempts_failed = refusal.reason == RefusalReason::AttemptsFailed;
        let failures = failures - caller.failures;
        let enough =
            caller.attempts >= MAX_ATTEMPTS && failures * MOVES_PER_FAILURE >= MAX_ATTEMPTS;
        let may_give_up = late || (attempts_failed && enough);
        let started = caller.attempts > 0;
        if started && !may_give_up {
            violation("P2, P6: a stream that has started is refused before its deadline");
        }
        if outcome == Outcome::NotRun {
            if ran || caller.emitted > 0 {
                violation("P3: a request that ran is refused as not run");
            }
            self.not_run.insert(req);
        }
    }
}
