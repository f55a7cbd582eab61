//! HTTP interface of the store stand-in.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use coriandercove_base::Clock;
use coriandercove_base::rng::{Rng, seeded};
use coriandercove_base::time::MonotonicClock;
use coriandercove_platform::protocol::{
    RETRY_AFTER_HEADER, VERSION_HEADER, WireBatch, WireCompacted, WireConflict, WireListing,
};
use coriandercove_platform::{RateLimit, StoreError, Version};
use futures_util::future::LocalBoxFuture;
use rand::Rng as _;
use tokio::sync::watch;

use super::{Objects, Outage, StoreFaults, StoreSettings, StoreStats};
use crate::faults::Faults;
use crate::server::{App, Reply, Req};

/// Burst of a rate limit, in seconds of its rate: at 100 calls/s, 25 calls may arrive at once.
const BURST_SECONDS: f64 = 0.25;
/// Longest time that a watch waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// State of one store; used only on its thread.
pub(super) struct StoreApp {
    latency: Duration,
    reads: RefCell<AdjustableLimit>,
    writes: RefCell<AdjustableLimit>,
    clock: MonotonicClock,
    objects: Objects,
    /// Revision of the latest write. Sending one wakes the watches.
    revision: watch::Sender<Version>,
    faults: Faults<StoreFaults>,
    stats: Arc<Mutex<StoreStats>>,
    rng: RefCell<Rng>,
}

/// A rate limit whose rate can be changed by a fault.
struct AdjustableLimit {
    rate: f64,
    limit: RateLimit,
}

impl AdjustableLimit {
    fn new(rate: f64) -> Self {
        let limit = RateLimit::new(rate, rate * BURST_SECONDS);
        Self { rate, limit }
    }

    /// Changes the rate. A new rate starts with a full burst.
    #[expect(clippy::float_cmp, reason = "an unchanged setting is exactly equal")]
    fn set_rate(&mut self, rate: f64) {
        if rate != self.rate {
            *self = Self::new(rate);
        }
    }
}

impl StoreApp {
    pub(super) fn new(
        settings: &StoreSettings,
        faults: Faults<StoreFaults>,
        objects: Objects,
        stats: Arc<Mutex<StoreStats>>,
    ) -> Self {
        let revision = objects.lock().revision();
        Self {
            latency: settings.latency,
            reads: AdjustableLimit::new(settings.read_rate).into(),
            writes: AdjustableLimit::new(settings.write_rate).into(),
            clock: MonotonicClock::default(),
            revision: watch::Sender::new(revision),
            objects,
            faults,
            stats,
            rng: seeded(settings.seed).into(),
        }
    }

    /// Raises one of the counters by one.
    fn count(&self, field: impl FnOnce(&mut StoreStats) -> &mut u64) {
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        *field(&mut stats) += 1;
    }

    /// Delays the call, and refuses it during an outage or above the rate limit. `rate` replaces
    /// the rate of `limit` if it is given.
    async fn admit(
        &self,
        limit: &RefCell<AdjustableLimit>,
        rate: Option<f64>,
    ) -> Result<(), Reply> {
        let extra = self.faults.read(|f| f.extra_latency_ms);
        let latency = self.latency + Duration::from_millis(extra);
        if !latency.is_zero() {
            actix_rt::time::sleep(latency).await;
        }
        self.faults.wait_for(|f| f.outage != Outage::Hang).await;
        let refusal = match self.faults.read(|f| f.outage) {
            Outage::None | Outage::Hang => return self.check_rate(limit, rate),
            Outage::Refuse => Reply::text(503, "outage"),
            Outage::Disconnect => Reply::Disconnect,
        };
        self.count(|s| &mut s.outages);
        Err(refusal)
    }

    /// Takes one call from the rate limit or refuses the call.
    fn check_rate(&self, limit: &RefCell<AdjustableLimit>, rate: Option<f64>) -> Result<(), Reply> {
        let mut limit = limit.borrow_mut();
        if let Some(rate) = rate {
            limit.set_rate(rate);
        }
        limit
            .limit
            .try_acquire(self.clock.now())
            .map_err(|retry_after| {
                self.count(|s| &mut s.limited);
                error_reply(&StoreError::RateLimited { retry_after })
            })
    }

    async fn admit_read(&self) -> Result<(), Reply> {
        let rate = self.faults.read(|f| f.read_rate);
        self.admit(&self.reads, rate).await
    }

    async fn get(&self, key: &str) -> Result<Reply, Reply> {
        self.count(|s| &mut s.gets);
        self.admit_read().await?;
        let object = self.objects.lock().get(key).map_err(|e| error_reply(&e))?;
        Ok(Reply::bytes(200, object.value).header(VERSION_HEADER, object.version.to_string()))
    }

    async fn list(&self, req: &Req) -> Result<Reply, Reply> {
        self.count(|s| &mut s.lists);
        self.admit_read().await?;
        let prefix = req.param("prefix").unwrap_or_default();
        let after = req.param("after").unwrap_or_default();
        let page = self.objects.lock().list(prefix, after);
        let page = page.map_err(|e| error_reply(&e))?;
        Ok(Reply::json(200, &WireListing::from(&page)))
    }

    async fn watch(&self, req: &Req) -> Result<Reply, Reply> {
        self.count(|s| &mut s.watches);
        self.admit_read().await?;
        let prefix = req.param("prefix").unwrap_or_default();
        let after = number_param(req, "after")?;
        let wait = Duration::from_millis(number_param(req, "wait_ms")?).min(MAX_WAIT);
        let changed = self.wait_for_change(prefix, after);
        // After a timeout without a change the answer is an empty batch.
        let _ = tokio::time::timeout(wait, changed).await;
        self.faults.wait_for(|f| f.outage != Outage::Hang).await;
        if self.faults.read(|f| f.outage != Outage::None) {
            self.count(|s| &mut s.outages);
            return Err(Reply::Disconnect);
        }
        let batch = self.objects.lock().changes(prefix, after);
        let batch = batch.map_err(|e| error_reply(&e))?;
        Ok(Reply::json(200, &WireBatch::from(&batch)))
    }

    /// Waits until there is a change after revision `after` or the watch fails, or until an outage
    /// begins.
    async fn wait_for_change(&self, prefix: &str, after: Version) {
        let mut revision = self.revision.subscribe();
        loop {
            let result = self.objects.lock().changes(prefix, after);
            if result.map_or(true, |batch| !batch.changes.is_empty()) {
                return;
            }
            tokio::select! {
                _ = revision.changed() => {}
                () = self.faults.wait_for(|f| f.outage != Outage::None) => return,
            }
        }
    }

    async fn write(&self, key: &str, req: &Req) -> Result<Reply, Reply> {
        self.count(|s| &mut s.writes);
        let rate = self.faults.read(|f| f.write_rate);
        self.admit(&self.writes, rate).await?;
        if self.count_down(|f| &mut f.drop_next) {
            self.count(|s| &mut s.lost_writes);
            return Err(Reply::Disconnect);
        }
        let result = self.apply(key, req)?;
        self.revision.send_replace(self.objects.lock().revision());
        let version = result.map_err(|e| error_reply(&e))?;
        if self.loses_answer() {
            self.count(|s| &mut s.lost_answers);
            return Err(Reply::Disconnect);
        }
        Ok(Reply::bytes(200, "").header(VERSION_HEADER, version.to_string()))
    }

    /// Applies a write to the objects. The outer error is the reply to a malformed call, the inner
    /// one the failure of the write.
    fn apply(&self, key: &str, req: &Req) -> Result<Result<Version, StoreError>, Reply> {
        let expected = expected_version(req)?;
        let mut objects = self.objects.lock();
        Ok(match (req.method.as_str(), expected) {
            ("DELETE", None) => return Err(Reply::text(400, "if-match: missing")),
            ("DELETE", Some(version)) => objects.delete(key, version).map(|()| objects.revision()),
            _ => objects.put(key, expected, req.body.clone()),
        })
    }

    /// Lowers the counter of a fault by one; returns false if it was zero already.
    fn count_down(&self, field: impl Fn(&mut StoreFaults) -> &mut u64) -> bool {
        let mut hit = false;
        self.faults.update(|f| {
            let left = field(f);
            hit = *left > 0;
            *left = left.saturating_sub(1);
        });
        hit
    }

    /// Whether a fault drops the answer to the current write.
    fn loses_answer(&self) -> bool {
        let share = self.faults.read(|f| f.lose_share);
        self.count_down(|f| &mut f.lose_next)
            || (share > 0.0 && self.rng.borrow_mut().random::<f64>() < share)
    }

    async fn route(&self, req: &Req) -> Result<Reply, Reply> {
        if let Some(key) = req.path.strip_prefix("/v1/objects/") {
            return match req.method.as_str() {
                "GET" => self.get(key).await,
                "PUT" | "DELETE" => self.write(key, req).await,
                _ => Err(Reply::text(405, "use GET, PUT or DELETE")),
            };
        }
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/v1/objects") => self.list(req).await,
            ("GET", "/v1/watch") => self.watch(req).await,
            ("GET", "/control/faults") => Ok(Reply::json(200, &self.faults.get())),
            ("PUT", "/control/faults") => {
                let faults = req.json()?;
                self.faults.update(|f| *f = faults);
                Ok(Reply::bytes(204, ""))
            }
            ("GET", "/control/stats") => {
                let stats = *self.stats.lock().unwrap_or_else(PoisonError::into_inner);
                Ok(Reply::json(200, &stats))
            }
            _ => Err(Reply::text(404, "no such call")),
        }
    }
}

/// Returns the version that a write expects, from `if-match`, or `None` for a creation, which has
/// `if-none-match: *`.
fn expected_version(req: &Req) -> Result<Option<Version>, Reply> {
    match (req.header("if-match"), req.header("if-none-match")) {
        (None, Some("*")) => Ok(None),
        (Some(version), None) => match version.parse() {
            Ok(version) => Ok(Some(version)),
            Err(_) => Err(Reply::text(400, "if-match: must be a version")),
        },
        _ => Err(Reply::text(
            400,
            "either if-match or if-none-match: * is needed",
        )),
    }
}

/// Parses a query parameter as a number.
fn number_param(req: &Req, name: &str) -> Result<u64, Reply> {
    let value = req.param(name).and_then(|v| v.parse().ok());
    value.ok_or_else(|| Reply::text(400, &format!("{name}: must be a number")))
}

/// Returns the reply for an error of the store, as the protocol defines it.
fn error_reply(e: &StoreError) -> Reply {
    match e {
        StoreError::Conflict { current } => Reply::json(409, &WireConflict { current: *current }),
        StoreError::Compacted { oldest } => Reply::json(410, &WireCompacted { oldest: *oldest }),
        StoreError::RateLimited { retry_after } => {
            let millis = retry_after.as_micros().div_ceil(1_000);
            Reply::text(429, "too many calls").header(RETRY_AFTER_HEADER, millis.to_string())
        }
        StoreError::NotFound => Reply::text(404, "no such object"),
        StoreError::TooLarge { .. } => Reply::text(413, &e.to_string()),
        StoreError::InvalidKey { .. } => Reply::text(400, &e.to_string()),
        StoreError::Unavailable { .. } => Reply::text(503, &e.to_string()),
        StoreError::Unknown { .. } => Reply::text(500, &e.to_string()),
    }
}

impl App for StoreApp {
    fn answer(self: Rc<Self>, req: Req) -> LocalBoxFuture<'static, Reply> {
        Box::pin(async move { self.route(&req).await.unwrap_or_else(|refusal| refusal) })
    }
}
