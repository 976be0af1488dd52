//! Messages, result codes and datagram authentication shared by all jayrack processes.
//!
//! * [`code`]: the numbered result codes of every component.
//! * [`id`]: identifiers of members and requests.
//! * [`frame`]: length-prefixed messages on byte streams.
//! * [`answer`]: answers of backend servers.
//! * [`auth`]: authentication of datagrams by a fleet key.
//! * [`gossip`], [`forward`], [`sync`], [`status`]: message types generated from `proto/`.
#![deny(missing_docs, unsafe_code)]

pub mod answer;
pub mod auth;
pub mod code;
pub mod frame;
pub mod id;

/// Messages of membership and failure detection, carried in datagrams.
#[allow(missing_docs)]
#[rustfmt::skip]
pub mod gossip {
    include!("generated/jayrack.gossip.rs");
}

/// Messages between an ingress and an owner, carried on QUIC streams.
#[allow(missing_docs)]
#[rustfmt::skip]
pub mod forward {
    include!("generated/jayrack.forward.rs");
}

/// Messages that transfer configuration records between peers, carried on QUIC streams.
#[allow(missing_docs)]
#[rustfmt::skip]
pub mod sync {
    include!("generated/jayrack.sync.rs");
}

/// Status datagrams between the daemons on the platform.
#[allow(missing_docs)]
#[rustfmt::skip]
pub mod status {
    include!("generated/jayrack.status.rs");
}

pub use code::ResultCode;
pub use id::{MemberId, RequestId};
