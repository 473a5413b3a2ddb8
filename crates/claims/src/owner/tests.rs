use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{
    AttemptId, CallId, Digest, Epoch, Generation, Incarnation, NodeAddress, NodeId, RecordedAnswer, Refusal,
    RefusalReason, RequestKey, RootId, ServiceName, ServiceTable, SiteName, SlotAssignment, SlotId, SlotState,
    Timestamp,
};
use test_case::test_case;

use super::io::{ClaimDecision, OwnerInput, OwnerOutput};
use super::ClaimOwner;
use crate::message::{entry_size, MAX_PAGE_BYTES};
use crate::settings::{OwnerSettings, VoterSettings};
use crate::{ClaimBody, ClaimMessage, ClaimRole, ClaimVoter};

const SLOT: SlotId = SlotId(0);
const START: Timestamp = Timestamp::from_millis(1_000);
const REMAINING: Duration = Duration::from_secs(1);

fn node(number: u8) -> NodeId {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, u16::from(number)));
    NodeId { address: NodeAddress(address), incarnation: Incarnation(u64::from(number)) }
}

fn service() -> ServiceName {
    ServiceName::new("giving").expect("valid")
}

fn table(epoch: u64, state: SlotState, voters: &[u8], previous: &[u8]) -> ServiceTable {
    ServiceTable {
        service: service(),
        site: SiteName::new("east").expect("valid"),
        generation: Generation(1),
        epoch: Epoch(epoch),
        slots: vec![SlotAssignment { slot: SLOT, epoch: Epoch(epoch), state }],
        gates: Vec::new(),
        voters: voters.iter().map(|number| node(*number)).collect(),
        previous_voters: previous.iter().map(|number| node(*number)).collect(),
        claims_lost: false,
    }
}

fn ticket(number: u128) -> AttemptId {
    AttemptId { call: CallId(number), attempt: 0 }
}

fn claim(number: u128, key: &str) -> OwnerInput {
    OwnerInput::Claim {
        ticket: ticket(number),
        key: RequestKey::new(key).expect("valid"),
        slot: SLOT,
        digest: Some(Digest(1)),
        root: RootId(number),
        key_from_caller: true,
        remaining: REMAINING,
    }
}

/// Owners and voters connected without loss or delay; messages to nodes that are down are dropped.
struct Cluster {
    now: Timestamp,
    owners: BTreeMap<NodeId, ClaimOwner>,
    voters: BTreeMap<NodeId, ClaimVoter>,
    down: Vec<NodeId>,
    largest_message: usize,
}

impl Cluster {
    fn new(owners: &[u8], voters: &[u8], settings: &OwnerSettings, voter_settings: &VoterSettings) -> Self {
        let owner = |number: &u8| {
            let mut owner = ClaimOwner::new(node(*number), service(), settings.clone());
            owner.step(START, OwnerInput::Lease { until: START + Duration::from_secs(1000) }, &mut Vec::new());
            (node(*number), owner)
        };
        let voter = |number: &u8| (node(*number), ClaimVoter::new(service(), voter_settings.clone()));
        Cluster {
            now: START,
            owners: owners.iter().map(owner).collect(),
            voters: voters.iter().map(voter).collect(),
            down: Vec::new(),
            largest_message: 0,
        }
    }

    fn with_two_owners() -> Self {
        let mut cluster = Self::new(&[11, 12], &[1, 2, 3], &OwnerSettings::default(), &VoterSettings::default());
        cluster.apply_table(11, table(1, SlotState::Owned { owner: node(11) }, &[1, 2, 3], &[]));
        cluster
    }

    fn apply_table(&mut self, owner: u8, table: ServiceTable) -> Vec<OwnerOutput> {
        self.step(owner, OwnerInput::Table(Arc::new(table)))
    }

    fn step(&mut self, owner: u8, input: OwnerInput) -> Vec<OwnerOutput> {
        let mut queue = VecDeque::new();
        let mut seen = Vec::new();
        self.step_one(node(owner), input, &mut queue, &mut seen);
        while let Some((from, to, message)) = queue.pop_front() {
            self.deliver(from, to, message, &mut queue, &mut seen);
        }
        seen
    }

    fn step_one(&mut self, id: NodeId, input: OwnerInput, queue: &mut Queue, seen: &mut Vec<OwnerOutput>) {
        let mut outputs = Vec::new();
        if let Some(owner) = self.owners.get_mut(&id) {
            owner.step(self.now, input, &mut outputs);
        }
        for output in outputs {
            match output {
                OwnerOutput::Send { to, message } => queue.push_back((id, to, message)),
                other => seen.push(other),
            }
        }
    }

    fn deliver(
        &mut self,
        from: NodeId,
        to: NodeId,
        message: ClaimMessage,
        queue: &mut Queue,
        seen: &mut Vec<OwnerOutput>,
    ) {
        if self.down.contains(&to) {
            return;
        }
        self.largest_message = self.largest_message.max(message.encode().len());
        if message.role() == ClaimRole::Owner {
            self.step_one(to, OwnerInput::Message { from, message }, queue, seen);
        } else if let Some(voter) = self.voters.get_mut(&to) {
            let mut replies = Vec::new();
            voter.handle(self.now, from, message, &mut replies);
            queue.extend(replies.into_iter().map(|(receiver, reply)| (to, receiver, reply)));
        }
    }

    fn advance_time(&mut self, owner: u8, time: Duration) -> Vec<OwnerOutput> {
        let end = self.now + time;
        let mut seen = Vec::new();
        while let Some(wake) = self.owners[&node(owner)].next_wake().filter(|wake| *wake <= end) {
            self.now = wake.max(self.now);
            seen.extend(self.step(owner, OwnerInput::Tick));
        }
        self.now = end;
        seen
    }

    fn may_dispatch(&self, owner: u8, number: u128) -> bool {
        self.owners[&node(owner)].may_dispatch(self.now, ticket(number))
    }
}

type Queue = VecDeque<(NodeId, NodeId, ClaimMessage)>;

fn decision(outputs: &[OwnerOutput], number: u128) -> ClaimDecision {
    let resolved = outputs.iter().find_map(|output| match output {
        OwnerOutput::Resolved { ticket: of, resolution } if *of == ticket(number) => Some(resolution.clone()),
        _ => None,
    });
    resolved.expect("the claim is decided")
}

fn refused(refusal: Refusal) -> ClaimDecision {
    ClaimDecision::Refused(refusal)
}

fn small_answer() -> RecordedAnswer {
    RecordedAnswer { status: 201, headers: Vec::new(), body: b"seat 7".to_vec() }
}

fn large_answer() -> RecordedAnswer {
    RecordedAnswer { status: 201, headers: Vec::new(), body: vec![0; 100_000] }
}

#[test_case(None, refused(Refusal::unknown(RefusalReason::KeyInProgress)); "running")]
#[test_case(Some(OwnerInput::Abandoned { ticket: ticket(1) }), refused(Refusal::unknown(RefusalReason::KeyInProgress)); "abandoned")]
#[test_case(Some(OwnerInput::Released { ticket: ticket(1) }), ClaimDecision::Granted; "released")]
#[test_case(
    Some(OwnerInput::Finished { ticket: ticket(1), record: Some(small_answer()) }),
    ClaimDecision::Replay(small_answer()); "finished"
)]
#[test_case(
    Some(OwnerInput::Finished { ticket: ticket(1), record: Some(large_answer()) }),
    refused(Refusal::failed(RefusalReason::AnswerNotKept)); "finished without a retained answer"
)]
fn a_retry_gets_the_outcome_of_the_first_attempt(end: Option<OwnerInput>, expected: ClaimDecision) {
    for other_owner in [false, true] {
        let mut cluster = Cluster::with_two_owners();
        assert_eq!(decision(&cluster.step(11, claim(1, "a")), 1), ClaimDecision::Granted);
        if let Some(end) = end.clone() {
            cluster.step(11, end);
        }
        let mut owner = 11;
        if other_owner {
            owner = 12;
            cluster.apply_table(12, table(2, SlotState::Owned { owner: node(12) }, &[1, 2, 3], &[]));
        }
        assert_eq!(decision(&cluster.step(owner, claim(2, "a")), 2), expected, "other owner: {other_owner}");
    }
}

#[test]
fn a_different_request_with_the_same_key_is_refused_as_not_run() {
    let mut cluster = Cluster::with_two_owners();
    cluster.step(11, claim(1, "a"));
    let mut other = claim(2, "a");
    if let OwnerInput::Claim { digest, .. } = &mut other {
        *digest = Some(Digest(2));
    }
    let expected = refused(Refusal::not_run(RefusalReason::KeyConflict));
    assert_eq!(decision(&cluster.step(11, other), 2), expected);
}

#[test]
fn a_claim_without_a_majority_is_refused_and_released() {
    let mut cluster = Cluster::with_two_owners();
    cluster.down = vec![node(2), node(3)];
    cluster.step(11, claim(1, "a"));
    let outputs = cluster.advance_time(11, Duration::from_millis(500));
    assert_eq!(decision(&outputs, 1), refused(Refusal::not_run(RefusalReason::ClaimNotRecorded)));
    assert!(!cluster.may_dispatch(11, 1));
    cluster.down.clear();
    assert_eq!(decision(&cluster.step(11, claim(2, "a")), 2), ClaimDecision::Granted);
}

#[test]
fn a_granted_call_is_not_dispatched_after_its_deadline_or_without_lease_or_slot() {
    let mut cluster = Cluster::with_two_owners();
    cluster.step(11, claim(1, "a"));
    assert!(cluster.may_dispatch(11, 1));
    let lease = |until| OwnerInput::Lease { until };
    cluster.step(11, lease(START));
    assert!(!cluster.may_dispatch(11, 1));
    assert_eq!(decision(&cluster.step(11, claim(2, "b")), 2), refused(Refusal::not_run(RefusalReason::NotOwner)));
    cluster.step(11, lease(START + Duration::from_secs(100)));
    assert!(cluster.may_dispatch(11, 1));
    cluster.now = START + REMAINING;
    assert!(!cluster.may_dispatch(11, 1));
    cluster.now = START;
    cluster.apply_table(11, table(2, SlotState::Owned { owner: node(12) }, &[1, 2, 3], &[]));
    assert!(!cluster.may_dispatch(11, 1));
}

#[test]
fn an_owner_fenced_by_a_voter_loses_the_slot() {
    let mut cluster = Cluster::with_two_owners();
    cluster.apply_table(12, table(2, SlotState::Owned { owner: node(12) }, &[1, 2, 3], &[]));
    let outputs = cluster.step(11, claim(1, "a"));
    assert!(outputs.contains(&OwnerOutput::SlotLost { slot: SLOT, epoch: Epoch(1) }));
    assert_eq!(decision(&outputs, 1), refused(Refusal::not_run(RefusalReason::NotOwner)));
    assert_eq!(decision(&cluster.step(12, claim(2, "a")), 2), ClaimDecision::Granted);
}

#[test]
fn the_outcome_of_a_call_reaches_the_owner_that_took_over() {
    let mut cluster = Cluster::with_two_owners();
    cluster.step(11, claim(1, "a"));
    let next = table(2, SlotState::Owned { owner: node(12) }, &[1, 2, 3], &[]);
    cluster.apply_table(12, next.clone());
    cluster.apply_table(11, next);
    cluster.step(11, OwnerInput::Finished { ticket: ticket(1), record: Some(small_answer()) });
    assert_eq!(decision(&cluster.step(12, claim(2, "a")), 2), ClaimDecision::Replay(small_answer()));
}

#[test]
fn lost_claims_block_only_keys_chosen_by_callers() {
    let mut cluster = Cluster::with_two_owners();
    let mut table_with_loss = table(2, SlotState::Owned { owner: node(11) }, &[1, 2, 3], &[]);
    table_with_loss.claims_lost = true;
    cluster.apply_table(11, table_with_loss);
    let expected = refused(Refusal::not_run(RefusalReason::ClaimsLost));
    assert_eq!(decision(&cluster.step(11, claim(1, "a")), 1), expected);
    let mut edge_claim = claim(2, "b");
    if let OwnerInput::Claim { key_from_caller, .. } = &mut edge_claim {
        *key_from_caller = false;
    }
    assert_eq!(decision(&cluster.step(11, edge_claim), 2), ClaimDecision::Granted);
}

#[test]
fn full_voters_refuse_new_claims_until_old_ones_expire() {
    let settings = OwnerSettings { retention: Duration::from_secs(5), ..OwnerSettings::default() };
    let voter_settings = VoterSettings { capacity: 1, ..VoterSettings::default() };
    let mut cluster = Cluster::new(&[11], &[1, 2, 3], &settings, &voter_settings);
    cluster.apply_table(11, table(1, SlotState::Owned { owner: node(11) }, &[1, 2, 3], &[]));
    cluster.step(11, claim(1, "a"));
    let full = refused(Refusal::not_run(RefusalReason::ClaimStoreFull));
    assert_eq!(decision(&cluster.step(11, claim(2, "b")), 2), full);
    assert!(cluster.may_dispatch(11, 1));
    cluster.advance_time(11, Duration::from_secs(20));
    assert_eq!(decision(&cluster.step(11, claim(3, "b")), 3), ClaimDecision::Granted);
}

#[test]
fn a_large_slot_is_taken_over_in_bounded_pages() {
    let mut cluster = Cluster::with_two_owners();
    let answer = RecordedAnswer { status: 200, headers: Vec::new(), body: vec![1; 2_000] };
    for number in 0..300 {
        cluster.step(11, claim(number, &format!("key-{number}")));
        let record = Some(answer.clone());
        cluster.step(11, OwnerInput::Finished { ticket: ticket(number), record });
    }
    cluster.down = vec![node(2)];
    let outputs = cluster.apply_table(12, table(2, SlotState::Owned { owner: node(12) }, &[1, 2, 3], &[]));
    assert!(outputs.contains(&OwnerOutput::SlotOpened { slot: SLOT, epoch: Epoch(2) }));
    assert!(cluster.largest_message <= 64 * 1024, "{} bytes", cluster.largest_message);
    assert_eq!(cluster.owners[&node(12)].held_claims(), 300);
    assert_eq!(decision(&cluster.step(12, claim(1000, "key-299")), 1000), ClaimDecision::Replay(answer));
}

#[test]
fn new_voters_hold_all_claims_before_the_previous_voters_are_dropped() {
    let mut cluster = Cluster::new(&[11], &[1, 2, 3, 4], &OwnerSettings::default(), &VoterSettings::default());
    cluster.apply_table(11, table(1, SlotState::Owned { owner: node(11) }, &[1, 2, 3], &[]));
    for number in 0..2_000 {
        cluster.step(11, claim(number, &format!("key-{number}")));
    }
    let mut changed = table(2, SlotState::Owned { owner: node(11) }, &[1, 2, 4], &[1, 2, 3]);
    changed.slots[0].epoch = Epoch(1);
    let settled = OwnerOutput::VotersSettled { epoch: Epoch(2) };
    cluster.down = vec![node(1), node(4)];
    assert!(!cluster.apply_table(11, changed).contains(&settled));
    cluster.down = vec![node(1)];
    assert!(cluster.advance_time(11, Duration::from_secs(2)).contains(&settled));
    assert_eq!(cluster.voters[&node(4)].held_claims(), 2_000);
}

#[test]
fn a_slot_moves_to_another_site_with_its_claims() {
    let mut cluster = Cluster::new(&[11, 12, 21], &[1, 2, 3, 4], &OwnerSettings::default(), &VoterSettings::default());
    cluster.apply_table(11, table(1, SlotState::Owned { owner: node(11) }, &[1, 2, 3], &[]));
    cluster.step(11, claim(1, "a"));
    let west = SiteName::new("west").expect("valid");
    let sealed = table(2, SlotState::Sealed { destination: west }, &[1, 2, 3], &[]);
    // The owner is unreachable, so another node of the site exports the slot.
    cluster.down = vec![node(11)];
    cluster.apply_table(12, sealed.clone());
    let exported = cluster.step(12, OwnerInput::ExportSlot { slot: SLOT });
    let [OwnerOutput::SlotExported { claims, epoch: Epoch(2), .. }] = exported.as_slice() else {
        panic!("unexpected {exported:?}");
    };
    assert_eq!(claims.len(), 1);
    let east = SiteName::new("east").expect("valid");
    cluster.apply_table(21, table(1, SlotState::Elsewhere { site: east }, &[4], &[]));
    cluster.apply_table(21, table(3, SlotState::Vacant, &[4], &[]));
    let import = OwnerInput::ImportSlot { slot: SLOT, epoch: Epoch(3), claims: claims.clone() };
    let imported = cluster.step(21, import);
    assert_eq!(imported, vec![OwnerOutput::SlotImported { slot: SLOT, epoch: Epoch(3) }]);
    let mut owned = table(4, SlotState::Owned { owner: node(21) }, &[4], &[]);
    owned.slots[0].epoch = Epoch(3);
    cluster.apply_table(21, owned);
    let expected = refused(Refusal::unknown(RefusalReason::KeyInProgress));
    assert_eq!(decision(&cluster.step(21, claim(3, "a")), 3), expected);
    cluster.down.clear();
    cluster.apply_table(11, sealed);
    assert_eq!(
        decision(&cluster.step(11, claim(4, "c")), 4),
        refused(Refusal::not_run(RefusalReason::SlotMoving).with_retry_after(Duration::from_millis(100)))
    );
    let west = SiteName::new("west").expect("valid");
    let mut moved = table(3, SlotState::Elsewhere { site: west }, &[1, 2, 3], &[]);
    moved.slots[0].epoch = Epoch(2);
    cluster.apply_table(12, moved);
    assert_eq!(cluster.owners[&node(12)].held_claims(), 0);
}

#[test]
fn entry_size_is_an_upper_bound_on_the_encoded_size() {
    let mut cluster = Cluster::with_two_owners();
    cluster.step(11, claim(1, &"k".repeat(128)));
    cluster.step(11, OwnerInput::Finished { ticket: ticket(1), record: Some(small_answer()) });
    let voter = &cluster.voters[&node(1)];
    let (key, held) = voter.claims(SLOT).next().expect("one claim");
    let entry = held.to_entry(key, START);
    assert!(crate::encode_claims(std::slice::from_ref(&entry)).len() <= entry_size(&entry));
    assert!(entry_size(&entry) < MAX_PAGE_BYTES);
    let body = ClaimBody::Settled(entry);
    let message = ClaimMessage { service: service(), slot: SLOT, epoch: Epoch(1), body };
    assert_eq!(ClaimMessage::decode(&message.encode()), Ok(message));
}
