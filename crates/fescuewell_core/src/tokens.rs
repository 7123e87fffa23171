//! Amounts of model tokens, the unit in which budgets are prepaid.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign};

crate::key! {
    /// A number of tokens. Subtraction is explicit ([`Tokens::saturating_sub`], [`Tokens::checked_sub`]) since
    /// money that goes below zero is always a fault.
    pub struct Tokens(pub u64);
}

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// The difference, or zero when `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The difference, or `None` when `other` is larger.
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        self.0.checked_sub(other.0).map(Self)
    }

    /// Whether this is zero.
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl Add for Tokens {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sum for Tokens {
    fn sum<Iter: Iterator<Item = Self>>(iter: Iter) -> Self {
        iter.fold(Self::ZERO, Add::add)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
