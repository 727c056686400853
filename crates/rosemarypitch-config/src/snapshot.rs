//! An immutable view of the document, indexed for the request path.

use std::collections::HashMap;
use std::sync::Arc;

use crate::document::{Class, Document, Limit, Service};
use crate::secret::Digest;

/// A document with an index of its API keys.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The document.
    pub document: Arc<Document>,
    keys: HashMap<Digest, Arc<str>>,
}

/// An authenticated customer with what is needed to admit its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Class of the customer's requests.
    pub class: Class,
    /// Limit of the customer.
    pub limit: Limit,
    /// Digest of the key that was presented.
    pub digest: Digest,
}

impl Snapshot {
    /// Indexes the keys of all active customers of a document.
    pub fn new(document: Arc<Document>) -> Self {
        let mut keys = HashMap::new();
        for (name, customer) in &document.customers {
            if customer.active {
                keys.extend(customer.keys.keys().map(|digest| (digest.clone(), name.clone())));
            }
        }
        Self { document, keys }
    }

    /// Version of the document.
    pub fn number(&self) -> u64 {
        self.document.number
    }

    /// The active customer to which a key belongs, if any.
    pub fn caller(&self, key: &str) -> Option<Caller> {
        self.caller_of(&Digest::of(key))
    }

    /// The active customer to which the key with this digest belongs, if any.
    pub fn caller_of(&self, digest: &Digest) -> Option<Caller> {
        let (found, name) = self.keys.get_key_value(digest)?;
        if !found.matches(digest) {
            return None;
        }
        let customer = self.document.customers.get(name)?;
        Some(Caller {
            customer: name.clone(),
            class: customer.class,
            limit: customer.limit,
            digest: digest.clone(),
        })
    }

    /// The service whose route prefix is the longest match for `path`, if any.
    pub fn service(&self, path: &str) -> Option<(&Arc<str>, &Service)> {
        let covers = |service: &Service| {
            path.strip_prefix(service.prefix.as_ref())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        self.document
            .services
            .iter()
            .filter(|(_, service)| covers(service))
            .max_by_key(|(_, service)| service.prefix.len())
    }
}
