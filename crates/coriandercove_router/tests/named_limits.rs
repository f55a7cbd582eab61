//! Targets that name how many requests a second they take from all entries together.

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
use support::cluster::{Cluster, Events, Member};
use support::read_all;

/// Time after a limit is first named from which on it must be kept.
const CONTACT: Duration = Duration::from_secs(3);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Status and duration of each answer, with the time at which its request was sent.
type Answers = Rc<RefCell<Vec<(Instant, u16, Duration)>>>;

fn request(member: &Rc<Member>, label: String, answers: &Answers) {
    let (member, answers) = (Rc::clone(member), Rc::clone(answers));
    actix_rt::spawn(async move {
        let sent = Instant::now();
        let headers = format!("label: {label}\r\nconnection: close\r\n");
        let mut caller = member.entry.request("/resumable/x", &headers).await;
        let answer = read_all(&mut caller).await;
        let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
        let answer = (sent, status.unwrap_or(0), sent.elapsed());
        answers.borrow_mut().push(answer);
    });
}

/// Sends 40 requests a second for a while; the first entry gets most of them.
async fn load(members: &[Rc<Member>], seed: u64, time: Duration, answers: &Answers) {
    const INTERVAL: Duration = Duration::from_millis(25);
    let mut rng = rng::seeded(seed);
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < time {
        let last = members.len();
        let at = if rng.random_bool(0.5) {
            0
        } else {
            rng.random_range(0..last)
        };
        request(&members[at], format!("{seed}-{number}"), answers);
        number += 1;
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Times at which requests reached a target, in order.
fn arrivals(events: &Events, target: usize) -> Vec<Instant> {
    let arrivals = events.arrivals.borrow();
    let of_target = arrivals.iter().filter(|a| a.target == target);
    of_target.map(|a| a.at).collect()
}

/// Largest number of these times within one window that begins after `start`.
fn most_in_window(times: &[Instant], start: Instant) -> usize {
    let counted: Vec<&Instant> = times.iter().filter(|t| **t >= start).collect();
    let in_window = |i: usize| {
        let window = counted[i..].iter();
        window
            .take_while(|t| t.duration_since(*counted[i]) < WINDOW)
            .count()
    };
    (0..counted.len()).map(in_window).max().unwrap_or(0)
}

/// Requests that a target with a limit may get in a window: one and a half times the limit and 5.
fn allowed(per_second: f64) -> f64 {
    1.5 * per_second * WINDOW.as_secs_f64() + 5.0
}

/// Guards against entries that each send as much as a target takes from all of them, among them one
/// that joins later, and against refusing what other targets can run.
#[actix_rt::test]
async fn a_limit_that_a_target_names_holds_over_all_entries() {
    let cluster = Cluster::start(3, 0).await;
    let mut members = Vec::new();
    for n in 0..4 {
        members.push(cluster.join(n).await);
    }
    let answers = Answers::default();
    load(&members, 1, Duration::from_secs(2), &answers).await;
    cluster.events.name_limit(0, "2000");
    let named = Instant::now();
    load(&members, 2, Duration::from_secs(5), &answers).await;
    members.push(cluster.join(4).await);
    // The new entry has sent nothing; it knows the limit from its peers.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let limits = &members[4].entry.router.limits;
    assert_that!(limits.borrow().limit(cluster.address(0)), some(anything()));
    load(&members, 3, Duration::from_secs(5), &answers).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let most = most_in_window(&arrivals(&cluster.events, 0), named + CONTACT);
    assert_that!(most as f64, le(allowed(2.0)));
    assert_that!(most, ge(2), "the target gets what it takes");
    let served = answers.borrow().iter().filter(|a| a.1 == 200).count();
    let all = answers.borrow().len();
    assert_that!(served * 20, ge(all * 19), "requests go to other targets");
}

/// Guards against requests that wait for a target which does not take them, against a lowered limit
/// that is not followed, and against a limit that outlasts its withdrawal.
#[actix_rt::test]
async fn lowered_and_withdrawn_limits_are_followed() {
    let cluster = Cluster::start(1, 0).await;
    let members = [cluster.join(0).await, cluster.join(1).await];
    let answers = Answers::default();
    cluster.events.name_limit(0, "8000");
    load(&members, 1, Duration::from_secs(2), &answers).await;
    cluster.events.name_limit(0, "1000");
    let lowered = Instant::now();
    load(&members, 2, Duration::from_secs(7), &answers).await;
    let most = most_in_window(&arrivals(&cluster.events, 0), lowered + CONTACT);
    assert_that!(most as f64, le(allowed(1.0)));
    for (_, status, took) in answers.borrow().iter().filter(|a| a.0 > lowered + CONTACT) {
        if *status == 503 {
            assert_that!(*took, lt(Duration::from_millis(200)));
        }
    }
    // An answer that cannot be read is no withdrawal.
    cluster.events.name_limit(0, "unreadable");
    let unreadable = Instant::now();
    load(&members, 3, Duration::from_secs(5), &answers).await;
    let most = most_in_window(&arrivals(&cluster.events, 0), unreadable);
    assert_that!(most as f64, le(allowed(1.0)));
    cluster.events.name_limit(0, "");
    load(&members, 4, Duration::from_secs(4), &answers).await;
    let withdrawn = Instant::now();
    load(&members, 5, Duration::from_secs(2), &answers).await;
    let answers = answers.borrow();
    let last: Vec<_> = answers.iter().filter(|a| a.0 > withdrawn).collect();
    let served = last.iter().filter(|a| a.1 == 200).count();
    assert_that!(served * 10, ge(last.len() * 9), "of {}", last.len());
}
