//! End-to-end tests with the platform, engines, service and hosts as separate processes.

mod support;

use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::types::chat::{
    ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequestArgs,
};
use reqwest::StatusCode;
use serde_json::{Value, json};

use support::{CLUBS_KEY, Cluster, HostSpec, chat_request, expected_text};

fn two_hosts() -> Vec<HostSpec> {
    vec![HostSpec::new("a-1", "a"), HostSpec::new("b-1", "b")]
}

#[tokio::test]
async fn every_host_serves_completions_and_service_calls() {
    let cluster = Cluster::start(2, &two_hosts()).await;
    for host in 0..2 {
        let prompt = format!("packet of team {host}");
        let response = cluster.send_chat(host, CLUBS_KEY, &chat_request(&prompt, 12, false)).await;
        assert_eq!(response.status(), StatusCode::OK);
        let body: Value = response.json().await.expect("JSON");
        assert_eq!(body["choices"][0]["message"]["content"], expected_text(&prompt, 12));
        assert_eq!(body["usage"]["completion_tokens"], 12);

        let response = cluster.send_chat(host, CLUBS_KEY, &chat_request(&prompt, 9, true)).await;
        assert_eq!(response.status(), StatusCode::OK);
        let text = response.text().await.expect("a body");
        assert_eq!(streamed_text(&text), expected_text(&prompt, 9));
        assert!(text.ends_with("data: [DONE]\n\n"));

        let url = cluster.url(host, "/entry-desk/teams?draw=1");
        let request =
            cluster.client.post(url).bearer_auth(CLUBS_KEY).json(&json!({ "team": host }));
        let response = request.send().await.expect("a response");
        assert_eq!(response.status(), StatusCode::OK);
    }
    let calls = cluster.service_calls().await;
    assert_eq!(calls.len(), 2);
    assert_eq!(calls[0]["target"], "/teams?draw=1");
    cluster.wait_until_idle().await;
}

#[tokio::test]
async fn an_unmodified_openai_client_works() {
    let cluster = Cluster::start(1, &[HostSpec::new("a-1", "a")]).await;
    let config = OpenAIConfig::new().with_api_base(cluster.url(0, "/v1")).with_api_key(CLUBS_KEY);
    let client = Client::with_config(config);
    let message = ChatCompletionRequestUserMessageArgs::default()
        .content("file of the commission")
        .build()
        .expect("a message");
    let request = CreateChatCompletionRequestArgs::default()
        .model("verdict")
        .max_tokens(7_u32)
        .messages([message.into()])
        .build()
        .expect("a request");
    let response = client.chat().create(request.clone()).await.expect("a response");
    let text = response.choices[0].message.content.clone();
    assert_eq!(text, Some(expected_text("file of the commission", 7)));
    assert_eq!(response.usage.map(|usage| usage.completion_tokens), Some(7));

    let rejected = CreateChatCompletionRequestArgs::default()
        .model("no-such-model")
        .messages(request.messages)
        .build()
        .expect("a request");
    let error = client.chat().create(rejected).await.expect_err("an error response");
    assert!(error.to_string().contains("there is no model"), "{error}");
}

/// Concatenates the content of a stream's chunks.
fn streamed_text(events: &str) -> String {
    let data = events.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let values = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    values
        .filter_map(|value| value["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect()
}
