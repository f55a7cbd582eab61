//! State machine of the entry for streams: admission, choice of chains, order of tokens and
//! recovery.
//!
//! A stream is one completion request. It runs on a chain of stages, each of which is the agent of
//! a target that runs a range of the model's layers; the first stage is the head. Each chain that a
//! stream uses is a new attempt. The module does no I/O and reads no clock: [`Core`] gets events
//! with the current time and returns actions.

pub mod fault;
mod member;
mod progress_query;
mod quota;
mod recovery;
mod router;
mod stream;
mod unheard;

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
pub use unheard::UnheardTargets;

/// Time for which a target gets no new work after its link failed; also the time after which
/// callers of aborted streams are told to retry.
const DOWN_FOR: Duration = Duration::from_secs(1);

/// A parsed completion request.
#[derive(Debug, Clone)]
pub struct StreamSpec {
    /// Id of the request; unique among the streams of this entry.
    pub req: RequestId,
    /// Client account whose quota is charged.
    pub account: AccountId,
    /// Model that is asked for; refused if it is not configured.
    pub model: ModelId,
    /// Tokens of the prompt; not empty.
    pub prompt: Vec<Token>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority of the account; lower values run first.
    pub priority: u8,
    /// Time by which all tokens must have been passed on.
    pub deadline: Time,
    /// Time by which the first token must have been passed on.
    pub first_token_deadline: Time,
}

/// An action that the runtime has to run.
#[derive(Debug, Clone, PartialEq)]
pub enum CoreAction {
    /// Send a frame to an agent.
    Send(Address, Frame),
    /// Pass tokens to the caller. No action for the request follows one with `finished`.
    Emit {
        /// Request that the tokens belong to.
        req: RequestId,
        /// Next tokens of the response, in order.
        tokens: Vec<Token>,
        /// Whether the response is complete with these tokens.
        finished: bool,
    },
    /// Tell the caller that the request ends without a complete response.
    Refuse {
        /// Request that is refused.
        req: RequestId,
        /// The reason, and how long to wait before a retry.
        refusal: Refusal,
        /// [`Outcome::NotRun`] only if no stage can have run; the quota is not charged then.
        outcome: Outcome,
    },
    /// Count a move of a stream to another chain, by this reason.
    Retried(&'static str),
}

/// Settings of a [`Core`].
#[derive(Debug, Clone)]
pub struct CoreConfig {
    /// Name and link address of this entry, to which agents send tokens.
    pub own: Address,
    /// Zone of this entry, from which the cost of links to targets is computed.
    pub zone: coriandercove_base::ZoneId,
    /// Number of tokens that a chain may generate ahead of what the caller has read.
    pub credit_tokens: u32,
}

/// State machine of one entry for all its streams.
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
    /// Returns a core without a configuration, which refuses all requests until
    /// [`Core::set_config`].
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

    /// Removes and returns the actions since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<CoreAction> {
        std::mem::take(&mut self.actions)
    }

    /// Puts a configuration in force. Streams in progress stay on their chains.
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

    /// Sets the live entries, including this one. Quotas and slots are split among them.
    pub fn set_entries(&mut self, now: Time, entries: &[NodeId]) {
        self.router.set_entries(entries.len());
        self.admission.set_entries(entries);
        self.update_slots(now);
    }

    /// Returns the router, for calls to plain services and for status reports.
    pub const fn router_mut(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Returns the number of streams in progress, including the queued ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is in progress.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns the number of requests in the admission queues.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.admission.queued()
    }

    /// Passes this entry's share of the concurrency of each model to admission.
    fn update_slots(&mut self, now: Time) {
        for (pool, slots) in self.router.slots(now) {
            self.admission.set_slots(&pool, slots);
        }
    }

    /// Handles a new request: runs, queues or refuses it. Exactly one [`CoreAction::Refuse`] or one
    /// finished [`CoreAction::Emit`] follows, unless the request is cancelled.
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

    /// Starts an admitted request on its first chain, or lets it wait for one until its deadline.
    fn dispatch(&mut self, now: Time, req: RequestId) {
        let Some(mut stream) = self.streams.remove(&req) else {
            return;
        };
        match self
            .router
            .choose_chain(&stream.chain_requirements(), now, &mut self.rng)
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

    /// Handles a token from the last stage of a chain, whose agent is `from`.
    pub fn on_token(&mut self, now: Time, from: &Address, frame: &TokenFrame) {
        self.cancel_stale_attempt(from, frame);
        let redirected = self.redirect_for_fault(frame);
        let frame = redirected.as_ref().unwrap_or(frame);
        let Some(stream) = self.streams.get_mut(&frame.req) else {
            return;
        };
        if !stream.accept(now, frame) {
            return;
        }
        self.admission.record_service_time(now, frame.req);
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

    /// Cancels the sending stage if the token belongs to a request or an attempt that has ended.
    /// Such a stage goes on if the frame that cancelled it was lost or if this entry was restarted.
    fn cancel_stale_attempt(&mut self, from: &Address, frame: &TokenFrame) {
        let (req, attempt) = (frame.req, frame.attempt);
        let current = self.streams.get(&req).map_or(0, Stream::attempt);
        if current != attempt && !frame.finished {
            let cancel = Frame::CancelStage { req, attempt };
            self.actions.push(CoreAction::Send(from.clone(), cancel));
        }
    }

    /// With [`Fault::CrossRequests`] on, returns the frame as one of another stream.
    fn redirect_for_fault(&self, frame: &TokenFrame) -> Option<TokenFrame> {
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

    /// Handles that the caller has read `tokens` tokens in all, which renews the credit of the
    /// head.
    pub fn consumed(&mut self, req: RequestId, tokens: u32) {
        if let Some(stream) = self.streams.get_mut(&req) {
            stream.consumed(tokens, &self.cfg, &mut self.actions);
        }
    }

    /// Cancels a request whose caller disconnected. No token and no refusal follows.
    pub fn cancel(&mut self, now: Time, req: RequestId) {
        self.admission.cancel(now, req);
        if let Some(stream) = self.streams.remove(&req) {
            self.end(now, stream);
        }
    }

    /// Handles an agent's report that a stage cannot go on.
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

    /// Handles that the link to a node closed or timed out: moves all streams with a stage there.
    pub fn link_down(&mut self, now: Time, node: &NodeId) {
        self.router.mark_down(node, now + DOWN_FOR);
        let mut affected: Vec<_> = self
            .streams
            .values()
            .filter_map(|s| s.stage_at(node).map(|stage| (s.req(), stage)))
            .collect();
        // The order of the map is random; sorting keeps runs with one seed repeatable.
        affected.sort_unstable();
        for (req, stage) in affected {
            self.recover_unreachable(now, req, stage, "link_down");
        }
    }

    /// Handles that a frame to `to` was never sent.
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

    /// Dispatches queued requests and handles stalled chains and passed deadlines. The runtime
    /// calls it every few milliseconds.
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

    /// Frees the stages and the admission slot of a stream and charges its cost if it may have run.
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

    /// Returns the targets of a stream's current chain; empty without a chain.
    #[must_use]
    pub fn targets_of(&self, req: RequestId) -> Vec<TargetId> {
        self.streams
            .get(&req)
            .map(Stream::targets)
            .unwrap_or_default()
    }
}
