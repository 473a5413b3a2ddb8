//! Program entry point of `quillhatch-lab`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    quillhatch_lab::command_line::run(&arguments).into()
}
