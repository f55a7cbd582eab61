//! Single once-calls from start to end, with a store that answers as told.

use std::time::Duration;

use coriandercove_base::Time;
use coriandercove_state::once::{
    Action, Doubt, Event, KeyedBy, OnceEntry, OnceRequest, OnceSettings, Outcome, Refusal,
    TargetAgent,
};
use coriandercove_state::store_call::{StoreCall, StoreReply};
use coriandercove_state::ticket::{Answer, NotRunReason, Ticket, TicketReply};
use googletest::prelude::*;

use crate::runner::rng;
use crate::store::MemStore;

const DEADLINE: Time = Duration::from_secs(10);

#[derive(Clone, Copy, PartialEq)]
enum Mode {
    Up,
    Down,
    /// Writes take effect, but no call gets an answer.
    Mute,
}

/// An entry whose store calls are carried out at once.
struct Site {
    entry: OnceEntry,
    store: MemStore,
    mode: Mode,
    now: Time,
    outcomes: Vec<Outcome>,
    dispatched: Vec<Ticket>,
    probed: Vec<Ticket>,
}

impl Site {
    fn new() -> Self {
        let settings = OnceSettings {
            shards: 1,
            ..OnceSettings::default()
        };
        Self {
            entry: OnceEntry::new(settings, rng(1)),
            store: MemStore::default(),
            mode: Mode::Up,
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
                    let reply = self.serve(&call);
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

    fn serve(&mut self, call: &StoreCall) -> StoreReply {
        match self.mode {
            Mode::Up => self.store.apply(call),
            Mode::Down => StoreReply::Unavailable,
            Mode::Mute => {
                self.store.apply(call);
                StoreReply::Lost
            }
        }
    }

    fn call(&mut self, req: u128, key: Option<u128>, fingerprint: u128) {
        self.send(Event::Start(OnceRequest {
            req,
            service: "kiln".into(),
            key: key.map(|key| KeyedBy { key, fingerprint }),
            deadline: self.now + DEADLINE,
        }));
    }

    fn agent(&mut self, req: u128, reply: TicketReply) {
        let ticket = self.dispatched.last().expect("a dispatch").id;
        self.send(Event::Agent { req, ticket, reply });
    }

    fn pass(&mut self, time: Duration) {
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

/// Guards against a second run of a key, also while the store is down, and against a repeat
/// with another body that gets the first one's answer.
#[gtest]
fn a_repeat_gets_the_first_answer() {
    let mut s = Site::new();
    s.call(1, Some(5), 1);
    s.agent(1, TicketReply::Done(answer()));
    s.pass(Duration::from_millis(200));
    s.mode = Mode::Down;
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
/// refusing calls without a key, which need no store.
#[gtest]
fn only_keyed_calls_need_the_store() {
    let mut s = Site::new();
    s.mode = Mode::Down;
    s.call(1, Some(5), 1);
    expect_that!(
        s.outcomes,
        container_eq([not_run(Refusal::StoreUnavailable)])
    );
    expect_that!(s.dispatched.len(), eq(0));
    s.call(2, None, 0);
    expect_that!(s.dispatched.len(), eq(1));
}

/// Guards against `not_run` while a claim of the request may be in the store, and against
/// dispatching after the caller was told that the outcome is not known.
#[gtest]
fn an_unsettled_claim_is_unknown_and_never_runs() {
    let mut s = Site::new();
    s.call(1, Some(4), 1);
    s.agent(1, TicketReply::Done(answer()));
    s.pass(Duration::from_secs(1));
    s.mode = Mode::Mute;
    s.call(2, Some(5), 1);
    s.pass(Duration::from_millis(200));
    s.pass(DEADLINE);
    let last = s.outcomes.last().cloned();
    s.mode = Mode::Up;
    s.pass(Duration::from_secs(3));
    s.pass(Duration::from_secs(3));
    expect_that!(s.dispatched.len(), eq(1));
    expect_that!(last, some(eq(&Outcome::Unknown(Doubt::ClaimUnsettled))));
}

/// Guards against a probe of a ticket that this entry is about to dispatch, which would burn it.
#[gtest]
fn a_repeat_at_the_same_entry_is_in_progress() {
    let mut s = Site::new();
    s.call(1, Some(5), 1);
    s.call(2, Some(5), 1);
    expect_that!(s.outcomes, container_eq([Outcome::InProgress]));
    expect_that!(s.probed.len(), eq(0));
}

/// Guards against giving up on a call that another agent can run, and against a second ticket
/// without proof that the first one did not run.
#[gtest]
fn a_refused_call_moves_to_another_ticket() {
    let mut s = Site::new();
    s.call(1, Some(5), 1);
    s.agent(1, TicketReply::NotRun(NotRunReason::Leaving));
    s.pass(Duration::from_millis(200));
    expect_that!(s.dispatched.len(), eq(2));
    let ticket = s.dispatched[1].id;
    s.send(Event::LinkLost { req: 1, ticket });
    s.pass(Duration::from_secs(1));
    expect_that!(s.dispatched.len(), eq(2));
    expect_that!(s.probed.len(), eq(1));
    let reply = Some(TicketReply::Done(answer()));
    let req = 1;
    s.send(Event::Probed { req, ticket, reply });
    expect_that!(s.outcomes.len(), eq(1));
}

/// Guards against a lost answer of a call without a key that is reported as not run.
#[gtest]
fn a_lost_answer_without_a_key_is_unknown() {
    let mut s = Site::new();
    s.call(1, None, 0);
    let ticket = s.dispatched[0].id;
    s.send(Event::NotSent { req: 1, ticket });
    expect_that!(s.dispatched.len(), eq(2));
    let ticket = s.dispatched[1].id;
    s.send(Event::LinkLost { req: 1, ticket });
    expect_that!(
        s.outcomes,
        container_eq([Outcome::Unknown(Doubt::NoAnswer)])
    );
}

/// Guards against `not_run` while the usual writer of the shard may still write the claim.
#[gtest]
fn an_unanswered_forward_is_unknown() {
    let mut s = Site::new();
    s.mode = Mode::Down;
    let live = ["b".into()].into();
    let me = "a".into();
    s.send(Event::Entries { me, live });
    s.call(1, Some(5), 1);
    expect_that!(s.outcomes.len(), eq(0));
    let result = None;
    s.send(Event::ForwardEnded { id: 0, result });
    let expected = [Outcome::Unknown(Doubt::ClaimUnsettled)];
    expect_that!(s.outcomes, container_eq(expected));
}
