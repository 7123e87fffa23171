//! The operators' console of forms and the config command.
