//! Conversion between text and tokens.

use coriandercove_base::Token;

/// Converts between text and the tokens of one model.
pub trait Tokenizer {
    /// Converts a text to tokens.
    fn encode(&self, text: &str) -> Vec<Token>;
    /// Converts one token to the text that it appends to an answer.
    fn decode(&self, token: Token) -> String;
}

/// Tokenizer of models whose vocabulary has no text, such as the stand-in model. Each byte of a
/// prompt becomes the token of its value plus 1, and a token of an answer is written as its decimal
/// number after a space.
#[derive(Debug, Clone, Copy, Default)]
pub struct NumberTokenizer;

impl Tokenizer for NumberTokenizer {
    fn encode(&self, text: &str) -> Vec<Token> {
        text.bytes().map(|b| Token::from(b) + 1).collect()
    }

    fn decode(&self, token: Token) -> String {
        format!(" {token}")
    }
}
