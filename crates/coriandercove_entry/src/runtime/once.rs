//! Calls that must not repeat: runs the actions of their state machine, [`OnceCallTable`].

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use coriandercove_base::rng::Rng;
use coriandercove_base::{Clock, NodeId, RequestId, SortedMap, TargetId, TicketId, Time};
use coriandercove_peer::{Address, Call, Frame};
use coriandercove_state::claim::{Change, ChangeResult, fingerprint, key_hash};
use coriandercove_state::once::{
    Action, Event, ForwardId, KeyAndFingerprint, KeyStatus, OnceCallTable, OnceRequest,
    OnceSettings, Outcome, TargetAgent,
};
use coriandercove_state::store_call::{StoreCall, StoreReply};
use coriandercove_state::ticket::{Ticket, TicketReply};
use futures_util::future::LocalBoxFuture;
use tokio::sync::oneshot;

use super::Inner;

/// Timeout of an agent's reply to a probe or a peek.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of another entry's reply to a forwarded change of a claim.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of connecting to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The store operations that claims on idempotency keys need.
pub trait ClaimStore {
    /// Makes one call. The reply tells whether a failed write may have taken effect.
    fn call(&self, call: StoreCall) -> LocalBoxFuture<'static, StoreReply>;
}

/// A store that is always unavailable, for an entry without a platform store.
pub struct NoStore;

impl ClaimStore for NoStore {
    fn call(&self, _: StoreCall) -> LocalBoxFuture<'static, StoreReply> {
        Box::pin(std::future::ready(StoreReply::Unavailable))
    }
}

/// A call that the state machine has not answered yet.
struct Pending {
    call: Call,
    /// Targets already chosen for the call.
    tried: Vec<TargetId>,
    /// Channel to the waiting caller; taken when the outcome is sent.
    reply: Option<oneshot::Sender<Outcome>>,
}

/// Calls that must not repeat, with the state machine that decides about them.
pub struct OnceCalls {
    machine: RefCell<OnceCallTable>,
    store: Rc<dyn ClaimStore>,
    pending: RefCell<HashMap<RequestId, Pending>>,
    /// Callers that wait for the status of an idempotency key.
    queries: RefCell<HashMap<RequestId, oneshot::Sender<KeyStatus>>>,
    /// Dispatched tickets without a final reply, with their requests and agents.
    dispatched: RefCell<HashMap<TicketId, (RequestId, NodeId)>>,
    /// Probes without a reply, with the agents asked.
    probes: RefCell<HashMap<(RequestId, TicketId), NodeId>>,
    /// Peeks without a reply by the request that caused them, with the agents asked.
    peeks: RefCell<HashMap<RequestId, NodeId>>,
    /// Forwarded changes without a result, with the entries that write them.
    forwarded: RefCell<HashMap<ForwardId, NodeId>>,
    /// Addresses of the live entries, which write claims.
    writers: RefCell<SortedMap<NodeId, Address>>,
    /// Number of callers that wait for an outcome.
    unanswered: Cell<usize>,
}

impl OnceCalls {
    pub fn new(settings: OnceSettings, rng: Rng, store: Rc<dyn ClaimStore>) -> Self {
        Self {
            machine: RefCell::new(OnceCallTable::new(settings, rng)),
            store,
            pending: RefCell::default(),
            queries: RefCell::default(),
            dispatched: RefCell::default(),
            probes: RefCell::default(),
            peeks: RefCell::default(),
            forwarded: RefCell::default(),
            writers: RefCell::default(),
            unanswered: Cell::new(0),
        }
    }

    /// Returns the number of callers that wait for an outcome.
    pub const fn len(&self) -> usize {
        self.unanswered.get()
    }

    fn writer(&self, node: &str) -> Option<Address> {
        self.writers.borrow().get(node).cloned()
    }
}

impl Inner {
    /// Runs a call at most once; with a key, at most once for all requests with that key.
    pub async fn call_once(self: &Rc<Self>, call: Call, key: Option<String>) -> Outcome {
        let req = call.req;
        let service: Arc<str> = call.service.as_str().into();
        let key = key.map(|key| KeyAndFingerprint {
            key: key_hash(&call.account, &key),
            fingerprint: fingerprint(&call.method, &call.path, &call.body),
        });
        let deadline = self.clock.now() + call.deadline;
        let (tx, rx) = oneshot::channel();
        let pending = Pending {
            call,
            tried: Vec::new(),
            reply: Some(tx),
        };
        self.once.pending.borrow_mut().insert(req, pending);
        self.once.unanswered.set(self.once.unanswered.get() + 1);
        self.once_event(Event::Start(OnceRequest {
            req,
            service,
            key,
            deadline,
        }));
        let outcome = rx.await;
        self.once.unanswered.set(self.once.unanswered.get() - 1);
        outcome.unwrap_or(Outcome::Unknown(
            coriandercove_state::once::UnknownOutcomeReason::NoAnswer,
        ))
    }

    /// Returns the status of an idempotency key of a client account.
    pub async fn key_status(self: &Rc<Self>, service: &str, account: &str, key: &str) -> KeyStatus {
        let req = self.next_request_id();
        let (tx, rx) = oneshot::channel();
        self.once.queries.borrow_mut().insert(req, tx);
        let key = key_hash(account, key);
        self.once_event(Event::Query {
            req,
            service: service.into(),
            key,
        });
        rx.await.unwrap_or(KeyStatus::StoreUnavailable)
    }

    /// Passes an event to the state machine and runs the resulting actions.
    pub(super) fn once_event(self: &Rc<Self>, event: Event) {
        let now = self.clock.now();
        let actions = self
            .once
            .machine
            .borrow_mut()
            .on_event(now, wall_ms(), event);
        for action in actions {
            self.once_action(action);
        }
    }

    /// Passes a tick to the state machine if one of its timers is due.
    pub(super) fn once_tick(self: &Rc<Self>, now: Time) {
        let wake = self.once.machine.borrow().next_wake();
        if wake.is_some_and(|wake| wake <= now) {
            self.once_event(Event::Tick);
        }
    }

    fn once_action(self: &Rc<Self>, action: Action) {
        match action {
            Action::Store { op, call } => {
                let result = self.once.store.call(call);
                let entry = Rc::clone(self);
                actix_rt::spawn(async move {
                    let reply = result.await;
                    entry.once_event(Event::Store { op, reply });
                });
            }
            Action::ChooseTarget { req } => {
                let entry = Rc::clone(self);
                actix_rt::spawn(async move {
                    let target = entry.choose_target(req).await;
                    entry.once_event(Event::Target { req, target });
                });
            }
            Action::Dispatch { req, ticket } => self.dispatch_once(req, ticket),
            Action::Probe { req, ticket } => self.probe(req, ticket),
            Action::Peek { req, ticket } => self.peek(req, ticket),
            Action::Reply { req, outcome } => self.reply_once(req, outcome),
            Action::Forward {
                to,
                id,
                service,
                change,
            } => self.forward(&to, id, &service, change),
            Action::ForwardResult { to, id, result } => {
                if let Some((to, links)) = self.once.writer(&to).zip(self.links.get()) {
                    // If this frame is lost, the forwarding entry times out.
                    let _ = links.send(
                        &to,
                        Frame::ClaimResult {
                            id,
                            result: Box::new(result),
                        },
                    );
                }
            }
            Action::Status { req, status } => {
                if let Some(tx) = self.once.queries.borrow_mut().remove(&req) {
                    // The receiver is dropped if the caller has disconnected.
                    let _ = tx.send(status);
                }
            }
        }
    }

    /// Chooses a replica to which a connection exists or can be made, and returns its agent with
    /// the present incarnation.
    async fn choose_target(&self, req: RequestId) -> Option<TargetAgent> {
        loop {
            let to = self.next_replica(req)?;
            let links = self.links.get()?;
            let connected = tokio::time::timeout(CONNECT_TIMEOUT, links.connect(&to)).await;
            if let Ok(Some(peer)) = connected {
                return Some(TargetAgent {
                    node: peer.node,
                    incarnation: peer.incarnation,
                });
            }
        }
    }

    /// Returns the next replica that was not chosen for the call before.
    fn next_replica(&self, req: RequestId) -> Option<Address> {
        let mut pending = self.once.pending.borrow_mut();
        let pending = pending.get_mut(&req)?;
        let mut core = self.core.borrow_mut();
        let to = core
            .router_mut()
            .choose_replica(&pending.call.service, &pending.tried)?;
        pending.tried.push(to.node.clone());
        Some(to)
    }

    /// Sends a call with its ticket to the ticket's agent.
    fn dispatch_once(self: &Rc<Self>, req: RequestId, ticket: Ticket) {
        let (id, node) = (ticket.id, ticket.node.clone());
        let call = self.once.pending.borrow().get(&req).map(|p| p.call.clone());
        let to = self.core.borrow_mut().router_mut().address(&node);
        let (Some(mut call), Some(to)) = (call, to) else {
            return self.once_event(Event::NotSent { req, ticket: id });
        };
        call.ticket = Some(ticket);
        self.once.dispatched.borrow_mut().insert(id, (req, node));
        let sent = self
            .links
            .get()
            .map(|links| links.send(&to, Frame::Call(Box::new(call))));
        if !matches!(sent, Some(Ok(()))) {
            self.once_not_sent(id);
        }
    }

    /// Reports a dispatch that was never sent.
    pub(super) fn once_not_sent(self: &Rc<Self>, ticket: TicketId) {
        let dispatched = self.once.dispatched.borrow_mut().remove(&ticket);
        if let Some((req, _)) = dispatched {
            self.once_event(Event::NotSent { req, ticket });
        }
    }

    /// Asks the ticket's agent what became of the ticket, which burns it if the agent has not
    /// seen it.
    fn probe(self: &Rc<Self>, req: RequestId, ticket: Ticket) {
        let (id, node) = (ticket.id, ticket.node.clone());
        let to = self.core.borrow_mut().router_mut().address(&node);
        self.once.probes.borrow_mut().insert((req, id), node);
        let links = self.links.get();
        let sent = to
            .zip(links)
            .map(|(to, links)| links.send(&to, Frame::Probe { req, ticket }));
        if !matches!(sent, Some(Ok(()))) {
            return self.probe_done(req, id, None);
        }
        let entry = Rc::clone(self);
        actix_rt::spawn(async move {
            tokio::time::sleep(PROBE_TIMEOUT).await;
            entry.probe_done(req, id, None);
        });
    }

    /// Ends a probe with its reply, or with `None` if it failed or timed out. Later replies to the
    /// same probe are ignored.
    pub(super) fn probe_done(
        self: &Rc<Self>,
        req: RequestId,
        ticket: TicketId,
        reply: Option<TicketReply>,
    ) {
        let waiting = self.once.probes.borrow_mut().remove(&(req, ticket));
        if waiting.is_some() {
            self.once_event(Event::Probed { req, ticket, reply });
        }
    }

    /// Asks the ticket's agent what became of the ticket, without changing it.
    fn peek(self: &Rc<Self>, req: RequestId, ticket: Ticket) {
        let node = ticket.node.clone();
        let to = self.core.borrow_mut().router_mut().address(&node);
        self.once.peeks.borrow_mut().insert(req, node);
        let to = to.zip(self.links.get());
        let sent = to.map(|(to, links)| links.send(&to, Frame::Peek { req, ticket }));
        if !matches!(sent, Some(Ok(()))) {
            return self.peek_done(req, None);
        }
        let entry = Rc::clone(self);
        actix_rt::spawn(async move {
            tokio::time::sleep(PROBE_TIMEOUT).await;
            entry.peek_done(req, None);
        });
    }

    /// Ends a peek with its reply, or with `None` if it failed or timed out. Later replies to the
    /// same peek are ignored.
    pub(super) fn peek_done(self: &Rc<Self>, req: RequestId, reply: Option<TicketReply>) {
        let waiting = self.once.peeks.borrow_mut().remove(&req);
        if waiting.is_some() {
            self.once_event(Event::Peeked { req, reply });
        }
    }

    /// Handles an agent's reply to a dispatched ticket; any reply but `Running` is final.
    pub(super) fn ticket_reply(
        self: &Rc<Self>,
        req: RequestId,
        ticket: TicketId,
        reply: TicketReply,
    ) {
        if reply != TicketReply::Running {
            self.once.dispatched.borrow_mut().remove(&ticket);
        }
        self.once_event(Event::Agent { req, ticket, reply });
    }

    /// Ends everything that waits for a node whose link failed. Dispatched calls may have run.
    pub(super) fn once_link_down(self: &Rc<Self>, node: &NodeId) {
        let dispatched: Vec<_> = {
            let all = self.once.dispatched.borrow();
            all.iter()
                .filter(|(_, (_, n))| n == node)
                .map(|(t, (r, _))| (*t, *r))
                .collect()
        };
        for (ticket, req) in dispatched {
            self.once.dispatched.borrow_mut().remove(&ticket);
            self.once_event(Event::LinkLost { req, ticket });
        }
        let probes: Vec<_> = {
            let all = self.once.probes.borrow();
            all.iter()
                .filter(|(_, n)| *n == node)
                .map(|(probe, _)| *probe)
                .collect()
        };
        for (req, ticket) in probes {
            self.probe_done(req, ticket, None);
        }
        let peeks: Vec<_> = {
            let all = self.once.peeks.borrow();
            let lost = all.iter().filter(|(_, n)| *n == node);
            lost.map(|(req, _)| *req).collect()
        };
        for req in peeks {
            self.peek_done(req, None);
        }
        let forwarded: Vec<_> = {
            let all = self.once.forwarded.borrow();
            all.iter()
                .filter(|(_, n)| *n == node)
                .map(|(id, _)| *id)
                .collect()
        };
        for id in forwarded {
            self.forward_ended(id, None);
        }
    }

    /// Sets the live entries, each of which is the usual writer of some shards of the claims.
    pub(super) fn set_claim_writers(self: &Rc<Self>, entries: &[Address], names: &[NodeId]) {
        let writers = entries.iter().map(|e| (e.node.clone(), e.clone()));
        *self.once.writers.borrow_mut() = writers.collect();
        let Some(own) = self.links.get().map(|links| links.own().node.clone()) else {
            return;
        };
        self.once_event(Event::Entries {
            me: own,
            live: names.into(),
        });
    }

    /// Forwards a change of a claim to the entry that usually writes its shard.
    fn forward(self: &Rc<Self>, to: &NodeId, id: ForwardId, service: &str, change: Change) {
        let change = Box::new(change);
        let frame = Frame::ForwardClaim {
            id,
            service: service.to_owned(),
            change,
        };
        self.once.forwarded.borrow_mut().insert(id, to.clone());
        let to = self.once.writer(to).zip(self.links.get());
        if !matches!(to.map(|(to, links)| links.send(&to, frame)), Some(Ok(()))) {
            return self.forward_ended(id, None);
        }
        let entry = Rc::clone(self);
        actix_rt::spawn(async move {
            tokio::time::sleep(FORWARD_TIMEOUT).await;
            entry.forward_ended(id, None);
        });
    }

    /// Ends a forwarded change with its result, or with `None` if it failed or timed out. Later
    /// results are ignored.
    pub(super) fn forward_ended(self: &Rc<Self>, id: ForwardId, result: Option<ChangeResult>) {
        let waiting = self.once.forwarded.borrow_mut().remove(&id);
        if waiting.is_some() {
            self.once_event(Event::ForwardEnded { id, result });
        }
    }

    /// Sends the outcome of a call to its caller.
    fn reply_once(&self, req: RequestId, outcome: Outcome) {
        if let Some(mut pending) = self.once.pending.borrow_mut().remove(&req)
            && let Some(tx) = pending.reply.take()
        {
            // The receiver is dropped if the caller has disconnected.
            let _ = tx.send(outcome);
        }
    }
}

/// Returns the wall clock time in milliseconds since the Unix epoch; 0 before it.
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
