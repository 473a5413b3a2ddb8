//! Small specifications of the core protocols, explored exhaustively.
