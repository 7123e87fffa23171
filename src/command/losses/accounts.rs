//! Refusals for want of tokens, account by account: whether the account was at its end, or its tokens stood elsewhere.

use std::collections::{BTreeMap, HashMap};

use super::super::lines::Line;
use super::number;

/// Part of the prepaid total, in percent, from which an account counts as at its end: the last requests no longer fit.
const END_PERCENT: u64 = 94;

/// What the lines tell of one account.
#[derive(Default)]
struct Account {
    unknown: u64,
    exhausted: u64,
    prepaid: u64,
    used: u64,
    /// The last grant of each holder.
    granted: HashMap<String, u64>,
    lent: u64,
}

impl Account {
    fn granted(&self) -> u64 {
        self.granted.values().sum()
    }

    /// Where the tokens were that its refused requests missed, as of the last line.
    fn verdict(&self) -> &'static str {
        let share = self.used.saturating_mul(100);
        if self.prepaid == 0 {
            return "total not seen";
        }
        if share >= self.prepaid.saturating_mul(END_PERCENT) {
            return "exhausted";
        }
        let free = self.prepaid.saturating_sub(self.granted());
        let held = self.granted().saturating_sub(self.used);
        match free > held {
            true => "nobody held them",
            false => "stood elsewhere",
        }
    }
}

/// Prints the accounts that were refused most.
pub(super) fn print(lines: &[Line], most: usize) {
    let accounts = collect(lines);
    let mut ranked: Vec<(&String, &Account)> = accounts.iter().collect();
    ranked.retain(|(_, account)| account.unknown + account.exhausted > 0);
    ranked.sort_by_key(|(_, account)| std::cmp::Reverse(account.unknown + account.exhausted));
    println!("account unknown exhausted prepaid granted used lent holders tokens");
    for (name, account) in ranked.into_iter().take(most) {
        let holders = account.granted.values().filter(|granted| **granted > 0);
        println!(
            "{name} {} {} {} {} {} {} {} {}",
            account.unknown,
            account.exhausted,
            account.prepaid,
            account.granted(),
            account.used,
            account.lent,
            holders.count(),
            account.verdict()
        );
    }
}

fn collect(lines: &[Line]) -> BTreeMap<String, Account> {
    let mut accounts: BTreeMap<String, Account> = BTreeMap::new();
    let mut of_request: HashMap<&str, &str> = HashMap::new();
    for line in lines {
        let name = line.field("account");
        match line.title() {
            "route.chosen" => {
                of_request.insert(line.field("request"), name);
            }
            "request.done" => {
                let Some(name) = of_request.get(line.field("request")) else {
                    continue;
                };
                let account = accounts.entry((*name).to_owned()).or_default();
                account.used += number(line, "tokens");
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
                account.prepaid = number(line, "prepaid");
                let granted = number(line, "granted");
                account.granted.insert(line.instance.clone(), granted);
            }
            "tokens.lent" => {
                let account = accounts.entry(name.to_owned()).or_default();
                account.lent += number(line, "tokens");
            }
            _ => {}
        }
    }
    accounts
}
