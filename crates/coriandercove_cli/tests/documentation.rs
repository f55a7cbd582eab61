//! Checks that the commands shown in the documentation and in the help texts parse.

use clap::{CommandFactory as _, Parser as _};
use coriandercove_cli::args::Cli;
use coriandercove_config::settings::{AgentArgs, EntryArgs};

const PAGES: [&str; 2] = [
    include_str!("../../../docs/OPERATIONS.md"),
    include_str!("../../../docs/configuration.md"),
];

/// Splits a command line into words, without a trailing comment or redirection.
fn words(line: &str) -> Vec<&str> {
    let end = line
        .find(" #")
        .or_else(|| line.find(" >"))
        .unwrap_or(line.len());
    line[..end].split_whitespace().collect()
}

fn assert_parses(line: &str) {
    let words = words(line);
    let result = match words[0] {
        "coriandercove" => Cli::try_parse_from(&words).map(drop),
        "coriandercove-entry" => EntryArgs::try_parse_from(&words).map(drop),
        "coriandercove-agent" => AgentArgs::try_parse_from(&words).map(drop),
        _ => return,
    };
    result.unwrap_or_else(|e| panic!("{line}: {e}"));
}

/// Returns the lines of all shell blocks of a page.
fn commands(page: &str) -> Vec<&str> {
    let mut out = Vec::new();
    let mut inside = false;
    for line in page.lines().map(str::trim) {
        if line.starts_with("```") {
            inside = line == "```sh";
        } else if inside && !line.is_empty() {
            out.push(line);
        }
    }
    out
}

/// Guards against documented commands that the programs reject.
#[test]
fn commands_of_the_pages_parse() {
    let all: Vec<&str> = PAGES.iter().flat_map(|p| commands(p)).collect();
    assert!(all.len() >= 15, "only {} commands were found", all.len());
    all.into_iter().for_each(assert_parses);
}

/// Guards against examples in the help texts that the program rejects.
#[test]
fn examples_of_the_help_parse() {
    let mut found = 0;
    let mut open = vec![Cli::command()];
    while let Some(command) = open.pop() {
        let help = command.get_after_help().map(ToString::to_string);
        for line in help.unwrap_or_default().lines().map(str::trim) {
            if line.starts_with("coriandercove ") {
                // At least two spaces separate a command from the remark after it.
                assert_parses(line.split("  ").next().unwrap_or_default());
                found += 1;
            }
        }
        open.extend(command.get_subcommands().cloned());
    }
    assert!(found >= 15, "only {found} examples were found");
}
