//! The traffic thread: requests of callers and of other daemons.
//!
//! * [`listener`]: connections of callers and of other daemons.
//! * [`ingress`]: the way of a caller's request to a backend server and back.
//! * `attempt`: one offer of a request to a host.
//! * [`answer`]: what the caller is told.
//! * [`router`]: choice of hosts, shares of split routes and the budget of repeats.
//! * [`owner`]: requests for the backend server beside the daemon.
//! * [`gate`]: the driver of its slots.
//! * [`link`]: the driver of the host's link for large answers.
//! * [`forward`]: what one daemon tells another about a request.
//! * [`pool`]: outgoing connections; [`body`]: bodies of answers.
pub mod answer;
mod attempt;
pub mod body;
pub mod forward;
pub mod gate;
pub mod ingress;
pub mod link;
pub mod listener;
pub mod owner;
pub mod pool;
pub mod router;
