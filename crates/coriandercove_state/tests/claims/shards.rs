//! Fuzz test of several writers of one shard while segments are sealed, deleted and created.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coriandercove_base::Time;
use coriandercove_state::claim::{
    Change, ChangeResult, Claim, ClaimState, Segment, Shard, ShardAction, ShardSettings,
};
use coriandercove_state::store_call::{StoreCall, StoreReply};
use coriandercove_state::ticket::Ticket;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::runner::{self, rng, tally, violation};
use crate::store::{CallId, StoreNet, duplicate, pick, remove};

const WRITERS: usize = 3;
const KEYS: u128 = 6;
/// Time for which claims must be kept, in ms.
const RETENTION_MS: u64 = 1_000;
/// Wall clock at the start of a case, in ms since 1970.
const WALL: u64 = 1_000_000;

/// One step of a case. Indices of messages are taken modulo their number.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    Claim {
        writer: usize,
        key: u128,
    },
    /// Records the answer of the last claim that a writer saw written.
    Record {
        writer: usize,
    },
    Arrive(usize),
    Reply(usize),
    /// The oldest requests and all answers arrive in order.
    Flush(usize),
    Duplicate(usize),
    DropRequest(usize),
    Timeout(usize, usize),
    Down(bool),
    Restart(usize),
    /// Time passes, in ms. Writers that are not paused are ticked.
    Advance(u64),
    Pause(usize, bool),
    /// The requests of a writer are held back in the network (`true`) or released.
    Hold(usize, bool),
}

struct Writer {
    run: u32,
    shard: Shard,
    calls: u64,
    paused: bool,
    /// Whether requests of the writer are held back in the network.
    held: bool,
    /// The last claim that was reported as written.
    last: Option<Claim>,
    last_write: Option<Time>,
}

/// What the oracle records about a submitted claim.
struct SubmittedClaim {
    claim: Claim,
    /// Wall clock when the claim was submitted.
    submitted_ms: u64,
    /// Wall clock when the claim was first written to the store.
    stored_ms: Option<u64>,
    /// Whether the claim was reported as written.
    confirmed: bool,
}

pub struct World {
    now: Time,
    writers: Vec<Writer>,
    store: StoreNet,
    /// All submitted claims by ticket.
    submitted: BTreeMap<u128, SubmittedClaim>,
    /// Tickets whose answer was reported as recorded.
    recorded: BTreeSet<u128>,
    /// Names of all segments that were ever created.
    created: BTreeSet<String>,
}

fn new_writer(writer: usize, run: u32) -> Writer {
    let settings = ShardSettings {
        retention: Duration::from_millis(RETENTION_MS),
        // A segment is full with two or three claims.
        segment_bytes: 260,
        ..ShardSettings::new("claims/kiln/000/".into())
    };
    Writer {
        run,
        shard: Shard::new(settings, rng(writer as u64 * 1000 + u64::from(run))),
        calls: 0,
        paused: false,
        held: false,
        last: None,
        last_write: None,
    }
}

impl World {
    fn wall(&self) -> u64 {
        WALL + u64::try_from(self.now.as_millis()).unwrap()
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Claim { writer, key } => self.claim(writer, key),
            Step::Record { writer } => self.record(writer),
            Step::Arrive(i) => self.arrive(i),
            Step::Reply(i) => self.reply(i),
            Step::Flush(n) => (0..n).for_each(|_| {
                self.arrive(0);
                (0..self.store.replies.len()).for_each(|i| self.reply(i));
            }),
            Step::Duplicate(i) => duplicate(&mut self.store.requests, i),
            Step::DropRequest(i) => remove(&mut self.store.requests, i),
            Step::Timeout(writer, i) => {
                if !self.writers[writer].paused && self.store.time_out(writer, i).is_some() {
                    self.drive(writer, |s, now| s.on_store(now, StoreReply::Lost));
                }
            }
            Step::Down(down) => self.store.down = down,
            Step::Restart(writer) => {
                self.store.forget_node(writer);
                self.writers[writer] = new_writer(writer, self.writers[writer].run + 1);
            }
            Step::Advance(ms) => {
                self.now += Duration::from_millis(ms);
                for writer in 0..WRITERS {
                    if !self.writers[writer].paused {
                        self.drive(writer, Shard::tick);
                    }
                }
            }
            Step::Pause(writer, on) => self.writers[writer].paused = on,
            Step::Hold(writer, on) => self.writers[writer].held = on,
        }
    }

    fn claim(&mut self, writer: usize, key: u128) {
        let id = self.submitted.len() as u128 + 1;
        let ticket = Ticket {
            id,
            issued_ms: self.wall(),
            node: "agent".into(),
            incarnation: 1,
        };
        let claim = Claim {
            key,
            fingerprint: key,
            req: id,
            ticket,
            state: ClaimState::Open,
            // The wall clocks of the writers differ widely, which must have no effect.
            at_ms: self.wall() * writer as u64,
        };
        let submitted = SubmittedClaim {
            submitted_ms: self.wall(),
            claim: claim.clone(),
            stored_ms: None,
            confirmed: false,
        };
        self.submitted.insert(id, submitted);
        self.drive(writer, |s, now| s.submit(now, id, Change::Claim(claim)));
    }

    fn record(&mut self, writer: usize) {
        let Some(claim) = self.writers[writer].last.take() else {
            return;
        };
        let change = Change::Record {
            key: claim.key,
            ticket: claim.ticket.id,
            state: done(claim.ticket.id),
            at_ms: 0,
        };
        let tag = claim.ticket.id << 64;
        self.drive(writer, |s, now| s.submit(now, tag, change));
    }

    fn drive(&mut self, at: usize, act: impl FnOnce(&mut Shard, Time) -> Vec<ShardAction>) {
        let actions = act(&mut self.writers[at].shard, self.now);
        for action in actions {
            match action {
                ShardAction::Store(call) => {
                    let writer = &mut self.writers[at];
                    if is_claim_write(&call) {
                        let last = writer.last_write.replace(self.now);
                        if last.is_some_and(|last| self.now < last + Duration::from_millis(100)) {
                            violation("more than ten writes a second");
                        }
                    }
                    writer.calls += 1;
                    self.store.send((at, writer.run, writer.calls), call);
                }
                ShardAction::Settled { tag, result } => self.settled(at, tag, &result),
                ShardAction::Refreshed { .. } => {}
            }
        }
    }

    fn settled(&mut self, at: usize, tag: u128, result: &ChangeResult) {
        if *result != ChangeResult::Written {
            return;
        }
        if tag >> 64 > 0 {
            tally("record");
            self.recorded.insert(tag >> 64);
            return;
        }
        let known = self.submitted.get_mut(&tag).unwrap();
        known.confirmed = true;
        tally("claim");
        let Some(stored) = known.stored_ms else {
            violation("a claim was reported as written that is not in the store");
        };
        let (claim, submitted_ms) = (known.claim.clone(), known.submitted_ms);
        self.writers[at].last = Some(claim.clone());
        let conflicting = self.submitted.values().find(|k| {
            let same = k.claim.key == claim.key && k.claim.ticket.id != tag && k.confirmed;
            let other = k.stored_ms.unwrap_or(0);
            let (first, later) = if other <= stored {
                (k.submitted_ms, stored)
            } else {
                (submitted_ms, other)
            };
            same && later <= first + RETENTION_MS
        });
        if conflicting.is_some() {
            violation("a key was claimed twice within its retention");
        }
    }

    fn arrive(&mut self, i: usize) {
        let writers = &self.writers;
        let is_free = |(id, _): &(CallId, StoreCall)| !writers[id.0].held;
        let free: Vec<_> = (0..self.store.requests.len())
            .filter(|i| is_free(&self.store.requests[*i]))
            .collect();
        let Some(i) = pick(i, free.len()).map(|i| free[i]) else {
            return;
        };
        let wall = self.wall();
        match self.store.arrive(i) {
            Some((StoreCall::Create { name, .. }, StoreReply::Written(_))) => {
                tally("create");
                if !self.created.insert(name) {
                    // A delayed request created a segment again that had been deleted.
                    tally("stray");
                }
            }
            Some((StoreCall::DeleteIf { .. }, StoreReply::Deleted)) => tally("delete"),
            Some((StoreCall::PutIf { value, .. }, StoreReply::Written(_))) => {
                let segment = Segment::decode(&value).unwrap();
                if segment.sealed {
                    tally("seal");
                }
                for claim in segment.claims {
                    let known = self.submitted.get_mut(&claim.ticket.id).unwrap();
                    known.stored_ms.get_or_insert(wall);
                }
            }
            _ => {}
        }
    }

    fn reply(&mut self, i: usize) {
        let Some(i) = pick(i, self.store.replies.len()) else {
            return;
        };
        let (at, run, _) = self.store.replies[i].0;
        if self.writers[at].paused {
            return;
        }
        if let Some((_, reply)) = self.store.take_reply(i)
            && self.writers[at].run == run
        {
            self.drive(at, |s, now| s.on_store(now, reply));
        }
    }

    /// Lets a new writer read the whole shard, and compares its claims with the oracle.
    fn check_against_oracle(&mut self) {
        self.store.requests.clear();
        self.store.replies.clear();
        self.store.down = false;
        let run = self.writers[0].run + 1;
        self.writers[0] = new_writer(0, run);
        for writer in &mut self.writers[1..] {
            writer.paused = true;
        }
        self.drive(0, |s, now| s.refresh(now).1);
        for _ in 0..200 {
            self.step(Step::Flush(1));
        }
        let wall = self.wall();
        for known in self.submitted.values() {
            let id = known.claim.ticket.id;
            if !known.confirmed || known.submitted_ms + RETENTION_MS < wall {
                continue;
            }
            match self.writers[0].shard.lookup(known.claim.key) {
                Some(claim) if claim.ticket.id != id => violation("a claim was replaced"),
                Some(claim) if self.recorded.contains(&id) && claim.state != done(id) => {
                    violation("a recorded answer was lost");
                }
                Some(_) => {}
                None => violation("a claim was lost"),
            }
        }
    }
}

fn is_claim_write(call: &StoreCall) -> bool {
    match call {
        StoreCall::PutIf { value, .. } => !Segment::decode(value).unwrap().sealed,
        _ => false,
    }
}

fn done(ticket: u128) -> ClaimState {
    ClaimState::Done {
        status: 200,
        body: Some(vec![ticket as u8]),
    }
}

pub struct Shards;

impl ReferenceStateMachine for Shards {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let writer = 0..WRITERS;
        let any = 0..32_usize;
        prop_oneof![
            20 => (writer.clone(), 1..=KEYS).prop_map(|(writer, key)| Step::Claim { writer, key }),
            6 => writer.clone().prop_map(|writer| Step::Record { writer }),
            16 => any.clone().prop_map(Step::Arrive),
            16 => any.clone().prop_map(Step::Reply),
            24 => (1..8_usize).prop_map(Step::Flush),
            4 => any.clone().prop_map(Step::Duplicate),
            2 => any.clone().prop_map(Step::DropRequest),
            4 => (writer.clone(), any).prop_map(|(w, i)| Step::Timeout(w, i)),
            2 => prop::bool::weighted(0.3).prop_map(Step::Down),
            1 => writer.clone().prop_map(Step::Restart),
            18 => (50..300_u64).prop_map(Step::Advance),
            5 => (1_000..2_500_u64).prop_map(Step::Advance),
            4 => (writer.clone(), prop::bool::weighted(0.4)).prop_map(|(w, on)| Step::Pause(w, on)),
            3 => (writer, prop::bool::weighted(0.5)).prop_map(|(w, on)| Step::Hold(w, on)),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

impl StateMachineTest for Shards {
    type SystemUnderTest = World;
    type Reference = Self;

    fn init_test((): &()) -> World {
        World {
            now: Time::ZERO,
            writers: (0..WRITERS).map(|w| new_writer(w, 0)).collect(),
            store: StoreNet::default(),
            submitted: BTreeMap::new(),
            recorded: BTreeSet::new(),
            created: BTreeSet::new(),
        }
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        runner::count_step();
        world.step(step);
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.check_against_oracle();
    }
}

/// Guards against a key that is claimed twice, and against claims or answers that are lost or
/// reappear while late writers seal, delete and create segments.
#[test]
fn shards_keep_claims() {
    let reached = ["claim", "record", "create", "seal", "delete", "stray"];
    runner::check::<Shards>("shards", 30, 600, &reached);
}
