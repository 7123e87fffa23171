//! What this instance knows of the fleet, as the rest of it uses it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::row::{Load, State};

fescuewell_core::message! {
    /// One live incarnation of an entry instance; this instance itself is among them.
    pub struct Peer {
        /// Name of the instance.
        pub instance: Arc<str>,
        /// `instance.incarnation`.
        pub holder: Arc<str>,
        /// Where callers connect.
        pub caller_address: SocketAddr,
        /// Where peers connect.
        pub peer_address: SocketAddr,
        /// Where operators connect.
        pub operator_address: SocketAddr,
        /// Its availability zone.
        pub zone: Arc<str>,
        /// How far it is in its life.
        pub state: State,
        /// Version of the document that it has in force.
        pub version: Version,
        /// Highest document format that it reads.
        pub formats: u32,
        /// Its load, as last reported.
        pub load: Load,
        /// Somebody took it for dead, or the instance list says that it leaves: name it to nobody, but
        /// take nothing away from it.
        pub suspected: bool,
    }

    /// The fleet as this instance knows it.
    #[derive(Default)]
    pub struct View {
        /// Live members in the order of their names.
        pub live: Vec<Peer>,
        /// Holders whose heartbeats stood still for a lease. Their slots may be taken over by the
        /// epoch; their allowances may not be freed.
        pub lapsed: BTreeSet<Arc<str>>,
        /// Holders that are proved to have ended. Once their streams are settled their allowances may be
        /// freed.
        pub terminated: BTreeSet<Arc<str>>,
        /// Backend servers that get no new work.
        pub leaving_servers: BTreeSet<Arc<str>>,
        /// Whether all member rows were read at least once.
        pub complete: bool,
        /// Whether this instance may take requests.
        pub ready: bool,
        /// Neither the table nor enough peers answered for too long.
        pub isolated: bool,
        /// A newer incarnation of this instance writes the row, or somebody removed the row: this
        /// process must stop.
        pub superseded: bool,
        /// The instance list says that this instance is leaving: start the drain.
        pub drain_requested: bool,
    }
}

impl View {
    /// The live member of that instance name.
    pub fn peer(&self, instance: &str) -> Option<&Peer> {
        self.live.iter().find(|peer| &*peer.instance == instance)
    }

    /// The highest document format that every live member reads; a document of a higher one must not
    /// be accepted now. `None` while nobody is known.
    pub fn common_format(&self) -> Option<u32> {
        self.live.iter().map(|peer| peer.formats).min()
    }
}
