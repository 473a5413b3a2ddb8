//! Discrete-event simulation of callers, back ends and nodes under faults.
