//! Clients for the platform: table service, object store, instance list; and in-memory versions with faults.
