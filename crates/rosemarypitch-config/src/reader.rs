//! Reads JSON objects field by field and collects all faults.
//!
//! A missing or invalid field is recorded as a fault and read as a placeholder or default,
//! so that one pass over the settings reports all faults. The caller discards the result if
//! any fault was recorded.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use serde_json::{Map, Value};

use crate::fault::Faults;

/// Reader of one object; all readers of one input add to the same list of faults.
pub struct ObjectReader<'a> {
    path: String,
    fields: Option<&'a Map<String, Value>>,
    read_names: RefCell<BTreeSet<&'static str>>,
    faults: &'a RefCell<Faults>,
}

impl<'a> ObjectReader<'a> {
    /// Creates a reader of the top-level object.
    pub fn new(value: &'a Value, faults: &'a RefCell<Faults>) -> Self {
        Self::at(String::new(), Some(value), faults)
    }

    fn at(path: String, value: Option<&'a Value>, faults: &'a RefCell<Faults>) -> Self {
        let fields = value.and_then(Value::as_object);
        if value.is_some() && fields.is_none() {
            faults.borrow_mut().add(path.clone(), "must be an object");
        }
        Self { path, fields, read_names: RefCell::default(), faults }
    }

    /// The object in field `name`; an absent one is read as an object without fields.
    pub fn section(&self, name: &'static str) -> Self {
        Self::at(self.path_of(name), self.value(name), self.faults)
    }

    /// The object in field `name`, or `None` if the field is absent.
    pub fn optional_section(&self, name: &'static str) -> Option<Self> {
        let value = self.value(name)?;
        Some(Self::at(self.path_of(name), Some(value), self.faults))
    }

    /// A required, non-empty string; empty if the field is missing or invalid.
    pub fn string(&self, name: &'static str) -> Arc<str> {
        match self.value(name).map(Value::as_str) {
            Some(Some(text)) if !text.is_empty() => Arc::from(text),
            Some(_) => self.reject_string(name, "must be a non-empty string"),
            None => self.reject_string(name, "is missing"),
        }
    }

    /// A non-empty string, or `None` if the field is absent.
    pub fn optional_string(&self, name: &'static str) -> Option<Arc<str>> {
        self.value(name)?;
        Some(self.string(name))
    }

    /// A required IP address and port; `0.0.0.0:0` if the field is missing or invalid.
    pub fn address(&self, name: &'static str) -> SocketAddr {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let text = self.string(name);
        if text.is_empty() {
            return unset;
        }
        text.parse().unwrap_or_else(|_| {
            self.add_fault(name, "must be an IP address and port, such as 127.0.0.1:8080");
            unset
        })
    }

    /// An integer in `range`, or `default` if the field is absent or invalid.
    pub fn number(&self, name: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.value(name) else { return default };
        match value.as_u64() {
            Some(number) if range.contains(&number) => number,
            _ => {
                let (low, high) = (range.start(), range.end());
                self.add_fault(name, &format!("must be an integer from {low} to {high}"));
                default
            }
        }
    }

    /// One of `choices` by name, or the first if the field is absent or invalid.
    pub fn choice<T: Copy>(&self, name: &'static str, choices: &[(&str, T)]) -> T {
        let Some(value) = self.value(name) else { return choices[0].1 };
        let found = choices.iter().find(|(choice, _)| value.as_str() == Some(choice));
        found.map(|(_, choice)| *choice).unwrap_or_else(|| {
            let names: Vec<&str> = choices.iter().map(|(choice, _)| *choice).collect();
            self.add_fault(name, &format!("must be one of {}", names.join(", ")));
            choices[0].1
        })
    }

    /// A list of strings, empty if the field is absent or invalid.
    pub fn strings(&self, name: &'static str) -> Vec<Arc<str>> {
        let Some(value) = self.value(name) else { return Vec::new() };
        let strings = value.as_array().map(|items| items.iter().map(Value::as_str).collect());
        let Some(Some(strings)) = strings.map(|strings: Vec<Option<&str>>| {
            strings.into_iter().map(|text| text.map(Arc::from)).collect::<Option<Vec<_>>>()
        }) else {
            self.add_fault(name, "must be a list of strings");
            return Vec::new();
        };
        strings
    }

    /// Records a fault of a field.
    pub fn add_fault(&self, name: &str, reason: &str) {
        self.faults.borrow_mut().add(self.path_of(name), reason);
    }

    /// Records a fault for each field of the object that was never read.
    pub fn finish(self) {
        let read_names = self.read_names.borrow();
        let Some(fields) = self.fields else { return };
        for name in fields.keys().filter(|name| !read_names.contains(name.as_str())) {
            self.add_fault(name, "is not a known field");
        }
    }

    fn reject_string(&self, name: &str, reason: &str) -> Arc<str> {
        self.add_fault(name, reason);
        Arc::from("")
    }

    fn value(&self, name: &'static str) -> Option<&'a Value> {
        self.read_names.borrow_mut().insert(name);
        self.fields?.get(name)
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }
}
