//! Decisions of the entry about streams: admission, choice of chains, order of tokens and recovery.
//! Pure: events and time in, actions out.

pub mod fault;
mod member;
mod question;
mod quota;
mod recovery;
mod router;
mod stream;

use std::collections::HashMap;
use std::time::Duration;

use coriandercove_base::rng::Rng;
use coriandercove_base::{AccountId, ModelId, NodeId, RequestId, TargetId, Time, Token};
use coriandercove_caller::Outcome;
use coriandercove_config::Config;
use coriandercove_peer::{Address, Frame, StageFailure, StageFailureReason, TokenFrame};
use coriandercove_policy::RefusalReason;
use coriandercove_policy::admission::{
    AccountLimits, Admission, AdmissionAction, AdmissionConfig, Admitted, Arrival,
};
use coriandercove_policy::explain::Refusal;
use coriandercove_policy::retry::{RetryConfig, RetryPolicy};

use fault::Fault;
pub use router::Router;
use stream::{CHAIN_RETRY, Stream};

/// Time for which a target whose link failed gets no new work.
const DOWN_FOR: Duration = Duration::from_secs(1);

/// A request for a completion, as the core needs it.
#[derive(Debug, Clone)]
pub struct StreamSpec {
    /// The request.
    pub req: RequestId,
    /// Account that pays.
    pub account: AccountId,
    /// The model.
    pub model: ModelId,
    /// The prompt; not empty.
    pub prompt: Vec<Token>,
    /// Tokens of the answer at the most.
    pub max_tokens: u32,
    /// Lower values run first.
    pub priority: u8,
    /// Time by which the whole answer must have been given.
    pub deadline: Time,
    /// Time by which the first token must have been given.
    pub first_token_deadline: Time,
}

/// What the runtime has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum CoreAction {
    /// Send a frame.
    Send(Address, Frame),
    /// Pass tokens to the caller. After `finished` nothing follows.
    Emit {
        /// The request.
        req: RequestId,
        /// The tokens, in order.
        tokens: Vec<Token>,
        /// Whether the answer is whole.
        finished: bool,
    },
    /// Tell the caller that the request ends without a whole answer.
    Refuse {
        /// The request.
        req: RequestId,
        /// Why, and when to try again.
        refusal: Refusal,
        /// [`Outcome::NotRun`] only if no stage of it can have run; nothing is charged then.
        outcome: Outcome,
    },
    /// A stream was moved; counted by reason.
    Retried(&'static str),
}

/// Settings of the core.
#[derive(Debug, Clone)]
pub struct CoreConfig {
    /// This entry, as agents reach it.
    pub own: Address,
    /// Zone of the entry.
    pub zone: coriandercove_base::ZoneId,
    /// Tokens that the head may be ahead of the caller.
    pub credit_tokens: u32,
}

/// Decisions of one entry about streams.
pub struct Core {
    cfg: CoreConfig,
    router: Router,
    admission: Admission,
    streams: HashMap<RequestId, Stream>,
    retry: RetryPolicy,
    rng: Rng,
    actions: Vec<CoreAction>,
}

impl Core {
    /// A core without configuration; it refuses every request until [`Core::set_config`].
    #[must_use]
    pub fn new(cfg: CoreConfig, rng: Rng) -> Self {
        let admission = Admission::new(AdmissionConfig {
            node: cfg.own.node.clone(),
            account_queue: 256,
            entry_queue: 4096,
            default_limits: AccountLimits {
                weight: 1.0,
                tokens_per_second: None,
                burst: 0.0,
            },
        });
        let router = Router::new(cfg.zone.clone());
        Self {
            cfg,
            router,
            admission,
            streams: HashMap::new(),
            retry: RetryPolicy::new(RetryConfig::default()),
            rng,
            actions: Vec::new(),
        }
    }

    /// Takes the actions decided since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<CoreAction> {
        std::mem::take(&mut self.actions)
    }

    /// Puts a configuration in force.
    pub fn set_config(&mut self, now: Time, config: &Config) {
        self.router.set_config(config);
        for account in &config.accounts {
            let limits = AccountLimits {
                weight: f64::from(account.weight),
                tokens_per_second: Some(account.quota_tokens_per_second as f64),
                burst: account.burst_tokens as f64,
            };
            self.admission.set_limits(&account.name, limits);
        }
        self.update_slots(now);
    }

    /// Sets the live entries, this one included; quotas and slots are split among them.
    pub fn set_entries(&mut self, now: Time, entries: &[NodeId]) {
        self.router.set_entries(entries.len());
        self.admission.set_entries(entries);
        self.update_slots(now);
    }

    /// Choice of targets, for plain services and reports.
    pub const fn router_mut(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Streams in progress.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is in progress.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Waiting requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.admission.queued()
    }

    fn update_slots(&mut self, now: Time) {
        for (pool, slots) in self.router.slots(now) {
            self.admission.set_slots(&pool, slots);
        }
    }

    /// A new request. Exactly one [`CoreAction::Refuse`] or one finished [`CoreAction::Emit`]
    /// follows, unless the request is cancelled.
    pub fn submit(&mut self, now: Time, spec: StreamSpec) {
        if !self.router.has_model(&spec.model) {
            let refusal = Refusal {
                reason: RefusalReason::UnknownModel,
                retry_after: Duration::ZERO,
            };
            return self.refuse(spec.req, refusal, Outcome::NotRun);
        }
        self.retry.on_request(now);
        let arrival = self.arrival(&spec);
        let req = spec.req;
        match self.admission.offer(now, arrival) {
            Admitted::Dispatch => {
                self.streams.insert(req, Stream::new(spec, now));
                self.dispatch(now, req);
            }
            Admitted::Queued { .. } => {
                self.streams.insert(req, Stream::new(spec, now));
            }
            Admitted::Refused(refusal) => self.refuse(req, refusal, Outcome::NotRun),
        }
    }

    fn arrival(&self, spec: &StreamSpec) -> Arrival {
        let cost = spec.prompt.len() as u64 + u64::from(spec.max_tokens);
        Arrival {
            req: spec.req,
            account: spec.account.clone(),
            pool: spec.model.clone(),
            cost,
            priority: spec.priority,
            deadline: spec.first_token_deadline,
            service_time: self
                .router
                .first_token_estimate(&spec.model, spec.prompt.len()),
        }
    }

    /// Starts an admitted request on its first chain.
    fn dispatch(&mut self, now: Time, req: RequestId) {
        let Some(mut stream) = self.streams.remove(&req) else {
            return;
        };
        match self
            .router
            .choose(&stream.chain_request(), now, &mut self.rng)
        {
            Ok(chain) => {
                stream.begin(now, chain, &mut self.router, &self.cfg, &mut self.actions);
                self.streams.insert(req, stream);
            }
            Err(none) if stream.deadline_passed(now) => {
                self.streams.insert(req, stream);
                self.give_up(now, req, none.reason);
            }
            Err(_) => {
                stream.wait_for_chain(now, CHAIN_RETRY);
                self.streams.insert(req, stream);
            }
        }
    }

    /// A token from the last stage of a chain, at agent `from`.
    pub fn token(&mut self, now: Time, from: &Address, frame: &TokenFrame) {
        self.cancel_old(from, frame);
        let crossed = self.crossed(frame);
        let frame = crossed.as_ref().unwrap_or(frame);
        let Some(stream) = self.streams.get_mut(&frame.req) else {
            return;
        };
        if !stream.accept(now, frame) {
            return;
        }
        self.admission.record_answer(now, frame.req);
        self.actions.push(CoreAction::Emit {
            req: frame.req,
            tokens: vec![frame.token],
            finished: frame.finished,
        });
        if frame.finished
            && let Some(stream) = self.streams.remove(&frame.req)
        {
            self.end(now, stream);
        }
    }

    /// Frees a stage that goes on although its request or its attempt is over, because the frame
    /// that cancelled it was lost or because this entry was restarted.
    fn cancel_old(&mut self, from: &Address, frame: &TokenFrame) {
        let (req, attempt) = (frame.req, frame.attempt);
        let current = self.streams.get(&req).map_or(0, Stream::attempt);
        if current != attempt && !frame.finished {
            let cancel = Frame::CancelStage { req, attempt };
            self.actions.push(CoreAction::Send(from.clone(), cancel));
        }
    }

    /// With the fault switched on, the frame as one of another stream that waits for it.
    fn crossed(&self, frame: &TokenFrame) -> Option<TokenFrame> {
        if !fault::is_on(Fault::CrossRequests) {
            return None;
        }
        let other = self.streams.values().map(Stream::req).min()?;
        let req = other;
        Some(TokenFrame {
            req,
            ..frame.clone()
        })
    }

    /// The caller has taken `tokens` tokens in all; the head may go on accordingly.
    pub fn consumed(&mut self, req: RequestId, tokens: u32) {
        if let Some(stream) = self.streams.get_mut(&req) {
            stream.consumed(tokens, &self.cfg, &mut self.actions);
        }
    }

    /// The caller went away.
    pub fn cancel(&mut self, now: Time, req: RequestId) {
        self.admission.cancel(now, req);
        if let Some(stream) = self.streams.remove(&req) {
            self.end(now, stream);
        }
    }

    /// An agent reports that a stage cannot go on.
    pub fn stage_failed(&mut self, now: Time, failure: &StageFailure) {
        let Some(stream) = self.streams.get_mut(&failure.req) else {
            return;
        };
        if stream.attempt() != failure.attempt {
            return;
        }
        let refused = matches!(
            failure.reason,
            StageFailureReason::Leaving | StageFailureReason::Overloaded
        );
        if refused && failure.stage == 0 {
            stream.head_refused();
        }
        if failure.reason == StageFailureReason::Drained && fault::is_on(Fault::GiveUpDrained) {
            return self.give_up(now, failure.req, RefusalReason::Leaving);
        }
        self.recover(
            now,
            failure.req,
            Some(failure.stage),
            failure.reason.as_str(),
            failure.reason,
        );
    }

    /// The link to a node closed or fell silent.
    pub fn link_down(&mut self, now: Time, node: &NodeId) {
        self.router.mark_down(node, now + DOWN_FOR);
        let mut affected: Vec<_> = self
            .streams
            .values()
            .filter_map(|s| s.hop_of(node).map(|hop| (s.req(), hop)))
            .collect();
        // Without an order, a run could not be repeated.
        affected.sort_unstable();
        for (req, hop) in affected {
            self.recover_lost(now, req, hop, "link_down");
        }
    }

    /// A frame never left this process.
    pub fn undelivered(&mut self, now: Time, to: &Address, frame: &Frame) {
        if let Frame::OpenStage(open) = frame
            && let Some(stream) = self.streams.get_mut(&open.req)
            && stream.attempt() == open.attempt
        {
            stream.head_refused();
        }
        let (Frame::OpenStage(_) | Frame::Feed(_)) = frame else {
            return;
        };
        self.link_down(now, &to.node);
    }

    /// Dispatches waiting requests, notices stalls and passed deadlines. Called every few ms.
    pub fn tick(&mut self, now: Time) {
        self.router.tick(now);
        self.update_slots(now);
        for action in self.admission.poll(now) {
            match action {
                AdmissionAction::Dispatch { req } => self.dispatch(now, req),
                AdmissionAction::Refuse { req, refusal } => {
                    self.streams.remove(&req);
                    self.refuse(req, refusal, Outcome::NotRun);
                }
            }
        }
        self.check_streams(now);
    }

    /// Frees everything that a stream holds.
    fn end(&mut self, now: Time, mut stream: Stream) {
        let cost = if stream.may_have_run() {
            stream.cost()
        } else {
            0
        };
        let req = stream.req();
        stream.cancel_stages(&mut self.router, &mut self.actions);
        self.admission.release(now, req, cost);
    }

    fn refuse(&mut self, req: RequestId, refusal: Refusal, outcome: Outcome) {
        let outcome = if fault::is_on(Fault::RefuseAsNotRun) {
            Outcome::NotRun
        } else {
            outcome
        };
        self.actions.push(CoreAction::Refuse {
            req,
            refusal,
            outcome,
        });
    }

    /// Targets of the chain that a stream uses now.
    #[must_use]
    pub fn targets_of(&self, req: RequestId) -> Vec<TargetId> {
        self.streams
            .get(&req)
            .map(Stream::targets)
            .unwrap_or_default()
    }
}
