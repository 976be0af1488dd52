//! Certificates of a fleet.
use jayrackd::transport::TlsOptions;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// Certificate authority of a fleet.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

impl Authority {
    pub fn new() -> Self {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let pem = params.self_signed(&key).unwrap().pem();
        Self {
            issuer: Issuer::new(params, key),
            pem,
        }
    }

    /// Makes a certificate of this authority; peers are verified against it and the `others`.
    pub fn tls_options(&self, others: &[&Authority]) -> TlsOptions {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec!["jayrack".to_string()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        let authorities: String = std::iter::once(self.pem.as_str())
            .chain(others.iter().map(|other| other.pem.as_str()))
            .collect();
        TlsOptions {
            certificate: certificate.pem(),
            private_key: key.serialize_pem(),
            authorities,
        }
    }
}
