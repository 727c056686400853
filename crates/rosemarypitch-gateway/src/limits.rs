//! Debits customers' limits, and lends this host's shares.
//!
//! For each customer one host of a region is the holder, chosen alike by all hosts; it
//! borrows the shares of the lenders it can reach and renews the loans while requests
//! come. When the holder cannot be reached, a host debits at itself and borrows what it
//! can: safety does not depend on who holds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rosemarypitch_config::Snapshot;
use rosemarypitch_limit::{
    Borrower, CustomerLimit, Debit, DebitOutcome, HostId, LOAN_DURATION, Lender, Loan,
    LoanRequest as LoanAsk, rank,
};
use rosemarypitch_peer::{
    Ask, BorrowAsk, BorrowItem, DebitAsk, DebitReply, ErrorKind, Giveback, Link, LoanReply, Reply,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::keeper::ConfigState;
use crate::view::View;

/// Messages that may wait for the actor.
const QUEUE: usize = 8_192;
/// Time between renewals of loans.
const RENEWAL: Duration = Duration::from_millis(800);
/// Time without debits after which loans are given back.
const IDLE: Duration = Duration::from_secs(10);
/// Longest wait for a lender's answer.
const LEND_TIME: Duration = Duration::from_millis(500);
/// Time that a debit's answer may take beyond its wait.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Groups of customers that have one holder each, so that their loans share messages.
const GROUPS: u64 = 16;
/// Time for which a holder that could not be reached is passed over.
const AVOID_TIME: Duration = Duration::from_secs(5);
/// Holders tried for one debit.
const MAX_HOLDERS: usize = 3;
/// How far clocks of two hosts may drift apart, in parts of a thousand.
const DRIFT: u32 = 50;

/// A granted debit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DebitTicket {
    /// The customer.
    pub customer: Arc<str>,
    /// Number of the debit at its holder.
    pub number: u64,
    /// Tokens taken.
    pub amount: u64,
    /// The holder, unless it is this host.
    pub holder: Option<SocketAddr>,
}

/// Handle of the limit actor.
#[derive(Clone)]
pub struct Limits {
    messages: mpsc::Sender<Message>,
    link: Arc<dyn Link>,
    view: watch::Receiver<Arc<View>>,
    avoided: Arc<Mutex<Vec<(HostId, Instant)>>>,
}

enum Message {
    Debit { ask: DebitAsk, reply: oneshot::Sender<DebitReply> },
    Refund { customer: Arc<str>, number: u64, unused: u64 },
    Borrow { from: HostId, ask: BorrowAsk, reply: oneshot::Sender<Vec<LoanReply>> },
    GiveBack { from: HostId, items: Vec<Giveback> },
    Lent { from: HostId, asked: Instant, customers: Vec<BorrowItem>, loans: Vec<LoanReply> },
    Owned { shares: u32, since: Instant, until: Instant },
    Close,
    HasLoans(oneshot::Sender<bool>),
}

impl Limits {
    /// Starts the actor.
    pub fn start(
        id: HostId,
        link: Arc<dyn Link>,
        view: watch::Receiver<Arc<View>>,
        config: watch::Receiver<ConfigState>,
    ) -> Self {
        let (messages, queue) = mpsc::channel(QUEUE);
        let handle = Self { messages, link, view, avoided: Arc::default() };
        let actor = Actor {
            id,
            handle: handle.clone(),
            config,
            lender: Lender::default(),
            holders: HashMap::new(),
            waiting: HashMap::new(),
            debits: 0,
            asks: 0,
            closing: false,
        };
        tokio::spawn(actor.run(queue));
        handle
    }

    /// Takes tokens of a customer's limit, waiting up to `wait`.
    ///
    /// The error is the time after which the tokens may be had.
    pub async fn debit(
        &self,
        customer: &Arc<str>,
        amount: u64,
        wait: Duration,
    ) -> Result<DebitTicket, Duration> {
        let wait_ms = wait.as_millis() as u64;
        let ask = DebitAsk { customer: customer.clone(), amount, wait_ms };
        let ticket =
            |number, holder| DebitTicket { customer: customer.clone(), number, amount, holder };
        let refused = |millis| Err(Duration::from_millis(millis));
        for _ in 0..MAX_HOLDERS {
            let Some((id, holder)) = self.remote_holder(customer) else { break };
            let limit = wait + ANSWER_TIME;
            match self.link.call(holder, &Ask::Debit(ask.clone()), limit).await {
                Ok(Reply::Debit(DebitReply::Granted(number))) => {
                    return Ok(ticket(number, Some(holder)));
                }
                Ok(Reply::Debit(DebitReply::Refused(millis))) => return refused(millis),
                Ok(_) => log::warn!("limits: holder {id} answered with nonsense"),
                Err(error) => log::warn!("limits: {error}"),
            }
            self.avoid(id);
        }
        match self.debit_here(ask).await {
            DebitReply::Granted(number) => Ok(ticket(number, None)),
            DebitReply::Refused(millis) => refused(millis),
        }
    }

    /// Gives back the unused part of a debit.
    pub async fn refund(&self, ticket: DebitTicket, unused: u64) {
        let DebitTicket { customer, number, holder, .. } = ticket;
        match holder {
            None => self.refund_here(customer, number, unused).await,
            Some(holder) => {
                let ask = Ask::Refund(customer, number, unused);
                if let Err(error) = self.link.call(holder, &ask, ANSWER_TIME).await {
                    log::debug!("limits: refund lost: {error}");
                }
            }
        }
    }

    /// Takes tokens at this host as the holder.
    pub async fn debit_here(&self, ask: DebitAsk) -> DebitReply {
        let (reply, answer) = oneshot::channel();
        let stopped = DebitReply::Refused(1_000);
        if self.messages.send(Message::Debit { ask, reply }).await.is_err() {
            return stopped;
        }
        answer.await.unwrap_or(stopped)
    }

    /// Gives back the unused part of a debit that this host holds.
    pub async fn refund_here(&self, customer: Arc<str>, number: u64, unused: u64) {
        let _ = self.messages.send(Message::Refund { customer, number, unused }).await;
    }

    /// Lends this host's shares.
    pub async fn borrow(&self, from: HostId, ask: BorrowAsk) -> Vec<LoanReply> {
        let (reply, answer) = oneshot::channel();
        if self.messages.send(Message::Borrow { from, ask, reply }).await.is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }

    /// Takes back loans.
    pub async fn give_back(&self, from: HostId, items: Vec<Giveback>) {
        let _ = self.messages.send(Message::GiveBack { from, items }).await;
    }

    /// Sets how many shares this host owns, and for how long.
    pub async fn set_owned(&self, shares: u32, since: Instant, until: Instant) {
        let _ = self.messages.send(Message::Owned { shares, since, until }).await;
    }

    /// Gives back all loans and lends no more; returns when no loan is left.
    pub async fn close(&self) {
        let _ = self.messages.send(Message::Close).await;
        while self.has_loans().await {
            tokio::time::sleep(RENEWAL / 10).await;
        }
    }

    /// Time after taking over a share before which an earlier owner's loans may last.
    pub fn quarantine() -> Duration {
        LOAN_DURATION + LOAN_DURATION * DRIFT / 1_000
    }

    async fn has_loans(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        let sent = self.messages.send(Message::HasLoans(reply)).await;
        sent.is_ok() && answer.await.unwrap_or(false)
    }

    /// The customer's holder, none for this host; one that was lost is passed over, and all
    /// hosts come to the same next one.
    fn remote_holder(&self, customer: &str) -> Option<(HostId, SocketAddr)> {
        let now = Instant::now();
        let avoided: Vec<HostId> = {
            let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
            avoided.retain(|(_, until)| now < *until);
            avoided.iter().map(|(id, _)| id.clone()).collect()
        };
        let view = self.view.borrow();
        let owner = view.owner_near_except(&holder_key(customer), &avoided)?;
        (!view.is_own(owner)).then(|| (owner.id.clone(), owner.address))
    }

    fn avoid(&self, id: HostId) {
        let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.push((id, Instant::now() + AVOID_TIME));
    }
}

fn holder_key(customer: &str) -> String {
    format!("limit/{}", rank("limit", customer) % GROUPS)
}

struct Actor {
    id: HostId,
    handle: Limits,
    config: watch::Receiver<ConfigState>,
    lender: Lender,
    holders: HashMap<Arc<str>, Held>,
    waiting: HashMap<u64, oneshot::Sender<DebitReply>>,
    debits: u64,
    asks: u64,
    closing: bool,
}

/// A customer that this host holds.
struct Held {
    holder: Borrower,
    asked: u64,
}

impl Actor {
    async fn run(mut self, mut queue: mpsc::Receiver<Message>) {
        let mut renewals = tokio::time::interval(RENEWAL);
        renewals.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let wake = self.next_wake();
            tokio::select! {
                message = queue.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                _ = renewals.tick() => self.renew(),
                () = sleep_until(wake) => self.poll_all(),
            }
        }
    }

    fn take(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Debit { ask, reply } => self.debit(now, ask, reply),
            Message::Refund { customer, number, unused } => {
                if let Some(held) = self.holders.get_mut(&customer) {
                    held.holder.refund(now, number, unused);
                    self.poll(now, &customer);
                }
            }
            Message::Borrow { from, ask, reply } => {
                let loans = self.lend(now, &from, &ask);
                let _ = reply.send(loans);
            }
            Message::GiveBack { from, items } => {
                for item in items {
                    let Giveback { customer, number, tokens } = item;
                    self.lender.take_back(now, &customer, &from, number, tokens);
                }
            }
            Message::Lent { from, asked, customers, loans } => {
                for (item, reply) in customers.iter().zip(loans) {
                    self.accept(now, asked, &from, item, reply);
                    self.poll(now, &item.customer);
                }
            }
            Message::Owned { shares, since, until } => {
                self.lender.set_owned(now, shares, since, until);
            }
            Message::Close => self.close(now),
            Message::HasLoans(reply) => {
                let _ = reply.send(self.lender.has_loans(now));
            }
        }
    }

    fn debit(&mut self, now: Instant, ask: DebitAsk, reply: oneshot::Sender<DebitReply>) {
        let DebitAsk { customer, amount, wait_ms } = ask;
        self.debits += 1;
        let expires = now + Duration::from_millis(wait_ms);
        let debit = Debit { id: self.debits, amount, expires };
        let is_new = !self.holders.contains_key(&customer);
        let held = self
            .holders
            .entry(customer.clone())
            .or_insert_with(|| Held { holder: Borrower::new(now), asked: 0 });
        held.holder.debit(now, debit);
        self.waiting.insert(debit.id, reply);
        if is_new {
            self.borrow(now, vec![customer.clone()]);
        }
        self.poll(now, &customer);
    }

    fn poll(&mut self, now: Instant, customer: &Arc<str>) {
        let Some(held) = self.holders.get_mut(customer) else { return };
        for (id, outcome) in held.holder.poll(now) {
            let Some(reply) = self.waiting.remove(&id) else { continue };
            let answer = match outcome {
                DebitOutcome::Granted => DebitReply::Granted(id),
                DebitOutcome::Refused(after) => DebitReply::Refused(after.as_millis() as u64),
            };
            // An asker that is gone has used nothing: its tokens go back.
            if reply.send(answer).is_err() && outcome == DebitOutcome::Granted {
                held.holder.refund(now, id, u64::MAX);
            }
        }
    }

    fn poll_all(&mut self) {
        let now = Instant::now();
        let customers: Vec<Arc<str>> = self.holders.keys().cloned().collect();
        for customer in customers {
            self.poll(now, &customer);
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        let now = Instant::now();
        self.holders.values().filter_map(|held| held.holder.next_wake(now)).min()
    }

    /// Renews loans in use and gives back those that are idle or another host's to hold.
    fn renew(&mut self) {
        let now = Instant::now();
        let view = self.handle.view.borrow().clone();
        let mut kept = Vec::new();
        let mut ended = Vec::new();
        for (customer, held) in &self.holders {
            let owner = view.owner_near(&holder_key(customer));
            let own = owner.is_none_or(|owner| view.is_own(owner));
            let own = own || now - held.holder.last_debit() < RENEWAL * 2;
            let idle = now - held.holder.last_debit() > IDLE;
            if (idle || !own || self.closing) && !held.holder.is_waiting() {
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

    /// Asks all lenders that can be reached for customers' shares.
    fn borrow(&mut self, now: Instant, customers: Vec<Arc<str>>) {
        self.asks += 1;
        for customer in &customers {
            if let Some(held) = self.holders.get_mut(customer) {
                held.asked = self.asks;
            }
        }
        let own = self.id.clone();
        let ask = self.borrow_ask(&own, &customers);
        let loans = self.lend(now, &own, &ask);
        for (item, reply) in ask.customers.iter().zip(loans) {
            self.accept(now, now, &own, item, reply);
        }
        let view = self.handle.view.borrow().clone();
        for lender in view.lenders().filter(|lender| !view.is_own(lender)) {
            let (id, address) = (lender.id.clone(), lender.address);
            let ask = self.borrow_ask(&id, &customers);
            tokio::spawn(ask_lender(self.handle.clone(), id, address, ask, now));
        }
    }

    fn borrow_ask(&self, lender: &HostId, customers: &[Arc<str>]) -> BorrowAsk {
        let item = |customer: &Arc<str>| {
            let loan = self.holders.get(customer).and_then(|held| held.holder.loan(lender));
            BorrowItem { customer: customer.clone(), known: loan.map(|loan| loan.digest()) }
        };
        BorrowAsk { number: self.asks, customers: customers.iter().map(item).collect() }
    }

    /// Takes in a lender's answer; a renewal keeps the terms of the present loan.
    fn accept(
        &mut self,
        now: Instant,
        asked: Instant,
        from: &HostId,
        item: &BorrowItem,
        reply: LoanReply,
    ) {
        let Some(held) = self.holders.get_mut(&item.customer) else { return };
        let loan = match reply {
            LoanReply::Refused => None,
            LoanReply::Lent(loan) => Some(loan),
            LoanReply::Renewed(millis) => {
                let present = held.holder.loan(from);
                let present = present.filter(|loan| item.known == Some(loan.digest()));
                present.map(|loan| Loan { millis, ..loan })
            }
        };
        if let Some(loan) = loan {
            held.holder.accept(now, asked, from, &loan);
        }
    }

    fn lend(&mut self, now: Instant, to: &HostId, ask: &BorrowAsk) -> Vec<LoanReply> {
        let snapshot = self.config.borrow().snapshot.clone();
        let lend = |item: &BorrowItem| {
            let customer = &item.customer;
            let Some(limit) = terms(&snapshot, customer) else { return LoanReply::Refused };
            let ask = LoanAsk { customer, limit, to, number: ask.number };
            match self.lender.lend(now, ask, DRIFT) {
                None => LoanReply::Refused,
                Some(loan) if loan.tokens == 0 && item.known == Some(loan.digest()) => {
                    LoanReply::Renewed(loan.millis)
                }
                Some(loan) => LoanReply::Lent(loan),
            }
        };
        ask.customers.iter().map(lend).collect()
    }

    /// Ends the holding of customers and gives back what is left.
    fn release(&mut self, now: Instant, customers: Vec<Arc<str>>) {
        let mut items: HashMap<HostId, Vec<Giveback>> = HashMap::new();
        for customer in customers {
            let Some(mut held) = self.holders.remove(&customer) else { continue };
            for (lender, tokens) in held.holder.release(now) {
                let item = Giveback { customer: customer.clone(), number: held.asked, tokens };
                items.entry(lender).or_default().push(item);
            }
        }
        let view = self.handle.view.borrow().clone();
        for (lender, items) in items {
            if lender == self.id {
                for Giveback { customer, number, tokens } in items {
                    self.lender.take_back(now, &customer, &lender, number, tokens);
                }
            } else if let Some(address) = view.address(&lender) {
                let link = self.handle.link.clone();
                tokio::spawn(async move {
                    let ask = Ask::GiveBack(items);
                    if let Err(error) = link.call(address, &ask, LEND_TIME).await {
                        log::debug!("limits: give-back lost: {error}");
                    }
                });
            }
        }
    }

    fn close(&mut self, now: Instant) {
        self.closing = true;
        self.lender.close();
        let ended = self.holders.iter().filter(|(_, held)| !held.holder.is_waiting());
        let ended = ended.map(|(customer, _)| customer.clone()).collect();
        self.release(now, ended);
    }
}

async fn ask_lender(
    limits: Limits,
    from: HostId,
    address: SocketAddr,
    ask: BorrowAsk,
    asked: Instant,
) {
    let customers = ask.customers.clone();
    match limits.link.call(address, &Ask::Borrow(ask), LEND_TIME).await {
        Ok(Reply::Loans(loans)) => {
            let message = Message::Lent { from, asked, customers, loans };
            let _ = limits.messages.send(message).await;
        }
        Ok(_) => log::warn!("limits: lender {from} answered with nonsense"),
        Err(error) if error.kind == ErrorKind::Connect => {}
        Err(error) => log::debug!("limits: {error}"),
    }
}

fn terms(snapshot: &Snapshot, customer: &str) -> Option<CustomerLimit> {
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
