//! New and resumed connections, plain and under TLS.

use super::environment::IdentityEnvironment;
use crate::measure::report::table;
use crate::processes::to_message;
use comfy_table::Table;
use hazelgrade_fakes::free_address;
use hdrhistogram::Histogram;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, SanType};
use rustls::pki_types::{PrivateKeyDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::process::Child;
use std::sync::Arc;
use std::time::Instant;

/// User and system time that a process has taken, in ms.
fn cpu_ms(process: &Child) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |place: usize| fields.get(place).and_then(|ticks| ticks.parse::<f64>().ok()).unwrap_or(0.0);
    // A hundred ticks a second, as everywhere that this runs.
    (ticks(11) + ticks(12)) * 10.0
}

/// New and resumed connections, plain and under TLS.
#[allow(clippy::too_many_lines)] // one measurement, read from top to bottom
pub fn connections() -> Result<Table, String> {
    const COUNT: usize = 300;
    let mut table = table([
        "a connection and a check on it",
        "p50 ms",
        "p99 ms",
        "CPU of the node, ms each",
        "connections",
    ]);
    let environment = IdentityEnvironment::new()?;
    let authority = KeyPair::generate().map_err(to_message)?;
    let mut params = CertificateParams::new(vec![]).map_err(to_message)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let root = params.self_signed(&authority).map_err(to_message)?;
    let issuer = Issuer::from_params(&params, &authority);
    let sign = |uri: Option<&str>| -> Result<(rcgen::Certificate, KeyPair), String> {
        let key = KeyPair::generate().map_err(to_message)?;
        let mut params = CertificateParams::new(vec!["node.test".to_owned()]).map_err(to_message)?;
        if let Some(uri) = uri {
            params.subject_alt_names = vec![SanType::URI(uri.try_into().map_err(to_message)?)];
        }
        Ok((params.signed_by(&key, &issuer).map_err(to_message)?, key))
    };
    let (certificate, key) = sign(None)?;
    for (name, text) in
        [("node.pem", certificate.pem()), ("node.key", key.serialize_pem()), ("clients.pem", root.pem())]
    {
        std::fs::write(environment.file(name), text).map_err(to_message)?;
    }
    let tls = format!(
        "[tls]\ncertificate = {:?}\nkey = {:?}\nclients = {:?}\n",
        environment.file("node.pem"),
        environment.file("node.key"),
        environment.file("clients.pem")
    );
    let (shown, shown_key) = sign(Some("spiffe://measure/caller"))?;
    let mut roots = RootCertStore::empty();
    roots.add(root.der().clone()).map_err(to_message)?;
    let config = || -> Result<Arc<ClientConfig>, String> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(to_message)?;
        let private = PrivateKeyDer::try_from(shown_key.serialize_der()).map_err(to_message)?;
        let chain = vec![shown.der().clone()];
        let config = builder.with_root_certificates(roots.clone()).with_client_auth_cert(chain, private);
        config.map(Arc::new).map_err(to_message)
    };
    let ping = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}\n";
    let gone = free_address();
    for (name, tables, resumes) in [
        ("plain", "", false),
        ("TLS, new, both certificates", tls.as_str(), false),
        ("TLS, resumed", tls.as_str(), true),
    ] {
        let node = environment.node(&name.replace([' ', ','], "-"), tables, gone)?;
        let kept = config()?;
        let mut waits = Histogram::<u64>::new(3).map_err(to_message)?;
        let before = cpu_ms(node.process());
        for _ in 0..COUNT {
            let config = if resumes { kept.clone() } else { config()? };
            let began = Instant::now();
            let stream = TcpStream::connect(node.config.listen).map_err(to_message)?;
            stream.set_nodelay(true).map_err(to_message)?;
            let mut line = String::new();
            if tables.is_empty() {
                (&stream).write_all(ping.as_bytes()).map_err(to_message)?;
                BufReader::new(&stream).read_line(&mut line).map_err(to_message)?;
            } else {
                let host = ServerName::try_from("node.test").map_err(to_message)?;
                let client = ClientConnection::new(config, host).map_err(to_message)?;
                let mut secure = StreamOwned::new(client, stream);
                secure.write_all(ping.as_bytes()).map_err(to_message)?;
                BufReader::new(&mut secure).read_line(&mut line).map_err(to_message)?;
            }
            waits.record(began.elapsed().as_micros() as u64).map_err(to_message)?;
        }
        let cpu = (cpu_ms(node.process()) - before) / COUNT as f64;
        let ms = |part: f64| format!("{:.2}", waits.value_at_quantile(part) as f64 / 1000.0);
        table.add_row([name.to_owned(), ms(0.5), ms(0.99), format!("{cpu:.2}"), COUNT.to_string()]);
    }
    Ok(table)
}
