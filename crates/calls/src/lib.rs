//! Decisions about calls: admission, limits, retries, routing, deadlines.
