//! Tests of the parser of server-sent events.

use googletest::prelude::*;

use super::*;

/// Guards against tokens that are lost or repeated when an event is split between two reads.
#[gtest]
fn events_survive_any_split() {
    let text = b"data: {\"id\":\"x\",\"choices\":[{\"token_ids\":[7,8]}]}\n\ndata: [DONE]\n\n";
    for cut in 0..text.len() {
        let mut reader = EventReader::default();
        let mut events = reader.push(&text[..cut]);
        events.extend(reader.push(&text[cut..]));
        expect_that!(events, eq(&vec![Event::Tokens(vec![7, 8]), Event::Done]));
    }
}

/// Guards against a refusal within a stream that is counted as a complete answer.
#[gtest]
fn a_refusal_is_recognised() {
    let text = b"data: {\"reason\":\"no_chain\",\"outcome\":\"unknown\",\"request_id\":\"1\"}\n\n";
    let events = EventReader::default().push(text);
    let refused = Refusal {
        reason: "no_chain".to_owned(),
        outcome: "unknown".to_owned(),
        retry_after_ms: None,
        request_id: "1".to_owned(),
    };
    expect_that!(events, eq(&vec![Event::Refused(refused)]));
}
