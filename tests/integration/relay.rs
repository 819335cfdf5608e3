//! Target choice for plain requests, and the event stream parser.

mod attempts;
mod events;
