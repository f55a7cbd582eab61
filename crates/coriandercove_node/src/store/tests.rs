use std::rc::Rc;

use coriandercove_platform::{MemoryStore, Store, StoreError, Version};
use coriandercove_state::store_call::{StoreCall, StoreReply};
use googletest::prelude::*;

use super::{call, written};

fn run(store: &Rc<dyn Store>, request: StoreCall) -> StoreReply {
    actix_rt::System::new().block_on(call(Rc::clone(store), request))
}

fn create(name: &str, value: &[u8]) -> StoreCall {
    StoreCall::Create {
        name: name.to_owned(),
        value: value.to_vec(),
    }
}

fn put_if(name: &str, version: Version) -> StoreCall {
    StoreCall::PutIf {
        name: name.to_owned(),
        version,
        value: b"new".to_vec(),
    }
}

/// Guards against a conditional write whose reported result differs from the store's answer.
#[gtest]
fn conditional_writes_keep_their_results() -> Result<()> {
    let store: Rc<dyn Store> = Rc::new(MemoryStore::default());
    let StoreReply::Written(version) = run(&store, create("a/1", b"x")) else {
        return fail!("the object was not created");
    };
    expect_that!(run(&store, create("a/1", b"y")), eq(&StoreReply::Conflict));
    let read = run(&store, StoreCall::Get { name: "a/1".into() });
    let value = b"x".to_vec();
    expect_that!(read, eq(&StoreReply::Value { version, value }));
    expect_that!(
        run(&store, put_if("a/1", version + 1)),
        eq(&StoreReply::Conflict)
    );
    expect_that!(run(&store, put_if("a/2", version)), eq(&StoreReply::Absent));
    expect_that!(
        run(&store, put_if("a/1", version)),
        matches_pattern!(StoreReply::Written(gt(&version)))
    );
    let list = StoreCall::List {
        prefix: "a/".into(),
    };
    expect_that!(
        run(&store, list),
        eq(&StoreReply::Names(vec!["a/1".to_owned()]))
    );
    Ok(())
}

/// Guards against reporting that a write had no effect when it may have taken effect. A call that
/// must run at most once for its key could then run twice.
#[gtest]
fn only_a_lost_answer_is_lost() {
    let message = String::new();
    let lost = StoreError::Unknown { message };
    expect_that!(written(Err(lost)), eq(&StoreReply::Lost));
    let message = String::new();
    let refused = StoreError::Unavailable { message };
    expect_that!(written(Err(refused)), eq(&StoreReply::Unavailable));
    let limited = StoreError::RateLimited {
        retry_after: std::time::Duration::ZERO,
    };
    expect_that!(written(Err(limited)), eq(&StoreReply::Unavailable));
}
