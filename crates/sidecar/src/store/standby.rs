//! Holds a standby watch on the platform's store, if this node's role is to do so.
//!
//! [`quillhatch_mesh::feed::StandbyReader`] decides what is read and when. What the watch returns is applied like any
//! other update; a failure changes nothing, since this node follows others.

use std::rc::Rc;

use quillhatch_mesh::feed::{StandbyReader, STANDBY_WATCH_TIMEOUT};
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::replica::{Position, Update, UpdateError, UpdateScope};
use quillhatch_mesh::store_reader::NextRead;
use quillhatch_platform::store::{read_page, watch_path, ReadConsistency};
use rand::Rng;
use tokio::time::sleep;

use super::client::{get, StoreError, StoreResponse};
use super::{apply_update, read_all, WATCH_TIMEOUT_MARGIN};
use crate::counters::Counters;
use crate::logging::JsonText;
use crate::node::Node;

/// Watches the store whenever this node is a standby, until the process ends.
pub async fn watch_as_standby(node: Rc<Node>) {
    let mut reader = StandbyReader::default();
    loop {
        let role_changed = node.feed.role_changed.notified();
        let view_changed = node.feed.view_changed.notified();
        if !is_standby(&node) {
            tokio::select! {
                () = role_changed => {}
                () = view_changed => {}
            }
            continue;
        }
        let position = node.position();
        let next = reader.next(position);
        let result = tokio::select! {
            result = read(&node, position, next) => result,
            () = node.clock.resumed() => continue,
            () = role_changed => continue,
        };
        let pause = match result {
            Ok(()) => reader.read_succeeded(&node.settings.bounds),
            Err(error) => {
                Counters::increment(&node.counters.store_failures);
                node.log_failure(|| format!("\"event\":\"standby-failed\",\"why\":{}", JsonText(&error)));
                let max_pause = reader.read_failed(position, !error.is_outage(), &node.settings.bounds);
                node.random.borrow_mut().gen_range(max_pause / 2..max_pause)
            }
        };
        sleep(pause).await;
    }
}

/// Whether this node must hold a standby watch now.
fn is_standby(node: &Node) -> bool {
    node.is_enabled(Mechanism::SharedReads) && node.feed.role.borrow().is_standby && node.position().is_known()
}

/// Reads what follows `position`, and applies it.
async fn read(node: &Rc<Node>, position: Position, next: NextRead) -> Result<(), StoreError> {
    let NextRead::Watch { after } = next else { return read_all(node, ReadConsistency::Current).await };
    let path = watch_path(after, STANDBY_WATCH_TIMEOUT);
    let StoreResponse { era, page } = get(node, &path, STANDBY_WATCH_TIMEOUT + WATCH_TIMEOUT_MARGIN, read_page).await?;
    if era != position.era {
        return Err(StoreError::OtherEra);
    }
    let page_position = Position { era, revision: page.revision };
    let update = Update { scope: UpdateScope::After(position), position: page_position, changes: page.changes };
    match apply_update(node, update) {
        // The readers have sent it meanwhile.
        Ok(()) | Err(UpdateError::Outdated) => Ok(()),
        Err(UpdateError::Gap) => Err(StoreError::OtherEra),
    }
}
