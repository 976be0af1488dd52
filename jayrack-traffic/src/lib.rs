//! Server selection, admission by rank, retries, idempotency claims and the outcome ledger.
//!
//! Every module is a pure state machine: the caller passes the time in milliseconds of a monotonic
//! clock, and no module opens a socket, reads a clock or uses an unseeded random number generator.
//!
//! * [`class`]: the attributes of a request that decide its admission.
//! * [`admission`]: the admission queue of one backend server, at its owner.
//! * [`ledger`]: the outcome of every request that reached an owner.
//! * [`claim`]: claims on idempotency keys, at the daemons that store them.
//! * [`coordinate`]: the ingress side of a claim.
//! * [`request`]: the ingress side of one request.
//! * [`pick`]: the selection of a backend server.
//! * [`retry`]: the retry budget.
//! * [`shed`]: load shedding at the ingress, by the load that owners report.
//! * [`health`]: detection of silent connections.
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
