//! Tests of crowds of clients that misbehave. Each starts one real process with small limits, sends it a crowd three
//! times in a row, and checks that the process lives, that its memory and descriptors stay within its settings, and
//! that ordinary clients are answered, during the crowd and after it.
//!
//! ```sh
//! cargo test --test crowd -- --test-threads=1            # all
//! cargo test --test crowd front:: -- --test-threads=1    # one door
//! ```
//!
//! The figures are read from `/proc`; on other systems than Linux only answers are checked.

#[path = "../forward/fixture.rs"]
#[allow(dead_code, reason = "the tests use a part of the fixture")]
mod fixture;
mod meter;
mod own;
mod page;
#[path = "../scenario/mod.rs"]
#[allow(dead_code, reason = "the tests use a part of the scenarios' fleet")]
mod scenario;
#[path = "../forward/server_proxy.rs"]
#[allow(dead_code, reason = "the tests use a part of the fixture")]
mod server_proxy;
mod single;
#[allow(dead_code, reason = "the soak uses the rest")]
mod way;
#[path = "../forward/wire.rs"]
#[allow(dead_code, reason = "the tests use a part of the constants")]
mod wire;
mod world;

use way::{Door, Way};

/// Generates a module for each door with a test for each way in which a crowd uses it.
macro_rules! crowds {
    ($($door:ident: $kind:expr => [$($test:ident: $way:expr),* $(,)?]),* $(,)?) => {
        mod crowd {
            $(
                mod $door {
                    use crate::{Door, Way, world};

                    $(
                        /// Guards against a process that ends, or fails others, because of such a crowd.
                        #[test]
                        fn $test() {
                            world::play($kind, $way);
                        }
                    )*
                }
            )*
        }
    };
}

crowds! {
    front: Door::Front => [
        large_bodies: Way::LargeBodies,
        small_bodies: Way::SmallBodies,
        pieces: Way::Pieces,
        chunks: Way::Chunks,
        over_the_limit: Way::OverLimit,
        many_fields: Way::ManyFields,
        heads: Way::Heads,
        sent_ahead: Way::SentAhead,
        unread_responses: Way::Unread,
        silent: Way::Silent,
        idle: Way::Idle,
        drip: Way::Drip,
    ],
    no_route: Door::NoRoute => [
        large_bodies: Way::LargeBodies,
        small_bodies: Way::SmallBodies,
        pieces: Way::Pieces,
        chunks: Way::Chunks,
        over_the_limit: Way::OverLimit,
        many_fields: Way::ManyFields,
        sent_ahead: Way::SentAhead,
    ],
    unknown_key: Door::UnknownKey => [
        large_bodies: Way::LargeBodies,
        small_bodies: Way::SmallBodies,
        many_fields: Way::ManyFields,
        sent_ahead: Way::SentAhead,
    ],
    ready: Door::Ready => [
        large_bodies: Way::LargeBodies,
        small_bodies: Way::SmallBodies,
        pieces: Way::Pieces,
        chunks: Way::Chunks,
        over_the_limit: Way::OverLimit,
        many_fields: Way::ManyFields,
        heads: Way::Heads,
        sent_ahead: Way::SentAhead,
        silent: Way::Silent,
        idle: Way::Idle,
        drip: Way::Drip,
    ],
    directory: Door::Directory => [
        large_bodies: Way::LargeBodies,
        small_bodies: Way::SmallBodies,
        many_fields: Way::ManyFields,
        heads: Way::Heads,
        sent_ahead: Way::SentAhead,
        silent: Way::Silent,
        idle: Way::Idle,
    ],
    metrics: Door::Metrics => [
        large_bodies: Way::LargeBodies,
        many_fields: Way::ManyFields,
        heads: Way::Heads,
        sent_ahead: Way::SentAhead,
        silent: Way::Silent,
        idle: Way::Idle,
    ],
    peer: Door::Peer => [
        large_bodies: Way::LargeBodies,
        small_bodies: Way::SmallBodies,
        many_fields: Way::ManyFields,
        heads: Way::Heads,
        sent_ahead: Way::SentAhead,
        silent: Way::Silent,
        idle: Way::Idle,
    ],
    all_doors: Door::All => [
        large_bodies: Way::LargeBodies,
        heads: Way::Heads,
    ],
}
