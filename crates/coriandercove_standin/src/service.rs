//! The plain-service stand-in: a booking application.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use coriandercove_base::data;
use coriandercove_base::rng::{Rng, seeded};
use futures_util::future::LocalBoxFuture;
use rand::Rng as _;

use crate::faults::Faults;
use crate::server::{App, Reply, Req, Server};

/// Header with the request id, as coriandercove passes it on.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the key that the caller chose.
pub const KEY_HEADER: &str = "idempotency-key";
/// Effects in one answer to `GET /effects`.
const MAX_EFFECTS: usize = 100_000;

data! {
    /// Something that the service did and that cannot be undone, such as a booking.
    #[derive(Eq)]
    pub struct Effect {
        /// Number of the effect, from 1.
        pub number: u64,
        /// Path of the call.
        pub path: String,
        /// Request id of the call, if it had one.
        pub request_id: Option<String>,
        /// Idempotency key of the call, if it had one.
        pub key: Option<String>,
        /// Body of the call as text.
        pub body: String,
    }

    /// Faults of a service; body of `PUT /control/faults`.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct ServiceFaults {
        /// Nothing is answered and nothing takes effect while this holds.
        pub frozen: bool,
        /// Status to refuse every call with, without an effect; 0 for none.
        pub refuse_status: u16,
        /// Calls whose answer is lost after the effect, counted down.
        pub lose_next: u64,
        /// Share of answers that are lost after the effect, from 0 to 1.
        pub lose_share: f64,
        /// Time that each call takes before its effect, in ms, beside the one in the settings.
        pub extra_delay_ms: u64,
    }
}

/// Settings of a service stand-in.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Time that each call takes before its effect.
    pub delay: Duration,
    /// Time that each call takes between its effect and its answer.
    pub answer_delay: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            delay: Duration::from_millis(2),
            answer_delay: Duration::ZERO,
            seed: 1,
        }
    }
}

/// A running service stand-in. Dropping it kills the service; the effects outlive a kill.
pub struct ServiceHandle {
    server: Server,
    faults: Faults<ServiceFaults>,
    effects: Effects,
}

/// Effects that may be shared by all replicas of a service, as a common database would.
#[derive(Debug, Clone, Default)]
pub struct Effects(Arc<Mutex<Vec<Effect>>>);

impl Effects {
    fn lock(&self) -> MutexGuard<'_, Vec<Effect>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All effects so far.
    #[must_use]
    pub fn all(&self) -> Vec<Effect> {
        self.lock().clone()
    }

    /// Number of effects with the given idempotency key.
    #[must_use]
    pub fn count_key(&self, key: &str) -> usize {
        let effects = self.lock();
        let matching = effects.iter().filter(|e| e.key.as_deref() == Some(key));
        matching.count()
    }

    /// Number of effects of the request with the given id.
    #[must_use]
    pub fn count_request(&self, id: &str) -> usize {
        let effects = self.lock();
        let matching = effects
            .iter()
            .filter(|e| e.request_id.as_deref() == Some(id));
        matching.count()
    }

    fn add(&self, req: &Req) -> Effect {
        let mut effects = self.lock();
        let effect = Effect {
            number: effects.len() as u64 + 1,
            path: req.path.clone(),
            request_id: req.header(REQUEST_ID_HEADER).map(str::to_owned),
            key: req.header(KEY_HEADER).map(str::to_owned),
            body: String::from_utf8_lossy(&req.body).into_owned(),
        };
        effects.push(effect.clone());
        effect
    }
}

impl ServiceHandle {
    /// Address that the service listens on.
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
    pub const fn faults(&self) -> &Faults<ServiceFaults> {
        &self.faults
    }

    /// The effects so far.
    #[must_use]
    pub const fn effects(&self) -> &Effects {
        &self.effects
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

/// Starts a service with effects of its own on a thread of its own.
///
/// # Errors
/// If the address cannot be bound or no thread can be started.
pub fn start(settings: ServiceSettings) -> io::Result<ServiceHandle> {
    start_replica(settings, Effects::default())
}

/// Starts a replica whose effects go to `effects`.
///
/// # Errors
/// If the address cannot be bound or no thread can be started.
pub fn start_replica(settings: ServiceSettings, effects: Effects) -> io::Result<ServiceHandle> {
    let faults = Faults::<ServiceFaults>::default();
    let (f, e) = (faults.clone(), effects.clone());
    let server = Server::start(settings.listen, "service", move || {
        Rc::new(ServiceApp {
            rng: std::cell::RefCell::new(seeded(settings.seed)),
            settings,
            faults: f,
            effects: e,
        })
    })?;
    Ok(ServiceHandle {
        server,
        faults,
        effects,
    })
}

struct ServiceApp {
    settings: ServiceSettings,
    faults: Faults<ServiceFaults>,
    effects: Effects,
    rng: std::cell::RefCell<Rng>,
}

impl ServiceApp {
    async fn change(&self, req: &Req) -> Reply {
        let extra = self.faults.read(|f| f.extra_delay_ms);
        let delay = self.settings.delay + Duration::from_millis(extra);
        pause(delay).await;
        self.faults.wait_for(|f| !f.frozen).await;
        let refuse = self.faults.read(|f| f.refuse_status);
        if refuse != 0 {
            return Reply::text(refuse, "refused");
        }
        let effect = self.effects.add(req);
        if self.loses_answer() {
            return Reply::Disconnect;
        }
        pause(self.settings.answer_delay).await;
        Reply::json(201, &effect)
    }

    fn loses_answer(&self) -> bool {
        let (next, share) = self.faults.read(|f| (f.lose_next, f.lose_share));
        if next > 0 {
            self.faults.update(|f| f.lose_next -= 1);
            return true;
        }
        share > 0.0 && self.rng.borrow_mut().random::<f64>() < share
    }

    async fn status(&self, number: &str) -> Reply {
        pause(self.settings.delay).await;
        let found = number.parse::<usize>().ok().and_then(|n| {
            let effects = self.effects.lock();
            effects.get(n.checked_sub(1)?).cloned()
        });
        match found {
            Some(effect) => Reply::json(200, &effect),
            None => Reply::text(404, "no such effect"),
        }
    }

    fn list(&self) -> Reply {
        let effects = self.effects.lock();
        let start = effects.len().saturating_sub(MAX_EFFECTS);
        Reply::json(200, &&effects[start..])
    }

    async fn route(&self, req: &Req) -> Reply {
        let path: Vec<&str> = req.path.split('/').skip(1).collect();
        match (req.method.as_str(), path.as_slice()) {
            ("GET", ["effects"]) => self.list(),
            ("GET", ["status", number]) => self.status(number).await,
            ("POST", ["echo"]) => Reply::bytes(200, Bytes::clone(&req.body)),
            ("POST", _) => self.change(req).await,
            _ => Reply::text(404, "no such call"),
        }
    }

    fn control(&self, req: &Req) -> Result<Reply, Reply> {
        Ok(match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/control/faults") => Reply::json(200, &self.faults.get()),
            ("PUT", "/control/faults") => {
                let faults = req.json()?;
                self.faults.update(|f| *f = faults);
                Reply::bytes(204, "")
            }
            _ => Reply::text(404, "no such call"),
        })
    }
}

async fn pause(time: Duration) {
    if !time.is_zero() {
        actix_rt::time::sleep(time).await;
    }
}

impl App for ServiceApp {
    fn answer(self: Rc<Self>, req: Req) -> LocalBoxFuture<'static, Reply> {
        Box::pin(async move {
            if req.path.starts_with("/control/") {
                return self.control(&req).unwrap_or_else(|refusal| refusal);
            }
            self.faults.wait_for(|f| !f.frozen).await;
            let reply = self.route(&req).await;
            self.faults.wait_for(|f| !f.frozen).await;
            reply
        })
    }
}
