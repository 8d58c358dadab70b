//! A supervisor tree: restarts parts that fail, and stops them in order.
