//! Memory used by the state of the policies, measured as growth of the process's
//! resident set.
//!
//! Prints the number of bytes per target, cached block, account and queued request.

use std::{fs, mem, sync::Arc};

use lavenderwind::{
    policy::{
        crash_history::CrashHistory,
        limits::{AccountLimiter, AccountLimits},
        prefix::PrefixIndex,
        queue::{FairQueue, QueueRequest, QueueSettings},
        routing::{Availability, RouteSettings, RouteTable},
        share::SharedQuota,
    },
    target::protocol::{EngineRole, EngineState, LoadedModel},
};

const KIB: u64 = 1_024;

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("procfs is mounted");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<u64>().ok())
        .expect("VmRSS is a number")
        * KIB
}

/// Prints the growth of the resident set per item while `build` creates `count`
/// items.
fn measure<T, F>(name: &str, count: u64, build: F)
where
    F: FnOnce() -> T,
{
    let before = resident_bytes();
    let built = build();
    let grown = resident_bytes().saturating_sub(before);
    println!("{name:<28} {:>8} bytes each, of {count}", grown / count);
    // The items are leaked, so that later measurements don't reuse their memory.
    mem::forget(built);
}

fn state() -> EngineState {
    EngineState {
        boot: "boot-1".into(),
        report_age_ms: 100,
        role: EngineRole::Mixed,
        changing: false,
        models: vec![LoadedModel {
            model: "quote".into(),
            version: "1".into(),
            adapters: Vec::new(),
        }],
        running: 8,
        waiting: 2,
        waiting_prefill_tokens: 1_000,
        used_blocks: 500,
        total_blocks: 2_000,
        prefill_tokens_per_s: 8_000,
        decode_tokens_per_s: 40,
        epoch: 0,
        last_order_id: 0,
    }
}

fn main() {
    const TARGETS: u64 = 6_000;
    const BLOCKS: u64 = 1_000_000;
    const ACCOUNTS: u64 = 95_000;
    const MEMBERS: u64 = 8;
    const SUSPECTS: u64 = 100_000;
    let names: Vec<Arc<str>> = (0..ACCOUNTS)
        .map(|index| format!("shop/{index}").into())
        .collect();

    measure("crash of a suspect", SUSPECTS, || {
        let mut history = CrashHistory::default();
        let fingerprints: Vec<u64> = (0..SUSPECTS).collect();
        history.record_crash(&"engine-1@1".into(), &fingerprints, 0);
        history
    });
    measure("answered fingerprint", SUSPECTS, || {
        let mut history = CrashHistory::default();
        let fingerprints: Vec<u64> = (0..SUSPECTS).collect();
        history.record_answer(&fingerprints, 0);
        history
    });
    measure("target", TARGETS, || {
        let mut table = RouteTable::new(RouteSettings::default());
        // Targets are added as not live, so that the table doesn't rebuild its
        // groups for each of them.
        for index in 0..TARGETS {
            table.observe_plain(
                &format!("engine-{index}"),
                "engine",
                Availability::Starting,
                0,
            );
        }
        table
    });
    measure("engine of 600", 600, || {
        let mut table = RouteTable::new(RouteSettings::default());
        for index in 0..600 {
            let name = format!("engine-{index}");
            table.observe_engine(&name, "engine", Availability::Live, &state(), 0);
        }
        table
    });
    measure("cached block, one holder", BLOCKS, || {
        let mut index = PrefixIndex::default();
        for target in 0..500 {
            let blocks: Vec<u64> = (0..2_000).map(|block| target * 2_000 + block).collect();
            index.insert(&format!("engine-{target}"), &blocks, 2_000);
        }
        index
    });
    measure("account in the queue", ACCOUNTS, || {
        let mut queue: FairQueue<u64> = FairQueue::new(QueueSettings::default());
        for name in &names {
            queue.charge_for_peers(name, 1, 100);
        }
        queue
    });
    measure("queued request", ACCOUNTS, || {
        let mut queue = FairQueue::new(QueueSettings {
            max_requests: ACCOUNTS as usize,
            ..QueueSettings::default()
        });
        for (index, name) in names.iter().enumerate() {
            let request = QueueRequest::new(Arc::clone(name), index as u64);
            queue.push(request, 0).expect("the queue has room");
        }
        queue
    });
    measure("account's limiter", ACCOUNTS, || {
        let limiter = |_| AccountLimiter::new(AccountLimits::new(10, 1_000, 4), 0);
        (0..ACCOUNTS).map(limiter).collect::<Vec<_>>()
    });
    measure("quota of eight members", TARGETS, || {
        let members: Vec<Arc<str>> = names[..MEMBERS as usize].to_vec();
        let quota = |_| {
            let mut quota = SharedQuota::new(Arc::clone(&members[0]), 2_000);
            quota.set_members(&members);
            for member in &members {
                quota.observe(member, &quota.report_for(member));
            }
            quota
        };
        (0..TARGETS).map(quota).collect::<Vec<_>>()
    });
}
