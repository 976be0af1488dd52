//! When the sender of a request no longer waits for its answer.
use crate::transport::wire::StreamSender;

/// Why nobody waits any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cancellation {
    /// The sender said so.
    Explicit,
    /// The connection was lost; the sender may ask for the outcome.
    ConnectionLost,
}

/// Waits until nobody reads `send` any more.
pub(super) fn cancellation(
    send: &StreamSender,
) -> impl Future<Output = Cancellation> + Send + use<> {
    let stopped = send.stopped();
    async move {
        match stopped.await {
            Ok(_) => Cancellation::Explicit,
            Err(_) => Cancellation::ConnectionLost,
        }
    }
}
