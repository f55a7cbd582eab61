//! Connects membership and the configuration to the agent.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use coriandercove_base::ConfigVersion;
use coriandercove_base::telemetry::Metrics;
use coriandercove_base::timer::TimerService;
use coriandercove_node::{ConfigRunner, MembershipMachine, MembershipRunner};
use coriandercove_peer::{Address, ClusterKey, Frame, PeerInfo, Role};
use coriandercove_state::membership::{LoadReport, MembershipAction, MembershipEvent};
use coriandercove_target::EngineInfo;
use slog::Logger;

use super::Inner;

/// Entries with a link to this agent that are told when it leaves.
const MAX_ENTRIES: usize = 1024;

/// How often the engine is asked what it holds, which changes only by an order.
const INFO_PERIOD: Duration = Duration::from_secs(10);
/// How soon an engine that did not answer is asked again.
const INFO_RETRY: Duration = Duration::from_millis(500);

/// Membership and configuration of the agent.
pub struct Control {
    pub config: Rc<ConfigRunner>,
    pub members: Rc<MembershipRunner>,
    /// Entries that have sent frames.
    entries: RefCell<Vec<Address>>,
}

impl Control {
    /// Starts both.
    pub fn start(
        inner: &Rc<Inner>,
        key: ClusterKey,
        seeds: Vec<SocketAddr>,
        (timers, metrics, log): (&TimerService, &Metrics, Logger),
    ) -> std::io::Result<()> {
        let Some(links) = inner.links.get().cloned() else {
            return Ok(());
        };
        let own = links.own().clone();
        let weak = Rc::downgrade(inner);
        let seen = log.clone();
        let on_config = move |version, _| {
            slog::info!(seen, "configuration in force"; "version" => version);
            if let Some(inner) = weak.upgrade() {
                inner.config_in_force(version);
            }
        };
        // Agents learn from entries, which spares the store.
        let node = own.node.clone();
        let config = ConfigRunner::new(node, None, metrics, log.clone(), on_config);
        let weak = Rc::downgrade(inner);
        let on_action = move |action| {
            if let Some(inner) = weak.upgrade() {
                inner.member_action(action, &log);
            }
        };
        // Agents make no random choices in membership.
        let machine = MembershipMachine::new(&own, seeds, 0);
        let members = MembershipRunner::start(&own, key, machine, timers, metrics, on_action)?;
        let control = Self {
            config: Rc::clone(&config),
            members,
            entries: RefCell::default(),
        };
        // The cell is empty, because nothing else sets it.
        let _ = inner.control.set(control);
        config.start(links, timers);
        if inner.driver.get().is_some() {
            actix_rt::spawn(announce_engine(Rc::downgrade(inner)));
        }
        Ok(())
    }

    fn remember(&self, from: &PeerInfo) {
        let mut entries = self.entries.borrow_mut();
        if from.role != Role::Entry || entries.iter().any(|e| e.node == from.node) {
            return;
        }
        if entries.len() == MAX_ENTRIES {
            entries.remove(0);
        }
        entries.push(from.address());
    }
}

/// Tells membership what the engine holds, again when that changes, as long as the agent runs.
async fn announce_engine(agent: Weak<Inner>) {
    let mut announced = None;
    while let Some(agent) = agent.upgrade() {
        let Some(driver) = agent.driver.get().cloned() else {
            return;
        };
        let info = driver.info().await;
        let wait = if info.is_some() {
            INFO_PERIOD
        } else {
            INFO_RETRY
        };
        if info.is_some() && info != announced {
            agent.announce_detail(info.as_ref());
            announced = info;
        }
        drop(agent);
        tokio::time::sleep(wait).await;
    }
}

impl Inner {
    fn announce_detail(&self, info: Option<&EngineInfo>) {
        let detail = serde_json::to_string(&info).unwrap_or_default();
        if let Some(control) = self.control.get() {
            control.members.on_event(MembershipEvent::Detail(detail));
        }
    }

    fn config_in_force(&self, version: ConfigVersion) {
        if let Some(control) = self.control.get() {
            let event = MembershipEvent::ConfigVersion(version);
            control.members.on_event(event);
        }
    }

    fn member_action(&self, action: MembershipAction, log: &Logger) {
        match action {
            MembershipAction::PeerConfig { peer, tcp, version } => {
                if let Some(control) = self.control.get() {
                    let peer = Address {
                        node: peer,
                        addr: tcp,
                    };
                    control.config.on_peer_version(peer, version);
                }
            }
            MembershipAction::AdoptIncarnation(incarnation) => {
                slog::warn!(log, "an earlier run has a higher incarnation"; "adopted" => incarnation);
            }
            MembershipAction::Superseded(incarnation) => {
                slog::error!(log, "a later run of this node has taken over"; "incarnation" => incarnation);
                self.leaving.set(true);
                self.stages.borrow_mut().leave();
            }
            MembershipAction::Send { .. }
            | MembershipAction::Event(_)
            | MembershipAction::PullTable { .. } => {}
        }
    }

    /// Takes frames of the configuration; returns any other frame.
    pub(super) fn control_frame(&self, from: &PeerInfo, frame: Frame) -> Option<Frame> {
        match self.control.get() {
            Some(control) => {
                control.remember(from);
                control.config.on_frame(from, frame)
            }
            None => Some(frame),
        }
    }

    /// Tells membership the load, which the next heartbeat carries.
    pub(super) fn report_load(&self) {
        let running = self.stages.borrow().len() + self.calls.get();
        let load = LoadReport {
            queued: 0,
            running: u16::try_from(running).unwrap_or(u16::MAX),
            used: 0,
        };
        if let Some(control) = self.control.get() {
            control.members.on_event(MembershipEvent::Load(load));
        }
    }

    /// Announces to all entries that this agent takes no new work: by a heartbeat, and over the
    /// links of entries that have sent work.
    pub(super) fn announce_leaving(&self) {
        let Some((control, links)) = self.control.get().zip(self.links.get()) else {
            return;
        };
        control.members.on_event(MembershipEvent::Leave);
        for entry in control.entries.borrow().iter() {
            if links.is_up(&entry.node) {
                // The heartbeat says the same if this is lost.
                let _ = links.send(entry, Frame::Leaving);
            }
        }
    }
}
