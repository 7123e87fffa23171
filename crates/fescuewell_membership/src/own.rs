//! This instance's own member row: what it says, at which revision it stands, and who else wrote it.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table;

use crate::row::{self, EarlierIncarnation, Load, Row, State};

/// Most earlier incarnations kept in a row; those that ended are dropped first.
const MOST_EARLIER: usize = 32;

fescuewell_core::data! {
    /// Who this instance is; comes from settings and from the start of the process.
    pub struct InstanceInfo {
        /// Name of the instance.
        pub instance: Arc<str>,
        /// This start of it; higher than that of every earlier start.
        pub incarnation: Incarnation,
        /// Where callers connect; bound.
        pub caller_address: SocketAddr,
        /// Where peers connect; bound.
        pub peer_address: SocketAddr,
        /// Where operators connect; bound.
        pub operator_address: SocketAddr,
        /// Availability zone.
        pub zone: Arc<str>,
        /// Highest document format that this program reads.
        pub formats: u32,
    }
}

/// The own row and its standing in the table.
#[derive(Debug, Clone)]
pub struct OwnRow {
    me: InstanceInfo,
    row: Row,
    known: bool,
    committed: bool,
    revision: u64,
    acked_beat: u64,
    acked_state: State,
    sent_state: State,
    superseded: bool,
}

impl OwnRow {
    /// A row that was not written yet.
    pub fn new(me: InstanceInfo) -> Self {
        let row = Row {
            incarnation: me.incarnation,
            beat: 0,
            caller_address: me.caller_address,
            peer_address: me.peer_address,
            operator_address: me.operator_address,
            zone: me.zone.clone(),
            state: State::Starting,
            version: Version(0),
            formats: me.formats,
            load: Load::default(),
            settled: false,
            earlier: Vec::new(),
        };
        Self {
            me,
            row,
            known: false,
            committed: false,
            revision: 0,
            acked_beat: 0,
            acked_state: State::Starting,
            sent_state: State::Starting,
            superseded: false,
        }
    }

    /// Who this instance is.
    pub fn me(&self) -> &InstanceInfo {
        &self.me
    }

    /// The row as it would be written now.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Whether the row that a predecessor left was looked for.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// The last beat that the table confirmed.
    pub fn acked_beat(&self) -> u64 {
        self.acked_beat
    }

    /// The state of the last confirmed beat.
    pub fn acked_state(&self) -> State {
        self.acked_state
    }

    /// Whether a newer incarnation, or the removal of the row, ended this one's membership.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Advances the state; a step back is ignored. Returns whether it changed.
    pub fn advance(&mut self, state: State) -> bool {
        let changed = state > self.row.state;
        if changed {
            self.row.state = state;
        }
        changed
    }

    /// Sets the version in force; it never goes back.
    pub fn set_version(&mut self, version: Version) {
        self.row.version = self.row.version.max(version);
    }

    /// Sets the load to report.
    pub fn set_load(&mut self, load: Load) {
        self.row.load = load;
    }

    /// Drops an earlier incarnation that was settled.
    pub fn settle(&mut self, incarnation: Incarnation) {
        let earlier = &mut self.row.earlier;
        earlier.retain(|entry| entry.incarnation != incarnation);
    }

    /// The next heartbeat as a transaction.
    ///
    /// It compares the revision. Without that, an older process of the same name that wakes from a
    /// pause would write over its successor's row, and the fleet would take the successor's slots and
    /// addresses for the old process's.
    pub fn beat(&mut self) -> table::Transaction {
        self.row.beat += 1;
        self.sent_state = self.row.state;
        let key = row::key(&self.me.instance);
        table::Transaction::default()
            .with_compare(key.clone(), self.revision)
            .with_put(key, self.row.encode())
    }

    /// The last beat was committed.
    pub fn committed(&mut self, revision: u64) {
        self.revision = revision;
        self.committed = true;
        self.acked_beat = self.row.beat;
        // The state may have advanced since the row was sent. Taken for published, a farewell that was
        // never written would let the process end with its allowances charged.
        self.acked_state = self.sent_state;
    }

    /// The last beat met another revision: takes what stands there now. Returns whether the beat is
    /// in the table after all, its reply having been lost.
    pub fn conflicted(&mut self, found: Option<&table::Row>, exclusive_address: bool) -> bool {
        let Some(found) = found else {
            // Rows are removed only when their holder is proved to have ended and all its streams are
            // settled. Whoever is removed has nothing left to spend and must not come back.
            self.superseded |= self.committed;
            self.revision = 0;
            return false;
        };
        let Ok(content) = Row::decode(&found.value) else {
            // A newer program, with rows that this one cannot read, runs under this name.
            self.superseded = true;
            return false;
        };
        if content.incarnation == self.me.incarnation {
            self.revision = found.revision;
            self.committed = true;
            self.superseded |= content.settled;
            let left = &content.earlier;
            self.row.earlier.retain(|entry| {
                left.iter()
                    .any(|known| known.incarnation == entry.incarnation)
            });
            self.acked_beat = self.acked_beat.max(content.beat);
            self.acked_state = self.acked_state.max(content.state);
            return content.beat == self.row.beat;
        }
        self.inherit(found, exclusive_address);
        false
    }

    /// Takes the row that stood in the table before this incarnation first wrote.
    pub fn inherit(&mut self, found: &table::Row, exclusive_address: bool) {
        self.known = true;
        self.revision = found.revision;
        let Ok(old) = Row::decode(&found.value) else {
            return;
        };
        if old.incarnation > self.me.incarnation {
            self.superseded = true;
            return;
        }
        if old.incarnation == self.me.incarnation {
            return;
        }
        let ended = old.state == State::Gone || exclusive_address && self.holds_addresses_of(&old);
        let mut earlier = old.earlier;
        if !old.settled {
            earlier.push(EarlierIncarnation {
                incarnation: old.incarnation,
                ended,
            });
        }
        for entry in earlier {
            self.add_earlier(entry);
        }
    }

    /// No row stood in the table before.
    pub fn inherit_nothing(&mut self) {
        self.known = true;
        self.revision = 0;
    }

    /// A process that still ran, even a stopped one, would hold its listening sockets, so that this
    /// one could not have bound the same addresses. That holds only where no two machines ever have
    /// one address, which is why a setting must say so.
    fn holds_addresses_of(&self, old: &Row) -> bool {
        old.caller_address == self.me.caller_address && old.peer_address == self.me.peer_address
    }

    fn add_earlier(&mut self, entry: EarlierIncarnation) {
        let earlier = &mut self.row.earlier;
        let same = |known: &&mut EarlierIncarnation| known.incarnation == entry.incarnation;
        if let Some(known) = earlier.iter_mut().find(same) {
            known.ended |= entry.ended;
            return;
        }
        earlier.push(entry);
        if earlier.len() <= MOST_EARLIER {
            return;
        }
        let victim = earlier.iter().position(|known| known.ended).unwrap_or(0);
        earlier.remove(victim);
    }
}
