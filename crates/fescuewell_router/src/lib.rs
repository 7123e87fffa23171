//! The router daemon: threads, rings and adapters around the decisions.
