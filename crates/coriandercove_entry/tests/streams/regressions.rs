//! Sequences of steps with which the fuzz test found faults.
