//! Validation of documents, patches and settings, and lookups in snapshots.

use std::sync::Arc;

use proptest::prelude::{Just, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};
use rosemarypitch_config::{Digest, Document, Patch, PatchError, Secret, Settings, Snapshot};
use rstest::rstest;
use serde_json::{Value, json};

fn document() -> Document {
    let value = json!({
        "number": 3,
        "customers": {
            "clubs": {
                "limit": { "rate": 10, "burst": 20 },
                "keys": { Digest::of("k").text(): {} },
            },
        },
        "models": {
            "m": { "token_bytes": 1, "max_prompt": 10, "max_output": 10, "default_output": 5 },
        },
        "services": { "desk": { "prefix": "/desk" }, "deep": { "prefix": "/desk/deep" } },
        "upstreams": {
            "e": {
                "kind": { "decode": { "model": "m", "slots": 2 } },
                "address": "127.0.0.1:1",
                "data_centre": "a",
            },
        },
        "shares": { "a": 2 },
    });
    serde_json::from_value(value).expect("a document")
}

fn faults(patch: Value) -> Vec<String> {
    match Patch::Merge(patch).apply(&document(), 3, "id") {
        Err(PatchError::Invalid(faults)) => faults.0.into_iter().map(|fault| fault.path).collect(),
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::lower_rate(json!({"customers": {"clubs": {"limit": {"rate": 9}}}}), "customers.clubs.limit.rate")]
#[case::lower_burst(json!({"customers": {"clubs": {"limit": {"burst": 1}}}}), "customers.clubs.limit.burst")]
#[case::customer_gone(json!({"customers": {"clubs": null}}), "customers.clubs")]
#[case::shares_changed(json!({"shares": {"a": 3}}), "shares")]
#[case::unknown_model(json!({"upstreams": {"e": {"kind": {"decode": {"model": "x"}}}}}), "upstreams.e.model")]
#[case::no_slots(json!({"upstreams": {"e": {"kind": {"decode": {"slots": 0}}}}}), "upstreams.e.slots")]
#[case::own_route(json!({"services": {"desk": {"prefix": "/v1"}}}), "services.desk.prefix")]
#[case::bad_digest(json!({"customers": {"clubs": {"keys": {"xyz": {}}}}}), "customers.clubs.keys.xyz")]
#[case::shared_key(
    json!({"customers": {"b": {"limit": {"rate": 1, "burst": 1}, "keys": {Digest::of("k").text(): {}}}}}),
    &format!("customers.clubs.keys.{}", Digest::of("k").text())
)]
#[case::unknown_field(json!({"customers": {"clubs": {"color": 1}}}), "customers.clubs")]
#[case::bad_name(json!({"models": {"M M": {"token_bytes": 1, "max_prompt": 1, "max_output": 1, "default_output": 1}}}), "models.M M")]
fn a_patch_that_breaks_a_rule_is_rejected_with_its_path(#[case] patch: Value, #[case] path: &str) {
    let found = faults(patch);
    assert!(found.iter().any(|fault| fault.starts_with(path)), "{found:?}");
}

#[test]
fn a_patch_against_another_number_is_rejected() {
    let patch = Patch::Merge(json!({}));
    let rejected = patch.apply(&document(), 2, "id");
    assert_eq!(rejected, Err(PatchError::Stale { base: 2, current: 3 }));
    let accepted = patch.apply(&document(), 3, "id").expect("accepted");
    assert_eq!(accepted.number, 4);
    assert_eq!(accepted.patches.last().map(|mark| mark.id.as_ref()), Some("id"));
}

#[test]
fn a_patch_cannot_forge_its_number_or_marks() {
    let patch = Patch::Merge(json!({ "number": 900, "patches": [{ "id": "x", "number": 1 }] }));
    let accepted = patch.apply(&document(), 3, "id").expect("accepted");
    assert_eq!((accepted.number, accepted.patches.len()), (4, 1));
}

#[test]
fn json_patches_apply_whole_or_not_at_all() {
    let body = json!([
        { "op": "replace", "path": "/customers/clubs/limit/rate", "value": 50 },
        { "op": "test", "path": "/customers/clubs/limit/burst", "value": 7 },
    ]);
    let patch = Patch::parse("application/json-patch+json", body.to_string().as_bytes());
    let patch = patch.expect("a known type").expect("a patch");
    assert!(matches!(patch.apply(&document(), 3, "id"), Err(PatchError::Invalid(_))));
}

#[test]
fn a_key_works_only_while_it_is_in_force_and_its_customer_active() {
    let snapshot = |patch| {
        let document = Patch::Merge(patch).apply(&document(), 3, "id").expect("accepted");
        Snapshot::new(Arc::new(document))
    };
    let name = snapshot(json!({})).caller("k").map(|caller| caller.customer);
    assert_eq!(name.as_deref(), Some("clubs"));
    assert!(snapshot(json!({})).caller("other").is_none());
    assert!(snapshot(json!({"customers": {"clubs": {"active": false}}})).caller("k").is_none());
    let withdrawn = json!({"customers": {"clubs": {"keys": {Digest::of("k").text(): null}}}});
    assert!(snapshot(withdrawn).caller("k").is_none());
}

#[rstest]
#[case("/desk", Some("desk"))]
#[case("/desk/teams", Some("desk"))]
#[case("/desk/deep/x", Some("deep"))]
#[case("/desks", None)]
fn the_longest_prefix_wins(#[case] path: &str, #[case] service: Option<&str>) {
    let snapshot = Snapshot::new(Arc::new(document()));
    assert_eq!(snapshot.service(path).map(|(name, _)| name.as_ref()), service);
}

#[test]
fn keys_are_random_and_never_printed() {
    let (one, two) = (Secret::random(), Secret::random());
    assert_ne!(one.text(), two.text());
    assert!(!format!("{one:?}").contains(one.text()));
}

#[test]
fn a_document_of_350_customers_fits_the_platforms_values() {
    let mut document = document();
    let customer = document.customers["clubs"].clone();
    for index in 0..350 {
        let mut customer = customer.clone();
        customer.keys =
            (0..3).map(|key| (Digest::of(&format!("{index}-{key}")), Default::default())).collect();
        document.customers.insert(Arc::from(format!("customer-{index}")), customer);
    }
    let upstream = document.upstreams["e"].clone();
    for index in 0..640_u32 {
        let address = std::net::SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16));
        let upstream = rosemarypitch_config::Upstream { address, ..upstream.clone() };
        document.upstreams.insert(Arc::from(format!("server-{index}")), upstream);
    }
    assert_eq!(rosemarypitch_config::check(&document), Ok(()));
    let size = serde_json::to_vec(&document).expect("JSON").len();
    assert!(size < rosemarypitch_config::MAX_DOCUMENT_BYTES / 2, "{size} bytes");
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        "[a-z./]{0,8}".prop_map(Value::from),
    ];
    let key = prop_oneof![
        "(customers|clubs|limit|rate|keys|models|upstreams|e|kind|services|shares|a|host|peers)",
        "[a-z]{0,6}",
    ];
    leaf.prop_recursive(4, 24, 4, move |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            proptest::collection::btree_map(key.clone(), inner, 0..4)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(Config { cases: 500, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() })]

    #[test]
    fn any_patch_is_accepted_whole_or_rejected_whole(patch in any_json()) {
        let old = document();
        if let Ok(new) = Patch::Merge(patch).apply(&old, 3, "id") {
            assert_eq!(rosemarypitch_config::check(&new), Ok(()));
            assert_eq!(rosemarypitch_config::check_change(&old, &new), Ok(()));
        }
    }

    #[test]
    fn any_settings_are_read_or_refused_with_a_reason(value in any_json(), text in ".{0,40}") {
        for text in [value.to_string(), text] {
            if let Err(faults) = Settings::parse(&text, &["a.b=1".to_owned()]) {
                assert!(!faults.0.is_empty());
            }
        }
    }
}

#[test]
fn a_region_that_is_named_has_only_its_own_data_centres() {
    let mut document = document();
    assert!(document.is_in_region(&Arc::from("a"), "east"));
    document.regions.insert(Arc::from("east"), vec![Arc::from("a")]);
    assert!(document.is_in_region(&Arc::from("a"), "east"));
    assert!(!document.is_in_region(&Arc::from("b"), "east"));
}
