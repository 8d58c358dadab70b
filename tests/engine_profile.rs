//! Service times that the engine profile learns from answers.

use lavenderwind::policy::engine_profile::{EngineProfile, EngineWork, PromptSize};

/// True service times of a simulated engine.
#[derive(Clone, Copy, Debug)]
struct Engine {
    /// Prefill speed of the engine in the prefill role.
    prefill_tokens_per_ms: f64,
    /// Time between two events of a stream, each with ten tokens.
    event_ms: f64,
}

/// Returns engines whose speeds differ from typical ones by up to a factor of 4
/// in either direction.
fn engines() -> Vec<Engine> {
    let mut engines = Vec::new();
    for prefill_factor in [0.25, 1.0, 4.0] {
        for event_factor in [0.25, 1.0, 4.0] {
            engines.push(Engine {
                prefill_tokens_per_ms: 50.0 * prefill_factor,
                event_ms: 40.0 * event_factor,
            });
        }
    }
    engines
}

/// Returns a profile that has observed 300 answers, in every fifth of which the
/// prefill took three times as long, because of a queue that the profile doesn't
/// know.
fn learn_profile(engine: &Engine) -> EngineProfile {
    let mut profile = EngineProfile::default();
    for step in 0..300_u32 {
        let tokens = f64::from(step * 37 % 60) * 100.0;
        let queued = match step % 5 {
            0 => 3.0,
            _ => 1.0,
        };
        let prefill_ms = tokens / engine.prefill_tokens_per_ms;
        profile.observe_remote_prefill(tokens, 5.0 + prefill_ms * queued);
        profile.observe_local_prefill(tokens, 5.0 + 2.0 * prefill_ms * queued);
        profile.observe_kv_fetch(tokens, 10.0);
        profile.observe_event(f64::from(step % 8), engine.event_ms);
        profile.observe_decode_time(step % 60, f64::from(step % 60) * engine.event_ms / 10.0);
    }
    profile
}

/// Returns whether a value differs from the expected one by at most 35 %.
fn is_near(value: f64, expected: f64) -> bool {
    (value - expected).abs() <= 0.35 * expected
}

/// The profile converges to the true times of engines of any speed.
#[test]
fn converges_any_speed() {
    for engine in engines() {
        let profile = learn_profile(&engine);
        let prefill_ms = 1.0 / engine.prefill_tokens_per_ms;
        assert!(
            is_near(profile.remote_prefill_ms_per_token(), prefill_ms),
            "{engine:?}"
        );
        assert!(
            is_near(profile.local_prefill_ms_per_token(), 2.0 * prefill_ms),
            "{engine:?}"
        );
        let event_ms = profile.event_ms(4.0).unwrap();
        assert!(is_near(event_ms, engine.event_ms), "{engine:?}");
        let decode_ms = profile.slot_time_ms(40) - profile.kv_fetch_ms(0.0);
        assert!(is_near(decode_ms, 4.0 * engine.event_ms), "{engine:?}");
    }
}

/// The remote prefill speed is derived from local prefills if there were no remote ones.
#[test]
fn derived_prefill_speed() {
    let mut profile = EngineProfile::default();
    for step in 0..100 {
        let tokens = f64::from(step % 20) * 200.0;
        profile.observe_local_prefill(tokens, 4.0 + tokens / 20.0);
    }
    assert!(is_near(profile.remote_prefill_ms_per_token(), 1.0 / 40.0));
    assert!(profile.local_prefill_ms(2_000.0) > profile.local_prefill_ms(200.0));
}

/// Only prompts with many uncached tokens count as remote prefill work.
#[test]
fn long_prompts_remote() {
    let profile = learn_profile(&Engine {
        prefill_tokens_per_ms: 50.0,
        event_ms: 40.0,
    });
    let work = |uncached_tokens: u32| -> EngineWork {
        let size = PromptSize {
            prompt_tokens: 17_000,
            uncached_tokens,
            max_output_tokens: 20,
        };
        profile.work(&size, 16)
    };
    let (short, long) = (work(100), work(4_000));
    assert!(
        short.remote_prefill_ms == 0.0 && short.local_prefill_ms > 0.0,
        "{short:?}"
    );
    assert!(
        long.remote_prefill_ms > 50.0 && long.local_prefill_ms == 0.0,
        "{long:?}"
    );
    assert_eq!(short.decode_ms, long.decode_ms);
}

#[test]
fn nonfinite_samples_ignored() {
    let mut profile = learn_profile(&engines()[0]);
    let before = profile.remote_prefill_ms(1_000.0);
    profile.observe_remote_prefill(f64::NAN, 10.0);
    profile.observe_remote_prefill(10.0, f64::INFINITY);
    assert_eq!(profile.remote_prefill_ms(1_000.0), before);
}
