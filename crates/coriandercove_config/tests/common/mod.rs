//! Helpers for the tests of invalid input.

use coriandercove_config::Problems;

/// Replaces the first `from` by `to`. Returns the changed text and the line of the change, from 1.
pub fn change(text: &str, from: &str, to: &str) -> (String, usize) {
    let at = text
        .find(from)
        .unwrap_or_else(|| panic!("{from:?} is not in the text"));
    let line = text[..at].matches('\n').count() + 1;
    (text.replacen(from, to, 1), line)
}

/// Asserts that some problem has this key and contains `text`, and that every problem says what is
/// allowed. Returns the line of the found problem.
pub fn assert_problem(problems: &Problems, what: &str, key: &str, text: &str) -> usize {
    for problem in &problems.0 {
        assert!(
            !problem.file.is_empty() && !problem.problem.is_empty(),
            "{what}: {problem}"
        );
        assert!(
            !problem.allowed.is_empty(),
            "{what}: no allowed value in {problem}"
        );
    }
    let found = problems
        .0
        .iter()
        .find(|p| p.key == key && p.problem.contains(text));
    found
        .unwrap_or_else(|| panic!("{what}: no {key}: {text} in\n{problems}"))
        .line
}

/// A test case: text in the template, its replacement, and the key and text of the expected
/// problem.
pub type Case = (&'static str, &'static str, &'static str, &'static str);
