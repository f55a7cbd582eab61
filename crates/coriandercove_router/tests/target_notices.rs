//! Targets that say in their answers what they want: a pause, or no new work because they leave.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;

use coriandercove_router::departures::LeavingTarget;
use support::{Entry, Seen, read_all, target, write};

const SOUND: &str = "HTTP/1.1 200 OK\r\nstamp: 1\r\ncontent-length: 2\r\nlabel: ";

/// Starts a target that gives each request this answer, up to the request's label.
async fn answering(answer: &'static str) -> (std::net::SocketAddr, Seen) {
    target(move |_, head, mut stream| async move {
        let label = head.lines().find_map(|l| l.strip_prefix("label: "));
        let label = label.unwrap_or_default();
        write(&mut stream, &format!("{answer}{label}\r\n\r\nok")).await;
    })
    .await
}

/// Sends requests for a while and returns how many were answered with status 200.
async fn send_for(entry: &Entry, route: &str, time: Duration) -> usize {
    let began = Instant::now();
    let mut served = 0;
    let mut number = 0;
    while began.elapsed() < time {
        let headers = format!("label: r{number}\r\nconnection: close\r\n");
        let mut caller = entry.request(&format!("/{route}/{number}"), &headers).await;
        served += usize::from(read_all(&mut caller).await.starts_with("HTTP/1.1 200"));
        number += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    served
}

/// Guards against sending requests or repeats to a target that wants nothing for a while, against
/// refusing requests that another target takes, and against a target that gets no work again.
#[actix_rt::test]
async fn a_target_that_wants_a_pause_is_left_alone_for_it() {
    const BUSY: &str =
        "HTTP/1.1 503 Busy\r\nnot-run: 1\r\npause-ms: 2000\r\ncontent-length: 2\r\nlabel: ";
    let (paused, seen) = answering(BUSY).await;
    let (sound, served) = answering(SOUND).await;
    let entry = Entry::start(&[paused, sound]).await;
    let answered = send_for(&entry, "safe", Duration::from_millis(1500)).await;
    assert_that!(answered, ge(50));
    assert_that!(seen.borrow().len(), le(1));
    let alone = Entry::start(&[paused]).await;
    let before = seen.borrow().len();
    let began = Instant::now();
    send_for(&alone, "once", Duration::from_millis(1500)).await;
    assert_that!(seen.borrow().len(), le(before + 1));
    // Requests that no target takes now are refused at once, and the target is tried again later.
    assert_that!(began.elapsed(), lt(Duration::from_millis(2000)));
    let while_busy = served.borrow().len();
    send_for(&alone, "once", Duration::from_millis(1500)).await;
    assert_that!(seen.borrow().len(), eq(before + 2));
    assert_that!(served.borrow().len(), eq(while_busy));
}

/// Guards against new work for a target whose answer said that it leaves, before the platform's list
/// says so, and against a peer's word that is not followed.
#[actix_rt::test]
async fn a_target_that_says_that_it_leaves_gets_no_new_work() {
    const LEAVING: &str =
        "HTTP/1.1 200 OK\r\nstamp: 1\r\nleaving: 1\r\ncontent-length: 2\r\nlabel: ";
    let (leaving, seen) = answering(LEAVING).await;
    let (sound, _) = answering(SOUND).await;
    let entry = Entry::start(&[leaving, sound]).await;
    for route in ["safe", "once"] {
        let answered = send_for(&entry, route, Duration::from_millis(300)).await;
        assert_that!(answered, ge(10));
        assert_that!(seen.borrow().len(), eq(1), "{route}");
    }
    let other = Entry::start(&[leaving, sound]).await;
    let told = LeavingTarget {
        id: "t0".into(),
        started_ms: 1,
    };
    other.router.record_leaving(&told, false);
    assert_that!(
        send_for(&other, "safe", Duration::from_millis(300)).await,
        ge(10)
    );
    assert_that!(seen.borrow().len(), eq(1));
}
