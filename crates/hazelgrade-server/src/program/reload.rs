//! SIGHUP: the configuration is read again, and each link goes to its new address. What can't be changed while serving
//! stays as it was, and a file that is wrong changes nothing.

use super::configuration::{Addresses, ConfigurationError, ErrorReason, FieldError, StartFields, read_json};
use crate::routing::controller_driver::ControllerDriver;
use crate::routing::dependency_calls::DependencyCalls;
use crate::transport::executor::ExecutorLink;
use crate::transport::registry::Registry;
use hazelgrade_config::serving::NodeAddresses;
use serde_json::Value;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;

/// What addresses are changed of.
pub struct Reload {
    pub configuration_path: PathBuf,
    /// The fields that only a start takes in, as they were then.
    pub start_fields: StartFields,
    /// Whether the node has a dependency to call.
    pub calls_dependency: bool,
    /// The addresses of the configuration file.
    pub file: Cell<Addresses>,
    /// The addresses of the serving document, which take precedence.
    pub streamed: Cell<NodeAddresses>,
    pub link: Rc<ExecutorLink>,
    pub calls: Rc<DependencyCalls>,
    pub registry: Rc<Registry>,
    pub rounds: Rc<ControllerDriver>,
}

impl Reload {
    /// Reads the configuration file again.
    pub fn reload(&self) {
        match self.read_again() {
            Ok(Addresses { executor, registry, database }) => {
                tracing::info!(%executor, %registry, ?database, "configuration reloaded");
            }
            Err(error) => tracing::error!(%error, "the new configuration is wrong and changes nothing"),
        }
    }

    fn read_again(&self) -> Result<Addresses, ConfigurationError> {
        let path = &self.configuration_path;
        let value = read_json(path).map_err(|reason| reason.of_file(path))?;
        let addresses =
            self.take_addresses(&value).map_err(|error| ErrorReason::from(error).of_file(path))?;
        let differing = self.start_fields.differing(&value);
        if !differing.is_empty() {
            tracing::warn!(
                fields = differing.join(", "),
                "changed in the file, but only a start takes them in"
            );
        }
        Ok(addresses)
    }

    fn take_addresses(&self, configuration: &Value) -> Result<Addresses, FieldError> {
        let addresses = Addresses::decode(configuration)?;
        if addresses.database.is_some() != self.calls_dependency {
            let expected =
                if self.calls_dependency { "an address, as at the start" } else { "none, as at the start" };
            return Err(FieldError { field: "db", expected });
        }
        self.change_addresses(addresses, self.streamed.get())
    }

    /// Takes the addresses of a serving document, which take precedence over those of the file.
    ///
    /// # Errors
    /// A database for a node that has no dependency to call, or a registry of another address family; nothing is changed
    /// then.
    pub fn set_streamed(&self, streamed: NodeAddresses) -> Result<(), FieldError> {
        if streamed.database.is_some() && !self.calls_dependency {
            return Err(FieldError { field: "database", expected: "none, as this node calls nothing below" });
        }
        self.change_addresses(self.file.get(), streamed).map(drop)
    }

    fn change_addresses(&self, file: Addresses, streamed: NodeAddresses) -> Result<Addresses, FieldError> {
        let addresses = Addresses {
            executor: streamed.executor.unwrap_or(file.executor),
            registry: streamed.registry.unwrap_or(file.registry),
            database: streamed.database.filter(|_| self.calls_dependency).or(file.database),
        };
        // The registry comes first, as it may refuse and nothing has changed yet.
        if !self.registry.set_address(addresses.registry) {
            let expected = "an address of the same family as at the start";
            return Err(FieldError { field: "registry", expected });
        }
        self.file.set(file);
        self.streamed.set(streamed);
        self.link.set_address(addresses.executor);
        if let Some(database) = addresses.database {
            self.calls.set_address(database);
        }
        self.rounds.request_heartbeat();
        Ok(addresses)
    }
}
