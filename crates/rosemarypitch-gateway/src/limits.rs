//! Debits customers' rate limits and lends this host's limit shares.
//!
//! Each customer has one borrower per region: a host that debits the customer's requests and
//! that all hosts choose by the same rendezvous hash. It takes loans of shares from the
//! lenders it can reach and renews them while requests arrive. When the borrower is
//! unreachable, a host tries the next candidates and then debits locally with the shares it
//! can borrow. The limit is never exceeded even if several hosts act as borrower, because
//! each lender lends a share to one host at a time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rosemarypitch_config::Snapshot;
use rosemarypitch_limit::{
    Borrower, CustomerLimit, Debit, DebitOutcome, HostId, LOAN_DURATION, Lender, Loan, LoanRequest,
    rank,
};
use rosemarypitch_peer::{
    BorrowItem, BorrowRequest, DebitReply, DebitRequest, ErrorKind, LoanReply, LoanReturn,
    PeerReply, PeerRequest, PeerTransport,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::config_sync::ConfigState;
use crate::view::View;

/// Capacity of the actor's message queue.
const QUEUE_CAPACITY: usize = 8_192;
/// Interval between loan renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(800);
/// Time since a customer's last debit after which its loans are returned.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for calls to a lender.
const LENDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for calls to a borrower; a debit's maximum wait is added.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of customer groups; a group has one borrower, so its loans share messages to lenders.
const CUSTOMER_GROUPS: u64 = 16;
/// How long a borrower is skipped after a failed call.
const AVOID_DURATION: Duration = Duration::from_secs(5);
/// Maximum number of remote borrowers tried for one debit.
const MAX_REMOTE_BORROWERS: usize = 3;
/// Allowed clock drift between two hosts, in thousandths.
const CLOCK_DRIFT_PERMILLE: u32 = 50;

/// A granted debit, as needed for a refund.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedDebit {
    /// The customer.
    pub customer: Arc<str>,
    /// Number that the borrower assigned to the debit.
    pub number: u64,
    /// Number of tokens debited.
    pub amount: u64,
    /// Address of the borrower; `None` means this host.
    pub borrower: Option<SocketAddr>,
}

/// Handle to the rate limit actor.
#[derive(Clone)]
pub struct Limits {
    messages: mpsc::Sender<Message>,
    transport: Arc<dyn PeerTransport>,
    view: watch::Receiver<Arc<View>>,
    /// Borrowers to skip, each until the given instant.
    avoided: Arc<Mutex<Vec<(HostId, Instant)>>>,
}

enum Message {
    Debit {
        request: DebitRequest,
        reply: oneshot::Sender<DebitReply>,
    },
    Refund {
        customer: Arc<str>,
        number: u64,
        unused: u64,
    },
    Borrow {
        from: HostId,
        request: BorrowRequest,
        reply: oneshot::Sender<Vec<LoanReply>>,
    },
    ReturnLoans {
        from: HostId,
        items: Vec<LoanReturn>,
    },
    LoanReplies {
        from: HostId,
        requested_at: Instant,
        items: Vec<BorrowItem>,
        replies: Vec<LoanReply>,
    },
    SetOwned {
        shares: u32,
        since: Instant,
        until: Instant,
    },
    Close,
    HasLoans(oneshot::Sender<bool>),
}

impl Limits {
    /// Spawns the actor and returns its handle.
    pub fn start(
        id: HostId,
        transport: Arc<dyn PeerTransport>,
        view: watch::Receiver<Arc<View>>,
        config: watch::Receiver<ConfigState>,
    ) -> Self {
        let (messages, queue) = mpsc::channel(QUEUE_CAPACITY);
        let handle = Self { messages, transport, view, avoided: Arc::default() };
        let actor = Actor {
            id,
            handle: handle.clone(),
            config,
            lender: Lender::default(),
            customers: HashMap::new(),
            pending: HashMap::new(),
            debit_count: 0,
            borrow_count: 0,
            closing: false,
        };
        tokio::spawn(actor.run(queue));
        handle
    }

    /// Debits tokens from a customer's limit, waiting up to `wait`.
    ///
    /// A refusal returns the time after which the tokens may be available.
    pub async fn debit(
        &self,
        customer: &Arc<str>,
        amount: u64,
        wait: Duration,
    ) -> Result<GrantedDebit, Duration> {
        let wait_ms = wait.as_millis() as u64;
        let request = DebitRequest { customer: customer.clone(), amount, wait_ms };
        let granted = |number, borrower| GrantedDebit {
            customer: customer.clone(),
            number,
            amount,
            borrower,
        };
        let refused = |millis| Err(Duration::from_millis(millis));
        for _ in 0..MAX_REMOTE_BORROWERS {
            let Some((id, borrower)) = self.remote_borrower(customer) else { break };
            let timeout = wait + REPLY_TIMEOUT;
            match self.transport.call(borrower, &PeerRequest::Debit(request.clone()), timeout).await
            {
                Ok(PeerReply::Debit(DebitReply::Granted(number))) => {
                    return Ok(granted(number, Some(borrower)));
                }
                Ok(PeerReply::Debit(DebitReply::Refused(millis))) => return refused(millis),
                Ok(_) => log::warn!("limits: unexpected reply from borrower {id}"),
                Err(error) => log::warn!("limits: {error}"),
            }
            self.avoid(id);
        }
        match self.debit_locally(request).await {
            DebitReply::Granted(number) => Ok(granted(number, None)),
            DebitReply::Refused(millis) => refused(millis),
        }
    }

    /// Refunds the unused part of a debit; a refund that does not reach the borrower is lost.
    pub async fn refund(&self, granted: GrantedDebit, unused: u64) {
        let GrantedDebit { customer, number, borrower, .. } = granted;
        match borrower {
            None => self.refund_locally(customer, number, unused).await,
            Some(borrower) => {
                let request = PeerRequest::Refund(customer, number, unused);
                if let Err(error) = self.transport.call(borrower, &request, REPLY_TIMEOUT).await {
                    log::debug!("limits: refund failed: {error}");
                }
            }
        }
    }

    /// Debits tokens from the shares that this host has borrowed.
    pub async fn debit_locally(&self, request: DebitRequest) -> DebitReply {
        let (reply, answer) = oneshot::channel();
        let stopped = DebitReply::Refused(1_000);
        if self.messages.send(Message::Debit { request, reply }).await.is_err() {
            return stopped;
        }
        answer.await.unwrap_or(stopped)
    }

    /// Refunds the unused part of a debit granted by this host.
    pub async fn refund_locally(&self, customer: Arc<str>, number: u64, unused: u64) {
        let _ = self.messages.send(Message::Refund { customer, number, unused }).await;
    }

    /// Lends this host's shares to another host; returns one reply per customer.
    pub async fn borrow(&self, from: HostId, request: BorrowRequest) -> Vec<LoanReply> {
        let (reply, answer) = oneshot::channel();
        if self.messages.send(Message::Borrow { from, request, reply }).await.is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }

    /// Accepts loans that another host returns.
    pub async fn return_loans(&self, from: HostId, items: Vec<LoanReturn>) {
        let _ = self.messages.send(Message::ReturnLoans { from, items }).await;
    }

    /// Sets how many shares this host owns between `since` and `until`.
    pub async fn set_owned(&self, shares: u32, since: Instant, until: Instant) {
        let _ = self.messages.send(Message::SetOwned { shares, since, until }).await;
    }

    /// Returns all borrowed shares and stops lending; completes when no own loan is left.
    pub async fn close(&self) {
        let _ = self.messages.send(Message::Close).await;
        while self.has_loans().await {
            tokio::time::sleep(RENEWAL_INTERVAL / 10).await;
        }
    }

    /// Time after taking over a share during which its previous owner's loans may still run.
    pub fn quarantine() -> Duration {
        LOAN_DURATION + LOAN_DURATION * CLOCK_DRIFT_PERMILLE / 1_000
    }

    async fn has_loans(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        let sent = self.messages.send(Message::HasLoans(reply)).await;
        sent.is_ok() && answer.await.unwrap_or(false)
    }

    /// Returns the customer's borrower, or `None` if it is this host.
    ///
    /// Skips borrowers that recently failed; all hosts choose the same next one.
    fn remote_borrower(&self, customer: &str) -> Option<(HostId, SocketAddr)> {
        let now = Instant::now();
        let avoided: Vec<HostId> = {
            let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
            avoided.retain(|(_, until)| now < *until);
            avoided.iter().map(|(id, _)| id.clone()).collect()
        };
        let view = self.view.borrow();
        let owner = view.region_owner_except(&borrower_key(customer), &avoided)?;
        (!view.is_own(owner)).then(|| (owner.id.clone(), owner.address))
    }

    /// Skips a borrower for [`AVOID_DURATION`].
    fn avoid(&self, id: HostId) {
        let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.push((id, Instant::now() + AVOID_DURATION));
    }
}

/// Returns the key that is hashed to choose a customer's borrower.
fn borrower_key(customer: &str) -> String {
    format!("limit/{}", rank("limit", customer) % CUSTOMER_GROUPS)
}

struct Actor {
    id: HostId,
    handle: Limits,
    config: watch::Receiver<ConfigState>,
    lender: Lender,
    customers: HashMap<Arc<str>, CustomerState>,
    pending: HashMap<u64, oneshot::Sender<DebitReply>>,
    debit_count: u64,
    borrow_count: u64,
    closing: bool,
}

/// State of a customer whose borrower is this host.
struct CustomerState {
    borrower: Borrower,
    /// Number of the last borrow request for the customer.
    last_borrow: u64,
}

impl Actor {
    async fn run(mut self, mut queue: mpsc::Receiver<Message>) {
        let mut renewals = tokio::time::interval(RENEWAL_INTERVAL);
        renewals.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let wake = self.next_wake();
            tokio::select! {
                message = queue.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                _ = renewals.tick() => self.renew(),
                () = sleep_until(wake) => self.poll_all(),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Debit { request, reply } => self.debit(now, request, reply),
            Message::Refund { customer, number, unused } => {
                if let Some(state) = self.customers.get_mut(&customer) {
                    state.borrower.refund(now, number, unused);
                    self.poll(now, &customer);
                }
            }
            Message::Borrow { from, request, reply } => {
                let loans = self.lend(now, &from, &request);
                let _ = reply.send(loans);
            }
            Message::ReturnLoans { from, items } => {
                for item in items {
                    let LoanReturn { customer, number, tokens } = item;
                    self.lender.take_back(now, &customer, &from, number, tokens);
                }
            }
            Message::LoanReplies { from, requested_at, items, replies } => {
                for (item, reply) in items.iter().zip(replies) {
                    self.accept(now, requested_at, &from, item, reply);
                    self.poll(now, &item.customer);
                }
            }
            Message::SetOwned { shares, since, until } => {
                self.lender.set_owned(now, shares, since, until);
            }
            Message::Close => self.close(now),
            Message::HasLoans(reply) => {
                let _ = reply.send(self.lender.has_loans(now));
            }
        }
    }

    fn debit(&mut self, now: Instant, request: DebitRequest, reply: oneshot::Sender<DebitReply>) {
        let DebitRequest { customer, amount, wait_ms } = request;
        self.debit_count += 1;
        let expires = now + Duration::from_millis(wait_ms);
        let debit = Debit { id: self.debit_count, amount, expires };
        let is_new = !self.customers.contains_key(&customer);
        let state = self
            .customers
            .entry(customer.clone())
            .or_insert_with(|| CustomerState { borrower: Borrower::new(now), last_borrow: 0 });
        state.borrower.debit(now, debit);
        self.pending.insert(debit.id, reply);
        if is_new {
            self.borrow(now, vec![customer.clone()]);
        }
        self.poll(now, &customer);
    }

    fn poll(&mut self, now: Instant, customer: &Arc<str>) {
        let Some(state) = self.customers.get_mut(customer) else { return };
        for (id, outcome) in state.borrower.poll(now) {
            let Some(reply) = self.pending.remove(&id) else { continue };
            let answer = match outcome {
                DebitOutcome::Granted => DebitReply::Granted(id),
                DebitOutcome::Refused(after) => DebitReply::Refused(after.as_millis() as u64),
            };
            // The requester no longer waits and used nothing, so refund the whole debit.
            if reply.send(answer).is_err() && outcome == DebitOutcome::Granted {
                state.borrower.refund(now, id, u64::MAX);
            }
        }
    }

    fn poll_all(&mut self) {
        let now = Instant::now();
        let customers: Vec<Arc<str>> = self.customers.keys().cloned().collect();
        for customer in customers {
            self.poll(now, &customer);
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        let now = Instant::now();
        self.customers.values().filter_map(|state| state.borrower.next_wake(now)).min()
    }

    /// Renews loans in use; returns those that are idle or whose borrower is another host.
    fn renew(&mut self) {
        let now = Instant::now();
        let view = self.handle.view.borrow().clone();
        let mut kept = Vec::new();
        let mut ended = Vec::new();
        for (customer, state) in &self.customers {
            let owner = view.region_owner(&borrower_key(customer));
            let own = owner.is_none_or(|owner| view.is_own(owner));
            let own = own || now - state.borrower.last_debit() < RENEWAL_INTERVAL * 2;
            let idle = now - state.borrower.last_debit() > IDLE_TIMEOUT;
            if (idle || !own || self.closing) && !state.borrower.is_waiting() {
                ended.push(customer.clone());
            } else {
                kept.push(customer.clone());
            }
        }
        self.release(now, ended);
        if !kept.is_empty() {
            self.borrow(now, kept);
        }
    }

    /// Requests loans of customers' shares from all lenders in the view.
    fn borrow(&mut self, now: Instant, customers: Vec<Arc<str>>) {
        self.borrow_count += 1;
        for customer in &customers {
            if let Some(state) = self.customers.get_mut(customer) {
                state.last_borrow = self.borrow_count;
            }
        }
        let own = self.id.clone();
        let request = self.borrow_request(&own, &customers);
        let loans = self.lend(now, &own, &request);
        for (item, reply) in request.customers.iter().zip(loans) {
            self.accept(now, now, &own, item, reply);
        }
        let view = self.handle.view.borrow().clone();
        for lender in view.lenders().filter(|lender| !view.is_own(lender)) {
            let (id, address) = (lender.id.clone(), lender.address);
            let request = self.borrow_request(&id, &customers);
            tokio::spawn(request_loans(self.handle.clone(), id, address, request, now));
        }
    }

    fn borrow_request(&self, lender: &HostId, customers: &[Arc<str>]) -> BorrowRequest {
        let item = |customer: &Arc<str>| {
            let loan = self.customers.get(customer).and_then(|state| state.borrower.loan(lender));
            BorrowItem { customer: customer.clone(), loan_digest: loan.map(|loan| loan.digest()) }
        };
        BorrowRequest { number: self.borrow_count, customers: customers.iter().map(item).collect() }
    }

    /// Applies a lender's reply; a renewal keeps the rate and burst of the current loan.
    fn accept(
        &mut self,
        now: Instant,
        requested_at: Instant,
        from: &HostId,
        item: &BorrowItem,
        reply: LoanReply,
    ) {
        let Some(state) = self.customers.get_mut(&item.customer) else { return };
        let loan = match reply {
            LoanReply::Refused => None,
            LoanReply::Lent(loan) => Some(loan),
            LoanReply::Renewed(millis) => {
                let current = state.borrower.loan(from);
                let current = current.filter(|loan| item.loan_digest == Some(loan.digest()));
                current.map(|loan| Loan { millis, ..loan })
            }
        };
        if let Some(loan) = loan {
            state.borrower.accept(now, requested_at, from, &loan);
        }
    }

    fn lend(&mut self, now: Instant, to: &HostId, request: &BorrowRequest) -> Vec<LoanReply> {
        let snapshot = self.config.borrow().snapshot.clone();
        let lend = |item: &BorrowItem| {
            let customer = &item.customer;
            let Some(limit) = customer_limit(&snapshot, customer) else {
                return LoanReply::Refused;
            };
            let request = LoanRequest { customer, limit, to, number: request.number };
            match self.lender.lend(now, request, CLOCK_DRIFT_PERMILLE) {
                None => LoanReply::Refused,
                Some(loan) if loan.tokens == 0 && item.loan_digest == Some(loan.digest()) => {
                    LoanReply::Renewed(loan.millis)
                }
                Some(loan) => LoanReply::Lent(loan),
            }
        };
        request.customers.iter().map(lend).collect()
    }

    /// Stops acting as borrower for customers and returns their remaining tokens to the lenders.
    fn release(&mut self, now: Instant, customers: Vec<Arc<str>>) {
        let mut items: HashMap<HostId, Vec<LoanReturn>> = HashMap::new();
        for customer in customers {
            let Some(mut state) = self.customers.remove(&customer) else { continue };
            for (lender, tokens) in state.borrower.release(now) {
                let item =
                    LoanReturn { customer: customer.clone(), number: state.last_borrow, tokens };
                items.entry(lender).or_default().push(item);
            }
        }
        let view = self.handle.view.borrow().clone();
        for (lender, items) in items {
            if lender == self.id {
                for LoanReturn { customer, number, tokens } in items {
                    self.lender.take_back(now, &customer, &lender, number, tokens);
                }
            } else if let Some(address) = view.address(&lender) {
                let transport = self.handle.transport.clone();
                tokio::spawn(async move {
                    let request = PeerRequest::ReturnLoans(items);
                    if let Err(error) = transport.call(address, &request, LENDER_TIMEOUT).await {
                        log::debug!("limits: returning loans failed: {error}");
                    }
                });
            }
        }
    }

    fn close(&mut self, now: Instant) {
        self.closing = true;
        self.lender.close();
        let ended = self.customers.iter().filter(|(_, state)| !state.borrower.is_waiting());
        let ended = ended.map(|(customer, _)| customer.clone()).collect();
        self.release(now, ended);
    }
}

async fn request_loans(
    limits: Limits,
    from: HostId,
    address: SocketAddr,
    request: BorrowRequest,
    requested_at: Instant,
) {
    let items = request.customers.clone();
    match limits.transport.call(address, &PeerRequest::Borrow(request), LENDER_TIMEOUT).await {
        Ok(PeerReply::Loans(replies)) => {
            let message = Message::LoanReplies { from, requested_at, items, replies };
            let _ = limits.messages.send(message).await;
        }
        Ok(_) => log::warn!("limits: unexpected reply from lender {from}"),
        Err(error) if error.kind == ErrorKind::Connect => {}
        Err(error) => log::debug!("limits: {error}"),
    }
}

fn customer_limit(snapshot: &Snapshot, customer: &str) -> Option<CustomerLimit> {
    let limit = snapshot.document.customers.get(customer)?.limit;
    let shares = snapshot.document.share_count();
    Some(CustomerLimit { rate: limit.rate, burst: limit.burst, shares })
}

async fn sleep_until(instant: Option<Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}
