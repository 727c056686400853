//! Rate and burst of a customer over all hosts together.
//!
//! A limit is cut into a fixed number of shares, each owned by one run of one host for a
//! [`ShareOwnership`]. A [`Lender`] lends the shares that its host owns, for a short time, to the
//! one [`Borrower`] of a customer in a region, where requests are debited. All are pure
//! state machines on the instants given to them. What holds at every instant:
//!
//! - a share's rate accrues in one place at most;
//! - the tokens that exist, refunds to come included, never exceed the burst.
//!
//! Hence the tokens admitted in any window stay within rate x window + burst.

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
