//! Sample requests of `demo --once`.

use reqwest::{Client, RequestBuilder};
use serde_json::{Value, json};

use super::deployment::{Deployment, MODEL, PLAIN_PATH};
use crate::cli::{Error, Result, report};

/// Service-level objective of the printed report, as a share.
const OBJECTIVE: f64 = 0.95;

/// Sends the sample requests, prints their answers and then the burn report.
///
/// # Errors
///
/// Fails if a request gets no answer or an error status.
pub(super) async fn run(deployment: &Deployment) -> Result<()> {
    let http = Client::new();
    let urls = deployment.urls();
    let key = deployment.key();
    let chat_url = format!("{}/v1/chat/completions", urls[0]);

    let models = http.get(format!("{}/v1/models", urls[0])).bearer_auth(key);
    println!("models: {}", send(models).await?);

    let chat = http
        .post(&chat_url)
        .bearer_auth(key)
        .json(&chat_body(false));
    println!("chat: {}", send(chat).await?);

    let stream = http.post(&chat_url).bearer_auth(key).json(&chat_body(true));
    println!("chat as a stream:\n{}", send(stream).await?.trim_end());

    let order = |url: &str| {
        http.post(format!("{url}{PLAIN_PATH}"))
            .bearer_auth(key)
            .header("idempotency-key", "demo-order-1")
            .body("20 sheets of steel")
    };
    println!("order: {}", send(order(&urls[0])).await?);
    println!(
        "order sent again to a second instance: {}",
        send(order(&urls[1])).await?
    );

    let status = http.get(format!("{}/status", urls[2]));
    println!("status: {}", send(status).await?);

    let report = report::collect_burn(&deployment.platform_url(), OBJECTIVE).await?;
    print!("{}", report.to_table());
    Ok(())
}

fn chat_body(stream: bool) -> Value {
    json!({
        "model": MODEL,
        "max_tokens": 8,
        "stream": stream,
        "messages": [{"role": "user", "content": "Which steel sheet for a tool chest?"}],
    })
}

async fn send(request: RequestBuilder) -> Result<String> {
    let unreachable = |error: reqwest::Error| Error::Refused(format!("no answer: {error}"));
    let response = request.send().await.map_err(unreachable)?;
    let status = response.status();
    let text = response.text().await.map_err(unreachable)?;
    if !status.is_success() {
        return Err(Error::Refused(format!("status {status}: {text}")));
    }
    Ok(text)
}
