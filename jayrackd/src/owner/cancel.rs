//! Detects that the sender of a request no longer waits for its answer.
use crate::transport::wire::StreamSender;

/// Why a request was cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cancellation {
    /// The sender stopped reading the stream.
    Explicit,
    /// The connection was lost; the sender may query the outcome.
    ConnectionLost,
}

/// Completes when the peer no longer reads `send`.
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
