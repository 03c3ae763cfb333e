//! Reads the configuration file again on SIGHUP and connects to the new peer addresses. Fields that can't change while
//! the node serves keep their values, and an invalid file leaves the configuration unchanged.

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

/// The peers whose addresses a reload or a serving document may change.
pub struct Reload {
    /// The path of the configuration file.
    pub configuration_path: PathBuf,
    /// The fields whose changes take effect only after a restart, with their values at the start.
    pub start_fields: StartFields,
    /// Whether the node has a dependency to call.
    pub calls_dependency: bool,
    /// The addresses from the configuration file.
    pub file_addresses: Cell<Addresses>,
    /// The addresses from the serving document, which take precedence over those of the file.
    pub streamed_addresses: Cell<NodeAddresses>,
    /// The link to the executor.
    pub executor: Rc<ExecutorLink>,
    /// Makes the calls to the database.
    pub dependency_calls: Rc<DependencyCalls>,
    /// Sends heartbeats to the registry.
    pub registry: Rc<Registry>,
    /// Sends a heartbeat immediately after a change of addresses.
    pub driver: Rc<ControllerDriver>,
}

impl Reload {
    /// Reads the configuration file again, applies its addresses, and logs the result.
    pub fn reload(&self) {
        match self.read_again() {
            Ok(Addresses { executor, registry, database }) => {
                tracing::info!(%executor, %registry, ?database, "configuration reloaded");
            }
            Err(error) => {
                tracing::error!(%error, "configuration file not reloaded; the previous one stays in effect")
            }
        }
    }

    fn read_again(&self) -> Result<Addresses, ConfigurationError> {
        let path = &self.configuration_path;
        let value = read_json(path).map_err(|reason| reason.of_file(path))?;
        let addresses =
            self.apply_addresses(&value).map_err(|error| ErrorReason::from(error).of_file(path))?;
        let differing = self.start_fields.differing(&value);
        if !differing.is_empty() {
            tracing::warn!(
                fields = differing.join(", "),
                "configuration fields changed in the file take effect only after a restart"
            );
        }
        Ok(addresses)
    }

    fn apply_addresses(&self, configuration: &Value) -> Result<Addresses, FieldError> {
        let addresses = Addresses::decode(configuration)?;
        if addresses.database.is_some() != self.calls_dependency {
            let expected =
                if self.calls_dependency { "an address, as at the start" } else { "none, as at the start" };
            return Err(FieldError { field: "db", expected });
        }
        self.connect_to(addresses, self.streamed_addresses.get())
    }

    /// Applies the addresses of a serving document, which take precedence over those of the file.
    ///
    /// # Errors
    /// Returns an error, and changes no address, if the document names a database for a node that has no dependency to
    /// call, or a registry of another address family.
    pub fn set_streamed(&self, streamed: NodeAddresses) -> Result<(), FieldError> {
        if streamed.database.is_some() && !self.calls_dependency {
            return Err(FieldError { field: "database", expected: "none, as this node calls nothing below" });
        }
        self.connect_to(self.file_addresses.get(), streamed).map(drop)
    }

    fn connect_to(&self, file: Addresses, streamed: NodeAddresses) -> Result<Addresses, FieldError> {
        let addresses = Addresses {
            executor: streamed.executor.unwrap_or(file.executor),
            registry: streamed.registry.unwrap_or(file.registry),
            database: streamed.database.filter(|_| self.calls_dependency).or(file.database),
        };
        // The registry comes first because setting its address is the only step that may fail: on an error no other
        // address has changed yet.
        if !self.registry.set_address(addresses.registry) {
            let expected = "an address of the same family as at the start";
            return Err(FieldError { field: "registry", expected });
        }
        self.file_addresses.set(file);
        self.streamed_addresses.set(streamed);
        self.executor.set_address(addresses.executor);
        if let Some(database) = addresses.database {
            self.dependency_calls.set_address(database);
        }
        self.driver.request_heartbeat();
        Ok(addresses)
    }
}
