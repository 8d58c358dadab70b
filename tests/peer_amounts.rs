//! Tests the packed form of amounts in heartbeats, and its use beside instances of the
//! previous version.

use std::sync::Arc;

use arbtest::arbtest;
use indexmap::{IndexMap, IndexSet};
use lavenderwind::peer::{
    delta::{AmountForm, DeltaDecoder, DeltaEncoder, Error, ReceivedAmount, TargetLoad},
    frames::{Heartbeat, Hello, NameDefinition, ServedTokens},
};
use prost::Message;

/// Bytes for changes in a heartbeat of a relay at 82 instances.
const RELAY_BYTES: usize = 48;
/// Names that are reported at the first deployment: 16 accounts and the presence.
const QUOTA_NAMES: u64 = 17;
/// Number of runs, each with its own seed.
const SEEDS: u64 = 100;
/// Prefix of names whose amounts must arrive as a whole.
const WHOLE_PREFIX: &str = "speed/";

type Loads = IndexMap<Arc<str>, TargetLoad>;

/// `Hello` of the previous version.
#[derive(Clone, PartialEq, Message)]
struct OldHello {
    #[prost(string, tag = "1")]
    sender: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(string, tag = "3")]
    failure_domain: String,
}

/// Names and amounts of a `Heartbeat` of the previous version.
#[derive(Clone, PartialEq, Message)]
struct OldHeartbeat {
    #[prost(message, repeated, tag = "13")]
    names: Vec<NameDefinition>,
    #[prost(message, repeated, tag = "15")]
    served: Vec<ServedTokens>,
}

fn old_hello() -> OldHello {
    OldHello {
        sender: "b".into(),
        incarnation: 5,
        failure_domain: "d2".into(),
    }
}

fn quota_name(index: u64) -> Arc<str> {
    format!("quota/account-{index}").into()
}

/// Usage of an account in one heartbeat of a relay, in the unit of quotas. Accounts use from a
/// tenth of their limit to all of it.
fn quota_amount(index: u64, step: u64) -> u64 {
    4_600 + index * 2_400 + step * 7_919 % 1_000
}

/// Loads of 60 engines that differ in each step.
fn engine_loads(step: u64) -> Loads {
    let mut loads = Loads::new();
    for engine in 0..60 {
        let change = step * 7_919 + engine * 31;
        let load = TargetLoad {
            requests: 1 + (change % 9) as u32,
            tokens: change % 20_000,
            blocks: change % 1_000,
        };
        loads.insert(format!("engine-{engine}").into(), load);
    }
    loads
}

/// Returns an encoder that has sent loads of 60 engines and amounts of all accounts, so that
/// all names are defined.
fn warm_encoder(amount_form: AmountForm) -> (DeltaEncoder, DeltaDecoder) {
    let mut encoder = DeltaEncoder::new(amount_form);
    let mut decoder = DeltaDecoder::default();
    for index in 0..QUOTA_NAMES {
        encoder.add_divisible_amount(&quota_name(index), 1);
    }
    loop {
        let mut heartbeat = Heartbeat::default();
        encoder.encode(&engine_loads(0), RELAY_BYTES, &mut heartbeat);
        decoder.apply(&heartbeat).unwrap();
        if heartbeat == Heartbeat::default() {
            return (encoder, decoder);
        }
    }
}

/// Guards against small amounts that displace large ones.
#[test]
fn largest_amounts_first() {
    let (mut encoder, mut decoder) = warm_encoder(AmountForm::Packed);
    for index in 0..QUOTA_NAMES {
        encoder.add_divisible_amount(&quota_name(index), quota_amount(index, 0));
    }
    let mut heartbeat = Heartbeat::default();
    encoder.encode(&engine_loads(0), RELAY_BYTES / 2, &mut heartbeat);
    let amounts = decoder.apply(&heartbeat).unwrap();
    let count = distinct_names(&amounts) as u64;
    assert!(count < QUOTA_NAMES, "{amounts:?}");
    for index in QUOTA_NAMES - count..QUOTA_NAMES {
        let sent = amounts.iter().find(|sent| sent.name == quota_name(index));
        let sent = sent.unwrap().amount;
        let reported = quota_amount(index, 0);
        assert!(
            sent <= reported && sent * 17 >= reported * 16,
            "{sent} of {reported}"
        );
    }
}

fn distinct_names(amounts: &[ReceivedAmount]) -> usize {
    let names: IndexSet<_> = amounts.iter().map(|amount| &amount.name).collect();
    names.len()
}

/// Guards against a packed form that carries less than three times as many amounts in the
/// same bytes. The smallest size is that of a relay's heartbeat without the half for loads.
#[test]
fn three_times_amounts() {
    for max_bytes in [RELAY_BYTES / 2, RELAY_BYTES, 64] {
        let counts = [AmountForm::Separate, AmountForm::Packed].map(|amount_form| {
            let (mut encoder, mut decoder) = warm_encoder(amount_form);
            for index in 0..QUOTA_NAMES * 3 {
                // The names after the first 17 are defined by large heartbeats.
                encoder.add_divisible_amount(&quota_name(index), 1);
            }
            let mut heartbeat = Heartbeat::default();
            encoder.encode(&engine_loads(0), 4_096, &mut heartbeat);
            decoder.apply(&heartbeat).unwrap();
            for index in 0..QUOTA_NAMES * 3 {
                encoder.add_divisible_amount(&quota_name(index), 16_384 + index * 1_000);
            }
            let mut heartbeat = Heartbeat::default();
            encoder.encode(&engine_loads(0), max_bytes, &mut heartbeat);
            assert!(heartbeat.encoded_len() <= max_bytes, "{heartbeat:?}");
            distinct_names(&decoder.apply(&heartbeat).unwrap())
        });
        println!("amounts in {max_bytes} bytes: {counts:?}");
        assert!(counts[1] >= 3 * counts[0], "{max_bytes} bytes: {counts:?}");
    }
}

/// Guards against accounts that are reported less often than every second heartbeat of a relay
/// on average, beside loads of 60 engines that change all the time.
#[test]
fn accounts_reported_soon() {
    const STEPS: u64 = 500;
    let mean_intervals = [AmountForm::Separate, AmountForm::Packed].map(|amount_form| {
        let (mut encoder, mut decoder) = warm_encoder(amount_form);
        let mut reports = 0;
        let mut longest = 0;
        let mut last_step = vec![0; QUOTA_NAMES as usize];
        for step in 1..=STEPS {
            for index in 0..QUOTA_NAMES {
                encoder.add_divisible_amount(&quota_name(index), quota_amount(index, step));
            }
            let mut heartbeat = Heartbeat::default();
            encoder.encode(&engine_loads(step), RELAY_BYTES, &mut heartbeat);
            assert!(heartbeat.encoded_len() <= RELAY_BYTES, "{heartbeat:?}");
            assert!(!heartbeat.loads.is_empty(), "{heartbeat:?}");
            let amounts = decoder.apply(&heartbeat).unwrap();
            reports += distinct_names(&amounts) as u64;
            for index in 0..QUOTA_NAMES {
                let name = quota_name(index);
                if amounts.iter().any(|amount| amount.name == name) {
                    longest = longest.max(step - last_step[index as usize]);
                    last_step[index as usize] = step;
                }
            }
        }
        let mean = (QUOTA_NAMES * STEPS) as f64 / reports as f64;
        println!("{amount_form:?}: mean interval {mean:.2}, longest {longest} heartbeats");
        mean
    });
    let [separate, packed] = mean_intervals;
    assert!(
        packed <= 2.0 && packed * 3.0 <= separate,
        "{mean_intervals:?}"
    );
}

/// Guards against amounts that are lost, counted twice, or sent in parts though they must
/// arrive as a whole, over many heartbeats and with amounts of all sizes.
#[test]
fn sums_exact() {
    let mut parts = 0;
    for seed in 0..SEEDS {
        arbtest(|input| {
            let mut encoder = DeltaEncoder::new(AmountForm::Packed);
            let mut decoder = DeltaDecoder::default();
            let mut reported: IndexMap<Arc<str>, u64> = IndexMap::new();
            let mut received: IndexMap<Arc<str>, u64> = IndexMap::new();
            let max_bytes = input.int_in_range(16..=300)?;
            for step in 0..200 {
                for _ in 0..input.int_in_range(0..=6)? {
                    let index = input.int_in_range(0..=40)?;
                    let amount =
                        (1u64 << input.int_in_range(0..=50)?) + input.int_in_range(0..=99)?;
                    let mut name = quota_name(index);
                    if index % 5 == 0 {
                        name = format!("{WHOLE_PREFIX}{index}").into();
                        encoder.add_amount(&name, amount);
                    } else {
                        encoder.add_divisible_amount(&name, amount);
                    }
                    *reported.entry(name).or_insert(0) += amount;
                }
                let mut heartbeat = Heartbeat::default();
                encoder.encode(&engine_loads(step / 20), max_bytes, &mut heartbeat);
                parts += heartbeat.packed_amounts.len();
                receive(&mut decoder, &heartbeat, &reported, &mut received);
            }
            while encoder.pending_amount_count() > 0 {
                let mut heartbeat = Heartbeat::default();
                encoder.encode(&Loads::new(), max_bytes, &mut heartbeat);
                receive(&mut decoder, &heartbeat, &reported, &mut received);
            }
            received.sort_unstable_keys();
            reported.sort_unstable_keys();
            assert_eq!(received, reported);
            Ok(())
        })
        .seed(seed << 32 | 0x1000);
    }
    assert!(parts > 10_000, "packed amounts: {parts}");
}

fn receive(
    decoder: &mut DeltaDecoder,
    heartbeat: &Heartbeat,
    reported: &IndexMap<Arc<str>, u64>,
    received: &mut IndexMap<Arc<str>, u64>,
) {
    let heartbeat = Heartbeat::decode(&*heartbeat.encode_to_vec()).unwrap();
    for amount in decoder.apply(&heartbeat).unwrap() {
        let sum = received.entry(amount.name.clone()).or_insert(0);
        *sum += amount.amount;
        assert!(*sum <= reported[&amount.name], "{amount:?} counted twice");
        if amount.name.starts_with(WHOLE_PREFIX) {
            assert!(!amount.is_divisible, "{amount:?}");
            assert_eq!(*sum, reported[&amount.name], "{amount:?} is a part");
        }
    }
}

/// Guards against amounts that an instance of the previous version does not decode: its
/// `Hello` has no flag.
#[test]
fn old_receiver_served() {
    let hello = Hello::decode(&*old_hello().encode_to_vec()).unwrap();
    let mut encoder = DeltaEncoder::new(AmountForm::accepted_by(&hello));
    let mut names = Vec::new();
    let mut received = vec![0; QUOTA_NAMES as usize];
    for step in 0..100 {
        for index in 0..QUOTA_NAMES {
            encoder.add_divisible_amount(&quota_name(index), quota_amount(index, step));
        }
        loop {
            let mut heartbeat = Heartbeat::default();
            encoder.encode(&Loads::new(), RELAY_BYTES, &mut heartbeat);
            if heartbeat == Heartbeat::default() {
                break;
            }
            let bytes = heartbeat.encode_to_vec();
            let old = OldHeartbeat::decode(&*bytes).unwrap();
            assert_eq!(old.encode_to_vec(), bytes, "fields that are not known");
            names.extend(old.names.into_iter().map(|definition| definition.name));
            for entry in old.served {
                let name: Arc<str> = names[entry.account as usize].as_str().into();
                let index = (0..QUOTA_NAMES).position(|index| quota_name(index) == name);
                received[index.unwrap()] += entry.tokens;
            }
        }
    }
    for index in 0..QUOTA_NAMES {
        let reported: u64 = (0..100).map(|step| quota_amount(index, step)).sum();
        assert_eq!(received[index as usize], reported, "account {index}");
    }
}

/// Guards against an instance of the previous version that rejects the flag in the `Hello`, or
/// whose amounts are not decoded. They may be sums that must stay whole, as it does not tell.
#[test]
fn old_sender_decoded() {
    let hello = Hello {
        sender: "b".into(),
        incarnation: 5,
        failure_domain: "d2".into(),
        accepts_packed_amounts: true,
    };
    assert_eq!(AmountForm::accepted_by(&hello), AmountForm::Packed);
    assert_eq!(
        OldHello::decode(&*hello.encode_to_vec()).unwrap(),
        old_hello()
    );

    let old = OldHeartbeat {
        names: vec![NameDefinition {
            name: "quota/a".into(),
        }],
        served: vec![ServedTokens {
            account: 0,
            tokens: 70_001,
        }],
    };
    let heartbeat = Heartbeat::decode(&*old.encode_to_vec()).unwrap();
    let amounts = DeltaDecoder::default().apply(&heartbeat).unwrap();
    let expected = ReceivedAmount {
        name: "quota/a".into(),
        amount: 70_001,
        is_divisible: false,
    };
    assert_eq!(amounts, [expected]);
}

/// Guards against a relay that sends amounts in parts which arrived as a whole, or that forwards
/// less than it received. What arrives from an instance of the previous version is forwarded as a
/// whole, also in a sum with parts.
#[test]
fn forwarded_as_received() {
    let mut relay = DeltaEncoder::new(AmountForm::Packed);
    let mut decoder = DeltaDecoder::default();
    for (name, amount, is_divisible) in [
        ("speed/a", 70_001, false),
        ("quota/a", 70_001, true),
        ("quota/mixed", 70_000, true),
        ("quota/mixed", 1, false),
    ] {
        relay.forward_amount(&ReceivedAmount {
            name: name.into(),
            amount,
            is_divisible,
        });
    }
    let mut heartbeat = Heartbeat::default();
    relay.encode(&Loads::new(), 1_000, &mut heartbeat);
    assert_eq!(heartbeat.served.len(), 2, "{heartbeat:?}");
    assert!(heartbeat.packed_amounts.len() > 1, "{heartbeat:?}");
    let mut sums: IndexMap<Arc<str>, u64> = IndexMap::new();
    for received in decoder.apply(&heartbeat).unwrap() {
        assert_eq!(received.is_divisible, &*received.name == "quota/a");
        *sums.entry(received.name).or_insert(0) += received.amount;
    }
    assert_eq!(sums.len(), 3);
    assert!(sums.values().all(|&sum| sum == 70_001), "{sums:?}");
}

/// Guards against sums of indices that overflow and refer to a name again.
#[test]
fn index_overflow_fails() {
    let heartbeat = Heartbeat {
        names: vec![NameDefinition { name: "a".into() }],
        packed_amounts: vec![u32::MAX; 600],
        ..Heartbeat::default()
    };
    let error = DeltaDecoder::default().apply(&heartbeat).unwrap_err();
    assert!(matches!(error, Error::UnknownName { .. }));
}
