//! The stand-ins and drivers of the cases in `review/4` and later. Only the standard library is used.
//!
//! Arguments: the name of a case, its folder, the program `quillhatch`, and a temporary folder.

mod broken_stream;
mod deployment;
mod http;
mod machine;
mod readers_refused;
mod record;
mod restored_store;
mod stop_behind;
mod store;
mod target;

use std::path::PathBuf;
use std::process::exit;

use deployment::COULD_NOT_RUN;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, case_folder, program, folder] = arguments.as_slice() else {
        println!("arguments: CASE CASE_FOLDER PROGRAM TEMPORARY_FOLDER");
        exit(COULD_NOT_RUN);
    };
    let (case_folder, program, folder) = (PathBuf::from(case_folder), PathBuf::from(program), PathBuf::from(folder));
    match case.as_str() {
        "stop-behind" => stop_behind::play(&case_folder, &program, &folder),
        "readers-refused" => readers_refused::play(&case_folder, &program, &folder),
        "restored-store" => restored_store::play(&case_folder, &program, &folder),
        "broken-stream" => broken_stream::play(&case_folder, &program, &folder),
        _ => {
            println!("unknown case {case}");
            exit(COULD_NOT_RUN);
        }
    }
}
