//! Snapshots of the store's state that hosts pass to each other.

mod support;

use std::sync::Arc;

use rosemarypitch_forward::config::{ConfigSnapshot, Route, RouteKind};
use rosemarypitch_forward::deployment::StorePosition;
use rosemarypitch_forward::snapshot::{Snapshot, SnapshotVersion};
use rstest::rstest;

fn config(version: u64) -> Arc<ConfigSnapshot> {
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
        homes: Vec::new(),
    };
    let routes = [(Arc::from("a.example"), vec![Arc::new(route)])].into();
    Arc::new(ConfigSnapshot { version, routes, ..ConfigSnapshot::default() })
}

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

fn snapshot(position: StorePosition, version: Option<u64>) -> Snapshot {
    let upstreams = vec![support::upstream("i-1")];
    let evacuated = vec![Arc::from("behala")];
    let config = version.map(config);
    let versions = Vec::new();
    Snapshot { position, config, upstreams, evacuated, versions, age_ms: 20, direct: true }
}

#[test]
fn a_snapshot_survives_encoding_and_a_truncated_one_is_rejected() {
    let snapshot = snapshot(at(1, 7), Some(3));
    let bytes = snapshot.encode().expect("the snapshot encodes");
    assert_eq!(Snapshot::decode(&bytes).expect("the snapshot decodes"), snapshot);
    assert!(Snapshot::decode(&bytes[..bytes.len() - 1]).is_err());
}

#[rstest]
#[case::newer_revision(at(1, 8), None, true)]
#[case::newer_era(at(2, 3), None, true)]
#[case::newer_configuration(at(1, 7), Some(4), true)]
#[case::same(at(1, 7), None, false)]
#[case::older(at(1, 6), None, false)]
#[case::older_era(at(0, 9), None, false)]
fn only_a_later_position_or_configuration_is_newer(
    #[case] position: StorePosition,
    #[case] version: Option<u64>,
    #[case] expected: bool,
) {
    let have = SnapshotVersion { version: 3, position: at(1, 7) };
    assert_eq!(snapshot(position, version).is_newer_than(have), expected);
}
