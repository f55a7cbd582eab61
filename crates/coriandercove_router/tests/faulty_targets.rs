//! Targets that answer for another request, with an error in place of the rest of a stream, or with
//! half a head.

mod support;

use std::net::SocketAddr;

use googletest::prelude::*;

use support::{Entry, Seen, is_probe, read_all, requests, target, write};

const CLOSE: &str = "label: r\r\nconnection: close\r\n";

/// Starts a target that answers its requests with these texts in turn, the last one again and again,
/// and closes the connection after each.
async fn scripted(answers: &'static [&'static str]) -> (SocketAddr, Seen) {
    let served = std::rc::Rc::new(std::cell::Cell::new(0));
    target(move |_, head, mut stream| {
        let served = std::rc::Rc::clone(&served);
        async move {
            if is_probe(&head) {
                write(
                    &mut stream,
                    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
                )
                .await;
                return;
            }
            let n = served.replace(served.get() + 1);
            write(&mut stream, answers[n.min(answers.len() - 1)]).await;
        }
    })
    .await
}

/// Sends a request and returns the answer and the number of requests that the target received.
async fn answer(path: &str, answers: &'static [&'static str]) -> (String, usize) {
    let (address, seen) = scripted(answers).await;
    let entry = Entry::start(&[address, address]).await;
    let mut caller = entry.request(path, CLOSE).await;
    let answer = read_all(&mut caller).await;
    (answer, requests(&seen))
}

/// Guards against telling a caller that its request has not run, because the target wrote the refusal
/// of an earlier request once more, before the answer or in its place.
#[actix_rt::test]
async fn the_refusal_of_another_request_is_not_taken_for_this_one() {
    const EARLIER: &str =
        "HTTP/1.1 503 Busy\r\nnot-run: 1\r\nlabel: earlier\r\ncontent-length: 0\r\n\r\n";
    const NAMELESS: &str = "HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    const BEFORE: &str = "HTTP/1.1 503 Busy\r\nnot-run: 1\r\nlabel: earlier\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200 OK\r\nstamp: 1\r\nlabel: r\r\ncontent-length: 2\r\n\r\nok";
    for wrong in [&[EARLIER], &[NAMELESS], &[BEFORE]] {
        let (answer, sent) = answer("/once/x", wrong).await;
        assert_that!(answer, starts_with("HTTP/1.1 502"), "{wrong:?}");
        assert_that!(sent, eq(1), "{wrong:?}");
    }
}

/// Guards against an error of the next target in the middle of a stream that had begun, and against
/// ending the stream as if it were complete.
#[actix_rt::test]
async fn an_error_in_place_of_the_rest_of_a_stream_is_not_passed_on() {
    const BEGUN: &str = "HTTP/1.1 200 OK\r\nstamp: 1\r\nlabel: r\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n8\r\nid: 2\nda\r\n";
    const REST: &str = "HTTP/1.1 200 OK\r\nstamp: 1\r\nlabel: r\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";
    const ERROR: &str =
        "HTTP/1.1 500 Oops\r\nstamp: 1\r\nlabel: r\r\ncontent-length: 4\r\n\r\nboom";
    const ERROR_STREAM: &str = "HTTP/1.1 500 Oops\r\nstamp: 1\r\nlabel: r\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 2\ndata: bad\n\n\r\n0\r\n\r\n";
    const EMPTY: &str = "HTTP/1.1 200 OK\r\nstamp: 1\r\nlabel: r\r\n\r\n";
    const HALF_HEAD: &str = "HTTP/1.1 200 OK\r\nstamp: 1\r\nlabel: r\r\ncontent-le";
    let scripts: [&'static [&'static str]; 4] = [
        &[BEGUN, ERROR],
        &[BEGUN, ERROR_STREAM],
        &[BEGUN, EMPTY],
        &[BEGUN, HALF_HEAD],
    ];
    for script in scripts {
        let (answer, _) = answer("/resumable/x", script).await;
        assert_that!(answer, contains_substring("data: one"), "{script:?}");
        for foreign in ["boom", "bad", "500", "stamp: 1\r\nlabel: r\r\ncontent"] {
            assert_that!(answer, not(contains_substring(foreign)), "{script:?}");
        }
        assert_that!(answer.matches("HTTP/1.1").count(), eq(1), "{script:?}");
        assert_that!(answer, not(ends_with("0\r\n\r\n")), "{script:?}");
    }
    let (whole, _) = answer("/resumable/x", &[BEGUN, REST]).await;
    assert_that!(whole, contains_substring("data: two"));
    assert_that!(whole, ends_with("0\r\n\r\n"));
}

/// Guards against a success with an empty or short body, because the target closed the connection in
/// the middle of the head.
#[actix_rt::test]
async fn half_a_head_is_no_answer() {
    const CUTS: [&[&str]; 5] = [
        &["HTTP/1.1 200 OK"],
        &["HTTP/1.1 200 OK\r\n"],
        &["HTTP/1.1 200 OK\r\nstamp: 1\r\nlabel: r\r\n"],
        &["HTTP/1.1 200 OK\r\nstamp: 1\r\nlabel: r\r\ncontent-length: 1"],
        &["HTTP/1.1 200 OK\r\nstamp: 1\r\nlabel: r\r\ntransfer-encoding: chunked\r\n\r"],
    ];
    for cut in CUTS {
        for (path, limit) in [
            ("/safe/x", 2),
            ("/once/x", 1),
            ("/stream/x", 1),
            ("/resumable/x", 2),
        ] {
            let (answer, sent) = answer(path, cut).await;
            assert_that!(answer, starts_with("HTTP/1.1 502"), "{path} {cut:?}");
            assert_that!(sent, le(limit), "{path} {cut:?}");
        }
    }
}
