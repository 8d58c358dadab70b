//! Callers: HTTP, keys, admission, claims and the relay of answers.
