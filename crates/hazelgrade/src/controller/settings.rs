//! Updates of the settings between two rounds.

use super::Controller;
use crate::api::SettingsUpdate;
use crate::time::Time;
use crate::timescales::Timescales;
use std::rc::Rc;

impl Controller {
    /// Replaces the job classes, tenants and limits between two rounds. Statistics stay with their index, except for
    /// indexes that are reset. Jobs in flight keep the class that they had on arrival.
    ///
    /// Classes and tenants may be added at the end but not removed, as jobs in flight may refer to them. An update with
    /// fewer classes or tenants than before changes nothing and returns `false`.
    pub fn update_settings(&mut self, now: Time, update: SettingsUpdate) -> bool {
        let SettingsUpdate { job_classes, tenants, limits, reset_classes, reset_tenants } = update;
        if job_classes.len() < self.job_classes.len() || tenants.len() < self.quotas.len() {
            return false;
        }
        let in_use = job_classes.iter().filter(|slot| slot.in_use).map(|slot| &slot.class);
        self.timescales = Timescales::new(in_use);
        let window = self.timescales.learning_window;
        self.service_times.update(now, job_classes.len(), &reset_classes, window);
        self.quotas.update(now, &tenants, &reset_tenants, window);
        self.call_limiter.set_learning_window(now, window);
        self.run_limiter.set_learning_window(now, window, self.timescales.target_wait);
        self.retry_rate.set_window(now, window);
        self.job_classes = job_classes.into_iter().map(|slot| Rc::new(slot.class)).collect();
        self.limits = limits;
        true
    }
}
