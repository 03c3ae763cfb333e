//! Callers' identities in figures, as tables in Markdown; `docs/capacity.md` has them with what they were taken on.

use super::streaming::{spread, table};
use crate::parts::{failed, program};
use crate::{ALLOCATIONS, SELF};
use comfy_table::Table;
use hazelgrade::time::Time;
use hazelgrade_config::{Document, Fields, Kind, Scalar, error_summary};
use hazelgrade_fakes::callers::{JobOutcome, JobResult, Token};
use hazelgrade_fakes::documents::{BOOK, READ, document};
use hazelgrade_fakes::executor::Workload;
use hazelgrade_fakes::node_process::NodeProcess;
use hazelgrade_fakes::test_environment::{TestEnvironment, start_callers_with_token};
use hazelgrade_fakes::{free_address, wait_until};
use hazelgrade_identity::signer::{PublicKey, Signer};
use hazelgrade_identity::token::Claims;
use hazelgrade_identity::{AccessPolicy, Authenticator, CallerId, Credentials};
use hdrhistogram::Histogram;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, SanType};
use rustls::pki_types::{PrivateKeyDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
use serde_json::json;
use stats_alloc::Region;
use std::collections::{BTreeMap, HashSet};
use std::hint::black_box;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Done = Result<bool, String>;

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const NOW_S: f64 = 1_800_000_000.0;
const RUNS: usize = 9;

pub fn all() -> Done {
    for what in [checks, sizes, connections, load, revocation] {
        println!("{}\n", what()?);
    }
    Ok(true)
}

fn at(seconds: f64) -> Time {
    Time::from_ms(seconds * 1000.0)
}

/// A set of so many callers, each with a job class, a tenant and two networks.
fn set(signer: &Signer, callers: usize, longest: f64) -> Result<Document, String> {
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
        let words = |words: &[String]| Scalar::TextList(words.to_vec());
        put(&format!("caller/caller-{caller}/use_cases"), words(&["read".into(), "book".into()]));
        put(&format!("caller/caller-{caller}/customers"), words(&[format!("c{}", caller % 50), "c0".into()]));
        put(&format!("caller/caller-{caller}/networks"), words(&["127.0.0.0/8".into(), "10.0.0.0/8".into()]));
    }
    Document::from_fields(Kind::Identity, fields, "measure").map_err(|faults| error_summary(&faults, 3))
}

fn compiled(document: &Document) -> Result<AccessPolicy, String> {
    let mut identity = AccessPolicy::from_document(document).map_err(failed)?;
    let names: Vec<String> = (0..50).map(|tenant| format!("c{tenant}")).collect();
    let tenants: BTreeMap<&str, usize> =
        names.iter().enumerate().map(|(at, name)| (name.as_str(), at)).collect();
    identity.compile(&BTreeMap::from([("read", 0), ("book", 1)]), &tenants);
    Ok(identity)
}

fn claims(caller: &str, id: usize, now: f64, lasts: f64) -> Claims {
    let (sub, aud) = (caller.to_owned(), "measure".to_owned());
    Claims { sub, aud, iat: now, exp: now + lasts, nbf: None, jti: Some(id.to_string()) }
}

/// Microseconds of each in some runs, and allocations of each.
fn cost(count: usize, mut what: impl FnMut(usize)) -> (Vec<f64>, f64) {
    let (mut runs, mut allocations) = (Vec::new(), 0.0);
    for run in 0..RUNS {
        let region = Region::new(ALLOCATIONS);
        let began = Instant::now();
        (0..count).for_each(|place| what(run * count + place));
        runs.push(began.elapsed().as_secs_f64() * 1e6 / count as f64);
        allocations = region.change().allocations as f64 / count as f64;
    }
    (runs, allocations)
}

fn checks() -> Result<Table, String> {
    const COUNT: usize = 1000;
    let mut table =
        table(["what is asked of a job", "us each: median (lowest to highest)", "a second", "allocations"]);
    let mut add = |name: &str, (runs, allocations): (Vec<f64>, f64)| {
        let mut sorted = runs.clone();
        sorted.sort_by(f64::total_cmp);
        let a_second = format!("{:.0}", 1e6 / sorted[sorted.len() / 2].max(1e-6));
        let us =
            format!("{:.2} ({:.2} to {:.2})", sorted[sorted.len() / 2], sorted[0], sorted[sorted.len() - 1]);
        table.add_row([name.to_owned(), us, a_second, format!("{allocations:.2}")]);
    };
    for algorithm in ["EdDSA", "ES256"] {
        let signer = Signer::generate(algorithm).map_err(failed)?;
        let mut desk =
            Authenticator::new(compiled(&set(&signer, 100, 600.0)?)?, at(NOW_S)).map_err(failed)?;
        let sign = |id: usize| signer.sign("k1", &claims(&format!("caller-{}", id % 100), id, NOW_S, 300.0));
        let tokens: Vec<String> = (0..COUNT * RUNS).map(sign).collect::<Result<_, _>>().map_err(failed)?;
        add(
            &format!("{algorithm}, a new token: verified and remembered"),
            cost(COUNT, |place| {
                black_box(desk.verify_token(at(NOW_S), &tokens[place], HERE).is_ok());
            }),
        );
        if algorithm == "EdDSA" {
            let known =
                Credentials { token: desk.verify_token(at(NOW_S), &tokens[0], HERE).ok(), certificate: None };
            add(
                "a known token with the job: digest, table, rights",
                cost(COUNT, |place| {
                    let token = desk.verify_token(at(NOW_S), &tokens[place % 100], HERE);
                    let known = Credentials { token: token.ok(), certificate: None };
                    black_box(desk.authorize_and_count(at(NOW_S), &known, 0, Some(0), HERE).is_ok());
                }),
            );
            add(
                "a connection that said hello: key, expiry, rights",
                cost(COUNT, |_| {
                    black_box(desk.authorize_and_count(at(NOW_S), &known, 0, Some(0), HERE).is_ok());
                }),
            );
        }
        let bad: Vec<String> =
            tokens.iter().map(|token| format!("{}AAAA", &token[..token.len() - 4])).collect();
        add(
            &format!("{algorithm}, a bad signature, looked at"),
            cost(COUNT, |place| {
                // Each from a source of its own, so that none is doubted.
                let from = IpAddr::V4(Ipv4Addr::from(place as u32));
                black_box(desk.verify_token(at(NOW_S), &bad[place], from).is_err());
            }),
        );
        add(
            "a bad signature from a doubted source",
            cost(COUNT, |place| {
                black_box(desk.verify_token(at(NOW_S), &bad[place], HERE).is_err());
            }),
        );
    }
    // Rights alone, against plain ways.
    let signer = Signer::generate("EdDSA").map_err(failed)?;
    let identity = compiled(&set(&signer, 1000, 600.0)?)?;
    let ids: Vec<CallerId> =
        (0..1000).filter_map(|caller| identity.caller_by_name(&format!("caller-{caller}"))).collect();
    let triples: Vec<(usize, usize, usize)> =
        (0..1000).flat_map(|caller| [0, 1].map(|case| (caller, case, caller % 50))).collect();
    let hashed: HashSet<(usize, usize, usize)> = triples.iter().copied().collect();
    add(
        "rights of one in 1,000 callers, with its networks: bit sets",
        cost(COUNT * 10, |place| {
            black_box(identity.authorize(ids[place % 1000], place % 2, Some(place % 50), HERE).is_ok());
        }),
    );
    add(
        "the same without networks: a hash set of triples",
        cost(COUNT * 10, |place| {
            black_box(hashed.contains(&(place % 1000, place % 2, place % 50)));
        }),
    );
    add(
        "the same without networks: a scan of triples",
        cost(COUNT, |place| {
            black_box(triples.contains(&(place % 1000, place % 2, place % 50)));
        }),
    );
    Ok(table)
}

fn sizes() -> Result<Table, String> {
    let mut table = table(["callers", "document, KB", "made ready in ms", "memory, KB"]);
    let signer = Signer::generate("EdDSA").map_err(failed)?;
    for callers in [100, 1000, 10_000, 100_000] {
        let document = set(&signer, callers, 600.0)?;
        let kb = document.to_toml().len() / 1024;
        let region = Region::new(ALLOCATIONS);
        let began = Instant::now();
        let identity = compiled(&document)?;
        let lasted = began.elapsed();
        let change = region.change();
        let held = change.bytes_allocated.saturating_sub(change.bytes_deallocated) / 1024;
        black_box(&identity);
        table.add_row([
            callers.to_string(),
            kb.to_string(),
            format!("{:.1}", lasted.as_secs_f64() * 1000.0),
            held.to_string(),
        ]);
    }
    Ok(table)
}

// On sockets.

struct Setting {
    world: TestEnvironment,
    signer: Signer,
}

fn unix_s() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64())
}

impl Setting {
    fn new() -> Result<Setting, String> {
        let work = Workload { cores: 4, job_duration: Duration::from_millis(10), makes_call: true };
        let setting = Setting {
            world: TestEnvironment::new(work).map_err(failed)?,
            signer: Signer::generate("EdDSA").map_err(failed)?,
        };
        let serving = document(&[READ, BOOK], 50, "").map_err(failed)?;
        std::fs::write(setting.file("first.toml"), serving.to_toml()).map_err(failed)?;
        std::fs::write(setting.file("identity.toml"), set(&setting.signer, 100, 3600.0)?.to_toml())
            .map_err(failed)?;
        Ok(setting)
    }

    fn file(&self, name: &str) -> std::path::PathBuf {
        self.world.directory.path().join(name)
    }

    /// A node with these tables in its operator's file.
    fn node(&self, name: &str, tables: &str, control: SocketAddr) -> Result<NodeProcess, String> {
        self.world.executor.restart();
        let stream = format!(
            "lineage = \"demo\"\ndocument = {:?}\n[stream.trial]\nspan_ms = 100\n{tables}",
            self.file("first.toml")
        );
        let mut plan = self.world.node_config(name, &program()?, &[SELF], control, &stream);
        plan.log = "off".into();
        let node = plan.start().map_err(failed)?;
        if wait_until(Duration::from_secs(10), || TcpStream::connect(node.config.listen).is_ok()) {
            Ok(node)
        } else {
            Err(format!("{name} does not listen in time"))
        }
    }

    fn token(&self, caller: usize) -> Result<String, String> {
        self.signer.sign("k1", &claims(&format!("caller-{caller}"), caller, unix_s(), 600.0)).map_err(failed)
    }

    fn identity(&self) -> String {
        format!("[identity]\ndocument = {:?}\n", self.file("identity.toml"))
    }
}

fn quantile(told: &[JobResult], part: f64) -> f64 {
    let Ok(mut waits) = Histogram::<u64>::new(3) else { return 0.0 };
    let succeeded = told.iter().filter(|told| told.outcome == JobOutcome::Succeeded);
    succeeded.for_each(|told| waits.record(told.latency.as_micros() as u64).unwrap_or_default());
    waits.value_at_quantile(part) as f64 / 1000.0
}

/// Job latency without identities, with them, and under a flood of bad tokens.
fn load() -> Result<Table, String> {
    const ROUNDS: usize = 3;
    let lasts = Duration::from_secs(4);
    let mut table = table([
        "200 jobs a second",
        "p50 ms: median (lowest to highest)",
        "p99 ms",
        "satisfied of all",
        "bad tokens a second",
    ]);
    let setting = Setting::new()?;
    let gone = free_address();
    let ways = [
        ("no identities", false, false),
        ("a known token with each job", true, false),
        ("the same under a flood of bad tokens", true, true),
    ];
    let mut runs: Vec<Vec<Vec<JobResult>>> = vec![Vec::new(); ways.len()];
    let mut floods = vec![0u64; ways.len()];
    for _ in 0..ROUNDS {
        for (place, (_, named, flooded)) in ways.iter().enumerate() {
            let tables = if *named { setting.identity() } else { String::new() };
            let node = setting.node(&format!("n{place}"), &tables, gone)?;
            let token: Option<Token> =
                named.then(|| setting.token(0).map(|token| Arc::new(Mutex::new(token)))).transpose()?;
            let callers = start_callers_with_token(node.config.listen, 200.0, &["read"], token);
            let (listen, until) = (node.config.listen, Instant::now() + lasts);
            let flood = flooded.then(|| std::thread::spawn(move || flood(listen, until)));
            std::thread::sleep(lasts);
            floods[place] += flood.and_then(|flood| flood.join().ok()).unwrap_or(0);
            runs[place].push(callers.stop().results);
        }
    }
    for ((name, _, _), (runs, flood)) in ways.iter().zip(runs.iter().zip(&floods)) {
        let all: usize = runs.iter().map(Vec::len).sum();
        let succeeded = runs.iter().flatten().filter(|told| told.outcome == JobOutcome::Succeeded).count();
        table.add_row([
            (*name).to_owned(),
            spread(runs.iter().map(|run| quantile(run, 0.5)).collect()),
            spread(runs.iter().map(|run| quantile(run, 0.99)).collect()),
            format!("{succeeded} of {all}"),
            (flood / (ROUNDS as u64 * lasts.as_secs())).to_string(),
        ]);
    }
    Ok(table)
}

/// Bad tokens as fast as a client can send them, on new connections when they are closed.
fn flood(listen: SocketAddr, until: Instant) -> u64 {
    let mut sent = 0;
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(listen) else { continue };
        while Instant::now() < until {
            let token = format!("eyJhbGciOiJFZERTQSIsImtpZCI6ImsxIn0.e30.{sent:086}");
            let line =
                json!({"jsonrpc": "2.0", "id": sent + 1, "method": "hello", "params": {"token": token}});
            if stream.write_all(format!("{line}\n").as_bytes()).is_err() {
                break;
            }
            sent += 1;
        }
    }
    sent
}

/// User and system time that a process has taken, in ms.
fn cpu_ms(process: &Child) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |place: usize| fields.get(place).and_then(|ticks| ticks.parse::<f64>().ok()).unwrap_or(0.0);
    // A hundred ticks a second, as everywhere that this runs.
    (ticks(11) + ticks(12)) * 10.0
}

/// New and resumed connections, plain and under TLS.
fn connections() -> Result<Table, String> {
    const COUNT: usize = 300;
    let mut table = table([
        "a connection and a check on it",
        "p50 ms",
        "p99 ms",
        "CPU of the node, ms each",
        "connections",
    ]);
    let setting = Setting::new()?;
    let authority = KeyPair::generate().map_err(failed)?;
    let mut params = CertificateParams::new(vec![]).map_err(failed)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let root = params.self_signed(&authority).map_err(failed)?;
    let issuer = Issuer::from_params(&params, &authority);
    let sign = |uri: Option<&str>| -> Result<(rcgen::Certificate, KeyPair), String> {
        let key = KeyPair::generate().map_err(failed)?;
        let mut params = CertificateParams::new(vec!["node.test".to_owned()]).map_err(failed)?;
        if let Some(uri) = uri {
            params.subject_alt_names = vec![SanType::URI(uri.try_into().map_err(failed)?)];
        }
        Ok((params.signed_by(&key, &issuer).map_err(failed)?, key))
    };
    let (certificate, key) = sign(None)?;
    for (name, text) in
        [("node.pem", certificate.pem()), ("node.key", key.serialize_pem()), ("clients.pem", root.pem())]
    {
        std::fs::write(setting.file(name), text).map_err(failed)?;
    }
    let tls = format!(
        "[tls]\ncertificate = {:?}\nkey = {:?}\nclients = {:?}\n",
        setting.file("node.pem"),
        setting.file("node.key"),
        setting.file("clients.pem")
    );
    let (shown, shown_key) = sign(Some("spiffe://measure/caller"))?;
    let mut roots = RootCertStore::empty();
    roots.add(root.der().clone()).map_err(failed)?;
    let config = || -> Result<Arc<ClientConfig>, String> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(failed)?;
        let private = PrivateKeyDer::try_from(shown_key.serialize_der()).map_err(failed)?;
        let chain = vec![shown.der().clone()];
        let config = builder.with_root_certificates(roots.clone()).with_client_auth_cert(chain, private);
        config.map(Arc::new).map_err(failed)
    };
    let ping = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}\n";
    let gone = free_address();
    for (name, tables, resumes) in [
        ("plain", "", false),
        ("TLS, new, both certificates", tls.as_str(), false),
        ("TLS, resumed", tls.as_str(), true),
    ] {
        let node = setting.node(&name.replace([' ', ','], "-"), tables, gone)?;
        let kept = config()?;
        let mut waits = Histogram::<u64>::new(3).map_err(failed)?;
        let before = cpu_ms(node.process());
        for _ in 0..COUNT {
            let config = if resumes { kept.clone() } else { config()? };
            let began = Instant::now();
            let stream = TcpStream::connect(node.config.listen).map_err(failed)?;
            stream.set_nodelay(true).map_err(failed)?;
            let mut line = String::new();
            if tables.is_empty() {
                (&stream).write_all(ping.as_bytes()).map_err(failed)?;
                BufReader::new(&stream).read_line(&mut line).map_err(failed)?;
            } else {
                let host = ServerName::try_from("node.test").map_err(failed)?;
                let client = ClientConnection::new(config, host).map_err(failed)?;
                let mut secure = StreamOwned::new(client, stream);
                secure.write_all(ping.as_bytes()).map_err(failed)?;
                BufReader::new(&mut secure).read_line(&mut line).map_err(failed)?;
            }
            waits.record(began.elapsed().as_micros() as u64).map_err(failed)?;
        }
        let cpu = (cpu_ms(node.process()) - before) / COUNT as f64;
        let ms = |part: f64| format!("{:.2}", waits.value_at_quantile(part) as f64 / 1000.0);
        table.add_row([name.to_owned(), ms(0.5), ms(0.99), format!("{cpu:.2}"), COUNT.to_string()]);
    }
    Ok(table)
}

/// A process that ends with its measurement.
struct Service(Child);

impl Drop for Service {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// From the document's rename until the first job of a revoked caller is denied and none is served any more.
fn revocation() -> Result<Table, String> {
    const RUNS: usize = 7;
    let mut table =
        table(["a caller is revoked", "to the last job served, ms: median (lowest to highest)", "runs"]);
    let setting = Setting::new()?;
    let documents = setting.file("documents");
    std::fs::create_dir(&documents).map_err(failed)?;
    std::fs::copy(setting.file("first.toml"), documents.join("serving.toml")).map_err(failed)?;
    let right = set(&setting.signer, 100, 3600.0)?.to_toml();
    let publish = |text: &str| {
        let next = documents.join("next");
        std::fs::write(&next, text)
            .and_then(|()| std::fs::rename(&next, documents.join("identity.toml")))
            .map_err(failed)
    };
    publish(&right)?;
    let control = free_address();
    let mut command = Command::new(program()?);
    command.args([SELF, "control", "--lineage", "demo", "--log", "off", "--documents"]).arg(&documents);
    let service = command.args(["--listen", &control.to_string()]).stdin(Stdio::null()).spawn();
    let _service = Service(service.map_err(failed)?);
    let node = setting.node("n1", "[identity]\nstreamed = true\ntrial_ms = 100\n", control)?;
    let mut runs = Vec::new();
    for run in 0..RUNS {
        let token: Token = Arc::new(Mutex::new(setting.token(run)?));
        let callers = start_callers_with_token(node.config.listen, 300.0, &["read"], Some(token));
        let served = |callers: &[JobResult]| {
            callers.iter().filter(|told| told.outcome == JobOutcome::Succeeded).count()
        };
        if !wait_until(Duration::from_secs(10), || served(&callers.results()) > 30) {
            return Err(format!("caller {run} is not served in time"));
        }
        let table = format!("[caller.caller-{run}]\n");
        let began = Instant::now();
        publish(&right.replace(&table, &format!("{table}revoked = true\n")))?;
        std::thread::sleep(Duration::from_millis(700));
        let told = callers.stop().results;
        let last =
            told.iter().filter(|told| told.outcome == JobOutcome::Succeeded).map(|told| told.sent).max();
        runs.push(last.map_or(0.0, |last| last.saturating_duration_since(began).as_secs_f64() * 1000.0));
    }
    table.add_row([
        "its document replaced at the control service".to_owned(),
        spread(runs),
        RUNS.to_string(),
    ]);
    Ok(table)
}
