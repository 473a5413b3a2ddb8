use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use quillhatch_types::{
    Epoch, Incarnation, NodeAddress, NodeId, RecordedAnswer, RequestKey, RootId, ServiceName, SlotId, Timestamp,
};

use super::ClaimVoter;
use crate::{
    ClaimBody, ClaimEntry, ClaimMessage, ClaimOrigin, ClaimStatus, RecordId, RecordKind, Verdict, VoterSettings,
};

const SLOT: SlotId = SlotId(3);
const NOW: Timestamp = Timestamp::from_millis(1_000);
const RETENTION: Duration = Duration::from_secs(20);

fn node(number: u8) -> NodeId {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, u16::from(number)));
    NodeId { address: NodeAddress(address), incarnation: Incarnation(u64::from(number)) }
}

fn service() -> ServiceName {
    ServiceName::new("giving").expect("valid")
}

fn voter(capacity: usize) -> ClaimVoter {
    ClaimVoter::new(service(), VoterSettings { capacity, ..VoterSettings::default() })
}

fn entry(key: &str, owner: NodeId, epoch: u64, sequence: u64, status: ClaimStatus) -> ClaimEntry {
    ClaimEntry {
        key: RequestKey::new(key).expect("valid"),
        origin: ClaimOrigin { epoch: Epoch(epoch), sequence, incarnation: owner.incarnation },
        digest: None,
        root: RootId(1),
        status,
        remaining_retention: RETENTION,
    }
}

fn handle(voter: &mut ClaimVoter, now: Timestamp, from: NodeId, epoch: u64, body: ClaimBody) -> ClaimBody {
    let mut outputs = Vec::new();
    let message = ClaimMessage { service: service(), slot: SLOT, epoch: Epoch(epoch), body };
    voter.handle(now, from, message, &mut outputs);
    assert_eq!(outputs.len(), 1);
    outputs.remove(0).1.body
}

fn record(voter: &mut ClaimVoter, from: NodeId, epoch: u64, kind: RecordKind, entry: ClaimEntry) -> Verdict {
    let id = RecordId::Claim { kind, origin: entry.origin };
    match handle(voter, NOW, from, epoch, ClaimBody::Record { id, claims: vec![entry] }) {
        ClaimBody::RecordReply { verdict, .. } => verdict,
        other => panic!("unexpected {other:?}"),
    }
}

fn collect(voter: &mut ClaimVoter, from: NodeId, epoch: u64, export: bool) -> (Verdict, Vec<ClaimEntry>) {
    match handle(voter, NOW, from, epoch, ClaimBody::Collect { export, after: None }) {
        ClaimBody::CollectReply { verdict, claims, .. } => (verdict, claims),
        other => panic!("unexpected {other:?}"),
    }
}

#[test]
fn a_promise_fences_older_epochs_and_other_owners_at_the_same_epoch() {
    let mut voter = voter(10);
    let (old, new, third) = (node(1), node(2), node(3));
    let claim = |owner, epoch| entry("a", owner, epoch, 1, ClaimStatus::Claimed);
    assert_eq!(record(&mut voter, old, 1, RecordKind::New, claim(old, 1)), Verdict::Accepted);
    assert_eq!(collect(&mut voter, new, 2, false).0, Verdict::Accepted);
    let fenced = Verdict::Fenced { promised: Epoch(2) };
    assert_eq!(record(&mut voter, old, 1, RecordKind::New, claim(old, 1)), fenced);
    assert_eq!(record(&mut voter, third, 2, RecordKind::New, claim(third, 2)), fenced);
    assert_eq!(collect(&mut voter, third, 2, false).0, fenced);
}

#[test]
fn a_sealed_slot_can_be_exported_by_any_node_and_accepts_no_new_claims() {
    let mut voter = voter(10);
    let claim = entry("a", node(1), 1, 1, ClaimStatus::Claimed);
    record(&mut voter, node(1), 1, RecordKind::New, claim.clone());
    assert_eq!(collect(&mut voter, node(2), 2, true), (Verdict::Accepted, vec![claim]));
    assert_eq!(collect(&mut voter, node(3), 2, true).0, Verdict::Accepted);
    let late = entry("b", node(2), 2, 1, ClaimStatus::Claimed);
    let fenced = Verdict::Fenced { promised: Epoch(2) };
    assert_eq!(record(&mut voter, node(2), 2, RecordKind::New, late), fenced);
}

#[test]
fn a_fenced_owner_can_only_settle_its_own_claims() {
    let mut voter = voter(10);
    let (old, new) = (node(1), node(2));
    record(&mut voter, old, 1, RecordKind::New, entry("a", old, 1, 1, ClaimStatus::Claimed));
    collect(&mut voter, new, 2, false);
    let fenced = Verdict::Fenced { promised: Epoch(2) };
    let released = entry("a", old, 1, 1, ClaimStatus::Released);
    assert_eq!(record(&mut voter, node(3), 1, RecordKind::Settle, released.clone()), fenced);
    let unknown = entry("b", old, 1, 2, ClaimStatus::Released);
    assert_eq!(record(&mut voter, old, 1, RecordKind::Settle, unknown), fenced);
    assert_eq!(record(&mut voter, old, 1, RecordKind::Settle, released), Verdict::Accepted);
    assert_eq!(collect(&mut voter, new, 2, false).1[0].status, ClaimStatus::Released);
}

#[test]
fn a_full_store_refuses_new_claims_and_drops_none() {
    let mut voter = voter(2);
    let owner = node(1);
    for key in ["a", "b"] {
        let claim = entry(key, owner, 1, 1, ClaimStatus::Claimed);
        assert_eq!(record(&mut voter, owner, 1, RecordKind::New, claim), Verdict::Accepted);
    }
    let third = entry("c", owner, 1, 3, ClaimStatus::Claimed);
    assert_eq!(record(&mut voter, owner, 1, RecordKind::New, third.clone()), Verdict::Full);
    let again = entry("a", owner, 1, 1, ClaimStatus::Claimed);
    assert_eq!(record(&mut voter, owner, 1, RecordKind::New, again), Verdict::Accepted);
    assert_eq!(record(&mut voter, owner, 1, RecordKind::Settle, third), Verdict::Accepted);
    assert_eq!(voter.held_claims(), 3);
    voter.expire(NOW + RETENTION + Duration::from_secs(1));
    assert_eq!((voter.held_claims(), voter.next_wake()), (0, None));
}

#[test]
fn answers_beyond_the_capacity_are_dropped_but_their_claims_retained() {
    let settings = VoterSettings { capacity: 10, answer_capacity_bytes: 150 };
    let mut voter = ClaimVoter::new(service(), settings);
    let owner = node(1);
    let answer = RecordedAnswer { status: 200, headers: Vec::new(), body: vec![7; 100] };
    for key in ["a", "b"] {
        let finished = ClaimStatus::Finished(Some(std::sync::Arc::new(answer.clone())));
        record(&mut voter, owner, 1, RecordKind::Settle, entry(key, owner, 1, 1, finished));
    }
    let answer_bytes: Vec<usize> = voter.claims(SLOT).map(|(_, claim)| claim.status.answer_bytes()).collect();
    assert_eq!((answer_bytes, voter.held_answer_bytes()), (vec![100, 0], 100));
    voter.expire(NOW + RETENTION + Duration::from_secs(1));
    assert_eq!(voter.held_answer_bytes(), 0);
}

#[test]
fn a_late_duplicate_of_a_record_does_not_restore_a_released_claim() {
    let mut voter = voter(10);
    let owner = node(1);
    let claimed = entry("a", owner, 1, 1, ClaimStatus::Claimed);
    record(&mut voter, owner, 1, RecordKind::New, claimed.clone());
    record(&mut voter, owner, 1, RecordKind::Settle, entry("a", owner, 1, 1, ClaimStatus::Released));
    record(&mut voter, owner, 1, RecordKind::New, claimed);
    assert_eq!(collect(&mut voter, owner, 1, false).1[0].status, ClaimStatus::Released);
}
