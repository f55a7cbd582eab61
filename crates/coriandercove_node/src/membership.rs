//! Runs a node's membership state machine over its UDP socket.

use std::cell::{OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coriandercove_base::timer::{Subscription, TimerService};
use coriandercove_base::{Clock, MonotonicClock};
use coriandercove_peer::datagram::OVERHEAD_BYTES;
use coriandercove_peer::{Address, ClusterKey, PeerInfo, Role};
use coriandercove_state::membership::{
    self, AgentMembership, EntryMembership, MemberInfo, MembershipAction, MembershipEvent,
    MembershipSettings,
};

use crate::datagrams::Datagrams;

/// Time between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes of the IPv4 and UDP headers.
const HEADER_BYTES: usize = 28;
/// Bytes that the envelope of a datagram takes for the incarnation, the sequence number and the
/// length prefixes, without the sender's name.
const ENVELOPE_BYTES: usize = 16;

/// Membership state machine of a node, by its role.
pub enum MembershipMachine {
    /// State machine of an entry, which keeps a table of all members.
    Entry(Box<EntryMembership>),
    /// State machine of an agent, which sends heartbeats to entries.
    Agent(Box<AgentMembership>),
}

impl MembershipMachine {
    /// Creates the state machine of the process `own`. It knows no other member yet, only the
    /// addresses `seeds` to join through. `seed` seeds the random choices of an entry; an agent
    /// ignores it.
    #[must_use]
    pub fn new(own: &PeerInfo, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let role = match own.role {
            Role::Entry => membership::Role::Entry,
            Role::Agent => membership::Role::Agent,
        };
        let me = MemberInfo {
            node: own.node.clone(),
            zone: own.zone.clone(),
            role,
            udp: own.listen,
            tcp: own.listen,
            detail: String::new(),
            detail_version: 0,
        };
        let mut settings = MembershipSettings::new(me, own.incarnation, seeds);
        settings.overhead_bytes = HEADER_BYTES + OVERHEAD_BYTES + ENVELOPE_BYTES + own.node.len();
        match own.role {
            Role::Entry => Self::Entry(Box::new(EntryMembership::new(settings, seed))),
            Role::Agent => Self::Agent(Box::new(AgentMembership::new(settings))),
        }
    }
}

/// Runs the membership machine of a node.
pub struct MembershipRunner {
    machine: RefCell<MembershipMachine>,
    clock: MonotonicClock,
    datagrams: OnceCell<Rc<Datagrams>>,
    on_action: Box<dyn Fn(MembershipAction)>,
    tick: RefCell<Option<Subscription>>,
}

impl MembershipRunner {
    /// Binds the UDP socket at the peer address of `own` and starts to send and receive. Sends are
    /// done here; every other action is passed to `on_action`.
    ///
    /// # Errors
    /// Returns the I/O error if the UDP address cannot be bound.
    pub fn start(
        own: &PeerInfo,
        key: ClusterKey,
        machine: MembershipMachine,
        timers: &TimerService,
        metrics: &coriandercove_base::telemetry::Metrics,
        on_action: impl Fn(MembershipAction) + 'static,
    ) -> std::io::Result<Rc<Self>> {
        let runner = Rc::new(Self {
            machine: RefCell::new(machine),
            clock: MonotonicClock::default(),
            datagrams: OnceCell::new(),
            on_action: Box::new(on_action),
            tick: RefCell::default(),
        });
        let weak = Rc::downgrade(&runner);
        let receive = move |from, bytes| {
            if let Some(runner) = weak.upgrade() {
                runner.on_event(MembershipEvent::Received { from, bytes });
            }
        };
        let identity = (own.node.clone(), own.incarnation);
        let datagrams = Datagrams::bind(own.listen, key, identity, metrics, receive)?;
        // Cannot fail: this is the only place that sets the cell.
        let _ = runner.datagrams.set(datagrams);
        let weak = Rc::downgrade(&runner);
        let tick = timers.subscribe(TICK_INTERVAL, move || {
            if let Some(runner) = weak.upgrade() {
                runner.on_event(MembershipEvent::Tick);
            }
        });
        *runner.tick.borrow_mut() = Some(tick);
        Ok(runner)
    }

    /// Passes an event to the state machine and executes the resulting actions.
    pub fn on_event(&self, event: MembershipEvent) {
        let now = self.clock.now();
        let actions = match &mut *self.machine.borrow_mut() {
            MembershipMachine::Entry(machine) => machine.on_event(now, event),
            MembershipMachine::Agent(machine) => machine.on_event(now, event),
        };
        for action in actions {
            match action {
                MembershipAction::Send { to, bytes } => {
                    if let Some(datagrams) = self.datagrams.get() {
                        datagrams.send(to, bytes);
                    }
                }
                other => (self.on_action)(other),
            }
        }
    }

    /// Calls `read` with the state machine of an entry; returns `None` at an agent.
    pub fn with_entry<R>(&self, read: impl FnOnce(&EntryMembership) -> R) -> Option<R> {
        match &*self.machine.borrow() {
            MembershipMachine::Entry(machine) => Some(read(machine)),
            MembershipMachine::Agent(_) => None,
        }
    }

    /// Returns the addresses of the entries that are alive and not leaving, in name order; empty at
    /// an agent.
    #[must_use]
    pub fn live_entries(&self) -> Vec<Address> {
        let addresses = self.with_entry(|machine| {
            let live = machine.live_entries();
            let records = live.iter().filter_map(|node| machine.record(node));
            records.map(|r| address(&r.info)).collect()
        });
        addresses.unwrap_or_default()
    }

    /// Stops the ticks and receiving. Afterwards only [`Self::on_event`] can still cause sends.
    pub fn stop(&self) {
        self.tick.borrow_mut().take();
        if let Some(datagrams) = self.datagrams.get() {
            datagrams.close();
        }
    }
}

/// Returns the address at which a member accepts links.
#[must_use]
pub fn address(info: &MemberInfo) -> Address {
    Address {
        node: info.node.clone(),
        addr: info.tcp,
    }
}
