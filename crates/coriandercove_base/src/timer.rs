//! A timer service that calls its subscribers periodically.
//!
//! One task per runtime thread drives all periodic work, so that a component needs neither its own
//! sleep loop nor a way to stop it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use tokio::time::Instant;

/// Shortest period of a subscription; shorter ones are raised to it.
const MIN_PERIOD: Duration = Duration::from_millis(1);

struct Subscriber {
    id: u64,
    period: Duration,
    due: Instant,
    callback: Rc<RefCell<dyn FnMut()>>,
}

#[derive(Default)]
struct Inner {
    subscribers: Vec<Subscriber>,
    next_id: u64,
    wake: Rc<tokio::sync::Notify>,
}

/// Runs the callbacks of its subscribers, each at its own period.
///
/// Callbacks run on the thread that created the service and must not block.
#[derive(Clone)]
pub struct TimerService {
    inner: Rc<RefCell<Inner>>,
    task: Rc<AbortOnDrop>,
}

struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A subscription to [`TimerService`], which ends when this is dropped.
#[must_use = "the subscription ends when this value is dropped"]
pub struct Subscription {
    id: u64,
    service: TimerService,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        let mut inner = self.service.inner.borrow_mut();
        inner.subscribers.retain(|s| s.id != self.id);
    }
}

impl TimerService {
    /// Starts the service on the current runtime thread.
    #[must_use]
    pub fn start() -> Self {
        let inner = Rc::new(RefCell::new(Inner::default()));
        let task = actix_rt::spawn(drive(Rc::clone(&inner)));
        Self {
            inner,
            task: Rc::new(AbortOnDrop(task)),
        }
    }

    /// Calls `callback` every `period`, the first time after one period.
    ///
    /// A late callback is called once; missed periods are not made up for.
    pub fn subscribe(&self, period: Duration, callback: impl FnMut() + 'static) -> Subscription {
        let mut inner = self.inner.borrow_mut();
        let period = period.max(MIN_PERIOD);
        let id = inner.next_id;
        inner.next_id += 1;
        inner.subscribers.push(Subscriber {
            id,
            period,
            due: Instant::now() + period,
            callback: Rc::new(RefCell::new(callback)),
        });
        inner.wake.notify_one();
        Subscription {
            id,
            service: self.clone(),
        }
    }

    /// Whether the task that calls the callbacks is still running.
    #[must_use]
    pub fn is_running(&self) -> bool {
        !self.task.0.is_finished()
    }
}

/// Waits for the next due callback or a new subscription, for the life of the service.
async fn drive(inner: Rc<RefCell<Inner>>) {
    let wake = Rc::clone(&inner.borrow().wake);
    loop {
        let next = inner.borrow().subscribers.iter().map(|s| s.due).min();
        match next {
            None => wake.notified().await,
            Some(due) => {
                tokio::select! {
                    () = tokio::time::sleep_until(due) => run_due(&inner),
                    () = wake.notified() => {}
                }
            }
        }
    }
}

/// Runs the callbacks that are due. They run without a borrow of the service, because they may
/// subscribe or unsubscribe.
fn run_due(inner: &RefCell<Inner>) {
    let now = Instant::now();
    let mut due = Vec::new();
    for s in &mut inner.borrow_mut().subscribers {
        if s.due <= now {
            s.due = now + s.period;
            due.push(Rc::clone(&s.callback));
        }
    }
    for callback in due {
        if let Ok(mut callback) = callback.try_borrow_mut() {
            callback();
        }
    }
}

#[cfg(test)]
mod tests;
