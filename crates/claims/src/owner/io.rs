//! Inputs and outputs of the owner.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{
    AttemptId, Digest, Epoch, NodeId, RecordedAnswer, Refusal, RequestKey, RootId, ServiceTable, SlotId, Timestamp,
};

use crate::claim::ClaimEntry;
use crate::message::ClaimMessage;
use crate::settings::OwnerSettings;

/// The decision on a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimDecision {
    /// The claim is recorded on a majority; only this attempt may run.
    Granted,
    /// The request with this key has already run; this is its recorded answer.
    Replay(RecordedAnswer),
    /// The claim was not granted; the refusal states whether the request may have run before.
    Refused(Refusal),
}

/// An input of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerInput {
    /// The gate requests a claim; answered by [`OwnerOutput::Resolved`].
    ///
    /// A granted ticket must end with `Finished`, `Released` or `Abandoned`.
    Claim {
        /// The attempt; the request is ignored if the ticket is already in use.
        ticket: AttemptId,
        /// The key of the call.
        key: RequestKey,
        /// The slot of the key.
        slot: SlotId,
        /// A hash of the request, if the key came from the caller.
        digest: Option<Digest>,
        /// The root of the call.
        root: RootId,
        /// Whether the caller chose the key and may retry the request with it.
        key_from_caller: bool,
        /// The time left for the call.
        remaining: Duration,
    },
    /// A message with role [`ClaimRole::Owner`](crate::ClaimRole) arrived from an authenticated node.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: ClaimMessage,
    },
    /// The granted call completed.
    Finished {
        /// The attempt.
        ticket: AttemptId,
        /// The answer, if it should be retained for replay.
        record: Option<RecordedAnswer>,
    },
    /// The attempt was not sent to the back end and never will be; also withdraws a claim not yet granted.
    Released {
        /// The attempt.
        ticket: AttemptId,
    },
    /// The attempt was sent to the back end, and it is unknown whether it ran: its key stays claimed.
    Abandoned {
        /// The attempt.
        ticket: AttemptId,
    },
    /// A table that the service's group agreed on; ignored if it does not supersede the last one.
    Table(Arc<ServiceTable>),
    /// The node's lease in its group is valid until `until`; without a lease nothing is granted or dispatched.
    Lease {
        /// The end of the lease on this node's clock.
        until: Timestamp,
    },
    /// Collect the claims of a slot that is sealed in the table, to transfer them to another site.
    ///
    /// May be sent to any node of the site, also repeatedly. Ignored unless the slot is sealed in the table.
    ExportSlot {
        /// The slot.
        slot: SlotId,
    },
    /// Record the claims of a slot that another site has sealed, before the table assigns the slot to an owner here.
    ///
    /// Ignored if the table has the slot under a newer epoch, or under `epoch` in another state than vacant. Vacant
    /// under `epoch` means that the group agreed on the import.
    ImportSlot {
        /// The slot.
        slot: SlotId,
        /// An epoch above that of the seal and of every earlier import. The first owner must be assigned at this epoch
        /// if it is this node, and at a higher one if it is another node.
        epoch: Epoch,
        /// All exported claims.
        claims: Vec<ClaimEntry>,
    },
    /// The settings changed; a new retention applies to claims created or finished from now on.
    SettingsChanged(OwnerSettings),
    /// Time has passed: the owner drops expired claims and sends overdue messages again.
    Tick,
}

/// An output of the owner: an action for the driver or a change of state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerOutput {
    /// Send a message; `to` may be this node.
    Send {
        /// The recipient.
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
    /// The owner has the slot's claims and recorded them under the epoch; it grants claims from now on.
    SlotOpened {
        /// The slot.
        slot: SlotId,
        /// The epoch.
        epoch: Epoch,
    },
    /// A voter promised the slot to another owner, or sealed it: this node no longer owns it, whatever its table says.
    SlotLost {
        /// The slot.
        slot: SlotId,
        /// The epoch under which it was owned.
        epoch: Epoch,
    },
    /// The slot is sealed on a majority; these are all its claims.
    SlotExported {
        /// The slot.
        slot: SlotId,
        /// The epoch of the seal.
        epoch: Epoch,
        /// The claims.
        claims: Vec<ClaimEntry>,
    },
    /// The imported claims are recorded on a majority at this site: the group may assign an owner.
    SlotImported {
        /// The slot.
        slot: SlotId,
        /// The epoch of the import.
        epoch: Epoch,
    },
    /// Every claim of this owner is recorded on a majority of the voters of the table with this epoch.
    ///
    /// Emitted once for each table that has previous voters; see
    /// [`can_drop_previous_voters`](crate::can_drop_previous_voters).
    VotersSettled {
        /// The epoch of the table.
        epoch: Epoch,
    },
}
