//! The command line.

use super::streaming::read_document;
use super::{budgets, configuration, control, identity, keys, logging, serve};
use hazelgrade_config::{Operator, fault};
use hazelgrade_settings::Site;
use hazelgrade_stream::keeping;
use hazelgrade_stream::service::Setup;
use pico_args::Arguments;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

const USAGE_BUT_KEYS: &str = "\
hazelgrade: decides what one service instance takes, runs and turns away

usage:
  hazelgrade serve [--config FILE] [--operator FILE] [--log LEVEL]
                                     serve until SIGTERM; SIGHUP reads the configuration again
  hazelgrade check [--config FILE] [--operator FILE] [--document FILE] [--identity FILE] [--budgets FILE]
                                     say what is wrong with these files, or what they would do
  hazelgrade control --documents DIR --listen ADDRESS [--lineage NAME] [--admit RATE]
                    [--keeper SITE [--peer SITE=ADDRESS]...]
                                     publish DIR/serving.toml to the nodes that follow; keep the budgets of a site
  hazelgrade status --control ADDRESS
                                     say who runs which version
{KEYS}{BUDGETS}  hazelgrade version
  hazelgrade help

  --config FILE     the configuration; else the file that PROXY_CONFIG names
  --operator FILE   the operator's own file in TOML: what is switched on beyond the platform's side
  --document FILE   a serving document, as a control service publishes it
  --identity FILE   an identity document: keys, callers, rights
  --budgets FILE    a document of budgets: limits that hold for all nodes together
  --lineage NAME    whose versions these are; else as kept in DIR, or made up and kept there
  --admit RATE      nodes that are taken on in a second (200 usually); others are told when to come back
  --log LEVEL       off, error, warn, info (the usual level), debug or trace
";

/// Wrong usage, a wrong configuration, or an address that can't be had.
const WRONG: u8 = 2;

pub fn main() -> ExitCode {
    main_with(Arguments::from_env())
}

/// The same for words that were not given on this process's own command line.
pub fn main_with(arguments: Arguments) -> ExitCode {
    match run(arguments) {
        Ok(code) => code,
        Err(message) => {
            eprintln!("hazelgrade: {message}");
            ExitCode::from(WRONG)
        }
    }
}

fn run(mut arguments: Arguments) -> Result<ExitCode, String> {
    let all_usage = USAGE_BUT_KEYS.replace("{KEYS}", keys::USAGE).replace("{BUDGETS}", budgets::USAGE);
    let usage = |message: String| format!("{message}\n{all_usage}");
    if arguments.contains(["-h", "--help"]) {
        print!("{all_usage}");
        return Ok(ExitCode::SUCCESS);
    }
    let word = arguments.subcommand().map_err(|error| usage(error.to_string()))?;
    let word = word.ok_or_else(|| usage("a command is missing".into()))?;
    let mut path: Option<PathBuf> = None;
    let mut level = LevelFilter::INFO;
    let mut files = Files::default();
    let mut control = None;
    let mut asked = None;
    if word == "serve" || word == "check" {
        let file = |error: pico_args::Error| usage(error.to_string());
        files.operator = arguments.opt_value_from_str("--operator").map_err(file)?;
    }
    if word == "check" {
        let named = arguments.opt_value_from_str("--document");
        files.document = named.map_err(|error| usage(error.to_string()))?;
        let named = arguments.opt_value_from_str("--identity");
        files.identity = named.map_err(|error| usage(error.to_string()))?;
        let named = arguments.opt_value_from_str("--budgets");
        files.budgets = named.map_err(|error| usage(error.to_string()))?;
    }
    if word == "control" {
        control = Some(setup(&mut arguments).map_err(|error| usage(error.to_string()))?);
    }
    let mut of_keys = None;
    if word == "keys" {
        of_keys = Some(keys::Asked::of(&mut arguments).map_err(|error| usage(error.to_string()))?);
    }
    let mut of_budgets = None;
    if word == "budget" {
        of_budgets = Some(budgets::Asked::of(&mut arguments).map_err(|error| usage(error.to_string()))?);
    }
    if word == "status" {
        let address = arguments.value_from_str("--control");
        asked = Some(address.map_err(|error| usage(error.to_string()))?);
    }
    if word == "serve" || word == "check" {
        let named = arguments.opt_value_from_str("--config").map_err(|error| usage(error.to_string()))?;
        path = named.or_else(|| std::env::var_os("PROXY_CONFIG").map(PathBuf::from));
    }
    if word == "serve" || word == "control" {
        let named = arguments.opt_value_from_str("--log").map_err(|error| usage(error.to_string()))?;
        level = named.unwrap_or(level);
    }
    if let Some(unknown) = arguments.finish().first() {
        return Err(usage(format!("unknown argument {}", unknown.to_string_lossy())));
    }
    let configured_at = path.is_some();
    let configured = || {
        let path = path.ok_or("no configuration: neither --config nor PROXY_CONFIG is given")?;
        configuration::read(&path).map(|deployment| (deployment, path))
    };
    match word.as_str() {
        "serve" => {
            let signals = serve::signals()?;
            let (deployment, path) = configured()?;
            let operator = files.operator()?.unwrap_or_default();
            if operator.for_tests.is_some() && std::env::var_os("PROXY_CONFIG").is_some() {
                return Err(
                    "field for_tests_only: refused together with PROXY_CONFIG, the platform's start".into()
                );
            }
            let (log, handle) = logging::start(level);
            let left_clean = serve::serve(deployment, path, operator, (handle, level), signals);
            drop(log);
            Ok(if left_clean? { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        "check" => {
            files.check()?;
            if files.any() && !configured_at {
                return Ok(ExitCode::SUCCESS);
            }
            let (deployment, _) = configured()?;
            let (_, site) = hazelgrade_settings::instance(&deployment.settings, deployment.seed)
                .map_err(|fault| format!("settings: {}", fault.0))?;
            println!("{} would listen on {}", deployment.name, deployment.listen);
            let addresses = deployment.addresses;
            println!("executor {}, registry {}", addresses.executor, addresses.registry);
            match addresses.database {
                Some(database) => println!("calls below go to {database}"),
                None => println!("no calls below"),
            }
            println!("client connections: {} at most", deployment.connections());
            for case in &site.job_classes {
                println!("use case {}: {:?}", case.name, case.repeats);
            }
            println!("customers: {}", tenants(&site));
            println!(
                "a round every {} ms at most, {} ms to leave",
                site.tick.as_ms(),
                deployment.stop.as_millis()
            );
            Ok(ExitCode::SUCCESS)
        }
        "control" => {
            let Some(setup) = control else { return Err(usage("a setup is missing".into())) };
            let (log, _) = logging::start(level);
            let served = control::serve(setup);
            drop(log);
            served.map(|()| ExitCode::SUCCESS)
        }
        "status" => {
            let Some(address) = asked else { return Err(usage("an address is missing".into())) };
            print!("{}", control::status(address)?);
            Ok(ExitCode::SUCCESS)
        }
        "keys" => {
            let Some(asked) = of_keys else { return Err(usage("words are missing".into())) };
            print!("{}", asked.run()?);
            Ok(ExitCode::SUCCESS)
        }
        "budget" => {
            let Some(asked) = of_budgets else { return Err(usage("words are missing".into())) };
            print!("{}", asked.run()?);
            Ok(ExitCode::SUCCESS)
        }
        "version" => {
            println!("hazelgrade {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        "help" => {
            print!("{all_usage}");
            Ok(ExitCode::SUCCESS)
        }
        other => Err(usage(format!("unknown command {other}"))),
    }
}

fn tenants(site: &Site) -> String {
    let names: Vec<&str> = site.tenants.iter().flatten().map(String::as_str).collect();
    names.join(", ")
}

fn setup(arguments: &mut Arguments) -> Result<Setup, pico_args::Error> {
    /// A fleet of a thousand is back within seconds, at a pace that one core publishes to with room.
    const ADMITTED: f64 = 200.0;
    let rate: f64 = arguments.opt_value_from_str("--admit")?.unwrap_or(ADMITTED);
    Ok(Setup {
        documents: arguments.value_from_str("--documents")?,
        listen: arguments.value_from_str("--listen")?,
        lineage: arguments.opt_value_from_str("--lineage")?,
        keeper: keeper(arguments)?,
        admitted: (rate, rate / 4.0),
    })
}

fn keeper(arguments: &mut Arguments) -> Result<Option<keeping::Setup>, pico_args::Error> {
    let Some(site) = arguments.opt_value_from_str("--keeper")? else { return Ok(None) };
    let peers = arguments.values_from_fn("--peer", |word: &str| {
        let (site, address) = word.split_once('=').ok_or("expected SITE=ADDRESS".to_owned())?;
        let address = address.parse().map_err(|_| "expected SITE=ADDRESS".to_owned())?;
        Ok::<_, String>((site.to_owned(), address))
    })?;
    let dies_at = arguments.opt_value_from_str("--keeper-dies-at-for-tests-only")?;
    Ok(Some(keeping::Setup { site, peers, dies_at }))
}

/// Files beside the configuration.
#[derive(Default)]
struct Files {
    operator: Option<PathBuf>,
    document: Option<PathBuf>,
    identity: Option<PathBuf>,
    budgets: Option<PathBuf>,
}

/// Faults that are shown of a file.
const FAULTS_SHOWN: usize = 20;

impl Files {
    fn any(&self) -> bool {
        self.operator.is_some()
            || self.document.is_some()
            || self.identity.is_some()
            || self.budgets.is_some()
    }

    fn operator(&self) -> Result<Option<Operator>, String> {
        let Some(path) = &self.operator else { return Ok(None) };
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| format!("{shown}: {error}"))?;
        let read = Operator::read(&text, &shown);
        read.map(Some).map_err(|faults| fault::lines(&faults, FAULTS_SHOWN))
    }

    /// Says what these files would do.
    fn check(&self) -> Result<(), String> {
        if let Some(operator) = self.operator()? {
            match operator.stream {
                Some(stream) => {
                    let control: Vec<String> = stream.control.iter().map(ToString::to_string).collect();
                    println!("configuration is streamed from {}", control.join(", "));
                    println!("the last good version is kept in {}", stream.store.display());
                    println!("a version is on trial for {} ms", stream.trial.span.as_ms());
                    match &stream.document {
                        Some(document) => {
                            read_document(document)?;
                            println!("a node that has kept nothing starts by {}", document.display());
                        }
                        None => println!("a node that has kept nothing waits for a version, not ready"),
                    }
                }
                None => println!("nothing beyond the platform's side is switched on"),
            }
        }
        if let Some(path) = &self.identity {
            let document = identity::read_document(path)?;
            println!("{}: digest {}", path.display(), document.digest());
            println!("keys: {}", document.fields().names("key").join(", "));
            println!("callers: {}", document.fields().names("caller").join(", "));
        }
        if let Some(path) = &self.budgets {
            let document = budgets::read_document(path)?;
            println!("{}: digest {}", path.display(), document.digest());
            for (name, terms) in hazelgrade_budget::terms::read_all(&document) {
                let sites: Vec<String> =
                    terms.site_shares.iter().map(|(site, units)| format!("{units} at {site}")).collect();
                println!(
                    "budget {name}: {}, whole {}, {}; {} set aside at each",
                    terms.measure,
                    terms.total,
                    sites.join(", "),
                    terms.set_aside
                );
                println!(
                    "  a node that dies gives its part back in {:.0} ms",
                    (terms.lease + terms.max_use_time).as_ms()
                );
            }
        }
        if let Some(path) = &self.document {
            let document = read_document(path)?;
            println!("{}: digest {}", path.display(), document.digest());
            println!("use cases: {}", document.fields().names("use_case").join(", "));
            println!("customers: {}", document.fields().names("customer").len());
        }
        Ok(())
    }
}
