//! Tests the delta encoding of loads and served tokens in heartbeats.

use std::sync::Arc;

use arbtest::arbtest;
use indexmap::IndexMap;
use lavenderwind::peer::{
    delta::{AmountForm, DeltaDecoder, DeltaEncoder, Error, MAX_NAMES, TargetLoad},
    frames::{Heartbeat, LoadChange, NameDefinition, ServedTokens},
};
use prost::Message;

/// Limit on the size of a heartbeat, in bytes.
const MAX_BYTES: usize = 64;
/// Number of runs, each with its own seed.
const SEEDS: u64 = 400;
const FORMS: [AmountForm; 2] = [AmountForm::Separate, AmountForm::Packed];

/// Both ends of a connection, with the data given to the encoder and received from the
/// decoder.
struct Exchange {
    encoder: DeltaEncoder,
    decoder: DeltaDecoder,
    loads: IndexMap<Arc<str>, TargetLoad>,
    served: IndexMap<Arc<str>, u64>,
    received: IndexMap<Arc<str>, u64>,
    /// Number of accounts that a heartbeat left for later heartbeats, over all heartbeats.
    carried_over: usize,
}

impl Exchange {
    fn new(amount_form: AmountForm) -> Self {
        Self {
            encoder: DeltaEncoder::new(amount_form),
            decoder: DeltaDecoder::default(),
            loads: IndexMap::new(),
            served: IndexMap::new(),
            received: IndexMap::new(),
            carried_over: 0,
        }
    }

    /// Reports an amount that must arrive as a whole, or one that may arrive in parts.
    fn report(&mut self, name: &Arc<str>, amount: u64, is_divisible: bool) {
        if is_divisible {
            self.encoder.add_divisible_amount(name, amount);
        } else {
            self.encoder.add_amount(name, amount);
        }
        *self.served.entry(name.clone()).or_insert(0) += amount;
    }

    /// Passes a heartbeat from the encoder to the decoder. Returns whether the heartbeat
    /// contained anything.
    fn send_heartbeat(&mut self) -> bool {
        let mut heartbeat = Heartbeat::default();
        self.encoder.encode(&self.loads, MAX_BYTES, &mut heartbeat);
        let bytes = heartbeat.encoded_len();
        assert!(bytes <= MAX_BYTES, "{bytes} bytes: {heartbeat:?}");
        for reported in self.decoder.apply(&heartbeat).unwrap() {
            *self.received.entry(reported.name).or_insert(0) += reported.amount;
        }
        self.carried_over += self.encoder.pending_amount_count();
        heartbeat != Heartbeat::default()
    }
}

/// The decoder gets all loads and tokens from heartbeats within the byte limit, in both forms
/// of amounts.
#[test]
fn decoder_converges() {
    for amount_form in FORMS {
        let mut carried_over = 0;
        for seed in 0..SEEDS {
            // The lower half of an arbtest seed is the size of the generated input, here
            // 1,024 bytes. The upper half seeds the generator.
            arbtest(|input| {
                let mut exchange = Exchange::new(amount_form);
                for _ in 0..30 {
                    let name: Arc<str> = format!("name-{}", input.int_in_range(0..=20)?).into();
                    match input.int_in_range(0..=3)? {
                        0 => {
                            let load = TargetLoad {
                                requests: input.int_in_range(0..=9)?,
                                tokens: input.int_in_range(0..=100_000)?,
                                blocks: input.int_in_range(0..=2_000)?,
                            };
                            exchange.loads.insert(name, load);
                        }
                        1 => {
                            exchange.loads.swap_remove(&name);
                        }
                        2 => {
                            let tokens = input.int_in_range(1..=100_000)?;
                            exchange.report(&name, tokens, input.arbitrary()?);
                        }
                        _ => {
                            exchange.send_heartbeat();
                        }
                    }
                }
                while exchange.send_heartbeat() {}
                exchange
                    .loads
                    .retain(|_, load| *load != TargetLoad::default());
                assert_eq!(*exchange.decoder.loads(), exchange.loads);
                assert_eq!(exchange.received, exchange.served);
                carried_over += exchange.carried_over;
                Ok(())
            })
            .seed(seed << 32 | 0x400);
        }
        assert!(carried_over > 500, "accounts carried over: {carried_over}");
    }
}

#[test]
fn unchanged_load_omitted() {
    let mut encoder = DeltaEncoder::default();
    let mut loads = IndexMap::new();
    let load = TargetLoad {
        requests: 1,
        tokens: 2,
        blocks: 3,
    };
    loads.insert("t1".into(), load);
    let mut first = Heartbeat::default();
    encoder.encode(&loads, MAX_BYTES, &mut first);
    assert_eq!(first.loads.len(), 1);
    let mut second = Heartbeat::default();
    encoder.encode(&loads, MAX_BYTES, &mut second);
    assert_eq!(second, Heartbeat::default());
}

#[test]
fn largest_change_first() {
    let mut encoder = DeltaEncoder::default();
    for (account, tokens) in [("s/small", 1), ("s/large", 1_000), ("s/medium", 50)] {
        encoder.add_amount(&account.into(), tokens);
    }
    let mut heartbeat = Heartbeat::default();
    encoder.encode(&IndexMap::new(), 20, &mut heartbeat);
    assert_eq!(heartbeat.names.len(), 1);
    assert_eq!(heartbeat.names[0].name, "s/large");
    assert_eq!(encoder.pending_amount_count(), 2);
}

#[test]
fn unknown_name_fails() {
    let load = Heartbeat {
        loads: vec![LoadChange {
            target: 3,
            ..LoadChange::default()
        }],
        ..Heartbeat::default()
    };
    let served = Heartbeat {
        served: vec![ServedTokens {
            account: 3,
            tokens: 1,
        }],
        ..Heartbeat::default()
    };
    let packed = Heartbeat {
        packed_amounts: vec![3 << 9 | 1],
        ..Heartbeat::default()
    };
    for heartbeat in [load, served, packed] {
        let error = DeltaDecoder::default().apply(&heartbeat).unwrap_err();
        assert!(matches!(error, Error::UnknownName { index: 3 }));
    }
}

/// Guards against a name longer than the heartbeat limit that is never sent or that
/// holds back other changes. Such a name makes a heartbeat exceed the limit, and later
/// heartbeats are smaller by the excess.
#[test]
fn long_names_sent() {
    for amount_form in FORMS {
        send_long_names(amount_form);
    }
}

fn send_long_names(amount_form: AmountForm) {
    let mut exchange = Exchange::new(amount_form);
    let mut bytes = 0;
    let mut heartbeats = 0;
    for index in 0..5 {
        let target: Arc<str> = format!("{index}{}", "t".repeat(100)).into();
        let load = TargetLoad {
            requests: 1,
            tokens: 2,
            blocks: 3,
        };
        exchange.loads.insert(target, load);
        let account: Arc<str> = format!("{index}{}", "a".repeat(100)).into();
        exchange.report(&account, 7, true);
    }
    while exchange.received != exchange.served || *exchange.decoder.loads() != exchange.loads {
        let mut heartbeat = Heartbeat::default();
        exchange
            .encoder
            .encode(&exchange.loads, MAX_BYTES, &mut heartbeat);
        bytes += heartbeat.encoded_len();
        heartbeats += 1;
        for reported in exchange.decoder.apply(&heartbeat).unwrap() {
            *exchange.received.entry(reported.name).or_insert(0) += reported.amount;
        }
        assert!(
            heartbeats < 100,
            "not all names were sent: {:?}",
            exchange.received
        );
        // The excess of one heartbeat is at most two long names.
        assert!(bytes <= heartbeats * MAX_BYTES + 2 * 104, "{bytes} bytes");
    }
}

/// The encoder reports when the limit of names is reached, and the decoder
/// rejects further definitions.
#[test]
fn name_limit_enforced() {
    let mut encoder = DeltaEncoder::default();
    let mut decoder = DeltaDecoder::default();
    for index in 0..MAX_NAMES {
        assert!(!encoder.is_full(), "{index} names");
        encoder.add_amount(&format!("s/{index}").into(), 1);
        let mut heartbeat = Heartbeat::default();
        encoder.encode(&IndexMap::new(), MAX_BYTES, &mut heartbeat);
        decoder.apply(&heartbeat).unwrap();
    }
    assert!(encoder.is_full());
    let one_more = Heartbeat {
        names: vec![NameDefinition { name: "x".into() }],
        ..Heartbeat::default()
    };
    let error = decoder.apply(&one_more).unwrap_err();
    assert!(matches!(error, Error::TooManyNames { .. }));
}
