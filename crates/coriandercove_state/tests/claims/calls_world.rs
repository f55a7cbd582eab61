//! Simulation of entries, agents, the store and the network between them, checked by the oracle.

use std::time::Duration;

use coriandercove_base::{RequestId, TicketId, Time};
use coriandercove_state::claim::{Change, ChangeResult};
use coriandercove_state::once::{
    Action, Event, ForwardId, KeyAndFingerprint, OnceRequest, TargetAgent,
};
use coriandercove_state::store_call::{StoreCall, StoreReply};
use coriandercove_state::ticket::{Accept, NotRunReason, Ticket, TicketReply};

use crate::calls::{AGENTS, ENTRIES, Step};
use crate::calls_nodes::{Agent, Entry, agent_name, agent_of, entry_name, new_agent, new_entry};
use crate::oracle::{Oracle, Run, answer_to};
use crate::runner::violation;
use crate::store::{StoreNet, duplicate, pick, remove};

/// Wall clock at the start of a case, in ms since 1970.
const WALL: u64 = 1_000_000_000;
/// Time from the start of a call to its deadline.
const CALL_TIME: Duration = Duration::from_millis(1500);

/// A message in the network. The first field is the run of the entry that sent the request.
#[derive(Debug, Clone)]
enum Msg {
    /// The duration is the time until the deadline of the call.
    Dispatch(Run, RequestId, Ticket, Duration),
    Probe(Run, RequestId, Ticket),
    /// Reply to a dispatch. The number is the index of the agent, as in `Probed` and `Peeked`.
    Reply(Run, usize, RequestId, TicketId, TicketReply),
    Probed(Run, usize, RequestId, TicketId, TicketReply),
    Peek(Run, RequestId, Ticket),
    Peeked(Run, usize, RequestId, TicketReply),
    /// The number is the index of the entry that is to write the change.
    Forward(Run, usize, ForwardId, Change),
    Forwarded(Run, ForwardId, ChangeResult),
}

pub struct World {
    now: Time,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    net: Vec<Msg>,
    store: StoreNet,
    oracle: Oracle,
    /// Dispatches whose link may still fail.
    dispatched: Vec<(Run, RequestId, Ticket)>,
    /// Probes without a result.
    probes: Vec<(Run, RequestId, TicketId)>,
    /// Forwarded changes without a result.
    forwards: Vec<(Run, ForwardId)>,
}

impl World {
    pub fn new() -> Self {
        Self {
            now: Time::ZERO,
            entries: (0..ENTRIES).map(|e| new_entry(e, 0)).collect(),
            agents: (0..AGENTS).map(|a| new_agent(a, 1, 1)).collect(),
            net: Vec::new(),
            store: StoreNet::default(),
            oracle: Oracle::default(),
            dispatched: Vec::new(),
            probes: Vec::new(),
            forwards: Vec::new(),
        }
    }

    fn wall(&self) -> u64 {
        WALL + u64::try_from(self.now.as_millis()).unwrap()
    }

    /// Returns the wall clock of an entry. The clocks of the entries differ.
    fn entry_wall(&self, entry: usize) -> u64 {
        self.wall() + 700 * entry as u64
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Call(entry, key, other_body) => self.call(entry, key, other_body),
            Step::Flush(n) => self.flush(n),
            Step::Deliver(i) => {
                if let Some(i) = pick(i, self.net.len()) {
                    self.deliver(i);
                }
            }
            Step::Duplicate(i) => {
                // A link delivers a forwarded change at most once.
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
            Step::EndCall(agent, i, answered) => self.end_call(agent, i, answered),
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
        let req = self
            .oracle
            .new_request((entry, self.entries[entry].run), key);
        let by = KeyAndFingerprint {
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
            Action::Peek { req, ticket } => self.net.push(Msg::Peek(run, req, ticket)),
            Action::Reply { req, outcome } => self.oracle.on_outcome(req, &outcome),
            Action::Status { req, status } => self.oracle.on_status(req, &status),
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
        let req = self.oracle.new_query(key);
        let (service, key) = ("kiln".into(), key.into());
        self.event(entry, Event::Query { req, service, key });
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
            Msg::Dispatch(run, _, ticket, _)
            | Msg::Probe(run, _, ticket)
            | Msg::Peek(run, _, ticket) => (run, agent_of(ticket), true),
            Msg::Reply(run, agent, ..)
            | Msg::Probed(run, agent, ..)
            | Msg::Peeked(run, agent, ..) => (run, *agent, false),
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
            Msg::Peek(run, req, ticket) => {
                let at = agent_of(&ticket);
                let reply = self.agents[at].table.peek(wall, &ticket);
                self.net.push(Msg::Peeked(run, at, req, reply));
            }
            Msg::Peeked(run, _, req, reply) if self.is_current(run) => {
                let reply = Some(reply);
                self.event(run.0, Event::Peeked { req, reply });
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
            Msg::Reply(..) | Msg::Probed(..) | Msg::Peeked(..) | Msg::Forwarded(..) => {}
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
            self.oracle.on_segment(&value);
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

    /// Lets a dispatch that has not left its entry fail, for example because no connection was
    /// made.
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
            && !self.oracle.has_effect(req);
        let (Some(at), true) = (at, is_first && !self.entries[run.0].paused) else {
            return;
        };
        // Duplicates are not recorded. If the agent has restarted since, a copy of the dispatch may
        // have reached its earlier incarnation.
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
                self.oracle.on_effect(req);
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
        let answer = answered.then(|| answer_to(req));
        let reply = agent.table.finish(ticket, answer);
        self.net.push(Msg::Reply(run, at, req, ticket, reply));
    }

    /// Ends all outages, cuts, pauses and refusals.
    pub fn end_failures(&mut self) {
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

    /// Runs all calls to their end. Then every caller whose entry did not restart must have an
    /// answer, and no entry may keep a call.
    pub fn run_to_end(&mut self) {
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
        self.oracle.check_all_answered(|run| self.is_current(run));
        if self.entries.iter().any(|e| e.once.calls() > 0) {
            violation("an entry keeps a call after all calls ended");
        }
    }
}
