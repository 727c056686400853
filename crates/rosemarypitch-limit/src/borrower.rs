//! Debits a customer's requests against the limit shares on loan to one host.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::bucket::Bucket;
use crate::host_id::HostId;
use crate::lender::Loan;
use crate::nano::{self, NANOS_PER_TOKEN, NanoTokens};

/// Shortest delay before waiting debits are polled again.
const MIN_POLL_DELAY: Duration = Duration::from_millis(1);

/// Request to take tokens from a customer's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Debit {
    /// Identifier, unique within one borrower.
    pub id: u64,
    /// Tokens to take.
    pub amount: u64,
    /// Time at which the debit is refused if it still waits.
    pub expires: Instant,
}

/// Outcome of a debit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DebitOutcome {
    /// The tokens were taken.
    Granted,
    /// The tokens were not available; the estimated time until they are.
    Refused(Duration),
}

/// Token bucket of one customer at one host, funded by loans from lenders.
#[derive(Debug)]
pub struct Borrower {
    bucket: Bucket,
    loans: BTreeMap<HostId, ActiveLoan>,
    waiting: VecDeque<Debit>,
    refundable: VecDeque<Refundable>,
    refund_total: NanoTokens,
    last_debit: Instant,
    released_at: Option<Instant>,
}

/// A loan that has not expired.
#[derive(Debug)]
struct ActiveLoan {
    rate: NanoTokens,
    burst: NanoTokens,
    ends: Instant,
}

/// A granted debit and how much of it a refund can still return.
#[derive(Debug)]
struct Refundable {
    id: u64,
    remaining: NanoTokens,
}

impl Borrower {
    /// Creates a borrower without loans.
    pub fn new(now: Instant) -> Self {
        Self {
            bucket: Bucket::new(now, 0, 0),
            loans: BTreeMap::new(),
            waiting: VecDeque::new(),
            refundable: VecDeque::new(),
            refund_total: 0,
            last_debit: now,
            released_at: None,
        }
    }

    /// Adds or renews a loan that was requested at `asked`.
    ///
    /// Ignored if it has expired or was not requested after the last release.
    pub fn accept(&mut self, now: Instant, asked: Instant, from: &HostId, loan: &Loan) {
        self.advance(now);
        let ends = asked + Duration::from_millis(loan.millis);
        let was_released = self.released_at.is_some_and(|released| asked <= released);
        if ends <= now || was_released {
            return;
        }
        let renewed = self.loans.contains_key(from);
        self.loans.insert(from.clone(), ActiveLoan { rate: loan.rate, burst: loan.burst, ends });
        self.update_limits(now);
        if !renewed {
            self.bucket.add(loan.tokens);
        }
        self.cap_refunds();
    }

    /// Returns the rate and burst of a lender's current loan, with tokens and duration 0.
    pub fn loan(&self, from: &HostId) -> Option<Loan> {
        let loan = self.loans.get(from)?;
        Some(Loan { rate: loan.rate, burst: loan.burst, tokens: 0, millis: 0 })
    }

    /// Queues a debit; [`Borrower::poll`] returns its outcome.
    pub fn debit(&mut self, now: Instant, debit: Debit) {
        self.last_debit = now;
        self.waiting.push_back(debit);
    }

    /// Cancels a waiting debit.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|debit| debit.id != id);
    }

    /// Grants or refuses waiting debits, in order of arrival.
    ///
    /// A debit above the current burst waits for more loans and does not block those behind
    /// it.
    pub fn poll(&mut self, now: Instant) -> Vec<(u64, DebitOutcome)> {
        self.advance(now);
        let mut outcomes = Vec::new();
        let mut still_waiting = VecDeque::new();
        let mut blocked = false;
        while let Some(debit) = self.waiting.pop_front() {
            let amount = NanoTokens::from(debit.amount) * NANOS_PER_TOKEN;
            let fits = amount <= self.bucket.burst;
            if !blocked && fits && self.bucket.take(amount) {
                self.refundable.push_back(Refundable { id: debit.id, remaining: amount });
                self.refund_total += amount;
                outcomes.push((debit.id, DebitOutcome::Granted));
            } else if debit.expires <= now {
                outcomes.push((debit.id, DebitOutcome::Refused(self.time_until(amount))));
            } else {
                blocked |= fits;
                still_waiting.push_back(debit);
            }
        }
        self.waiting = still_waiting;
        outcomes
    }

    /// Returns the unused tokens of a granted debit to the bucket.
    ///
    /// Tokens that would have overflowed the bucket had they never been taken are lost, so
    /// refunds cannot raise what a window admits.
    pub fn refund(&mut self, now: Instant, id: u64, unused: u64) {
        self.advance(now);
        let Some(index) = self.refundable.iter().position(|item| item.id == id) else { return };
        let Some(item) = self.refundable.remove(index) else { return };
        self.refund_total -= item.remaining;
        self.bucket.add(item.remaining.min(NanoTokens::from(unused) * NANOS_PER_TOKEN));
    }

    /// Earliest time at which a waiting debit may be granted or refused; none if none waits.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let expiry = self.waiting.iter().map(|debit| debit.expires).min()?;
        let mut amounts =
            self.waiting.iter().map(|debit| NanoTokens::from(debit.amount) * NANOS_PER_TOKEN);
        let head = amounts.find(|amount| *amount <= self.bucket.burst);
        let grant = head.map_or(expiry, |amount| now + self.time_until(amount));
        Some(grant.min(expiry).max(now + MIN_POLL_DELAY))
    }

    /// Ends all loans and returns the remaining tokens of each, in proportion to its burst.
    pub fn release(&mut self, now: Instant) -> Vec<(HostId, NanoTokens)> {
        self.advance(now);
        let burst = self.bucket.burst.max(1);
        let level = std::mem::take(&mut self.bucket.level);
        let loans = std::mem::take(&mut self.loans);
        self.refundable.clear();
        self.refund_total = 0;
        self.released_at = Some(now);
        self.update_limits(now);
        loans.into_iter().map(|(from, loan)| (from, level * loan.burst / burst)).collect()
    }

    /// Time of the last debit, or of creation.
    pub fn last_debit(&self) -> Instant {
        self.last_debit
    }

    /// Iterates over the lenders of all current loans.
    pub fn lenders(&self) -> impl Iterator<Item = &HostId> {
        self.loans.keys()
    }

    /// Level and burst of the bucket, at its last update.
    pub fn level(&self) -> (NanoTokens, NanoTokens) {
        (self.bucket.level, self.bucket.burst)
    }

    /// Whether any debit waits.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Advances to `now`, expiring each loan at its own end.
    fn advance(&mut self, now: Instant) {
        while let Some(from) = self.next_expired(now) {
            if let Some(loan) = self.loans.remove(&from) {
                self.bucket.advance(loan.ends);
                self.cap_refunds();
                self.update_limits(loan.ends);
            }
        }
        self.bucket.advance(now);
        self.cap_refunds();
    }

    fn next_expired(&self, now: Instant) -> Option<HostId> {
        let expired = self.loans.iter().filter(|(_, loan)| loan.ends <= now);
        expired.min_by_key(|(_, loan)| loan.ends).map(|(from, _)| from.clone())
    }

    /// Sets the bucket's rate and burst to the sums over all loans.
    fn update_limits(&mut self, now: Instant) {
        let rate = self.loans.values().map(|loan| loan.rate).sum();
        let burst = self.loans.values().map(|loan| loan.burst).sum();
        self.bucket.set_limits(now, rate, burst);
        self.cap_refunds();
    }

    /// Caps the level plus outstanding refunds at the burst, reducing the oldest refunds first.
    fn cap_refunds(&mut self) {
        let mut excess = (self.bucket.level + self.refund_total).saturating_sub(self.bucket.burst);
        while excess > 0 {
            let Some(item) = self.refundable.front_mut() else { return };
            let forfeited = item.remaining.min(excess);
            item.remaining -= forfeited;
            excess -= forfeited;
            self.refund_total -= forfeited;
            if item.remaining == 0 {
                self.refundable.pop_front();
            }
        }
    }

    /// Estimated time until `amount` is available; 1 s if the rate is 0.
    fn time_until(&self, amount: NanoTokens) -> Duration {
        let missing = amount.saturating_sub(self.bucket.level);
        nano::time_for(missing, self.bucket.rate).unwrap_or(Duration::from_secs(1))
    }
}
