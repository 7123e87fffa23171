//! Usage that the holders report to each other.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::Quota;
use super::plan::{Peer, Peers};
use super::row::Usage;

impl Quota {
    /// Sets the usage last reported by each live holder. Callers are directed to the holders in
    /// `advertised`; if it is empty, to all of them.
    pub fn set_peers(&mut self, reported: &[(Arc<str>, Vec<Usage>)], advertised: &[Arc<str>]) {
        self.knows_peers = true;
        self.is_advertised = advertised.is_empty() || advertised.contains(&self.holder);
        let advertised_count = if advertised.is_empty() {
            reported.len()
        } else {
            advertised.len()
        };
        self.advertised_count = advertised_count as u64;
        let names: HashSet<&Arc<str>> = advertised.iter().collect();
        let live = reported.iter().map(|(holder, _)| holder.clone());
        self.live = Arc::new(live.collect());
        let mut by_account: HashMap<Arc<str>, HashMap<Arc<str>, Peer>> = HashMap::new();
        for (holder, usages) in reported {
            if *holder == self.holder {
                continue;
            }
            for usage in usages {
                let peer = Peer {
                    consumed: usage.consumed,
                    demand_per_s: usage.demand_per_s,
                    is_advertised: names.is_empty() || names.contains(holder),
                };
                let peers = by_account.entry(usage.account.clone()).or_default();
                peers.insert(holder.clone(), peer);
            }
        }
        for (name, account) in &mut self.accounts {
            account.set_peers(Peers {
                usages: by_account.remove(name).unwrap_or_default(),
                live: self.live.clone(),
            });
        }
    }

    /// Sets the holders that callers are directed to, other than this one, without their usage. No
    /// account counts as exhausted by the grants of others until [`Quota::set_peers`].
    pub fn set_unreported_peers(&mut self, advertised: &[Arc<str>]) {
        let reported = advertised.iter().map(|holder| (holder.clone(), Vec::new()));
        let reported: Vec<(Arc<str>, Vec<Usage>)> = reported.collect();
        self.set_peers(&reported, advertised);
        self.is_advertised = false;
        self.knows_peers = false;
    }

    /// Returns the usage that this instance reports to the other holders.
    ///
    /// Only accounts that were used or granted here are included, because every instance reads the
    /// reports of all others.
    pub fn usage(&mut self, now_ms: u64) -> Vec<Usage> {
        let mut usages = Vec::new();
        for (name, account) in &mut self.accounts {
            if account.prepaid().is_none() {
                continue;
            }
            let usage = account.usage(name.clone(), now_ms);
            if usage.consumed > 0 || usage.demand_per_s > 0 || account.granted() > 0 {
                usages.push(usage);
            }
        }
        usages
    }
}
