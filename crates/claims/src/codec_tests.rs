use std::sync::Arc;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillhatch_types::{
    Digest, Epoch, HeaderField, Incarnation, RecordedAnswer, RequestKey, RootId, ServiceName, SlotId,
};

use crate::{
    decode_claims, encode_claims, pages_of, ClaimBody, ClaimEntry, ClaimMessage, ClaimMessageError, ClaimOrigin,
    ClaimStatus, RecordId, RecordKind, Verdict,
};

fn origin() -> impl Strategy<Value = ClaimOrigin> {
    any::<(u64, u64, u64)>().prop_map(|(epoch, sequence, incarnation)| ClaimOrigin {
        epoch: Epoch(epoch),
        sequence,
        incarnation: Incarnation(incarnation),
    })
}

fn status() -> impl Strategy<Value = ClaimStatus> {
    let answer = (100u16..600, "[a-z-]{1,9}", "[ -~]{0,20}", vec(any::<u8>(), 0..200)).prop_map(
        |(status, name, value, body)| RecordedAnswer { status, headers: vec![HeaderField { name, value }], body },
    );
    prop_oneof![
        Just(ClaimStatus::Claimed),
        Just(ClaimStatus::Released),
        Just(ClaimStatus::Finished(None)),
        answer.prop_map(|answer| ClaimStatus::Finished(Some(Arc::new(answer)))),
    ]
}

fn entry() -> impl Strategy<Value = ClaimEntry> {
    ("[!-~]{1,128}", origin(), any::<Option<u128>>(), any::<u128>(), status(), any::<u64>()).prop_map(
        |(key, origin, digest, root, status, remaining_retention)| ClaimEntry {
            key: RequestKey::new(&key).expect("valid"),
            origin,
            digest: digest.map(Digest),
            root: RootId(root),
            status,
            remaining_retention: Duration::from_micros(remaining_retention),
        },
    )
}

fn key() -> impl Strategy<Value = Option<RequestKey>> {
    proptest::option::of("[!-~]{1,128}".prop_map(|text| RequestKey::new(&text).expect("valid")))
}

fn verdict() -> impl Strategy<Value = Verdict> {
    let fenced = any::<u64>().prop_map(|promised| Verdict::Fenced { promised: Epoch(promised) });
    prop_oneof![Just(Verdict::Accepted), Just(Verdict::Full), fenced]
}

fn record_id() -> impl Strategy<Value = RecordId> {
    prop_oneof![
        origin().prop_map(|origin| RecordId::Claim { kind: RecordKind::New, origin }),
        origin().prop_map(|origin| RecordId::Claim { kind: RecordKind::Settle, origin }),
        (any::<u64>(), any::<u32>(), key()).prop_map(|(round, number, through)| RecordId::Page {
            round: Epoch(round),
            number,
            through
        }),
    ]
}

fn body() -> impl Strategy<Value = ClaimBody> {
    prop_oneof![
        (record_id(), vec(entry(), 0..5)).prop_map(|(id, claims)| ClaimBody::Record { id, claims }),
        (record_id(), verdict()).prop_map(|(id, verdict)| ClaimBody::RecordReply { id, verdict }),
        (any::<bool>(), key()).prop_map(|(export, after)| ClaimBody::Collect { export, after }),
        (key(), verdict(), vec(entry(), 0..5), any::<bool>())
            .prop_map(|(after, verdict, claims, more)| ClaimBody::CollectReply { after, verdict, claims, more }),
        entry().prop_map(ClaimBody::Settled),
    ]
}

fn message() -> impl Strategy<Value = ClaimMessage> {
    (any::<u16>(), any::<u64>(), body()).prop_map(|(slot, epoch, body)| ClaimMessage {
        service: ServiceName::new("giving").expect("valid"),
        slot: SlotId(slot),
        epoch: Epoch(epoch),
        body,
    })
}

fn config() -> Config {
    Config { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(9), ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn messages_round_trip(message in message()) {
        prop_assert_eq!(ClaimMessage::decode(&message.encode()), Ok(message));
    }

    #[test]
    fn decoding_corrupted_bytes_does_not_panic(
        message in message(), position in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<prop::sample::Index>()
    ) {
        let mut bytes = message.encode();
        let at = position.index(bytes.len());
        bytes[at] = byte;
        let _ = ClaimMessage::decode(&bytes);
        bytes.truncate(cut.index(bytes.len()));
        let _ = ClaimMessage::decode(&bytes);
    }

    #[test]
    fn paging_preserves_all_claims_in_order(entries in vec(entry(), 0..600)) {
        let pages = pages_of(entries.clone());
        let mut decoded = Vec::new();
        for page in pages {
            let bytes = encode_claims(&page);
            prop_assert!(bytes.len() <= 64 * 1024);
            decoded.extend(decode_claims(&bytes).expect("the page is valid"));
        }
        prop_assert_eq!(decoded, entries);
    }
}

#[test]
fn an_oversized_message_is_rejected_before_decoding() {
    assert_eq!(ClaimMessage::decode(&vec![0; 64 * 1024 + 1]), Err(ClaimMessageError::Oversized));
}
