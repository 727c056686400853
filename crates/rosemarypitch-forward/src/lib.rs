//! Forwarding of callers' requests to plain services and model engines.
//!
//! Each host has one [`Router`], which [`serve::run`] runs as a process. A request passes
//! through [`call`], then [`plain`] or [`generate`].
//!
//! Decisions are made by pure state machines that take the current instant as an argument:
//! [`pool`] queues, refuses and places model requests, [`balance`] selects servers of plain
//! services, [`quota`] and [`budget`] enforce limits over all hosts, [`registry`] lists the
//! upstreams, [`evacuation`] the data centres out of service, [`cold`] bounds what upstreams get
//! after their start, [`homes`] says in which regions a request may be served, [`health`] rates
//! upstreams by the outcomes of their requests, and [`rest`] lists those that want none for a time.
//!
//! [`versions`] says at which software version of its upstreams a stream may go on, and [`takeup`]
//! records that in the store.
//!
//! [`byte_account`] and [`crowd`] bound what callers can make a host hold, whatever they send.
//!
//! [`peer_table`], [`remote_rows`], [`layout`] and [`counters`] hold the state that hosts
//! exchange, [`crash_exchange`] selects the crash records that they send each other,
//! [`watchers`] shares the watches of the store, [`outsiders`] decides which parts of the
//! limits a host may use, and [`gossip`] runs the exchanges. [`control`] follows the store.
//! [`deployment`] defines the interface to the deployment.

pub mod announce;
pub mod balance;
pub mod begun;
pub mod body;
pub mod bucket;
pub mod budget;
pub mod byte_account;
pub mod call;
pub mod client;
pub mod cold;
pub mod config;
pub mod connection;
pub mod control;
pub mod counters;
pub mod crash_exchange;
pub mod crowd;
pub mod deployment;
pub mod evacuation;
pub mod events;
pub mod generate;
pub mod gossip;
pub mod health;
pub mod homes;
pub mod layout;
pub mod memory;
pub mod metrics;
pub mod open_calls;
pub mod outsiders;
pub mod peer_table;
pub mod plain;
pub mod pool;
pub mod quarantine;
pub mod quota;
pub mod refusal;
pub mod registry;
pub mod relay;
pub mod remote_rows;
pub mod rest;
pub mod retry;
pub mod router;
pub mod serve;
pub mod snapshot;
pub mod stop;
pub mod takeup;
pub mod tuning;
pub mod versions;
pub mod watchers;

pub use router::{LimitSettings, Router, RouterSettings};
