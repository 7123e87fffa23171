//! Registry of the backend servers: their entries and which of them may receive new work.

mod build;
mod entry;
mod registration;
mod ring;
mod versions;
mod whole;

use std::collections::HashMap;
use std::sync::Arc;

pub use build::Build;
pub(crate) use build::hash_pair;
use entry::is_restart;
pub use entry::{Change, Entry, Incarnation, State, Update};
use registration::Registration;
use ring::Ring;
pub use versions::Versions;

use crate::evacuation::{Order, Zones};
use crate::{version, warmup};

/// Registry of all backend servers.
///
/// Reads of the server list may be seconds old. Versions of a row only increase and older updates
/// are ignored; otherwise a stale read would restore a server that has left, and requests sent to
/// it would fail.
///
/// A store that is restored from a backup returns state that is some seconds old, under newer
/// versions. Servers that were removed or draining and zones that were evacuated stay so until the
/// server or the operator writes again.
#[derive(Debug, Default)]
pub struct Registry {
    registrations: HashMap<Arc<str>, Registration>,
    /// Servers in state [`State::Ready`], by service.
    rings: HashMap<Arc<str>, Ring>,
    /// The same servers, by service and software version.
    builds: HashMap<Build, Ring>,
    /// Services of the software versions of which no server accepts work any more, and since when, in
    /// milliseconds of the local clock.
    retired: HashMap<Build, (Arc<str>, u64)>,
    /// Time of the last update on the local clock.
    updated_at_ms: u64,
    /// Versions at which servers were removed.
    tombstones: HashMap<Arc<str>, u64>,
    snapshot_version: u64,
    /// Until when registrations without a row are kept.
    removal_grace_until_ms: u64,
    ended: Vec<Arc<Entry>>,
    /// Incarnations that declared in a response that they are leaving, with the time of the first
    /// one. Kept while their rows are missing, since rows of live servers may expire and return.
    leaving: HashMap<Incarnation, u64>,
    zones: Zones,
    warmup_limits: HashMap<Arc<str>, warmup::Limit>,
    /// Era of the store; see [`crate::version`].
    era: u32,
    /// Until when evacuations that a restored store lacks are kept.
    restore_grace_until_ms: u64,
}

/// Maximum number of tombstones; they prevent stale reads from restoring removed servers.
const MAX_TOMBSTONES: usize = 4_096;
/// Time for which a software version without servers may have begun streams that are still resumed, in
/// milliseconds.
const RETIRED_MS: u64 = 120_000;
/// Maximum number of retired software versions; those that retired first are dropped.
const MAX_RETIRED: usize = 256;
/// Maximum number of leaving incarnations; those that are known longest are dropped.
const MAX_LEAVING: usize = 4_096;
/// Time in milliseconds for which a response shows that its server is not leaving.
const CONFIRMED_MS: u64 = 1_500;
/// Duration of a store outage, in milliseconds, from which entries of live servers may have
/// expired. Entries expire after three missed heartbeats of 1.2 s; one of them may be due when the
/// outage begins.
pub const ENTRY_EXPIRY_OUTAGE_MS: u64 = 2_400;
/// Time after an outage within which live servers write their entries again, in milliseconds.
/// Without this grace period an instance has no backend servers and rejects requests until the
/// first heartbeats arrive.
const REMOVAL_GRACE_MS: u64 = 2_000;
/// Time after a restore within which the operator's lost writes are repeated, in milliseconds.
/// Evacuations that the restored list lacks stay in force until then.
const RESTORE_GRACE_MS: u64 = 5_000;
/// Tolerance when comparing the ends of cold times, in milliseconds: entries are written about once
/// a second and may take another second to be read.
const COLD_TOLERANCE_MS: u64 = 1_500;

impl Registry {
    /// Returns `true` if the update changes anything at `now_ms` of the local clock; most are mere
    /// heartbeats.
    pub fn is_change(&self, update: &Update, now_ms: u64) -> bool {
        match (&update.change, self.registrations.get(&update.id)) {
            (Change::Entry(entry), Some(known)) => {
                let is_colder =
                    now_ms + entry.cold_left_ms > known.cold_until_ms + COLD_TOLERANCE_MS;
                let turns_cold = entry.cold_left_ms > 0 && is_colder;
                // Other instances do not know a state that only this instance has observed.
                let has_local_state = known.is_marked_draining || known.expires_at_ms.is_some();
                !known.entry.is_equivalent(entry) || has_local_state || turns_cold
            }
            (Change::Entry(_), None) => true,
            // Other instances may have learned of a server that is unknown here.
            (Change::Removed, None) => !self.is_stale(update),
            (Change::Removed | Change::Unreadable { .. }, Some(_)) => true,
            (Change::Unreadable { .. }, None) => false,
        }
    }

    /// Returns `true` if the row is not newer than what is known of the server.
    pub fn is_stale(&self, update: &Update) -> bool {
        let registered = self.registrations.get(&update.id);
        let registered = registered.map(|known| known.version);
        let removed = self.tombstones.get(&update.id).copied();
        update.version <= registered.max(removed).unwrap_or_default()
    }

    /// Number of registered servers.
    pub fn count(&self) -> usize {
        self.registrations.len()
    }

    /// Applies an update at `now_ms` of the local clock. Returns `false` if it is stale.
    pub fn apply(&mut self, update: Update, now_ms: u64) -> bool {
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
        if self.is_stale(&update) {
            return false;
        }
        let Update {
            id,
            version,
            change,
        } = update;
        let removed = self.tombstones.get(&id).copied();
        self.enter_era(version::era(version), now_ms);
        let was_removed_before_restore =
            removed.is_some_and(|removed| version::era(removed) < version::era(version));
        if was_removed_before_restore && matches!(change, Change::Entry(_)) {
            // The entry comes from the backup. A live server writes again.
            self.tombstones.insert(id, version);
            return false;
        }
        match change {
            Change::Entry(entry) => self.register(entry, version, now_ms),
            Change::Removed => self.remove(&id, version, now_ms),
            Change::Unreadable { .. } => self.delete(id, version),
        }
        true
    }

    /// Starts the grace periods if the store was restored from a backup. Live servers write entries
    /// again that the backup lacks.
    fn enter_era(&mut self, era: u32, now_ms: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.removal_grace_until_ms = self.removal_grace_until_ms.max(now_ms + REMOVAL_GRACE_MS);
        self.restore_grace_until_ms = now_ms + RESTORE_GRACE_MS;
    }

    /// Starts the grace period for removals if the store responds again after an outage of
    /// `silence_ms` that was long enough for entries of live servers to expire, since their
    /// heartbeats could not be written either.
    pub fn store_recovered(&mut self, silence_ms: u64, now_ms: u64) {
        if silence_ms >= ENTRY_EXPIRY_OUTAGE_MS {
            self.removal_grace_until_ms = now_ms + REMOVAL_GRACE_MS;
        }
    }

    /// Marks a server as draining because it reported so in a response, before the list did. The
    /// next update of its row replaces the mark.
    pub fn mark_draining(&mut self, id: &str) {
        let Some(known) = self.registrations.get_mut(id) else {
            return;
        };
        let mut entry = Entry::clone(&known.entry);
        entry.state = State::Draining;
        let entry = Arc::new(entry);
        let former = std::mem::replace(&mut known.entry, entry.clone());
        known.is_marked_draining = true;
        self.reindex(Some(&former), Some(&entry));
    }

    /// Records that a server declared in a response that it is leaving. It receives no new work from
    /// then on, whatever its row says, until it restarts. Its row may be missing now and return
    /// later. Returns `false` if that was known, or if another incarnation is registered.
    pub fn mark_leaving(&mut self, server: &Entry, now_ms: u64) -> bool {
        if self.has_restarted(server) || self.is_leaving(server) {
            return false;
        }
        self.remember_leaving(server.incarnation(), now_ms);
        if let Some(known) = self.registrations.get_mut(&server.id) {
            known.is_leaving = true;
            let former = known.entry.clone();
            self.reindex(Some(&former), None);
        }
        true
    }

    /// Records at `now_ms` of the local clock a response of a server, and whether it closes its
    /// connection, as each response of a leaving server does.
    pub fn record_response(&mut self, server: &Entry, closes_connection: bool, now_ms: u64) {
        let Some(known) = self.registrations.get_mut(&server.id) else {
            return;
        };
        if !is_restart(server, &known.entry) {
            known.confirmed_ms = (!closes_connection).then_some(now_ms);
        }
    }

    /// Returns `true` if a response of the server has shown within [`CONFIRMED_MS`] that it is not
    /// leaving.
    pub fn is_confirmed(&self, id: &str, now_ms: u64) -> bool {
        let known = self.registrations.get(id);
        let confirmed_ms = known.and_then(|known| known.confirmed_ms);
        confirmed_ms.is_some_and(|confirmed_ms| now_ms < confirmed_ms + CONFIRMED_MS)
    }

    fn remember_leaving(&mut self, incarnation: Incarnation, now_ms: u64) {
        if self.leaving.len() >= MAX_LEAVING {
            let oldest = self.leaving.iter().min_by_key(|(_, at_ms)| **at_ms);
            if let Some(oldest) = oldest.map(|(oldest, _)| *oldest) {
                self.leaving.remove(&oldest);
            }
        }
        self.leaving.insert(incarnation, now_ms);
    }

    /// Returns `true` if this incarnation declared that it is leaving.
    fn is_leaving(&self, entry: &Entry) -> bool {
        !self.leaving.is_empty() && self.leaving.contains_key(&entry.incarnation())
    }

    /// Takes the last entries of servers that were removed or restarted since the last call.
    /// Observations of these incarnations do not apply to later ones with the same id.
    pub fn take_ended(&mut self) -> Vec<Arc<Entry>> {
        std::mem::take(&mut self.ended)
    }

    /// Returns `true` if the server has restarted since it wrote this entry.
    pub fn has_restarted(&self, entry: &Entry) -> bool {
        let known = self.registrations.get(&entry.id);
        known.is_some_and(|known| is_restart(entry, &known.entry))
    }

    /// Returns the entry of a registered server, in whatever state.
    pub fn entry(&self, id: &str) -> Option<&Arc<Entry>> {
        self.registrations.get(id).map(|known| &known.entry)
    }

    /// Returns `true` if the server is registered, in whatever state.
    pub fn is_known(&self, id: &str) -> bool {
        self.registrations.contains_key(id)
    }

    /// Returns `true` if the server is registered and may receive new work.
    pub fn is_ready(&self, id: &str, now_ms: u64) -> bool {
        let known = self.registrations.get(id);
        known.is_some_and(|known| self.is_available(known, now_ms))
    }

    /// Returns `true` if the server may be cold; see [`crate::warmup`].
    pub fn is_cold(&self, id: &str, now_ms: u64) -> bool {
        let known = self.registrations.get(id);
        known.is_some_and(|known| now_ms < known.cold_until_ms)
    }

    /// Sets the limits for cold servers, by service.
    pub fn set_warmup_limits<Limits>(&mut self, limits: Limits)
    where
        Limits: Iterator<Item = (Arc<str>, warmup::Limit)>,
    {
        self.warmup_limits = limits.collect();
    }

    /// Returns the availability zones with their evacuation orders.
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Applies an evacuation order at `now_ms` of the local clock. Returns `true` if it changes the
    /// zone's state.
    pub fn apply_evacuation(&mut self, order: Order, now_ms: u64) -> bool {
        let zone = order.zone.clone();
        let is_end = !order.is_evacuated;
        let is_changed = self.zones.apply(order);
        if is_changed && is_end {
            self.mark_zone_cold(&zone, now_ms);
        }
        is_changed
    }

    /// Applies the whole list of orders as of `version`. Returns those that change a zone's state.
    pub fn apply_evacuations(
        &mut self,
        version: u64,
        listed: Vec<Order>,
        now_ms: u64,
    ) -> Vec<Order> {
        self.enter_era(version::era(version), now_ms);
        let withdrawn = match now_ms < self.restore_grace_until_ms {
            true => Vec::new(),
            false => self.zones.withdrawn(version, &listed),
        };
        let orders = listed.into_iter().chain(withdrawn);
        let mut changes = Vec::new();
        for order in orders {
            if self.apply_evacuation(order.clone(), now_ms) {
                changes.push(order);
            }
        }
        changes
    }

    /// Marks the servers of a zone as cold. They may have cooled down during the evacuation; their
    /// own reports arrive a second or two after its end, and until then all instances would send to
    /// them at once.
    fn mark_zone_cold(&mut self, zone: &str, now_ms: u64) {
        for known in self.registrations.values_mut() {
            if &*known.entry.zone != zone {
                continue;
            }
            let Some(limit) = self.warmup_limits.get(&known.entry.service) else {
                continue;
            };
            let until_ms = now_ms + limit.duration.as_millis() as u64;
            known.cold_until_ms = known.cold_until_ms.max(until_ms);
        }
    }

    fn is_available(&self, known: &Registration, now_ms: u64) -> bool {
        known.is_available(now_ms) && !self.zones.is_evacuated(&known.entry.zone)
    }

    /// Returns up to `limit` servers of a service that may receive new work, of one software version if
    /// `build` is given, as [`Registry::subset`] does.
    pub fn subset_of(
        &self,
        service: &str,
        build: Option<Build>,
        key: u64,
        limit: usize,
        now_ms: u64,
    ) -> Vec<&Arc<Entry>> {
        let Some(build) = build else {
            return self.subset(service, key, limit, now_ms);
        };
        let servers = self.of_build(build, key, now_ms);
        let servers = servers.filter(|entry| &*entry.service == service);
        servers.take(limit).collect()
    }

    /// Returns the servers of a software version that may receive new work, from `key` on its hash ring.
    pub fn of_build(
        &self,
        build: Build,
        key: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = &Arc<Entry>> {
        let ring = self.builds.get(&build).into_iter();
        ring.flat_map(move |ring| ring.walk(key))
            .filter(move |entry| self.is_ready(&entry.id, now_ms))
    }

    fn retire(&mut self, build: Build, service: &Arc<str>) {
        if self.retired.len() >= MAX_RETIRED {
            let oldest = self.retired.iter().min_by_key(|(_, (_, at_ms))| *at_ms);
            if let Some(oldest) = oldest.map(|(oldest, _)| *oldest) {
                self.retired.remove(&oldest);
            }
        }
        let since = (service.clone(), self.updated_at_ms);
        self.retired.insert(build, since);
    }

    /// Returns the software version of a service if all of its servers have had the same one for
    /// [`RETIRED_MS`], as far as this list shows.
    pub fn only_build(&self, service: &str, now_ms: u64) -> Option<Build> {
        let builds = self.builds.iter();
        let mut builds = builds.filter(|(_, ring)| {
            let server = ring.walk(0).next();
            server.is_some_and(|server| &*server.service == service)
        });
        let (build, ring) = builds.next()?;
        let has_retired = self
            .retired
            .values()
            .any(|(retired, at_ms)| **retired == *service && now_ms < at_ms + RETIRED_MS);
        // A server of unknown version is on the service's ring only.
        let is_only = builds.next().is_none() && ring.len() == self.listed_count(service);
        (is_only && !has_retired).then_some(*build)
    }

    /// Returns `true` if a server of a software version is registered, in whatever state.
    pub fn knows_build(&self, build: Build) -> bool {
        self.builds.contains_key(&build) || self.entries().any(|entry| entry.build() == Some(build))
    }

    /// Returns the services that have servers in state [`State::Ready`].
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.rings.keys()
    }

    /// Returns the servers of a service that may receive new work.
    pub fn ready<'a>(
        &'a self,
        service: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Arc<Entry>> + 'a {
        let ring = self.rings.get(service).into_iter();
        ring.flat_map(|ring| ring.walk(0))
            .filter(move |entry| self.is_ready(&entry.id, now_ms))
    }

    /// Returns up to `limit` servers of a service that may receive new work: those that follow
    /// `key` on the service's hash ring. Instances that know the same servers get the same ones.
    pub fn subset(&self, service: &str, key: u64, limit: usize, now_ms: u64) -> Vec<&Arc<Entry>> {
        let Some(ring) = self.rings.get(service) else {
            return Vec::new();
        };
        let available = ring
            .walk(key)
            .filter(|entry| self.is_ready(&entry.id, now_ms));
        available.take(limit).collect()
    }

    /// Returns the entry of a server that may receive new work of a service.
    pub fn ready_entry(&self, service: &str, id: &str, now_ms: u64) -> Option<&Arc<Entry>> {
        let known = self.registrations.get(id)?;
        let is_usable = &*known.entry.service == service && self.is_available(known, now_ms);
        is_usable.then_some(&known.entry)
    }

    /// Number of servers of a service that are listed as ready, in whatever zone.
    pub fn listed_count(&self, service: &str) -> usize {
        self.rings.get(service).map_or(0, Ring::len)
    }

    /// Replaces a server's former entry in the rings by its present one.
    fn reindex(&mut self, former: Option<&Arc<Entry>>, present: Option<&Arc<Entry>>) {
        if let Some((former, build)) = former.and_then(|former| Some((former, former.build()?)))
            && let Some(ring) = self.builds.get_mut(&build)
        {
            ring.remove(&former.id);
            if ring.len() == 0 {
                self.builds.remove(&build);
                self.retire(build, &former.service);
            }
        }
        if let Some(present) = present.filter(|entry| entry.state == State::Ready)
            && let Some(build) = present.build()
        {
            let ring = self.builds.entry(build).or_default();
            ring.insert(present.clone());
            self.retired.remove(&build);
        }
        let is_replaced = |former: &Arc<Entry>| {
            present.is_some_and(|present| {
                present.service == former.service && present.state == State::Ready
            })
        };
        if let Some(former) = former.filter(|former| !is_replaced(former))
            && let Some(ring) = self.rings.get_mut(&former.service)
        {
            ring.remove(&former.id);
            if ring.len() == 0 {
                self.rings.remove(&former.service);
            }
        }
        if let Some(present) = present.filter(|entry| entry.state == State::Ready) {
            let ring = self.rings.entry(present.service.clone()).or_default();
            ring.insert(present.clone());
        }
    }

    /// Returns the entries of all registered servers.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.registrations.values().map(|known| &known.entry)
    }

    fn register(&mut self, mut entry: Entry, version: u64, now_ms: u64) {
        let id = entry.id.clone();
        self.tombstones.remove(&id);
        let known = self.registrations.get(&id);
        if known.is_some_and(|known| known.was_draining_before_restore(&entry, version)) {
            entry.state = State::Draining;
        }
        if entry.version.is_none() {
            // An instance of an earlier program version has sent the entry.
            let same = known.filter(|known| !is_restart(&known.entry, &entry));
            entry.version = same.and_then(|known| known.entry.version.clone());
        }
        let before_ms = known.map_or(0, |known| known.cold_until_ms);
        let cold_until_ms = match entry.cold_left_ms {
            0 => before_ms,
            left_ms => before_ms.max(now_ms + left_ms),
        };
        let is_leaving = self.is_leaving(&entry);
        let entry = Arc::new(entry);
        let registration = Registration {
            entry: entry.clone(),
            version,
            is_marked_draining: false,
            is_leaving,
            expires_at_ms: None,
            cold_until_ms,
            confirmed_ms: known
                .filter(|known| !is_restart(&known.entry, &entry))
                .and_then(|known| known.confirmed_ms),
        };
        let former = self.registrations.insert(id, registration);
        let former_entry = former.as_ref().map(|former| &former.entry);
        self.reindex(former_entry, Some(&entry).filter(|_| !is_leaving));
        if let Some(former) = former.filter(|former| is_restart(&former.entry, &entry)) {
            self.ended.push(former.last_entry());
        }
    }

    /// Removes a server, after the grace period if one is running.
    fn remove(&mut self, id: &Arc<str>, version: u64, now_ms: u64) {
        let grace_until_ms = self.removal_grace_until_ms;
        match self.registrations.get_mut(id) {
            Some(known) if now_ms < grace_until_ms => {
                known.version = version;
                known.expires_at_ms = Some(known.expires_at_ms.unwrap_or(grace_until_ms));
            }
            _ => self.delete(id.clone(), version),
        }
    }

    /// Deletes a registration at once and leaves a tombstone.
    fn delete(&mut self, id: Arc<str>, version: u64) {
        if let Some(known) = self.registrations.remove(&id) {
            self.reindex(Some(&known.entry), None);
            self.ended.push(known.last_entry());
        }
        if self.tombstones.len() >= MAX_TOMBSTONES {
            self.tombstones.clear();
        }
        self.tombstones.insert(id, version);
    }
}
