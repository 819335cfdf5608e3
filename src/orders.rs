//! Target orders: one host of each failure domain, which owns this task by a lease, orders from the platform the set of
//! targets that shall run. It plans the set by demand and cost.

pub mod demand_table;
pub mod order_intent;
pub mod order_keeper;
pub mod order_plan;
