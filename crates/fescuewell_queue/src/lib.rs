//! Admission: priorities with a floor, token-fair sharing, adaptive limits and retry budgets, as pure state machines.
