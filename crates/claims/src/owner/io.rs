//! Inputs and outputs of the owner.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{
    AttemptId, Digest, Epoch, NodeId, RecordedAnswer, Refusal, RequestKey, RootId, ServiceTable, SlotId, Timestamp,
};

use crate::claim::ClaimEntry;
use crate::message::ClaimMessage;
use crate::settings::OwnerSettings;

/// What became of the request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimDecision {
    /// The claim is recorded on a majority; this attempt alone may run.
    Granted,
    /// The key's request has run; this is its recorded answer.
    Replay(RecordedAnswer),
    /// The claim was not granted; the refusal says what is known of earlier runs.
    Refused(Refusal),
}

/// What can happen to an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerInput {
    /// The gate asks for a claim; answered by [`OwnerOutput::Resolved`].
    ///
    /// A granted ticket must end with `Finished`, `Released` or `Abandoned`.
    Claim {
        /// The attempt; a ticket that is in use is ignored.
        ticket: AttemptId,
        /// The key of the call.
        key: RequestKey,
        /// The slot of the key.
        slot: SlotId,
        /// A hash of the request, if the key came from the caller.
        digest: Option<Digest>,
        /// The root of the call.
        root: RootId,
        /// Whether the caller chose the key and may repeat the request under it.
        key_from_caller: bool,
        /// The time left for the call.
        remaining: Duration,
    },
    /// A message of role [`ClaimRole::Owner`](crate::ClaimRole) arrived from an authenticated node.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: ClaimMessage,
    },
    /// The granted call ran to its end.
    Finished {
        /// The attempt.
        ticket: AttemptId,
        /// The answer, if it should be kept for replay.
        record: Option<RecordedAnswer>,
    },
    /// The attempt was not handed to the back end and never will be; also withdraws a claim not yet granted.
    Released {
        /// The attempt.
        ticket: AttemptId,
    },
    /// The attempt was handed to the back end, and nobody knows whether it ran: its key stays claimed.
    Abandoned {
        /// The attempt.
        ticket: AttemptId,
    },
    /// A table that the service's group agreed on; an older one than the last is ignored.
    Table(Arc<ServiceTable>),
    /// The node's lease in its group holds until `until`; without a lease nothing is granted or dispatched.
    Lease {
        /// The end of the lease on this node's own clock.
        until: Timestamp,
    },
    /// Collect the claims of a slot that the table says is sealed, to hand them to another site.
    ///
    /// Any node of the site may be asked, and asked again. Ignored while the table does not say that it is sealed.
    ExportSlot {
        /// The slot.
        slot: SlotId,
    },
    /// Record the claims of a slot that another site has sealed, before the table names an owner here.
    ///
    /// Ignored if the slot was assigned under a newer epoch before, or to an owner under `epoch`. The table may name the
    /// slot vacant under `epoch`, which says that the group agreed on the import.
    ImportSlot {
        /// The slot.
        slot: SlotId,
        /// An epoch above that of the seal and of every earlier import; the first owner must be named at this epoch
        /// or, if it is another node, at a higher one.
        epoch: Epoch,
        /// All claims exported.
        claims: Vec<ClaimEntry>,
    },
    /// Other settings are in force; a changed retention holds for claims made or finished from now on.
    SettingsChanged(OwnerSettings),
    /// Time has passed.
    Tick,
}

/// What an owner wants done or has reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerOutput {
    /// Send a message; `to` may be this node itself.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: ClaimMessage,
    },
    /// The answer to [`OwnerInput::Claim`].
    Resolved {
        /// The attempt.
        ticket: AttemptId,
        /// The decision.
        resolution: ClaimDecision,
    },
    /// The slot's claims are known here and recorded under the epoch: claims are granted from now on.
    SlotOpened {
        /// The slot.
        slot: SlotId,
        /// The epoch.
        epoch: Epoch,
    },
    /// A newer epoch was promised for the slot: this node no longer owns it, whatever its table says.
    SlotLost {
        /// The slot.
        slot: SlotId,
        /// The epoch under which it was owned.
        epoch: Epoch,
    },
    /// The slot is sealed on a majority, and these are all its claims.
    SlotExported {
        /// The slot.
        slot: SlotId,
        /// The epoch of the seal.
        epoch: Epoch,
        /// The claims.
        claims: Vec<ClaimEntry>,
    },
    /// The imported claims are recorded on a majority here: the group may name an owner.
    SlotImported {
        /// The slot.
        slot: SlotId,
        /// The epoch of the import.
        epoch: Epoch,
    },
    /// Every claim of this owner is recorded on a majority of the voters of the table with this epoch.
    ///
    /// Said once for each table that has previous voters; see
    /// [`can_drop_previous_voters`](crate::can_drop_previous_voters).
    VotersSettled {
        /// The epoch of the table.
        epoch: Epoch,
    },
}
