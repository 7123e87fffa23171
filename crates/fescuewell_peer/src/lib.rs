//! Message transport between entry instances over QUIC, with mutual TLS and certificates from settings.
//!
//! Each message is sent on a unidirectional stream of its own, so that a lost packet of one message
//! does not delay another. Delivery is at most once and unordered. [`Transport::send`] never blocks. A
//! message that cannot be sent or is not acknowledged in time is dropped and counted; the caller's
//! protocol is responsible for retries.
//!
//! An instance authenticates with a certificate signed by the fleet's authority. The certificate's
//! DNS name is the instance's name, and each received message carries the sender's name.
//!
//! ```
//! use std::time::Duration;
//! use fescuewell_peer::{Address, Transport, testing};
//!
//! let authority = testing::authority();
//! let listen = "127.0.0.1:0".parse().unwrap();
//! let (inbox, _) = flume::bounded(16);
//! let (to_b, from_a) = flume::bounded(16);
//! let a = Transport::start(authority.settings("instance-a", listen).unwrap(), inbox).unwrap();
//! let b = Transport::start(authority.settings("instance-b", listen).unwrap(), to_b).unwrap();
//!
//! let address = Address { instance: "instance-b".into(), address: b.address() };
//! assert!(a.send(address, b"hello".to_vec()));
//! let message = from_a.recv().unwrap();
//! assert_eq!((&*message.from, &*message.payload), ("instance-a", &b"hello"[..]));
//! a.close(Duration::from_secs(1));
//! b.close(Duration::ZERO);
//! ```

pub mod credentials;
pub mod frame;
pub mod settings;
pub mod testing;
pub mod traffic;
mod transport;

pub use settings::Settings;
pub use traffic::Traffic;
pub use transport::{Address, Error, Message, Transport};
