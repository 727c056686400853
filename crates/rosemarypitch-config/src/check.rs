//! Validation of documents and of changes between consecutive versions.
//!
//! All rules are checked, and all violations are reported together.

use std::collections::{HashMap, HashSet};

use crate::document::{Document, UpstreamKind};
use crate::fault::Faults;

/// Maximum size of a document as JSON, in bytes; the platform limits values to 1 MB.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Maximum number of limit shares of a data centre.
const MAX_SHARES: u32 = 64;

/// Checks the rules that hold within one document.
pub fn check(doc: &Document) -> Result<(), Faults> {
    let mut faults = Faults::default();
    check_names(doc, &mut faults);
    check_customers(doc, &mut faults);
    check_models(doc, &mut faults);
    check_upstreams(doc, &mut faults);
    check_services(doc, &mut faults);
    check_shares(doc, &mut faults);
    faults.or(())
}

/// Checks that `new` is a valid successor of `old`.
///
/// Customers cannot be removed, limits cannot be lowered, and the shares cannot change once
/// set.
pub fn check_change(old: &Document, new: &Document) -> Result<(), Faults> {
    let mut faults = Faults::default();
    for (name, before) in &old.customers {
        let path = format!("customers.{name}");
        let Some(after) = new.customers.get(name) else {
            faults.add(path, "cannot be removed; set active to false");
            continue;
        };
        if after.limit.rate < before.limit.rate {
            faults.add(format!("{path}.limit.rate"), lowered(before.limit.rate, after.limit.rate));
        }
        if after.limit.burst < before.limit.burst {
            faults
                .add(format!("{path}.limit.burst"), lowered(before.limit.burst, after.limit.burst));
        }
    }
    if !old.shares.is_empty() && old.shares != new.shares {
        faults.add("shares", "cannot change once set");
    }
    faults.or(())
}

fn lowered(before: u64, after: u64) -> String {
    format!("lowered from {before} to {after}; a limit is never lowered")
}

fn check_names(doc: &Document, faults: &mut Faults) {
    let groups: [(&str, Vec<&str>); 5] = [
        ("customers", doc.customers.keys().map(AsRef::as_ref).collect()),
        ("models", doc.models.keys().map(AsRef::as_ref).collect()),
        ("upstreams", doc.upstreams.keys().map(AsRef::as_ref).collect()),
        ("services", doc.services.keys().map(AsRef::as_ref).collect()),
        ("shares", doc.shares.keys().map(AsRef::as_ref).collect()),
    ];
    for (group, names) in groups {
        for name in names {
            if !is_valid_name(name) {
                faults.add(format!("{group}.{name}"), "name needs 1 to 64 of a-z 0-9 - _ .");
            }
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}

fn check_customers(doc: &Document, faults: &mut Faults) {
    let mut owners = HashMap::new();
    for (name, customer) in &doc.customers {
        let path = format!("customers.{name}");
        if customer.limit.rate == 0 {
            faults.add(format!("{path}.limit.rate"), "must be above 0");
        }
        if customer.limit.burst == 0 {
            faults.add(format!("{path}.limit.burst"), "must be above 0");
        }
        for digest in customer.keys.keys() {
            let path = format!("{path}.keys.{}", digest.text());
            if !digest.is_valid() {
                faults.add(path, "is not a SHA-256 digest in hexadecimal");
            } else if let Some(other) = owners.insert(digest, name) {
                faults.add(path, format!("belongs to customer {other} too"));
            }
        }
    }
    for (class, target) in &doc.classes {
        if target.first_ms == 0 || target.pace_ms == 0 {
            faults.add(format!("classes.{}", class.name()), "targets must be above 0");
        }
    }
}

fn check_models(doc: &Document, faults: &mut Faults) {
    for (name, model) in &doc.models {
        let path = format!("models.{name}");
        if model.token_bytes == 0 {
            faults.add(format!("{path}.token_bytes"), "must be above 0");
        }
        if model.default_output > model.max_output {
            faults.add(format!("{path}.default_output"), "is above max_output");
        }
        if model.max_prompt == 0 || model.max_output == 0 {
            faults.add(path, "max_prompt and max_output must be above 0");
        }
    }
}

fn check_upstreams(doc: &Document, faults: &mut Faults) {
    let mut addresses = HashSet::new();
    for (name, upstream) in &doc.upstreams {
        let path = format!("upstreams.{name}");
        if !addresses.insert(upstream.address) {
            faults.add(format!("{path}.address"), "belongs to another upstream too");
        }
        match &upstream.kind {
            UpstreamKind::Prefill { model } | UpstreamKind::Decode { model, .. }
                if !doc.models.contains_key(model) =>
            {
                faults.add(format!("{path}.model"), format!("no model {model}"));
            }
            UpstreamKind::Decode { slots: 0, .. } => {
                faults.add(format!("{path}.slots"), "must be above 0");
            }
            UpstreamKind::Service { service } if !doc.services.contains_key(service) => {
                faults.add(format!("{path}.service"), format!("no service {service}"));
            }
            _ => {}
        }
    }
}

fn check_services(doc: &Document, faults: &mut Faults) {
    let mut prefixes = HashSet::new();
    for (name, service) in &doc.services {
        let path = format!("services.{name}.prefix");
        let prefix = service.prefix.as_ref();
        if !prefix.starts_with('/') || prefix.len() < 2 || prefix.ends_with('/') {
            faults.add(path, "must start with / and not end with one");
        } else if ["/v1", "/admin", "/healthz", "/readyz", "/metrics"].contains(&prefix) {
            faults.add(path, "is a route of the router itself");
        } else if !prefixes.insert(prefix) {
            faults.add(path, "belongs to another service too");
        }
    }
}

fn check_shares(doc: &Document, faults: &mut Faults) {
    for (name, count) in &doc.shares {
        if *count == 0 || *count > MAX_SHARES {
            faults.add(format!("shares.{name}"), "must be 1 to 64");
        }
    }
}
