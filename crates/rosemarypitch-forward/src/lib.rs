//! Forwarding of callers' requests to plain services and model engines.
//!
//! A host keeps one [`Router`]. [`serve::run`] runs it as a process. A request passes
//! [`call`], then [`plain`] or [`generate`]. What is decided on the way is pure and takes
//! the current instant as an argument: [`pool`] queues, refuses and places model requests,
//! [`balance`] chooses servers of plain services, [`quota`] and [`budget`] keep limits over
//! all hosts, [`registry`] knows the upstreams, [`health`] judges them. The deployment is
//! met at [`edge`].

pub mod announce;
pub mod balance;
pub mod bucket;
pub mod budget;
pub mod call;
pub mod client;
pub mod config;
pub mod control;
pub mod edge;
pub mod events;
pub mod far;
pub mod generate;
pub mod gossip;
pub mod health;
pub mod layout;
pub mod ledger;
pub mod memory;
pub mod metrics;
pub mod neighbours;
pub mod plain;
pub mod pool;
pub mod quota;
pub mod refusal;
pub mod registry;
pub mod relay;
pub mod relayed;
pub mod router;
pub mod serve;
pub mod tuning;

pub use router::{LimitSettings, Router, RouterSettings};
