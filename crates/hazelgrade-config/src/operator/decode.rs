//! Reads the operator's file. Only this module uses the names of its tables and fields.

use super::{BudgetConfig, IdentityConfig, OperatorConfig, StreamConfig, TestFaults, TlsConfig, Trial};
use crate::error::ConfigError;
use crate::parse::{Located, ParsedText, ParsedValue};
use crate::scalar::Scalar;
use crate::schema::ValueType;
use hazelgrade::time::Span;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The most control services that a node may follow.
const MAX_CONTROL_SERVICES: usize = 8;

/// The trial of an identity document, in milliseconds: one second shows whether callers' tokens are still accepted.
const IDENTITY_TRIAL_MS: f64 = 1000.0;

/// The allowed lengths of a trial, in milliseconds.
const TRIAL_MS: ValueType = ValueType::Number(100.0, 3_600_000.0);

impl OperatorConfig {
    /// Reads the operator's file; `file` is how errors name it.
    ///
    /// # Errors
    /// All errors, each with its line.
    pub fn read(text: &str, file: &str) -> Result<OperatorConfig, Vec<ConfigError>> {
        let mut parsed = ParsedText::parse(text, file);
        let values = std::mem::take(&mut parsed.values);
        let mut decoder = Decoder { parsed, values };
        let stream = decoder.stream();
        let has_stream = stream.is_some();
        let identity = decoder.identity(has_stream);
        let budgets = decoder.budgets(has_stream);
        let tls = decoder.tls();
        let test_faults = decoder.test_faults();
        decoder.report_unknown_fields();
        let errors = decoder.parsed.errors;
        if !errors.is_empty() {
            return Err(errors);
        }
        Ok(OperatorConfig { stream, identity, budgets, tls, test_faults })
    }
}

/// The values that are not decoded yet, and the errors met so far.
struct Decoder {
    parsed: ParsedText,
    values: BTreeMap<String, Located>,
}

/// Decodes the tables.
impl Decoder {
    fn stream(&mut self) -> Option<StreamConfig> {
        if !self.take_table("stream/") {
            return None;
        }
        self.values.remove("stream/trial/");
        let control_services = self.addresses("stream/control");
        let store = self.text("stream/store");
        if store.is_none() && !self.parsed.errors.iter().any(|error| error.field == "stream.store") {
            self.parsed.add_error(0, "stream/store", "is missing");
        }
        let document = self.path("stream/document");
        let lineage = self.text("stream/lineage");
        let default = Trial::default();
        let span = self.number("stream/trial/span_ms", TRIAL_MS);
        let max_success_drop_ratio = self.number("stream/trial/fall", ValueType::Number(0.01, 1.0));
        let min_jobs = self.number("stream/trial/least_jobs", ValueType::Integer(1.0, 1e6));
        let trial = Trial {
            span: span.map_or(default.span, Span::from_ms),
            max_success_drop_ratio: max_success_drop_ratio.unwrap_or(default.max_success_drop_ratio),
            min_jobs: min_jobs.unwrap_or(default.min_jobs),
        };
        let store = PathBuf::from(store.unwrap_or_default());
        Some(StreamConfig { control_services, store, document, lineage, trial })
    }

    fn identity(&mut self, has_stream: bool) -> Option<IdentityConfig> {
        if !self.take_table("identity/") {
            return None;
        }
        let document = self.path("identity/document");
        let offset = self.offset_of("identity/streamed");
        let streamed = self.one("identity/streamed", Some(ValueType::Bool)) == Some(Scalar::Bool(true));
        if streamed && !has_stream {
            let message = "expected a table [stream] too: it names the control services";
            self.parsed.add_error(offset, "identity/streamed", message);
        }
        if !streamed && document.is_none() {
            let message = "is missing: with streamed = false there is no other source";
            self.parsed.add_error(0, "identity/document", message);
        }
        let span_ms = self.number("identity/trial_ms", TRIAL_MS).unwrap_or(IDENTITY_TRIAL_MS);
        let trial = Trial { span: Span::from_ms(span_ms), ..Trial::default() };
        Some(IdentityConfig { document, streamed, trial })
    }

    fn budgets(&mut self, has_stream: bool) -> Option<BudgetConfig> {
        if !self.take_table("budgets/") {
            return None;
        }
        self.values.remove("budgets/alone/");
        let document = self.path("budgets/document");
        let call_budget = self.text("budgets/in_hand");
        if !has_stream {
            let message = "expected a table [stream] too: it names the control services, where keepers are";
            self.parsed.add_error(0, "budgets", message);
        }
        let standalone = self.standalone_units();
        let default = Trial::default();
        let span = self.number("budgets/trial_ms", TRIAL_MS);
        let trial = Trial { span: span.map_or(default.span, Span::from_ms), ..default };
        Some(BudgetConfig { document, call_budget, standalone, trial })
    }

    fn standalone_units(&mut self) -> BTreeMap<String, u32> {
        let budget_of = |path: &String| path.strip_prefix("budgets/alone/").map(str::to_owned);
        let budgets: Vec<String> = self.values.keys().filter_map(budget_of).collect();
        let mut standalone = BTreeMap::new();
        for budget in budgets {
            let units = self.number(&format!("budgets/alone/{budget}"), ValueType::Integer(0.0, 1e6));
            if let Some(units) = units {
                standalone.insert(budget, units as u32);
            }
        }
        standalone
    }

    fn tls(&mut self) -> Option<TlsConfig> {
        if !self.take_table("tls/") {
            return None;
        }
        let certificate = self.required_path("tls/certificate");
        let key = self.required_path("tls/key");
        let client_authorities = self.path("tls/clients");
        let offset = self.offset_of("tls/revoked");
        let client_revocations = self.path("tls/revoked");
        if client_revocations.is_some() && client_authorities.is_none() {
            let message = "expected tls.clients too: it says whose certificates are meant";
            self.parsed.add_error(offset, "tls/revoked", message);
        }
        Some(TlsConfig { certificate, key, client_authorities, client_revocations })
    }

    fn test_faults(&mut self) -> Option<TestFaults> {
        if !self.take_table("for_tests_only/") {
            return None;
        }
        let kill_at = self.number("for_tests_only/store_dies_at", ValueType::Integer(0.0, 1e9));
        let clock_offset_ms = self.number("for_tests_only/clock_off_ms", ValueType::Number(-1e9, 1e9));
        let clock_rate = self.number("for_tests_only/clock_rate", ValueType::Number(0.1, 10.0));
        Some(TestFaults {
            kill_at_store_change: kill_at.map(|change| change as u64),
            clock_offset_ms: clock_offset_ms.unwrap_or(0.0),
            clock_rate: clock_rate.unwrap_or(1.0),
        })
    }

    fn report_unknown_fields(&mut self) {
        for (path, located) in std::mem::take(&mut self.values) {
            self.parsed.add_error(located.offset, &path, "there is no such field");
        }
    }
}

/// Takes out values by type; those that are left at the end are unknown fields.
impl Decoder {
    /// Whether there is such a table, empty or not; `prefix` ends in `/`. Takes out an empty table.
    fn take_table(&mut self, prefix: &str) -> bool {
        let is_there = self.values.keys().any(|path| path.starts_with(prefix));
        self.values.remove(prefix);
        is_there
    }

    fn offset_of(&self, path: &str) -> usize {
        self.values.get(path).map_or(0, |located| located.offset)
    }

    fn one(&mut self, path: &str, value_type: Option<ValueType>) -> Option<Scalar> {
        let Located { value, offset } = self.values.remove(path)?;
        let ParsedValue::One(value) = value else {
            self.parsed.add_error(offset, path, "expected one value");
            return None;
        };
        if let Some(expected) = value_type.and_then(|value_type| value_type.mismatch(&value)) {
            self.parsed.add_error(offset, path, expected);
            return None;
        }
        Some(value)
    }

    fn number(&mut self, path: &str, value_type: ValueType) -> Option<f64> {
        match self.one(path, Some(value_type)) {
            Some(Scalar::Number(number)) => Some(number),
            _ => None,
        }
    }

    fn text(&mut self, path: &str) -> Option<String> {
        let offset = self.offset_of(path);
        match self.one(path, None)? {
            Scalar::Text(text) if !text.is_empty() => Some(text),
            _ => {
                self.parsed.add_error(offset, path, "expected a word");
                None
            }
        }
    }

    fn path(&mut self, path: &str) -> Option<PathBuf> {
        self.text(path).map(PathBuf::from)
    }

    /// A path that must be there; empty, with an error, if it is missing.
    fn required_path(&mut self, path: &str) -> PathBuf {
        let file = self.path(path);
        if file.is_none() {
            self.parsed.add_error(0, path, "is missing");
        }
        file.unwrap_or_default()
    }

    /// Addresses that must be there; empty, with an error, if they are missing, too many or malformed.
    fn addresses(&mut self, path: &str) -> Vec<SocketAddr> {
        let Some(Located { value, offset }) = self.values.remove(path) else {
            self.parsed.add_error(0, path, "is missing");
            return Vec::new();
        };
        let values = match value {
            ParsedValue::List(values) => values,
            ParsedValue::One(value) => vec![value],
            ParsedValue::EmptyTable => Vec::new(),
        };
        let address = |value: &Scalar| match value {
            Scalar::Text(text) => text.parse().ok(),
            _ => None,
        };
        let addresses: Option<Vec<SocketAddr>> = values.iter().map(address).collect();
        match addresses.filter(|addresses| (1..=MAX_CONTROL_SERVICES).contains(&addresses.len())) {
            Some(addresses) => addresses,
            None => {
                let message =
                    format!("expected 1 to {MAX_CONTROL_SERVICES} addresses like \"127.0.0.1:7400\"");
                self.parsed.add_error(offset, path, message);
                Vec::new()
            }
        }
    }
}
