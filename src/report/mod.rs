//! Reports on service-level burn.
