use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use super::TimerService;

/// Guards against callbacks that are still called after their subscription is dropped.
#[test]
fn runs_until_the_subscription_is_dropped() {
    actix_rt::System::new().block_on(async {
        let timers = TimerService::start();
        let count = Rc::new(Cell::new(0));
        let counter = Rc::clone(&count);
        let subscription = timers.subscribe(Duration::from_millis(1), move || {
            counter.set(counter.get() + 1);
        });
        while count.get() < 3 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        drop(subscription);
        let last = count.get();
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(count.get(), last);
    });
}
