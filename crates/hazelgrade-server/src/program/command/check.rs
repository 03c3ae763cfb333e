//! `check`: validates configuration files and documents, and prints the effect that they would have.

use super::operator_file;
use super::serve::{NO_CONFIGURATION, configuration_path};
use crate::program::{configuration, documents};
use hazelgrade_config::operator::StreamConfig;
use hazelgrade_config::{Document, Kind};
use hazelgrade_settings::HostSettings;
use pico_args::Arguments;
use std::path::{Path, PathBuf};

/// The parsed arguments of `check`: the files to validate.
pub struct CheckCommand {
    operator: Option<PathBuf>,
    document: Option<PathBuf>,
    identity: Option<PathBuf>,
    budgets: Option<PathBuf>,
    configuration: Option<PathBuf>,
}

impl CheckCommand {
    /// Parses the arguments of the sub-command.
    pub fn parse(arguments: &mut Arguments) -> Result<CheckCommand, pico_args::Error> {
        Ok(CheckCommand {
            operator: arguments.opt_value_from_str("--operator")?,
            document: arguments.opt_value_from_str("--document")?,
            identity: arguments.opt_value_from_str("--identity")?,
            budgets: arguments.opt_value_from_str("--budgets")?,
            configuration: configuration_path(arguments)?,
        })
    }

    /// Validates the files in turn and prints a summary of each. Returns the error of the first invalid file.
    pub fn run(self) -> Result<(), String> {
        if let Some(path) = &self.operator {
            check_operator_file(path)?;
        }
        if let Some(path) = &self.identity {
            check_identity(path)?;
        }
        if let Some(path) = &self.budgets {
            check_budgets(path)?;
        }
        if let Some(path) = &self.document {
            check_serving(path)?;
        }
        let has_other_files = self.operator.is_some()
            || self.document.is_some()
            || self.identity.is_some()
            || self.budgets.is_some();
        match &self.configuration {
            None if has_other_files => Ok(()),
            None => Err(NO_CONFIGURATION.into()),
            Some(path) => check_configuration(path),
        }
    }
}

fn check_operator_file(path: &Path) -> Result<(), String> {
    match operator_file::read(path)?.stream {
        Some(stream) => check_stream(&stream),
        None => {
            println!("nothing beyond the platform's side is switched on");
            Ok(())
        }
    }
}

fn check_stream(stream: &StreamConfig) -> Result<(), String> {
    let control_services: Vec<String> = stream.control_services.iter().map(ToString::to_string).collect();
    println!("configuration is streamed from {}", control_services.join(", "));
    println!("the last good version is kept in {}", stream.store.display());
    println!("a version is on trial for {} ms", stream.trial.span.as_ms());
    match &stream.document {
        Some(path) => {
            documents::read(Kind::Serving, path)?;
            println!("a node that has kept nothing starts by {}", path.display());
        }
        None => println!("a node that has kept nothing waits for a version, not ready"),
    }
    Ok(())
}

/// Reads and validates a document, and prints its digest.
fn read_document(kind: Kind, path: &Path) -> Result<Document, String> {
    let document = documents::read(kind, path)?;
    println!("{}: digest {}", path.display(), document.digest());
    Ok(document)
}

fn check_identity(path: &Path) -> Result<(), String> {
    let document = read_document(Kind::Identity, path)?;
    println!("keys: {}", document.fields().names("key").join(", "));
    println!("callers: {}", document.fields().names("caller").join(", "));
    Ok(())
}

fn check_budgets(path: &Path) -> Result<(), String> {
    let document = read_document(Kind::Budgets, path)?;
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
    Ok(())
}

fn check_serving(path: &Path) -> Result<(), String> {
    let document = read_document(Kind::Serving, path)?;
    println!("use cases: {}", document.fields().names("use_case").join(", "));
    println!("customers: {}", document.fields().names("customer").len());
    Ok(())
}

fn check_configuration(path: &Path) -> Result<(), String> {
    let deployment = configuration::read(path).map_err(|error| error.to_string())?;
    let settings = hazelgrade_settings::decode(&deployment.settings, deployment.seed)
        .map_err(|error| format!("settings: {error}"))?;
    let host_settings = settings.host;
    println!("{} would listen on {}", deployment.name, deployment.listen);
    let addresses = deployment.addresses;
    println!("executor {}, registry {}", addresses.executor, addresses.registry);
    match addresses.database {
        Some(database) => println!("calls below go to {database}"),
        None => println!("no calls below"),
    }
    println!("client connections: {} at most", deployment.max_client_connections());
    for class in &host_settings.job_classes {
        println!("use case {}: {}", class.name, class.idempotency);
    }
    println!("customers: {}", tenant_names(&host_settings));
    println!(
        "a round every {} ms at most, {} ms to leave",
        host_settings.tick.as_ms(),
        deployment.stop.as_millis()
    );
    Ok(())
}

fn tenant_names(host_settings: &HostSettings) -> String {
    let names: Vec<&str> = host_settings.tenants.iter().flatten().map(String::as_str).collect();
    names.join(", ")
}
