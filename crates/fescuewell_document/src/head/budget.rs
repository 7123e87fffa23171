//! Updates of the prepaid totals in the budget rows.

use std::collections::HashMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{Row, Transaction};
use serde_json::{Value, json};

use crate::model::Document;

/// Key prefix of the budget rows.
pub const PREFIX: &str = "budget/";

/// Returns the key of a group's budget row.
pub fn key(group: &str) -> Arc<str> {
    format!("{PREFIX}{group}").into()
}

/// Returns the keys of the budget rows that must change, with the new totals. Removed groups are not included:
/// their rows remain as a record of what they paid and spent.
pub fn changed(before: &Document, after: &Document) -> Vec<(Arc<str>, Tokens)> {
    let old: HashMap<&str, Tokens> = before
        .groups
        .iter()
        .map(|group| (&*group.name, group.prepaid))
        .collect();
    let mut changed = Vec::new();
    for group in &after.groups {
        if old.get(&*group.name) == Some(&group.prepaid) {
            continue;
        }
        changed.push((key(&group.name), group.prepaid));
    }
    changed
}

/// Adds the new prepaid total of one group to a transaction.
pub(super) fn set_prepaid(
    transaction: Transaction,
    key: Arc<str>,
    prepaid: Tokens,
    row: Option<&Row>,
) -> Result<Transaction, Refusal> {
    let Some(row) = row else {
        let value = json!({"prepaid": prepaid, "spent": 0, "grants": {}});
        return Ok(put(transaction, key, 0, &value));
    };
    // The row is edited as JSON rather than through a type of this crate, which would drop the fields that
    // only the instances know.
    let mut value: Value = serde_json::from_slice(&row.value).map_err(|_| invalid_row(&key))?;
    let drawn = drawn(&value).ok_or_else(|| invalid_row(&key))?;
    if prepaid < drawn {
        let detail = format!(
            "`{key}`: {} tokens are spent or granted, but the new prepaid total is {}.",
            drawn.0, prepaid.0
        );
        return Err(Refusal::new(Code::PrepaidBelowDrawn).with_detail(detail));
    }
    let fields = value.as_object_mut().ok_or_else(|| invalid_row(&key))?;
    fields.insert("prepaid".into(), json!(prepaid));
    Ok(put(transaction, key, row.revision, &value))
}

fn put(transaction: Transaction, key: Arc<str>, revision: u64, value: &Value) -> Transaction {
    let bytes = value.to_string().into_bytes();
    transaction
        .with_compare(key.clone(), revision)
        .with_put(key, bytes)
}

/// Returns the tokens that are spent or granted, or `None` if an amount is invalid. An invalid amount must not
/// count as zero: the accepted total could then be lower than what instances may still spend.
fn drawn(row: &Value) -> Option<Tokens> {
    let mut drawn = amount(row, "spent")?;
    match row.get("grants") {
        None => {}
        Some(Value::Object(grants)) => {
            for grant in grants.values() {
                drawn += Tokens(grant.get("granted")?.as_u64()?);
            }
        }
        Some(_) => return None,
    }
    Some(drawn)
}

fn amount(row: &Value, field: &str) -> Option<Tokens> {
    match row.get(field) {
        None => Some(Tokens::ZERO),
        Some(value) => value.as_u64().map(Tokens),
    }
}

fn invalid_row(key: &str) -> Refusal {
    Refusal::new(Code::Internal).with_detail(format!("The row `{key}` is not a valid budget."))
}
