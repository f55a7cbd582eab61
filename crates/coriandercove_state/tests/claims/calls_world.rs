//! Entries, agents and the network between them, with the oracle of effects.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coriandercove_base::{NodeId, RequestId, TicketId, Time};
use coriandercove_state::claim::{Change, ChangeResult, Segment};
use coriandercove_state::once::{
    Action, Doubt, Event, ForwardId, KeyStatus, KeyedBy, OnceEntry, OnceRequest, OnceSettings,
    Outcome, Refusal, TargetAgent,
};
use coriandercove_state::store_call::{StoreCall, StoreReply};
use coriandercove_state::ticket::{
    Accept, Answer, NotRunReason, Ticket, TicketLimits, TicketReply, TicketTable,
};

use crate::calls::{AGENTS, ENTRIES, Step};
use crate::runner::{rng, tally, violation};
use crate::store::{StoreNet, duplicate, pick, remove};

/// Wall clock at the start of a run, in ms.
const WALL: u64 = 1_000_000_000;
const CALL_TIME: Duration = Duration::from_millis(1500);

/// A run of an entry: its place and how often it was restarted.
type Run = (usize, u32);

#[derive(Debug, Clone)]
enum Msg {
    Dispatch(Run, RequestId, Ticket, Duration),
    Probe(Run, RequestId, Ticket),
    Reply(Run, usize, RequestId, TicketId, TicketReply),
    Probed(Run, usize, RequestId, TicketId, TicketReply),
    Forward(Run, usize, ForwardId, Change),
    Forwarded(Run, ForwardId, ChangeResult),
}

struct Entry {
    run: u32,
    once: OnceEntry,
    paused: bool,
    cut: [bool; AGENTS + 1],
}

struct Agent {
    incarnation: u64,
    /// The incarnation that entries know, which lags behind.
    known: u64,
    table: TicketTable,
    queue: Vec<(Run, RequestId, TicketId)>,
    running: Vec<(Run, RequestId, TicketId)>,
    paused: bool,
    refuses: bool,
}

/// What the oracle knows of a request.
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

pub struct World {
    now: Time,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    net: Vec<Msg>,
    store: StoreNet,
    requests: BTreeMap<RequestId, Request>,
    claimed: BTreeSet<RequestId>,
    key_effects: BTreeMap<u8, RequestId>,
    dispatched: Vec<(Run, RequestId, Ticket)>,
    probes: Vec<(Run, RequestId, TicketId)>,
    forwards: Vec<(Run, ForwardId)>,
    /// Queries under way: the key and whether it had taken effect before.
    queries: BTreeMap<RequestId, (u8, bool)>,
}

fn agent_name(agent: usize) -> NodeId {
    format!("agent{agent}").into()
}

fn entry_name(entry: usize) -> NodeId {
    format!("entry{entry}").into()
}

fn new_entry(entry: usize, run: u32) -> Entry {
    // One shard lets all keys share writes; small segments let them be sealed.
    let settings = OnceSettings {
        shards: 1,
        segment_bytes: 700,
        linger: Duration::from_secs(3),
        ..OnceSettings::default()
    };
    Entry {
        run,
        once: OnceEntry::new(settings, rng(entry as u64 * 1000 + u64::from(run))),
        paused: false,
        cut: [false; AGENTS + 1],
    }
}

fn new_agent(agent: usize, incarnation: u64, known: u64) -> Agent {
    // Few tickets are remembered, so that eviction takes part.
    let limits = TicketLimits {
        tickets: 4,
        ..TicketLimits::default()
    };
    Agent {
        incarnation,
        known,
        table: TicketTable::new(agent_name(agent), incarnation, limits),
        queue: Vec::new(),
        running: Vec::new(),
        paused: false,
        refuses: false,
    }
}

impl World {
    pub fn new() -> Self {
        Self {
            now: Time::ZERO,
            entries: (0..ENTRIES).map(|e| new_entry(e, 0)).collect(),
            agents: (0..AGENTS).map(|a| new_agent(a, 1, 1)).collect(),
            net: Vec::new(),
            store: StoreNet::default(),
            requests: BTreeMap::new(),
            claimed: BTreeSet::new(),
            key_effects: BTreeMap::new(),
            dispatched: Vec::new(),
            probes: Vec::new(),
            forwards: Vec::new(),
            queries: BTreeMap::new(),
        }
    }

    fn wall(&self) -> u64 {
        WALL + u64::try_from(self.now.as_millis()).unwrap()
    }

    /// Wall clock of an entry; the clocks of the entries differ.
    fn entry_wall(&self, entry: usize) -> u64 {
        self.wall() + 700 * entry as u64
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Call {
                entry,
                key,
                other_body,
            } => self.call(entry, key, other_body),
            Step::Flush(n) => self.flush(n),
            Step::Deliver(i) => {
                if let Some(i) = pick(i, self.net.len()) {
                    self.deliver(i);
                }
            }
            Step::Duplicate(i) => {
                // A link carries a forwarded change at most once.
                let at = pick(i, self.net.len());
                if at.is_some_and(|i| !matches!(self.net[i], Msg::Forward(..))) {
                    duplicate(&mut self.net, i);
                }
            }
            Step::Drop(i) => remove(&mut self.net, i),
            Step::StoreArrive(i) => self.store_arrive(i),
            Step::StoreDuplicate(i) => duplicate(&mut self.store.requests, i),
            Step::StoreDrop(i) => remove(&mut self.store.requests, i),
            Step::StoreReply(i) => self.store_reply(i),
            Step::StoreTimeout(entry, i) if !self.entries[entry].paused => {
                if let Some((entry, _, op)) = self.store.time_out(entry, i) {
                    let reply = StoreReply::Lost;
                    self.event(entry, Event::Store { op, reply });
                }
            }
            Step::StoreTimeout(..) => {}
            Step::StoreDown(down) => self.store.down = down,
            Step::LinkLost(i) => self.link_lost(i),
            Step::NotSent(i) => self.not_sent(i),
            Step::ProbeTimeout(i) => self.probe_timeout(i),
            Step::ForwardTimeout(i) => self.forward_timeout(i),
            Step::Live(entry, live) if !self.entries[entry].paused => {
                let live = (0..ENTRIES).filter(|e| live >> e & 1 == 1).map(entry_name);
                let (me, live) = (entry_name(entry), live.collect());
                self.event(entry, Event::Entries { me, live });
            }
            Step::Live(..) => {}
            Step::Query(entry, key) => self.query(entry, key),
            Step::RunCall(agent, i) => self.run_call(agent, i),
            Step::EndCall { agent, i, answered } => self.end_call(agent, i, answered),
            Step::AgentRefuses(agent, on) => self.agents[agent].refuses = on,
            Step::RestartEntry(entry) => {
                self.store.forget_node(entry);
                self.entries[entry] = new_entry(entry, self.entries[entry].run + 1);
            }
            Step::RestartAgent(agent) => {
                let old = &self.agents[agent];
                self.agents[agent] = new_agent(agent, old.incarnation + 1, old.known);
            }
            Step::PauseEntry(entry, on) => self.entries[entry].paused = on,
            Step::PauseAgent(agent, on) => self.agents[agent].paused = on,
            Step::Cut(entry, to, on) => self.entries[entry].cut[to] = on,
            Step::Advance(ms) => self.advance(ms),
        }
    }

    fn call(&mut self, entry: usize, key: u8, other_body: bool) {
        if self.entries[entry].paused {
            return;
        }
        let req = self.requests.len() as RequestId + 1;
        let run = (entry, self.entries[entry].run);
        let request = Request {
            run,
            key,
            effects: 0,
            replied: false,
            refused: false,
            unclaimed: false,
        };
        self.requests.insert(req, request);
        let by = KeyedBy {
            key: key.into(),
            fingerprint: u128::from(key) * 2 + u128::from(other_body),
        };
        let request = OnceRequest {
            req,
            service: "kiln".into(),
            key: (key > 0).then_some(by),
            deadline: self.now + CALL_TIME,
        };
        self.event(entry, Event::Start(request));
    }

    fn event(&mut self, entry: usize, event: Event) {
        let (now, wall) = (self.now, self.entry_wall(entry));
        let actions = self.entries[entry].once.on_event(now, wall, event);
        let run = (entry, self.entries[entry].run);
        for action in actions {
            self.act(run, action);
        }
    }

    fn act(&mut self, run: Run, action: Action) {
        match action {
            Action::Store { op, call } => self.store.send((run.0, run.1, op), call),
            Action::ChooseTarget { req } => {
                let agent = (req as usize + self.net.len()) % AGENTS;
                let target = Some(TargetAgent {
                    node: agent_name(agent),
                    incarnation: self.agents[agent].known,
                });
                self.event(run.0, Event::Target { req, target });
            }
            Action::Dispatch { req, ticket } => {
                self.dispatched.push((run, req, ticket.clone()));
                self.net.push(Msg::Dispatch(run, req, ticket, CALL_TIME));
            }
            Action::Probe { req, ticket } => {
                self.probes.push((run, req, ticket.id));
                self.net.push(Msg::Probe(run, req, ticket));
            }
            Action::Reply { req, outcome } => self.on_outcome(req, &outcome),
            Action::Status { req, status } => self.on_status(req, &status),
            Action::Forward { to, id, change, .. } => {
                let to = (0..ENTRIES).find(|e| entry_name(*e) == to).unwrap();
                self.forwards.push((run, id));
                self.net.push(Msg::Forward(run, to, id, change));
            }
            Action::ForwardResult { to, id, result } => {
                let (at, from_run) = to.rsplit_once('/').unwrap();
                let run = (at.parse().unwrap(), from_run.parse().unwrap());
                self.net.push(Msg::Forwarded(run, id, result));
            }
        }
    }

    fn query(&mut self, entry: usize, key: u8) {
        if self.entries[entry].paused {
            return;
        }
        let req = u128::MAX - self.queries.len() as u128;
        let has_effect = self.key_effects.contains_key(&key);
        self.queries.insert(req, (key, has_effect));
        let (service, key) = ("kiln".into(), key.into());
        self.event(entry, Event::Query { req, service, key });
    }

    fn on_status(&mut self, req: RequestId, status: &KeyStatus) {
        let (key, has_effect) = self.queries[&req];
        match status {
            KeyStatus::NotFound if has_effect => violation("a key with an effect was not found"),
            KeyStatus::Done(answer) => {
                let body = answer.body.as_deref().unwrap();
                let origin = u128::from_le_bytes(body.try_into().unwrap());
                if self.key_effects.get(&key) != Some(&origin) {
                    violation("the state of a key is the answer of another call");
                }
            }
            _ => {}
        }
    }

    fn forward_timeout(&mut self, i: usize) {
        let Some(i) = pick(i, self.forwards.len()) else {
            return;
        };
        if self.entries[self.forwards[i].0.0].paused {
            return;
        }
        let (run, id) = self.forwards.remove(i);
        if self.is_current(run) {
            self.event(run.0, Event::ForwardEnded { id, result: None });
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        for agent in &mut self.agents {
            if ms > 200 {
                agent.known = agent.incarnation;
            }
        }
        for entry in 0..ENTRIES {
            if !self.entries[entry].paused {
                self.event(entry, Event::Tick);
            }
        }
    }

    fn flush(&mut self, n: usize) {
        for _ in 0..n {
            self.store_arrive(0);
            self.store_reply(0);
            if let Some(i) = (0..self.net.len()).find(|i| self.can_deliver(&self.net[*i])) {
                self.deliver(i);
            }
        }
    }

    fn is_current(&self, run: Run) -> bool {
        self.entries[run.0].run == run.1
    }

    fn can_deliver(&self, msg: &Msg) -> bool {
        let (run, agent, to_agent) = match msg {
            Msg::Dispatch(run, _, ticket, _) | Msg::Probe(run, _, ticket) => {
                (run, agent_of(ticket), true)
            }
            Msg::Reply(run, agent, ..) | Msg::Probed(run, agent, ..) => (run, *agent, false),
            Msg::Forward(_, to, ..) => return !self.entries[*to].paused,
            Msg::Forwarded(run, ..) => return !self.entries[run.0].paused,
        };
        let entry = &self.entries[run.0];
        let paused = if to_agent {
            self.agents[agent].paused
        } else {
            entry.paused
        };
        !paused && !entry.cut[agent]
    }

    fn deliver(&mut self, i: usize) {
        if !self.can_deliver(&self.net[i]) {
            return;
        }
        let (now, wall) = (self.now, self.wall());
        match self.net.remove(i) {
            Msg::Dispatch(run, req, ticket, time) => {
                let at = agent_of(&ticket);
                let agent = &mut self.agents[at];
                let accept = if agent.refuses {
                    let reason = NotRunReason::Overloaded;
                    Accept::Reply(agent.table.refuse(wall, &ticket, reason))
                } else {
                    agent.table.accept(now, wall, &ticket, now + time)
                };
                match accept {
                    Accept::Run => agent.queue.push((run, req, ticket.id)),
                    Accept::Reply(reply) => {
                        self.net.push(Msg::Reply(run, at, req, ticket.id, reply));
                    }
                }
            }
            Msg::Probe(run, req, ticket) => {
                let at = agent_of(&ticket);
                let reply = self.agents[at].table.probe(wall, &ticket);
                self.net.push(Msg::Probed(run, at, req, ticket.id, reply));
            }
            Msg::Reply(run, _, req, ticket, reply) if self.is_current(run) => {
                self.event(run.0, Event::Agent { req, ticket, reply });
            }
            Msg::Probed(run, _, req, ticket, reply) if self.is_current(run) => {
                self.probes.retain(|p| *p != (run, req, ticket));
                let reply = Some(reply);
                self.event(run.0, Event::Probed { req, ticket, reply });
            }
            Msg::Forward(run, to, id, change) => {
                let from = format!("{}/{}", run.0, run.1).into();
                let service = "kiln".into();
                let event = Event::Forwarded {
                    from,
                    id,
                    service,
                    change,
                };
                self.event(to, event);
            }
            Msg::Forwarded(run, id, result) if self.is_current(run) => {
                self.forwards.retain(|f| *f != (run, id));
                let result = Some(result);
                self.event(run.0, Event::ForwardEnded { id, result });
            }
            Msg::Reply(..) | Msg::Probed(..) | Msg::Forwarded(..) => {}
        }
    }

    fn store_arrive(&mut self, i: usize) {
        let Some(i) = pick(i, self.store.requests.len()) else {
            return;
        };
        let entry = self.store.requests[i].0.0;
        if self.entries[entry].cut[AGENTS] {
            return;
        }
        if let Some((StoreCall::PutIf { value, .. }, StoreReply::Written(_))) = self.store.arrive(i)
        {
            let segment = Segment::decode(&value).unwrap();
            self.claimed.extend(segment.claims.iter().map(|c| c.req));
            for claim in &segment.claims {
                if self.requests[&claim.req].unclaimed {
                    violation("claim written of a request refused as store_unavailable");
                }
            }
        }
    }

    fn store_reply(&mut self, i: usize) {
        let Some(i) = pick(i, self.store.replies.len()) else {
            return;
        };
        let (entry, run, _) = self.store.replies[i].0;
        let target = &self.entries[entry];
        if target.cut[AGENTS] || target.paused {
            return;
        }
        if let Some(((_, _, op), reply)) = self.store.take_reply(i)
            && self.is_current((entry, run))
        {
            self.event(entry, Event::Store { op, reply });
        }
    }

    fn link_lost(&mut self, i: usize) {
        let Some(i) = pick(i, self.dispatched.len()) else {
            return;
        };
        let (run, req, ticket) = self.dispatched.remove(i);
        let ticket = ticket.id;
        if self.is_current(run) && !self.entries[run.0].paused {
            self.event(run.0, Event::LinkLost { req, ticket });
        }
    }

    /// Takes back a dispatch that is still at its entry, as one whose connection failed.
    fn not_sent(&mut self, i: usize) {
        let Some(i) = pick(i, self.net.len()) else {
            return;
        };
        let Msg::Dispatch(run, req, ticket, _) = self.net[i].clone() else {
            return;
        };
        let id = ticket.id;
        let at = self.dispatched.iter().position(|d| d.2.id == id);
        let copies = |m: &&Msg| matches!(m, Msg::Dispatch(_, _, t, _) if t.id == id);
        let is_first = self.net.iter().filter(copies).count() == 1
            && self.agents.iter().all(|a| a.table.state(id).is_none())
            && self.requests[&req].effects == 0;
        let (Some(at), true) = (at, is_first && !self.entries[run.0].paused) else {
            return;
        };
        // Without a record of duplicates, only dispatches to a first incarnation are certain.
        if ticket.incarnation != self.agents[agent_of(&ticket)].incarnation {
            return;
        }
        self.dispatched.remove(at);
        self.net.remove(i);
        if self.is_current(run) {
            self.event(run.0, Event::NotSent { req, ticket: id });
        }
    }

    fn probe_timeout(&mut self, i: usize) {
        let Some(i) = pick(i, self.probes.len()) else {
            return;
        };
        if self.entries[self.probes[i].0.0].paused {
            return;
        }
        let (run, req, ticket) = self.probes.remove(i);
        if self.is_current(run) {
            let reply = None;
            self.event(run.0, Event::Probed { req, ticket, reply });
        }
    }

    fn run_call(&mut self, at: usize, i: usize) {
        let now = self.now;
        let agent = &mut self.agents[at];
        let Some(i) = pick(i, agent.queue.len()).filter(|_| !agent.paused) else {
            return;
        };
        let (run, req, ticket) = agent.queue.remove(i);
        match agent.table.start(now, ticket) {
            Ok(()) => {
                agent.running.push((run, req, ticket));
                self.effect(req);
            }
            Err(reply) => self.net.push(Msg::Reply(run, at, req, ticket, reply)),
        }
    }

    fn end_call(&mut self, at: usize, i: usize, answered: bool) {
        let agent = &mut self.agents[at];
        let Some(i) = pick(i, agent.running.len()).filter(|_| !agent.paused) else {
            return;
        };
        let (run, req, ticket) = agent.running.remove(i);
        let answer = answered.then(|| Answer {
            status: 200,
            body: Some(req.to_le_bytes().as_slice().into()),
        });
        let reply = agent.table.finish(ticket, answer);
        self.net.push(Msg::Reply(run, at, req, ticket, reply));
    }

    fn effect(&mut self, req: RequestId) {
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

    fn on_outcome(&mut self, req: RequestId, outcome: &Outcome) {
        tally(name_of(outcome));
        let key = self.requests[&req].key;
        if let Outcome::Answer { answer, replayed } = outcome {
            let body = answer.body.as_deref().unwrap();
            let origin = &self.requests[&u128::from_le_bytes(body.try_into().unwrap())];
            if origin.effects != 1 || origin.key != key || (!replayed && body != req.to_le_bytes())
            {
                violation("the answer belongs to another call");
            }
        }
        let request = self.requests.get_mut(&req).unwrap();
        if std::mem::replace(&mut request.replied, true) {
            violation("a caller was answered twice");
        }
        request.refused = matches!(outcome, Outcome::NotRun(_) | Outcome::KeyReused);
        request.unclaimed = *outcome == Outcome::NotRun(Refusal::StoreUnavailable);
        if request.refused && request.effects > 0 {
            violation("a request that took effect was refused");
        }
        if request.unclaimed && self.claimed.contains(&req) {
            violation("a request with a claim was refused as store_unavailable");
        }
    }

    /// Ends all failures.
    pub fn heal(&mut self) {
        self.store.down = false;
        for entry in &mut self.entries {
            entry.paused = false;
            entry.cut = [false; AGENTS + 1];
        }
        for agent in &mut self.agents {
            agent.paused = false;
            agent.refuses = false;
        }
    }

    /// Lets everything come to an end, after which every caller of a living entry must have
    /// an answer and no entry may keep a call.
    pub fn settle(&mut self) {
        for _ in 0..120 {
            self.flush(self.net.len() + self.store.requests.len() + self.store.replies.len() + 1);
            for agent in 0..AGENTS {
                self.run_call(agent, 0);
                self.end_call(agent, 0, true);
            }
            if self.store.requests.is_empty() && self.store.replies.is_empty() {
                (0..ENTRIES).for_each(|e| self.step(Step::StoreTimeout(e, 0)));
            }
            if self.net.is_empty() {
                self.probe_timeout(0);
                self.forward_timeout(0);
            }
            self.advance(100);
        }
        let runs: Vec<_> = self.entries.iter().map(|e| e.run).collect();
        let waits = |r: &&Request| !r.replied && runs[r.run.0] == r.run.1;
        if self.requests.values().any(|r| waits(&r)) {
            violation("a caller was not answered");
        }
        if self.entries.iter().any(|e| e.once.calls() > 0) {
            violation("an entry keeps an ended call");
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

fn agent_of(ticket: &Ticket) -> usize {
    (0..AGENTS)
        .find(|a| *agent_name(*a) == *ticket.node)
        .unwrap()
}
