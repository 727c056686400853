//! Debits a customer's requests against the shares lent to one host.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::bucket::Bucket;
use crate::host_id::HostId;
use crate::lender::Loan;
use crate::nano::{self, NANOS_PER_TOKEN, NanoTokens};

/// Shortest pause before a waiting debit is looked at again.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// A debit that waits or was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Debit {
    /// Identifier, unique for this holder.
    pub id: u64,
    /// Tokens.
    pub amount: u64,
    /// When it is refused if it still waits.
    pub expires: Instant,
}

/// What became of a debit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DebitOutcome {
    /// The tokens were taken.
    Granted,
    /// It did not fit; it may after this time.
    Refused(Duration),
}

/// Debits one customer's requests.
#[derive(Debug)]
pub struct Borrower {
    bucket: Bucket,
    loans: BTreeMap<HostId, Part>,
    waiting: VecDeque<Debit>,
    refundable: VecDeque<Refundable>,
    refund_total: NanoTokens,
    used: Instant,
    released: Option<Instant>,
}

#[derive(Debug)]
struct Part {
    rate: NanoTokens,
    burst: NanoTokens,
    ends: Instant,
}

/// The part of a granted debit that may still come back.
#[derive(Debug)]
struct Refundable {
    id: u64,
    left: NanoTokens,
}

impl Borrower {
    /// A holder without loans.
    pub fn new(now: Instant) -> Self {
        Self {
            bucket: Bucket::new(now, 0, 0),
            loans: BTreeMap::new(),
            waiting: VecDeque::new(),
            refundable: VecDeque::new(),
            refund_total: 0,
            used: now,
            released: None,
        }
    }

    /// Takes in a loan that was asked for at `asked`.
    pub fn accept(&mut self, now: Instant, asked: Instant, from: &HostId, loan: &Loan) {
        self.advance(now);
        let ends = asked + Duration::from_millis(loan.millis);
        let given_back = self.released.is_some_and(|released| asked <= released);
        if ends <= now || given_back {
            return;
        }
        let renewed = self.loans.contains_key(from);
        self.loans.insert(from.clone(), Part { rate: loan.rate, burst: loan.burst, ends });
        self.resize(now);
        if !renewed {
            self.bucket.add(loan.tokens);
        }
        self.trim();
    }

    /// The present loan of a lender, without tokens.
    pub fn loan(&self, from: &HostId) -> Option<Loan> {
        let part = self.loans.get(from)?;
        Some(Loan { rate: part.rate, burst: part.burst, tokens: 0, millis: 0 })
    }

    /// Asks for tokens; the outcome comes from [`Borrower::poll`].
    pub fn debit(&mut self, now: Instant, debit: Debit) {
        self.used = now;
        self.waiting.push_back(debit);
    }

    /// Gives up a debit that waits.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|debit| debit.id != id);
    }

    /// Grants and refuses what waits, in order.
    ///
    /// A debit above the present burst lets others pass while it waits for more loans.
    pub fn poll(&mut self, now: Instant) -> Vec<(u64, DebitOutcome)> {
        self.advance(now);
        let mut outcomes = Vec::new();
        let mut left = VecDeque::new();
        let mut blocked = false;
        while let Some(debit) = self.waiting.pop_front() {
            let amount = NanoTokens::from(debit.amount) * NANOS_PER_TOKEN;
            let fits = amount <= self.bucket.burst;
            if !blocked && fits && self.bucket.take(amount) {
                self.refundable.push_back(Refundable { id: debit.id, left: amount });
                self.refund_total += amount;
                outcomes.push((debit.id, DebitOutcome::Granted));
            } else if debit.expires <= now {
                outcomes.push((debit.id, DebitOutcome::Refused(self.time_until(amount))));
            } else {
                blocked |= fits;
                left.push_back(debit);
            }
        }
        self.waiting = left;
        outcomes
    }

    /// Gives back what a granted debit did not use.
    ///
    /// Tokens that the bucket could not have kept, had they never been taken, are lost.
    pub fn refund(&mut self, now: Instant, id: u64, unused: u64) {
        self.advance(now);
        let Some(at) = self.refundable.iter().position(|item| item.id == id) else { return };
        let Some(item) = self.refundable.remove(at) else { return };
        self.refund_total -= item.left;
        self.bucket.add(item.left.min(NanoTokens::from(unused) * NANOS_PER_TOKEN));
    }

    /// When a waiting debit may next be granted or refused.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let expiry = self.waiting.iter().map(|debit| debit.expires).min()?;
        let mut amounts =
            self.waiting.iter().map(|debit| NanoTokens::from(debit.amount) * NANOS_PER_TOKEN);
        let head = amounts.find(|amount| *amount <= self.bucket.burst);
        let grant = head.map_or(expiry, |amount| now + self.time_until(amount));
        Some(grant.min(expiry).max(now + SHORTEST_WAIT))
    }

    /// Ends all loans and gives what is left of each.
    pub fn release(&mut self, now: Instant) -> Vec<(HostId, NanoTokens)> {
        self.advance(now);
        let burst = self.bucket.burst.max(1);
        let level = std::mem::take(&mut self.bucket.level);
        let loans = std::mem::take(&mut self.loans);
        self.refundable.clear();
        self.refund_total = 0;
        self.released = Some(now);
        self.resize(now);
        loans.into_iter().map(|(from, part)| (from, level * part.burst / burst)).collect()
    }

    /// When a debit last came.
    pub fn last_debit(&self) -> Instant {
        self.used
    }

    /// Lenders whose loans are in use.
    pub fn lenders(&self) -> impl Iterator<Item = &HostId> {
        self.loans.keys()
    }

    /// Tokens that could be taken now, and the most that could be.
    pub fn level(&self) -> (NanoTokens, NanoTokens) {
        (self.bucket.level, self.bucket.burst)
    }

    /// Whether debits wait.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Moves to `now`, ending loans at their own instants on the way.
    fn advance(&mut self, now: Instant) {
        while let Some(from) = self.next_end(now) {
            if let Some(part) = self.loans.remove(&from) {
                self.bucket.advance(part.ends);
                self.trim();
                self.resize(part.ends);
            }
        }
        self.bucket.advance(now);
        self.trim();
    }

    fn next_end(&self, now: Instant) -> Option<HostId> {
        let ended = self.loans.iter().filter(|(_, part)| part.ends <= now);
        ended.min_by_key(|(_, part)| part.ends).map(|(from, _)| from.clone())
    }

    fn resize(&mut self, now: Instant) {
        let rate = self.loans.values().map(|part| part.rate).sum();
        let burst = self.loans.values().map(|part| part.burst).sum();
        self.bucket.set_limits(now, rate, burst);
        self.trim();
    }

    /// Keeps the level and what may come back within the burst, oldest debits first.
    fn trim(&mut self) {
        let mut excess = (self.bucket.level + self.refund_total).saturating_sub(self.bucket.burst);
        while excess > 0 {
            let Some(item) = self.refundable.front_mut() else { return };
            let cut = item.left.min(excess);
            item.left -= cut;
            excess -= cut;
            self.refund_total -= cut;
            if item.left == 0 {
                self.refundable.pop_front();
            }
        }
    }

    fn time_until(&self, amount: NanoTokens) -> Duration {
        let missing = amount.saturating_sub(self.bucket.level);
        nano::time_for(missing, self.bucket.rate).unwrap_or(Duration::from_secs(1))
    }
}
