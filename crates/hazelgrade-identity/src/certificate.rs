//! Reads client certificates and certificate revocation lists.

use hazelgrade::time::Time;
use std::collections::BTreeSet;
use x509_parser::error::X509Error;
use x509_parser::extensions::GeneralName;
use x509_parser::nom;
use x509_parser::prelude::{CertificateRevocationList, FromDer, X509Certificate};

/// The most alternative names that are read from one certificate; the rest are ignored.
const MAX_NAMES: usize = 32;

/// Why a certificate or a revocation list can't be read.
#[derive(Debug, thiserror::Error)]
pub enum CertificateError {
    /// It is not the DER encoding of what was expected.
    #[error("{0}")]
    Malformed(#[from] nom::Err<X509Error>),
    /// Its subject alternative names can't be read.
    #[error("{0}")]
    AlternativeNames(#[from] X509Error),
}

/// A client certificate whose chain was verified.
#[derive(Clone, Debug, Default)]
pub struct ClientCertificate {
    /// Its subject alternative names that are URIs or DNS names, 32 at most.
    pub names: Vec<String>,
    /// Its serial number in hex, without leading zero bytes.
    pub serial: String,
    /// When its validity ends; `None` if that is unknown.
    pub expires_at: Option<Time>,
}

/// The contents of a certificate revocation list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevocationList {
    /// The serial numbers of the revoked certificates, in hex as in [`ClientCertificate::serial`].
    pub serials: BTreeSet<String>,
    /// When the next list is due at the latest, in seconds since 1970; `None` if the list doesn't state it.
    pub next_update_s: Option<i64>,
}

fn serial_in_hex(bytes: &[u8]) -> String {
    let significant = bytes.iter().position(|byte| *byte != 0).map_or(&[][..], |from| &bytes[from..]);
    significant.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads a certificate in DER whose chain was verified.
pub fn read_certificate(der: &[u8]) -> Result<ClientCertificate, CertificateError> {
    let (_, certificate) = X509Certificate::from_der(der)?;
    let extension = certificate.subject_alternative_name()?;
    let names = extension.iter().flat_map(|extension| &extension.value.general_names);
    let names = names.filter_map(|name| match name {
        GeneralName::URI(uri) => Some((*uri).to_owned()),
        GeneralName::DNSName(name) => Some((*name).to_owned()),
        _ => None,
    });
    Ok(ClientCertificate {
        names: names.take(MAX_NAMES).collect(),
        serial: serial_in_hex(certificate.raw_serial()),
        expires_at: Some(Time::from_ms(certificate.validity().not_after.timestamp() as f64 * 1000.0)),
    })
}

/// Reads a certificate revocation list in DER.
pub fn read_revocation_list(der: &[u8]) -> Result<RevocationList, CertificateError> {
    let (_, list) = CertificateRevocationList::from_der(der)?;
    let serials = list.iter_revoked_certificates().map(|revoked| serial_in_hex(revoked.raw_serial()));
    Ok(RevocationList {
        serials: serials.collect(),
        next_update_s: list.next_update().map(|next| next.timestamp()),
    })
}
