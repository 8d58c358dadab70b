//! Deployment of the demo: a stand-in platform, targets and entry instances.

use std::{net::SocketAddr, path::Path, time::Duration};

use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::time::Instant;

use crate::{
    Settings,
    cli::{Error, Result, operator::Operator},
    infra::protocol::{PlatformTarget, TargetState},
    instance::Instance,
    standin::{
        engine::{Engine, EngineOptions},
        plain::{PlainFaults, PlainService},
        platform::{Platform, PlatformFaults},
    },
};

/// Number of entry instances.
const INSTANCES: usize = 3;
/// Number of stand-in engines.
const ENGINES: usize = 4;
/// Number of stand-in plain services.
const PLAIN_SERVICES: usize = 2;
/// Failure domains, assigned to instances and targets in turn.
const DOMAINS: [&str; 4] = ["domain-a", "domain-b", "domain-c", "domain-d"];
/// Model that the engines serve.
pub(super) const MODEL: &str = "demo-8b";
/// Path of a plain route whose calls must not be repeated.
pub(super) const PLAIN_PATH: &str = "/orders";
/// Longest wait for the instances to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks whether the instances are ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// A running deployment.
pub(super) struct Deployment {
    platform: Platform,
    /// Held because an engine stops when it is dropped.
    engines: Vec<Engine>,
    /// Held because a plain service stops when it is dropped.
    plain_services: Vec<PlainService>,
    instances: Vec<Instance>,
    key: String,
}

impl Deployment {
    /// Starts the platform, the targets and the instances, and waits until
    /// every instance is ready.
    pub(super) async fn start() -> Result<Self> {
        let platform = Platform::start(loopback(), PlatformFaults::default())
            .await
            .map_err(standin_error)?;
        let url = platform.url();
        let key = format!("lw-{}", hex::encode(rand::random::<[u8; 16]>()));
        let mut deployment = Self {
            platform,
            engines: Vec::new(),
            plain_services: Vec::new(),
            instances: Vec::new(),
            key,
        };
        deployment.start_targets(&url).await?;
        let operator = Operator::open(&url).await?;
        let document = deployment.document();
        operator.publish("demo", 0, document).await?;
        for index in 0..INSTANCES {
            let settings = instance_settings(index, &url)?;
            deployment.instances.push(Instance::start(settings).await?);
        }
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Returns the base URLs of the entries.
    pub(super) fn urls(&self) -> Vec<String> {
        let mut urls = Vec::new();
        for instance in &self.instances {
            urls.push(format!("http://{}", instance.addresses().entry));
        }
        urls
    }

    /// Returns the base URL of the platform.
    pub(super) fn platform_url(&self) -> String {
        self.platform.url()
    }

    /// Returns the secret key of the demo's client account.
    pub(super) fn key(&self) -> &str {
        &self.key
    }

    /// Builds the JSON line with the addresses and the key of the deployment.
    pub(super) fn ready_line(&self) -> Value {
        let urls = self.urls();
        json!({
            "ready": true,
            "url": urls[0],
            "urls": urls,
            "key": self.key,
            "model": MODEL,
            "plain_path": PLAIN_PATH,
            "platform": self.platform_url(),
        })
    }

    /// Stops the instances; returns `true` if all of them stopped in time.
    pub(super) async fn stop(self) -> bool {
        let mut stopped_in_time = true;
        for instance in self.instances {
            stopped_in_time &= instance.stop().await;
        }
        stopped_in_time
    }

    async fn start_targets(&mut self, platform_url: &str) -> Result<()> {
        for index in 0..ENGINES {
            let options = EngineOptions::default().with_model(MODEL, "1");
            let engine = Engine::start(loopback(), options)
                .await
                .map_err(standin_error)?;
            register(platform_url, "engine", index, engine.addr()).await?;
            self.engines.push(engine);
        }
        for index in 0..PLAIN_SERVICES {
            let started = PlainService::start(loopback(), PlainFaults::default()).await;
            let service = started.map_err(standin_error)?;
            register(platform_url, "plain", index, service.addr()).await?;
            self.plain_services.push(service);
        }
        Ok(())
    }

    fn document(&self) -> String {
        let digest = hex::encode(Sha256::digest(&self.key));
        include_str!("service.yaml").replace("KEY_DIGEST", &digest)
    }

    async fn wait_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.instances.iter().all(Instance::is_ready) {
            if Instant::now() >= deadline {
                return Err(Error::Refused("the instances did not become ready".into()));
            }
            tokio::time::sleep(READY_POLL).await;
        }
        Ok(())
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn standin_error(error: crate::standin::Error) -> Error {
    Error::Refused(error.to_string())
}

fn instance_settings(index: usize, platform_url: &str) -> Result<Settings> {
    let domain = DOMAINS[index % DOMAINS.len()];
    let text = format!(
        "name: demo-{index}\nfailure_domain: {domain}\nentry_address: 127.0.0.1:0\n\
         peer_address: 127.0.0.1:0\nadmin_address: 127.0.0.1:0\nplatform:\n  \
         log_url: {platform_url}\n  live_url: {platform_url}\n  \
         targets_url: {platform_url}\n  usage_url: {platform_url}\n"
    );
    Ok(Settings::parse(&text, Path::new("demo"))?)
}

async fn register(platform_url: &str, kind: &str, index: usize, address: SocketAddr) -> Result<()> {
    let target = PlatformTarget {
        name: format!("{kind}-{index}").into(),
        kind: kind.into(),
        failure_domain: DOMAINS[index % DOMAINS.len()].into(),
        address: address.to_string().into(),
        state: TargetState::Live,
        leaves_in_ms: None,
    };
    let url = format!("{platform_url}/targets/{}", target.name);
    let sent = reqwest::Client::new().put(url).json(&target).send().await;
    let answered = sent.and_then(reqwest::Response::error_for_status);
    answered.map_err(|error| Error::Refused(format!("target not registered: {error}")))?;
    Ok(())
}
