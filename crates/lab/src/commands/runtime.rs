//! The asynchronous runtime of the commands that use the network.

use std::future::Future;

use crate::command_line::CommandError;

/// Runs `future` to its end on a runtime with one thread for each core.
pub fn block_on<T>(future: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build()?.block_on(future)
}

/// Waits until the process is asked to end.
pub async fn wait_for_interrupt() -> Result<(), CommandError> {
    tokio::signal::ctrl_c().await?;
    Ok(())
}
