//! Adaptive limits of what one instance keeps running on one backend server; not decided yet.
