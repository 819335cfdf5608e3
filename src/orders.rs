//! Target orders: which targets of a failure domain run, by demand and cost.

pub mod demand_table;
pub mod order_intent;
pub mod order_keeper;
pub mod order_plan;
