//! Control plane of the entry: membership, the replicated configuration and the VM list.

use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use coriandercove_base::telemetry::{Metrics, count};
use coriandercove_base::timer::{Subscription, TimerService};
use coriandercove_base::{Clock, ConfigVersion, TargetId};
use coriandercove_config::Config;
use coriandercove_node::{ConfigRunner, MembershipMachine, MembershipRunner, membership};
use coriandercove_peer::{Address, ClusterKey, Frame, PeerInfo};
use coriandercove_platform::{Store, VmSource, VmState};
use coriandercove_policy::chain::LoadReport;
use coriandercove_state::membership::{
    MemberEvent, MemberInfo, MemberRecord, MembershipAction, MembershipEvent, Role, VmListed,
};
use rand::Rng as _;

use super::Inner;
use crate::core::UnheardTargets;

/// Interval at which the VM list is polled; the list lags by more than that.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which the configured targets are compared with the known members.
const UNHEARD_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Settings and data sources of the control plane.
pub struct ControlPlaneConfig {
    pub key: ClusterKey,
    pub seeds: Vec<std::net::SocketAddr>,
    pub store: Option<Rc<dyn Store>>,
    pub vm_list: Option<Rc<dyn VmSource>>,
}

/// Membership and configuration of a running entry.
pub struct ControlPlane {
    pub config: Rc<ConfigRunner>,
    pub members: Rc<MembershipRunner>,
    /// Live entries as last passed to the core, including this one.
    pub entries: RefCell<Vec<Address>>,
    /// Timer that polls the VM list.
    vm_list: RefCell<Option<Subscription>>,
    /// Configured targets that membership has not heard of.
    unheard: RefCell<UnheardTargets>,
    /// Timer that looks for them.
    unheard_check: RefCell<Option<Subscription>>,
}

impl ControlPlane {
    /// Starts membership and the configuration runner and stores them in `inner.control`.
    pub fn start(
        inner: &Rc<Inner>,
        cfg: ControlPlaneConfig,
        timers: &TimerService,
        metrics: &Metrics,
    ) -> std::io::Result<()> {
        let Some(links) = inner.links.get().cloned() else {
            return Ok(());
        };
        let own = links.own().clone();
        let weak = Rc::downgrade(inner);
        let on_config = move |version, config| apply(&weak, version, config);
        let (node, log) = (own.node.clone(), inner.log.clone());
        let config = ConfigRunner::new(node, cfg.store, metrics, log, on_config);
        let machine = MembershipMachine::new(&own, cfg.seeds, inner.ids.borrow_mut().random());
        let weak = Rc::downgrade(inner);
        let on_action = move |action| {
            if let Some(inner) = weak.upgrade() {
                inner.member_action(action);
            }
        };
        let members = MembershipRunner::start(&own, cfg.key, machine, timers, metrics, on_action)?;
        let control = Self {
            config: Rc::clone(&config),
            members,
            entries: RefCell::default(),
            vm_list: RefCell::default(),
            unheard: RefCell::default(),
            unheard_check: RefCell::default(),
        };
        // This cannot fail: nothing else sets the cell.
        let _ = inner.control.set(control);
        inner.refresh_entries();
        config.start(links, timers);
        let weak = Rc::downgrade(inner);
        let check = timers.subscribe(UNHEARD_CHECK_INTERVAL, move || {
            if let Some(inner) = weak.upgrade() {
                inner.give_up_unheard_targets();
            }
        });
        if let Some(control) = inner.control.get() {
            *control.unheard_check.borrow_mut() = Some(check);
        }
        if let Some(list) = cfg.vm_list {
            start_vm_polling(inner, list, timers);
        }
        Ok(())
    }
}

fn apply(inner: &Weak<Inner>, version: ConfigVersion, config: Config) {
    if let Some(inner) = inner.upgrade() {
        inner.set_config(version, config);
    }
}

fn start_vm_polling(inner: &Rc<Inner>, list: Rc<dyn VmSource>, timers: &TimerService) {
    let weak = Rc::downgrade(inner);
    let poll = move || {
        let (weak, answer) = (weak.clone(), list.vms());
        actix_rt::spawn(async move {
            // A failed call needs no retry: the next poll repeats it, and a missing list removes no
            // member.
            if let (Ok(table), Some(inner)) = (answer.await, weak.upgrade()) {
                inner.on_vm_list(table.vms);
            }
        });
    };
    if let Some(control) = inner.control.get() {
        *control.vm_list.borrow_mut() = Some(timers.subscribe(VM_LIST_INTERVAL, poll));
    }
}

impl Inner {
    /// Puts a configuration in force, unless a higher version already is.
    pub(super) fn set_config(&self, version: ConfigVersion, config: Config) {
        let current = self
            .active_config
            .borrow()
            .as_ref()
            .map_or(0, |active| active.version);
        if version <= current {
            return;
        }
        let now = self.clock.now();
        self.core.borrow_mut().set_config(now, &config);
        *self.active_config.borrow_mut() =
            Some(crate::active_config::ActiveConfig::new(version, config));
        slog::info!(self.log, "configuration in force"; "version" => version);
        if let Some(control) = self.control.get() {
            let event = MembershipEvent::ConfigVersion(version);
            control.members.on_event(event);
        }
    }

    fn member_action(self: &Rc<Self>, action: MembershipAction) {
        match action {
            MembershipAction::Send { .. } => {}
            MembershipAction::Event(event) => self.member_event(&event),
            MembershipAction::PeerConfig { peer, tcp, version } => {
                if let Some(control) = self.control.get() {
                    let peer = Address {
                        node: peer,
                        addr: tcp,
                    };
                    control.config.on_peer_version(peer, version);
                }
            }
            MembershipAction::PullTable { tcp } => self.pull_member_table(tcp),
            MembershipAction::AdoptIncarnation(incarnation) => {
                slog::warn!(self.log, "an earlier run has a higher incarnation"; "adopted" => incarnation);
            }
            MembershipAction::Superseded(incarnation) => {
                slog::error!(self.log, "a later run of this node has taken over"; "incarnation" => incarnation);
                self.leaving.set(true);
            }
        }
    }

    fn member_event(self: &Rc<Self>, event: &MemberEvent) {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        match event {
            MemberEvent::Up { info, .. } => {
                core.member_up(now, &info.node);
                core.member_detail(now, &info.node, &info.detail);
            }
            MemberEvent::Detail { info } => core.member_detail(now, &info.node, &info.detail),
            MemberEvent::Leaving { node } => core.member_leaving(now, node),
            MemberEvent::Unreachable { node } => core.member_unreachable(node),
            MemberEvent::Dead { node } => core.member_dead(now, node),
            MemberEvent::Load { node, load } => {
                let load = LoadReport {
                    sequences: load.running.into(),
                    kv_tokens: 0,
                    queued: load.queued.into(),
                };
                core.report_load(now, node, load);
            }
            MemberEvent::Suspect { .. } | MemberEvent::Forgotten { .. } => {}
        }
        drop(core);
        if !matches!(event, MemberEvent::Load { .. }) {
            slog::info!(self.log, "member changed"; "event" => ?event);
            self.refresh_entries();
        }
        self.run_actions();
    }

    /// Gives configured targets no new work that membership has not heard of for too long.
    fn give_up_unheard_targets(&self) {
        let (Some(active), Some(control)) = (self.active_config(), self.control.get()) else {
            return;
        };
        let now = self.clock.now();
        let configured = active.config.targets.iter().map(|target| &target.id);
        let given_up = control.members.with_entry(|machine| {
            let is_known = |target: &TargetId| machine.record(target).is_some();
            control
                .unheard
                .borrow_mut()
                .give_up(configured, is_known, now)
        });
        for target in given_up.unwrap_or_default() {
            slog::warn!(self.log, "no sign of life of a configured target"; "target" => &*target);
            self.core.borrow_mut().member_dead(now, &target);
        }
    }

    /// Passes the live entries on if membership changed them.
    fn refresh_entries(self: &Rc<Self>) {
        let Some(control) = self.control.get() else {
            return;
        };
        let entries = control.members.live_entries();
        if *control.entries.borrow() == entries {
            return;
        }
        control.entries.borrow_mut().clone_from(&entries);
        self.set_entries(&entries);
        let names = entries.into_iter().map(|e| e.node).collect();
        control.config.set_entries(names);
    }

    /// Requests the membership table of the entry whose links listen at `tcp`.
    fn pull_member_table(&self, tcp: std::net::SocketAddr) {
        let Some((control, links)) = self.control.get().zip(self.links.get()) else {
            return;
        };
        let find = |machine: &coriandercove_state::membership::EntryMembership| {
            let mut records = machine.records().map(|r| &r.info);
            records
                .find(|info| info.tcp == tcp)
                .map(membership::address)
        };
        if let Some(peer) = control.members.with_entry(find).flatten() {
            // Membership requests the table again if none arrives.
            let _ = links.send(&peer, Frame::PullMembers);
        }
    }

    /// Handles frames of membership and configuration; returns any other frame unhandled.
    pub(super) fn control_frame(&self, from: &PeerInfo, frame: Frame) -> Option<Frame> {
        let control = self.control.get()?;
        match control.config.on_frame(from, frame)? {
            Frame::PullMembers => self.send_member_table(control, &from.address()),
            Frame::Members(bytes) => match postcard::from_bytes::<Vec<MemberRecord>>(&bytes) {
                Ok(records) => control.members.on_event(MembershipEvent::Table(records)),
                Err(_) => count(&self.dropped, "reason", "malformed"),
            },
            Frame::Leaving => {
                self.core
                    .borrow_mut()
                    .member_leaving(self.clock.now(), &from.node);
            }
            Frame::Demand(bytes) => self.on_demand_frame(&from.node, &bytes),
            other => return Some(other),
        }
        None
    }

    fn send_member_table(&self, control: &ControlPlane, to: &Address) {
        let table = control.members.with_entry(|machine| machine.table());
        let bytes = table.and_then(|table| postcard::to_stdvec(&table).ok());
        if let Some((links, bytes)) = self.links.get().zip(bytes) {
            // The other entry requests the table again if it does not arrive.
            let _ = links.send(to, Frame::Members(Bytes::from(bytes)));
        }
    }

    /// Passes a polled VM list to membership. The list has no roles, so a VM is taken to be an
    /// agent if the configuration has a target of its name, and an entry otherwise.
    fn on_vm_list(&self, vms: Vec<coriandercove_platform::Vm>) {
        let (Some(active), Some(control)) = (self.active_config(), self.control.get()) else {
            return;
        };
        let listed = vms.into_iter().map(|vm| {
            let is_target = active.config.target(&vm.name).is_some();
            VmListed {
                leaving: vm.state == VmState::Leaving,
                info: MemberInfo {
                    node: vm.name.into(),
                    zone: vm.zone,
                    role: if is_target { Role::Agent } else { Role::Entry },
                    udp: vm.address,
                    tcp: vm.address,
                    detail: String::new(),
                    detail_version: 0,
                },
            }
        });
        let event = MembershipEvent::VmList(listed.collect());
        control.members.on_event(event);
    }
}
