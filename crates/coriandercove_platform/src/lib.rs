//! The platform's object API and VM list.
