use googletest::prelude::*;

use super::*;

fn ids(splitter: &mut Splitter) -> Vec<Option<u64>> {
    std::iter::from_fn(|| splitter.next_event().map(|e| e.id)).collect()
}

/// Guards against forwarding an incomplete event when a target stops in the middle of it.
#[gtest]
fn an_unfinished_event_is_held_back() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    expect_that!(ids(&mut splitter), elements_are![some(eq(&1))]);
    expect_true!(splitter.has_partial());
    splitter.push(b"ta: b\n").unwrap();
    expect_that!(ids(&mut splitter), is_empty());
    splitter.push(b"\n").unwrap();
    expect_that!(ids(&mut splitter), elements_are![some(eq(&2))]);
    expect_false!(splitter.has_partial());
}

/// Guards against missing the end of an event that arrives in two reads.
#[gtest]
fn every_split_gives_the_same_events() {
    let text = b"id: 1\r\ndata: a\r\n\r\nid:2\ndata: b\n\n";
    for cut in 0..text.len() {
        let mut splitter = Splitter::default();
        splitter.push(&text[..cut]).unwrap();
        let mut seen = ids(&mut splitter);
        splitter.push(&text[cut..]).unwrap();
        seen.extend(ids(&mut splitter));
        expect_that!(
            seen,
            elements_are![some(eq(&1)), some(eq(&2))],
            "cut at {cut}"
        );
    }
}

/// Guards against duplicated or missing events when a stream is resumed at another target.
#[gtest]
fn a_cursor_drops_duplicates_and_finds_gaps() {
    let mut cursor = Cursor::after(None);
    expect_eq!(cursor.accept(Some(1)), Verdict::Forward);
    expect_eq!(cursor.accept(Some(2)), Verdict::Forward);
    expect_eq!(cursor.accept(Some(2)), Verdict::Duplicate);
    expect_eq!(cursor.accept(Some(4)), Verdict::Gap);
    expect_eq!(cursor.accept(Some(3)), Verdict::Forward);
    expect_eq!(cursor.last(), Some(3));
}
