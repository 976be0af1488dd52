//! Certificates for a fleet, made when it starts.
use eyre::Result;
use rcgen::{
    BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

/// Name that each daemon's certificate is for.
const SERVER_NAME: &str = "jayrack";

/// An authority that lives as long as the fleet.
#[derive(Debug)]
pub struct FleetAuthority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

/// What one daemon proves itself with, in PEM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonIdentity {
    /// Certificate.
    pub certificate: String,
    /// Private key.
    pub private_key: String,
}

impl FleetAuthority {
    /// Creates an authority.
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

    /// Issues a certificate to one daemon, for both ends of a connection.
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
