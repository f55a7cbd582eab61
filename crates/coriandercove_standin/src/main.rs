//! Starts the program.

fn main() {}
