//! Distributed rate limiting: one token bucket per customer over all hosts.
//!
//! A limit is divided into a fixed number of shares. Each share is owned by one host run for
//! a tenure, which [`ShareOwnership`] claims and renews. A [`Lender`] lends the shares that
//! its host owns, for a short time, to the one [`Borrower`] of a customer in a region, where
//! the customer's requests are debited. All three are pure state machines on the instants
//! given to them.
//!
//! Two invariants hold at every instant:
//!
//! - the rate of a share accrues in at most one place;
//! - the tokens that exist, including outstanding refunds, never exceed the burst.
//!
//! Therefore the tokens admitted in any window stay within rate x window + burst.

mod borrower;
mod bucket;
mod host_id;
mod lender;
mod nano;
mod ownership;

pub use borrower::{Borrower, Debit, DebitOutcome};
pub use bucket::Bucket;
pub use host_id::{HostId, rank, rendezvous};
pub use lender::{CustomerLimit, LOAN_DURATION, Lender, Loan, LoanRequest};
pub use nano::{NANOS_PER_TOKEN, NanoTokens};
pub use ownership::{OwnershipStep, ShareOwner, ShareOwnership, ShareRecord};
