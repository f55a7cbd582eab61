//! Entries and agents with the network between them.

use std::time::Duration;

use coriandercove_agent::stage::{JobOutcome, StageAction};
use coriandercove_base::rng::Rng;
use coriandercove_base::{Position, RequestId, Time};
use coriandercove_entry::core::{CoreAction, StreamSpec};
use coriandercove_peer::Frame;

use crate::callers::Callers;
use crate::net::{Item, Net, Node};
use crate::nodes::{
    AGENTS, Agent, CALL_TIMEOUT, ENTRIES, Entry, NODES, Op, RETAINED, address, config, name,
    node_of,
};
use crate::runner::{below, rng, violation};
use crate::steps::Step;

/// Longest time of a request.
pub const DEADLINE: Duration = Duration::from_secs(300);
const SHORT_DEADLINE: Duration = Duration::from_secs(2);

mod settle;

pub struct World {
    now: Time,
    rng: Rng,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    net: Net,
    callers: Callers,
    requests: u128,
    runs: u64,
    with_last: bool,
}

/// Failures that a step causes at the most.
const fn failures(step: Step) -> u32 {
    match step {
        Step::FailItems(_, n) => n,
        Step::BreakLink(..)
        | Step::Cut(..)
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

/// Something that can happen now.
enum Event {
    Arrive(Node, Node),
    Engine(usize),
    Result(usize),
    Consume(RequestId),
}

impl World {
    pub fn new() -> Self {
        Self {
            now: Time::ZERO,
            rng: rng(7),
            entries: (0..ENTRIES).map(|e| Entry::new(e, 0, false)).collect(),
            agents: (0..AGENTS).map(Agent::new).collect(),
            net: Net::default(),
            callers: Callers::default(),
            requests: 0,
            runs: 0,
            with_last: false,
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
                self.net.break_link(a, b, &mut self.rng);
            }
            Step::Cut(a, b) if a != b => self.net.cut(self.now, a, b),
            Step::BreakLink(..) | Step::Cut(..) => {}
            Step::HealCuts => self.net.heal(),
            Step::Duplicate(i) => self.net.duplicate(i),
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
        self.with_last = on;
        for e in 0..ENTRIES {
            self.entries[e].core.set_config(self.now, &config(on));
            self.flush_entry(e);
        }
    }

    fn restart_entry(&mut self, e: usize) {
        self.net.kill(e, false, &mut self.rng);
        self.runs += 1;
        self.entries[e] = Entry::new(e, self.runs, self.with_last);
        for caller in self.callers.by_req.values_mut().filter(|c| c.entry == e) {
            caller.ended = true;
        }
    }

    fn kill(&mut self, a: usize, vm: bool) {
        if !self.agents[a].alive {
            return;
        }
        self.net.kill(ENTRIES + a, vm, &mut self.rng);
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
        self.net.restarted(ENTRIES + a);
        for e in 0..ENTRIES {
            let entry = &mut self.entries[e];
            entry.told_leaving.retain(|t| *t != ENTRIES + a);
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
            violation("P6: an agent that leaves drops streams");
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

    /// Membership tells entries that are awake who leaves.
    fn tell_leaving(&mut self) {
        for a in 0..AGENTS {
            let node = ENTRIES + a;
            for e in 0..ENTRIES {
                let entry = &mut self.entries[e];
                let told = entry.told_leaving.contains(&node) || entry.frozen.is_some();
                if self.agents[a].leaving.is_some() && !told {
                    entry.told_leaving.push(node);
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

    fn time_out_calls(&mut self, a: usize) {
        let (now, agent) = (self.now, &mut self.agents[a]);
        for op in &mut agent.ops {
            if let Op::Run { job, at, given_up } = op
                && !*given_up
                && now - *at >= CALL_TIMEOUT
            {
                *given_up = true;
                let result = (job.req, job.attempt, job.position, JobOutcome::Failed);
                agent.results.push(result);
            }
        }
    }

    fn silent_since(&self, node: Node) -> Option<Time> {
        match node.checked_sub(ENTRIES) {
            Some(a) => self.agents[a].silent,
            None => self.entries[node].frozen,
        }
    }

    fn is_running(&self, node: Node) -> bool {
        match node.checked_sub(ENTRIES) {
            Some(a) => self.agents[a].is_running(),
            None => self.entries[node].frozen.is_none(),
        }
    }

    fn is_dead(&self, node: Node) -> bool {
        node >= ENTRIES && !self.agents[node - ENTRIES].alive
    }

    fn notice_silence(&mut self) {
        for node in 0..NODES {
            for peer in 0..NODES {
                let since = self.silent_since(peer);
                if node != peer
                    && self.is_running(node)
                    && self.net.is_silent(self.now, node, peer, since)
                {
                    let ends = self.net.close_silent(node, peer, &mut self.rng);
                    for _ in 0..ends {
                        self.saw_end(node, peer);
                    }
                }
            }
        }
    }

    fn saw_end(&mut self, node: Node, peer: Node) {
        let unsent = self.net.saw_end(node, peer, &mut self.rng);
        self.undelivered(node, peer, &unsent);
        self.link_down(node, peer);
    }

    fn undelivered(&mut self, node: Node, peer: Node, frames: &[Frame]) {
        let to = address(peer);
        for frame in frames {
            match node.checked_sub(ENTRIES) {
                Some(a) => self.agents[a].stages.undelivered(&to, frame),
                None => self.entries[node].core.undelivered(self.now, &to, frame),
            }
        }
        self.flush(node);
    }

    fn link_down(&mut self, node: Node, peer: Node) {
        match node.checked_sub(ENTRIES) {
            Some(a) => self.agents[a].stages.link_down(self.now, &name(peer)),
            None => self.entries[node].core.link_down(self.now, &name(peer)),
        }
        self.flush(node);
    }

    fn events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = self
            .net
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
        let hungry = self.callers.hungry().into_iter().filter(awake);
        events.extend(hungry.map(Event::Consume));
        events
    }

    /// Lets up to `n` events happen; whether something was left to happen.
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

    fn arrive(&mut self, from: Node, to: Node) {
        if self.is_dead(to) {
            let unsent = self.net.refuse(from, to);
            self.undelivered(from, to, &unsent);
            return self.link_down(from, to);
        }
        match self.net.take(from, to, &mut self.rng) {
            Some(Item::End) => self.saw_end(to, from),
            Some(Item::Frame(frame)) if to < ENTRIES => self.entry_gets(from, to, frame),
            Some(Item::Frame(frame)) => self.agent_gets(from, to - ENTRIES, frame),
            None => {}
        }
    }

    fn entry_gets(&mut self, from: Node, e: usize, frame: Frame) {
        let core = &mut self.entries[e].core;
        match frame {
            Frame::Token(token) => core.token(self.now, &address(from), &token),
            Frame::Progress(progress) => core.progress(&name(from), &progress),
            Frame::StageFailed(failure) => core.stage_failed(self.now, &failure),
            _ => violation("a frame that is not for an entry"),
        }
        self.flush_entry(e);
    }

    fn agent_gets(&mut self, from: Node, a: usize, frame: Frame) {
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
            _ => violation("a frame that is not for an agent"),
        }
        self.flush_agent(a);
    }

    fn engine_step(&mut self, a: usize) {
        let agent = &mut self.agents[a];
        let ready = agent.ready_ops();
        let i = ready[below(&mut self.rng, ready.len())];
        match agent.ops.remove(i) {
            Op::Free(req) => agent.engine.cancel(req),
            Op::Run { job, given_up, .. } => {
                let outcome = agent.engine.run(&job);
                if matches!(outcome, JobOutcome::Done { .. }) {
                    self.callers.ran(job.req);
                }
                if !given_up && agent.alive {
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

    fn flush(&mut self, node: Node) {
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
                self.net.send(self.now, e, node_of(&to), frame);
            }
        }
    }

    /// No new stage at a target of which the entry knows that it leaves.
    fn check_chain(&mut self, e: usize, open: &coriandercove_peer::OpenStage) {
        if let Some(caller) = self.callers.by_req.get_mut(&open.req) {
            caller.attempts += 1;
        }
        let told = &self.entries[e].told_leaving;
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
                    self.net.send(now, ENTRIES + a, node_of(&to), frame);
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
                        given_up: false,
                    });
                }
                StageAction::Free(req) => {
                    // Jobs that no call has taken yet are dropped, those of a call go on.
                    let drop_waiting = below(&mut self.rng, 2) == 0;
                    let waits = |op: &Op| matches!(op, Op::Run { job, .. } if job.req == req);
                    agent.ops.retain(|op| !(drop_waiting && waits(op)));
                    agent.ops.push(Op::Free(req));
                }
            }
        }
        if agent.stages.retained_bytes() > RETAINED {
            violation("an agent retains more outputs than it may");
        }
        if agent.leaving.is_some_and(|n| agent.stages.opened() != n) {
            violation("P5: an agent that leaves opens a new stage");
        }
    }
}
