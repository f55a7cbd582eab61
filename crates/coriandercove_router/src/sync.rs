//! Follows the configuration and the targets in the platform's store, by listing and watching them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::Rng as _;
use slog::{info, warn};

use coriandercove_base::Time;

use crate::departures::{Listing, displaced};
use crate::fleet::Target;
use crate::protocol::{Batch, Directory, DirectoryError, Item, StoreEra, Topic};
use crate::revision_tracker::EraChange;
use crate::settings::LiveSettings;
use crate::silent_connections::renewal_pause;
use crate::state::Router;
use crate::watch_timing::WatchSlot;

/// Topics that each entry watches.
const TOPICS: [Topic; 2] = [Topic::Configuration, Topic::Targets];
/// Maximum time of a list that shows that the store is well, so that a watch without an answer had
/// waited on a silent connection.
const PROMPT_LIST: Duration = Duration::from_millis(300);
/// Pause between watches, as a share of the bound on applying a configuration, so that a series of
/// changes takes one call. The rest of the bound is left for the call itself and for its late
/// start.
const CONFIGURATION_PAUSE_SHARE: f64 = 0.225;
/// The same for targets, which change far more often, as a share of the bound on leaving a draining
/// target.
const TARGETS_PAUSE_SHARE: f64 = 0.45;

/// Pause after changes of a topic before the next watch starts.
#[must_use]
pub fn pause_after(topic: Topic, settings: LiveSettings) -> Duration {
    match topic {
        Topic::Configuration => settings.apply.mul_f64(CONFIGURATION_PAUSE_SHARE),
        Topic::Targets => settings.drain.mul_f64(TARGETS_PAUSE_SHARE),
    }
}

/// First and longest pause after a failed call; it doubles with each further failure.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
/// Time after the platform's return within which targets whose registration lapsed during the
/// outage register again.
const LAPSE_GRACE: Duration = Duration::from_secs(2);
/// Time that a watch waits for a change while some targets may still register again.
const LAPSE_WATCH_WAIT: Duration = Duration::from_millis(500);
/// Time after the store's return from an older copy within which its list may still hold targets of
/// the copy that are gone. The store removes them after three missed heartbeats, one of which takes
/// about 1.2 s.
const COPY_GRACE: Duration = Duration::from_secs(6);
/// Length of an outage after which registrations may have lapsed.
const LAPSE_OUTAGE: Duration = Duration::from_secs(1);

/// Follows one topic as long as the process runs.
pub async fn follow(router: Rc<Router>, directory: Rc<dyn Directory>, topic: Topic) {
    let mut follower = Follower {
        router,
        directory,
        topic,
        era: None,
        revision: None,
        newest_revision: 0,
        failed_since: None,
        reconnected_at: None,
        copy_until: None,
        listed_at: Time::ZERO,
        unanswered_watch: None,
        failures: 0,
        unreadable: Vec::new(),
        lapsed: Vec::new(),
    };
    loop {
        follower.step().await;
    }
}

struct Follower {
    router: Rc<Router>,
    directory: Rc<dyn Directory>,
    topic: Topic,
    /// Era of the revisions below.
    era: Option<StoreEra>,
    /// Store revision up to which changes are known; none if the next call must be a list.
    revision: Option<u64>,
    /// Highest store revision that was applied in this era.
    newest_revision: u64,
    /// Time of the first failed call since the last answer.
    failed_since: Option<Time>,
    /// End of the last outage of at least [`LAPSE_OUTAGE`], or time of the store's last return from
    /// an older copy.
    reconnected_at: Option<Time>,
    /// Time until which a list may be older than what is known; none if the store has not come back
    /// from a copy lately.
    copy_until: Option<Time>,
    /// Time of the last list.
    listed_at: Time,
    /// Time at which a watch ended without an answer, until the next call has ended.
    unanswered_watch: Option<Time>,
    /// Failed calls since the last answer.
    failures: u32,
    /// Names of the unreadable objects that have been reported, sorted. Those without a readable name
    /// share an empty one.
    unreadable: Vec<Arc<str>>,
    /// Targets that were missing after an outage, with the time at which they are removed unless
    /// they have registered again.
    lapsed: Vec<(Arc<str>, Time)>,
}

impl Follower {
    async fn step(&mut self) {
        self.follow_era();
        let began = self.router.now();
        self.end_copy(began);
        let known = self.revision;
        let wait = if self.lapsed.is_empty() {
            let left = self.copy_until.map(|at| at.saturating_sub(began));
            left.map_or(self.watch_wait(), |left| left.min(self.watch_wait()))
        } else {
            LAPSE_WATCH_WAIT
        };
        let result = match known {
            None => self.directory.list(self.topic).await,
            Some(after) => {
                tokio::select! {
                    result = self.directory.changes(self.topic, after, wait) => result,
                    () = self.router.revisions.wait_until_behind(self.topic, self.era) => {
                        if self.follow_era() {
                            return;
                        }
                        info!(self.router.log, "a peer is ahead, listing again";
                            "topic" => self.topic.as_str(), "revision" => after);
                        self.revision = None;
                        return;
                    }
                    () = self.wait_until_doubtful() => {
                        info!(self.router.log, "connection may be silent, listing again";
                            "topic" => self.topic.as_str(), "revision" => after);
                        self.revision = None;
                        return;
                    }
                }
            }
        };
        self.find_silence(&result, known.is_some(), began);
        let named = match &result {
            Ok(batch) => batch.era,
            // Another call may have got an answer of an earlier era since.
            Err(_) => self.directory.last_era().max(self.router.revisions.era()),
        };
        let is_late = self.record_era(named, began);
        let is_restored = self.follow_era();
        match result {
            // A list shows what the copy holds; the answer to a watch does not.
            Ok(_) if is_late || (is_restored && known.is_some()) => {
                self.on_answer();
                self.revision = None;
            }
            Ok(batch) => {
                // The duration of a watch that a change ended early does not show how fast the
                // platform is.
                let took = self.router.now().saturating_sub(began);
                let expected = known.map_or(Duration::ZERO, |_| wait);
                if known.is_none() || took >= wait {
                    self.router
                        .metrics
                        .platform_call(took.saturating_sub(expected));
                }
                self.on_answer();
                let has_items = !batch.items.is_empty();
                self.apply(batch, known.is_none());
                self.remove_lapsed();
                // While targets may still register again, the next watch starts without a pause.
                if has_items && self.lapsed.is_empty() {
                    let pause = pause_after(self.topic, self.router.live.get());
                    tokio::time::sleep(pause).await;
                }
            }
            Err(DirectoryError::HistoryGone) => {
                info!(self.router.log, "history gone, listing again";
                    "topic" => self.topic.as_str(), "revision" => self.revision);
                self.revision = None;
            }
            Err(e) => {
                self.on_error(&e);
                // A watch that is renewed after a disturbance may miss what changed meanwhile; a
                // list contains it.
                self.revision = None;
                tokio::time::sleep(self.retry_pause()).await;
            }
        }
    }

    /// Records the era that an answer names. Returns whether the answer is of an era that has ended.
    fn record_era(&self, named: Option<StoreEra>, began: Time) -> bool {
        let router = &self.router;
        let change = router.revisions.record_era(named, began, router.now());
        if let Some(era) = router.revisions.era() {
            router.metrics.store_era.set(era.cast_signed());
        }
        match change {
            EraChange::None => {}
            EraChange::Restored(before) => {
                router.metrics.store_restores.inc();
                let cfg = router.configuration();
                warn!(router.log, "store came back from an older copy"; "era" => named,
                    "era_before" => before, "topic" => self.topic.as_str(),
                    "revision_before" => self.newest_revision,
                    "version_in_force" => cfg.map(|cfg| cfg.version));
            }
            EraChange::Late => {
                warn!(router.log, "answer of an earlier era"; "topic" => self.topic.as_str(),
                    "era" => named, "known" => router.revisions.era());
            }
        }
        change == EraChange::Late
    }

    /// Takes over the store's era, which this or another topic's answer named. Returns whether it
    /// has changed: nothing that was inferred from revisions counts then, and the copy lacks the
    /// targets that registered after it was made.
    fn follow_era(&mut self) -> bool {
        let era = self.router.revisions.era();
        if era == self.era {
            return false;
        }
        let before = std::mem::replace(&mut self.era, era);
        if before.is_none() {
            return false;
        }
        self.revision = None;
        self.newest_revision = 0;
        let now = self.router.now();
        self.reconnected_at = Some(now);
        self.copy_until = (self.topic == Topic::Targets).then(|| now + COPY_GRACE);
        true
    }

    /// Lists once more when nothing of the copy is left, as listings of it may have been ignored.
    fn end_copy(&mut self, now: Time) {
        if self.copy_until.is_some_and(|until| until <= now) {
            self.copy_until = None;
            self.revision = None;
        }
    }

    /// Whether the registration of a target may have lapsed while the store was away, so that it has
    /// yet to register again.
    fn may_have_lapsed(&self, id: &str) -> bool {
        let fleet = self.router.fleet.borrow();
        self.copy_until.is_some() && fleet.get(id).is_some_and(|t| !t.is_draining)
    }

    fn watch_wait(&self) -> Duration {
        let load = self.router.load.borrow();
        let slot = WatchSlot {
            entries: load.peers() + 1,
            rank: load.peers_before(&self.router.settings.node),
            topic: TOPICS.iter().take_while(|t| **t != self.topic).count(),
            topics: TOPICS.len(),
        };
        // A clock before 1970 only takes another turn.
        let time_of_day = SystemTime::now().duration_since(UNIX_EPOCH);
        slot.wait(time_of_day.unwrap_or_default())
    }

    /// Returns once this topic's connection may be silent and may be renewed.
    async fn wait_until_doubtful(&self) {
        let router = &self.router;
        let answered = router.revisions.last_answer(self.topic);
        router
            .silent_connections
            .wait_until_doubtful(answered)
            .await;
        tokio::time::sleep(renewal_pause(self.listed_at, router.now())).await;
    }

    /// Records that connections are silent if a watch got no answer and the list after it, on a new
    /// connection, got one at once.
    fn find_silence(
        &mut self,
        result: &Result<Batch, DirectoryError>,
        is_watch: bool,
        began: Time,
    ) {
        let router = &self.router;
        let now = router.now();
        let unanswered = self.unanswered_watch.take();
        match result {
            Err(DirectoryError::Silent { .. }) if is_watch => self.unanswered_watch = Some(now),
            Ok(_) if !is_watch => {
                self.listed_at = now;
                let is_prompt = now.saturating_sub(began) <= PROMPT_LIST;
                if let Some(at) = unanswered.filter(|_| is_prompt) {
                    warn!(router.log, "connections to the store fell silent";
                        "topic" => self.topic.as_str());
                    router.metrics.silent_connections.inc();
                    router.silent_connections.on_found(at);
                    router.is_news_urgent.set(true);
                }
            }
            _ => {}
        }
    }

    fn on_answer(&mut self) {
        let now = self.router.now();
        self.router.revisions.record_answer(self.topic, now);
        if let Some(since) = self.failed_since.take() {
            let outage = now.saturating_sub(since);
            info!(self.router.log, "platform regained"; "topic" => self.topic.as_str(),
                "after_ms" => outage.as_millis());
            if outage >= LAPSE_OUTAGE {
                self.reconnected_at = Some(now);
            }
        }
        self.failures = 0;
    }

    fn on_error(&mut self, e: &DirectoryError) {
        self.router.metrics.platform_error(self.topic.as_str());
        if self.failed_since.is_none() {
            self.failed_since = Some(self.router.now());
            warn!(self.router.log, "platform lost"; "topic" => self.topic.as_str(),
                "cause" => %e, "revision" => self.revision);
        }
        self.failures += 1;
    }

    /// Pause after a failed call: it doubles up to the longest one, with jitter, so that the
    /// entries do not call again together.
    fn retry_pause(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(8);
        let pause = (RETRY_PAUSE.0 * (1 << doublings)).min(RETRY_PAUSE.1);
        pause.mul_f64(self.router.rng.borrow_mut().random_range(0.5..1.0))
    }

    fn apply(&mut self, batch: Batch, is_whole: bool) {
        if batch.revision < self.newest_revision {
            // The answer reflects an older state than the one known, which must not be restored.
            warn!(self.router.log, "stale answer dropped"; "topic" => self.topic.as_str(),
                "revision" => batch.revision, "known" => self.newest_revision);
            return;
        }
        self.newest_revision = batch.revision;
        self.router
            .revisions
            .record_revision(self.topic, batch.revision, batch.last_change);
        if is_whole {
            self.router.revisions.record_list();
            self.forget_unreadable(&batch);
            if self.topic == Topic::Targets {
                self.remove_missing(&batch);
            }
        }
        // A change that a watch reports was made after the copy was in use.
        let is_copy = is_whole && self.copy_until.is_some();
        for item in batch.items {
            self.apply_item(item, is_copy);
        }
        self.revision = Some(batch.revision);
        let targets = self.router.fleet.borrow().len();
        self.router
            .metrics
            .targets
            .set(targets.cast_signed() as i64);
    }

    /// Forgets the unreadable objects that a list no longer holds.
    fn forget_unreadable(&mut self, batch: &Batch) {
        let mut listed: Vec<&str> = batch
            .items
            .iter()
            .filter_map(|i| match i {
                Item::Unreadable { name, .. } => Some(&**name),
                _ => None,
            })
            .collect();
        listed.sort_unstable();
        self.unreadable
            .retain(|name| listed.binary_search(&&**name).is_ok());
    }

    fn apply_item(&mut self, item: Item, is_copy: bool) {
        match item {
            Item::Configuration(cfg) => self.router.apply(cfg),
            Item::Target(target) => self.insert(target, is_copy),
            Item::Unreadable { name, problem } => {
                if let Err(at) = self.unreadable.binary_search(&name) {
                    self.router.metrics.unreadable(self.topic.as_str());
                    warn!(self.router.log, "object not readable"; "topic" => self.topic.as_str(),
                        "name" => &*name, "cause" => %problem);
                    self.unreadable.insert(at, Arc::clone(&name));
                }
                if self.topic == Topic::Targets {
                    self.remove_now(&name);
                }
            }
            Item::Removed { name } if self.may_have_lapsed(&name) => self.remove_or_delay(&name),
            // The removal happened after the outage, so that the registration did not lapse during
            // it.
            Item::Removed { name } if self.topic == Topic::Targets => self.remove_now(&name),
            Item::Removed { name } => {
                warn!(self.router.log, "object removed, what is known stays in force";
                    "topic" => self.topic.as_str(), "name" => &*name);
            }
        }
    }

    fn insert(&mut self, mut target: Arc<Target>, is_copy: bool) {
        let listing = {
            let (departures, fleet) = (&self.router.departures, self.router.fleet.borrow());
            departures.borrow().judge(&target, &fleet, is_copy)
        };
        match listing {
            Listing::Outdated => {
                info!(self.router.log, "listing of the copy ignored"; "id" => &*target.id,
                    "address" => %target.address, "started_ms" => target.started_ms);
                return;
            }
            Listing::Leaving => Arc::make_mut(&mut target).is_draining = true,
            Listing::Current => {}
        }
        self.lapsed.retain(|(name, _)| *name != target.id);
        self.router.departures.borrow_mut().on_listed(&target.id);
        let displaced = displaced(&self.router.fleet.borrow(), &target);
        for id in displaced {
            self.remove_now(&id);
        }
        let old = self.router.fleet.borrow_mut().insert(Arc::clone(&target));
        let is_news = old.as_ref().is_none_or(|o| {
            o.is_draining != target.is_draining
                || o.started_ms != target.started_ms
                || o.layers != target.layers
                || o.address != target.address
        });
        if is_news {
            info!(self.router.log, "target"; "id" => &*target.id, "address" => %target.address,
                "zone" => &*target.zone, "draining" => target.is_draining,
                "started_ms" => target.started_ms, "accelerator" => &*target.accelerator,
                "layers" => target.layers.map(|l| l.to_string()));
        }
        let is_same = old
            .as_ref()
            .is_some_and(|o| o.started_ms == target.started_ms && o.address == target.address);
        if !is_same {
            self.router.limits.borrow_mut().on_restarted(target.address);
            self.router.pauses.borrow_mut().on_restarted(target.address);
        }
        let now = self.router.now();
        self.router.placements.borrow_mut().on_listed(&target, now);
        self.router.contention.room_changed.notify_one();
    }

    fn remove_missing(&mut self, batch: &Batch) {
        let mut listed: Vec<&str> = batch
            .items
            .iter()
            .filter_map(|i| match i {
                Item::Target(t) => Some(&*t.id),
                _ => None,
            })
            .collect();
        listed.sort_unstable();
        let missing: Vec<Arc<str>> = self
            .router
            .fleet
            .borrow()
            .iter()
            .filter(|t| listed.binary_search(&&*t.id).is_err())
            .map(|t| t.id.clone())
            .collect();
        for id in missing {
            self.remove_or_delay(&id);
        }
    }

    /// Removes a target that a list lacks, or delays its removal if its registration may have
    /// lapsed in an outage just before.
    fn remove_or_delay(&mut self, id: &Arc<str>) {
        let now = self.router.now();
        let due = self.reconnected_at.map(|at| at + LAPSE_GRACE);
        match due {
            Some(due) if now < due => {
                if self.router.fleet.borrow().get(id).is_some()
                    && !self.lapsed.iter().any(|(name, _)| name == id)
                {
                    self.lapsed.push((Arc::clone(id), due));
                }
            }
            _ => self.remove_now(id),
        }
    }

    fn remove_now(&mut self, id: &str) {
        self.lapsed.retain(|(name, _)| **name != *id);
        let removed = self.router.fleet.borrow_mut().remove(id);
        if let Some(target) = removed {
            let now = self.router.now();
            self.router.departures.borrow_mut().on_left(&target, now);
            info!(self.router.log, "target gone"; "id" => id);
        }
    }

    fn remove_lapsed(&mut self) {
        let now = self.router.now();
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.lapsed)
            .into_iter()
            .partition(|(_, at)| *at <= now);
        self.lapsed = waiting;
        for (id, _) in due {
            self.remove_now(&id);
        }
    }
}
