//! The state of one stage of one stream: order of positions, credit, and outputs kept for replay.

use std::collections::VecDeque;

use coriandercove_base::{Attempt, NodeId, Position, RequestId, Time, Token};
use coriandercove_peer::{Activation, Feed, Frame, Hop, OpenStage, StageFailureReason, TokenFrame};
use coriandercove_target::oracle::END_OF_SEQUENCE;

use super::fault::{self, Fault};
use super::{DropReason, Job, StageAction};

/// One stage of one stream.
pub struct Stream {
    /// Time at which the stage is freed if no cancellation has arrived.
    pub expires: Time,
    /// Time at which the link to the entry closed; `None` again after the next credit or progress
    /// query of the entry.
    pub entry_down_since: Option<Time>,
    open: OpenStage,
    /// Number of the stream in the order in which this agent opened streams.
    serial: u64,
    prefill_chunk: usize,
    /// Next position that is accepted as input. Each earlier one has been accepted exactly once.
    next_in: Position,
    /// Next position whose output is due from the engine; at most `next_in`.
    next_out: Position,
    /// Next position whose output is sent to the next stage.
    next_sent: Position,
    /// Jobs with accepted inputs in order of position. The first one stays here while the engine
    /// runs it.
    queue: VecDeque<Job>,
    /// Whether the engine has a job of this attempt. Only one runs at a time, which keeps positions
    /// in order.
    running: bool,
    /// Positions below this one may run. It limits only the head.
    credit_limit: Position,
    /// Outputs of positions `0..retained.len()`, kept for the replay to a rebuilt next stage;
    /// `None` in the last stage, and once they were dropped for lack of memory.
    retained: Option<Vec<u64>>,
}

impl Stream {
    /// Creates a stage that has processed no position.
    pub fn new(open: OpenStage, serial: u64, prefill_chunk: usize) -> Self {
        let is_last = usize::from(open.stage) + 1 == open.chain.len();
        Self {
            expires: Time::MAX,
            entry_down_since: None,
            serial,
            prefill_chunk: prefill_chunk.max(1),
            next_in: 0,
            next_out: 0,
            next_sent: 0,
            queue: VecDeque::new(),
            running: false,
            credit_limit: 0,
            retained: (!is_last).then(Vec::new),
            open,
        }
    }

    /// Whether the stage begins with the same layer in a later attempt.
    pub fn has_same_first_layer(&self, open: &OpenStage) -> bool {
        self.hop().first_layer == open.chain[usize::from(open.stage)].first_layer
    }

    /// Returns the stage of a later attempt, with the state of the positions that the attempt
    /// expects it to hold; with no state if it expects none. Fails with `StateLost` if the layers
    /// differ or fewer positions have been processed.
    pub fn reopened(mut self, open: OpenStage) -> Result<Self, StageFailureReason> {
        let hop = &open.chain[usize::from(open.stage)];
        let old = self.hop();
        let same_layers = (old.first_layer, old.end_layer) == (hop.first_layer, hop.end_layer);
        if hop.held == 0 {
            return Ok(Self::new(open, self.serial, self.prefill_chunk));
        }
        if !same_layers || self.next_out < hop.held {
            return Err(StageFailureReason::StateLost);
        }
        let held = hop.held;
        if let Some(retained) = &mut self.retained {
            retained.truncate(held as usize);
        }
        self.next_in = held;
        self.next_out = held;
        self.queue.clear();
        self.running = false;
        self.credit_limit = 0;
        self.entry_down_since = None;
        self.open = open;
        Ok(self)
    }

    /// Opens the next stage, if there is one, and replays the retained outputs that it lacks.
    pub fn open_next_stage(
        &mut self,
        actions: &mut Vec<StageAction>,
    ) -> Result<(), StageFailureReason> {
        let Some(next) = self.next_hop().cloned() else {
            return Ok(());
        };
        let open = OpenStage {
            stage: self.open.stage + 1,
            ..self.open.clone()
        };
        actions.push(StageAction::Send(
            next.agent.clone(),
            Frame::OpenStage(Box::new(open)),
        ));
        self.next_sent = next.held;
        if next.held < self.next_out {
            let mut outputs = self.replay(next.held)?;
            if fault::is_on(Fault::ReplayOutOfOrder) {
                outputs.reverse();
            }
            self.send_next(next.held, &outputs, false, actions);
        }
        Ok(())
    }

    /// Returns the retained outputs from position `from` on.
    fn replay(&self, from: Position) -> Result<Vec<u64>, StageFailureReason> {
        let retained = self
            .retained
            .as_ref()
            .ok_or(StageFailureReason::ReplayUnavailable)?;
        let range = from as usize..self.next_out as usize;
        retained
            .get(range)
            .map(<[u64]>::to_vec)
            .ok_or(StageFailureReason::ReplayUnavailable)
    }

    /// Accepts the tokens of the prompt, and those already generated if the stream has moved, at
    /// the head.
    pub fn feed(&mut self, feed: &Feed, actions: &mut Vec<StageAction>) -> Result<(), DropReason> {
        if self.open.stage != 0 {
            return Err(DropReason::WrongLayer);
        }
        self.check_position(feed.position)?;
        let chunks = feed.tokens.chunks(self.prefill_chunk);
        let last = chunks.len().saturating_sub(1);
        for (i, chunk) in chunks.enumerate() {
            let inputs = chunk.iter().map(|t| u64::from(*t)).collect();
            self.enqueue(inputs, i == last);
        }
        self.run_next(actions);
        Ok(())
    }

    /// Accepts the outputs of the previous stage, or at the head the sampled token.
    pub fn activation(
        &mut self,
        activation: Activation,
        actions: &mut Vec<StageAction>,
    ) -> Result<(), DropReason> {
        if activation.next_layer != self.hop().first_layer {
            return Err(DropReason::WrongLayer);
        }
        self.check_position(activation.position)?;
        if !activation.items.is_empty() {
            self.enqueue(activation.items, activation.sample);
            self.run_next(actions);
        }
        Ok(())
    }

    /// Grants credit: positions below `up_to` may run.
    pub fn credit(&mut self, up_to: Position, actions: &mut Vec<StageAction>) {
        self.credit_limit = self.credit_limit.max(up_to);
        self.run_next(actions);
    }

    /// Handles the outputs of the job at `position`: sends them on and starts the next job. Fails
    /// with `Engine` if they do not match the running job.
    pub fn on_job_done(
        &mut self,
        position: Position,
        outputs: &[u64],
        token: Option<Token>,
        actions: &mut Vec<StageAction>,
    ) -> Result<(), StageFailureReason> {
        let Some(job) = self
            .queue
            .pop_front()
            .filter(|job| self.running && job.position == position)
        else {
            return Err(StageFailureReason::Engine);
        };
        let expects_token = job.sample && self.is_last();
        if outputs.len() != job.inputs.len() || token.is_some() != expects_token {
            return Err(StageFailureReason::Engine);
        }
        self.running = false;
        self.next_out = position + outputs.len() as Position;
        if let Some(retained) = &mut self.retained
            && retained.len() == position as usize
        {
            retained.extend_from_slice(outputs);
        }
        match token {
            Some(token) => self.send_token(token, actions),
            None => self.send_next(position, outputs, job.sample, actions),
        }
        self.run_next(actions);
        Ok(())
    }

    /// Sends a sampled token to the entry and, unless it is the last token of the stream, to the
    /// head.
    fn send_token(&mut self, token: Token, actions: &mut Vec<StageAction>) {
        let position = self.next_out;
        let finished = token == END_OF_SEQUENCE || position + 1 >= self.open.end_position;
        let OpenStage { req, attempt, .. } = self.open;
        let frame = Frame::Token(TokenFrame {
            req,
            attempt,
            position,
            token,
            finished,
        });
        actions.push(StageAction::Send(self.open.entry.clone(), frame));
        if finished {
            return;
        }
        let items = vec![u64::from(token)];
        let step = Activation {
            req,
            attempt,
            position,
            next_layer: 0,
            items,
            sample: true,
        };
        if self.open.stage == 0 {
            // The chain has a single stage. Its positions are consecutive, so nothing is dropped.
            let _ = self.activation(step, actions);
        } else {
            let head = self.open.chain[0].agent.clone();
            actions.push(StageAction::Send(head, Frame::Activation(step)));
        }
    }

    /// Sends the outputs from `position` on to the next stage, without those that it already has.
    fn send_next(
        &mut self,
        position: Position,
        outputs: &[u64],
        sample: bool,
        actions: &mut Vec<StageAction>,
    ) {
        let Some(next) = self.next_hop() else { return };
        let skip = self.next_sent.saturating_sub(position) as usize;
        let Some(items) = outputs.get(skip..).filter(|items| !items.is_empty()) else {
            return;
        };
        let activation = Activation {
            req: self.open.req,
            attempt: self.open.attempt,
            position: position + skip as Position,
            next_layer: next.first_layer,
            items: items.to_vec(),
            sample,
        };
        let to = next.agent.clone();
        self.next_sent = position + outputs.len() as Position;
        actions.push(StageAction::Send(to, Frame::Activation(activation)));
    }

    /// Accepts only the next position, so that each one is run exactly once and in order.
    fn check_position(&mut self, position: Position) -> Result<(), DropReason> {
        if fault::is_on(Fault::SkipGaps) {
            self.next_in = self.next_in.max(position);
        }
        if position < self.next_in && !fault::is_on(Fault::RunDuplicates) {
            Err(DropReason::Duplicate)
        } else if position > self.next_in {
            Err(DropReason::Gap)
        } else {
            Ok(())
        }
    }

    /// Queues inputs as the job of the next positions.
    fn enqueue(&mut self, inputs: Vec<u64>, sample: bool) {
        let position = self.next_in;
        self.next_in += inputs.len() as Position;
        self.queue.push_back(Job {
            req: self.open.req,
            attempt: self.open.attempt,
            position,
            first_layer: self.hop().first_layer,
            inputs,
            priority: self.open.priority,
            // Earlier stages pass the flag on with their outputs; only the last stage samples.
            sample,
        });
    }

    /// Starts the first queued job if none is running and the credit allows it.
    fn run_next(&mut self, actions: &mut Vec<StageAction>) {
        if self.running {
            return;
        }
        let limit = if self.open.stage == 0 && !fault::is_on(Fault::IgnoreCredit) {
            self.credit_limit
        } else {
            Position::MAX
        };
        self.split_front(limit);
        let Some(job) = self.queue.front().filter(|job| job.position < limit) else {
            return;
        };
        let job = Job {
            sample: job.sample && self.is_last(),
            ..job.clone()
        };
        self.running = true;
        actions.push(StageAction::Run(job));
    }

    /// Splits the first job at `limit`, the credit limit. The tokens that a moved stream has
    /// already generated may reach beyond it, because the caller has not consumed all of them; they
    /// need credit as any other position does.
    fn split_front(&mut self, limit: Position) {
        let Some(job) = self.queue.front_mut() else {
            return;
        };
        let below = limit.saturating_sub(job.position) as usize;
        if below == 0 || below >= job.inputs.len() {
            return;
        }
        let rest = Job {
            position: limit,
            inputs: job.inputs.split_off(below),
            ..job.clone()
        };
        job.sample = false;
        self.queue.insert(1, rest);
    }

    /// Drops the retained outputs and returns the number of bytes freed.
    pub fn drop_retained(&mut self) -> usize {
        let bytes = self.retained_bytes();
        self.retained = None;
        bytes
    }

    pub fn retained_bytes(&self) -> usize {
        self.retained
            .as_ref()
            .map_or(0, |r| r.len() * size_of::<u64>())
    }

    pub const fn req(&self) -> RequestId {
        self.open.req
    }

    pub const fn attempt(&self) -> Attempt {
        self.open.attempt
    }

    pub const fn open(&self) -> &OpenStage {
        &self.open
    }

    /// Number of the stream in the order in which this agent opened streams.
    pub const fn serial(&self) -> u64 {
        self.serial
    }

    /// Index of the stage that receives outputs or sampled tokens of this one, if it runs at
    /// `node`.
    pub fn sends_to(&self, node: &NodeId) -> Option<u16> {
        let next = (self.open.stage + 1) % self.open.chain.len() as u16;
        let is_there = self.open.chain[usize::from(next)].agent.node == *node;
        (next != self.open.stage && is_there).then_some(next)
    }

    /// Whether the engine has been given a job that it has not answered.
    pub const fn is_running(&self) -> bool {
        self.running
    }

    /// Next position whose output is due from the engine.
    pub const fn next_out(&self) -> Position {
        self.next_out
    }

    fn is_last(&self) -> bool {
        usize::from(self.open.stage) + 1 == self.open.chain.len()
    }

    fn hop(&self) -> &Hop {
        &self.open.chain[usize::from(self.open.stage)]
    }

    fn next_hop(&self) -> Option<&Hop> {
        self.open.chain.get(usize::from(self.open.stage) + 1)
    }
}
