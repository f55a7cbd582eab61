//! Tests of the interactive questions.

use super::ask;
use crate::commands::init::to_yaml;
use crate::error::CliError;
use crate::output::{Format, Output};
use crate::prompt::Prompt;
use coriandercove_config::answers::{Answers, parse};

fn interview(input: &str) -> Result<Answers, CliError> {
    let sink = || Box::new(std::io::sink());
    let mut out = Output::new(Format::Text, sink(), sink(), true);
    let mut input = input.as_bytes();
    ask(&mut Prompt::new(&mut input, &mut out))
}

/// Guards against default answers that are invalid as a whole.
#[test]
fn defaults_give_valid_answers() {
    let input = format!("Example\n{}", "\n".repeat(60));
    let answers = interview(&input).unwrap();
    let checked = parse("answers", &to_yaml(&answers)).unwrap_or_else(|p| panic!("{p}"));
    assert_eq!(checked.answers, answers);
}

/// Guards against an invalid answer that ends the questions or is accepted.
#[test]
fn wrong_answers_are_asked_again() {
    let rest = "\n".repeat(80);
    let input =
        format!("\nHyotan\nsigns\nShop 1\nshop\n\na, b\nftp://x\nhttp://10.0.0.1:1\n{rest}");
    let answers = interview(&input).unwrap();
    assert_eq!(answers.trade.name, "Hyotan");
    assert_eq!(answers.sites[0].name, "shop");
    assert_eq!(answers.sites[0].zones.len(), 2);
    assert_eq!(answers.platform.store, ["http://10.0.0.1:1"]);
    assert_eq!(answers.targets.len(), 2);
}

/// Guards against services that are missing from the answers, and against calls that may be retried
/// although the user named them as calls that must not repeat.
#[test]
fn services_are_asked_for() {
    let before = "T\n\n\n\n\n\n\nnone\n";
    let service = "shop\nPOST /orders, POST /payments\nGET /orders/*\nyes\n2\n10.0.1.50\n";
    let answers = interview(&format!("{before}{service}\n\n\n\n\n")).unwrap();
    assert!(answers.models.is_empty());
    assert_eq!(answers.services[0].must_not_repeat.len(), 2);
    assert!(answers.targets[0].checks_orders);
    assert_eq!(answers.targets[0].replicas, 2);
    parse("answers", &to_yaml(&answers)).unwrap_or_else(|p| panic!("{p}"));
}

/// Guards against a command that never ends because the input ended or never becomes valid.
#[test]
fn the_end_of_the_input_is_an_error() {
    assert!(matches!(interview(""), Err(CliError::NoTerminal { .. })));
    assert!(matches!(interview("T\n"), Err(CliError::NoTerminal { .. })));
    let wrong = format!("T\n\n{}", "Not A Name\n".repeat(100));
    assert!(matches!(
        interview(&wrong),
        Err(CliError::NoTerminal { .. })
    ));
}
