//! Reads the settings file and the platform configuration document and reports every finding with its place.
