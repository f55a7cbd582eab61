//! The stages that this agent runs: which inputs are accepted, what the engine runs next and
//! where its outputs go. Pure: events and time in, actions out.

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
pub use types::{Dropped, Job, JobOutcome, StageAction, StageLimits};

/// How long a cancelled attempt is remembered, so that an `OpenStage` that arrives late by
/// another path does not open it again.
const CANCELLED_KEPT: Duration = Duration::from_secs(60);

/// All stages of an agent.
pub struct Stages {
    limits: StageLimits,
    streams: HashMap<RequestId, Stream>,
    /// Highest cancelled attempt of each request, with the time of the cancellation.
    cancelled: HashMap<RequestId, (Attempt, Time)>,
    /// Sum over all streams of retained bytes.
    retained_bytes: usize,
    /// Time of the last event that came with one.
    now: Time,
    leaving: bool,
    /// Streams opened so far.
    opened: u64,
    actions: Vec<StageAction>,
    dropped: Vec<Dropped>,
}

impl Stages {
    /// No stages.
    #[must_use]
    pub fn new(limits: StageLimits) -> Self {
        Self {
            limits,
            streams: HashMap::new(),
            cancelled: HashMap::new(),
            retained_bytes: 0,
            now: Time::ZERO,
            leaving: false,
            opened: 0,
            actions: Vec::new(),
            dropped: Vec::new(),
        }
    }

    /// Takes the actions decided since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<StageAction> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the reasons of frames dropped since the last call.
    pub fn take_dropped(&mut self) -> Vec<Dropped> {
        std::mem::take(&mut self.dropped)
    }

    /// Streams with a stage here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stage is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Streams opened so far.
    #[must_use]
    pub const fn opened(&self) -> u64 {
        self.opened
    }

    /// Bytes of outputs retained for the replay to a rebuilt next stage.
    #[must_use]
    pub const fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// Refuses new streams from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
        if fault::is_on(Fault::CutAtLeave) {
            self.streams.clear();
            self.retained_bytes = 0;
        }
    }

    /// Opens a stage.
    pub fn open(&mut self, now: Time, open: OpenStage) {
        self.now = now;
        if !open.is_valid() {
            return self.dropped.push(Dropped::InvalidChain);
        }
        let req = open.req;
        if self
            .cancelled
            .get(&req)
            .is_some_and(|(attempt, _)| *attempt >= open.attempt)
        {
            return self.dropped.push(Dropped::OldAttempt);
        }
        let existing = self.remove(req);
        match existing {
            Some(stream) if stream.attempt() >= open.attempt => {
                self.insert(req, stream);
                self.dropped.push(Dropped::OldAttempt);
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
        if !stream.enters_like(open) {
            // An engine keeps the layer at which a sequence enters for as long as it has state.
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

    /// Reports that the stage cannot go on. The attempt is over here, so that a copy of its
    /// `OpenStage` does not start it again after the entry has heard of the failure.
    fn fail(&mut self, open: &OpenStage, reason: StageFailureReason) {
        self.remember_end(open.req, open.attempt);
        self.actions.push(failure(open, open.stage, reason));
    }

    fn remember_end(&mut self, req: RequestId, attempt: Attempt) {
        let ended = self.cancelled.entry(req).or_insert((attempt, self.now));
        *ended = (ended.0.max(attempt), self.now);
    }

    fn start(&mut self, mut stream: Stream) {
        let deadline = stream.open().deadline;
        stream.expires = self.now + deadline + self.limits.entry_grace;
        match stream.start(&mut self.actions) {
            Ok(()) => self.insert(stream.req(), stream),
            Err(reason) => {
                self.actions.push(StageAction::Free(stream.req()));
                self.fail(stream.open(), reason);
            }
        }
    }

    /// Tokens from the entry for the head.
    pub fn feed(&mut self, feed: &Feed) {
        self.with_stream(feed.req, feed.attempt, |stream, actions| {
            stream.feed(feed, actions)
        });
    }

    /// Inputs from the previous stage, or a sampled token from the last one.
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

    /// Lets the head run positions below `up_to`.
    pub fn credit(&mut self, req: RequestId, attempt: Attempt, up_to: Position) {
        self.with_stream(req, attempt, |stream, actions| {
            stream.entry_lost = None;
            stream.credit(up_to, actions);
            Ok(())
        });
    }

    /// Tells an entry how far a stage has come.
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
            stream.entry_lost = None;
        }
        self.actions
            .push(StageAction::Send(from, Frame::Progress(progress)));
    }

    /// The engine finished a job.
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
                stream.done(position, &outputs, token, &mut self.actions)
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

    /// Frees the stages of an attempt and of earlier ones.
    pub fn cancel(&mut self, now: Time, req: RequestId, attempt: Attempt) {
        self.now = now;
        self.remember_end(req, attempt);
        if self
            .streams
            .get(&req)
            .is_some_and(|s| s.attempt() <= attempt)
        {
            self.free(req);
        }
    }

    /// The link to a node closed. Streams that send to it fail; streams of an entry wait for it
    /// to come back for a while.
    pub fn link_down(&mut self, now: Time, node: &NodeId) {
        self.now = now;
        for stream in in_order(&self.streams) {
            if let Some(stage) = stream.sends_to(node) {
                let reason = StageFailureReason::NextStage;
                self.actions.push(failure(stream.open(), stage, reason));
            }
        }
        let of_entry = |s: &&mut Stream| s.open().entry.node == *node;
        for stream in self.streams.values_mut().filter(of_entry) {
            stream.entry_lost.get_or_insert(now);
        }
    }

    /// A frame to another node never left this process.
    pub fn undelivered(&mut self, to: &Address, frame: &Frame) {
        let (req, attempt) = match frame {
            Frame::Activation(a) => (a.req, a.attempt),
            Frame::OpenStage(o) => (o.req, o.attempt),
            _ => return,
        };
        let Some(stream) = self.streams.get(&req).filter(|s| s.attempt() == attempt) else {
            return;
        };
        let hop = stream
            .open()
            .chain
            .iter()
            .position(|hop| hop.agent.node == to.node);
        let stage = hop.unwrap_or_default() as u16;
        self.actions
            .push(failure(stream.open(), stage, StageFailureReason::NextStage));
    }

    /// Asks the entries to move all streams, because the drain deadline has passed.
    pub fn evict(&mut self) {
        for stream in in_order(&self.streams) {
            let reason = StageFailureReason::Drained;
            self.actions
                .push(failure(stream.open(), stream.open().stage, reason));
        }
    }

    /// Forgets what has expired.
    pub fn tick(&mut self, now: Time) {
        self.now = now;
        self.cancelled
            .retain(|_, (_, at)| now.saturating_sub(*at) < CANCELLED_KEPT);
        let grace = self.limits.entry_grace;
        let is_lost = |s: &Stream| s.entry_lost.is_some_and(|since| now - since >= grace);
        let ended: Vec<_> = in_order(&self.streams)
            .into_iter()
            .filter(|s| is_lost(s) || s.expires <= now)
            .map(Stream::req)
            .collect();
        for req in ended {
            self.abandon(req);
        }
    }

    /// Frees a stream that its entry seems to have lost, here and at the other stages, of which
    /// those in the middle have no link to the entry. An entry that lives moves the stream.
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

    fn free(&mut self, req: RequestId) {
        if self.remove(req).is_some() {
            self.actions.push(StageAction::Free(req));
        }
    }

    fn with_stream(
        &mut self,
        req: RequestId,
        attempt: Attempt,
        f: impl FnOnce(&mut Stream, &mut Vec<StageAction>) -> Result<(), Dropped>,
    ) {
        let result = match self.streams.get_mut(&req) {
            None => Err(Dropped::NoStage),
            Some(stream) if stream.attempt() > attempt => Err(Dropped::OldAttempt),
            Some(stream) if stream.attempt() < attempt => Err(Dropped::NoStage),
            Some(stream) => f(stream, &mut self.actions),
        };
        if let Err(dropped) = result {
            self.dropped.push(dropped);
        }
    }

    /// Drops retained outputs, of the oldest requests first, until they fit the limit.
    /// A request whose outputs are dropped can still be rebuilt by a full prefill.
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

/// The streams in the order in which they were opened, so that a run can be repeated.
fn in_order(streams: &HashMap<RequestId, Stream>) -> Vec<&Stream> {
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
