//! Target orders by failure domain.
