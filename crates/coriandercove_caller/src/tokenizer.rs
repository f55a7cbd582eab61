//! Conversion between text and tokens.

use coriandercove_base::Token;

/// Converts between text and the tokens of one model.
pub trait Tokenizer {
    /// Tokens of a text.
    fn encode(&self, text: &str) -> Vec<Token>;
    /// Text of one token, as it is appended to an answer.
    fn decode(&self, token: Token) -> String;
}

/// Tokenizer of models whose vocabulary has no text, such as the stand-in's: each byte of a
/// prompt is one token, and a token of an answer is written as its number.
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
