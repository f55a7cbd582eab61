use std::rc::Rc;

use coriandercove_config::{Config, Site};
use coriandercove_platform::{MemoryStore, Store};
use coriandercove_state::config_log::AcceptError;
use googletest::prelude::*;

use super::{accept_change, edit_between};

fn config(site: &str) -> coriandercove_config::Objects {
    let site = Site {
        name: site.to_owned(),
        region: "kyushu".to_owned(),
    };
    let config = Config {
        sites: vec![site],
        ..Config::default()
    };
    config.to_objects()
}

/// Guards against two changes that are both accepted as the same version, and against a change that
/// is applied twice because the store's answer to its write was lost.
#[gtest]
fn one_of_two_changes_on_the_same_version_wins() {
    actix_rt::System::new().block_on(async {
        let memory = MemoryStore::default();
        let store: Rc<dyn Store> = Rc::new(memory.clone());
        let empty = coriandercove_config::Objects::new();
        let (one, two) = (config("kumamoto"), config("fukuoka"));
        let first = accept_change(Rc::clone(&store), 0, 1, "ume", edit_between(&empty, &one)).await;
        expect_that!(first, ok(eq(&1)));
        let second =
            accept_change(Rc::clone(&store), 0, 2, "ran", edit_between(&empty, &two)).await;
        expect_that!(second, err(matches_pattern!(AcceptError::Conflict { .. })));
        memory.lose_answers(1);
        let third = accept_change(Rc::clone(&store), 1, 3, "ran", edit_between(&one, &two)).await;
        expect_that!(third, ok(eq(&2)));
    });
}
