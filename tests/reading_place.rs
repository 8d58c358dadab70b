//! Which engines read short prompts while long ones queue.

use lavenderwind::policy::reading::{ReadingQueues, reads_at_decode};

const IDLE: ReadingQueues = ReadingQueues {
    prefill_queued_tokens: 0.0,
    prefill_uncached_tokens: 1_110,
    decode_queued_tokens: 0.0,
    prompt_tokens: 1_460,
};

#[test]
fn places() {
    let cases = [
        ("idle engines prefill", IDLE, false),
        (
            "short prompts pass a queue of long ones",
            ReadingQueues {
                prefill_queued_tokens: 10_000.0,
                ..IDLE
            },
            true,
        ),
        (
            "until the engines that decode have a queue of their own",
            ReadingQueues {
                prefill_queued_tokens: 10_000.0,
                decode_queued_tokens: 4_000.0,
                ..IDLE
            },
            false,
        ),
        (
            "long prompts would hold up streams",
            ReadingQueues {
                prefill_queued_tokens: 100_000.0,
                prompt_tokens: 17_000,
                ..IDLE
            },
            false,
        ),
    ];
    for (name, queues, direct) in cases {
        assert_eq!(reads_at_decode(&queues), direct, "{name}");
    }
}

/// Five engines prefill and two decode while a burst of short prompts comes on
/// top of long ones: the pattern of a day on which a third of the engines is
/// lost.
#[test]
fn burst_beside_long_prompts() {
    let read = |uses_decode: bool| {
        let (mut prefill_tokens, mut decode_tokens) = ([0.0_f64; 5], [0.0_f64; 2]);
        let (mut on_time, mut prompts) = (0, 0);
        for step in 0..4_000_u32 {
            // A step is a millisecond; engines read 56 and 28 tokens in it.
            for queue in &mut prefill_tokens {
                *queue = (*queue - 56.0).max(0.0);
            }
            for queue in &mut decode_tokens {
                *queue = (*queue - 28.0).max(0.0);
            }
            if step % 13 == 0 {
                *least(&mut prefill_tokens) += 3_700.0;
            }
            if step % 12 != 0 {
                continue;
            }
            prompts += 1;
            let prefill = least(&mut prefill_tokens);
            let decode = least(&mut decode_tokens);
            let queues = ReadingQueues {
                prefill_queued_tokens: *prefill,
                decode_queued_tokens: *decode,
                ..IDLE
            };
            let wait_ms = match uses_decode && reads_at_decode(&queues) {
                true => {
                    *decode += 1_460.0;
                    *decode / 28.0
                }
                false => {
                    *prefill += 1_110.0;
                    *prefill / 56.0
                }
            };
            on_time += u32::from(wait_ms <= 500.0);
        }
        f64::from(on_time) / f64::from(prompts)
    };
    let (with, without) = (read(true), read(false));
    assert!(with > without + 0.1, "{with} against {without}");
}

fn least(queues: &mut [f64]) -> &mut f64 {
    let least = queues.iter_mut().min_by(|a, b| a.total_cmp(b));
    least.expect("there are engines")
}
