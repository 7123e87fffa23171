//! Prepaid budgets: allowances, holds and settlement, as a pure state machine.
