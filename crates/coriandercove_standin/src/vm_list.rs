//! The VM list stand-in: a list of VMs that shows each change only after a lag.

use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coriandercove_base::time::{Clock, MonotonicClock};
use coriandercove_base::{Time, data};
use coriandercove_platform::{Vm, VmState, VmTable};
use futures_util::future::LocalBoxFuture;

use crate::faults::Faults;
use crate::server::{App, Reply, Req, Server};

data! {
    /// Injected faults of the VM list; body of `PUT /control/faults`.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct VmListFaults {
        /// While true, every call to list the VMs is refused with status 503.
        pub outage: bool,
        /// While true, no call to list the VMs is answered.
        pub frozen: bool,
    }
}

/// Settings of a VM list stand-in.
#[derive(Debug, Clone)]
pub struct VmListSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Time until a change is visible in the list.
    pub lag: Duration,
    /// VMs at the start, which are visible at once.
    pub vms: Vec<Vm>,
}

impl Default for VmListSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            lag: Duration::from_secs(2),
            vms: Vec::new(),
        }
    }
}

/// A change of the list. To mark or remove a VM that is not in the list only raises its version.
#[derive(Debug, Clone)]
enum VmChange {
    /// Adds a VM or replaces the one with its name.
    Put(Vm),
    /// Marks the VM with this name as leaving.
    Leave(String),
    /// Removes the VM with this name.
    Remove(String),
}

/// The visible list of VMs and the changes that are not visible yet.
#[derive(Debug)]
pub struct DelayedVmTable {
    lag: Duration,
    /// The visible list, sorted by name. Each change raises its version by one.
    shown: VmTable,
    /// Changes with the time from which they are visible, in the order of that time.
    pending: VecDeque<(Time, VmChange)>,
}

impl DelayedVmTable {
    /// Creates a list that shows `vms` at once, with version 1, and each change after `lag`.
    #[must_use]
    pub fn new(lag: Duration, mut vms: Vec<Vm>) -> Self {
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            lag,
            shown: VmTable { version: 1, vms },
            pending: VecDeque::new(),
        }
    }

    /// Adds a VM or replaces the one with its name, visible at `now` plus the lag.
    pub fn put(&mut self, now: Time, vm: Vm) {
        self.pending.push_back((now + self.lag, VmChange::Put(vm)));
    }

    /// Marks a VM as leaving, visible at `now` plus the lag.
    pub fn set_leaving(&mut self, now: Time, name: &str) {
        let change = VmChange::Leave(name.to_owned());
        self.pending.push_back((now + self.lag, change));
    }

    /// Removes a VM, visible at `now` plus the lag.
    pub fn remove(&mut self, now: Time, name: &str) {
        let change = VmChange::Remove(name.to_owned());
        self.pending.push_back((now + self.lag, change));
    }

    /// Applies the changes whose lag has passed at `now` and returns the visible list.
    pub fn shown(&mut self, now: Time) -> &VmTable {
        while let Some((_, change)) = self.pending.pop_front_if(|(at, _)| *at <= now) {
            self.shown.version += 1;
            change.apply(&mut self.shown.vms);
        }
        &self.shown
    }
}

impl VmChange {
    fn apply(self, vms: &mut Vec<Vm>) {
        match self {
            Self::Put(vm) => match vms.binary_search_by(|v| v.name.cmp(&vm.name)) {
                Ok(i) => vms[i] = vm,
                Err(i) => vms.insert(i, vm),
            },
            Self::Leave(name) => {
                if let Some(vm) = vms.iter_mut().find(|v| v.name == name) {
                    vm.state = VmState::Leaving;
                }
            }
            Self::Remove(name) => vms.retain(|v| v.name != name),
        }
    }
}

/// A running VM list stand-in. Dropping the handle kills the list.
pub struct VmListHandle {
    server: Server,
    faults: Faults<VmListFaults>,
    table: Arc<Mutex<DelayedVmTable>>,
    clock: MonotonicClock,
}

impl VmListHandle {
    /// Returns the address that the list listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the base URL, without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the injected faults, which can be changed while the list runs.
    #[must_use]
    pub const fn faults(&self) -> &Faults<VmListFaults> {
        &self.faults
    }

    /// Adds a VM or replaces the one with its name. The change is visible after the lag.
    pub fn put(&self, vm: Vm) {
        lock(&self.table).put(self.clock.now(), vm);
    }

    /// Marks a VM as leaving. The change is visible after the lag.
    pub fn set_leaving(&self, name: &str) {
        lock(&self.table).set_leaving(self.clock.now(), name);
    }

    /// Removes a VM. The change is visible after the lag.
    pub fn remove(&self, name: &str) {
        lock(&self.table).remove(self.clock.now(), name);
    }

    /// Stops accepting connections, and ends when the calls in flight are answered, or after
    /// `grace`.
    pub fn stop(self, grace: Duration) {
        self.server.stop(grace);
    }

    /// Ends at once and closes all connections without finishing the calls in flight.
    pub fn kill(self) {
        self.server.kill();
    }
}

fn lock(table: &Mutex<DelayedVmTable>) -> MutexGuard<'_, DelayedVmTable> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a VM list on a new thread.
///
/// # Errors
/// If the address cannot be bound or no thread can be started.
pub fn start(settings: VmListSettings) -> io::Result<VmListHandle> {
    let faults = Faults::<VmListFaults>::default();
    let table = DelayedVmTable::new(settings.lag, settings.vms);
    let table = Arc::new(Mutex::new(table));
    let clock = MonotonicClock::default();
    let app = VmListApp {
        faults: faults.clone(),
        table: Arc::clone(&table),
        clock,
    };
    let server = Server::start(settings.listen, "vm-list", move || Rc::new(app))?;
    Ok(VmListHandle {
        server,
        faults,
        table,
        clock,
    })
}

struct VmListApp {
    faults: Faults<VmListFaults>,
    table: Arc<Mutex<DelayedVmTable>>,
    clock: MonotonicClock,
}

impl VmListApp {
    async fn list(&self) -> Reply {
        self.faults.wait_for(|f| !f.frozen).await;
        if self.faults.read(|f| f.outage) {
            return Reply::text(503, "outage");
        }
        Reply::json(200, lock(&self.table).shown(self.clock.now()))
    }

    async fn route(&self, req: &Req) -> Result<Reply, Reply> {
        let path: Vec<&str> = req.path.split('/').skip(1).collect();
        let now = self.clock.now();
        match (req.method.as_str(), path.as_slice()) {
            ("GET", ["v1", "vms"]) => return Ok(self.list().await),
            ("GET", ["control", "faults"]) => return Ok(Reply::json(200, &self.faults.get())),
            ("PUT", ["control", "faults"]) => {
                let faults = req.json()?;
                self.faults.update(|f| *f = faults);
            }
            ("PUT", ["control", "vms"]) => lock(&self.table).put(now, req.json()?),
            ("POST", ["control", "vms", name, "leave"]) => {
                lock(&self.table).set_leaving(now, name);
            }
            ("DELETE", ["control", "vms", name]) => lock(&self.table).remove(now, name),
            _ => return Err(Reply::text(404, "no such call")),
        }
        Ok(Reply::bytes(204, ""))
    }
}

impl App for VmListApp {
    fn answer(self: Rc<Self>, req: Req) -> LocalBoxFuture<'static, Reply> {
        Box::pin(async move { self.route(&req).await.unwrap_or_else(|refusal| refusal) })
    }
}

#[cfg(test)]
mod tests;
