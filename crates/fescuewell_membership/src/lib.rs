//! Membership: heartbeats, slot assignment, address answers, document propagation and drain, as pure state machines.
