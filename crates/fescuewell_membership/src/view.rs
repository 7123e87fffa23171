//! This instance's view of the fleet, as the other modules use it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::row::{Load, State};

fescuewell_core::message! {
    /// One live incarnation of an entry instance; the view includes this instance itself.
    pub struct Peer {
        /// Name of the instance.
        pub instance: Arc<str>,
        /// Name of this incarnation as a holder: `instance.incarnation`.
        pub holder: Arc<str>,
        /// Where callers connect.
        pub caller_address: SocketAddr,
        /// Where peers connect.
        pub peer_address: SocketAddr,
        /// Where operators connect.
        pub operator_address: SocketAddr,
        /// Its availability zone.
        pub zone: Arc<str>,
        /// Its lifecycle state.
        pub state: State,
        /// Version of the document that it has in force.
        pub version: Version,
        /// Highest document format that it reads.
        pub formats: u32,
        /// Its last reported load.
        pub load: Load,
        /// Whether it is believed dead, or leaving according to the instance list. It is not
        /// advertised to callers, but keeps what it holds.
        pub suspected: bool,
    }

    /// The fleet as this instance knows it.
    #[derive(Default)]
    pub struct View {
        /// Live members in the order of their names.
        pub live: Vec<Peer>,
        /// Holders without a new heartbeat for a lease. Their slots may be taken over by epoch;
        /// their allowances must not be freed.
        pub lapsed: BTreeSet<Arc<str>>,
        /// Holders that are proved to have ended. Once their streams are settled, their allowances
        /// may be freed.
        pub terminated: BTreeSet<Arc<str>>,
        /// Backend servers that get no new work.
        pub leaving_servers: BTreeSet<Arc<str>>,
        /// Whether all member rows have been read at least once.
        pub complete: bool,
        /// Whether this instance may accept requests.
        pub ready: bool,
        /// Whether neither the table nor enough peers responded for too long.
        pub isolated: bool,
        /// Whether a newer incarnation of this instance writes the row, or the row was removed:
        /// this process must stop.
        pub superseded: bool,
        /// Whether the instance list says that this instance is leaving: the drain starts.
        pub drain_requested: bool,
    }
}

impl View {
    /// Finds a live member by its instance name.
    pub fn peer(&self, instance: &str) -> Option<&Peer> {
        self.live.iter().find(|peer| &*peer.instance == instance)
    }

    /// The highest document format that every live member reads; a document of a higher format must
    /// not be accepted now. `None` while no member is known.
    pub fn common_format(&self) -> Option<u32> {
        self.live.iter().map(|peer| peer.formats).min()
    }
}
