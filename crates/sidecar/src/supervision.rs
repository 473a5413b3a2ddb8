//! Starts the tasks of a process again that end or panic.
//!
//! Each task runs for as long as the process. Without one of them the process would go on with a part of its work: a node
//! without its store reader looks alive, and knows no later change. Ending the process instead would cut its calls, and
//! what makes a task panic may be there at all processes, and again after their restart. What the tasks share is in the
//! [`Node`], and each begins with what it finds there, so a new start continues the work.

use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use tokio::time::{sleep, Instant};

use crate::counters::Counters;
use crate::logging::JsonText;
use crate::node::Node;

/// The pause before a task is started again for the first time; it doubles with each further time.
const INITIAL_PAUSE: Duration = Duration::from_millis(50);
/// The limit of that pause.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// How long a task must run for the pause before its next start to be the initial one again.
const STABLE_RUN_TIME: Duration = Duration::from_secs(10);

/// Runs the task that `start` returns, and starts it again after a pause whenever it ends or panics.
pub async fn supervise<Task: Future<Output = ()>>(node: Rc<Node>, name: &'static str, start: impl Fn() -> Task) {
    let mut pause = INITIAL_PAUSE;
    loop {
        let started = Instant::now();
        let result = AssertUnwindSafe(async { start().await }).catch_unwind().await;
        let why = result.map_or_else(|panic| format!("panic: {}", panic_message(&*panic)), |()| "ended".to_owned());
        if started.elapsed() >= STABLE_RUN_TIME {
            pause = INITIAL_PAUSE;
        }
        Counters::increment(&node.counters.task_failures);
        let pause_ms = pause.as_millis();
        node.log(&format!(
            "\"event\":\"task-failed\",\"task\":\"{name}\",\"why\":{},\"restarted_in_ms\":{pause_ms}",
            JsonText(why)
        ));
        sleep(pause).await;
        pause = (2 * pause).min(MAX_PAUSE);
    }
}

/// The message of a panic.
pub(crate) fn panic_message(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or("no message")
}
