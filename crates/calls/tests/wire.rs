//! Contexts and feedback survive the wire, and nothing malformed passes.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillhatch_calls::wire::{
    decode_context, decode_feedback, encode_context, encode_feedback, WireError, MAXIMUM_MESSAGE_LENGTH,
    MAXIMUM_REMAINING,
};
use quillhatch_messages::encode;
use quillhatch_messages::generated::calls as proto;
use quillhatch_types::{
    AdmissionLevel, AdmissionRank, CallContext, CallId, ClassName, Digest, Epoch, Feedback, Priority, RequestKey,
    Revision, RootId, ServiceName,
};
use test_case::test_case;

fn contexts() -> impl Strategy<Value = CallContext> {
    let identity = (any::<u128>(), any::<u128>(), any::<u8>(), 0_u8..=16, any::<u16>());
    let order = (0_usize..3, any::<bool>(), any::<u16>());
    let kind = (0_u8..3, "[ -~]{1,128}", any::<u128>());
    let names = ("[a-z]{1,64}", "[a-z]{1,64}", 0_u64..=MAXIMUM_REMAINING.as_micros() as u64);
    (identity, order, kind, names).prop_map(
        |((call, root, attempt, depth, tokens), (priority, retry, position), (kind, key, digest), names)| {
            let priority = Priority::ALL[priority];
            let (service, class, remaining) = names;
            CallContext {
                call: CallId(call),
                root: RootId(root),
                attempt,
                depth,
                tokens,
                service: ServiceName::new(&service).expect("valid"),
                class: ClassName::new(&class).expect("valid"),
                priority,
                rank: AdmissionRank::new(priority, retry, position),
                repeatable: kind == 0,
                key: (kind > 0).then(|| RequestKey::new(&key).expect("valid")),
                key_from_caller: kind == 2,
                digest: (kind == 2).then_some(Digest(digest)),
                remaining: Duration::from_micros(remaining),
            }
        },
    )
}

proptest! {
    #![proptest_config(Config { failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..Config::default() })]

    #[test]
    fn contexts_survive(context in contexts()) {
        let bytes = encode_context(&context);
        prop_assert!(bytes.len() <= MAXIMUM_MESSAGE_LENGTH);
        prop_assert_eq!(decode_context(&bytes), Ok(context));
    }

    #[test]
    fn feedback_survives(level in 0..=AdmissionLevel::OPEN.0, counts in any::<[u32; 3]>(), tokens_left: u16, epoch: u64) {
        let [running, waiting, limit] = counts;
        let (epoch, revision) = (Epoch(epoch), Revision(epoch / 2));
        let feedback = Feedback { level: AdmissionLevel(level), running, waiting, limit, tokens_left, epoch, revision };
        prop_assert_eq!(decode_feedback(&encode_feedback(&feedback)), Ok(feedback));
    }

    /// Changed bytes never crash, and what still decodes keeps every promise that encoding gives.
    #[test]
    fn changed_bytes_are_refused_or_consistent(context in contexts(), changes in proptest::collection::vec((any::<usize>(), any::<u8>()), 0..4), cut: usize) {
        let mut bytes = encode_context(&context);
        for (place, value) in changes {
            let place = place % bytes.len();
            bytes[place] = value;
        }
        bytes.truncate(cut % (bytes.len() + 1));
        let _ = decode_feedback(&bytes);
        if let Ok(decoded) = decode_context(&bytes) {
            prop_assert_eq!(decode_context(&encode_context(&decoded)), Ok(decoded));
        }
    }
}

fn message() -> proto::CallContext {
    proto::CallContext {
        service: "giving".to_owned(),
        class: "pledge".to_owned(),
        key: "key".to_owned(),
        key_from_caller: true,
        digest: vec![1; 16],
        rank: 5,
        ..proto::CallContext::default()
    }
}

#[test_case(|message| message.attempt = 256; "attempt")]
#[test_case(|message| message.depth = 17; "too deep")]
#[test_case(|message| message.tokens = 70_000; "tokens")]
#[test_case(|message| message.priority = 3; "priority")]
#[test_case(|message| message.rank = 6 * 1024; "rank out of range")]
#[test_case(|message| message.rank = 3 * 1024; "rank of another priority")]
#[test_case(|message| message.remaining = u64::MAX; "absurd deadline")]
#[test_case(|message| message.service = "no such name".to_owned(); "service")]
#[test_case(|message| message.class.clear(); "no class")]
#[test_case(|message| message.key.clear(); "may run once, without a key")]
#[test_case(|message| message.key = "k".repeat(129); "key too long")]
#[test_case(|message| message.repeatable = true; "repeatable with a key")]
#[test_case(|message| message.digest.clear(); "caller's key without a digest")]
#[test_case(|message| message.key_from_caller = false; "digest without a caller's key")]
#[test_case(|message| message.digest = vec![1; 15]; "short digest")]
fn refuses(change: fn(&mut proto::CallContext)) {
    assert!(decode_context(&encode(&message())).is_ok());
    let mut changed = message();
    change(&mut changed);
    assert!(decode_context(&encode(&changed)).is_err());
}

#[test]
fn refuses_long_messages_unread() {
    let long = vec![0; MAXIMUM_MESSAGE_LENGTH + 1];
    assert_eq!(decode_context(&long), Err(WireError::TooLong { length: long.len() }));
    let open = proto::Feedback { level: 6 * 1024 + 1, ..proto::Feedback::default() };
    assert!(decode_feedback(&encode(&open)).is_err());
}
