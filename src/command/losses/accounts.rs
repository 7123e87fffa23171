//! Refusals for lack of tokens by client account, and whether the account was exhausted or its tokens were granted
//! to other instances.

use std::collections::{BTreeMap, HashMap};

use super::super::lines::Line;
use super::number_field;

/// Share of the prepaid tokens, in percent, from which an account counts as exhausted: what is left is too little for
/// its last requests.
const EXHAUSTED_PERCENT: u64 = 94;

/// Figures of one account from the log lines.
#[derive(Default)]
struct Account {
    /// Requests refused with `BudgetUnknown`.
    unknown: u64,
    /// Requests refused with `BudgetExhausted`.
    exhausted: u64,
    prepaid: u64,
    used: u64,
    /// Last known grant of each instance, with the time of its line.
    granted: HashMap<String, (String, u64)>,
    lent: u64,
}

impl Account {
    fn granted(&self) -> u64 {
        self.granted.values().map(|(_, granted)| granted).sum()
    }

    /// Notes a grant unless a later one is known: the files may be given in any order.
    fn note_grant(&mut self, line: &Line) {
        let Ok(granted) = line.field("granted").parse() else {
            return;
        };
        let last = self.granted.entry(line.instance.clone()).or_default();
        if last.0 <= line.time {
            *last = (line.time.clone(), granted);
        }
    }

    /// Describes where the tokens were that the refused requests lacked, as of the last line.
    fn shortage(&self) -> &'static str {
        let used_hundredfold = self.used.saturating_mul(100);
        if self.prepaid == 0 {
            return "total not seen";
        }
        if used_hundredfold >= self.prepaid.saturating_mul(EXHAUSTED_PERCENT) {
            return "exhausted";
        }
        let unallocated = self.prepaid.saturating_sub(self.granted());
        let unused = self.granted().saturating_sub(self.used);
        match unallocated > unused {
            true => "nobody held them",
            false => "stood elsewhere",
        }
    }
}

/// Prints the `limit` accounts with the most refusals.
pub(super) fn print(lines: &[Line], limit: usize) {
    let accounts = collect(lines);
    let mut ranked: Vec<(&String, &Account)> = accounts.iter().collect();
    ranked.retain(|(_, account)| account.unknown + account.exhausted > 0);
    ranked.sort_by_key(|(_, account)| std::cmp::Reverse(account.unknown + account.exhausted));
    println!("account unknown exhausted prepaid granted used lent holders tokens");
    for (name, account) in ranked.into_iter().take(limit) {
        let holders = account.granted.values().filter(|(_, granted)| *granted > 0);
        println!(
            "{name} {} {} {} {} {} {} {} {}",
            account.unknown,
            account.exhausted,
            account.prepaid,
            account.granted(),
            account.used,
            account.lent,
            holders.count(),
            account.shortage()
        );
    }
}

fn collect(lines: &[Line]) -> BTreeMap<String, Account> {
    let mut accounts: BTreeMap<String, Account> = BTreeMap::new();
    let mut account_by_request: HashMap<&str, &str> = HashMap::new();
    for line in lines {
        let name = line.field("account");
        match line.title() {
            "route.chosen" => {
                account_by_request.insert(line.field("request"), name);
            }
            "request.done" => {
                let Some(name) = account_by_request.get(line.field("request")) else {
                    continue;
                };
                let account = accounts.entry((*name).to_owned()).or_default();
                account.used += number_field(line, "tokens");
            }
            "route.refused" => {
                let account = accounts.entry(name.to_owned()).or_default();
                match line.field("cause") {
                    "BudgetUnknown" => account.unknown += 1,
                    "BudgetExhausted" => account.exhausted += 1,
                    _ => {}
                }
            }
            "allowance.drawn" | "allowance.returned" => {
                let account = accounts.entry(name.to_owned()).or_default();
                account.prepaid = number_field(line, "prepaid");
                account.note_grant(line);
            }
            // A restarted instance knows its grant from the ledger.
            "allowance.reclaimed" if !name.is_empty() => {
                let account = accounts.entry(name.to_owned()).or_default();
                account.note_grant(line);
            }
            "tokens.lent" => {
                let account = accounts.entry(name.to_owned()).or_default();
                account.lent += number_field(line, "tokens");
            }
            _ => {}
        }
    }
    accounts
}
