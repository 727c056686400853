//! An immutable view of the document, indexed for the request path.

use std::collections::HashMap;
use std::sync::Arc;

use crate::document::{Class, Document, Limit, Service};
use crate::secret::Digest;

/// A document with its indexes.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The document.
    pub document: Arc<Document>,
    keys: HashMap<Digest, Arc<str>>,
}

/// The customer whose key came with a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Class of its requests.
    pub class: Class,
    /// Its limit.
    pub limit: Limit,
    /// Digest of the key.
    pub digest: Digest,
}

impl Snapshot {
    /// Indexes a document.
    pub fn new(document: Arc<Document>) -> Self {
        let mut keys = HashMap::new();
        for (name, customer) in &document.customers {
            if customer.active {
                keys.extend(customer.keys.keys().map(|digest| (digest.clone(), name.clone())));
            }
        }
        Self { document, keys }
    }

    /// Number of the document.
    pub fn number(&self) -> u64 {
        self.document.number
    }

    /// The customer that a key belongs to, if the key is in force.
    pub fn caller(&self, key: &str) -> Option<Caller> {
        self.caller_of(&Digest::of(key))
    }

    /// The customer that a digest belongs to, if its key is in force.
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

    /// The service with the longest prefix of `path`, if any.
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
