//! Simulation test: the tokens admitted in every window stay within rate x window + burst.
//!
//! A seeded simulation runs hosts with drifting clocks that exchange loans over a network
//! that delays, loses and reorders messages. Hosts pause, crash, restart under the same name,
//! hand over and lose the connection to the platform. Every granted debit is recorded at
//! simulated true time with the tokens that were used of it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_limit::{
    Borrower, CustomerLimit, Debit, DebitOutcome, HostId, LOAN_DURATION, Lender, Loan, LoanRequest,
    OwnershipStep, ShareOwnership, ShareRecord,
};
use tokio::time::Instant;

const RATE: u64 = 1_000;
const BURST: u64 = 3_000;
const SHARES: u32 = 4;
const HOSTS: usize = 4;
const STEP: Duration = Duration::from_millis(50);
const STEPS: u32 = 2_400;
const PHASE_STEPS: u32 = 100;
const TENURE: Duration = Duration::from_secs(20);
const DRIFT: u32 = 50;

/// Faults that are planted to show that the check detects them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlantedFault {
    None,
    /// The lender reclaims a loan as soon as it has made it.
    EarlyReturn,
    /// A new owner lends shares at once, while loans of an earlier owner may still run.
    NoQuarantine,
    /// A refund is credited in full, without a cap.
    FullRefund,
}

/// Xorshift generator, so that runs are the same on every platform.
struct Rng(u64);

impl Rng {
    fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % below
    }

    fn one_in(&mut self, count: u64) -> bool {
        self.next(count) == 0
    }
}

/// A message in transit.
enum Message {
    Borrow { from: usize, run: HostId, number: u64, asked: Instant },
    Lent { from: HostId, to: HostId, asked: Instant, loan: Option<Loan> },
    GiveBack { from: HostId, number: u64, tokens: u128 },
}

struct Host {
    id: HostId,
    /// Clock rate, in millionths of true time.
    clock: u64,
    lender: Lender,
    borrower: Borrower,
    ownership: ShareOwnership,
    claimed: Option<(u32, Instant)>,
    paused_until: u32,
    platform: bool,
    number: u64,
    debits: u64,
    /// Debits in progress: identifier, amount, and index in the history once granted.
    open: Vec<(u64, u64, usize)>,
    /// Tokens credited by the planted full refund.
    full_refunds: u64,
}

struct Simulation {
    rng: Rng,
    fault: PlantedFault,
    base: Instant,
    step: u32,
    hosts: Vec<Host>,
    inbox: BTreeMap<(u32, u64), (usize, Message)>,
    sent: u64,
    record: ShareRecord,
    incarnations: u64,
    presumed_borrower: usize,
    /// Granted debits: true time and tokens used.
    history: Vec<(Duration, u64)>,
}

impl Simulation {
    fn new(seed: u64, fault: PlantedFault) -> Self {
        let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        rng.next(2);
        let base = Instant::now();
        let mut simulation = Self {
            rng,
            fault,
            base,
            step: 0,
            hosts: Vec::new(),
            inbox: BTreeMap::new(),
            sent: 0,
            record: ShareRecord::default(),
            incarnations: 0,
            presumed_borrower: 0,
            history: Vec::new(),
        };
        for index in 0..HOSTS {
            let host = simulation.new_host(index);
            simulation.hosts.push(host);
        }
        simulation
    }

    fn new_host(&mut self, index: usize) -> Host {
        self.incarnations += 1;
        let id = HostId { host: Arc::from(format!("h{index}")), incarnation: self.incarnations };
        // The clock rates of two hosts differ by up to 4 %.
        let clock = 980_000 + self.rng.next(40_000);
        let mut host = Host {
            ownership: ShareOwnership::new(id.clone(), TENURE),
            id,
            clock,
            lender: Lender::default(),
            borrower: Borrower::new(self.base),
            claimed: None,
            paused_until: 0,
            platform: true,
            number: 0,
            debits: 0,
            open: Vec::new(),
            full_refunds: 0,
        };
        host.borrower = Borrower::new(self.local(&host));
        host
    }

    fn true_time(&self) -> Duration {
        STEP * self.step
    }

    fn local(&self, host: &Host) -> Instant {
        let nanos = self.true_time().as_nanos() as u64;
        self.base + Duration::from_nanos(nanos / 1_000_000 * host.clock)
    }

    fn send(&mut self, to: usize, message: Message) {
        if self.rng.one_in(12) {
            return;
        }
        let slow = self.rng.one_in(10);
        let delay = 1 + self.rng.next(if slow { 60 } else { 3 }) as u32;
        self.sent += 1;
        self.inbox.insert((self.step + delay, self.sent), (to, message));
    }

    fn run(mut self) -> Vec<(Duration, u64)> {
        while self.step < STEPS {
            self.step += 1;
            self.inject_faults();
            self.deliver();
            for index in 0..HOSTS {
                if self.hosts[index].paused_until <= self.step {
                    self.run_host(index);
                }
            }
        }
        self.history
    }

    fn inject_faults(&mut self) {
        let index = self.rng.next(HOSTS as u64) as usize;
        match self.rng.next(400) {
            0 => self.hosts[index].paused_until = self.step + self.rng.next(300) as u32,
            1 | 10..=14 => self.hosts[index] = self.new_host(index),
            2 | 3 => self.hosts[index].platform = false,
            4..=7 => self.hosts[index].platform = true,
            8 | 9 => self.presumed_borrower = index,
            _ => {}
        }
    }

    fn deliver(&mut self) {
        let later = self.inbox.split_off(&(self.step + 1, 0));
        let due = std::mem::replace(&mut self.inbox, later);
        for (key, (to, message)) in due {
            if self.hosts[to].paused_until > self.step {
                let again = (self.hosts[to].paused_until, key.1);
                self.inbox.insert(again, (to, message));
                continue;
            }
            self.handle(to, message);
        }
    }

    fn handle(&mut self, to: usize, message: Message) {
        let now = self.local(&self.hosts[to]);
        let host = &mut self.hosts[to];
        match message {
            Message::Borrow { from, run, number, asked } => {
                let loan = lend(host, now, &run, number);
                if self.fault == PlantedFault::EarlyReturn {
                    host.lender.take_back(now, &customer(), &run, number, 0);
                }
                let reply = Message::Lent { from: host.id.clone(), to: run, asked, loan };
                self.send(from, reply);
            }
            Message::Lent { from, to: run, asked, loan } => {
                if let (Some(loan), true) = (loan, run == host.id) {
                    host.borrower.accept(now, asked, &from, &loan);
                }
            }
            Message::GiveBack { from, number, tokens } => {
                host.lender.take_back(now, &customer(), &from, number, tokens);
            }
        }
    }

    fn run_host(&mut self, index: usize) {
        if self.step % 20 == index as u32 {
            self.renew_shares(index);
        }
        if self.step % 20 == 10 + index as u32 {
            if self.presumed_borrower == index || self.rng.one_in(6) {
                self.borrow(index);
            } else {
                self.release(index);
            }
        }
        self.debit_tokens(index);
        self.finish_requests(index);
    }

    fn renew_shares(&mut self, index: usize) {
        if !self.hosts[index].platform {
            return;
        }
        let now = self.local(&self.hosts[index]);
        let record = self.record.clone();
        let fault = self.fault;
        let host = &mut self.hosts[index];
        if let OwnershipStep::Write(new) = host.ownership.step(now, &record, SHARES, HOSTS as u32) {
            self.record = new.clone();
            host.ownership.confirm_write(now, &new);
        }
        let Some((owned, until)) = host.ownership.owned() else { return };
        let quarantine = LOAN_DURATION + LOAN_DURATION * DRIFT / 1_000;
        let inherited = host.ownership.is_inherited() && fault != PlantedFault::NoQuarantine;
        let wait = if inherited { quarantine } else { Duration::ZERO };
        let since = match host.claimed {
            Some((before, since)) if before > 0 => since,
            _ => now + wait,
        };
        host.claimed = Some((owned, since));
        host.lender.set_owned(now, owned, since, until);
    }

    fn borrow(&mut self, index: usize) {
        let now = self.local(&self.hosts[index]);
        let host = &mut self.hosts[index];
        host.number += 1;
        let (run, number) = (host.id.clone(), host.number);
        if let Some(loan) = lend(host, now, &run, number) {
            host.borrower.accept(now, now, &run, &loan);
        }
        for to in (0..HOSTS).filter(|to| *to != index) {
            let message = Message::Borrow { from: index, run: run.clone(), number, asked: now };
            self.send(to, message);
        }
    }

    fn release(&mut self, index: usize) {
        let now = self.local(&self.hosts[index]);
        let host = &mut self.hosts[index];
        let (from, number) = (host.id.clone(), host.number);
        for (lender, tokens) in host.borrower.release(now) {
            let to = self.hosts.iter().position(|host| host.id == lender);
            let message = Message::GiveBack { from: from.clone(), number, tokens };
            match to {
                Some(to) if to == index => self.handle(to, message),
                Some(to) => self.send(to, message),
                None => {}
            }
        }
    }

    fn debit_tokens(&mut self, index: usize) {
        let now = self.local(&self.hosts[index]);
        let amount = 20 + self.rng.next(400);
        let at = self.true_time();
        // Quiet phases fill the buckets, and busy ones drain them at once.
        let busy = self.step / PHASE_STEPS % 2 == 1;
        let debits_now = busy && self.rng.one_in(2);
        let host = &mut self.hosts[index];
        if busy && host.full_refunds >= amount {
            host.full_refunds -= amount;
            self.history.push((at, amount));
        }
        if debits_now {
            host.debits += 1;
            let expires = now + Duration::from_millis(400);
            host.borrower.debit(now, Debit { id: host.debits, amount, expires });
            host.open.push((host.debits, amount, usize::MAX));
        }
        for (id, outcome) in host.borrower.poll(now) {
            let Some(place) = host.open.iter().position(|(open, _, _)| *open == id) else {
                continue;
            };
            match outcome {
                DebitOutcome::Granted => {
                    host.open[place].2 = self.history.len();
                    self.history.push((at, host.open[place].1));
                }
                DebitOutcome::Refused(_) => {
                    host.open.remove(place);
                }
            }
        }
    }

    /// Finishes some granted requests and refunds their unused tokens.
    fn finish_requests(&mut self, index: usize) {
        let now = self.local(&self.hosts[index]);
        let open = &self.hosts[index].open;
        let granted: Vec<usize> = (0..open.len()).filter(|at| open[*at].2 != usize::MAX).collect();
        for at in granted.into_iter().rev() {
            if !self.rng.one_in(15) {
                continue;
            }
            let (id, amount, entry) = self.hosts[index].open.remove(at);
            let unused = self.rng.next(amount + 1);
            let host = &mut self.hosts[index];
            if self.fault == PlantedFault::FullRefund {
                // A naive bucket returns all unused tokens, however long the request took.
                host.full_refunds += unused;
            } else {
                host.borrower.refund(now, id, unused);
            }
            // Refunded tokens do not count as used.
            self.history[entry].1 = amount - unused;
        }
    }
}

fn customer() -> Arc<str> {
    Arc::from("c")
}

fn lend(host: &mut Host, now: Instant, to: &HostId, number: u64) -> Option<Loan> {
    let limit = CustomerLimit { rate: RATE, burst: BURST, shares: SHARES };
    let customer = customer();
    host.lender.lend(now, LoanRequest { customer: &customer, limit, to, number }, DRIFT)
}

/// The largest excess over rate x window + burst, in tokens.
///
/// Allows for clocks that run up to 2 % fast and for the time resolution of one step.
fn largest_excess(history: &[(Duration, u64)]) -> f64 {
    let rate = RATE as f64 * 1.02;
    // The excess of a window from entry i to entry j is the sum of the tokens admitted from
    // i to j less what the window allows, so a running maximum over i suffices.
    let mut largest = f64::MIN;
    let mut running = f64::MIN;
    let mut last = Duration::ZERO;
    for (at, tokens) in history {
        let passed = (*at - last).as_secs_f64();
        last = *at;
        running = (running - passed * rate).max(0.0) + *tokens as f64;
        largest = largest.max(running - BURST as f64 - rate * STEP.as_secs_f64());
    }
    largest
}

/// Number of seeds; the environment variable `HISTORY_SEEDS` overrides the default.
fn seeds() -> u64 {
    std::env::var("HISTORY_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(300)
}

#[test]
fn every_window_stays_within_rate_and_burst() {
    for seed in 0..seeds() {
        let history = Simulation::new(seed, PlantedFault::None).run();
        let excess = largest_excess(&history);
        assert!(excess <= 0.0, "seed {seed}: {excess} tokens above");
    }
}

#[test]
fn runs_admit_a_fifth_of_the_rate() {
    let used: u64 = (0..50)
        .flat_map(|seed| Simulation::new(seed, PlantedFault::None).run())
        .map(|(_, tokens)| tokens)
        .sum();
    let limit = 50.0 * RATE as f64 * (STEP * STEPS).as_secs_f64();
    // The runs inject many faults; the check above would be vacuous if they admitted nothing.
    assert!(used as f64 > 0.2 * limit, "{used} of {limit}");
}

#[rstest::rstest]
#[case(PlantedFault::EarlyReturn)]
#[case(PlantedFault::NoQuarantine)]
#[case(PlantedFault::FullRefund)]
fn planted_faults_are_detected(#[case] fault: PlantedFault) {
    let found = (0..4_000).any(|seed| largest_excess(&Simulation::new(seed, fault).run()) > 0.0);
    assert!(found, "{fault:?} was not found");
}
