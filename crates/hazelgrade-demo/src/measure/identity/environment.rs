//! Identity documents, tokens, and nodes that check them.

use crate::SELF;
use crate::processes::{program, to_message};
use hazelgrade_config::{Document, Fields, Kind, Scalar, error_summary};
use hazelgrade_fakes::documents::{BOOK, READ, document};
use hazelgrade_fakes::executor::Workload;
use hazelgrade_fakes::node_process::NodeProcess;
use hazelgrade_fakes::test_environment::TestEnvironment;
use hazelgrade_fakes::wait_until;
use hazelgrade_identity::AccessPolicy;
use hazelgrade_identity::signer::{PublicKey, Signer};
use hazelgrade_identity::token::Claims;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A set of so many callers, each with a job class, a tenant and two networks.
pub fn identity_document(signer: &Signer, callers: usize, longest: f64) -> Result<Document, String> {
    let mut fields = Fields::default();
    let PublicKey { x, y } = signer.public_key();
    let mut put = |path: &str, value| fields.0.insert(path.to_owned(), value);
    put("audience", Scalar::Text("measure".into()));
    put("longest_token_s", Scalar::Number(longest));
    put("key/k1/algorithm", Scalar::Text(signer.algorithm().into()));
    put("key/k1/x", Scalar::Text(x));
    y.map(|y| put("key/k1/y", Scalar::Text(y)));
    put("key/k1/active_from_s", Scalar::Number(0.0));
    put("key/k1/valid_until_s", Scalar::Number(5e9));
    for caller in 0..callers {
        let texts = |texts: &[String]| Scalar::TextList(texts.to_vec());
        put(&format!("caller/caller-{caller}/use_cases"), texts(&["read".into(), "book".into()]));
        put(&format!("caller/caller-{caller}/customers"), texts(&[format!("c{}", caller % 50), "c0".into()]));
        put(&format!("caller/caller-{caller}/networks"), texts(&["127.0.0.0/8".into(), "10.0.0.0/8".into()]));
    }
    Document::from_fields(Kind::Identity, fields, "measure").map_err(|faults| error_summary(&faults, 3))
}

pub fn compiled(document: &Document) -> Result<AccessPolicy, String> {
    let mut identity = AccessPolicy::from_document(document).map_err(to_message)?;
    let names: Vec<String> = (0..50).map(|tenant| format!("c{tenant}")).collect();
    let tenants: BTreeMap<&str, usize> =
        names.iter().enumerate().map(|(at, name)| (name.as_str(), at)).collect();
    identity.compile(&BTreeMap::from([("read", 0), ("book", 1)]), &tenants);
    Ok(identity)
}

pub fn claims(caller: &str, id: usize, now: f64, lasts: f64) -> Claims {
    let (sub, aud) = (caller.to_owned(), "measure".to_owned());
    Claims { sub, aud, iat: now, exp: now + lasts, nbf: None, jti: Some(id.to_string()) }
}

/// A node's surroundings with a signer and an identity document.
pub struct IdentityEnvironment {
    surroundings: TestEnvironment,
    pub signer: Signer,
}

fn unix_s() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64())
}

impl IdentityEnvironment {
    pub fn new() -> Result<IdentityEnvironment, String> {
        let work = Workload { cores: 4, job_duration: Duration::from_millis(10), makes_call: true };
        let environment = IdentityEnvironment {
            surroundings: TestEnvironment::new(work).map_err(to_message)?,
            signer: Signer::generate("EdDSA").map_err(to_message)?,
        };
        let serving = document(&[READ, BOOK], 50, "").map_err(to_message)?;
        std::fs::write(environment.file("first.toml"), serving.to_toml()).map_err(to_message)?;
        std::fs::write(
            environment.file("identity.toml"),
            identity_document(&environment.signer, 100, 3600.0)?.to_toml(),
        )
        .map_err(to_message)?;
        Ok(environment)
    }

    pub fn file(&self, name: &str) -> std::path::PathBuf {
        self.surroundings.directory.path().join(name)
    }

    /// A node with these tables in its operator's file.
    pub fn node(&self, name: &str, tables: &str, control: SocketAddr) -> Result<NodeProcess, String> {
        self.surroundings.executor.restart();
        let stream = format!(
            "lineage = \"demo\"\ndocument = {:?}\n[stream.trial]\nspan_ms = 100\n{tables}",
            self.file("first.toml")
        );
        let mut plan = self.surroundings.node_config(name, &program()?, &[SELF], control, &stream);
        plan.log = "off".into();
        let node = plan.start().map_err(to_message)?;
        if wait_until(Duration::from_secs(10), || TcpStream::connect(node.config.listen).is_ok()) {
            Ok(node)
        } else {
            Err(format!("{name} does not listen in time"))
        }
    }

    pub fn token(&self, caller: usize) -> Result<String, String> {
        self.signer
            .sign("k1", &claims(&format!("caller-{caller}"), caller, unix_s(), 600.0))
            .map_err(to_message)
    }

    pub fn identity(&self) -> String {
        format!("[identity]\ndocument = {:?}\n", self.file("identity.toml"))
    }
}
