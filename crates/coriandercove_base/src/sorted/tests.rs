use googletest::prelude::*;

use super::SortedMap;

/// Guards against lookups that fail because an insertion broke the order.
#[gtest]
fn stays_sorted_under_insertions_in_any_order() {
    let map: SortedMap<u32, &str> = [(3, "c"), (1, "a"), (2, "b"), (1, "z")]
        .into_iter()
        .collect();
    expect_that!(
        map.keys().copied().collect::<Vec<_>>(),
        elements_are![eq(&1), eq(&2), eq(&3)]
    );
    expect_that!(map.get(&1), some(eq(&"z")));
    expect_that!(map.get(&4), none());
}
