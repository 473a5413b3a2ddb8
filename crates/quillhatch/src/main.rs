//! The entry point of the program `quillhatch`.

use std::process::ExitCode;

use quillhatch::command_line::{run, OutputStreams};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (mut output, mut errors) = (std::io::stdout(), std::io::stderr());
    let exit = run(&arguments, &mut OutputStreams { output: &mut output, errors: &mut errors });
    ExitCode::from(exit.code())
}
