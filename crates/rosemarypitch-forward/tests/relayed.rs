//! What hosts pass on to those that the store refuses.

mod support;

use std::sync::Arc;

use rosemarypitch_forward::config::{ConfigSnapshot, Route, RouteKind};
use rosemarypitch_forward::relayed::{Have, Known};
use rstest::rstest;

fn site(version: u64) -> Arc<ConfigSnapshot> {
    let route = Route {
        name: Arc::from("r"),
        prefix: Arc::from("/a/"),
        kind: RouteKind::Stream { resumable: true },
        timeout: std::time::Duration::from_secs(14),
        gap: None,
        target: std::time::Duration::from_millis(900),
        priority: 1,
        split: vec![(Arc::from("desk"), 1)],
        max_attempts: 1,
        public: true,
    };
    let routes = [(Arc::from("a.example"), vec![Arc::new(route)])].into();
    Arc::new(ConfigSnapshot { version, routes, ..ConfigSnapshot::default() })
}

fn known(revision: u64, version: Option<u64>) -> Known {
    Known { revision, site: version.map(site), upstreams: vec![support::upstream("i-1")] }
}

#[test]
fn what_is_passed_on_comes_over_whole() {
    let known = known(7, Some(3));
    let bytes = known.encode().expect("it can be encoded");
    assert_eq!(Known::decode(&bytes).expect("it can be decoded"), known);
    assert!(Known::decode(&bytes[..bytes.len() - 1]).is_err());
}

#[rstest]
#[case::newer_list(8, None, true)]
#[case::newer_configuration(7, Some(4), true)]
#[case::same(7, None, false)]
#[case::older(6, None, false)]
fn news_are_told_from_what_is_known(
    #[case] revision: u64,
    #[case] version: Option<u64>,
    #[case] expected: bool,
) {
    let have = Have { version: 3, revision: 7 };
    assert_eq!(known(revision, version).is_news(have), expected);
}
