//! Single at-most-once calls from start to end, with a store whose behaviour the test chooses.

use std::time::Duration;

use coriandercove_base::Time;
use coriandercove_state::once::{
    Action, Event, KeyAndFingerprint, OnceCallTable, OnceRequest, OnceSettings, Outcome, Refusal,
    TargetAgent, UnknownOutcomeReason,
};
use coriandercove_state::store_call::{StoreCall, StoreReply};
use coriandercove_state::ticket::{Answer, NotRunReason, Ticket, TicketReply};
use googletest::prelude::*;

use crate::runner::rng;
use crate::store::MemStore;

const DEADLINE: Time = Duration::from_secs(10);

/// Behaviour of the store.
#[derive(Clone, Copy, PartialEq)]
enum StoreMode {
    Up,
    /// Calls fail without an effect.
    Down,
    /// Writes take effect, but no call gets an answer.
    NoAnswers,
}

/// An entry whose store calls are carried out at once, and what it did.
struct TestEntry {
    entry: OnceCallTable,
    store: MemStore,
    mode: StoreMode,
    now: Time,
    outcomes: Vec<Outcome>,
    dispatched: Vec<Ticket>,
    probed: Vec<Ticket>,
}

impl TestEntry {
    fn new() -> Self {
        let settings = OnceSettings {
            shards: 1,
            ..OnceSettings::default()
        };
        Self {
            entry: OnceCallTable::new(settings, rng(1)),
            store: MemStore::default(),
            mode: StoreMode::Up,
            now: Time::ZERO,
            outcomes: Vec::new(),
            dispatched: Vec::new(),
            probed: Vec::new(),
        }
    }

    fn send(&mut self, event: Event) {
        for action in self.entry.on_event(self.now, 1_000_000, event) {
            match action {
                Action::Store { op, call } => {
                    let reply = self.store_call(&call);
                    self.send(Event::Store { op, reply });
                }
                Action::ChooseTarget { req } => {
                    let target = Some(TargetAgent {
                        node: "a".into(),
                        incarnation: 1,
                    });
                    self.send(Event::Target { req, target });
                }
                Action::Dispatch { ticket, .. } => self.dispatched.push(ticket),
                Action::Probe { ticket, .. } => self.probed.push(ticket),
                Action::Reply { outcome, .. } => self.outcomes.push(outcome),
                _ => {}
            }
        }
    }

    fn store_call(&mut self, call: &StoreCall) -> StoreReply {
        match self.mode {
            StoreMode::Up => self.store.apply(call),
            StoreMode::Down => StoreReply::Unavailable,
            StoreMode::NoAnswers => {
                self.store.apply(call);
                StoreReply::Lost
            }
        }
    }

    fn call(&mut self, req: u128, key: Option<u128>, fingerprint: u128) {
        self.send(Event::Start(OnceRequest {
            req,
            service: "kiln".into(),
            key: key.map(|key| KeyAndFingerprint { key, fingerprint }),
            deadline: self.now + DEADLINE,
        }));
    }

    fn agent_reply(&mut self, req: u128, reply: TicketReply) {
        let ticket = self.dispatched.last().expect("the call was dispatched").id;
        self.send(Event::Agent { req, ticket, reply });
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.send(Event::Tick);
    }
}

fn answer() -> Answer {
    Answer {
        status: 201,
        body: Some(b"slot 4".as_slice().into()),
    }
}

fn not_run(refusal: Refusal) -> Outcome {
    Outcome::NotRun(refusal)
}

/// Guards against running a key a second time, even while the store is down, and against answering
/// a repeat with another body with the answer to the first request.
#[gtest]
fn a_repeat_gets_the_first_answer() {
    let mut s = TestEntry::new();
    s.call(1, Some(5), 1);
    s.agent_reply(1, TicketReply::Done(answer()));
    s.advance(Duration::from_millis(200));
    s.mode = StoreMode::Down;
    s.call(2, Some(5), 1);
    s.call(3, Some(5), 2);
    let first = |replayed| Outcome::Answer {
        answer: answer(),
        replayed,
    };
    let expected = [first(false), first(true), Outcome::KeyReused];
    expect_that!(s.outcomes, container_eq(expected));
    expect_that!(s.dispatched.len(), eq(1));
}

/// Guards against running a keyed call without a claim while the store is down, and against
/// refusing calls without a key, which do not need the store.
#[gtest]
fn only_keyed_calls_need_the_store() {
    let mut s = TestEntry::new();
    s.mode = StoreMode::Down;
    s.call(1, Some(5), 1);
    expect_that!(
        s.outcomes,
        container_eq([not_run(Refusal::StoreUnavailable)])
    );
    expect_that!(s.dispatched.len(), eq(0));
    s.call(2, None, 0);
    expect_that!(s.dispatched.len(), eq(1));
}

/// Guards against reporting `not_run` while a claim of the request may be in the store, and
/// against dispatching the call after its caller was told that the outcome is unknown.
#[gtest]
fn an_unsettled_claim_is_unknown_and_never_runs() {
    let mut s = TestEntry::new();
    s.call(1, Some(4), 1);
    s.agent_reply(1, TicketReply::Done(answer()));
    s.advance(Duration::from_secs(1));
    s.mode = StoreMode::NoAnswers;
    s.call(2, Some(5), 1);
    s.advance(Duration::from_millis(200));
    s.advance(DEADLINE);
    let last = s.outcomes.last().cloned();
    s.mode = StoreMode::Up;
    s.advance(Duration::from_secs(3));
    s.advance(Duration::from_secs(3));
    expect_that!(s.dispatched.len(), eq(1));
    expect_that!(
        last,
        some(eq(&Outcome::Unknown(UnknownOutcomeReason::ClaimUnsettled)))
    );
}

/// Guards against probing a ticket that this entry is about to dispatch, because the probe would
/// burn the ticket.
#[gtest]
fn a_repeat_at_the_same_entry_is_in_progress() {
    let mut s = TestEntry::new();
    s.call(1, Some(5), 1);
    s.call(2, Some(5), 1);
    expect_that!(s.outcomes, container_eq([Outcome::InProgress]));
    expect_that!(s.probed.len(), eq(0));
}

/// Guards against refusing a call that another agent can run, and against issuing a second ticket
/// without proof that the first one did not run.
#[gtest]
fn a_refused_call_gets_another_ticket() {
    let mut s = TestEntry::new();
    s.call(1, Some(5), 1);
    s.agent_reply(1, TicketReply::NotRun(NotRunReason::Leaving));
    s.advance(Duration::from_millis(200));
    expect_that!(s.dispatched.len(), eq(2));
    let ticket = s.dispatched[1].id;
    s.send(Event::LinkLost { req: 1, ticket });
    s.advance(Duration::from_secs(1));
    expect_that!(s.dispatched.len(), eq(2));
    expect_that!(s.probed.len(), eq(1));
    let reply = Some(TicketReply::Done(answer()));
    let req = 1;
    s.send(Event::Probed { req, ticket, reply });
    expect_that!(s.outcomes.len(), eq(1));
}

/// Guards against reporting a call without a key as not run when its answer was lost.
#[gtest]
fn a_lost_answer_without_a_key_is_unknown() {
    let mut s = TestEntry::new();
    s.call(1, None, 0);
    let ticket = s.dispatched[0].id;
    s.send(Event::NotSent { req: 1, ticket });
    expect_that!(s.dispatched.len(), eq(2));
    let ticket = s.dispatched[1].id;
    s.send(Event::LinkLost { req: 1, ticket });
    expect_that!(
        s.outcomes,
        container_eq([Outcome::Unknown(UnknownOutcomeReason::NoAnswer)])
    );
}

/// Guards against reporting `not_run` while the usual writer of the shard may still write the
/// claim.
#[gtest]
fn an_unanswered_forward_is_unknown() {
    let mut s = TestEntry::new();
    s.mode = StoreMode::Down;
    let live = ["b".into()].into();
    let me = "a".into();
    s.send(Event::Entries { me, live });
    s.call(1, Some(5), 1);
    expect_that!(s.outcomes.len(), eq(0));
    let result = None;
    s.send(Event::ForwardEnded { id: 0, result });
    let expected = [Outcome::Unknown(UnknownOutcomeReason::ClaimUnsettled)];
    expect_that!(s.outcomes, container_eq(expected));
}
