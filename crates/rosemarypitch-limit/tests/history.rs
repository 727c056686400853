//! History check: the tokens admitted in every window stay within rate x window + burst.
//!
//! A seeded run of hosts with drifting clocks exchanges loans over a network that delays,
//! loses and reorders messages, while hosts pause, crash, restart under the same name,
//! hand over and lose sight of the platform. Every granted debit is recorded at true time
//! with the tokens that were used of it.

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
const PHASE: u32 = 100;
const TENURE: Duration = Duration::from_secs(20);
const DRIFT: u32 = 50;

/// What is planted to see that the check can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plant {
    Nothing,
    /// The lender takes a loan back as soon as it has lent it.
    EarlyReturn,
    /// A new owner lends at once what an earlier owner may have lent.
    NoQuarantine,
    /// A refund comes back in full.
    FullRefund,
}

/// A small generator, so that runs are the same everywhere.
struct Random(u64);

impl Random {
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

/// A message under way.
enum Message {
    Borrow { from: usize, run: HostId, number: u64, asked: Instant },
    Lent { from: HostId, to: HostId, asked: Instant, loan: Option<Loan> },
    GiveBack { from: HostId, number: u64, tokens: u128 },
}

struct Host {
    id: HostId,
    /// Speed of its clock, in millionths.
    clock: u64,
    lender: Lender,
    holder: Borrower,
    tenure: ShareOwnership,
    claimed: Option<(u32, Instant)>,
    paused_until: u32,
    platform: bool,
    number: u64,
    debits: u64,
    open: Vec<(u64, u64, usize)>,
    /// Tokens given back whole, when that is planted.
    naive: u64,
}

struct World {
    random: Random,
    plant: Plant,
    base: Instant,
    step: u32,
    hosts: Vec<Host>,
    inbox: BTreeMap<(u32, u64), (usize, Message)>,
    sent: u64,
    record: ShareRecord,
    incarnations: u64,
    believed: usize,
    /// Admitted at true time, with the tokens used.
    history: Vec<(Duration, u64)>,
}

impl World {
    fn new(seed: u64, plant: Plant) -> Self {
        let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        random.next(2);
        let base = Instant::now();
        let mut world = Self {
            random,
            plant,
            base,
            step: 0,
            hosts: Vec::new(),
            inbox: BTreeMap::new(),
            sent: 0,
            record: ShareRecord::default(),
            incarnations: 0,
            believed: 0,
            history: Vec::new(),
        };
        for index in 0..HOSTS {
            let host = world.new_host(index);
            world.hosts.push(host);
        }
        world
    }

    fn new_host(&mut self, index: usize) -> Host {
        self.incarnations += 1;
        let id = HostId { host: Arc::from(format!("h{index}")), incarnation: self.incarnations };
        // Two clocks may run 4 % apart in all.
        let clock = 980_000 + self.random.next(40_000);
        let mut host = Host {
            tenure: ShareOwnership::new(id.clone(), TENURE),
            id,
            clock,
            lender: Lender::default(),
            holder: Borrower::new(self.base),
            claimed: None,
            paused_until: 0,
            platform: true,
            number: 0,
            debits: 0,
            open: Vec::new(),
            naive: 0,
        };
        host.holder = Borrower::new(self.local(&host));
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
        if self.random.one_in(12) {
            return;
        }
        let slow = self.random.one_in(10);
        let delay = 1 + self.random.next(if slow { 60 } else { 3 }) as u32;
        self.sent += 1;
        self.inbox.insert((self.step + delay, self.sent), (to, message));
    }

    fn run(mut self) -> Vec<(Duration, u64)> {
        while self.step < STEPS {
            self.step += 1;
            self.disturb();
            self.deliver();
            for index in 0..HOSTS {
                if self.hosts[index].paused_until <= self.step {
                    self.act(index);
                }
            }
        }
        self.history
    }

    fn disturb(&mut self) {
        let index = self.random.next(HOSTS as u64) as usize;
        match self.random.next(400) {
            0 => self.hosts[index].paused_until = self.step + self.random.next(300) as u32,
            1 | 10..=14 => self.hosts[index] = self.new_host(index),
            2 | 3 => self.hosts[index].platform = false,
            4..=7 => self.hosts[index].platform = true,
            8 | 9 => self.believed = index,
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
            self.take(to, message);
        }
    }

    fn take(&mut self, to: usize, message: Message) {
        let now = self.local(&self.hosts[to]);
        let host = &mut self.hosts[to];
        match message {
            Message::Borrow { from, run, number, asked } => {
                let loan = lend(host, now, &run, number);
                if self.plant == Plant::EarlyReturn {
                    host.lender.take_back(now, &customer(), &run, number, 0);
                }
                let reply = Message::Lent { from: host.id.clone(), to: run, asked, loan };
                self.send(from, reply);
            }
            Message::Lent { from, to: run, asked, loan } => {
                if let (Some(loan), true) = (loan, run == host.id) {
                    host.holder.accept(now, asked, &from, &loan);
                }
            }
            Message::GiveBack { from, number, tokens } => {
                host.lender.take_back(now, &customer(), &from, number, tokens);
            }
        }
    }

    fn act(&mut self, index: usize) {
        if self.step % 20 == index as u32 {
            self.renew_shares(index);
        }
        if self.step % 20 == 10 + index as u32 {
            if self.believed == index || self.random.one_in(6) {
                self.borrow(index);
            } else {
                self.release(index);
            }
        }
        self.ask_for_tokens(index);
        self.finish_some(index);
    }

    fn renew_shares(&mut self, index: usize) {
        if !self.hosts[index].platform {
            return;
        }
        let now = self.local(&self.hosts[index]);
        let record = self.record.clone();
        let plant = self.plant;
        let host = &mut self.hosts[index];
        if let OwnershipStep::Write(new) = host.tenure.step(now, &record, SHARES, HOSTS as u32) {
            self.record = new.clone();
            host.tenure.confirm_write(now, &new);
        }
        let Some((owned, until)) = host.tenure.owned() else { return };
        let quarantine = LOAN_DURATION + LOAN_DURATION * DRIFT / 1_000;
        let inherited = host.tenure.is_inherited() && plant != Plant::NoQuarantine;
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
            host.holder.accept(now, now, &run, &loan);
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
        for (lender, tokens) in host.holder.release(now) {
            let to = self.hosts.iter().position(|host| host.id == lender);
            let message = Message::GiveBack { from: from.clone(), number, tokens };
            match to {
                Some(to) if to == index => self.take(to, message),
                Some(to) => self.send(to, message),
                None => {}
            }
        }
    }

    fn ask_for_tokens(&mut self, index: usize) {
        let now = self.local(&self.hosts[index]);
        let amount = 20 + self.random.next(400);
        let at = self.true_time();
        // Quiet times fill the buckets, and busy ones empty them at once.
        let busy = self.step / PHASE % 2 == 1;
        let wants = busy && self.random.one_in(2);
        let host = &mut self.hosts[index];
        if busy && host.naive >= amount {
            host.naive -= amount;
            self.history.push((at, amount));
        }
        if wants {
            host.debits += 1;
            let expires = now + Duration::from_millis(400);
            host.holder.debit(now, Debit { id: host.debits, amount, expires });
            host.open.push((host.debits, amount, usize::MAX));
        }
        for (id, outcome) in host.holder.poll(now) {
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

    /// Ends some requests and gives back what they did not use.
    fn finish_some(&mut self, index: usize) {
        let now = self.local(&self.hosts[index]);
        let open = &self.hosts[index].open;
        let granted: Vec<usize> = (0..open.len()).filter(|at| open[*at].2 != usize::MAX).collect();
        for at in granted.into_iter().rev() {
            if !self.random.one_in(15) {
                continue;
            }
            let (id, amount, entry) = self.hosts[index].open.remove(at);
            let unused = self.random.next(amount + 1);
            let host = &mut self.hosts[index];
            if self.plant == Plant::FullRefund {
                // What a naive bucket does: everything comes back whatever went by.
                host.naive += unused;
            } else {
                host.holder.refund(now, id, unused);
            }
            // Tokens count as used only if they did not come back.
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
/// Clocks may run up to 2 % fast, and an instant is known to one step.
fn largest_excess(history: &[(Duration, u64)]) -> f64 {
    let rate = RATE as f64 * 1.02;
    // For windows that begin at entry i, the excess at entry j is the sum of what was
    // admitted from i to j less what the window allows: a running maximum suffices.
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

/// Seeds of a run; `HISTORY_SEEDS` asks for more.
fn seeds() -> u64 {
    std::env::var("HISTORY_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(300)
}

#[test]
fn no_window_admits_more_than_rate_and_burst() {
    for seed in 0..seeds() {
        let history = World::new(seed, Plant::Nothing).run();
        let excess = largest_excess(&history);
        assert!(excess <= 0.0, "seed {seed}: {excess} tokens above");
    }
}

#[test]
fn runs_admit_a_good_part_of_the_rate() {
    let used: u64 = (0..50)
        .flat_map(|seed| World::new(seed, Plant::Nothing).run())
        .map(|(_, tokens)| tokens)
        .sum();
    let entitled = 50.0 * RATE as f64 * (STEP * STEPS).as_secs_f64();
    // The runs are full of faults; a check on histories that admit nothing would be empty.
    assert!(used as f64 > 0.2 * entitled, "{used} of {entitled}");
}

#[rstest::rstest]
#[case(Plant::EarlyReturn)]
#[case(Plant::NoQuarantine)]
#[case(Plant::FullRefund)]
fn the_check_finds_planted_faults(#[case] plant: Plant) {
    let found = (0..4_000).any(|seed| largest_excess(&World::new(seed, plant).run()) > 0.0);
    assert!(found, "{plant:?} was not found");
}
