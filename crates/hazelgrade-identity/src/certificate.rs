//! What a certificate says of its holder, and what a list of revoked ones says.

use crate::desk::Certificate;
use hazelgrade::time::Time;
use std::collections::BTreeSet;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{CertificateRevocationList, FromDer, X509Certificate};

/// Names that are looked at of one certificate.
const NAMES: usize = 32;

fn serial(bytes: &[u8]) -> String {
    let significant = bytes.iter().position(|byte| *byte != 0).map_or(&[][..], |from| &bytes[from..]);
    significant.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Of a certificate whose chain was verified: its URI and DNS names, its serial, its end.
pub fn read(der: &[u8]) -> Result<Certificate, String> {
    let (_, certificate) = X509Certificate::from_der(der).map_err(|error| error.to_string())?;
    let names = certificate.subject_alternative_name().map_err(|error| error.to_string())?;
    let names = names.iter().flat_map(|names| &names.value.general_names).filter_map(|name| match name {
        GeneralName::URI(uri) => Some((*uri).to_owned()),
        GeneralName::DNSName(name) => Some((*name).to_owned()),
        _ => None,
    });
    Ok(Certificate {
        names: names.take(NAMES).collect(),
        serial: serial(certificate.raw_serial()),
        expires: Some(Time::from_ms(certificate.validity().not_after.timestamp() as f64 * 1000.0)),
    })
}

/// A list of revoked certificates: their serials, and when the next list was due, in seconds since 1970.
pub fn read_revoked(der: &[u8]) -> Result<(BTreeSet<String>, Option<i64>), String> {
    let (_, list) = CertificateRevocationList::from_der(der).map_err(|error| error.to_string())?;
    let serials = list.iter_revoked_certificates().map(|revoked| serial(revoked.raw_serial()));
    Ok((serials.collect(), list.next_update().map(|next| next.timestamp())))
}
