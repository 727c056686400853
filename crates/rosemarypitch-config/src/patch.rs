//! Patches against one version of the document.

use std::sync::Arc;

use serde_json::Value;

use crate::check;
use crate::document::{Document, PatchMark};
use crate::fault::{Fault, Faults};

/// Most patch marks that a document retains.
const MAX_PATCH_MARKS: usize = 64;

/// A change to the document, not yet applied.
#[derive(Clone, Debug, PartialEq)]
pub enum Patch {
    /// JSON Merge Patch, RFC 7386.
    Merge(Value),
    /// JSON Patch, RFC 6902.
    Json(json_patch::Patch),
}

/// Why a patch was rejected; no part of it was applied.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PatchError {
    /// The patch is based on another version than the current one.
    #[error("patch is against number {base}, the document is at {current}")]
    Stale {
        /// Version that the patch is based on.
        base: u64,
        /// Current version of the document.
        current: u64,
    },
    /// The patch cannot be applied, or the resulting document is invalid.
    #[error("{0}")]
    Invalid(Faults),
}

impl Patch {
    /// Parses a patch by the media type in `content_type`; returns `None` if it is unsupported.
    pub fn parse(content_type: &str, body: &[u8]) -> Option<Result<Self, Faults>> {
        let media_type = content_type.split(';').next().unwrap_or_default().trim();
        match media_type {
            "application/merge-patch+json" | "application/json" => {
                Some(parse_json(body).map(Self::Merge))
            }
            "application/json-patch+json" => Some(parse_json(body).map(Self::Json)),
            _ => None,
        }
    }

    /// Applies the patch, which is based on version `base`, to `doc` and records it under `id`.
    ///
    /// The version and the patch marks of the result are always set here, so that a patch
    /// cannot change them.
    pub fn apply(&self, doc: &Document, base: u64, id: &str) -> Result<Document, PatchError> {
        if doc.number != base {
            return Err(PatchError::Stale { base, current: doc.number });
        }
        let mut value = serde_json::to_value(doc).map_err(invalid)?;
        match self {
            Self::Merge(patch) => json_patch::merge(&mut value, patch),
            Self::Json(patch) => json_patch::patch(&mut value, patch).map_err(invalid)?,
        }
        let mut new = decode(value)?;
        new.number = base + 1;
        new.patches = doc.patches.clone();
        new.patches.push(PatchMark { id: Arc::from(id), number: new.number });
        let excess = new.patches.len().saturating_sub(MAX_PATCH_MARKS);
        new.patches.drain(..excess);
        validate(doc, &new).map_err(PatchError::Invalid)?;
        Ok(new)
    }
}

fn parse_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Faults> {
    serde_json::from_slice(body).map_err(|error| Faults(vec![Fault::new("", error.to_string())]))
}

fn decode(value: Value) -> Result<Document, PatchError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        PatchError::Invalid(Faults(vec![Fault::new(path, error.into_inner().to_string())]))
    })
}

fn validate(old: &Document, new: &Document) -> Result<(), Faults> {
    let mut faults = Faults::default();
    for result in [check::check(new), check::check_change(old, new)] {
        if let Err(found) = result {
            faults.0.extend(found.0);
        }
    }
    let size = serde_json::to_vec(new).map_or(usize::MAX, |bytes| bytes.len());
    if size > check::MAX_DOCUMENT_BYTES {
        faults.add("", format!("document of {size} bytes is above {}", check::MAX_DOCUMENT_BYTES));
    }
    faults.or(())
}

fn invalid(error: impl ToString) -> PatchError {
    PatchError::Invalid(Faults(vec![Fault::new("", error.to_string())]))
}
