//! The stages that this agent runs: which inputs are accepted, which job the engine runs next and
//! where its outputs are sent. A state machine without I/O: callers pass in events and the time,
//! and execute the resulting actions.

pub mod fault;
mod stream;
mod types;

use std::collections::HashMap;
use std::time::Duration;

use coriandercove_base::{Attempt, NodeId, Position, RequestId, Time};
use coriandercove_peer::{
    Activation, Address, Feed, Frame, OpenStage, StageFailure, StageFailureReason, StageProgress,
};
use coriandercove_target::ItemError;

use fault::Fault;
use stream::Stream;
pub use types::{DropReason, Job, JobOutcome, StageAction, StageLimits};

/// How long an attempt that was cancelled or has failed is remembered, so that an `OpenStage` that
/// arrives late over another link does not open it again.
const ENDED_ATTEMPT_RETENTION: Duration = Duration::from_secs(60);

/// All stages of an agent.
pub struct Stages {
    limits: StageLimits,
    streams: HashMap<RequestId, Stream>,
    /// Highest attempt of each request that was cancelled or has failed, with the time when it
    /// ended.
    ended_attempts: HashMap<RequestId, (Attempt, Time)>,
    /// Sum of the retained bytes of all streams.
    retained_bytes: usize,
    /// Time of the last event that carried a time.
    now: Time,
    leaving: bool,
    /// Number of streams opened so far.
    opened: u64,
    actions: Vec<StageAction>,
    dropped: Vec<DropReason>,
}

impl Stages {
    /// Creates a set without stages.
    #[must_use]
    pub fn new(limits: StageLimits) -> Self {
        Self {
            limits,
            streams: HashMap::new(),
            ended_attempts: HashMap::new(),
            retained_bytes: 0,
            now: Time::ZERO,
            leaving: false,
            opened: 0,
            actions: Vec::new(),
            dropped: Vec::new(),
        }
    }

    /// Takes the actions queued since the last call, in the order of execution.
    pub fn take_actions(&mut self) -> Vec<StageAction> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the reasons of the frames dropped since the last call.
    pub fn take_dropped(&mut self) -> Vec<DropReason> {
        std::mem::take(&mut self.dropped)
    }

    /// Number of streams with an open stage.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stage is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Number of streams opened so far.
    #[must_use]
    pub const fn opened(&self) -> u64 {
        self.opened
    }

    /// Bytes of outputs retained for the replay to a rebuilt next stage, over all streams.
    #[must_use]
    pub const fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// Refuses new streams from now on; open streams continue.
    pub fn leave(&mut self) {
        self.leaving = true;
        if fault::is_on(Fault::CutAtLeave) {
            self.streams.clear();
            self.retained_bytes = 0;
        }
    }

    /// Opens a stage, or opens it again for a later attempt. Drops an `OpenStage` of an attempt
    /// that has ended or been replaced.
    pub fn open(&mut self, now: Time, open: OpenStage) {
        self.now = now;
        if !open.is_valid() {
            return self.dropped.push(DropReason::InvalidChain);
        }
        let req = open.req;
        if self
            .ended_attempts
            .get(&req)
            .is_some_and(|(attempt, _)| *attempt >= open.attempt)
        {
            return self.dropped.push(DropReason::OldAttempt);
        }
        let existing = self.remove(req);
        match existing {
            Some(stream) if stream.attempt() >= open.attempt => {
                self.insert(req, stream);
                self.dropped.push(DropReason::OldAttempt);
            }
            Some(stream) => self.reopen(stream, &open),
            None => self.open_new(open),
        }
    }

    fn open_new(&mut self, open: OpenStage) {
        let refusal = if self.leaving && !fault::is_on(Fault::OpenWhileLeaving) {
            Some(StageFailureReason::Leaving)
        } else if self.streams.len() >= self.limits.max_streams {
            Some(StageFailureReason::Overloaded)
        } else if open.chain[usize::from(open.stage)].held > 0 {
            Some(StageFailureReason::StateLost)
        } else {
            None
        };
        match refusal {
            Some(reason) => self.fail(&open, reason),
            None => {
                self.opened += 1;
                let stream = Stream::new(open, self.opened, self.limits.prefill_chunk);
                self.start(stream);
            }
        }
    }

    fn reopen(&mut self, stream: Stream, open: &OpenStage) {
        if !stream.has_same_first_layer(open) {
            // An engine binds a sequence to its first layer for as long as it holds state for it.
            self.actions.push(StageAction::Free(open.req));
        }
        match stream.reopened(open.clone()) {
            Ok(stream) => self.start(stream),
            Err(reason) => {
                self.actions.push(StageAction::Free(open.req));
                self.fail(open, reason);
            }
        }
    }

    /// Reports to the entry that the stage cannot continue. The attempt counts as ended, so that a
    /// duplicate of its `OpenStage` does not start it again after the entry has learned of the
    /// failure.
    fn fail(&mut self, open: &OpenStage, reason: StageFailureReason) {
        self.record_end(open.req, open.attempt);
        self.actions.push(failure(open, open.stage, reason));
    }

    fn record_end(&mut self, req: RequestId, attempt: Attempt) {
        let ended = self
            .ended_attempts
            .entry(req)
            .or_insert((attempt, self.now));
        *ended = (ended.0.max(attempt), self.now);
    }

    /// Sets the expiry of a stream and starts its stage.
    fn start(&mut self, mut stream: Stream) {
        let deadline = stream.open().deadline;
        stream.expires = self.now + deadline + self.limits.entry_grace;
        match stream.open_next_stage(&mut self.actions) {
            Ok(()) => self.insert(stream.req(), stream),
            Err(reason) => {
                self.actions.push(StageAction::Free(stream.req()));
                self.fail(stream.open(), reason);
            }
        }
    }

    /// Accepts tokens from the entry at the head, the first stage of a chain.
    pub fn feed(&mut self, feed: &Feed) {
        self.with_stream(feed.req, feed.attempt, |stream, actions| {
            stream.feed(feed, actions)
        });
    }

    /// Accepts inputs from the previous stage, or at the head the token sampled by the last stage.
    pub fn activation(&mut self, activation: Activation) {
        let req = if fault::is_on(Fault::CrossActivations) {
            self.streams.keys().copied().min().unwrap_or_default()
        } else {
            activation.req
        };
        self.with_stream(req, activation.attempt, |stream, actions| {
            stream.activation(activation, actions)
        });
    }

    /// Grants credit: the head may run positions below `up_to`.
    pub fn credit(&mut self, req: RequestId, attempt: Attempt, up_to: Position) {
        self.with_stream(req, attempt, |stream, actions| {
            stream.entry_down_since = None;
            stream.credit(up_to, actions);
            Ok(())
        });
    }

    /// Replies to an entry with the progress of a stage.
    pub fn ask_progress(&mut self, from: Address, req: RequestId, attempt: Attempt) {
        let stream = self.streams.get_mut(&req);
        let stream = stream.filter(|s| s.attempt() == attempt);
        let progress = StageProgress {
            req,
            attempt,
            open: stream.is_some(),
            running: stream.as_ref().is_some_and(|s| s.is_running()),
            next_out: stream.as_ref().map_or(0, |s| s.next_out()),
        };
        if let Some(stream) = stream {
            stream.entry_down_since = None;
        }
        self.actions
            .push(StageAction::Send(from, Frame::Progress(progress)));
    }

    /// Handles the outcome of a job that the engine was given.
    pub fn job_done(
        &mut self,
        req: RequestId,
        attempt: Attempt,
        position: Position,
        outcome: JobOutcome,
    ) {
        let Some(mut stream) = self.remove(req) else {
            return;
        };
        if stream.attempt() != attempt {
            return self.insert(req, stream);
        }
        let result = match outcome {
            JobOutcome::Done { outputs, token } => {
                stream.on_job_done(position, &outputs, token, &mut self.actions)
            }
            JobOutcome::Refused(error) => Err(refusal_reason(error)),
            JobOutcome::Failed => Err(StageFailureReason::Engine),
        };
        match result {
            Ok(()) => self.insert(req, stream),
            Err(reason) => {
                self.actions.push(StageAction::Free(req));
                self.fail(stream.open(), reason);
            }
        }
        self.drop_retained();
    }

    /// Frees the stage of this attempt or of an earlier one.
    pub fn cancel(&mut self, now: Time, req: RequestId, attempt: Attempt) {
        self.now = now;
        self.record_end(req, attempt);
        if self
            .streams
            .get(&req)
            .is_some_and(|s| s.attempt() <= attempt)
        {
            self.free(req);
        }
    }

    /// Handles the loss of the link to a node. Streams that send to it report a failure; streams
    /// whose entry it is are kept for `StageLimits::entry_grace`, in case the link comes back.
    pub fn link_down(&mut self, now: Time, node: &NodeId) {
        self.now = now;
        for stream in in_opening_order(&self.streams) {
            if let Some(stage) = stream.sends_to(node) {
                let reason = StageFailureReason::NextStage;
                self.actions.push(failure(stream.open(), stage, reason));
            }
        }
        let of_entry = |s: &&mut Stream| s.open().entry.node == *node;
        for stream in self.streams.values_mut().filter(of_entry) {
            stream.entry_down_since.get_or_insert(now);
        }
    }

    /// Handles a frame to another node that could not be sent.
    pub fn undelivered(&mut self, to: &Address, frame: &Frame) {
        let (req, attempt) = match frame {
            Frame::Activation(a) => (a.req, a.attempt),
            Frame::OpenStage(o) => (o.req, o.attempt),
            _ => return,
        };
        let Some(stream) = self.streams.get(&req).filter(|s| s.attempt() == attempt) else {
            return;
        };
        let index = stream
            .open()
            .chain
            .iter()
            .position(|hop| hop.agent.node == to.node);
        let stage = index.unwrap_or_default() as u16;
        self.actions
            .push(failure(stream.open(), stage, StageFailureReason::NextStage));
    }

    /// Asks the entries to move all streams to other targets, because the drain deadline has
    /// passed.
    pub fn evict(&mut self) {
        for stream in in_opening_order(&self.streams) {
            let reason = StageFailureReason::Drained;
            self.actions
                .push(failure(stream.open(), stream.open().stage, reason));
        }
    }

    /// Removes the attempts and streams whose time is over.
    pub fn tick(&mut self, now: Time) {
        self.now = now;
        self.ended_attempts
            .retain(|_, (_, at)| now.saturating_sub(*at) < ENDED_ATTEMPT_RETENTION);
        let grace = self.limits.entry_grace;
        let is_lost = |s: &Stream| s.entry_down_since.is_some_and(|since| now - since >= grace);
        let ended: Vec<_> = in_opening_order(&self.streams)
            .into_iter()
            .filter(|s| is_lost(s) || s.expires <= now)
            .map(Stream::req)
            .collect();
        for req in ended {
            self.abandon(req);
        }
    }

    /// Frees a stream whose entry seems to be gone, here and at the other stages, because those in
    /// the middle have no link to the entry. If the entry is alive, the reported failure makes it
    /// move the stream.
    fn abandon(&mut self, req: RequestId) {
        let Some(stream) = self.remove(req) else {
            return;
        };
        let open = stream.open();
        self.actions.push(StageAction::Free(req));
        for (i, hop) in open.chain.iter().enumerate() {
            if i != usize::from(open.stage) {
                let attempt = open.attempt;
                let cancel = Frame::CancelStage { req, attempt };
                self.actions
                    .push(StageAction::Send(hop.agent.clone(), cancel));
            }
        }
        self.fail(open, StageFailureReason::StateLost);
    }

    /// Removes a stream, if it is open, and frees the engine's state for it.
    fn free(&mut self, req: RequestId) {
        if self.remove(req).is_some() {
            self.actions.push(StageAction::Free(req));
        }
    }

    /// Applies `f` to the stream of an attempt; records the reason if the frame has to be dropped.
    fn with_stream(
        &mut self,
        req: RequestId,
        attempt: Attempt,
        f: impl FnOnce(&mut Stream, &mut Vec<StageAction>) -> Result<(), DropReason>,
    ) {
        let result = match self.streams.get_mut(&req) {
            None => Err(DropReason::NoStage),
            Some(stream) if stream.attempt() > attempt => Err(DropReason::OldAttempt),
            Some(stream) if stream.attempt() < attempt => Err(DropReason::NoStage),
            Some(stream) => f(stream, &mut self.actions),
        };
        if let Err(dropped) = result {
            self.dropped.push(dropped);
        }
    }

    /// Drops retained outputs, those of the streams opened first, until the rest fits the limit.
    /// A stream whose outputs are dropped can still be rebuilt by a full prefill.
    fn drop_retained(&mut self) {
        if self.retained_bytes <= self.limits.max_retained_bytes {
            return;
        }
        let mut reqs: Vec<_> = self
            .streams
            .values()
            .map(|s| (s.serial(), s.req()))
            .collect();
        reqs.sort_unstable();
        for (_, req) in reqs {
            if self.retained_bytes <= self.limits.max_retained_bytes {
                return;
            }
            if let Some(stream) = self.streams.get_mut(&req) {
                self.retained_bytes -= stream.drop_retained();
            }
        }
    }

    fn insert(&mut self, req: RequestId, stream: Stream) {
        self.retained_bytes += stream.retained_bytes();
        self.streams.insert(req, stream);
    }

    fn remove(&mut self, req: RequestId) -> Option<Stream> {
        let stream = self.streams.remove(&req)?;
        self.retained_bytes -= stream.retained_bytes();
        Some(stream)
    }
}

/// Returns the streams in the order in which they were opened, so that runs are reproducible.
fn in_opening_order(streams: &HashMap<RequestId, Stream>) -> Vec<&Stream> {
    let mut streams: Vec<_> = streams.values().collect();
    streams.sort_unstable_by_key(|s| s.serial());
    streams
}

const fn refusal_reason(error: ItemError) -> StageFailureReason {
    match error {
        ItemError::OutOfMemory => StageFailureReason::OutOfMemory,
        ItemError::LayerNotHeld => StageFailureReason::LayerNotHeld,
        ItemError::Failed => StageFailureReason::Engine,
        ItemError::StaleEpoch
        | ItemError::PositionGap { .. }
        | ItemError::PositionRepeat { .. }
        | ItemError::Cancelled => StageFailureReason::StateLost,
    }
}

/// Returns the action that reports the failure of stage `stage` to the entry.
fn failure(open: &OpenStage, stage: u16, reason: StageFailureReason) -> StageAction {
    let failure = StageFailure {
        req: open.req,
        attempt: open.attempt,
        stage,
        reason,
    };
    StageAction::Send(open.entry.clone(), Frame::StageFailed(failure))
}

#[cfg(test)]
mod tests;
