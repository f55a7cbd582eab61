//! A request of a plain service that crashes every target which begins to run it, and that comes again
//! at any entry while sound requests are served.

#![allow(
    clippy::unwrap_used,
    reason = "a test fails at the first unexpected value"
)]

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rand::Rng as _;

use coriandercove_base::rng;
use support::cluster::{CRASHING_PATH, Cluster, Member};
use support::read_all;

/// Bound on the time from the third crash until the entries have decided.
const CONTACT: Duration = Duration::from_secs(3);
/// Times that the request may be sent to targets after [`CONTACT`], by all entries together.
const MAX_LATE: usize = 3;

/// Status and time of sending of each sound request.
type Sound = Rc<RefCell<Vec<(Instant, u16)>>>;

/// Sends a request and returns the head and the body of the answer.
async fn request(member: &Rc<Member>, path: &str, label: &str) -> String {
    let headers = format!("label: {label}\r\nconnection: close\r\n");
    let mut caller = member.entry.request(path, &headers).await;
    read_all(&mut caller).await
}

/// Sends the crashing request and sound ones to random entries for a while.
async fn load(members: &[Rc<Member>], route: &str, seed: u64, time: Duration, sound: &Sound) {
    const INTERVAL: Duration = Duration::from_millis(60);
    let mut rng = rng::seeded(seed);
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < time {
        let member = Rc::clone(&members[rng.random_range(0..members.len())]);
        let sound = Rc::clone(sound);
        let label = format!("{seed}-{number}");
        let path = if number % 6 == 0 {
            format!("{route}{CRASHING_PATH}")
        } else {
            format!("{route}/{number}")
        };
        actix_rt::spawn(async move {
            let sent = Instant::now();
            let answer = request(&member, &path, &label).await;
            if !path.ends_with(CRASHING_PATH) {
                let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
                sound.borrow_mut().push((sent, status.unwrap_or(0)));
            }
        });
        number += 1;
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn check_route(route: &str) {
    let cluster = Cluster::start(6, 666).await;
    let mut members = Vec::new();
    for n in 0..3 {
        members.push(cluster.join(n).await);
    }
    // The entries decide without the store.
    cluster.verdicts.is_down.set(true);
    let sound = Sound::default();
    load(&members, route, 1, Duration::from_secs(6), &sound).await;
    // An entry that joins later has to follow the same decision.
    members.push(cluster.join(3).await);
    tokio::time::sleep(Duration::from_secs(1)).await;
    load(&members, route, 2, Duration::from_secs(3), &sound).await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    let crashes = cluster.events.crashes.borrow().clone();
    assert_that!(crashes.len(), ge(3), "the load does not crash targets");
    let decided = crashes[2] + CONTACT;
    let arrivals = cluster.events.arrivals.borrow().clone();
    let late = arrivals
        .iter()
        .filter(|a| a.is_crashing && a.at > decided)
        .count();
    assert_that!(late, le(MAX_LATE), "{} targets ended", crashes.len());
    let sound = sound.borrow().clone();
    let after = sound.iter().filter(|(sent, _)| *sent > decided);
    let served = after.clone().filter(|(_, status)| *status == 200).count();
    assert_that!(served, ge(20));
    assert_that!(served, eq(after.count()), "sound requests are served");

    let answer = request(&members[3], &format!("{route}{CRASHING_PATH}"), "last").await;
    assert_that!(answer, starts_with("HTTP/1.1 502"));
    assert_that!(answer, not(contains_substring("retry-after")));
}

/// Guards against entries that send a request which may repeat on to one target after the other,
/// although every target that began to run it has ended.
#[actix_rt::test]
async fn a_repeatable_request_that_crashes_targets_is_not_sent_on_by_any_entry() {
    check_route("/safe").await;
}

/// Guards against the same for a request that must not repeat and that callers send again.
#[actix_rt::test]
async fn a_request_that_must_not_repeat_and_crashes_targets_is_not_sent_by_any_entry() {
    check_route("/once").await;
}
