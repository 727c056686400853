//! Lends the shares that a host owns.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::bucket::Bucket;
use crate::host_id::HostId;
use crate::nano::{NANOS_PER_TOKEN, NanoTokens};

/// How long a loan lasts unless it is renewed.
pub const LOAN_DURATION: Duration = Duration::from_millis(2_500);

/// A customer's limit and the shares that it is cut into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CustomerLimit {
    /// Tokens per second over all hosts.
    pub rate: u64,
    /// Tokens that may be taken at once over all hosts.
    pub burst: u64,
    /// Shares of all data centres.
    pub shares: u32,
}

impl CustomerLimit {
    /// Rate and burst of some of the shares, rounded down.
    fn part(&self, owned: u32) -> (NanoTokens, NanoTokens) {
        let shares = NanoTokens::from(self.shares.max(1));
        let owned = NanoTokens::from(owned.min(self.shares));
        let cut = |whole: u64| NanoTokens::from(whole) * NANOS_PER_TOKEN / shares * owned;
        (cut(self.rate), cut(self.burst))
    }
}

/// A part of a customer's limit, lent for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Rate, in billionths of tokens a second.
    pub rate: NanoTokens,
    /// Burst, in billionths of tokens.
    pub burst: NanoTokens,
    /// Tokens that come with it, in billionths; 0 when it is renewed.
    pub tokens: NanoTokens,
    /// How long it lasts, in milliseconds, from when it was asked for.
    pub millis: u64,
}

impl Loan {
    /// Digest of rate and burst, by which a renewal names them.
    pub fn digest(&self) -> u16 {
        let mixed = (self.rate ^ self.burst.rotate_left(64)) % 65_521;
        mixed as u16
    }
}

/// Lends the shares that a host owns.
#[derive(Debug, Default)]
pub struct Lender {
    owned: u32,
    since: Option<Instant>,
    until: Option<Instant>,
    closing: bool,
    lots: HashMap<Arc<str>, Lot>,
}

/// The shares of one customer.
#[derive(Debug)]
struct Lot {
    home: Bucket,
    lent: Option<Lent>,
}

#[derive(Debug)]
struct Lent {
    to: HostId,
    ask: u64,
    ends: Instant,
}

/// One request for a loan.
#[derive(Clone, Copy, Debug)]
pub struct LoanRequest<'a> {
    /// The customer.
    pub customer: &'a Arc<str>,
    /// Its limit.
    pub limit: CustomerLimit,
    /// Who asks.
    pub to: &'a HostId,
    /// Number of the request, growing within one run of the asking host.
    pub number: u64,
}

impl Lender {
    /// Sets how many shares the host owns, from `since` until `until`.
    ///
    /// A share that an earlier owner may still have lent must be given a `since` at which
    /// such a loan has surely ended. Buckets are empty at `since`.
    pub fn set_owned(&mut self, now: Instant, owned: u32, since: Instant, until: Instant) {
        let lapsed = self.until.is_none_or(|until| until <= now);
        if lapsed || self.owned == 0 {
            self.lots.clear();
            self.since = Some(since);
        }
        self.owned = owned;
        self.until = Some(until);
    }

    /// Shares that the host owns at `now`.
    pub fn owned(&self, now: Instant) -> u32 {
        let begun = self.since.is_some_and(|since| since <= now);
        let lasts = self.until.is_some_and(|until| now < until);
        if begun && lasts { self.owned } else { 0 }
    }

    /// Lends no more, before the shares are given up.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Whether any loan may still be in use.
    pub fn has_loans(&self, now: Instant) -> bool {
        self.lots.values().any(|lot| lot.lent.as_ref().is_some_and(|lent| now < lent.ends))
    }

    /// Lends a customer's shares, or renews the loan.
    ///
    /// `now` is the instant of the answer. The lender waits longer than the borrower
    /// uses, by `drift` parts in a thousand for the clocks of both.
    pub fn lend(&mut self, now: Instant, ask: LoanRequest<'_>, drift: u32) -> Option<Loan> {
        let owned = self.owned(now);
        if owned == 0 || self.closing {
            return None;
        }
        let time = LOAN_DURATION.min(self.until? - now);
        let (rate, burst) = ask.limit.part(owned);
        let lot = self.lot(now, ask.customer, rate, burst)?;
        let (tokens, number) = match &lot.lent {
            Some(lent) if lent.to == *ask.to => (0, lent.ask.max(ask.number)),
            Some(_) => return None,
            None => (lot.home.drain(now), ask.number),
        };
        let ends = now + time + time * drift / 1_000;
        lot.lent = Some(Lent { to: ask.to.clone(), ask: number, ends });
        Some(Loan { rate, burst, tokens, millis: time.as_millis() as u64 })
    }

    /// Takes a loan back with what is left of it.
    ///
    /// `number` is that of the borrower's last request; one that came later keeps the loan.
    pub fn take_back(
        &mut self,
        now: Instant,
        customer: &Arc<str>,
        from: &HostId,
        number: u64,
        tokens: NanoTokens,
    ) {
        let Some(lot) = self.lots.get_mut(customer) else { return };
        let matches = |lent: &Lent| lent.to == *from && lent.ask <= number && now < lent.ends;
        if lot.lent.as_ref().is_some_and(matches) {
            lot.lent = None;
            lot.home.drain(now);
            lot.home.add(tokens);
        }
    }

    /// The lot of a customer, with an ended loan taken back empty.
    fn lot(
        &mut self,
        now: Instant,
        customer: &Arc<str>,
        rate: NanoTokens,
        burst: NanoTokens,
    ) -> Option<&mut Lot> {
        let since = self.since?;
        let lot = self
            .lots
            .entry(customer.clone())
            .or_insert_with(|| Lot { home: Bucket::new(since, rate, burst), lent: None });
        if let Some(lent) = lot.lent.take_if(|lent| lent.ends <= now) {
            lot.home = Bucket::new(lent.ends, rate, burst);
        }
        lot.home.set_limits(now, rate, burst);
        Some(lot)
    }
}
