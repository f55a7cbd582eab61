//! State of one stream at the entry: its tokens, its chain and the credit of the head.

use std::time::Duration;

use coriandercove_base::{Attempt, NodeId, Position, RequestId, TargetId, Time, Token};
use coriandercove_peer::{Address, Feed, Frame, Hop, OpenStage, TokenFrame};
use coriandercove_policy::chain::Chain;

use super::fault::{self, Fault};
use super::progress_query::ProgressQuery;
use super::{CoreAction, CoreConfig, Router, StreamSpec};

/// Lower bound of the time without a token after which a chain counts as stalled.
const MIN_STALL: Duration = Duration::from_millis(300);
/// Upper bound of the time without a token after which a chain counts as stalled.
const MAX_STALL: Duration = Duration::from_secs(2);
/// Multiple of the expected time per token after which a chain counts as stalled.
const STALL_FACTOR: u32 = 8;
/// Time allowed for the first token in addition to three times its estimate.
const FIRST_TOKEN_ALLOWANCE: Duration = Duration::from_secs(1);
/// Interval at which a stream without a chain tries to get one.
pub const CHAIN_RETRY: Duration = Duration::from_millis(20);

/// Requirements of a stream for the choice of its chain.
#[derive(Debug, Clone)]
pub struct ChainRequirements {
    /// Model whose layers the chain must run.
    pub model: coriandercove_base::ModelId,
    /// Number of tokens to prefill: the prompt and the tokens passed on so far.
    pub prompt_tokens: u32,
    /// Maximum number of tokens still to generate.
    pub max_tokens: u32,
    /// Targets that must not be used, sorted.
    pub exclude: Vec<TargetId>,
}

/// One completion request from its submission to its last token.
pub struct Stream {
    spec: StreamSpec,
    /// Current chain; `None` while the stream waits for admission or for a chain.
    chain: Option<Chain>,
    /// Addresses of the agents of the current or last chain. Kept here because a new configuration
    /// can remove a target whose stage must still be cancelled.
    agents: Vec<Address>,
    /// Number of the current or last chain; 0 before the first.
    attempt: Attempt,
    /// Tokens passed on to the caller, in order. Together with the prompt, they are sufficient to
    /// continue on any other chain.
    emitted: Vec<Token>,
    /// Number of tokens that the caller has read.
    consumed: u32,
    /// Credit of the head in the current attempt: it may run positions below this one.
    credit_limit: Position,
    /// Time of the last token, or of the start of the chain if that is later.
    last_progress: Time,
    /// Whether the current attempt has yielded a token.
    chain_yielded: bool,
    /// Time at which a stream without a chain tries again to get one.
    chain_retry_at: Time,
    /// Targets that failed this stream and are excluded from its next chains, sorted.
    failed_targets: Vec<TargetId>,
    /// Progress query to the stages of a stalled chain.
    pub progress_query: Option<ProgressQuery>,
    /// Targets whose stages took part in the last token and have not failed since. Only these are
    /// known to hold the state of all positions.
    intact_targets: Vec<TargetId>,
    /// Whether the stream has moved since its last token.
    has_moved: bool,
    /// Whether a stage of any attempt can have run.
    may_have_run: bool,
    /// Whether a stage of an attempt before the current one can have run.
    earlier_attempt_may_have_run: bool,
}

impl Stream {
    pub const fn new(spec: StreamSpec, now: Time) -> Self {
        Self {
            spec,
            chain: None,
            agents: Vec::new(),
            attempt: 0,
            emitted: Vec::new(),
            consumed: 0,
            credit_limit: 0,
            last_progress: now,
            chain_yielded: false,
            chain_retry_at: Time::MAX,
            failed_targets: Vec::new(),
            progress_query: None,
            intact_targets: Vec::new(),
            has_moved: false,
            may_have_run: false,
            earlier_attempt_may_have_run: false,
        }
    }

    /// Returns whether a stage of any attempt can have run.
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records that the head provably did not open its stage, so no stage of this attempt ran.
    pub const fn head_refused(&mut self) {
        self.may_have_run = self.earlier_attempt_may_have_run;
    }

    pub const fn req(&self) -> RequestId {
        self.spec.req
    }

    pub const fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the tokens passed on to the caller.
    pub fn emitted(&self) -> &[Token] {
        &self.emitted
    }

    /// Returns the position of the next token; positions count from the start of the prompt.
    pub fn next_position(&self) -> Position {
        (self.spec.prompt.len() + self.emitted.len()) as Position
    }

    /// Returns the number of prompt tokens and generated tokens so far, which the quota is charged
    /// for.
    pub fn cost(&self) -> u64 {
        (self.spec.prompt.len() + self.emitted.len()) as u64
    }

    pub fn targets(&self) -> Vec<TargetId> {
        self.chain
            .iter()
            .flat_map(|c| c.hops.iter().map(|h| h.target.clone()))
            .collect()
    }

    /// Returns whether the deadline, or that of the first token before there is one, has passed.
    pub fn deadline_passed(&self, now: Time) -> bool {
        now >= self.spec.deadline
            || (self.emitted.is_empty() && now >= self.spec.first_token_deadline)
    }

    /// Returns what the next chain of the stream must fulfil.
    pub fn chain_requirements(&self) -> ChainRequirements {
        ChainRequirements {
            model: self.spec.model.clone(),
            prompt_tokens: self.next_position(),
            max_tokens: self.spec.max_tokens - self.emitted.len() as u32,
            exclude: self.failed_targets.clone(),
        }
    }

    /// Returns the index of the current chain's stage at `node`.
    pub fn stage_at(&self, node: &NodeId) -> Option<u16> {
        let hops = &self.chain.as_ref()?.hops;
        hops.iter()
            .position(|h| h.target == *node)
            .map(|i| i as u16)
    }

    /// Excludes a target that failed this stream from its next chains.
    pub fn exclude(&mut self, target: TargetId) {
        if let Err(i) = self.failed_targets.binary_search(&target) {
            self.failed_targets.insert(i, target);
        }
    }

    /// Allows all targets again, because no chain is possible without those that failed.
    pub fn forget_failures(&mut self) {
        self.failed_targets.clear();
    }

    /// Sets the time at which the stream tries again to get a chain.
    pub const fn wait_for_chain(&mut self, now: Time, wait: Duration) {
        self.chain_retry_at = now.saturating_add(wait);
    }

    /// Returns whether the stage at a target holds the state of all positions.
    pub fn is_intact(&self, target: &TargetId) -> bool {
        self.intact_targets.contains(target)
    }

    /// Records that the stage at a target failed or lost its state.
    pub fn mark_lost(&mut self, target: &TargetId) {
        self.intact_targets.retain(|t| t != target);
    }

    /// Returns the time by which all tokens must have been passed on.
    pub const fn deadline(&self) -> Time {
        self.spec.deadline
    }

    /// Records a move and returns whether it is the first since the last token.
    pub const fn record_move(&mut self) -> bool {
        let is_first = !self.has_moved;
        self.has_moved = true;
        is_first
    }

    /// Returns whether the stream has no chain and its time to try again has come.
    pub fn is_chain_retry_due(&self, now: Time) -> bool {
        self.chain.is_none() && now >= self.chain_retry_at
    }

    /// Starts a new attempt on a chain whose stages hold no state of the stream.
    pub fn begin(
        &mut self,
        now: Time,
        chain: Chain,
        router: &mut Router,
        cfg: &CoreConfig,
        actions: &mut Vec<CoreAction>,
    ) {
        let held = vec![0; chain.hops.len()];
        self.begin_with(now, chain, &held, router, cfg, actions);
    }

    /// Starts a new attempt on a chain whose stages hold state up to the positions in `held`.
    pub fn begin_with(
        &mut self,
        now: Time,
        chain: Chain,
        held: &[Position],
        router: &mut Router,
        cfg: &CoreConfig,
        actions: &mut Vec<CoreAction>,
    ) {
        router.begin(&chain);
        self.attempt += 1;
        self.earlier_attempt_may_have_run = self.may_have_run;
        self.may_have_run = true;
        self.last_progress = now;
        self.progress_query = None;
        self.chain_yielded = false;
        self.chain_retry_at = Time::MAX;
        let hops = chain.hops.iter().zip(held).filter_map(|(hop, held)| {
            Some(Hop {
                agent: self
                    .agent_address(&hop.target)
                    .or_else(|| router.address(&hop.target))?,
                first_layer: hop.first_layer,
                end_layer: hop.end_layer,
                held: *held,
            })
        });
        let hops: Vec<Hop> = hops.collect();
        self.chain = Some(chain);
        self.agents = hops.iter().map(|hop| hop.agent.clone()).collect();
        let Some(head) = hops.first().map(|hop| hop.agent.clone()) else {
            return;
        };
        let start = hops[0].held;
        let open = OpenStage {
            req: self.spec.req,
            attempt: self.attempt,
            entry: cfg.own.clone(),
            chain: hops,
            stage: 0,
            end_position: self.end_position(),
            priority: self.spec.priority,
            deadline: self.spec.deadline.saturating_sub(now),
        };
        actions.push(CoreAction::Send(
            head.clone(),
            Frame::OpenStage(Box::new(open)),
        ));
        let tokens = self.tokens_from(start);
        let feed = Feed {
            req: self.spec.req,
            attempt: self.attempt,
            position: start,
            tokens,
        };
        actions.push(CoreAction::Send(head.clone(), Frame::Feed(feed)));
        self.credit_limit = 0;
        self.grant(cfg, &head, actions);
    }

    /// Returns the position at which the response ends at the latest.
    const fn end_position(&self) -> Position {
        self.spec.prompt.len() as Position + self.spec.max_tokens
    }

    /// Returns the tokens of the prompt and the response from a position on.
    fn tokens_from(&self, position: Position) -> Vec<Token> {
        let all = self.spec.prompt.iter().chain(&self.emitted);
        all.skip(position as usize).copied().collect()
    }

    /// Accepts a token if it is the next one and comes from the current attempt; returns whether it
    /// was accepted.
    pub fn accept(&mut self, now: Time, frame: &TokenFrame) -> bool {
        let any = fault::is_on(Fault::AcceptAnyPosition);
        if frame.attempt != self.attempt || (frame.position != self.next_position() && !any) {
            return false;
        }
        self.emitted.push(frame.token);
        self.last_progress = now;
        self.progress_query = None;
        if self.has_moved || !self.chain_yielded {
            self.intact_targets = self.targets();
        }
        self.has_moved = false;
        self.chain_yielded = true;
        true
    }

    /// Records that the caller has read `tokens` tokens in all, and renews the credit of the head.
    pub fn consumed(&mut self, tokens: u32, cfg: &CoreConfig, actions: &mut Vec<CoreAction>) {
        self.consumed = self.consumed.max(tokens);
        let allowed = self.allowed_credit(cfg);
        // Credit is renewed in steps of half the window, which keeps the number of frames low.
        if allowed < self.credit_limit + cfg.credit_tokens / 2 && allowed < self.end_position() {
            return;
        }
        if let Some(head) = self.chain.as_ref().and(self.agents.first()).cloned() {
            self.grant(cfg, &head, actions);
        }
    }

    /// Returns the credit that the tokens read so far allow.
    fn allowed_credit(&self, cfg: &CoreConfig) -> Position {
        self.spec.prompt.len() as Position + self.consumed + cfg.credit_tokens
    }

    /// Sends the head its new credit if it is higher than before.
    fn grant(&mut self, cfg: &CoreConfig, head: &Address, actions: &mut Vec<CoreAction>) {
        let up_to = self.allowed_credit(cfg).min(self.end_position());
        if up_to <= self.credit_limit {
            return;
        }
        self.credit_limit = up_to;
        let credit = Frame::Credit {
            req: self.spec.req,
            attempt: self.attempt,
            up_to,
        };
        actions.push(CoreAction::Send(head.clone(), credit));
    }

    /// Returns whether the chain should have yielded a token by now.
    pub fn is_stalled(&self, now: Time) -> bool {
        let Some(chain) = &self.chain else {
            return false;
        };
        // The chain waits for credit because the caller reads slowly, so it has not stalled.
        if self.next_position() > self.credit_limit {
            return false;
        }
        let allowance = if self.chain_yielded {
            (chain.per_token * STALL_FACTOR).clamp(MIN_STALL, MAX_STALL)
        } else {
            chain.first_token * 3 + FIRST_TOKEN_ALLOWANCE
        };
        now.saturating_sub(self.last_progress) > allowance
    }

    /// Returns whether the chain has stalled for so long that it is replaced although its stages
    /// reply.
    pub fn is_overdue(&self, now: Time) -> bool {
        let first = self
            .chain
            .as_ref()
            .map_or(Duration::ZERO, |c| c.first_token);
        let limit = if self.chain_yielded {
            MAX_STALL
        } else {
            MAX_STALL + first * STALL_FACTOR
        };
        now.saturating_sub(self.last_progress) > limit
    }

    /// Returns the addresses of the agents of the current or last chain, in the order of its
    /// stages.
    pub fn agents(&self) -> &[Address] {
        &self.agents
    }

    /// Releases the current chain and cancels its stages.
    pub fn cancel_stages(&mut self, router: &mut Router, actions: &mut Vec<CoreAction>) {
        let Some(chain) = self.release_chain(router) else {
            return;
        };
        for hop in &chain.hops {
            actions.extend(self.cancel_at(&hop.target));
        }
    }

    /// Returns the action that cancels the stage at a target of the current or last chain.
    pub fn cancel_at(&self, target: &TargetId) -> Option<CoreAction> {
        let cancel = Frame::CancelStage {
            req: self.spec.req,
            attempt: self.attempt,
        };
        Some(CoreAction::Send(self.agent_address(target)?, cancel))
    }

    /// Returns the address of the agent of a target of the current or last chain.
    fn agent_address(&self, target: &TargetId) -> Option<Address> {
        self.agents.iter().find(|a| a.node == *target).cloned()
    }

    /// Releases the current chain without cancelling its stages.
    pub fn release_chain(&mut self, router: &mut Router) -> Option<Chain> {
        let chain = self.chain.take()?;
        router.finish(&chain);
        Some(chain)
    }
}
