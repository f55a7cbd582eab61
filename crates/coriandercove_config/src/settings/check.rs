//! Validation of settings beyond their types.

use std::net::SocketAddr;
use std::time::Duration;

use super::{AgentSettings, EntrySettings, TargetSettingsKind};
use crate::config::{NAME_FORM, is_name};
use crate::url::check_url;

/// All invalid values of some settings.
#[derive(Debug, Default)]
pub(super) struct Findings(pub(super) Vec<Finding>);

/// An invalid value, before its location is known.
#[derive(Debug)]
pub(super) struct Finding {
    pub(super) key: String,
    pub(super) problem: String,
    pub(super) allowed: String,
}

impl Findings {
    fn add(&mut self, key: &str, problem: String, allowed: &str) {
        self.0.push(Finding {
            key: key.to_owned(),
            problem,
            allowed: allowed.to_owned(),
        });
    }

    fn name(&mut self, key: &str, name: &str) {
        if !is_name(name) {
            self.add(key, format!("`{name}` is not a valid name"), NAME_FORM);
        }
    }

    fn range(&mut self, key: &str, value: u64, min: u64, max: u64) {
        if !(min..=max).contains(&value) {
            self.add(
                key,
                format!("{value} is out of range"),
                &format!("{min} to {max}"),
            );
        }
    }

    fn duration(&mut self, key: &str, value: Duration, min: Duration, max: Duration) {
        if !(min..=max).contains(&value) {
            let text = crate::duration::format;
            let allowed = format!("{} to {}", text(min), text(max));
            self.add(key, format!("{} is out of range", text(value)), &allowed);
        }
    }

    fn url(&mut self, key: &str, url: &str) {
        if let Err((problem, allowed)) = check_url(url) {
            self.add(key, problem, allowed);
        }
    }

    fn platform(&mut self, store: &[String], vm_list: Option<&str>) {
        if store.is_empty() {
            self.add("store", "nothing is given".to_owned(), "at least one URL");
        }
        for (i, url) in store.iter().enumerate() {
            self.url(&format!("store[{i}]"), url);
        }
        if let Some(url) = vm_list {
            self.url("vm_list", url);
        }
    }

    /// Checks that the listen addresses have a port and differ, and that other processes can
    /// connect to `peer_address`, the peer or advertised address.
    fn addresses(&mut self, listen: &[(&str, SocketAddr)], peer_address: (&str, SocketAddr)) {
        for (i, (key, address)) in listen.iter().enumerate() {
            if address.port() == 0 {
                self.add(key, format!("{address} has no port"), "a port from 1");
            }
            if let Some((other, _)) = listen[..i].iter().find(|(_, a)| a == address) {
                self.add(
                    key,
                    format!("{address} is also used by `{other}`"),
                    "an address of its own",
                );
            }
        }
        let (key, address) = peer_address;
        if address.ip().is_unspecified() || address.port() == 0 {
            let problem = format!("other processes cannot reach {address}");
            let allowed = "an IP address of this VM and a port, or `advertise` with both";
            self.add(key, problem, allowed);
        }
    }

    fn seeds(&mut self, seeds: &[SocketAddr]) {
        for (i, seed) in seeds.iter().enumerate() {
            if seed.ip().is_unspecified() || seed.port() == 0 {
                let problem = format!("{seed} cannot be reached");
                self.add(
                    &format!("seeds[{i}]"),
                    problem,
                    "the peer address of another process",
                );
            }
        }
    }

    fn drain_deadline(&mut self, value: Duration) {
        self.duration(
            "drain_deadline",
            value,
            Duration::ZERO,
            Duration::from_secs(3600),
        );
    }
}

impl EntrySettings {
    pub(super) fn findings(&self) -> Findings {
        let mut f = Findings::default();
        f.name("node", &self.node);
        f.name("zone", &self.zone);
        f.name("region", &self.region);
        let listen = [
            ("callers", self.callers),
            ("operations", self.operations),
            ("peer", self.peer),
        ];
        f.addresses(&listen, advertised(self.peer, self.advertise));
        f.seeds(&self.seeds);
        f.platform(&self.store, self.vm_list.as_deref());
        f.drain_deadline(self.drain_deadline);
        let l = &self.limits;
        f.range("limits.connections", l.connections.into(), 1, 1_000_000);
        f.range(
            "limits.body_bytes",
            l.body_bytes.into(),
            1024,
            64 * 1024 * 1024,
        );
        f.range("limits.memory_mb", l.memory_mb.into(), 16, 1 << 20);
        f.range("limits.streams", l.streams.into(), 1, 1_000_000);
        f.range("limits.credit_tokens", l.credit_tokens.into(), 1, 65_536);
        let (min, max) = (Duration::from_millis(100), Duration::from_secs(300));
        f.duration("limits.head_timeout", l.head_timeout, min, max);
        f.range("limits.members", l.members.into(), 1, 100_000);
        f.range(
            "limits.store_calls_per_second",
            l.store_calls_per_second.into(),
            1,
            2000,
        );
        f
    }
}

impl AgentSettings {
    pub(super) fn findings(&self) -> Findings {
        let mut f = Findings::default();
        f.name("node", &self.node);
        f.name("zone", &self.zone);
        f.name("region", &self.region);
        f.name("target_id", &self.target_id);
        let listen = [("operations", self.operations), ("peer", self.peer)];
        f.addresses(&listen, advertised(self.peer, self.advertise));
        if self.seeds.is_empty() {
            let allowed = "peer addresses of at least one entry";
            f.add("seeds", "nothing is given".to_owned(), allowed);
        }
        f.seeds(&self.seeds);
        f.platform(&self.store, self.vm_list.as_deref());
        f.drain_deadline(self.drain_deadline);
        self.target(&mut f);
        self.limits(&mut f);
        f
    }

    fn target(&self, f: &mut Findings) {
        f.url("target.url", &self.target.url);
        match (self.target.kind, &self.target.service) {
            (TargetSettingsKind::Service, None) => {
                let allowed = "the name of the service, with kind service";
                f.add(
                    "target.service",
                    "missing key `service`".to_owned(),
                    allowed,
                );
            }
            (TargetSettingsKind::Engine, Some(_)) => {
                let problem = "an engine has no `service`".to_owned();
                f.add("target.service", problem, "only with kind service");
            }
            (TargetSettingsKind::Service, Some(name)) => f.name("target.service", name),
            (TargetSettingsKind::Engine, None) => {}
        }
    }

    fn limits(&self, f: &mut Findings) {
        let l = &self.limits;
        f.range("limits.streams", l.streams.into(), 1, 1_000_000);
        f.range("limits.retained_bytes", l.retained_bytes, 0, 16 << 30);
        f.range("limits.memory_mb", l.memory_mb.into(), 16, 1 << 20);
        f.range("limits.forward_calls", l.forward_calls.into(), 1, 1024);
        f.range("limits.batch_items", l.batch_items.into(), 1, 65_536);
        f.range("limits.tickets", l.tickets.into(), 1, 10_000_000);
        let max = Duration::from_secs(600);
        f.duration("limits.entry_grace", l.entry_grace, Duration::ZERO, max);
        f.range(
            "limits.store_calls_per_second",
            l.store_calls_per_second.into(),
            1,
            2000,
        );
    }
}

fn advertised(peer: SocketAddr, advertise: Option<SocketAddr>) -> (&'static str, SocketAddr) {
    advertise.map_or(("peer", peer), |a| ("advertise", a))
}
