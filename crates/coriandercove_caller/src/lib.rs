//! The callers' HTTP protocol.

pub mod refusal;
pub mod request;
pub mod response;
pub mod tokenizer;

pub use refusal::{Outcome, RefusalBody};
pub use request::{Completion, CompletionKind, RequestError};
pub use response::{FinishReason, ResponseWriter};
pub use tokenizer::{NumberTokenizer, Tokenizer};
