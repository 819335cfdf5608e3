//! Target orders: the owner of a failure domain's orders tells the platform which targets shall run, by demand and
//! cost.

pub mod demand_table;
pub mod order_intent;
pub mod order_keeper;
pub mod order_plan;
