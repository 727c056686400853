//! Reads a JSON object field by field and keeps every fault it meets.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use serde_json::{Map, Value};

use crate::fault::Faults;

/// A reader of one object; faults go to a list shared by all readers of the input.
pub struct Reader<'a> {
    path: String,
    fields: Option<&'a Map<String, Value>>,
    known: RefCell<BTreeSet<&'static str>>,
    faults: &'a RefCell<Faults>,
}

impl<'a> Reader<'a> {
    /// Starts at the top of the input.
    pub fn new(value: &'a Value, faults: &'a RefCell<Faults>) -> Self {
        Self::at(String::new(), Some(value), faults)
    }

    fn at(path: String, value: Option<&'a Value>, faults: &'a RefCell<Faults>) -> Self {
        let fields = value.and_then(Value::as_object);
        if value.is_some() && fields.is_none() {
            faults.borrow_mut().add(path.clone(), "must be an object");
        }
        Self { path, fields, known: RefCell::default(), faults }
    }

    /// The object under `name`; an absent one has no fields.
    pub fn section(&self, name: &'static str) -> Self {
        Self::at(self.path_of(name), self.value(name), self.faults)
    }

    /// The object under `name`, if it stands there.
    pub fn optional_section(&self, name: &'static str) -> Option<Self> {
        let value = self.value(name)?;
        Some(Self::at(self.path_of(name), Some(value), self.faults))
    }

    /// A text that must stand there and not be empty.
    pub fn text(&self, name: &'static str) -> Arc<str> {
        match self.value(name).map(Value::as_str) {
            Some(Some(text)) if !text.is_empty() => Arc::from(text),
            Some(_) => self.reject(name, "must be a text that is not empty"),
            None => self.reject(name, "is missing"),
        }
    }

    /// A text that may be absent.
    pub fn optional_text(&self, name: &'static str) -> Option<Arc<str>> {
        self.value(name)?;
        Some(self.text(name))
    }

    /// An IP address and port that must stand there.
    pub fn address(&self, name: &'static str) -> SocketAddr {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let text = self.text(name);
        if text.is_empty() {
            return unset;
        }
        text.parse().unwrap_or_else(|_| {
            self.fault(name, "must be an IP number and port, such as 127.0.0.1:8080");
            unset
        })
    }

    /// A whole number in `range`, or `default` when absent.
    pub fn number(&self, name: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.value(name) else { return default };
        match value.as_u64() {
            Some(number) if range.contains(&number) => number,
            _ => {
                let (low, high) = (range.start(), range.end());
                self.fault(name, &format!("must be a whole number from {low} to {high}"));
                default
            }
        }
    }

    /// One of a few words, or the first when absent.
    pub fn choice<T: Copy>(&self, name: &'static str, choices: &[(&str, T)]) -> T {
        let Some(value) = self.value(name) else { return choices[0].1 };
        let found = choices.iter().find(|(word, _)| value.as_str() == Some(word));
        found.map(|(_, choice)| *choice).unwrap_or_else(|| {
            let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
            self.fault(name, &format!("must be one of {}", words.join(", ")));
            choices[0].1
        })
    }

    /// A list of texts, empty when absent.
    pub fn texts(&self, name: &'static str) -> Vec<Arc<str>> {
        let Some(value) = self.value(name) else { return Vec::new() };
        let texts = value.as_array().map(|items| items.iter().map(Value::as_str).collect());
        let Some(Some(texts)) = texts.map(|texts: Vec<Option<&str>>| {
            texts.into_iter().map(|text| text.map(Arc::from)).collect::<Option<Vec<_>>>()
        }) else {
            self.fault(name, "must be a list of texts");
            return Vec::new();
        };
        texts
    }

    /// Reports a fault of a field.
    pub fn fault(&self, name: &str, reason: &str) {
        self.faults.borrow_mut().add(self.path_of(name), reason);
    }

    /// Reports the fields that nobody asked for.
    pub fn finish(self) {
        let known = self.known.borrow();
        let Some(fields) = self.fields else { return };
        for name in fields.keys().filter(|name| !known.contains(name.as_str())) {
            self.fault(name, "is not a known field");
        }
    }

    fn reject(&self, name: &str, reason: &str) -> Arc<str> {
        self.fault(name, reason);
        Arc::from("")
    }

    fn value(&self, name: &'static str) -> Option<&'a Value> {
        self.known.borrow_mut().insert(name);
        self.fields?.get(name)
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }
}
