//! Guards against a store client that reports a malformed answer to a write as a failure without
//! effect, or a malformed answer to a read as a value.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener};
use std::time::Duration;

use coriandercove_base::http::{HttpClient, HttpLimits};
use coriandercove_platform::{HttpStore, Store, StoreError};

/// Starts a server that gives the same answer to each of two calls and closes the connection after
/// each of them; returns a client for it.
fn store_that_answers(answer: &str) -> (HttpStore, std::thread::JoinHandle<()>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("bound"));
    let answer = format!("HTTP/1.1 {answer}").replace('\n', "\r\n");
    let thread = std::thread::spawn(move || {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut buf = [0; 1_024];
            assert!(stream.read(&mut buf).expect("a request") > 0);
            stream.write_all(answer.as_bytes()).expect("open");
        }
    });
    let http = HttpClient::new(HttpLimits::default());
    let store = HttpStore::new(http, &url, Duration::from_secs(5));
    (store, thread)
}

/// Returns the errors of a write and of a read that get the same answer.
async fn outcomes(answer: &str) -> (StoreError, StoreError) {
    let (store, thread) = store_that_answers(answer);
    let write = store.put_if("a", 1, "x".into()).await;
    let read = store.get("a").await;
    thread.join().expect("two calls");
    let write = write.expect_err("no valid answer to a write");
    let read = read.expect_err("no valid answer to a read");
    (write, read)
}

#[actix_rt::test]
async fn broken_answers_leave_a_write_unknown_and_a_read_without_value() {
    for answer in [
        "200 OK\nconnection: close\ncontent-length: 0\n\n",
        "200 OK\nx-version: -1\nconnection: close\ncontent-length: 0\n\n",
        "200 OK\nx-version: 1\nconnection: close\ncontent-length: 9\n\nhalf",
        "500 E\nconnection: close\ncontent-length: 0\n\n",
        "302 E\nlocation: /\nconnection: close\ncontent-length: 0\n\n",
        "409 E\nconnection: close\ncontent-length: 2\n\n{}x",
        "409 E\nconnection: close\ncontent-length: 4\n\nnull",
        "nonsense\n\n",
        "",
    ] {
        let (write, read) = outcomes(answer).await;
        assert!(
            matches!(write, StoreError::Unknown { .. }),
            "{answer:?}: {write:?}"
        );
        assert!(
            matches!(read, StoreError::Unavailable { .. }),
            "{answer:?}: {read:?}"
        );
    }
}

#[actix_rt::test]
async fn refusals_prove_that_a_write_had_no_effect() {
    let (write, read) =
        outcomes("429 E\nretry-after-ms: soon\nconnection: close\ncontent-length: 0\n\n").await;
    let retry_after = Duration::from_secs(1);
    assert_eq!(write, StoreError::RateLimited { retry_after });
    assert_eq!(read, StoreError::RateLimited { retry_after });
    let (write, read) = outcomes("503 E\nconnection: close\ncontent-length: 0\n\n").await;
    assert!(matches!(write, StoreError::Unavailable { .. }), "{write:?}");
    assert!(matches!(read, StoreError::Unavailable { .. }), "{read:?}");
    let (write, read) = outcomes("404 E\nconnection: close\ncontent-length: 0\n\n").await;
    // The protocol does not define this answer to a write, so its effect is unknown.
    assert!(matches!(write, StoreError::Unknown { .. }), "{write:?}");
    assert_eq!(read, StoreError::NotFound);
}
