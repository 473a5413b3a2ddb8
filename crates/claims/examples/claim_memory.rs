//! Prints the memory that one held claim takes at a voter and at an owner.
//!
//! Run with `cargo run --release -p quillhatch-claims --example claim_memory`. Reads the resident size of its own
//! process from `/proc/self/statm`, so it runs on Linux only.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_claims::{
    ClaimBody, ClaimEntry, ClaimMessage, ClaimOrigin, ClaimOwner, ClaimStatus, ClaimVoter, OwnerInput, OwnerOutput,
    OwnerSettings, RecordId, RecordKind, Verdict, VoterSettings,
};
use quillhatch_types::{
    AttemptId, CallId, Digest, Epoch, Generation, Incarnation, NodeAddress, NodeId, RecordedAnswer, RequestKey, RootId,
    ServiceName, ServiceTable, SiteName, SlotAssignment, SlotId, SlotState, Timestamp,
};

const CLAIMS: u32 = 400_000;
const PAGE_SIZE: u64 = 4096;
const SLOT: SlotId = SlotId(0);
const NOW: Timestamp = Timestamp::from_millis(1_000);

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0);
    pages * PAGE_SIZE
}

fn main() {
    for answer_bytes in [0, 256] {
        let owner = resident_growth(|| owner_with_claims(answer_bytes));
        let voter = resident_growth(|| voter_with_claims(answer_bytes));
        println!(
            "{CLAIMS} claims, keys of 36 bytes, answers of {answer_bytes} bytes: {owner} bytes per claim at the owner, \
             {voter} at the voter"
        );
    }
}

/// The growth of the resident size per claim while `build` runs; its result is never freed.
fn resident_growth<T>(build: impl FnOnce() -> T) -> u64 {
    let before = resident_bytes();
    let built = build();
    let after = resident_bytes();
    // The next measurement would reuse freed memory and show too little growth.
    std::mem::forget(built);
    after.saturating_sub(before) / u64::from(CLAIMS)
}

fn service() -> ServiceName {
    ServiceName::new("giving").expect("the name is valid")
}

fn node() -> NodeId {
    let address = NodeAddress(SocketAddr::from((Ipv4Addr::LOCALHOST, 7000)));
    NodeId { address, incarnation: Incarnation(1) }
}

/// Generates keys in no particular order, like the random keys of callers.
fn key(number: u32) -> RequestKey {
    let scattered = u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    RequestKey::new(&format!("{scattered:036x}")).expect("the key is valid")
}

fn answer(bytes: usize) -> Option<RecordedAnswer> {
    (bytes > 0).then(|| RecordedAnswer { status: 200, headers: Vec::new(), body: vec![1; bytes] })
}

fn owner_with_claims(answer_bytes: usize) -> ClaimOwner {
    let settings =
        OwnerSettings { capacity: CLAIMS as usize, answer_capacity_bytes: usize::MAX, ..OwnerSettings::default() };
    let mut owner = ClaimOwner::new(node(), service(), settings);
    step_to_completion(&mut owner, OwnerInput::Lease { until: NOW + Duration::from_secs(60) });
    step_to_completion(&mut owner, OwnerInput::Table(Arc::new(table())));
    for number in 0..CLAIMS {
        let ticket = AttemptId { call: CallId(u128::from(number)), attempt: 0 };
        let claim = OwnerInput::Claim {
            ticket,
            key: key(number),
            slot: SLOT,
            digest: Some(Digest(u128::from(number))),
            root: RootId(u128::from(number)),
            key_from_caller: true,
            remaining: Duration::from_secs(5),
        };
        step_to_completion(&mut owner, claim);
        step_to_completion(&mut owner, OwnerInput::Finished { ticket, record: answer(answer_bytes) });
    }
    assert_eq!(owner.held_claims(), CLAIMS as usize);
    owner
}

/// Passes an input to the owner, and accepts every message that it sends on behalf of its only voter.
fn step_to_completion(owner: &mut ClaimOwner, input: OwnerInput) {
    let mut inputs = vec![input];
    while let Some(input) = inputs.pop() {
        let mut outputs = Vec::new();
        owner.step(NOW, input, &mut outputs);
        inputs.extend(outputs.into_iter().filter_map(accept_as_voter));
    }
}

fn accept_as_voter(output: OwnerOutput) -> Option<OwnerInput> {
    let OwnerOutput::Send { message, .. } = output else {
        return None;
    };
    let verdict = Verdict::Accepted;
    let body = match message.body {
        ClaimBody::Record { id, .. } => ClaimBody::RecordReply { id, verdict },
        ClaimBody::Collect { after, .. } => ClaimBody::CollectReply { after, verdict, claims: Vec::new(), more: false },
        _ => return None,
    };
    Some(OwnerInput::Message { from: node(), message: ClaimMessage { body, ..message } })
}

fn voter_with_claims(answer_bytes: usize) -> ClaimVoter {
    let settings = VoterSettings { capacity: CLAIMS as usize, answer_capacity_bytes: usize::MAX };
    let mut voter = ClaimVoter::new(service(), settings);
    for number in 0..CLAIMS {
        record(&mut voter, number, RecordKind::New, ClaimStatus::Claimed);
        let finished = ClaimStatus::Finished(answer(answer_bytes).map(Arc::new));
        record(&mut voter, number, RecordKind::Settle, finished);
    }
    assert_eq!(voter.held_claims(), CLAIMS as usize);
    voter
}

fn record(voter: &mut ClaimVoter, number: u32, kind: RecordKind, status: ClaimStatus) {
    let origin = ClaimOrigin { epoch: Epoch(1), sequence: u64::from(number), incarnation: Incarnation(1) };
    let entry = ClaimEntry {
        key: key(number),
        origin,
        digest: Some(Digest(u128::from(number))),
        root: RootId(u128::from(number)),
        status,
        remaining_retention: Duration::from_secs(3600),
    };
    let body = ClaimBody::Record { id: RecordId::Claim { kind, origin }, claims: vec![entry] };
    voter.handle(NOW, node(), ClaimMessage { service: service(), slot: SLOT, epoch: Epoch(1), body }, &mut Vec::new());
}

fn table() -> ServiceTable {
    ServiceTable {
        service: service(),
        site: SiteName::new("east").expect("the name is valid"),
        generation: Generation(1),
        epoch: Epoch(1),
        slots: vec![SlotAssignment { slot: SLOT, epoch: Epoch(1), state: SlotState::Owned { owner: node() } }],
        gates: Vec::new(),
        voters: vec![node()],
        previous_voters: Vec::new(),
        claims_lost: false,
    }
}
