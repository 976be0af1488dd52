//! The traffic thread: requests of callers and of other daemons.
//!
//! * [`listener`]: connections of callers and of other daemons.
//! * [`ingress`]: forwards a caller's request to a backend server and returns the answer.
//! * `intake`: checks of a caller's request before it is forwarded.
//! * [`authentication`]: authentication of a caller's request by the API keys of tenants.
//! * [`allowance`]: tenant rate limits.
//! * `attempt`: one forwarding attempt of a request at one host.
//! * [`answer`]: responses to callers.
//! * [`router`]: choice of hosts, shares of split routes and the retry budget.
//! * [`owner`]: requests for the backend server beside the daemon.
//! * `evidence`: evidence on the version of that server during a roll-out.
//! * [`gate`]: admission to that server's slots.
//! * [`link`]: pacing of large answers on the host's link.
//! * [`forward`]: headers of requests and answers between daemons.
//! * [`memory`]: the daemon's byte budget; [`segments`]: received bytes in memory of the budget.
//! * [`request_body`]: bodies of requests.
//! * [`signals`]: signals that tell a connection to give way.
//! * [`bounded_read`]: reads that keep the buffers of connections small.
//! * [`client_stream`]: sockets of clients, with their time limits; [`connections`]: their admission and state.
//! * [`state`]: state of the traffic thread.
//! * [`pool`]: outgoing connections; [`fair_stream`]: their sockets; [`body`]: bodies of answers.
pub mod allowance;
pub mod answer;
mod attempt;
pub mod authentication;
pub mod body;
pub mod bounded_read;
pub mod client_stream;
pub mod connections;
mod evidence;
pub mod fair_stream;
pub mod forward;
pub mod gate;
pub mod ingress;
mod intake;
pub mod link;
pub mod listener;
pub mod memory;
pub mod owner;
pub mod pool;
pub mod request_body;
pub mod router;
pub mod segments;
pub mod signals;
pub mod state;
