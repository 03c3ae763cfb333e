//! Documents drawn by seed over the whole schema and the whole alphabet of names are read again from the TOML that they
//! are written as.

#![allow(clippy::expect_used)]

use hazelgrade_config::schema::{FieldSpec, ValueType};
use hazelgrade_config::{Document, Fields, Kind, Scalar};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;

const SEED: u64 = 4321;
const ROUNDS: usize = 1000;
/// What a choice is made from by default; its size bounds nothing here.
const GEN_SIZE: usize = 100;
const MAX_NAMES: usize = 4;

/// Draws documents.
struct Draw(Gen);

impl Draw {
    fn below(&mut self, count: usize) -> usize {
        usize::arbitrary(&mut self.0) % count
    }

    fn ratio(&mut self) -> f64 {
        f64::from(u32::arbitrary(&mut self.0)) / f64::from(u32::MAX)
    }

    /// A name of any printable ASCII characters but `/`, which TOML writes with and without quotes.
    fn name(&mut self) -> String {
        let length = 1 + self.below(6);
        let character = |draw: &mut Draw| char::from(b'!' + draw.below(usize::from(b'~' - b'!') + 1) as u8);
        let name: String = (0..length).map(|_| character(self)).collect();
        name.replace('/', ".")
    }

    fn names(&mut self) -> Vec<String> {
        let count = 1 + self.below(MAX_NAMES);
        (0..count).map(|_| self.name()).collect()
    }

    fn value(&mut self, field: &FieldSpec) -> Scalar {
        match field.value_type {
            // The table of a tenant itself.
            ValueType::Bool if field.path.ends_with('/') => Scalar::Bool(true),
            ValueType::Bool => Scalar::Bool(self.below(2) == 0),
            // Small values and large ones, with and without a fraction.
            ValueType::Number(min, max) => Scalar::Number(min + (max - min) * self.ratio().powi(9)),
            ValueType::Integer(min, max) => Scalar::Number((min + (max - min) * self.ratio()).floor()),
            ValueType::OneOf(choices) => Scalar::Text(choices[self.below(choices.len())].into()),
            ValueType::Text(_) => Scalar::Text(self.name()),
            ValueType::TextList(_) => Scalar::TextList(self.names()),
            ValueType::Address => Scalar::Text(format!("127.0.0.1:{}", self.below(65536))),
        }
    }

    /// Values for the schema's fields. Under one `*` the same names have fields; under a second one, others.
    fn fields(&mut self, kind: Kind) -> Fields {
        let mut names_of = BTreeMap::new();
        let mut fields = BTreeMap::new();
        for field in kind.fields() {
            let section = field.path.split('/').next().unwrap_or_default();
            let names = names_of.entry(section).or_insert_with(|| self.names()).clone();
            for name in names {
                let path = field.path.replacen('*', &name, 1);
                if field.required || self.below(2) == 0 {
                    let path = path.replacen("site/*", &format!("site/{}", self.name()), 1);
                    fields.insert(path, self.value(field));
                }
            }
        }
        Fields(fields)
    }

    /// A valid document of this kind.
    fn document(&mut self, kind: Kind) -> Document {
        let mut fields = self.fields(kind);
        match kind {
            Kind::Serving => make_serving_valid(&mut fields),
            Kind::Identity => make_identity_valid(&mut fields),
            Kind::Budgets => self.make_budgets_valid(&mut fields),
        }
        Document::from_fields(kind, fields, "drawn").expect("it is valid")
    }

    /// Gives each budget sites whose shares add up to its total, and leaves one of calls, the others rates.
    fn make_budgets_valid(&mut self, fields: &mut Fields) {
        for (number, name) in names(fields, "budget").iter().enumerate() {
            let at = |field: &str| format!("budget/{name}/{field}");
            let sites: Vec<String> =
                fields.0.keys().filter(|path| path.starts_with(&at("site/"))).cloned().collect();
            sites.iter().for_each(|path| drop(fields.0.remove(path)));
            let shares: BTreeMap<String, usize> =
                self.names().into_iter().map(|site| (site, 1 + self.below(1000))).collect();
            let total: usize = shares.values().sum();
            fields.0.insert(at("whole"), Scalar::Number(total as f64));
            for (site, units) in shares {
                fields.0.insert(at(&format!("site/{site}")), Scalar::Number(units as f64));
            }
            fields.0.insert(at("set_aside"), Scalar::Number(1.0));
            fields.0.remove(&at("part"));
            if number == 0 {
                fields.0.insert(at("measure"), Scalar::Text("in-hand".into()));
                fields.0.remove(&at("burst"));
                fields.0.remove(&at("customer"));
            } else {
                fields.0.insert(at("measure"), Scalar::Text("rate".into()));
                fields.0.insert(at("customer"), Scalar::Text(format!("{number}{name}")));
            }
        }
    }
}

fn names(fields: &Fields, section: &str) -> Vec<String> {
    fields.names(section).into_iter().map(str::to_owned).collect()
}

/// Every tenant has its table, every job class a deadline after its objective, a window and a weight.
fn make_serving_valid(fields: &mut Fields) {
    for name in names(fields, "customer") {
        fields.0.insert(format!("customer/{name}/"), Scalar::Bool(true));
    }
    for name in names(fields, "use_case") {
        let at = |field: &str| format!("use_case/{name}/{field}");
        let objective_ms = fields.number(&at("goal_ms")).unwrap_or(1.0);
        fields.0.insert(at("cut_off_ms"), Scalar::Number(objective_ms));
        fields.0.insert(at("window_ms"), Scalar::Number(0.25));
        fields.0.insert(at("earnings"), Scalar::Number(1.5));
    }
}

/// Every key signs all the time that is allowed, and no network is stated that is none.
fn make_identity_valid(fields: &mut Fields) {
    fields.0.remove("revoked/keys");
    fields.0.remove("longest_token_s");
    for name in names(fields, "key") {
        let at = |field: &str| format!("key/{name}/{field}");
        fields.0.remove(&at("revoked"));
        fields.0.remove(&at("signs_until_s"));
        fields.0.insert(at("active_from_s"), Scalar::Number(0.5));
        fields.0.insert(at("valid_until_s"), Scalar::Number(1e10));
        match fields.text(&at("algorithm")) {
            Some("ES256") => drop(fields.0.insert(at("y"), Scalar::Text("\"y'".into()))),
            _ => drop(fields.0.remove(&at("y"))),
        }
    }
    for name in names(fields, "caller") {
        fields.0.remove(&format!("caller/{name}/networks"));
    }
}

/// Guards against documents that nodes can't read from the TOML that they are sent and stored as.
#[test]
fn documents_of_every_kind_are_read_again_from_their_own_toml_whatever_their_names() {
    let mut draw = Draw(Gen::from_size_and_seed(GEN_SIZE, SEED));
    for round in 0..ROUNDS {
        for kind in Kind::ALL {
            let document = draw.document(kind);
            let written = document.to_toml();
            let read = Document::read_as(kind, &written, "written");
            assert_eq!(read.as_ref(), Ok(&document), "round {round}, {kind:?}: {written}");
        }
    }
}

/// Guards against names of sites that were written as dotted keys and as comments.
#[test]
fn sites_with_dots_and_signs_in_their_names_are_read_again() {
    for sites in
        [r#""eu.west" = 24, "eu.east" = 16"#, r#""a#b" = 24, "b=c" = 16"#, r#""a\"b" = 24, '\' = 16"#]
    {
        let text = format!("[budget.\"x.y\"]\nmeasure = \"in-hand\"\nwhole = 40\nsite = {{ {sites} }}\n");
        let document = Document::read_as(Kind::Budgets, &text, "budgets.toml").expect("it is right");
        let written = document.to_toml();
        let read = Document::read_as(Kind::Budgets, &written, "written");
        assert_eq!(read.as_ref(), Ok(&document), "{written}");
    }
}

/// Guards against an empty table of a node that passed in documents that say nothing about nodes.
#[test]
fn an_empty_table_of_a_node_is_an_error_in_documents_without_nodes() {
    let budgets = "[budget.calls]\nmeasure = \"in-hand\"\nwhole = 4\nsite = { a = 4 }\n[node.n1]\n";
    let identity = "audience = \"a\"\n[key.k]\nalgorithm = \"EdDSA\"\nx = \"A\"\nactive_from_s = 0\n\
        valid_until_s = 9000\n[node.n1]\n";
    for (kind, text, line) in [(Kind::Budgets, budgets, 5), (Kind::Identity, identity, 7)] {
        let errors = Document::read_as(kind, text, "f.toml").expect_err("there is no such table");
        let shown: Vec<String> = errors.iter().map(ToString::to_string).collect();
        assert_eq!(shown, [format!("f.toml:{line}:7: field node.n1: there is no such table")]);
    }
    let serving = "[use_case.a]\ngoal_ms = 10\ncut_off_ms = 20\n[node.n1]\n";
    assert!(Document::read(serving, "f.toml").is_ok());
}
