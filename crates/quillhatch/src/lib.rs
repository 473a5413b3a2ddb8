//! The quillhatch program: listeners, drivers and the command line.
