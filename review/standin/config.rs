//! The operator's configuration of the cases: one service of engines and one plain service.

/// Key of the only customer.
pub const KEY: &str = "3d3zji9n73hh2b9wu3fe";
/// Service of engines.
pub const ENGINES: &str = "guild-scribe";
/// Plain service.
pub const DESK: &str = "horn-store";

/// The configuration as JSON. Time-outs, targets and the shape of both services are those of
/// the site caroni-horn; an event of a stream has one token.
pub fn document(version: u64) -> String {
    let route = |name: &str, kind: &str, rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"guild.example","prefix":"/{name}/","routeType":"{kind}",{rest},"public":false}}"#
        )
    };
    let stream = |resumable: bool, attempts: u32| {
        format!(
            r#""timeoutMs":14000,"targetLatencyMs":900,"targetGapMs":300,"priority":1,"service":"{ENGINES}","maxAttempts":{attempts},"sticky":true,"resumable":{resumable}"#
        )
    };
    let plain = |attempts: u32| {
        format!(
            r#""timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"{DESK}","maxAttempts":{attempts}"#
        )
    };
    let routes = [
        route("appraisal-draft", "streaming", &stream(true, 2)),
        route("carver-brief", "streaming", &stream(false, 1)),
        route("blank-reserve", "non_idempotent", &plain(1)),
        route("shelf-check", "idempotent", &plain(2)),
    ]
    .join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"{ENGINES}","healthPath":"/healthz","maxConnections":156,"protocol":"h1","tls":false,"engine":{{"slots":12,"kvTokens":106421,"kvBytes":35136,"linkMbps":5900000.0,"moves":true,"backups":true,"stride":1,"most":12,"kvHoldS":0.5,"switchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{{"name":"m"}}]}}}},{{"name":"{DESK}","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"huka270","apiKeys":["{KEY}"],"priority":1,"unit":"token_rate","uncachedTokens":200,"ratePerS":116196,"burst":116196}}]}}"#
    )
}

/// Head of a client's request, without its length.
pub fn request(route: &str, attempt: &str, deadline_ms: u64, rest: &str) -> String {
    let method = if route == "shelf-check" { "GET" } else { "POST" };
    format!(
        "{method} /{route}/2f HTTP/1.1\r\nHost: guild.example\r\n\
         Rosemarypitch-Attempt-Id: {attempt}\r\nRosemarypitch-Deadline-Ms: {deadline_ms}\r\n\
         Rosemarypitch-Credential: {KEY}\r\n{rest}"
    )
}

/// Headers of a model request.
pub fn tokens(prompt: u64, output: u64, part: &str) -> String {
    format!(
        "Rosemarypitch-Model-Name: m\r\nRosemarypitch-Token-Count: {prompt},{output}\r\n\
         Rosemarypitch-Length-Hint: {output}\r\n\
         Rosemarypitch-Prefix-Hash: 5c1e07a2:200,{part}:{}\r\n",
        prompt.saturating_sub(200)
    )
}
