//! Helpers of the tests of wrong input.

use coriandercove_config::Problems;

/// Replaces `from` by `to` once and returns the changed text and the line of the change.
pub fn change(text: &str, from: &str, to: &str) -> (String, usize) {
    let at = text
        .find(from)
        .unwrap_or_else(|| panic!("{from:?} is not in the text"));
    let line = text[..at].matches('\n').count() + 1;
    (text.replacen(from, to, 1), line)
}

/// Asserts that some problem has this key and text, and that every problem names a remedy.
pub fn assert_problem(problems: &Problems, what: &str, key: &str, text: &str) -> usize {
    for problem in &problems.0 {
        assert!(
            !problem.file.is_empty() && !problem.problem.is_empty(),
            "{what}: {problem}"
        );
        assert!(
            !problem.allowed.is_empty(),
            "{what}: no remedy in {problem}"
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

/// Text in the template, its replacement, and the key and the text of the expected problem.
pub type Case = (&'static str, &'static str, &'static str, &'static str);
