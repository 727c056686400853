//! How many more times requests may be sent to a service than callers sent them.
//!
//! Over all hosts, repeats in any window are bounded by a part of the requests plus an
//! allowance. Each host works within an even part of the allowance and its own requests,
//! so that the sum holds without a word between hosts.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Bounds on repeats over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatRules {
    /// Repeats a request.
    pub ratio: f64,
    /// Repeats besides.
    pub allowance: f64,
    /// Span of time in which they are counted.
    pub window: Duration,
}

/// Repeats of one host to one service.
#[derive(Debug)]
pub struct RetryBudget {
    rules: RepeatRules,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryBudget {
    /// A host that has sent nothing.
    pub fn new(rules: RepeatRules) -> Self {
        Self { rules, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Changes the bounds.
    pub fn set_rules(&mut self, rules: RepeatRules) {
        self.rules = rules;
    }

    /// Counts a caller's request.
    pub fn count_request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat, if `hosts` hosts together may make it.
    pub fn take(&mut self, now: Instant, hosts: usize) -> bool {
        self.forget(now);
        let part = self.rules.allowance / hosts.max(1) as f64;
        let most = part + self.rules.ratio * self.requests.len() as f64;
        if (self.repeats.len() + 1) as f64 > most {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: Instant) {
        let window = self.rules.window;
        for queue in [&mut self.requests, &mut self.repeats] {
            while queue.front().is_some_and(|at| now.duration_since(*at) > window) {
                queue.pop_front();
            }
        }
    }
}
