//! Reads and writes the files that commands are told to.

use std::path::Path;

use serde::Serialize;

use crate::command_line::CommandError;

/// Reads a text file.
pub fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|failure| CommandError::File { path: path.to_owned(), failure })
}

/// Writes a file, replacing an earlier one.
pub fn write_text(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(|failure| CommandError::File { path: path.to_owned(), failure })
}

/// Writes a value as indented JSON with a line break at the end.
pub fn write_json(path: &Path, value: &impl Serialize) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value)?;
    write_text(path, &(text + "\n"))
}

/// Prints a value as one line of JSON.
pub fn print_json(value: &impl Serialize) -> Result<(), CommandError> {
    println!("{}", serde_json::to_string(value)?);
    Ok(())
}

/// Creates a directory with its parents.
pub fn create_directory(path: &Path) -> Result<(), CommandError> {
    std::fs::create_dir_all(path).map_err(|failure| CommandError::File { path: path.to_owned(), failure })
}
