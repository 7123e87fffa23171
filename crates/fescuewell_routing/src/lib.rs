//! Choice of a backend server: load, prefix affinity, ejection, as a pure state machine.
