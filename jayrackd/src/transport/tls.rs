//! Mutual TLS: both ends present a certificate of the fleet.
use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    server::WebPkiClientVerifier,
};

use super::Error;
use crate::traffic::Options;

/// ALPN protocol; changes with each incompatible version.
const ALPN: &[u8] = b"jayrack/1";

/// Flow control window of one stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Flow control window of one connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

/// Certificates and private key of a daemon, each as PEM text.
#[derive(Clone)]
pub struct TlsOptions {
    /// Certificate chain of this daemon; its subject alternative name is `jayrack`.
    pub certificate: String,
    /// Private key of the certificate.
    pub private_key: String,
    /// Authorities that peers' certificates are verified against; two during a rotation.
    pub authorities: String,
}

impl std::fmt::Debug for TlsOptions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TlsOptions").finish_non_exhaustive()
    }
}

/// Configuration of the listener.
pub(super) fn server_config(options: &Options) -> Result<quinn::ServerConfig, Error> {
    let tls = &options.tls;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let roots = Arc::new(root_store(tls)?);
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(tls_error)?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(certificate_chain(tls)?, private_key(tls)?)
        .map_err(tls_error)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicServerConfig::try_from(config).map_err(tls_error)?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(Arc::new(transport_config(options)));
    Ok(config)
}

/// Configuration of the connections that this daemon opens.
pub(super) fn client_config(options: &Options) -> Result<quinn::ClientConfig, Error> {
    let tls = &options.tls;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_root_certificates(root_store(tls)?)
        .with_client_auth_cert(certificate_chain(tls)?, private_key(tls)?)
        .map_err(tls_error)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicClientConfig::try_from(config).map_err(tls_error)?;
    let mut config = quinn::ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::new(transport_config(options)));
    Ok(config)
}

fn transport_config(options: &Options) -> quinn::TransportConfig {
    let mut config = quinn::TransportConfig::default();
    let silence = quinn::IdleTimeout::try_from(options.timeouts.silence)
        .expect("silence time is shorter than the protocol's maximum");
    config
        .max_idle_timeout(Some(silence))
        .keep_alive_interval(Some(options.timeouts.keep_alive))
        .max_concurrent_bidi_streams(options.limits.peer_streams.into())
        .max_concurrent_uni_streams(0u32.into())
        .stream_receive_window(STREAM_WINDOW_BYTES.into())
        .receive_window(CONNECTION_WINDOW_BYTES.into())
        .send_window(u64::from(CONNECTION_WINDOW_BYTES))
        .datagram_receive_buffer_size(None);
    config
}

fn root_store(tls: &TlsOptions) -> Result<RootCertStore, Error> {
    let mut roots = RootCertStore::empty();
    for certificate in CertificateDer::pem_slice_iter(tls.authorities.as_bytes()) {
        let certificate = certificate.map_err(tls_error)?;
        roots.add(certificate).map_err(tls_error)?;
    }
    Ok(roots)
}

fn certificate_chain(tls: &TlsOptions) -> Result<Vec<CertificateDer<'static>>, Error> {
    CertificateDer::pem_slice_iter(tls.certificate.as_bytes())
        .collect::<Result<_, _>>()
        .map_err(tls_error)
}

fn private_key(tls: &TlsOptions) -> Result<PrivateKeyDer<'static>, Error> {
    PrivateKeyDer::from_pem_slice(tls.private_key.as_bytes()).map_err(tls_error)
}

fn tls_error(error: impl std::fmt::Display) -> Error {
    Error::Tls(error.to_string())
}
