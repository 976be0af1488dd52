//! Issues the TLS certificates of a fleet at its start.
use eyre::Result;
use rcgen::{
    BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

/// Subject alternative name of each daemon's certificate.
const SERVER_NAME: &str = "jayrack";

/// Certificate authority of one fleet; its key is held in memory only.
#[derive(Debug)]
pub struct FleetAuthority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

/// Certificate and private key of one daemon, in PEM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonIdentity {
    /// Certificate of the daemon.
    pub certificate: String,
    /// Private key that belongs to `certificate`.
    pub private_key: String,
}

impl FleetAuthority {
    /// Generates a key pair and a self-signed certificate.
    pub fn create() -> Result<Self> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let pem = params.self_signed(&key)?.pem();
        Ok(Self {
            issuer: Issuer::new(params, key),
            pem,
        })
    }

    /// The authority's certificate, in PEM.
    pub fn pem(&self) -> &str {
        &self.pem
    }

    /// Issues a certificate that a daemon can use as TLS server and as TLS client.
    pub fn issue(&self) -> Result<DaemonIdentity> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![SERVER_NAME.to_string()])?;
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok(DaemonIdentity {
            certificate: certificate.pem(),
            private_key: key.serialize_pem(),
        })
    }
}
