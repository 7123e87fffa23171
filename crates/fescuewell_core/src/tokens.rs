//! Amounts of model tokens, the unit of prepaid budgets.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign};

crate::key! {
    /// A number of tokens. Addition saturates. There is no `Sub`, as a negative amount is always an error: use
    /// [`Tokens::saturating_sub`] or [`Tokens::checked_sub`].
    pub struct Tokens(pub u64);
}

impl Tokens {
    /// Zero tokens.
    pub const ZERO: Self = Self(0);

    /// Returns the difference, or zero if `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the difference, or `None` if `other` is larger.
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        self.0.checked_sub(other.0).map(Self)
    }

    /// Returns whether the amount is zero.
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
