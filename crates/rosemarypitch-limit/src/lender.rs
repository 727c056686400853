//! Lends the limit shares that a host owns to the hosts that debit customers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::bucket::Bucket;
use crate::host_id::HostId;
use crate::nano::{NANOS_PER_TOKEN, NanoTokens};

/// Duration of a loan from its request, unless renewed.
pub const LOAN_DURATION: Duration = Duration::from_millis(2_500);

/// A customer's limit and the number of shares that it is divided into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CustomerLimit {
    /// Tokens per second over all hosts.
    pub rate: u64,
    /// Maximum burst, in tokens, over all hosts.
    pub burst: u64,
    /// Total number of shares over all data centres.
    pub shares: u32,
}

impl CustomerLimit {
    /// Rate and burst of `owned` shares, rounded down.
    fn portion(&self, owned: u32) -> (NanoTokens, NanoTokens) {
        let shares = NanoTokens::from(self.shares.max(1));
        let owned = NanoTokens::from(owned.min(self.shares));
        let scale = |whole: u64| NanoTokens::from(whole) * NANOS_PER_TOKEN / shares * owned;
        (scale(self.rate), scale(self.burst))
    }
}

/// A portion of a customer's limit, on loan for a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Rate, in billionths of a token per second.
    pub rate: NanoTokens,
    /// Burst, in billionths of a token.
    pub burst: NanoTokens,
    /// Tokens transferred with the loan, in billionths; 0 for a renewal.
    pub tokens: NanoTokens,
    /// Duration in milliseconds, counted from the request.
    pub millis: u64,
}

impl Loan {
    /// Digest of rate and burst, by which a renewal request identifies the current loan.
    pub fn digest(&self) -> u16 {
        let mixed = (self.rate ^ self.burst.rotate_left(64)) % 65_521;
        mixed as u16
    }
}

/// Lends the shares that a host owns, each customer's to one borrower at a time.
#[derive(Debug, Default)]
pub struct Lender {
    owned: u32,
    since: Option<Instant>,
    until: Option<Instant>,
    closing: bool,
    accounts: HashMap<Arc<str>, Account>,
}

/// Owned shares of one customer: a bucket for what is not on loan, and the loan.
#[derive(Debug)]
struct Account {
    bucket: Bucket,
    loan: Option<OpenLoan>,
}

/// A loan that its borrower may still use.
#[derive(Debug)]
struct OpenLoan {
    borrower: HostId,
    request: u64,
    ends: Instant,
}

/// A request for a loan of all owned shares of one customer.
#[derive(Clone, Copy, Debug)]
pub struct LoanRequest<'a> {
    /// The customer.
    pub customer: &'a Arc<str>,
    /// Limit of the customer.
    pub limit: CustomerLimit,
    /// Host run that borrows.
    pub to: &'a HostId,
    /// Number of the request, increasing within one run of the borrower.
    pub number: u64,
}

impl Lender {
    /// Sets how many shares the host owns, from `since` until `until`.
    ///
    /// If an earlier owner may have lent a share, `since` must be late enough for all such
    /// loans to have ended. Buckets are empty at `since`.
    pub fn set_owned(&mut self, now: Instant, owned: u32, since: Instant, until: Instant) {
        let expired = self.until.is_none_or(|until| until <= now);
        if expired || self.owned == 0 {
            self.accounts.clear();
            self.since = Some(since);
        }
        self.owned = owned;
        self.until = Some(until);
    }

    /// Number of shares that the host owns at `now`.
    pub fn owned(&self, now: Instant) -> u32 {
        let has_started = self.since.is_some_and(|since| since <= now);
        let is_valid = self.until.is_some_and(|until| now < until);
        if has_started && is_valid { self.owned } else { 0 }
    }

    /// Stops lending, in preparation for releasing the shares.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Whether any borrower may still use a loan.
    pub fn has_loans(&self, now: Instant) -> bool {
        self.accounts
            .values()
            .any(|account| account.loan.as_ref().is_some_and(|loan| now < loan.ends))
    }

    /// Lends a customer's shares, or renews the loan.
    ///
    /// Returns `None` if the host owns no shares, is closing, or has lent them to another
    /// host run. `now` is the time of the reply. The lender extends its own end of the loan
    /// by `drift` thousandths, to allow for clock drift between the two hosts.
    pub fn lend(&mut self, now: Instant, request: LoanRequest<'_>, drift: u32) -> Option<Loan> {
        let owned = self.owned(now);
        if owned == 0 || self.closing {
            return None;
        }
        let duration = LOAN_DURATION.min(self.until? - now);
        let (rate, burst) = request.limit.portion(owned);
        let account = self.account(now, request.customer, rate, burst)?;
        let (tokens, number) = match &account.loan {
            Some(loan) if loan.borrower == *request.to => (0, loan.request.max(request.number)),
            Some(_) => return None,
            None => (account.bucket.drain(now), request.number),
        };
        let ends = now + duration + duration * drift / 1_000;
        account.loan = Some(OpenLoan { borrower: request.to.clone(), request: number, ends });
        Some(Loan { rate, burst, tokens, millis: duration.as_millis() as u64 })
    }

    /// Ends a loan early and credits its remaining tokens.
    ///
    /// `number` is the borrower's last request as of the return. If a later request has
    /// renewed the loan since, or the loan has ended, the return is ignored.
    pub fn take_back(
        &mut self,
        now: Instant,
        customer: &Arc<str>,
        from: &HostId,
        number: u64,
        tokens: NanoTokens,
    ) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let matches = |l: &OpenLoan| l.borrower == *from && l.request <= number && now < l.ends;
        if account.loan.as_ref().is_some_and(matches) {
            account.loan = None;
            account.bucket.drain(now);
            account.bucket.add(tokens);
        }
    }

    /// Returns the account of a customer; a loan that has ended leaves an empty bucket.
    fn account(
        &mut self,
        now: Instant,
        customer: &Arc<str>,
        rate: NanoTokens,
        burst: NanoTokens,
    ) -> Option<&mut Account> {
        let since = self.since?;
        let account = self
            .accounts
            .entry(customer.clone())
            .or_insert_with(|| Account { bucket: Bucket::new(since, rate, burst), loan: None });
        if let Some(loan) = account.loan.take_if(|loan| loan.ends <= now) {
            account.bucket = Bucket::new(loan.ends, rate, burst);
        }
        account.bucket.set_limits(now, rate, burst);
        Some(account)
    }
}
