//! Tests of TLS on client connections: callers named by certificates, revoked certificates, replaced certificate
//! authorities and incomplete handshakes.

use super::*;
use rcgen::{
    BasicConstraints, CertificateParams, CertificateRevocationListParams, IsCa, Issuer, KeyIdMethod, KeyPair,
    KeyUsagePurpose, RevokedCertParams, SanType, SerialNumber, date_time_ymd,
};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, ClientConnection, HandshakeKind, RootCertStore, StreamOwned};

struct Authority {
    params: CertificateParams,
    key: KeyPair,
    pem: String,
    der: CertificateDer<'static>,
}

impl Authority {
    fn new() -> Authority {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(vec![]).expect("params");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let certificate = params.self_signed(&key).expect("a certificate");
        Authority { pem: certificate.pem(), der: certificate.der().clone(), params, key }
    }

    fn issuer(&self) -> Issuer<'_, &KeyPair> {
        Issuer::from_params(&self.params, &self.key)
    }

    /// Issues a certificate. Returns the certificate and its private key, first in PEM and then in DER.
    fn sign(
        &self,
        uri: Option<&str>,
        serial: u64,
    ) -> (String, String, CertificateDer<'static>, PrivateKeyDer<'static>) {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(vec!["node.test".to_owned()]).expect("params");
        if let Some(uri) = uri {
            params.subject_alt_names = vec![SanType::URI(uri.try_into().expect("a name"))];
        }
        params.serial_number = Some(SerialNumber::from(serial));
        let certificate = params.signed_by(&key, &self.issuer()).expect("a certificate");
        let private = PrivateKeyDer::try_from(key.serialize_der()).expect("a key");
        (certificate.pem(), key.serialize_pem(), certificate.der().clone(), private)
    }

    fn revocation_list(&self, serials: &[u64], next_year: i32) -> String {
        let revoked = serials.iter().map(|serial| RevokedCertParams {
            serial_number: SerialNumber::from(*serial),
            revocation_time: date_time_ymd(2026, 1, 1),
            reason_code: None,
            invalidity_date: None,
        });
        let list = CertificateRevocationListParams {
            this_update: date_time_ymd(2025, 1, 1),
            next_update: date_time_ymd(next_year, 1, 1),
            crl_number: SerialNumber::from(1u64),
            issuing_distribution_point: None,
            revoked_certs: revoked.collect(),
            key_identifier_method: KeyIdMethod::Sha256,
        };
        list.signed_by(&self.issuer()).expect("a list").pem().expect("in PEM")
    }
}

const FRONT: &str = "spiffe://agenda/front";

struct Files {
    folder: PathBuf,
    server: Authority,
    clients: Authority,
}

impl Files {
    fn new(setup: &TestSetup) -> Files {
        let files = Files {
            folder: setup.environment.directory.path().to_owned(),
            server: Authority::new(),
            clients: Authority::new(),
        };
        let (certificate, key, _, _) = files.server.sign(None, 1);
        files.write("node.pem", &certificate);
        files.write("node.key", &key);
        files.write("clients.pem", &files.clients.pem);
        files.write("revoked.pem", &files.clients.revocation_list(&[], 2040));
        setup.edit_document(|text| {
            text.replace("[caller.front]\n", &format!("[caller.front]\ncertificates = [{FRONT:?}]\n"))
        });
        files
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.folder.join(name), text).expect("file operation");
    }

    fn operator(&self, setup: &TestSetup) -> String {
        let at = |name: &str| self.folder.join(name);
        format!(
            "[identity]\ndocument = {:?}\n[tls]\ncertificate = {:?}\nkey = {:?}\nclients = {:?}\nrevoked = {:?}\n",
            setup.identity_document(),
            at("node.pem"),
            at("node.key"),
            at("clients.pem"),
            at("revoked.pem")
        )
    }

    /// Returns the TLS configuration of a client, with a certificate of the given authority and serial number, if any.
    fn client(&self, certificate: Option<(&Authority, u64)>) -> Arc<ClientConfig> {
        let mut roots = RootCertStore::empty();
        roots.add(self.server.der.clone()).expect("a root");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .expect("versions");
        let builder = builder.with_root_certificates(roots);
        let config = match certificate {
            Some((authority, serial)) => {
                let (_, _, certificate, key) = authority.sign(Some(FRONT), serial);
                builder.with_client_auth_cert(vec![certificate], key).expect("a certificate")
            }
            None => builder.with_no_client_auth(),
        };
        Arc::new(config)
    }
}

struct SecureConnection(BufReader<StreamOwned<ClientConnection, TcpStream>>);

impl SecureConnection {
    fn connect(node: &NodeProcess, config: &Arc<ClientConfig>) -> Option<SecureConnection> {
        let stream = TcpStream::connect(node.config.listen).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        let name = ServerName::try_from("node.test").expect("a name");
        let client = ClientConnection::new(config.clone(), name).expect("a client");
        let mut secure = SecureConnection(BufReader::new(StreamOwned::new(client, stream)));
        // The node may reject the certificate until its first answer, also after the client's part of the handshake.
        secure.request(&json!({"jsonrpc": "2.0", "id": 1, "method": "ping"}))?;
        Some(secure)
    }

    fn request(&mut self, message: &Value) -> Option<Value> {
        self.0.get_mut().write_all(format!("{message}\n").as_bytes()).ok()?;
        let mut line = String::new();
        self.0.read_line(&mut line).ok()?;
        serde_json::from_str(&line).ok()
    }

    fn job(&mut self, call: u64, job_class: &str, token: Option<&str>) -> Value {
        let answer = self.request(&json!({"jsonrpc": "2.0", "id": call, "method": job_class, "params": {
            "req": format!("t{call:04}{:08x}", unix_ms() as u32), "ts": unix_ms(), "via": 1,
            "need": 12.5, "level": 0.5, "body": "aGVsbG8=", "token": token}}));
        answer.expect("an answer")
    }

    fn resumed(&self) -> bool {
        self.0.get_ref().conn.handshake_kind() == Some(HandshakeKind::Resumed)
    }
}

/// Starts a node with TLS and waits until it is ready. Its health is requested over TLS, as the node accepts no plain
/// connections.
fn start_node(setup: &TestSetup, files: &Files) -> NodeProcess {
    let program = Path::new(env!("CARGO_BIN_EXE_hazelgrade"));
    let stream = format!("lineage = \"test\"\n[stream.trial]\nspan_ms = 100\n{}", files.operator(setup));
    let config = setup.environment.node_config("n1", program, &[], setup.control_address, &stream);
    let node = NodeConfig { log: "error".into(), ..config }.start().expect("process starts");
    let ready = || {
        let up = SecureConnection::connect(&node, &files.client(None))
            .and_then(|mut secure| secure.request(&json!({"jsonrpc": "2.0", "id": 2, "method": "ping"})));
        up.is_some_and(|up| up["result"]["up"] == true)
    };
    assert!(wait_until(WAIT_TIMEOUT, ready), "the node is ready before the time-out");
    node
}

#[test]
fn a_certificate_names_its_caller_and_a_revoked_one_is_denied_on_open_connections_and_by_resumption() {
    let setup = TestSetup::new();
    let files = Files::new(&setup);
    let node = start_node(&setup, &files);
    let (front, other) = (files.client(Some((&files.clients, 7))), files.client(Some((&files.clients, 8))));
    let mut old = SecureConnection::connect(&node, &front).expect("connects");
    assert!(succeeded(&old.job(2, "read", None)));
    assert_eq!(denied(&old.job(3, "book", None)), "the caller may not ask for this use case");
    let mut resumed = SecureConnection::connect(&node, &front).expect("connects");
    assert!(
        resumed.resumed() && succeeded(&resumed.job(2, "read", None)),
        "a resumed session keeps its caller"
    );
    let mut unrevoked = SecureConnection::connect(&node, &other).expect("connects");
    // A client without a certificate is named by a token.
    let mut without_certificate = SecureConnection::connect(&node, &files.client(None)).expect("connects");
    assert_eq!(denied(&without_certificate.job(2, "read", None)), "no token or certificate names the caller");
    let desk = setup.token("desk", "30");
    assert!(succeeded(&without_certificate.job(3, "book", Some(&desk))));

    // A revocation list past its next update still revokes certificates.
    files.write("revoked.pem", &files.clients.revocation_list(&[7], 2026));
    assert!(node.signal("HUP"));
    let mut call = 10;
    assert!(wait_until(WAIT_TIMEOUT, || {
        call += 1;
        !succeeded(&old.job(call, "read", None))
    }));
    assert_eq!(denied(&old.job(900, "read", None)), "revoked");
    assert_eq!(denied(&resumed.job(901, "read", None)), "revoked");
    for _ in 0..3 {
        let served = SecureConnection::connect(&node, &front)
            .is_some_and(|mut secure| succeeded(&secure.job(2, "read", None)));
        assert!(!served, "a revoked certificate is denied on new and on resumed sessions");
    }
    assert!(succeeded(&unrevoked.job(2, "read", None)), "jobs with other certificates are still admitted");
}

#[test]
fn replacing_an_authority_drops_no_connection_and_wrong_files_change_nothing() {
    let setup = TestSetup::new();
    let files = Files::new(&setup);
    let node = start_node(&setup, &files);
    let before = files.client(Some((&files.clients, 7)));
    let mut old = SecureConnection::connect(&node, &before).expect("connects");
    assert!(succeeded(&old.job(2, "read", None)));
    files.write("node.key", "no key");
    assert!(node.signal("HUP"));
    assert!(succeeded(&SecureConnection::connect(&node, &before).expect("connects").job(2, "read", None)));
    let next = Authority::new();
    let (certificate, key, _, _) = files.server.sign(None, 2);
    files.write("node.pem", &certificate);
    files.write("node.key", &key);
    files.write("clients.pem", &next.pem);
    files.write("revoked.pem", &next.revocation_list(&[], 2040));
    assert!(node.signal("HUP"));
    let after = files.client(Some((&next, 7)));
    assert!(
        wait_until(WAIT_TIMEOUT, || SecureConnection::connect(&node, &after).is_some()),
        "the new authority's certificates are accepted"
    );
    assert!(
        SecureConnection::connect(&node, &before).is_none(),
        "certificates of the old authority are rejected"
    );
    assert!(succeeded(&old.job(3, "read", None)), "an open connection stays usable");
}

#[test]
fn a_flood_of_incomplete_handshakes_is_bounded_and_other_clients_connect() {
    let setup = TestSetup::new();
    let files = Files::new(&setup);
    let node = start_node(&setup, &files);
    let front = files.client(Some((&files.clients, 7)));
    let began = Instant::now();
    let incomplete: Vec<TcpStream> = (0..300)
        .filter_map(|index| {
            let mut stream = TcpStream::connect(node.config.listen).ok()?;
            // Half of the clients send nothing, and half send only the start of a TLS record.
            (index % 2 == 0).then(|| stream.write_all(&[22, 3, 1, 2, 0, 1, 0, 1])).transpose().ok()?;
            Some(stream)
        })
        .collect();
    assert!(incomplete.len() > 250);
    let mut secure = SecureConnection::connect(&node, &front).expect("connects");
    assert!(succeeded(&secure.job(2, "read", None)));
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "the client connects before the incomplete handshakes time out"
    );
    let closed = |stream: &TcpStream| {
        let _ = stream.set_nonblocking(true);
        matches!(std::io::Read::read(&mut &*stream, &mut [0]), Ok(0))
            || stream.take_error().is_ok_and(|error| error.is_some())
    };
    let is_open = |stream: &&TcpStream| !closed(stream);
    assert!(
        wait_until(Duration::from_secs(1), || incomplete.iter().filter(is_open).count() <= 130),
        "incomplete handshakes beyond the bound are closed"
    );
    assert!(
        wait_until(Duration::from_secs(4), || incomplete.iter().all(closed)),
        "all incomplete handshakes time out"
    );
    assert!(succeeded(&secure.job(3, "read", None)));
}
