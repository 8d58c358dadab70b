//! Frames between instances: heartbeats, load deltas and log relay.
