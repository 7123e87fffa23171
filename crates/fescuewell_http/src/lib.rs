//! The bounded HTTP listener and the upstream client that carry callers' requests.
