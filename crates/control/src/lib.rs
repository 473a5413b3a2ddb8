//! Per-service agreement on slots, drains, plans and configuration.
