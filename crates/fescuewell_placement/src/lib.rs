//! Placement of models and roles on backend servers, with fencing, as a pure state machine.
