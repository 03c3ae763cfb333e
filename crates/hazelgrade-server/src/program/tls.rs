//! The files of TLS: the node's certificate and key, whose certificates clients may show, and which of these are revoked.

use crate::routing::job::Parts;
use crate::transport::tls::Tls;
use hazelgrade_config::operator::Encrypted;
use hazelgrade_identity::certificate;
use rustls::crypto::ring::default_provider;
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, CertificateRevocationListDer, PrivateKeyDer};
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Takes the files as they are now: for connections from now on, and revocations for those that stand too. Files that are
/// wrong change nothing.
pub fn load(encrypted: &Encrypted, tls: &Tls, parts: &Parts) -> Result<(), String> {
    let (config, revoked) = read(encrypted)?;
    parts.callers.revoke(revoked);
    tls.replace(Arc::new(config));
    Ok(())
}

fn wrong(field: &str, path: &Path, why: impl std::fmt::Display) -> String {
    format!("field tls.{field}: {}: {why}", path.display())
}

fn certificates(field: &str, path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
    let read = read.map_err(|error| wrong(field, path, error))?;
    if read.is_empty() { Err(wrong(field, path, "expected a certificate in PEM")) } else { Ok(read) }
}

fn read(encrypted: &Encrypted) -> Result<(ServerConfig, BTreeSet<String>), String> {
    let Encrypted { certificate, key, clients, revoked } = encrypted;
    let chain = certificates("certificate", certificate)?;
    let private = PrivateKeyDer::from_pem_file(key).map_err(|error| wrong("key", key, error))?;
    let provider = Arc::new(default_provider());
    let config = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .map_err(|error| error.to_string())?;
    let mut serials = BTreeSet::new();
    let config = match clients {
        None => config.with_no_client_auth(),
        Some(path) => {
            let mut roots = RootCertStore::empty();
            for certificate in certificates("clients", path)? {
                roots.add(certificate).map_err(|error| wrong("clients", path, error))?;
            }
            let mut verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider);
            if let Some(path) = revoked {
                let lists = CertificateRevocationListDer::pem_file_iter(path)
                    .and_then(Iterator::collect::<Result<Vec<_>, _>>)
                    .map_err(|error| wrong("revoked", path, error))?;
                for list in &lists {
                    let list = certificate::read_revocation_list(list)
                        .map_err(|error| wrong("revoked", path, error))?;
                    serials.extend(list.serials);
                    let now = SystemTime::now()
                        .duration_since(UNIX_EPOCH)
                        .map_or(0, |since| since.as_secs() as i64);
                    if list.next_update_s.is_some_and(|next| next < now) {
                        // It still says who was revoked; without it more would be let in, or nobody.
                        tracing::warn!(path = %path.display(), "the list of revoked certificates is past its next update");
                    }
                }
                verifier = verifier.with_crls(lists).allow_unknown_revocation_status();
            }
            // Who shows none may still name itself by a token.
            let verifier = verifier.allow_unauthenticated().build();
            config.with_client_cert_verifier(verifier.map_err(|error| wrong("clients", path, error))?)
        }
    };
    let config = config.with_single_cert(chain, private).map_err(|error| wrong("key", key, error))?;
    Ok((config, serials))
}
