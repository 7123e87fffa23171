//! One entry instance's decisions, composed: events and time in, actions out.
