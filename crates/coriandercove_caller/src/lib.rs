//! The HTTP protocol between callers and entries.
//!
//! [`request`] parses and checks requests for completions, [`response`] writes their answers,
//! [`refusal`] defines the body of every error, and [`tokenizer`] converts between text and tokens.

pub mod refusal;
pub mod request;
pub mod response;
pub mod tokenizer;

pub use refusal::{Outcome, RefusalBody};
pub use request::{Completion, CompletionKind, RequestError};
pub use response::{FinishReason, ResponseWriter};
pub use tokenizer::{NumberTokenizer, Tokenizer};
