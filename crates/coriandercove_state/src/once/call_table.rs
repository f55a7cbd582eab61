//! The at-most-once calls of one entry: settings, state and the handling of events.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::rng::{Rng, random_id};
use coriandercove_base::{RequestId, TicketId, Time, data};

use super::call::{Call, Phase};
use super::forward::Forwards;
use super::query::PendingPeek;
use super::{
    Action, Event, KeyAndFingerprint, KeyStatus, OnceRequest, Outcome, Refusal, StoreOp,
    TargetAgent,
};
use crate::claim::{Change, Claim, ClaimState, KeyHash, MAX_CLAIM_BODY, MAX_SEGMENT_BYTES, Shard};
use crate::ticket::{Answer, Ticket};

data! {
    /// Settings of a [`OnceCallTable`].
    #[derive(Eq)]
    pub struct OnceSettings {
        /// Number of shards for each service. All entries must use the same number.
        pub shards: u16,
        /// Minimum time for which claims are kept.
        pub retention: Duration,
        /// Minimum time between two writes of claims to a shard.
        pub write_gap: Duration,
        /// Most agents that are tried for one request.
        pub max_targets: u32,
        /// Time between two probes of a call whose link to the agent failed.
        pub probe_gap: Duration,
        /// Time for which a call is kept after its caller was answered without a result, to record
        /// its answer.
        pub linger: Duration,
        /// Most calls in flight, and most queries in flight; further ones are refused. Also the
        /// most forwarded changes in flight; further ones are written by this entry.
        pub max_calls: usize,
        /// Size in bytes at which a segment is sealed, at most [`MAX_SEGMENT_BYTES`].
        pub segment_bytes: usize,
    }
}

impl Default for OnceSettings {
    fn default() -> Self {
        Self {
            shards: 16,
            retention: Duration::from_secs(24 * 3600),
            write_gap: Duration::from_millis(100),
            max_targets: 3,
            probe_gap: Duration::from_millis(250),
            linger: Duration::from_secs(60),
            max_calls: 8192,
            segment_bytes: MAX_SEGMENT_BYTES,
        }
    }
}

/// Counters and gauges of a [`OnceCallTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OnceStats {
    /// Calls in flight.
    pub calls: usize,
    /// Claims in memory.
    pub claims: usize,
    /// Changes queued to be written.
    pub waiting: usize,
    /// Conditional writes that the store refused, since the start.
    pub conflicts: u64,
    /// Reads of segments that could not be decoded, since the start.
    pub malformed: u64,
}

/// Identifies a shard by service and number.
pub(super) type ShardId = (Arc<str>, u16);

/// A call or query that waits for the refresh of a shard.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub req: RequestId,
    pub shard: ShardId,
    /// Number of the refresh; see [`Shard::refresh`].
    pub number: u64,
    pub purpose: ReadPurpose,
}

/// What a [`PendingRead`] is for.
#[derive(Debug, Clone, Copy)]
pub(super) enum ReadPurpose {
    /// To find out why the ticket of a call was burned.
    Call,
    /// To answer a `GET /v1/requests/{key}`.
    Query(KeyHash),
}

/// The at-most-once calls of one entry and the shards of claims that they use.
pub struct OnceCallTable {
    pub(super) settings: OnceSettings,
    pub(super) rng: Rng,
    pub(super) now: Time,
    pub(super) wall_ms: u64,
    pub(super) calls: HashMap<RequestId, Call>,
    /// When each call must next be handled.
    pub(super) due: BTreeSet<(Time, RequestId)>,
    /// Tickets that this entry dispatched and that may be running, with their requests.
    pub(super) active_tickets: HashMap<TicketId, RequestId>,
    pub(super) shards: HashMap<ShardId, Shard>,
    /// Store calls in flight, with their shards.
    pub(super) ops: HashMap<StoreOp, ShardId>,
    pub(super) next_op: StoreOp,
    pub(super) pending_reads: Vec<PendingRead>,
    pub(super) pending_peeks: HashMap<RequestId, PendingPeek>,
    pub(super) forwards: Forwards,
    /// Actions of the event that is being handled.
    pub(super) actions: Vec<Action>,
}

impl OnceCallTable {
    /// Creates an entry without calls. `rng` must be seeded differently for each run, because it
    /// makes the ticket ids.
    #[must_use]
    pub fn new(settings: OnceSettings, rng: Rng) -> Self {
        Self {
            settings,
            rng,
            now: Time::ZERO,
            wall_ms: 0,
            calls: HashMap::new(),
            due: BTreeSet::new(),
            active_tickets: HashMap::new(),
            shards: HashMap::new(),
            ops: HashMap::new(),
            next_op: 0,
            pending_reads: Vec::new(),
            pending_peeks: HashMap::new(),
            forwards: Forwards::default(),
            actions: Vec::new(),
        }
    }

    /// Returns the number of calls in flight, including those whose caller was answered and whose
    /// end is still awaited.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns counters and gauges for metrics.
    #[must_use]
    pub fn stats(&self) -> OnceStats {
        let mut stats = OnceStats {
            calls: self.calls.len(),
            ..OnceStats::default()
        };
        for shard in self.shards.values() {
            stats.claims += shard.claim_count();
            stats.waiting += shard.queue_len();
            stats.conflicts += shard.conflict_count();
            stats.malformed += shard.malformed_count();
        }
        stats
    }

    /// Handles an event and returns the resulting actions, in order. `wall_ms` is the wall clock in
    /// ms since 1970.
    pub fn on_event(&mut self, now: Time, wall_ms: u64, event: Event) -> Vec<Action> {
        self.now = now;
        self.wall_ms = wall_ms;
        match event {
            Event::Start(request) => self.start(request),
            Event::Target { req, target } => self.on_target(req, target),
            Event::Store { op, reply } => self.on_store(op, reply),
            Event::Agent { req, ticket, reply } => self.on_agent_reply(req, ticket, reply),
            Event::NotSent { req, ticket } => self.on_not_sent(req, ticket),
            Event::LinkLost { req, ticket } => self.on_link_lost(req, ticket),
            Event::Probed { req, ticket, reply } => self.on_probed(req, ticket, reply),
            Event::Query { req, service, key } => self.on_query(req, service, key),
            Event::Peeked { req, reply } => self.on_peeked(req, reply),
            Event::Entries { me, live } => self.on_entries(me, live),
            Event::Forwarded {
                from,
                id,
                service,
                change,
            } => self.on_forwarded(from, id, service, change),
            Event::ForwardEnded { id, result } => self.on_forward_ended(id, result),
            Event::Tick => self.tick(),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns when an [`Event::Tick`] is next due. A tick every few seconds is needed in any
    /// case, to delete old segments.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let call = self.due.first().map(|(time, _)| *time);
        let shard = self.shards.values().filter_map(Shard::next_wake).min();
        call.into_iter().chain(shard).min()
    }

    fn start(&mut self, request: OnceRequest) {
        let req = request.req;
        if self.calls.len() >= self.settings.max_calls || self.calls.contains_key(&req) {
            let outcome = Outcome::NotRun(Refusal::Overloaded);
            self.actions.push(Action::Reply { req, outcome });
            return;
        }
        let key = request.key;
        self.due.insert((request.deadline, req));
        self.calls.insert(req, Call::new(request));
        let claim = key.and_then(|k| self.lookup(req, k.key));
        match claim {
            Some(claim) => self.on_existing_claim(req, claim),
            None => self.choose_target(req, None),
        }
    }

    /// Returns the claim of `key` in memory, in the shard of the call's service.
    pub(super) fn lookup(&mut self, req: RequestId, key: KeyHash) -> Option<Claim> {
        let service = self.calls.get(&req)?.request.service.clone();
        let id = self.shard_id(service, key);
        self.shard(&id).lookup(key).cloned()
    }

    /// Requests an agent for a call. `replaces` is the ticket of the claim to replace, which
    /// provably did not run. Refuses the call if its caller was answered or too many agents were
    /// tried.
    pub(super) fn choose_target(&mut self, req: RequestId, replaces: Option<TicketId>) {
        let max = self.settings.max_targets;
        let Some(call) = self.calls.get_mut(&req) else {
            return;
        };
        call.phase = Phase::Choosing { replaces };
        if call.replied || call.targets_tried >= max {
            return self.refuse(req, Refusal::NoTarget);
        }
        call.targets_tried += 1;
        self.actions.push(Action::ChooseTarget { req });
    }

    fn on_target(&mut self, req: RequestId, target: Option<TargetAgent>) {
        let Some(call) = self.calls.get(&req) else {
            return;
        };
        let Phase::Choosing { replaces } = call.phase else {
            return;
        };
        let Some(target) = target else {
            return self.refuse(req, Refusal::NoTarget);
        };
        if self.now >= call.request.deadline {
            return self.refuse(req, Refusal::Deadline);
        }
        let key = call.request.key;
        let ticket = Ticket {
            id: random_id(&mut self.rng),
            issued_ms: self.wall_ms,
            node: target.node,
            incarnation: target.incarnation,
        };
        match key {
            None => self.dispatch(req, ticket),
            Some(key) => self.submit_claim(req, key, ticket, replaces),
        }
    }

    fn submit_claim(
        &mut self,
        req: RequestId,
        hashes: KeyAndFingerprint,
        ticket: Ticket,
        replaces: Option<TicketId>,
    ) {
        let new = Claim {
            key: hashes.key,
            fingerprint: hashes.fingerprint,
            req,
            ticket: ticket.clone(),
            state: ClaimState::Open,
            at_ms: self.wall_ms,
        };
        self.set_phase(req, Phase::Claiming { ticket, replaces });
        let change = match replaces {
            None => Change::Claim(new),
            Some(old) => Change::Replace { old, new },
        };
        self.submit(req, req, change);
    }

    /// Dispatches a call. A keyed call must have a durable claim with this ticket.
    pub(super) fn dispatch(&mut self, req: RequestId, ticket: Ticket) {
        self.active_tickets.insert(ticket.id, req);
        let phase = Phase::Dispatched {
            ticket: ticket.clone(),
        };
        self.set_phase(req, phase);
        self.actions.push(Action::Dispatch { req, ticket });
    }

    pub(super) fn set_phase(&mut self, req: RequestId, phase: Phase) {
        if let Some(call) = self.calls.get_mut(&req) {
            call.phase = phase;
        }
    }

    /// Refuses a call that provably did not run. If it has a claim, records that it did not run, so
    /// that a repeat of the request can run.
    pub(super) fn refuse(&mut self, req: RequestId, refusal: Refusal) {
        let Some(call) = self.calls.get(&req) else {
            return;
        };
        let refusal = call.last_refusal.map_or(refusal, Refusal::Agent);
        if let Phase::Choosing {
            replaces: Some(ticket),
        }
        | Phase::Claiming {
            replaces: Some(ticket),
            ..
        }
        | Phase::Reading { ticket } = call.phase
        {
            self.record(req, ticket, ClaimState::NotRun);
        }
        self.reply(req, Outcome::NotRun(refusal));
        self.remove_call(req);
    }

    /// Answers the caller, unless that has been done.
    pub(super) fn reply(&mut self, req: RequestId, outcome: Outcome) {
        let Some(call) = self.calls.get_mut(&req) else {
            return;
        };
        if !std::mem::replace(&mut call.replied, true) {
            self.actions.push(Action::Reply { req, outcome });
        }
    }

    /// Removes a call.
    pub(super) fn remove_call(&mut self, req: RequestId) {
        let Some(call) = self.calls.remove(&req) else {
            return;
        };
        self.due.remove(&(call.due, req));
        if let Some(ticket) = call.phase.own_ticket() {
            self.active_tickets.remove(&ticket);
        }
    }

    /// Changes when a call must next be handled.
    pub(super) fn set_due(&mut self, req: RequestId, time: Time) {
        if let Some(call) = self.calls.get_mut(&req) {
            self.due.remove(&(call.due, req));
            call.due = time;
            self.due.insert((time, req));
        }
    }

    /// Records the state of a keyed call in its claim, unless the claim has another ticket by now.
    pub(super) fn record(&mut self, req: RequestId, ticket: TicketId, state: ClaimState) {
        let Some(key) = self.calls.get(&req).and_then(|c| c.request.key) else {
            return;
        };
        let change = Change::Record {
            key: key.key,
            ticket,
            state,
            at_ms: self.wall_ms,
        };
        self.submit(req, super::shards::BACKGROUND, change);
    }
}

/// Returns the state of a claim whose call was answered, without a body that is too large.
pub(super) fn done_state(answer: &Answer) -> ClaimState {
    let body = answer.body.as_ref().filter(|b| b.len() <= MAX_CLAIM_BODY);
    ClaimState::Done {
        status: answer.status,
        body: body.map(|b| b.to_vec()),
    }
}

/// Returns the answer that is kept in a claim.
pub(super) fn kept_answer(status: u16, body: Option<&Vec<u8>>) -> Answer {
    Answer {
        status,
        body: body.map(|b| b.as_slice().into()),
    }
}

/// Returns the status of a key that has this claim.
pub(super) fn status_of(claim: &Claim) -> KeyStatus {
    match &claim.state {
        ClaimState::Open => KeyStatus::Open,
        ClaimState::Done { status, body } => KeyStatus::Done(kept_answer(*status, body.as_ref())),
        ClaimState::Unknown => KeyStatus::Unknown,
        ClaimState::NotRun => KeyStatus::NotFound,
    }
}
