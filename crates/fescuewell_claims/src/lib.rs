//! Request identity: slots, claims, bills and the sweep of dead instances, as pure state machines.
