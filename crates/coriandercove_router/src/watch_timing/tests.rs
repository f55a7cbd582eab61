use googletest::prelude::*;

use super::*;

/// Time from the end of a watch on a silent connection until every entry has listed again: the time
/// that the answer may take, a list, and the datagram to the peers.
const RENEWAL_TIME: Duration = Duration::from_millis(1300);
/// Time for which a silence excuses an entry that uses an older version.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// A watch of each topic at each entry, all of which begin after a change at about the same time.
struct Watches {
    slots: Vec<WatchSlot>,
    /// Time at which each watch ends.
    ends: Vec<Duration>,
    count: usize,
}

impl Watches {
    fn start(entries: usize, change: Duration) -> Self {
        let slot = |i| WatchSlot {
            entries,
            rank: i / 2,
            topic: i % 2,
            topics: 2,
        };
        let slots: Vec<WatchSlot> = (0..entries * 2).map(slot).collect();
        // The answers reach the entries at different moments.
        let late = |i: usize| Duration::from_millis(i as u64 * 37 % 200);
        let ends = slots.iter().enumerate().map(|(i, s)| {
            let began = change + late(i);
            began + s.wait(began)
        });
        Self {
            ends: ends.collect(),
            count: slots.len(),
            slots,
        }
    }

    /// Lets the watch that ends first begin anew, and returns when it ended.
    fn next_end(&mut self) -> Duration {
        let first = (0..self.ends.len()).min_by_key(|i| self.ends[*i]).unwrap();
        let end = self.ends[first];
        // A timer fires late, an answer takes some ms.
        let answered = end + Duration::from_millis(6);
        self.ends[first] = answered + self.slots[first].wait(answered);
        self.count += 1;
        end
    }
}

/// Guards against a silence of all connections that no watch ends in time to tell the others. Load:
/// from one to 480 entries, right after changes at many moments and in the minute that follows.
#[gtest]
fn some_watch_always_ends_soon() {
    for entries in [1, 2, 3, 5, 8, 26, 37, 60, 68, 480] {
        for change_ms in (1_000_000..1_030_000).step_by(470) {
            let change = Duration::from_millis(change_ms);
            let mut watches = Watches::start(entries, change);
            let mut last = change;
            while last < change + Duration::from_secs(60) {
                let end = watches.next_end();
                expect_that!(
                    end - last + RENEWAL_TIME,
                    le(CONTACT_TIME),
                    "{entries} entries"
                );
                last = end;
            }
        }
    }
}

/// Guards against paying for it with more calls than before, in quiet deployments of the sizes in use.
#[gtest]
fn watches_are_no_more_frequent_than_before() {
    const SECONDS: u32 = 600;
    for (entries, former_factor) in [(8, 1), (37, 4), (60, 4), (68, 4)] {
        let start = Duration::from_secs(1000);
        let mut watches = Watches::start(entries, start);
        while watches.next_end() < start + Duration::from_secs(SECONDS.into()) {}
        let former = SECONDS / (5 * former_factor) * entries as u32 * 2;
        expect_that!(
            watches.count as u32,
            le(former + entries as u32 * 2),
            "{entries} entries"
        );
    }
}

/// Guards against a watch that is renewed again and again in its own slot.
#[gtest]
fn a_watch_waits_for_a_whole_cycle_in_the_end() {
    let slot = WatchSlot {
        entries: 8,
        rank: 3,
        topic: 1,
        topics: 2,
    };
    let first = Duration::from_secs(100) + slot.wait(Duration::from_secs(100));
    for early_ms in [0, 5, 200] {
        let wait = slot.wait(first - Duration::from_millis(early_ms));
        expect_that!(wait, ge(slot.cycle()));
    }
}
