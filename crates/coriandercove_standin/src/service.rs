//! The plain-service stand-in: a booking application that records the effect of each call.

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

/// Header with the id that coriandercove gave the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the idempotency key that the caller chose.
pub const KEY_HEADER: &str = "idempotency-key";
/// Largest number of effects in one answer to `GET /effects`, which has the latest ones.
const MAX_EFFECTS: usize = 100_000;

data! {
    /// A side effect of a call that cannot be undone, such as a booking.
    #[derive(Eq)]
    pub struct Effect {
        /// Number of the effect in the order of the effects, from 1.
        pub number: u64,
        /// Path of the call.
        pub path: String,
        /// Request id of the call, if it had one.
        pub request_id: Option<String>,
        /// Idempotency key of the call, if it had one.
        pub key: Option<String>,
        /// Body of the call as text; bytes that are not UTF-8 are replaced.
        pub body: String,
    }

    /// Injected faults of a service; body of `PUT /control/faults`.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct ServiceFaults {
        /// While true, no call except those under `/control/` is answered, and no call takes
        /// effect.
        pub frozen: bool,
        /// HTTP status to refuse every call that would have an effect with; 0 for none. A refused
        /// call has no effect.
        pub refuse_status: u16,
        /// Number of next calls whose answer is lost after the effect; each lost answer lowers it
        /// by one.
        pub lose_next: u64,
        /// Share of answers that are lost after the effect, from 0 to 1.
        pub lose_share: f64,
        /// Time that each call takes before its effect in addition to that of the settings, in ms.
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

/// A running service stand-in. Dropping the handle kills the service. Clones of [`Effects`] stay
/// valid after that.
pub struct ServiceHandle {
    server: Server,
    faults: Faults<ServiceFaults>,
    effects: Effects,
}

/// The recorded effects. Clones share them, as the replicas of a service share a database.
#[derive(Debug, Clone, Default)]
pub struct Effects(Arc<Mutex<Vec<Effect>>>);

impl Effects {
    fn lock(&self) -> MutexGuard<'_, Vec<Effect>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns all effects so far, in the order of their numbers.
    #[must_use]
    pub fn all(&self) -> Vec<Effect> {
        self.lock().clone()
    }

    /// Returns the number of effects with the given idempotency key.
    #[must_use]
    pub fn count_key(&self, key: &str) -> usize {
        let effects = self.lock();
        let matching = effects.iter().filter(|e| e.key.as_deref() == Some(key));
        matching.count()
    }

    /// Returns the number of effects of the request with the given id.
    #[must_use]
    pub fn count_request(&self, id: &str) -> usize {
        let effects = self.lock();
        let matching = effects
            .iter()
            .filter(|e| e.request_id.as_deref() == Some(id));
        matching.count()
    }

    /// Records the effect of a call.
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
    /// Returns the address that the service listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the base URL, without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the injected faults, which can be changed while the service runs.
    #[must_use]
    pub const fn faults(&self) -> &Faults<ServiceFaults> {
        &self.faults
    }

    /// Returns the recorded effects.
    #[must_use]
    pub const fn effects(&self) -> &Effects {
        &self.effects
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

/// Starts a service that has its own effects, on a new thread.
///
/// # Errors
/// If the address cannot be bound or no thread can be started.
pub fn start(settings: ServiceSettings) -> io::Result<ServiceHandle> {
    start_replica(settings, Effects::default())
}

/// Starts a replica of a service on a new thread. It records its effects in `effects`.
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
    /// Handles a call that has an effect.
    async fn apply_effect(&self, req: &Req) -> Reply {
        let extra = self.faults.read(|f| f.extra_delay_ms);
        let delay = self.settings.delay + Duration::from_millis(extra);
        sleep_unless_zero(delay).await;
        self.faults.wait_for(|f| !f.frozen).await;
        let refuse = self.faults.read(|f| f.refuse_status);
        if refuse != 0 {
            return Reply::text(refuse, "refused");
        }
        let effect = self.effects.add(req);
        if self.loses_answer() {
            return Reply::Disconnect;
        }
        sleep_unless_zero(self.settings.answer_delay).await;
        Reply::json(201, &effect)
    }

    /// Whether a fault drops the answer to the current call.
    fn loses_answer(&self) -> bool {
        let (next, share) = self.faults.read(|f| (f.lose_next, f.lose_share));
        if next > 0 {
            self.faults.update(|f| f.lose_next -= 1);
            return true;
        }
        share > 0.0 && self.rng.borrow_mut().random::<f64>() < share
    }

    /// Answers with one effect by its number.
    async fn effect_status(&self, number: &str) -> Reply {
        sleep_unless_zero(self.settings.delay).await;
        let found = number.parse::<usize>().ok().and_then(|n| {
            let effects = self.effects.lock();
            effects.get(n.checked_sub(1)?).cloned()
        });
        match found {
            Some(effect) => Reply::json(200, &effect),
            None => Reply::text(404, "no such effect"),
        }
    }

    /// Answers with the latest effects.
    fn list_effects(&self) -> Reply {
        let effects = self.effects.lock();
        let start = effects.len().saturating_sub(MAX_EFFECTS);
        Reply::json(200, &&effects[start..])
    }

    async fn route(&self, req: &Req) -> Reply {
        let path: Vec<&str> = req.path.split('/').skip(1).collect();
        match (req.method.as_str(), path.as_slice()) {
            ("GET", ["effects"]) => self.list_effects(),
            ("GET", ["status", number]) => self.effect_status(number).await,
            ("POST", ["echo"]) => Reply::bytes(200, Bytes::clone(&req.body)),
            ("POST", _) => self.apply_effect(req).await,
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

/// Sleeps for `time`. Returns at once, without yielding to other tasks, if it is zero.
async fn sleep_unless_zero(time: Duration) {
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
