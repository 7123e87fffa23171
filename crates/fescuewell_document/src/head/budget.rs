//! Prepaid totals in the budget rows.

use std::collections::HashMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{Row, Transaction};
use serde_json::{Value, json};

use crate::model::Document;

/// Start of the keys of all budget rows.
pub const PREFIX: &str = "budget/";

/// Key of a group's budget row.
pub fn key(group: &str) -> Arc<str> {
    format!("{PREFIX}{group}").into()
}

/// Keys of the budget rows that have to change, with the new totals. Groups that were removed are not among
/// them: what they paid and spent stays on record.
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

/// Adds the new total of one group to a transaction.
pub(super) fn write(
    transaction: Transaction,
    key: Arc<str>,
    prepaid: Tokens,
    row: Option<&Row>,
) -> Result<Transaction, Refusal> {
    let Some(row) = row else {
        let value = json!({"prepaid": prepaid, "spent": 0, "grants": {}});
        return Ok(put(transaction, key, 0, &value));
    };
    // The row is edited as JSON, not through a type of this crate: a field that only the instances
    // know would otherwise be dropped here, and with it what they recorded.
    let mut value: Value = serde_json::from_slice(&row.value).map_err(|_| unreadable(&key))?;
    let drawn = drawn(&value).ok_or_else(|| unreadable(&key))?;
    if prepaid < drawn {
        let detail = format!(
            "`{key}`: {} tokens are spent or allowed out, {} were to be prepaid.",
            drawn.0, prepaid.0
        );
        return Err(Refusal::new(Code::PrepaidBelowDrawn).with_detail(detail));
    }
    let fields = value.as_object_mut().ok_or_else(|| unreadable(&key))?;
    fields.insert("prepaid".into(), json!(prepaid));
    Ok(put(transaction, key, row.revision, &value))
}

fn put(transaction: Transaction, key: Arc<str>, revision: u64, value: &Value) -> Transaction {
    let bytes = value.to_string().into_bytes();
    transaction
        .with_compare(key.clone(), revision)
        .with_put(key, bytes)
}

/// What is spent or allowed out. An amount that cannot be read is a fault, never zero: a total accepted against a
/// misread amount could fall below what instances may still spend.
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

fn unreadable(key: &str) -> Refusal {
    Refusal::new(Code::Internal).with_detail(format!("The row `{key}` holds no budget."))
}
