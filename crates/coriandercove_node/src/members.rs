//! Runs membership over the UDP socket.

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

/// Time between two ticks of the machine.
const TICK: Duration = Duration::from_millis(200);
/// Bytes of the IP and UDP headers.
const HEADER_BYTES: usize = 28;
/// Bytes of incarnation, sequence and lengths in a datagram's envelope.
const ENVELOPE_BYTES: usize = 16;

/// The membership machine of a role.
pub enum Machine {
    /// Of an entry.
    Entry(Box<EntryMembership>),
    /// Of an agent.
    Agent(Box<AgentMembership>),
}

impl Machine {
    /// The machine of the process `own`, which knows only `seeds`.
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
pub struct Members {
    machine: RefCell<Machine>,
    clock: MonotonicClock,
    net: OnceCell<Rc<Datagrams>>,
    on_action: Box<dyn Fn(MembershipAction)>,
    tick: RefCell<Option<Subscription>>,
}

impl Members {
    /// Starts membership at the peer address of `own`. `on_action` is told all actions but sends.
    ///
    /// # Errors
    /// The I/O error if the UDP address cannot be bound.
    pub fn start(
        own: &PeerInfo,
        key: ClusterKey,
        machine: Machine,
        timers: &TimerService,
        metrics: &coriandercove_base::telemetry::Metrics,
        on_action: impl Fn(MembershipAction) + 'static,
    ) -> std::io::Result<Rc<Self>> {
        let members = Rc::new(Self {
            machine: RefCell::new(machine),
            clock: MonotonicClock::default(),
            net: OnceCell::new(),
            on_action: Box::new(on_action),
            tick: RefCell::default(),
        });
        let weak = Rc::downgrade(&members);
        let receive = move |from, bytes| {
            if let Some(members) = weak.upgrade() {
                members.event(MembershipEvent::Received { from, bytes });
            }
        };
        let run = (own.node.clone(), own.incarnation);
        let net = Datagrams::bind(own.listen, key, run, metrics, receive)?;
        // The cell is empty, because nothing else sets it.
        let _ = members.net.set(net);
        let weak = Rc::downgrade(&members);
        let tick = timers.subscribe(TICK, move || {
            if let Some(members) = weak.upgrade() {
                members.event(MembershipEvent::Tick);
            }
        });
        *members.tick.borrow_mut() = Some(tick);
        Ok(members)
    }

    /// Takes one event.
    pub fn event(&self, event: MembershipEvent) {
        let now = self.clock.now();
        let actions = match &mut *self.machine.borrow_mut() {
            Machine::Entry(machine) => machine.on_event(now, event),
            Machine::Agent(machine) => machine.on_event(now, event),
        };
        for action in actions {
            match action {
                MembershipAction::Send { to, bytes } => {
                    if let Some(net) = self.net.get() {
                        net.send(to, bytes);
                    }
                }
                other => (self.on_action)(other),
            }
        }
    }

    /// Asks the machine of an entry; `None` at an agent.
    pub fn with_entry<R>(&self, ask: impl FnOnce(&EntryMembership) -> R) -> Option<R> {
        match &*self.machine.borrow() {
            Machine::Entry(machine) => Some(ask(machine)),
            Machine::Agent(_) => None,
        }
    }

    /// Live entries that do not leave, in name order; empty at an agent.
    #[must_use]
    pub fn live_entries(&self) -> Vec<Address> {
        let addresses = self.with_entry(|machine| {
            let live = machine.live_entries();
            let records = live.iter().filter_map(|node| machine.record(node));
            records.map(|r| address(&r.info)).collect()
        });
        addresses.unwrap_or_default()
    }

    /// Sends and receives nothing more.
    pub fn stop(&self) {
        self.tick.borrow_mut().take();
        if let Some(net) = self.net.get() {
            net.close();
        }
    }
}

/// Where a member takes links.
#[must_use]
pub fn address(info: &MemberInfo) -> Address {
    Address {
        node: info.node.clone(),
        addr: info.tcp,
    }
}
