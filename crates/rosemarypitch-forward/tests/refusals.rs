//! Statuses of refusals, and classification of upstreams' responses.

use http::StatusCode;
use rosemarypitch_forward::deployment::ResponseMeta;
use rosemarypitch_forward::plain::{ResponseClass, classify};
use rosemarypitch_forward::refusal::{Cause, Ran, Refusal};
use rstest::rstest;

/// Statuses that guarantee that the request was not executed and never will be.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

#[rstest]
fn only_a_request_that_has_not_run_gets_a_status_that_guarantees_it(
    #[values(
        Cause::NotConfigured,
        Cause::OverLimit,
        Cause::Busy,
        Cause::NoUpstream,
        Cause::UpstreamFailed,
        Cause::Timeout,
        Cause::Stopping,
        Cause::Internal,
        Cause::Quarantined
    )]
    cause: Cause,
) {
    let ran = Refusal::new(cause, Ran::Maybe).status().as_u16();
    assert!(!NOT_RUN_STATUSES.contains(&ran), "{ran}");
    let not_run = Refusal::not_run(cause).status().as_u16();
    assert!(NOT_RUN_STATUSES.contains(&not_run), "{not_run}");
}

fn answer(attempt: Option<&str>, signed: bool) -> ResponseMeta {
    ResponseMeta { attempt: attempt.map(Into::into), signed, ..ResponseMeta::default() }
}

#[rstest]
#[case::good(answer(Some("a"), true), 200, ResponseClass::Genuine)]
#[case::unsigned(answer(Some("a"), false), 200, ResponseClass::Mismatched)]
#[case::without_echo(answer(None, true), 200, ResponseClass::Mismatched)]
#[case::of_another_request(answer(Some("b"), true), 200, ResponseClass::Mismatched)]
#[case::encoded(ResponseMeta { encoded: true, ..answer(Some("a"), true) }, 200, ResponseClass::Mismatched)]
#[case::failure(answer(Some("a"), true), 500, ResponseClass::Genuine)]
#[case::busy(ResponseMeta { not_run: true, ..answer(Some("a"), false) }, 503, ResponseClass::NotRun)]
#[case::busy_without_echo(ResponseMeta { not_run: true, ..answer(None, false) }, 503, ResponseClass::NotRun)]
#[case::busy_for_another_request(ResponseMeta { not_run: true, ..answer(Some("b"), false) }, 503, ResponseClass::Mismatched)]
#[case::another_server(answer(Some("a"), false), 421, ResponseClass::NotRun)]
#[case::plain_503(answer(Some("a"), true), 503, ResponseClass::Genuine)]
#[case::contradiction(ResponseMeta { not_run: true, ..answer(Some("a"), true) }, 200, ResponseClass::Mismatched)]
#[case::unsigned_503(answer(Some("a"), false), 503, ResponseClass::Mismatched)]
#[case::plain_503_without_echo(answer(None, true), 503, ResponseClass::Mismatched)]
#[case::bare_429(answer(None, false), 429, ResponseClass::Mismatched)]
#[case::bare_408(answer(None, false), 408, ResponseClass::Mismatched)]
fn responses_are_classified(
    #[case] meta: ResponseMeta,
    #[case] status: u16,
    #[case] expected: ResponseClass,
) {
    let status = StatusCode::from_u16(status).expect("a status");
    assert_eq!(classify(&meta, "a", status), expected);
}
