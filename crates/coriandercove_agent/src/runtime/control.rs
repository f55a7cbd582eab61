//! Connects the agent to membership and to the distribution of the configuration.

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

/// Maximum number of entries that are notified over their link when this agent leaves. Beyond it,
/// the entry that was added first is dropped.
const MAX_ENTRIES: usize = 1024;

/// How often the engine's `EngineInfo` is queried, which changes only by a placement order.
const INFO_PERIOD: Duration = Duration::from_secs(10);
/// Time after which an engine that did not answer is queried again.
const INFO_RETRY: Duration = Duration::from_millis(500);

/// Membership and configuration of the agent.
pub struct Control {
    pub config: Rc<ConfigRunner>,
    pub members: Rc<MembershipRunner>,
    /// Entries that have sent frames to this agent.
    entries: RefCell<Vec<Address>>,
}

impl Control {
    /// Starts membership, the distribution of the configuration and, with an engine, the task that
    /// announces its `EngineInfo`.
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
        let config_log = log.clone();
        let on_config = move |version, _| {
            slog::info!(config_log, "configuration in force"; "version" => version);
            if let Some(inner) = weak.upgrade() {
                inner.announce_config_version(version);
            }
        };
        // Agents get the configuration from entries, so that they cause no load on the store.
        let node = own.node.clone();
        let config = ConfigRunner::new(node, None, metrics, log.clone(), on_config);
        let weak = Rc::downgrade(inner);
        let on_action = move |action| {
            if let Some(inner) = weak.upgrade() {
                inner.on_membership_action(action, &log);
            }
        };
        // The seed has no effect: agents make no random choices in membership.
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

    /// Records an entry as one to notify when this agent leaves.
    fn record_entry(&self, from: &PeerInfo) {
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

/// Announces the engine's `EngineInfo` through membership, and again whenever it changes, as long
/// as the agent runs.
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
            agent.announce_engine_info(info.as_ref());
            announced = info;
        }
        drop(agent);
        tokio::time::sleep(wait).await;
    }
}

impl Inner {
    fn announce_engine_info(&self, info: Option<&EngineInfo>) {
        let detail = serde_json::to_string(&info).unwrap_or_default();
        if let Some(control) = self.control.get() {
            control.members.on_event(MembershipEvent::Detail(detail));
        }
    }

    fn announce_config_version(&self, version: ConfigVersion) {
        if let Some(control) = self.control.get() {
            let event = MembershipEvent::ConfigVersion(version);
            control.members.on_event(event);
        }
    }

    fn on_membership_action(&self, action: MembershipAction, log: &Logger) {
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

    /// Handles a frame of the distribution of the configuration; returns any other frame to the
    /// caller.
    pub(super) fn handle_control_frame(&self, from: &PeerInfo, frame: Frame) -> Option<Frame> {
        match self.control.get() {
            Some(control) => {
                control.record_entry(from);
                control.config.on_frame(from, frame)
            }
            None => Some(frame),
        }
    }

    /// Passes the current load to membership, which sends it with the next heartbeat.
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

    /// Announces that this agent takes no new work: to all entries by a heartbeat, and over the
    /// link to each entry that has sent frames.
    pub(super) fn announce_leaving(&self) {
        let Some((control, links)) = self.control.get().zip(self.links.get()) else {
            return;
        };
        control.members.on_event(MembershipEvent::Leave);
        for entry in control.entries.borrow().iter() {
            if links.is_up(&entry.node) {
                // A lost frame does no harm, because the heartbeat announces the same.
                let _ = links.send(entry, Frame::Leaving);
            }
        }
    }
}
