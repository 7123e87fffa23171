//! This instance's own member row: its content, its revision in the table, and who else wrote it.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table;

use crate::row::{self, EarlierIncarnation, Load, Row, State};

/// Maximum number of earlier incarnations kept in a row; those that have ended are dropped first.
const MAX_EARLIER: usize = 32;

fescuewell_core::data! {
    /// Identity of this instance, from its settings and the start of its process.
    pub struct InstanceInfo {
        /// Name of the instance.
        pub instance: Arc<str>,
        /// Incarnation of this process; higher than that of every earlier start.
        pub incarnation: Incarnation,
        /// Where callers connect; already bound.
        pub caller_address: SocketAddr,
        /// Where peers connect; already bound.
        pub peer_address: SocketAddr,
        /// Where operators connect; already bound.
        pub operator_address: SocketAddr,
        /// Availability zone.
        pub zone: Arc<str>,
        /// Highest document format that this program reads.
        pub formats: u32,
    }
}

/// This instance's row and its state in the table.
#[derive(Debug, Clone)]
pub struct OwnRow {
    info: InstanceInfo,
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
    /// A row that has not been written yet.
    pub fn new(info: InstanceInfo) -> Self {
        let row = Row {
            incarnation: info.incarnation,
            beat: 0,
            caller_address: info.caller_address,
            peer_address: info.peer_address,
            operator_address: info.operator_address,
            zone: info.zone.clone(),
            state: State::Starting,
            version: Version(0),
            formats: info.formats,
            load: Load::default(),
            settled: false,
            earlier: Vec::new(),
        };
        Self {
            info,
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

    /// Identity of this instance.
    pub fn info(&self) -> &InstanceInfo {
        &self.info
    }

    /// The row as it would be written now.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Whether the table has been checked for a row of a predecessor.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Number of the last beat that the table confirmed.
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

    /// Advances the state; earlier states are ignored. Returns whether it changed.
    pub fn advance(&mut self, state: State) -> bool {
        let changed = state > self.row.state;
        if changed {
            self.row.state = state;
        }
        changed
    }

    /// Sets the version in force; it never decreases.
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

    /// Builds the transaction of the next heartbeat.
    ///
    /// It compares the revision. Otherwise an older process of the same name that resumes after a
    /// pause would overwrite its successor's row, and the fleet would attribute the successor's
    /// slots and addresses to the old process.
    pub fn beat(&mut self) -> table::Transaction {
        self.row.beat += 1;
        self.sent_state = self.row.state;
        let key = row::key(&self.info.instance);
        table::Transaction::default()
            .with_compare(key.clone(), self.revision)
            .with_put(key, self.row.encode())
    }

    /// Records that the last beat was committed.
    pub fn record_commit(&mut self, revision: u64) {
        self.revision = revision;
        self.committed = true;
        self.acked_beat = self.row.beat;
        // The state may have advanced since the row was sent. If an unwritten farewell counted as
        // published, the process would end with its allowances still charged.
        self.acked_state = self.sent_state;
    }

    /// Handles a beat that met another revision, by adopting the stored row. Returns whether the
    /// beat is in the table after all, because only its reply was lost.
    pub fn resolve_conflict(
        &mut self,
        found: Option<&table::Row>,
        exclusive_address: bool,
    ) -> bool {
        let Some(found) = found else {
            // Rows are removed only when their holder is proved to have ended and all its streams
            // are settled. A removed instance has nothing left to spend and must not come back.
            self.superseded |= self.committed;
            self.revision = 0;
            return false;
        };
        let Ok(content) = Row::decode(&found.value) else {
            // A newer program, whose rows this one cannot read, runs under this name.
            self.superseded = true;
            return false;
        };
        if content.incarnation == self.info.incarnation {
            self.revision = found.revision;
            self.committed = true;
            self.superseded |= content.settled;
            let stored = &content.earlier;
            self.row.earlier.retain(|entry| {
                stored
                    .iter()
                    .any(|known| known.incarnation == entry.incarnation)
            });
            self.acked_beat = self.acked_beat.max(content.beat);
            self.acked_state = self.acked_state.max(content.state);
            return content.beat == self.row.beat;
        }
        self.inherit(found, exclusive_address);
        false
    }

    /// Adopts the row that was in the table before this incarnation first wrote.
    pub fn inherit(&mut self, found: &table::Row, exclusive_address: bool) {
        self.known = true;
        self.revision = found.revision;
        let Ok(old) = Row::decode(&found.value) else {
            return;
        };
        if old.incarnation > self.info.incarnation {
            self.superseded = true;
            return;
        }
        if old.incarnation == self.info.incarnation {
            return;
        }
        let ended = old.state == State::Gone || exclusive_address && self.has_addresses_of(&old);
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

    /// Records that there was no row in the table.
    pub fn inherit_none(&mut self) {
        self.known = true;
        self.revision = 0;
    }

    /// A process that still exists, even a stopped one, would hold its listening sockets, so this
    /// one could not have bound the same addresses. This holds only where no two machines ever
    /// share an address, so a setting must confirm it.
    fn has_addresses_of(&self, old: &Row) -> bool {
        old.caller_address == self.info.caller_address && old.peer_address == self.info.peer_address
    }

    fn add_earlier(&mut self, entry: EarlierIncarnation) {
        let earlier = &mut self.row.earlier;
        let same = |known: &&mut EarlierIncarnation| known.incarnation == entry.incarnation;
        if let Some(known) = earlier.iter_mut().find(same) {
            known.ended |= entry.ended;
            return;
        }
        earlier.push(entry);
        if earlier.len() <= MAX_EARLIER {
            return;
        }
        let victim = earlier.iter().position(|known| known.ended).unwrap_or(0);
        earlier.remove(victim);
    }
}
