//! The simulation: entries, agents, engines and callers with the network between them.

use std::time::Duration;

use coriandercove_agent::stage::{JobOutcome, StageAction};
use coriandercove_base::rng::Rng;
use coriandercove_base::{Position, RequestId, Time};
use coriandercove_entry::core::{CoreAction, StreamSpec};
use coriandercove_peer::Frame;

use crate::callers::Callers;
use crate::network::{Item, Network, NodeIndex};
use crate::nodes::{
    AGENTS, Agent, CALL_TIMEOUT, ENTRIES, Entry, MAX_RETAINED_BYTES, NODES, Op, address, config,
    name, node_of,
};
use crate::runner::{below, rng, violation};
use crate::steps::Step;

/// Deadline of a request from its submission.
pub const DEADLINE: Duration = Duration::from_secs(300);
/// Deadline of a request that may run out of time.
const SHORT_DEADLINE: Duration = Duration::from_secs(2);

mod settle;

/// The system under test. Time advances only by steps, and the order of events is random.
pub struct Simulation {
    now: Time,
    rng: Rng,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    network: Network,
    callers: Callers,
    /// Number of requests submitted; also the id of the last one.
    requests: u128,
    /// Number of restarts of entries, which seeds the next one.
    runs: u64,
    /// Whether the target of the last agent is configured.
    with_last_target: bool,
}

/// Returns the maximum number of failures that a step causes.
const fn failures(step: Step) -> u32 {
    match step {
        Step::FailItems(_, n) => n,
        Step::BreakLink(..)
        | Step::Partition(..)
        | Step::Duplicate(_)
        | Step::Kill(..)
        | Step::Restart(..)
        | Step::Freeze(_)
        | Step::FreezeEntry(_)
        | Step::FreezeEngine(_)
        | Step::LoseState(_)
        | Step::LoseAnswer(_)
        | Step::Leave(_)
        | Step::Evict(_) => 1,
        _ => 0,
    }
}

/// An event that can happen now.
enum Event {
    /// The next frame or connection end arrives at the second node from the first.
    Arrive(NodeIndex, NodeIndex),
    /// The engine of an agent runs an operation.
    Engine(usize),
    /// An agent gets a result of its engine.
    Result(usize),
    /// A caller reads a token.
    Consume(RequestId),
}

impl Simulation {
    pub fn new() -> Self {
        Self {
            now: Time::ZERO,
            rng: rng(7),
            entries: (0..ENTRIES).map(|e| Entry::new(e, 0, false)).collect(),
            agents: (0..AGENTS).map(Agent::new).collect(),
            network: Network::default(),
            callers: Callers::default(),
            requests: 0,
            runs: 0,
            with_last_target: false,
        }
    }

    pub fn step(&mut self, step: Step) {
        self.callers.failures += failures(step);
        match step {
            Step::Submit {
                entry,
                prompt,
                max_tokens,
                slow,
                short,
            } => self.submit(entry, prompt, max_tokens, slow, short),
            Step::Run { seed, events } => {
                self.rng = rng(seed);
                self.run_events(events);
            }
            Step::Advance(ms) => self.advance(Duration::from_millis(ms)),
            Step::BreakLink(a, b) if a != b => {
                self.network.break_link(a, b, &mut self.rng);
            }
            Step::Partition(a, b) if a != b => self.network.partition(self.now, a, b),
            Step::BreakLink(..) | Step::Partition(..) => {}
            Step::HealPartitions => self.network.heal(),
            Step::Duplicate(i) => self.network.duplicate(i),
            Step::CallerGone(i) => self.caller_gone(i),
            Step::CallerSlow(i, slow) => {
                let open = self.callers.open();
                if let Some(req) = open.get(i % open.len().max(1)) {
                    self.callers.by_req.get_mut(req).unwrap().slow = slow;
                }
            }
            Step::FreezeEntry(e) => {
                self.entries[e].frozen.get_or_insert(self.now);
            }
            Step::WakeEntry(e) => self.entries[e].frozen = None,
            Step::RestartEntry(e) => self.restart_entry(e),
            Step::Join(on) => self.join(on),
            step => self.agent_step(step),
        }
    }

    fn agent_step(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Kill(a, vm) => self.kill(a, vm),
            Step::Restart(a, vm) => self.restart(a, vm),
            Step::Freeze(a) if self.agents[a].alive => {
                self.agents[a].frozen = true;
                self.agents[a].silent.get_or_insert(now);
            }
            Step::Wake(a) if self.agents[a].alive => {
                self.agents[a].frozen = false;
                self.agents[a].silent = None;
            }
            Step::FreezeEngine(a) => self.agents[a].engine.frozen = true,
            Step::WakeEngine(a) => self.agents[a].engine.frozen = false,
            Step::LoseState(a) => self.agents[a].engine.lose_state(),
            Step::FailItems(a, n) => self.agents[a].engine.failing += n,
            Step::LoseAnswer(a) => {
                if let Some(result) = self.agents[a].results.first_mut() {
                    result.3 = JobOutcome::Failed;
                }
            }
            Step::Leave(a) => self.leave(a),
            Step::Evict(i) => self.evict(i),
            _ => {}
        }
    }

    fn submit(&mut self, entry: usize, prompt: usize, max_tokens: u32, slow: bool, short: bool) {
        if self.entries[entry].frozen.is_some() {
            return;
        }
        self.requests += 1;
        let deadline = self.now + if short { SHORT_DEADLINE } else { DEADLINE };
        let spec = StreamSpec {
            req: self.requests,
            account: if prompt < 6 { "small" } else { "large" }.into(),
            model: "m".into(),
            prompt: (0..prompt as u32)
                .map(|i| i + 1 + 100 * self.requests as u32)
                .collect(),
            max_tokens,
            priority: 4,
            deadline,
            first_token_deadline: deadline,
        };
        self.callers.add(entry, spec.clone(), slow);
        self.entries[entry].core.submit(self.now, spec);
        self.flush_entry(entry);
    }

    fn caller_gone(&mut self, i: usize) {
        let open = self.callers.open();
        let Some(req) = open.get(i % open.len().max(1)).copied() else {
            return;
        };
        let entry = self.callers.by_req[&req].entry;
        if self.entries[entry].frozen.is_none() {
            self.callers.by_req.get_mut(&req).unwrap().ended = true;
            self.entries[entry].core.cancel(self.now, req);
            self.flush_entry(entry);
        }
    }

    fn join(&mut self, on: bool) {
        self.with_last_target = on;
        for e in 0..ENTRIES {
            self.entries[e].core.set_config(self.now, &config(on));
            self.flush_entry(e);
        }
    }

    fn restart_entry(&mut self, e: usize) {
        self.network.kill(e, false, &mut self.rng);
        self.runs += 1;
        self.entries[e] = Entry::new(e, self.runs, self.with_last_target);
        for caller in self.callers.by_req.values_mut().filter(|c| c.entry == e) {
            caller.ended = true;
        }
    }

    fn kill(&mut self, a: usize, vm: bool) {
        if !self.agents[a].alive {
            return;
        }
        self.network.kill(ENTRIES + a, vm, &mut self.rng);
        let agent = &mut self.agents[a];
        agent.alive = false;
        agent.results.clear();
        if vm {
            agent.silent.get_or_insert(self.now);
        } else {
            agent.silent = None;
        }
    }

    fn restart(&mut self, a: usize, new_vm: bool) {
        self.kill(a, new_vm);
        self.agents[a].restart(a, new_vm);
        self.network.restarted(ENTRIES + a);
        for e in 0..ENTRIES {
            let entry = &mut self.entries[e];
            entry.known_leaving.retain(|t| *t != ENTRIES + a);
            entry.core.member_up(self.now, &name(ENTRIES + a));
        }
    }

    fn leave(&mut self, a: usize) {
        let agent = &mut self.agents[a];
        if !agent.is_running() || agent.leaving.is_some() {
            return;
        }
        let streams = agent.stages.len();
        agent.stages.leave();
        if agent.stages.len() != streams {
            violation("P6: an agent drops streams when it begins to leave");
        }
        agent.leaving = Some(agent.stages.opened());
        self.flush_agent(a);
    }

    fn evict(&mut self, i: usize) {
        let leaves = |a: &usize| self.agents[*a].leaving.is_some() && self.agents[*a].is_running();
        let leaving: Vec<usize> = (0..AGENTS).filter(leaves).collect();
        if let Some(a) = leaving.get(i % leaving.len().max(1)).copied() {
            self.agents[a].stages.evict();
            self.flush_agent(a);
        }
    }

    /// Tells the running entries which targets are leaving, as membership does.
    fn tell_leaving(&mut self) {
        for a in 0..AGENTS {
            let node = ENTRIES + a;
            for e in 0..ENTRIES {
                let entry = &mut self.entries[e];
                let told = entry.known_leaving.contains(&node) || entry.frozen.is_some();
                if self.agents[a].leaving.is_some() && !told {
                    entry.known_leaving.push(node);
                    entry.core.member_leaving(self.now, &name(node));
                }
            }
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.notice_silence();
        self.tell_leaving();
        for a in 0..AGENTS {
            self.time_out_calls(a);
            if self.agents[a].is_running() {
                self.agents[a].stages.tick(self.now);
                self.flush_agent(a);
            }
        }
        for e in 0..ENTRIES {
            if self.entries[e].frozen.is_none() {
                self.entries[e].core.tick(self.now);
                self.flush_entry(e);
            }
        }
    }

    /// Fails the calls to an engine that have timed out; the engine may still run them.
    fn time_out_calls(&mut self, a: usize) {
        let (now, agent) = (self.now, &mut self.agents[a]);
        for op in &mut agent.ops {
            if let Op::Run { job, at, abandoned } = op
                && !*abandoned
                && now - *at >= CALL_TIMEOUT
            {
                *abandoned = true;
                let result = (job.req, job.attempt, job.position, JobOutcome::Failed);
                agent.results.push(result);
            }
        }
    }

    fn silent_since(&self, node: NodeIndex) -> Option<Time> {
        match node.checked_sub(ENTRIES) {
            Some(a) => self.agents[a].silent,
            None => self.entries[node].frozen,
        }
    }

    fn is_running(&self, node: NodeIndex) -> bool {
        match node.checked_sub(ENTRIES) {
            Some(a) => self.agents[a].is_running(),
            None => self.entries[node].frozen.is_none(),
        }
    }

    fn is_dead(&self, node: NodeIndex) -> bool {
        node >= ENTRIES && !self.agents[node - ENTRIES].alive
    }

    /// Closes connections to peers that have been silent for too long.
    fn notice_silence(&mut self) {
        for node in 0..NODES {
            for peer in 0..NODES {
                let since = self.silent_since(peer);
                if node != peer
                    && self.is_running(node)
                    && self.network.is_silent(self.now, node, peer, since)
                {
                    let ends = self.network.close_silent(node, peer, &mut self.rng);
                    for _ in 0..ends {
                        self.on_connection_end(node, peer);
                    }
                }
            }
        }
    }

    /// Handles at `node` that a connection to `peer` has ended.
    fn on_connection_end(&mut self, node: NodeIndex, peer: NodeIndex) {
        let unsent = self.network.on_connection_end(node, peer, &mut self.rng);
        self.undelivered(node, peer, &unsent);
        self.link_down(node, peer);
    }

    fn undelivered(&mut self, node: NodeIndex, peer: NodeIndex, frames: &[Frame]) {
        let to = address(peer);
        for frame in frames {
            match node.checked_sub(ENTRIES) {
                Some(a) => self.agents[a].stages.undelivered(&to, frame),
                None => self.entries[node].core.undelivered(self.now, &to, frame),
            }
        }
        self.flush(node);
    }

    fn link_down(&mut self, node: NodeIndex, peer: NodeIndex) {
        match node.checked_sub(ENTRIES) {
            Some(a) => self.agents[a].stages.link_down(self.now, &name(peer)),
            None => self.entries[node].core.link_down(self.now, &name(peer)),
        }
        self.flush(node);
    }

    /// Returns all events that can happen now.
    fn events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = self
            .network
            .ready()
            .filter(|(from, to)| {
                self.is_running(*to) || (self.is_dead(*to) && self.is_running(*from))
            })
            .map(|(from, to)| Event::Arrive(from, to))
            .collect();
        for (a, agent) in self.agents.iter().enumerate() {
            let vm_gone = !agent.alive && agent.silent.is_some();
            if !agent.ops.is_empty() && !agent.engine.frozen && !vm_gone {
                events.push(Event::Engine(a));
            }
            if !agent.results.is_empty() && agent.is_running() {
                events.push(Event::Result(a));
            }
        }
        let awake = |req: &RequestId| {
            self.entries[self.callers.by_req[req].entry]
                .frozen
                .is_none()
        };
        let readable = self.callers.readable().into_iter().filter(awake);
        events.extend(readable.map(Event::Consume));
        events
    }

    /// Runs up to `n` events in random order; returns false if none was left before that.
    fn run_events(&mut self, n: usize) -> bool {
        for _ in 0..n {
            let mut events = self.events();
            if events.is_empty() {
                return false;
            }
            let event = events.swap_remove(below(&mut self.rng, events.len()));
            match event {
                Event::Arrive(from, to) => self.arrive(from, to),
                Event::Engine(a) => self.engine_step(a),
                Event::Result(a) => self.result(a),
                Event::Consume(req) => self.consume(req),
            }
        }
        true
    }

    fn arrive(&mut self, from: NodeIndex, to: NodeIndex) {
        if self.is_dead(to) {
            let unsent = self.network.refuse(from, to);
            self.undelivered(from, to, &unsent);
            return self.link_down(from, to);
        }
        match self.network.take(from, to, &mut self.rng) {
            Some(Item::End) => self.on_connection_end(to, from),
            Some(Item::Frame(frame)) if to < ENTRIES => self.entry_gets(from, to, frame),
            Some(Item::Frame(frame)) => self.agent_gets(from, to - ENTRIES, frame),
            None => {}
        }
    }

    fn entry_gets(&mut self, from: NodeIndex, e: usize, frame: Frame) {
        let core = &mut self.entries[e].core;
        match frame {
            Frame::Token(token) => core.on_token(self.now, &address(from), &token),
            Frame::Progress(progress) => core.on_progress(&name(from), &progress),
            Frame::StageFailed(failure) => core.stage_failed(self.now, &failure),
            _ => violation("an entry receives a frame that only agents handle"),
        }
        self.flush_entry(e);
    }

    fn agent_gets(&mut self, from: NodeIndex, a: usize, frame: Frame) {
        let now = self.now;
        let stages = &mut self.agents[a].stages;
        match frame {
            Frame::OpenStage(open) => stages.open(now, *open),
            Frame::Feed(feed) => stages.feed(&feed),
            Frame::Activation(activation) => stages.activation(activation),
            Frame::Credit {
                req,
                attempt,
                up_to,
            } => stages.credit(req, attempt, up_to),
            Frame::CancelStage { req, attempt } => stages.cancel(now, req, attempt),
            Frame::AskProgress { req, attempt } => {
                stages.ask_progress(address(from), req, attempt);
            }
            _ => violation("an agent receives a frame that only entries handle"),
        }
        self.flush_agent(a);
    }

    fn engine_step(&mut self, a: usize) {
        let agent = &mut self.agents[a];
        let ready = agent.ready_ops();
        let i = ready[below(&mut self.rng, ready.len())];
        match agent.ops.remove(i) {
            Op::Free(req) => agent.engine.cancel(req),
            Op::Run { job, abandoned, .. } => {
                let outcome = agent.engine.run(&job);
                if matches!(outcome, JobOutcome::Done { .. }) {
                    self.callers.ran(job.req);
                }
                if !abandoned && agent.alive {
                    let result = (job.req, job.attempt, job.position, outcome);
                    agent.results.push(result);
                }
            }
        }
    }

    fn result(&mut self, a: usize) {
        let agent = &mut self.agents[a];
        let i = below(&mut self.rng, agent.results.len());
        let (req, attempt, position, outcome) = agent.results.remove(i);
        agent.stages.job_done(req, attempt, position, outcome);
        self.flush_agent(a);
    }

    fn consume(&mut self, req: RequestId) {
        let caller = self.callers.by_req.get_mut(&req).unwrap();
        caller.consumed += 1;
        let (entry, consumed) = (caller.entry, caller.consumed);
        self.entries[entry].core.consumed(req, consumed);
        self.flush_entry(entry);
    }

    fn flush(&mut self, node: NodeIndex) {
        match node.checked_sub(ENTRIES) {
            Some(a) => self.flush_agent(a),
            None => self.flush_entry(node),
        }
    }

    fn flush_entry(&mut self, e: usize) {
        for action in self.entries[e].core.take_actions() {
            self.callers.on_action(self.now, e, &action);
            if let CoreAction::Send(to, frame) = action {
                if let Frame::OpenStage(open) = &frame {
                    self.check_chain(e, open);
                }
                self.network.send(self.now, e, node_of(&to), frame);
            }
        }
    }

    /// Checks that a chain has no new stage at a target that the entry was told is leaving.
    fn check_chain(&mut self, e: usize, open: &coriandercove_peer::OpenStage) {
        if let Some(caller) = self.callers.by_req.get_mut(&open.req) {
            caller.attempts += 1;
        }
        let told = &self.entries[e].known_leaving;
        let new = open.chain.iter().filter(|hop| hop.held == 0);
        if new
            .into_iter()
            .any(|hop| told.contains(&node_of(&hop.agent)))
        {
            violation("P5: an entry gives a leaving target new work");
        }
    }

    fn flush_agent(&mut self, a: usize) {
        let now = self.now;
        let agent = &mut self.agents[a];
        agent.stages.take_dropped();
        for action in agent.stages.take_actions() {
            match action {
                StageAction::Send(to, frame) => {
                    self.network.send(now, ENTRIES + a, node_of(&to), frame);
                }
                StageAction::Run(job) => {
                    let end = job.position + job.inputs.len() as Position;
                    let next = agent.next.insert((job.req, job.attempt), end);
                    if next.is_some_and(|next| next != job.position) {
                        violation("P1: a stage skips or repeats a position within an attempt");
                    }
                    agent.ops.push(Op::Run {
                        job,
                        at: now,
                        abandoned: false,
                    });
                }
                StageAction::Free(req) => {
                    // Jobs still queued in the agent are dropped; jobs already sent to the engine
                    // stay. The simulation does not distinguish them, so it chooses at random.
                    let drop_waiting = below(&mut self.rng, 2) == 0;
                    let waits = |op: &Op| matches!(op, Op::Run { job, .. } if job.req == req);
                    agent.ops.retain(|op| !(drop_waiting && waits(op)));
                    agent.ops.push(Op::Free(req));
                }
            }
        }
        if agent.stages.retained_bytes() > MAX_RETAINED_BYTES {
            violation("an agent retains more bytes of outputs than its limit");
        }
        if agent.leaving.is_some_and(|n| agent.stages.opened() != n) {
            violation("P5: an agent that leaves opens a new stage");
        }
    }
}
