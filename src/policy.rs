//! Pure decisions about load: queues, choice of target, limits, retries.
