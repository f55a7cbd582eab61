//! Answers, refusals and streams, as callers and targets see them on their sockets.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use support::{Entry, is_probe, read_all, read_until, requests, send, target, write};

const OK: &str = "HTTP/1.1 200 OK\r\nstamp: 1\r\nlabel: r\r\n";
const CLOSE: &str = "label: r\r\nconnection: close\r\n";

/// A complete answer of a target.
fn whole(body: &str) -> String {
    format!("{OK}content-length: {}\r\n\r\n{body}", body.len())
}

/// The beginning of an answer in chunked encoding.
fn chunked(first: &str) -> String {
    format!("{OK}transfer-encoding: chunked\r\n\r\n{}", chunk(first))
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

const LAST_CHUNK: &str = "0\r\n\r\n";

fn event(id: u32) -> String {
    format!("id: {id}\ndata: d{id}\n\n")
}

/// Guards against losing a body that ends with its connection. The HTTP client `awc` returned such
/// a body as empty.
#[actix_rt::test]
async fn a_body_without_a_length_arrives_whole() {
    let (address, _) = target(|_, _, mut stream| async move {
        write(&mut stream, &format!("{OK}\r\nall of it")).await;
    })
    .await;
    let entry = Entry::start(&[address]).await;
    let mut caller = entry.request("/safe/x", CLOSE).await;
    let answer = read_all(&mut caller).await;
    assert_that!(answer, starts_with("HTTP/1.1 200"));
    assert_that!(answer, ends_with("all of it"));
}

/// Guards against passing on a body that is shorter than its stated length. The HTTP client `awc`
/// returned such a body as complete.
#[actix_rt::test]
async fn a_body_cut_short_is_not_passed_as_whole() {
    let (address, seen) = target(|_, _, mut stream| async move {
        write(&mut stream, &format!("{OK}content-length: 20\r\n\r\nhalf")).await;
    })
    .await;
    let entry = Entry::start(&[address]).await;
    let mut caller = entry.request("/once/x", CLOSE).await;
    assert_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 502"));
    assert_that!(seen.borrow().len(), eq(1));
}

/// Guards against passing on an answer to another request.
#[actix_rt::test]
async fn an_answer_to_another_request_is_not_passed_on() {
    let (address, _) = target(|_, _, mut stream| async move {
        let other = OK.replace("label: r", "label: other");
        write(&mut stream, &format!("{other}content-length: 2\r\n\r\nno")).await;
    })
    .await;
    let entry = Entry::start(&[address]).await;
    let mut caller = entry.request("/once/x", CLOSE).await;
    let answer = read_all(&mut caller).await;
    assert_that!(answer, starts_with("HTTP/1.1 502"));
}

/// Guards against passing a second answer on a connection to the next request.
#[actix_rt::test]
async fn a_second_answer_on_a_connection_is_dropped() {
    let (address, _) = target(|n, _, mut stream| async move {
        let answer = whole(&format!("n{n}"));
        write(&mut stream, &answer.repeat(2)).await;
        tokio::time::sleep(Duration::from_secs(5)).await;
    })
    .await;
    let entry = Entry::start(&[address]).await;
    let mut caller = entry.request("/safe/x", "label: r\r\n").await;
    assert_that!(
        read_until(&mut caller, "n0").await,
        starts_with("HTTP/1.1 200")
    );
    send(&mut caller, "/safe/x", "label: r\r\n").await;
    assert_that!(
        read_until(&mut caller, "n1").await,
        starts_with("HTTP/1.1 200")
    );
}

/// Guards against running a request twice (a booking) after its connection broke.
#[actix_rt::test]
async fn a_request_that_must_not_repeat_is_sent_once() {
    let (address, seen) = target(|_, _, stream| async move { drop(stream) }).await;
    let entry = Entry::start(&[address, address]).await;
    let mut caller = entry.request("/once/x", CLOSE).await;
    assert_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 502"));
    assert_that!(seen.borrow().len(), eq(1));
}

/// Guards against a refusal without a retry delay, and against giving up while another target could
/// run the request.
#[actix_rt::test]
async fn targets_that_did_not_run_it_lead_to_a_refusal_with_advice() {
    let (full, seen) = target(|_, _, mut stream| async move {
        let answer = "HTTP/1.1 503 Full\r\nnot-run: 1\r\nlabel: r\r\ncontent-length: 0\r\n\r\n";
        write(&mut stream, answer).await;
    })
    .await;
    let entry = Entry::start(&[full]).await;
    let mut caller = entry.request("/once/x", CLOSE).await;
    let answer = read_all(&mut caller).await;
    assert_that!(answer, starts_with("HTTP/1.1 503"));
    assert_that!(answer, contains_substring("retry-after: "));
    assert_that!(seen.borrow().len(), ge(1));
    let (free, _) = target(|_, _, mut stream| async move {
        write(&mut stream, &whole("ok")).await;
    })
    .await;
    let entry = Entry::start(&[full, free]).await;
    let mut caller = entry.request("/once/x", CLOSE).await;
    assert_that!(read_all(&mut caller).await, ends_with("ok"));
}

/// Guards against waiting for a target beyond the caller's deadline.
#[actix_rt::test]
async fn an_answer_is_due_at_the_deadline() {
    let (address, _) = target(|_, _, stream| async move {
        tokio::time::sleep(Duration::from_secs(20)).await;
        drop(stream);
    })
    .await;
    let entry = Entry::start(&[address]).await;
    let began = std::time::Instant::now();
    let mut caller = entry
        .request("/once/x", &format!("deadline: 300\r\n{CLOSE}"))
        .await;
    assert_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 504"));
    assert_that!(began.elapsed(), lt(Duration::from_millis(800)));
}

/// Measures the time from the caller's disconnecting to the end of the target's connection.
async fn time_to_cancel(first: &'static str, wait_for: &'static str) -> Duration {
    let gone = Rc::new(Cell::new(false));
    let noted = Rc::clone(&gone);
    let (address, _) = target(move |_, _, mut stream| {
        let noted = Rc::clone(&noted);
        async move {
            write(&mut stream, first).await;
            let mut buf = [0; 16];
            // The read ends, or fails with a reset, once the router has closed the connection.
            let _ = stream.read(&mut buf).await;
            noted.set(true);
        }
    })
    .await;
    let entry = Entry::start(&[address]).await;
    let mut caller = entry.request("/resumable/x", "label: r\r\n").await;
    if wait_for.is_empty() {
        tokio::time::sleep(Duration::from_millis(200)).await;
    } else {
        read_until(&mut caller, wait_for).await;
    }
    assert_that!(gone.get(), eq(false));
    drop(caller);
    let left = std::time::Instant::now();
    while !gone.get() && left.elapsed() < Duration::from_secs(3) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    left.elapsed()
}

/// Guards against work for a caller that has disconnected, before the first byte and between
/// events. A handler of `actix-http` was seen to continue in that case.
#[actix_rt::test]
async fn a_target_is_left_when_its_caller_leaves() {
    const LIMIT: Duration = Duration::from_millis(500);
    assert_that!(time_to_cancel("", "").await, lt(LIMIT));
    let begun = "HTTP/1.1 200 OK\r\nstamp: 1\r\nlabel: r\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
    assert_that!(time_to_cancel(begun, "data: a").await, lt(LIMIT));
}

/// Guards against missing, duplicated or incomplete events when a target stops in the middle of an
/// event.
#[actix_rt::test]
async fn a_stream_goes_on_at_another_target_without_gaps_or_duplicates() {
    let (address, seen) = target(|n, head, mut stream| async move {
        if is_probe(&head) {
            return;
        }
        let text = if n == 0 {
            assert!(!head.contains("after:"));
            format!("{}{}id: 3\nda", event(1), event(2))
        } else {
            assert!(head.contains("after: 2"));
            // One event is repeated; the caller has it already.
            format!("{}{}{}", event(2), event(3), event(4))
        };
        let end = if n == 0 { "" } else { LAST_CHUNK };
        write(&mut stream, &format!("{}{end}", chunked(&text))).await;
    })
    .await;
    let entry = Entry::start(&[address, address]).await;
    let mut caller = entry.request("/resumable/x", CLOSE).await;
    let answer = read_all(&mut caller).await;
    let ids: Vec<&str> = answer.lines().filter(|l| l.starts_with("id:")).collect();
    assert_that!(ids, eq(&vec!["id: 1", "id: 2", "id: 3", "id: 4"]));
    assert_that!(answer, ends_with("0\r\n\r\n"));
    assert_that!(requests(&seen), eq(2));
}

/// Guards against taking the end of a connection for the end of a stream without a length, if the
/// stream ends inside an event or before its first one.
#[actix_rt::test]
async fn a_stream_without_a_length_that_is_broken_off_goes_on() {
    for first in ["id: 1\nda", "", "id: 1\ndata: d1\n\nid: 2\nda"] {
        let (address, seen) = target(move |n, _, mut stream| async move {
            let text = if n == 0 {
                first.to_owned()
            } else {
                format!("{}{}", event(1), event(2))
            };
            write(&mut stream, &format!("{OK}\r\n{text}")).await;
        })
        .await;
        let entry = Entry::start(&[address, address]).await;
        let mut caller = entry.request("/resumable/x", CLOSE).await;
        let answer = read_all(&mut caller).await;
        let ids: Vec<&str> = answer.lines().filter(|l| l.starts_with("id:")).collect();
        assert_that!(ids, eq(&vec!["id: 1", "id: 2"]), "{first:?}");
        assert_that!(answer, ends_with("0\r\n\r\n"));
        assert_that!(requests(&seen), eq(2));
    }
}

/// Guards against running a non-resumable stream again, and against ending it as if it were
/// complete.
#[actix_rt::test]
async fn a_stream_that_must_not_repeat_ends_visibly_broken() {
    let (address, seen) = target(|_, _, mut stream| async move {
        write(&mut stream, &chunked(&event(1))).await;
    })
    .await;
    let entry = Entry::start(&[address, address]).await;
    let mut caller = entry.request("/stream/x", CLOSE).await;
    let answer = read_all(&mut caller).await;
    assert_that!(answer, contains_substring("id: 1"));
    assert_that!(answer, not(ends_with("0\r\n\r\n")));
    assert_that!(seen.borrow().len(), eq(1));
}

/// Guards against abandoning a target that is silent for longer than the allowed pause but alive:
/// it must be waited for. Cutting such streams violated a rule of the grown site.
#[actix_rt::test]
async fn a_silent_target_that_is_alive_is_waited_for() {
    let (address, seen) = target(|_, head, mut stream| async move {
        if head.starts_with("GET /report") {
            write(
                &mut stream,
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
            )
            .await;
            return;
        }
        write(&mut stream, &chunked(&event(1))).await;
        tokio::time::sleep(Duration::from_millis(1500)).await;
        write(&mut stream, &format!("{}{LAST_CHUNK}", chunk(&event(2)))).await;
    })
    .await;
    let entry = Entry::start(&[address]).await;
    let mut caller = entry.request("/resumable/x", CLOSE).await;
    let answer = read_all(&mut caller).await;
    assert_that!(answer, ends_with("0\r\n\r\n"));
    let runs = seen
        .borrow()
        .iter()
        .filter(|h| h.starts_with("POST"))
        .count();
    assert_that!(runs, eq(1));
}

/// Guards against forwarding a request head that exceeds the operator's limit.
#[actix_rt::test]
async fn a_head_that_is_too_long_is_refused() {
    let (address, seen) = target(|_, _, mut stream| async move {
        write(&mut stream, &whole("ok")).await;
    })
    .await;
    let entry = Entry::start(&[address]).await;
    for (bytes, status) in [(10 * 1024, "HTTP/1.1 200"), (17 * 1024, "HTTP/1.1 431")] {
        let headers = format!("{CLOSE}long: {}\r\n", "x".repeat(bytes));
        let mut caller = entry.request("/safe/x", &headers).await;
        assert_that!(read_all(&mut caller).await, starts_with(status));
    }
    assert_that!(seen.borrow().len(), eq(1));
}

/// Guards against closing a persistent connection in the middle of a request at a planned stop.
#[actix_rt::test]
async fn closing_ends_connections_between_requests() {
    let (address, _) = target(|_, _, mut stream| async move {
        tokio::time::sleep(Duration::from_millis(300)).await;
        write(&mut stream, &format!("{OK}content-length: 4\r\n\r\ndone")).await;
    })
    .await;
    let entry = Entry::start(&[address]).await;
    let mut busy = entry.request("/once/x", "label: r\r\n").await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    entry.server.close_gracefully();
    assert_that!(read_all(&mut busy).await, ends_with("done"));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_that!(entry.server.open_connections(), eq(0));
}

/// Guards against cutting off requests whose connections were established just before a planned stop
/// and had not been accepted yet.
#[actix_rt::test]
async fn connections_established_before_closing_are_answered() {
    let (address, _) = target(|_, _, mut stream| async move {
        write(&mut stream, &whole("ok")).await;
    })
    .await;
    let entry = Entry::start(&[address]).await;
    // The blocking calls keep the entry from accepting any of them before it closes.
    let waiting: Vec<std::net::TcpStream> = (0..12)
        .map(|_| {
            use std::io::Write as _;
            let mut stream = std::net::TcpStream::connect(entry.address).unwrap();
            let head =
                "POST /safe/x HTTP/1.1\r\nhost: shop\r\ncontent-length: 0\r\nlabel: r\r\n\r\n";
            stream.write_all(head.as_bytes()).unwrap();
            stream
        })
        .collect();
    entry.server.close_gracefully();
    // A process that stops must not exit now, although no connection has been accepted yet.
    assert_that!(entry.server.is_drained(), eq(false));
    for stream in waiting {
        stream.set_nonblocking(true).unwrap();
        let mut stream = tokio::net::TcpStream::from_std(stream).unwrap();
        assert_that!(read_all(&mut stream).await, ends_with("ok"));
    }
    assert_that!(
        std::net::TcpStream::connect(entry.address).is_err(),
        eq(true)
    );
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_that!(entry.server.is_drained(), eq(true));
}

/// Guards against reporting an unknown route as a refusal that may be retried.
#[actix_rt::test]
async fn unknown_routes_get_404() {
    let entry = Entry::start(&[]).await;
    let mut caller = entry.request("/nowhere/x", CLOSE).await;
    assert_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 404"));
    let mut caller = entry.request("/safe/x", CLOSE).await;
    assert_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 503"));
}

/// Guards against reporting a refused connection as a request that may have run.
#[actix_rt::test]
async fn a_request_that_never_left_is_not_run() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let entry = Entry::start(&[address]).await;
    let mut caller = entry.request("/once/x", CLOSE).await;
    assert_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 503"));
}

/// Guards against streams that are not counted while their events are forwarded, so that a stop
/// would be logged as idle.
#[actix_rt::test]
async fn a_stream_is_in_flight_until_its_end() {
    let (address, _) = target(|_, _, mut stream| async move {
        let chunk = |id| format!("{:x}\r\n{}\r\n", event(id).len(), event(id));
        let head = format!("{OK}transfer-encoding: chunked\r\n\r\n");
        write(&mut stream, &format!("{head}{}", chunk(1))).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        write(&mut stream, &format!("{}0\r\n\r\n", chunk(2))).await;
    })
    .await;
    let entry = Entry::start(&[address]).await;
    let mut caller = entry.request("/resumable/x", CLOSE).await;
    read_until(&mut caller, "id: 1").await;
    assert_that!(entry.router.metrics.in_flight.get(), eq(1));
    read_all(&mut caller).await;
    assert_that!(entry.router.metrics.in_flight.get(), eq(0));
}
