//! Statuses of refusals, and classification of upstreams' responses.

use http::StatusCode;
use rosemarypitch_forward::edge::AnswerHead;
use rosemarypitch_forward::plain::{Verdict, classify};
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
        Cause::Timeout
    )]
    cause: Cause,
) {
    let ran = Refusal::new(cause, Ran::Maybe).status().as_u16();
    assert!(!NOT_RUN_STATUSES.contains(&ran), "{ran}");
    let not_run = Refusal::not_run(cause).status().as_u16();
    assert!(NOT_RUN_STATUSES.contains(&not_run), "{not_run}");
}

fn answer(attempt: Option<&str>, sealed: bool) -> AnswerHead {
    AnswerHead { attempt: attempt.map(Into::into), sealed, ..AnswerHead::default() }
}

#[rstest]
#[case::good(answer(Some("a"), true), 200, Verdict::Own)]
#[case::unsigned(answer(Some("a"), false), 200, Verdict::Foreign)]
#[case::without_echo(answer(None, true), 200, Verdict::Foreign)]
#[case::of_another_request(answer(Some("b"), true), 200, Verdict::Foreign)]
#[case::encoded(AnswerHead { encoded: true, ..answer(Some("a"), true) }, 200, Verdict::Foreign)]
#[case::failure(answer(Some("a"), true), 500, Verdict::Own)]
#[case::busy(AnswerHead { not_run: true, ..answer(Some("a"), false) }, 503, Verdict::NotRun)]
#[case::busy_without_echo(AnswerHead { not_run: true, ..answer(None, false) }, 503, Verdict::NotRun)]
#[case::foreign_busy(AnswerHead { not_run: true, ..answer(Some("b"), false) }, 503, Verdict::Foreign)]
#[case::another_server(answer(Some("a"), false), 421, Verdict::NotRun)]
#[case::plain_503(answer(Some("a"), true), 503, Verdict::Own)]
fn responses_are_classified(
    #[case] facts: AnswerHead,
    #[case] status: u16,
    #[case] expected: Verdict,
) {
    let status = StatusCode::from_u16(status).expect("a status");
    assert_eq!(classify(&facts, "a", status), expected);
}
