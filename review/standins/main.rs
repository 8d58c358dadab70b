//! Stand-ins for the platform, the workers and the clients, and the cases that use them.
//!
//! `standins NAME RECORD` runs a case. It exits with 1 if the rule was broken, with 0 if
//! it held, and with 2 if the case could not run.

mod client;
mod deadly_part;
mod endless_body;
mod http;
mod platform;
mod record;
mod restored_list;
mod worker;

use std::{env, io, process::exit, sync::Arc};

use client::Clients;
use platform::{Machine, MachineOptions, Store};
use record::Record;
use worker::{Seen, Worker, WorkerOptions};

/// Zones of the machines and workers, if no more is needed.
pub const ZONES: [&str; 2] = ["eibar", "bilbao"];

/// What all cases use.
pub struct Case {
    pub record: Arc<Record>,
    pub store: Store,
    pub cloud: std::net::SocketAddr,
    pub seen: Arc<Seen>,
    pub clients: Arc<Clients>,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

impl Case {
    fn new(path: &str) -> io::Result<Self> {
        Ok(Self {
            record: Arc::new(Record::create(path)?),
            store: Store::start()?,
            cloud: platform::start_cloud()?,
            seen: Arc::default(),
            clients: Arc::default(),
            trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
        })
    }

    /// Starts `count` machines, in turn in each zone.
    pub fn start_machines(
        &self,
        count: usize,
        zones: &[&str],
        memory_mb: u64,
    ) -> io::Result<Vec<Machine>> {
        let mut machines = Vec::new();
        for index in 0..count {
            machines.push(Machine::start(&MachineOptions {
                name: &format!("front-{}", index + 1),
                zone: zones[index % zones.len()],
                store: self.store.address,
                cloud: self.cloud,
                memory_mb,
            })?);
        }
        Ok(machines)
    }

    pub fn start_worker(&self, options: WorkerOptions) -> io::Result<Arc<Worker>> {
        Worker::start(options, &self.store, &self.record, &self.seen)
    }
}

fn main() {
    let mut words = env::args().skip(1);
    let (Some(name), Some(path)) = (words.next(), words.next()) else {
        eprintln!("usage: standins CASE RECORD");
        exit(2);
    };
    let broken = Case::new(&path).and_then(|case| match name.as_str() {
        "endless-body" => endless_body::run(&case),
        "restored-list" => restored_list::run(&case),
        "deadly-bursts" => deadly_part::run_bursts(&case),
        "lost-machine" => deadly_part::run_lost_machine(&case),
        "deadly-sessions" => deadly_part::run_sessions(&case),
        _ => Err(io::Error::other("no such case")),
    });
    match broken {
        Ok(true) => exit(1),
        Ok(false) => exit(0),
        Err(error) => {
            eprintln!("the case cannot run: {error}");
            exit(2);
        }
    }
}
