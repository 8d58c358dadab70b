//! Child processes that run the built binary.

use std::{
    process::{ExitStatus, Stdio},
    time::Duration,
};

use serde_json::Value;
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, ChildStdout, Command},
};

/// Timeout that ends a hanging test; no test depends on its length.
pub const HANG_LIMIT: Duration = Duration::from_secs(60);

/// A running process; it is killed when dropped.
pub struct Process {
    child: Child,
    /// Ready line of the process, in JSON.
    pub ready: Value,
    _stdout: BufReader<ChildStdout>,
}

impl Process {
    /// Starts the binary and waits for its ready line, in JSON.
    pub async fn start(arguments: &[&str]) -> Self {
        let log_to = if std::env::var_os("LAVENDERWIND_TEST_LOGS").is_some() {
            Stdio::inherit()
        } else {
            Stdio::null()
        };
        let mut child = Command::new(env!("CARGO_BIN_EXE_lavenderwind"))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_to)
            .kill_on_drop(true)
            .spawn()
            .expect("the binary starts");
        let mut stdout = BufReader::new(child.stdout.take().expect("stdout is piped"));
        let mut line = String::new();
        tokio::time::timeout(HANG_LIMIT, stdout.read_line(&mut line))
            .await
            .expect("the process prints a line")
            .expect("stdout can be read");
        let ready = serde_json::from_str(&line)
            .unwrap_or_else(|error| panic!("{arguments:?} printed {line:?}: {error}"));
        Self {
            child,
            ready,
            _stdout: stdout,
        }
    }

    /// Returns the identifier of the process.
    pub fn id(&self) -> u32 {
        self.child.id().expect("the process runs")
    }

    /// Returns a string field of the ready line.
    pub fn text(&self, field: &str) -> &str {
        self.ready[field].as_str().expect("the field is a string")
    }

    /// Returns the base URL of the address in a field of the ready line.
    pub fn url(&self, field: &str) -> String {
        format!("http://{}", self.text(field))
    }

    /// Sends SIGSTOP.
    pub async fn pause(&self) {
        self.signal("STOP").await;
    }

    /// Sends SIGCONT.
    pub async fn resume(&self) {
        self.signal("CONT").await;
    }

    /// Sends SIGTERM.
    pub async fn terminate(&self) {
        self.signal("TERM").await;
    }

    /// Sends SIGKILL and waits for the end.
    pub async fn kill(&mut self) {
        self.child.kill().await.expect("the process is killed");
    }

    /// Returns the exit status if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the exit status can be read")
    }

    /// Waits for the process to end by itself.
    pub async fn wait(&mut self) -> ExitStatus {
        tokio::time::timeout(HANG_LIMIT, self.child.wait())
            .await
            .expect("the process ends")
            .expect("the exit status is known")
    }

    async fn signal(&self, name: &str) {
        let pid = self.child.id().expect("the process runs").to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status()
            .await
            .expect("kill starts");
        assert!(status.success(), "kill -{name} {pid}");
    }
}

/// Waits until `condition` returns `true`; panics after [`HANG_LIMIT`].
pub async fn wait_until<F, R>(what: &str, mut condition: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let poll = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(HANG_LIMIT, poll).await.is_err() {
        panic!("timed out waiting for: {what}");
    }
}
