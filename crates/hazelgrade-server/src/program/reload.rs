//! SIGHUP: the configuration is read again, and each link hears of its new address. What can't be changed while
//! serving stays as it was, and a file that is wrong changes nothing.

use super::configuration::{Addresses, Fixed, read_value};
use crate::routing::controller_driver::ControllerDriver;
use crate::routing::dependency_calls::DependencyCalls;
use crate::transport::executor::ExecutorLink;
use crate::transport::registry::Registry;
use hazelgrade_config::document::Places;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;

pub struct Reload {
    pub path: PathBuf,
    /// What the configuration said at the start.
    pub fixed: Fixed,
    pub calls_below: bool,
    /// As the file says, and what a streamed document says beside that.
    pub file: Cell<Addresses>,
    pub streamed: Cell<Places>,
    pub link: Rc<ExecutorLink>,
    pub calls: Rc<DependencyCalls>,
    pub registry: Rc<Registry>,
    pub rounds: Rc<ControllerDriver>,
}

impl Reload {
    /// Takes the file as it is now.
    pub fn reload(&self) {
        match self.take() {
            Ok(addresses) => {
                let Addresses { executor, registry, database } = addresses;
                tracing::info!(%executor, %registry, ?database, "configuration read again");
            }
            Err(fault) => tracing::error!(fault, "the new configuration is wrong and changes nothing"),
        }
    }

    fn take(&self) -> Result<Addresses, String> {
        let value = read_value(&self.path)?;
        let wrong = |message: String| format!("{}: {message}", self.path.display());
        let addresses = Addresses::decode(&value).map_err(wrong)?;
        if addresses.database.is_some() != self.calls_below {
            let expected =
                if self.calls_below { "an address, as at the start" } else { "none, as at the start" };
            return Err(wrong(format!("field db: expected {expected}")));
        }
        let addresses = self.move_to(addresses, self.streamed.get()).map_err(wrong)?;
        let differ = self.fixed.differing(&value);
        if !differ.is_empty() {
            tracing::warn!(fields = differ.join(", "), "changed in the file, but only a start takes them in");
        }
        Ok(addresses)
    }

    /// What a streamed document says takes the place of what the file says.
    pub fn stream(&self, streamed: Places) -> Result<(), String> {
        if streamed.database.is_some() && !self.calls_below {
            return Err("field database: expected none, as this node calls nothing below".into());
        }
        self.move_to(self.file.get(), streamed).map(drop)
    }

    fn move_to(&self, file: Addresses, streamed: Places) -> Result<Addresses, String> {
        let addresses = Addresses {
            executor: streamed.executor.unwrap_or(file.executor),
            registry: streamed.registry.unwrap_or(file.registry),
            database: streamed.database.filter(|_| self.calls_below).or(file.database),
        };
        // It goes first, as nothing has changed yet.
        if !self.registry.set_address(addresses.registry) {
            return Err("field registry: expected an address of the same family as at the start".into());
        }
        self.file.set(file);
        self.streamed.set(streamed);
        self.link.set_address(addresses.executor);
        addresses.database.iter().for_each(|database| self.calls.set_address(*database));
        self.rounds.request_heartbeat();
        Ok(addresses)
    }
}
