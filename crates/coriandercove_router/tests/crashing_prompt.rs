//! A part of a prompt that crashes every target which begins to answer it, sent to several entries
//! while sound requests share its other part.

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

use coriandercove_base::hash::hash64;
use coriandercove_base::rng;
use support::cluster::{Cluster, Member};
use support::read_all;

/// Part that crashes targets.
const CRASHING: u64 = 666;
/// First part of the crashing prompts, which sound prompts have as well.
const SHARED: u64 = 7;
/// Bound on the time from the fifth crash until no entry sends such a request any more.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests with the part that may reach targets after [`CONTACT`].
const MAX_LATE: usize = 3;

/// An answered request.
struct Answered {
    label: String,
    sent: Instant,
    is_crashing: bool,
    status: u16,
    has_begun: bool,
}

type Answers = Rc<RefCell<Vec<Answered>>>;

/// Headers of a request with these shared parts and a last part of its own, so that no two requests
/// are alike.
fn prompt_headers(label: &str, parts: &str) -> String {
    let own = hash64(&[label.as_bytes()]);
    format!("label: {label}\r\nparts: {parts}\r\nown-part: {own}\r\nconnection: close\r\n")
}

/// Sends a request with these shared parts and records its answer.
fn request(member: &Rc<Member>, label: String, parts: Vec<u64>, answers: &Answers) {
    let (member, answers) = (Rc::clone(member), Rc::clone(answers));
    actix_rt::spawn(async move {
        let sent = Instant::now();
        let is_crashing = parts.contains(&CRASHING);
        let text: Vec<String> = parts.iter().map(u64::to_string).collect();
        let headers = prompt_headers(&label, &text.join(","));
        let mut caller = member.entry.request("/resumable/x", &headers).await;
        let answer = read_all(&mut caller).await;
        let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
        answers.borrow_mut().push(Answered {
            label,
            sent,
            is_crashing,
            status: status.unwrap_or(0),
            has_begun: answer.contains("id: 1\n"),
        });
    });
}

/// Sends requests to random entries for a while, a twelfth of them with the crashing part.
async fn load(members: &[Rc<Member>], seed: u64, time: Duration, answers: &Answers) {
    const INTERVAL: Duration = Duration::from_millis(25);
    let mut rng = rng::seeded(seed);
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < time {
        let member = &members[rng.random_range(0..members.len())];
        let parts = match number % 12 {
            0 => vec![SHARED, CRASHING],
            1..=3 => vec![SHARED],
            _ => vec![rng.random_range(100..130)],
        };
        request(member, format!("{seed}-{number}"), parts, answers);
        number += 1;
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Guards against entries that send requests on to one target after the other although a part of
/// the prompt has crashed every target before, and against refusing the sound requests that share
/// the rest of the prompt.
#[actix_rt::test]
async fn a_part_that_crashes_targets_is_not_sent_on_by_any_entry() {
    let cluster = Cluster::start(8, CRASHING).await;
    let mut members = Vec::new();
    for n in 0..3 {
        members.push(cluster.join(n).await);
    }
    // The entries decide without the store.
    cluster.verdicts.is_down.set(true);
    let answers = Answers::default();
    load(&members, 1, Duration::from_secs(7), &answers).await;
    // An entry that joins later has to follow the same decision.
    members.push(cluster.join(3).await);
    let joined = Instant::now();
    tokio::time::sleep(Duration::from_secs(1)).await;
    load(&members, 2, Duration::from_secs(4), &answers).await;
    tokio::time::sleep(Duration::from_secs(2)).await;

    let crashes = cluster.events.crashes.borrow().clone();
    assert_that!(crashes.len(), ge(3), "the load does not crash targets");
    let decided = *crashes.get(4).or(crashes.last()).unwrap() + CONTACT;
    let arrivals = cluster.events.arrivals.borrow().clone();
    let late = arrivals
        .iter()
        .filter(|a| a.is_crashing && a.at > decided)
        .count();
    assert_that!(late, le(MAX_LATE), "{} targets ended", crashes.len());

    let answers = answers.borrow();
    for refused in answers.iter().filter(|a| a.status == 503) {
        let has_run = arrivals.iter().any(|a| a.label == refused.label);
        assert_that!(
            has_run,
            eq(false),
            "{} is refused as not run",
            refused.label
        );
    }
    let settled = decided + CONTACT;
    assert_that!(joined, lt(settled + Duration::from_secs(10)));
    let sound: Vec<&Answered> = answers
        .iter()
        .filter(|a| !a.is_crashing && a.sent > settled)
        .collect();
    let begun = sound.iter().filter(|a| a.has_begun).count();
    assert_that!(sound.len(), ge(20));
    assert_that!(begun * 2, ge(sound.len()), "sound requests that begin");
}

/// Whether a request with this part is answered, with its first event.
async fn is_served(member: &Rc<Member>, part: u64) -> bool {
    let headers = prompt_headers(&format!("after-{part}"), &part.to_string());
    let mut caller = member.entry.request("/resumable/x", &headers).await;
    let answer = read_all(&mut caller).await;
    answer.starts_with("HTTP/1.1 200") && answer.contains("id: 1\n")
}

/// Guards against convicting the part that crashing prompts share with sound ones, as many targets end
/// under both at the same moment.
#[actix_rt::test]
async fn sound_requests_are_served_after_crashing_ones_ended_targets_together() {
    let cluster = Cluster::start(8, CRASHING).await;
    let members = [cluster.join(0).await, cluster.join(1).await];
    let answers = Answers::default();
    // Six requests begin at six targets at the same moment, each with the part that ends them.
    for n in 0..6 {
        request(
            &members[n % 2],
            format!("c{n}"),
            vec![SHARED, CRASHING],
            &answers,
        );
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_that!(is_served(&members[0], SHARED).await, eq(true));
}

/// Guards against judging by the targets that end: a lost rack ends many targets at once, and with
/// them the requests of every part.
#[actix_rt::test]
async fn sound_requests_are_served_after_many_targets_ended_together() {
    let cluster = Cluster::start(8, CRASHING).await;
    let members = [cluster.join(0).await, cluster.join(1).await];
    let answers = Answers::default();
    for n in 0..24 {
        let part = if n < 12 { SHARED } else { 100 + n as u64 };
        request(&members[n % 2], format!("c{n}"), vec![part], &answers);
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    (0..8).for_each(|target| cluster.end_target(target));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_that!(cluster.events.crashes.borrow().len(), eq(8));
    assert_that!(is_served(&members[0], SHARED).await, eq(true));
}

/// Guards against convicting a part that is answered all the time, because targets that run requests
/// with it are lost one after the other.
#[actix_rt::test]
async fn requests_that_are_answered_lately_are_served_after_a_series_of_losses() {
    let cluster = Cluster::start(8, CRASHING).await;
    let member = cluster.join(0).await;
    let answers = Answers::default();
    for lost in 0..4 {
        for n in 0..48 {
            let part = if n < 16 { SHARED } else { 100 + n };
            request(&member, format!("c{lost}-{n}"), vec![part], &answers);
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
        cluster.end_target(lost);
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }
    assert_that!(cluster.events.crashes.borrow().len(), eq(4));
    assert_that!(is_served(&member, SHARED).await, eq(true));
}

/// Guards against convicting a part that most prompts hold, because an outage ends every target, one
/// after the other, before anything is answered.
#[actix_rt::test]
async fn requests_with_a_common_part_are_served_after_an_outage() {
    let cluster = Cluster::start(8, CRASHING).await;
    let member = cluster.join(0).await;
    let answers = Answers::default();
    for n in 0..48 {
        request(&member, format!("c{n}"), vec![SHARED], &answers);
    }
    tokio::time::sleep(Duration::from_millis(120)).await;
    for target in 0..8 {
        cluster.end_target(target);
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_that!(cluster.events.crashes.borrow().len(), eq(8));
    assert_that!(is_served(&member, SHARED).await, eq(true));
}

/// Sends a request with the crashing part and returns the head of the answer.
async fn crashing_request(member: &Rc<Member>, label: &str) -> String {
    let headers = prompt_headers(label, &format!("{SHARED},{CRASHING}"));
    let mut caller = member.entry.request("/resumable/x", &headers).await;
    read_all(&mut caller).await
}

/// Polls until a condition holds, for as long as an operator may wait.
async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert_that!(began.elapsed(), lt(Duration::from_secs(15)), "{what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against forgetting the part when all entries restart, and against a quarantine that an
/// operator cannot end.
#[actix_rt::test]
async fn the_store_keeps_a_quarantine_until_an_operator_lifts_it() {
    let cluster = Cluster::start(6, CRASHING).await;
    let members = [cluster.join(0).await, cluster.join(1).await];
    for n in 0..3 {
        crashing_request(&members[n % 2], &format!("c{n}")).await;
    }
    let is_convicted =
        |member: &Rc<Member>| member.entry.router.convicted_mark(&[CRASHING]).is_some();
    wait_for("the verdict is stored", || {
        !cluster.verdicts.objects.borrow().is_empty()
    })
    .await;
    // Entries that know nobody of before: they and their targets are new, the store is the same.
    let mut restarted = Cluster::start(2, CRASHING).await;
    restarted.verdicts = Rc::clone(&cluster.verdicts);
    let new = restarted.join(0).await;
    wait_for("a new entry knows the verdict", || is_convicted(&new)).await;
    let answer = crashing_request(&new, "n").await;
    assert_that!(answer, starts_with("HTTP/1.1 503"));
    assert_that!(answer, contains_substring("retry-after: "));
    assert_that!(restarted.events.arrivals.borrow().len(), eq(0));

    cluster.verdicts.objects.borrow_mut().clear();
    wait_for("all entries lift the quarantine", || {
        !members.iter().any(is_convicted) && !is_convicted(&new)
    })
    .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_that!(members.iter().any(is_convicted), eq(false));
    assert_that!(cluster.verdicts.objects.borrow().len(), eq(0));
}

/// Guards against taking the verdicts that a store lost for verdicts that an operator lifted.
#[actix_rt::test]
async fn a_store_from_an_older_copy_lifts_no_quarantine() {
    let cluster = Cluster::start(6, CRASHING).await;
    cluster.verdicts.era.set(Some(1));
    let members = [cluster.join(0).await, cluster.join(1).await];
    for n in 0..3 {
        crashing_request(&members[n % 2], &format!("c{n}")).await;
    }
    wait_for("the verdict is stored", || {
        !cluster.verdicts.objects.borrow().is_empty()
    })
    .await;
    cluster.verdicts.objects.borrow_mut().clear();
    cluster.verdicts.era.set(Some(2));
    wait_for("the verdict is stored again", || {
        let is_convicted = |m: &Rc<Member>| m.entry.router.convicted_mark(&[CRASHING]).is_some();
        assert_that!(members.iter().all(is_convicted), eq(true));
        !cluster.verdicts.objects.borrow().is_empty()
    })
    .await;
}
