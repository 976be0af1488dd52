//! Routing, admission by rank, retries and the outcome ledger.
//!
//! Every module is a pure state machine: time comes in as milliseconds of a monotonic clock, and
//! nothing here opens a socket, reads a clock or draws unseeded random numbers.
//!
//! * [`class`]: what admission knows about a request.
//! * [`admission`]: the queue in front of one backend server, at its owner.
//! * [`ledger`]: the outcome of every request that reached an owner.
//! * [`claim`]: which request owns an Idempotency-Key, wherever the caller repeats it.
//! * [`coordinate`]: the ingress side of a claim.
//! * [`request`]: the ingress side of one request.
//! * [`pick`]: the choice of a backend server.
//! * [`retry`]: the budget of retries.
//! * [`shed`]: refusal at the ingress on behalf of a busy owner.
//! * [`health`]: silence on one connection.
#![deny(missing_docs, unsafe_code)]

pub mod admission;
pub mod claim;
pub mod class;
pub mod coordinate;
pub mod health;
pub mod ledger;
pub mod pick;
pub mod request;
pub mod retry;
pub mod shed;

pub use admission::{AdmissionQueue, LoadLevel};
pub use claim::ClaimRegistry;
pub use class::RequestClass;
pub use coordinate::ClaimCoordinator;
pub use health::ConnectionHealth;
pub use ledger::{OutcomeLedger, QueryResult};
pub use pick::ServerPicker;
pub use request::RequestFlow;
pub use retry::RetryBudget;
pub use shed::ShedLevels;
