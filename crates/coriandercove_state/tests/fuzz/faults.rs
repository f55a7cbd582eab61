//! Shows that the fuzz runs can fail: each deliberate fault must be found.
