//! Reads the TLS files: the node's certificate and key, the authorities of client certificates, and revocation lists.

use crate::routing::context::RequestContext;
use crate::transport::tls::Tls;
use hazelgrade_config::operator::TlsConfig;
use hazelgrade_identity::certificate;
use rustls::crypto::CryptoProvider;
use rustls::crypto::ring::default_provider;
use rustls::server::WebPkiClientVerifier;
use rustls::server::danger::ClientCertVerifier;
use rustls::{RootCertStore, ServerConfig};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, CertificateRevocationListDer, PrivateKeyDer};
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Reads the TLS files and applies their content to new connections. Revocations apply to open connections too.
///
/// # Errors
/// Returns an error for the first invalid file, with the field that names the file. TLS settings stay unchanged.
pub fn load(config: &TlsConfig, tls: &Tls, context: &RequestContext) -> Result<(), String> {
    let LoadedTls { server, revoked_serials } = read(config)?;
    context.callers.set_revoked_certificates(revoked_serials);
    tls.replace(Arc::new(server));
    Ok(())
}

struct LoadedTls {
    server: ServerConfig,
    revoked_serials: BTreeSet<String>,
}

fn field_error(field: &str, path: &Path, error: impl std::fmt::Display) -> String {
    format!("field tls.{field}: {}: {error}", path.display())
}

fn read(config: &TlsConfig) -> Result<LoadedTls, String> {
    let chain = read_certificates("certificate", &config.certificate)?;
    let key_error = |error: &dyn std::fmt::Display| field_error("key", &config.key, error);
    let key = PrivateKeyDer::from_pem_file(&config.key).map_err(|error| key_error(&error))?;
    let provider = Arc::new(default_provider());
    let server = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .map_err(|error| error.to_string())?;
    let mut revoked_serials = BTreeSet::new();
    let server = match &config.client_authorities {
        None => server.with_no_client_auth(),
        Some(authorities) => {
            let revocations = config.client_revocations.as_deref();
            let verifier = client_verifier(authorities, revocations, provider, &mut revoked_serials)?;
            server.with_client_cert_verifier(verifier)
        }
    };
    let server = server.with_single_cert(chain, key).map_err(|error| key_error(&error))?;
    Ok(LoadedTls { server, revoked_serials })
}

fn read_certificates(field: &str, path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let certificates = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
    let certificates = certificates.map_err(|error| field_error(field, path, error))?;
    if certificates.is_empty() {
        return Err(field_error(field, path, "expected a certificate in PEM"));
    }
    Ok(certificates)
}

/// Builds the verifier of client certificates. A client certificate is optional, because clients may authenticate by a
/// token instead.
fn client_verifier(
    authorities: &Path,
    revocations: Option<&Path>,
    provider: Arc<CryptoProvider>,
    revoked_serials: &mut BTreeSet<String>,
) -> Result<Arc<dyn ClientCertVerifier>, String> {
    let authorities_error = |error: &dyn std::fmt::Display| field_error("clients", authorities, error);
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates("clients", authorities)? {
        roots.add(certificate).map_err(|error| authorities_error(&error))?;
    }
    let mut verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider);
    if let Some(path) = revocations {
        let lists = read_revocation_lists(path, revoked_serials)?;
        verifier = verifier.with_crls(lists).allow_unknown_revocation_status();
    }
    verifier.allow_unauthenticated().build().map_err(|error| authorities_error(&error))
}

fn read_revocation_lists(
    path: &Path,
    revoked_serials: &mut BTreeSet<String>,
) -> Result<Vec<CertificateRevocationListDer<'static>>, String> {
    let list_error = |error: &dyn std::fmt::Display| field_error("revoked", path, error);
    let lists = CertificateRevocationListDer::pem_file_iter(path)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| list_error(&error))?;
    for list in &lists {
        let list = certificate::read_revocation_list(list).map_err(|error| list_error(&error))?;
        revoked_serials.extend(list.serials);
        let now_s = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs() as i64);
        if list.next_update_s.is_some_and(|next_update_s| next_update_s < now_s) {
            // An outdated list is still used. Without the list, either revoked clients would be accepted or all clients
            // would be rejected.
            tracing::warn!(path = %path.display(), "revocation list past its next update is still used");
        }
    }
    Ok(lists)
}
