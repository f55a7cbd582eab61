use googletest::prelude::*;

use super::*;

const TEXT: &str = r#"
node: "entry-1"
zone: "a"
callers: "127.0.0.1:8080"
readiness: "127.0.0.1:8081"
store: "127.0.0.1:7300"
peers: "127.0.0.1:7301"
seeds:
  - "127.0.0.2:7000"
grace_seconds: 8
max_descriptors: 2870
memory_mb: 182
retry_ratio: 0.2
retry_slack: 396
retry_window_seconds: 10
"#;

/// Guards against refusing settings as the platform's template renders them.
#[gtest]
fn whole_settings_are_read() {
    let settings = Settings::parse(TEXT, "entry.yaml").unwrap();
    expect_that!(settings.live().grace, eq(Duration::from_secs(8)));
    expect_that!(settings.seeds.len(), eq(1));
    expect_that!(settings.metrics, none());
}

/// Guards against errors that do not name the file, the key and what is allowed.
#[gtest]
fn errors_name_the_place_and_what_is_allowed() {
    let cases = [
        (
            "grace_seconds: 8",
            "grace_seconds: 0",
            "entry.yaml: grace_seconds is 0; allowed: 0.5",
        ),
        (
            "retry_ratio: 0.2",
            "retry_ratio: -1",
            "retry_ratio is -1; allowed: 0 or more",
        ),
        ("zone: \"a\"", "zones: \"a\"", "zones"),
        ("\"127.0.0.1:8080\"", "\"somewhere\"", "callers"),
        ("memory_mb: 182", "memory_mb: lots", "memory_mb"),
    ];
    for (from, to, expected) in cases {
        let text = TEXT.replace(from, to);
        let error = Settings::parse(&text, "entry.yaml")
            .unwrap_err()
            .to_string();
        expect_that!(error, contains_substring(expected));
    }
}

/// Guards against a reload that applies settings which only take effect at a start, or leaves out
/// settings that it could apply.
#[gtest]
fn a_reload_tells_what_it_follows() {
    let old = Settings::parse(TEXT, "entry.yaml").unwrap();
    let text = TEXT
        .replace("retry_slack: 396", "retry_slack: 40")
        .replace("127.0.0.1:7300", "127.0.0.1:7400");
    let new = Settings::parse(&(text + "drain_ms: 3000\n"), "entry.yaml").unwrap();
    let changes = old.changes(&new).unwrap();
    expect_that!(
        changes.live,
        elements_are![eq("retry_slack"), eq("drain_ms")]
    );
    expect_that!(changes.at_next_start, elements_are![eq("store")]);
    expect_that!(new.live().drain, eq(Duration::from_secs(3)));
    expect_that!(old.changes(&old).unwrap(), eq(&Changes::default()));
}
