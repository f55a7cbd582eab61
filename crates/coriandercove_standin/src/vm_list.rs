//! The VM list stand-in.

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
    /// Faults of the VM list; body of `PUT /control/faults`.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct VmListFaults {
        /// Every call is refused with status 503.
        pub outage: bool,
        /// Nothing is answered while this holds.
        pub frozen: bool,
    }
}

/// Settings of a VM list stand-in.
#[derive(Debug, Clone)]
pub struct VmListSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Time until a change is shown.
    pub lag: Duration,
    /// VMs at the start, which are shown at once.
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

/// A change of the list.
#[derive(Debug, Clone)]
enum VmChange {
    Put(Vm),
    Leave(String),
    Remove(String),
}

/// The list as it is shown, and the changes that it has yet to show.
#[derive(Debug)]
pub struct VmRecord {
    lag: Duration,
    shown: VmTable,
    /// Changes with the time when they are shown.
    pending: VecDeque<(Time, VmChange)>,
}

impl VmRecord {
    /// A record that shows changes after `lag`, and `vms` at once.
    #[must_use]
    pub fn new(lag: Duration, mut vms: Vec<Vm>) -> Self {
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            lag,
            shown: VmTable { version: 1, vms },
            pending: VecDeque::new(),
        }
    }

    /// Adds a VM or replaces the one with its name.
    pub fn put(&mut self, now: Time, vm: Vm) {
        self.pending.push_back((now + self.lag, VmChange::Put(vm)));
    }

    /// Marks a VM as leaving.
    pub fn set_leaving(&mut self, now: Time, name: &str) {
        let change = VmChange::Leave(name.to_owned());
        self.pending.push_back((now + self.lag, change));
    }

    /// Removes a VM.
    pub fn remove(&mut self, now: Time, name: &str) {
        let change = VmChange::Remove(name.to_owned());
        self.pending.push_back((now + self.lag, change));
    }

    /// What the list shows.
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

/// A running VM list stand-in. Dropping it kills the list.
pub struct VmListHandle {
    server: Server,
    faults: Faults<VmListFaults>,
    record: Arc<Mutex<VmRecord>>,
    clock: MonotonicClock,
}

impl VmListHandle {
    /// Address that the list listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Address as the start of a URL.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// The faults, to change.
    #[must_use]
    pub const fn faults(&self) -> &Faults<VmListFaults> {
        &self.faults
    }

    /// Adds a VM or replaces the one with its name; shown after the lag.
    pub fn put(&self, vm: Vm) {
        lock(&self.record).put(self.clock.now(), vm);
    }

    /// Marks a VM as leaving; shown after the lag.
    pub fn set_leaving(&self, name: &str) {
        lock(&self.record).set_leaving(self.clock.now(), name);
    }

    /// Removes a VM; shown after the lag.
    pub fn remove(&self, name: &str) {
        lock(&self.record).remove(self.clock.now(), name);
    }

    /// Ends after the calls in flight, or after `grace`.
    pub fn stop(self, grace: Duration) {
        self.server.stop(grace);
    }

    /// Ends at once and closes all connections.
    pub fn kill(self) {
        self.server.kill();
    }
}

fn lock(record: &Mutex<VmRecord>) -> MutexGuard<'_, VmRecord> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a VM list on a thread of its own.
///
/// # Errors
/// If the address cannot be bound or no thread can be started.
pub fn start(settings: VmListSettings) -> io::Result<VmListHandle> {
    let faults = Faults::<VmListFaults>::default();
    let record = VmRecord::new(settings.lag, settings.vms);
    let record = Arc::new(Mutex::new(record));
    let clock = MonotonicClock::default();
    let app = VmListApp {
        faults: faults.clone(),
        record: Arc::clone(&record),
        clock,
    };
    let server = Server::start(settings.listen, "vm-list", move || Rc::new(app))?;
    Ok(VmListHandle {
        server,
        faults,
        record,
        clock,
    })
}

struct VmListApp {
    faults: Faults<VmListFaults>,
    record: Arc<Mutex<VmRecord>>,
    clock: MonotonicClock,
}

impl VmListApp {
    async fn list(&self) -> Reply {
        self.faults.wait_for(|f| !f.frozen).await;
        if self.faults.read(|f| f.outage) {
            return Reply::text(503, "outage");
        }
        Reply::json(200, lock(&self.record).shown(self.clock.now()))
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
            ("PUT", ["control", "vms"]) => lock(&self.record).put(now, req.json()?),
            ("POST", ["control", "vms", name, "leave"]) => {
                lock(&self.record).set_leaving(now, name);
            }
            ("DELETE", ["control", "vms", name]) => lock(&self.record).remove(now, name),
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
