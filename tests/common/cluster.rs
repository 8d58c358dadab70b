//! A deployment of separate processes: stand-in platform, targets and
//! instances.

use std::path::PathBuf;

use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde_json::{Value, json};
use tokio::process::Command;

use super::process::{Process, wait_until};

/// Document of the service `advice` with a model route; its key is [`KEY`].
const MODEL_SERVICE: &str = include_str!("model.yaml");
/// Document of the service `orders` with plain routes; its key is [`ORDER_KEY`].
const ORDER_SERVICE: &str = include_str!("orders.yaml");

/// Engine options with the models that the engines have loaded.
const ENGINE_MODELS: &str = "models:\n  - model: norms-8b\n    version: \"1\"\n";

/// Secret of the account `workshop` of the service `advice`.
pub const KEY: &str = "test-key";
/// Secret of the account `workshop` of the service `orders`.
pub const ORDER_KEY: &str = "test-order-key";

/// Folder of the files of one deployment, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    /// Creates a folder that no other run of the test uses, since runs at the same time
    /// would overwrite each other's settings.
    fn create(name: &str) -> Self {
        let name = format!("{name}-{}", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&path).expect("the folder can be made");
        Self(path)
    }

    fn join(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Separate processes of one deployment.
pub struct Cluster {
    folder: Folder,
    /// Stand-in platform.
    pub platform: Process,
    /// Stand-in engines.
    pub engines: Vec<Process>,
    /// Stand-in plain services.
    pub plain_services: Vec<Process>,
    /// Entry instances.
    pub instances: Vec<Process>,
    /// HTTP client of the tests.
    pub http: Client,
}

/// Sizes and settings of a [`Cluster`].
pub struct ClusterOptions {
    /// Number of entry instances.
    pub instances: usize,
    /// Number of stand-in engines.
    pub engines: usize,
    /// Number of stand-in plain services.
    pub plain_services: usize,
    /// Further options of the engines, in YAML.
    pub engine_options: String,
    /// Lines of the `timing` settings, indented by two spaces.
    pub timing: String,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            instances: 3,
            engines: 2,
            plain_services: 1,
            engine_options: String::new(),
            timing: "  lease_ms: 1000\n  renew_ms: 300\n".to_owned(),
        }
    }
}

impl Cluster {
    /// Starts all processes, publishes the services and waits until every
    /// instance is ready and has applied them.
    pub async fn start(name: &str, options: ClusterOptions) -> Self {
        let folder = Folder::create(name);
        let platform = Process::start(&["standin", "platform"]).await;
        let mut cluster = Self {
            folder,
            platform,
            engines: Vec::new(),
            plain_services: Vec::new(),
            instances: Vec::new(),
            http: Client::new(),
        };
        for index in 0..options.engines {
            cluster.add_engine(index, &options.engine_options).await;
        }
        for index in 0..options.plain_services {
            cluster.add_plain_service(index).await;
        }
        for index in 0..options.instances {
            let url = cluster.platform_url();
            let instance = cluster.start_instance(index, &url, &options.timing).await;
            cluster.instances.push(instance);
        }
        cluster.publish("model", MODEL_SERVICE).await;
        cluster.publish("orders", ORDER_SERVICE).await;
        cluster.wait_ready().await;
        cluster.wait_engine_states().await;
        cluster
    }

    /// Returns the base URL of the stand-in platform.
    pub fn platform_url(&self) -> String {
        self.platform.url("address")
    }

    /// Starts an instance that reaches the log at `log_url`, which may be a
    /// relay, and all else at the stand-in platform.
    pub async fn start_instance(&self, index: usize, log_url: &str, timing: &str) -> Process {
        let url = self.platform_url();
        let domain = char::from(b'a' + (index % 4) as u8);
        let settings = format!(
            "name: entry-{index}\nfailure_domain: {domain}\nentry_address: 127.0.0.1:0\n\
             peer_address: 127.0.0.1:0\nadmin_address: 127.0.0.1:0\nplatform:\n  \
             log_url: {log_url}\n  live_url: {url}\n  targets_url: {url}\n  usage_url: {url}\n\
             timing:\n{timing}"
        );
        let path = self.folder.join(&format!("entry-{index}.yaml"));
        std::fs::write(&path, settings).expect("the settings can be written");
        let path = path.to_str().expect("the path is text").to_owned();
        Process::start(&["serve", "--settings", &path]).await
    }

    async fn add_engine(&mut self, index: usize, options: &str) {
        let path = self.folder.join("engine.yaml");
        std::fs::write(&path, format!("{ENGINE_MODELS}{options}"))
            .expect("the options can be written");
        let path = path.to_str().expect("the path is text").to_owned();
        let name = format!("engine-{index}");
        let engine = self
            .start_target("engine", &name, index, &["--options", &path])
            .await;
        self.engines.push(engine);
    }

    async fn add_plain_service(&mut self, index: usize) {
        let name = format!("plain-{index}");
        let plain = self.start_target("plain", &name, index, &[]).await;
        self.plain_services.push(plain);
    }

    async fn start_target(&self, kind: &str, name: &str, index: usize, extra: &[&str]) -> Process {
        let url = self.platform_url();
        let domain = char::from(b'a' + (index % 4) as u8).to_string();
        let mut arguments = vec!["standin", kind, "--platform", &url, "--name", name];
        arguments.extend(["--kind", kind, "--failure-domain", &domain]);
        arguments.extend(extra);
        Process::start(&arguments).await
    }

    /// Publishes a service document with the operator's command and waits until
    /// all live instances have applied it.
    pub async fn publish(&self, name: &str, document: &str) {
        let path = self.folder.join(&format!("{name}-service.yaml"));
        std::fs::write(&path, document).expect("the document can be written");
        let path = path.to_str().expect("the path is text").to_owned();
        let output = self
            .run_operator(&["service", "publish", &path, "--wait"])
            .await;
        assert!(output.0, "{}", output.1);
    }

    /// Revokes [`KEY`] and waits until every live instance has applied the
    /// revocation.
    pub async fn revoke_key(&self) {
        let revoke = [
            "key",
            "revoke",
            "--service",
            "advice",
            "--id",
            "workshop-1",
            "--wait",
        ];
        let (revoked, text) = self.run_operator(&revoke).await;
        assert!(revoked, "{text}");
    }

    /// Runs an operator's command; returns whether it succeeded, and its
    /// standard output and error.
    pub async fn run_operator(&self, arguments: &[&str]) -> (bool, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_lavenderwind"))
            .args(arguments)
            .env("LAVENDERWIND_PLATFORM", self.platform_url())
            .output()
            .await
            .expect("the command runs");
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.success(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }

    /// Waits until every instance is ready.
    pub async fn wait_ready(&self) {
        for instance in &self.instances {
            self.wait_instance_ready(instance).await;
        }
    }

    /// Waits until every instance knows the state of every engine.
    async fn wait_engine_states(&self) {
        for instance in &self.instances {
            let known = || async {
                let status = self.status(instance).await;
                let targets = status["targets"].as_array().expect("a list").clone();
                let engines = targets.iter().filter(|target| target["total_blocks"] != 0);
                engines.count() == self.engines.len()
            };
            wait_until("the engines' states are known", known).await;
        }
    }

    /// Waits until an instance is ready.
    pub async fn wait_instance_ready(&self, instance: &Process) {
        let url = format!("{}/readyz", instance.url("admin"));
        wait_until("the instance is ready", || async {
            matches!(self.http.get(&url).send().await, Ok(answer) if answer.status() == 200)
        })
        .await;
    }

    /// Reads the status of an instance.
    pub async fn status(&self, instance: &Process) -> Value {
        let url = format!("{}/status", instance.url("admin"));
        self.http
            .get(url)
            .send()
            .await
            .expect("status")
            .json()
            .await
            .expect("JSON")
    }

    /// Builds a chat request to an instance.
    pub fn chat(&self, instance: &Process, prompt: &str, max_tokens: u32) -> RequestBuilder {
        let body = json!({
            "model": "norms-8b",
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        let url = format!("{}/v1/chat/completions", instance.url("entry"));
        self.http.post(url).bearer_auth(KEY).json(&body)
    }

    /// Builds a request to the route `/orders` of an instance. The service document
    /// forbids instances to repeat requests to this route.
    pub fn order(&self, instance: &Process, key: &str, body: &str) -> RequestBuilder {
        let url = format!("{}/orders", instance.url("entry"));
        self.http
            .post(url)
            .bearer_auth(ORDER_KEY)
            .header("idempotency-key", key)
            .body(body.to_owned())
    }

    /// Sets the faults of a stand-in.
    pub async fn set_faults(&self, standin: &Process, faults: Value) {
        let url = format!("{}/faults", standin.url("address"));
        let answer = self
            .http
            .put(url)
            .json(&faults)
            .send()
            .await
            .expect("faults");
        assert!(
            answer.status().is_success(),
            "{faults} was refused: {}",
            answer.status()
        );
    }

    /// Reads JSON from a stand-in.
    pub async fn standin_json(&self, standin: &Process, path: &str) -> Value {
        let url = format!("{}{path}", standin.url("address"));
        self.http
            .get(url)
            .send()
            .await
            .expect("an answer")
            .json()
            .await
            .expect("JSON")
    }
}

/// Returns the value of an answer's outcome header.
pub fn outcome(answer: &Response) -> Option<&str> {
    answer
        .headers()
        .get("lavenderwind-outcome")
        .and_then(|value| value.to_str().ok())
}

/// Returns `true` if the status of an answer is 200.
pub fn succeeded(answer: &Response) -> bool {
    answer.status() == StatusCode::OK
}
