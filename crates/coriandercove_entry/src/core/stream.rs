//! One stream at the entry.

use std::time::Duration;

use coriandercove_base::{Attempt, NodeId, Position, RequestId, TargetId, Time, Token};
use coriandercove_peer::{Address, Feed, Frame, Hop, OpenStage, TokenFrame};
use coriandercove_policy::chain::Chain;

use super::fault::{self, Fault};
use super::question::Question;
use super::{CoreAction, CoreConfig, Router, StreamSpec};

/// Bounds of the time without a token after which a chain counts as stalled.
const MIN_STALL: Duration = Duration::from_millis(300);
const MAX_STALL: Duration = Duration::from_secs(2);
/// Expected times between tokens after which a chain counts as stalled.
const STALL_FACTOR: u32 = 8;
/// Allowance for the first token beyond three times its estimate.
const FIRST_TOKEN_ALLOWANCE: Duration = Duration::from_secs(1);
/// How often a stream without a chain asks for one.
pub const CHAIN_RETRY: Duration = Duration::from_millis(20);

/// What a stream needs of a chain.
#[derive(Debug, Clone)]
pub struct ChainNeed {
    /// The model.
    pub model: coriandercove_base::ModelId,
    /// Tokens to prefill.
    pub prompt_tokens: u32,
    /// Tokens that may still be generated.
    pub max_tokens: u32,
    /// Targets that must not be used, sorted.
    pub exclude: Vec<TargetId>,
}

/// One stream at the entry.
pub struct Stream {
    spec: StreamSpec,
    /// The chain in use; none while the stream waits for admission or for a chain.
    chain: Option<Chain>,
    /// Where the stages of the chain listen. Kept, because a new configuration can take a target
    /// out while its stage has to be freed.
    agents: Vec<Address>,
    /// Number of the chain in use; 0 before the first.
    attempt: Attempt,
    /// Tokens passed on to the caller, in order. Together with the prompt they are all that is
    /// needed to go on elsewhere.
    emitted: Vec<Token>,
    /// Tokens that the caller has taken.
    consumed: u32,
    /// Position below which the head may run.
    granted: Position,
    /// Time of the last token or of the start of the chain.
    progress: Time,
    /// Whether the current chain has yielded a token.
    chain_yielded: bool,
    /// Time at which a stream without a chain asks for one again.
    ask_again: Time,
    /// Targets that failed this stream, sorted.
    failed: Vec<TargetId>,
    /// The question to the stages of a chain that has stalled.
    pub question: Option<Question>,
    /// Targets whose stages took part in the last token and have not been lost since. Only they
    /// are known to hold the state of all positions.
    intact: Vec<TargetId>,
    /// Whether the stream has moved since its last token.
    has_moved: bool,
    /// Whether a stage of any attempt can have run.
    may_have_run: bool,
    /// The same for the attempts before the current one.
    ran_before: bool,
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
            granted: 0,
            progress: now,
            chain_yielded: false,
            ask_again: Time::MAX,
            failed: Vec::new(),
            question: None,
            intact: Vec::new(),
            has_moved: false,
            may_have_run: false,
            ran_before: false,
        }
    }

    /// Whether a stage of any attempt can have run.
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// The head proved that it did not open its stage, so nothing of this attempt can have run.
    pub const fn head_refused(&mut self) {
        self.may_have_run = self.ran_before;
    }

    pub const fn req(&self) -> RequestId {
        self.spec.req
    }

    pub const fn attempt(&self) -> Attempt {
        self.attempt
    }

    pub fn emitted(&self) -> &[Token] {
        &self.emitted
    }

    /// Position of the next token.
    pub fn next_position(&self) -> Position {
        (self.spec.prompt.len() + self.emitted.len()) as Position
    }

    /// Tokens used so far.
    pub fn cost(&self) -> u64 {
        (self.spec.prompt.len() + self.emitted.len()) as u64
    }

    pub fn targets(&self) -> Vec<TargetId> {
        self.chain
            .iter()
            .flat_map(|c| c.hops.iter().map(|h| h.target.clone()))
            .collect()
    }

    pub fn deadline_passed(&self, now: Time) -> bool {
        now >= self.spec.deadline
            || (self.emitted.is_empty() && now >= self.spec.first_token_deadline)
    }

    pub fn chain_request(&self) -> ChainNeed {
        ChainNeed {
            model: self.spec.model.clone(),
            prompt_tokens: self.next_position(),
            max_tokens: self.spec.max_tokens - self.emitted.len() as u32,
            exclude: self.failed.clone(),
        }
    }

    /// Index of the stage that runs at `node`.
    pub fn hop_of(&self, node: &NodeId) -> Option<u16> {
        let hops = &self.chain.as_ref()?.hops;
        hops.iter()
            .position(|h| h.target == *node)
            .map(|i| i as u16)
    }

    /// Remembers that a target failed this stream.
    pub fn exclude(&mut self, target: TargetId) {
        if let Err(i) = self.failed.binary_search(&target) {
            self.failed.insert(i, target);
        }
    }

    /// Forgets which targets failed, because nothing else is left to try.
    pub fn forget_failures(&mut self) {
        self.failed.clear();
    }

    pub const fn wait_for_chain(&mut self, now: Time, wait: Duration) {
        self.ask_again = now.saturating_add(wait);
    }

    /// Whether the stage at a target holds the state of all positions.
    pub fn is_intact(&self, target: &TargetId) -> bool {
        self.intact.contains(target)
    }

    /// The stage at a target is lost or has lost its state.
    pub fn lose(&mut self, target: &TargetId) {
        self.intact.retain(|t| t != target);
    }

    /// Time by which the whole answer must have been given.
    pub const fn deadline(&self) -> Time {
        self.spec.deadline
    }

    /// Counts a move; whether it is the first since the last token.
    pub const fn count_move(&mut self) -> bool {
        let is_first = !self.has_moved;
        self.has_moved = true;
        is_first
    }

    /// Whether the stream has no chain and should ask for one now.
    pub fn wants_chain(&self, now: Time) -> bool {
        self.chain.is_none() && now >= self.ask_again
    }

    /// Starts the stream on a chain whose stages hold no state of it.
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

    /// Starts the stream on a chain whose stages hold state up to the positions in `held`.
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
        self.ran_before = self.may_have_run;
        self.may_have_run = true;
        self.progress = now;
        self.question = None;
        self.chain_yielded = false;
        self.ask_again = Time::MAX;
        let hops = chain.hops.iter().zip(held).filter_map(|(hop, held)| {
            Some(Hop {
                agent: self
                    .agent(&hop.target)
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
        self.granted = 0;
        self.grant(cfg, &head, actions);
    }

    const fn end_position(&self) -> Position {
        self.spec.prompt.len() as Position + self.spec.max_tokens
    }

    /// Prompt and emitted tokens from a position on.
    fn tokens_from(&self, position: Position) -> Vec<Token> {
        let all = self.spec.prompt.iter().chain(&self.emitted);
        all.skip(position as usize).copied().collect()
    }

    /// Accepts a token if it is the next one of the current attempt.
    pub fn accept(&mut self, now: Time, frame: &TokenFrame) -> bool {
        let any = fault::is_on(Fault::AcceptAnyPosition);
        if frame.attempt != self.attempt || (frame.position != self.next_position() && !any) {
            return false;
        }
        self.emitted.push(frame.token);
        self.progress = now;
        self.question = None;
        if self.has_moved || !self.chain_yielded {
            self.intact = self.targets();
        }
        self.has_moved = false;
        self.chain_yielded = true;
        true
    }

    /// The caller has taken `tokens` tokens in all.
    pub fn consumed(&mut self, tokens: u32, cfg: &CoreConfig, actions: &mut Vec<CoreAction>) {
        self.consumed = self.consumed.max(tokens);
        let wanted = self.credit_wanted(cfg);
        // Credit is renewed in steps of half the window, so that it costs few frames.
        if wanted < self.granted + cfg.credit_tokens / 2 && wanted < self.end_position() {
            return;
        }
        if let Some(head) = self.chain.as_ref().and(self.agents.first()).cloned() {
            self.grant(cfg, &head, actions);
        }
    }

    fn credit_wanted(&self, cfg: &CoreConfig) -> Position {
        self.spec.prompt.len() as Position + self.consumed + cfg.credit_tokens
    }

    fn grant(&mut self, cfg: &CoreConfig, head: &Address, actions: &mut Vec<CoreAction>) {
        let up_to = self.credit_wanted(cfg).min(self.end_position());
        if up_to <= self.granted {
            return;
        }
        self.granted = up_to;
        let credit = Frame::Credit {
            req: self.spec.req,
            attempt: self.attempt,
            up_to,
        };
        actions.push(CoreAction::Send(head.clone(), credit));
    }

    /// Whether the chain should have yielded a token by now.
    pub fn stalled(&self, now: Time) -> bool {
        let Some(chain) = &self.chain else {
            return false;
        };
        // A slow caller holds the chain up; that is no fault of the chain.
        if self.next_position() > self.granted {
            return false;
        }
        let allowance = if self.chain_yielded {
            (chain.per_token * STALL_FACTOR).clamp(MIN_STALL, MAX_STALL)
        } else {
            chain.first_token * 3 + FIRST_TOKEN_ALLOWANCE
        };
        now.saturating_sub(self.progress) > allowance
    }

    /// Whether the chain has stalled for so long that it is given up although its stages answer.
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
        now.saturating_sub(self.progress) > limit
    }

    /// Where the stages of the chain in use listen.
    pub fn agents(&self) -> &[Address] {
        &self.agents
    }

    /// Frees the stages of the current chain.
    pub fn cancel_stages(&mut self, router: &mut Router, actions: &mut Vec<CoreAction>) {
        let Some(chain) = self.release_chain(router) else {
            return;
        };
        for hop in &chain.hops {
            actions.extend(self.cancel_at(&hop.target));
        }
    }

    /// Frees the stage at a target of the chain in use or last used.
    pub fn cancel_at(&self, target: &TargetId) -> Option<CoreAction> {
        let cancel = Frame::CancelStage {
            req: self.spec.req,
            attempt: self.attempt,
        };
        Some(CoreAction::Send(self.agent(target)?, cancel))
    }

    /// Where the agent of a target of the chain in use or last used listens.
    fn agent(&self, target: &TargetId) -> Option<Address> {
        self.agents.iter().find(|a| a.node == *target).cloned()
    }

    /// Gives the chain up without telling its stages.
    pub fn release_chain(&mut self, router: &mut Router) -> Option<Chain> {
        let chain = self.chain.take()?;
        router.finish(&chain);
        Some(chain)
    }
}
