//! A valid document: read from TOML or made from fields, and checked either way.

use crate::MAX_DOCUMENT_BYTES;
use crate::error::ConfigError;
use crate::fields::Fields;
use crate::parse::{Located, ParsedText, ParsedValue};
use crate::scalar::Scalar;
use crate::schema::{Kind, display_path};
use crate::validate::validate;
use crate::version::Digest;
use std::collections::BTreeMap;

/// The most job classes in a document; the controller goes through all of them at each job.
pub const MAX_JOB_CLASSES: usize = 64;
/// The most tenants in a document.
pub const MAX_TENANTS: usize = 4096;
/// The most budgets in a document; a node checks all of them at each job.
pub const MAX_BUDGETS: usize = 64;
/// The most nodes with addresses of their own in a document.
pub const MAX_NODES: usize = 4096;
/// The longest lifetime of a token if an identity document states none, in seconds.
pub const DEFAULT_MAX_TOKEN_LIFETIME_S: f64 = 3600.0;

/// A document that passed all checks of its kind.
#[derive(Clone, PartialEq)]
pub struct Document {
    kind: Kind,
    fields: Fields,
    digest: Digest,
}

impl std::fmt::Debug for Document {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Document({:?})", self.digest)
    }
}

impl Document {
    /// Reads a serving document; `file` is how errors name the text.
    ///
    /// # Errors
    /// All errors, in the order of their lines.
    pub fn read(text: &str, file: &str) -> Result<Document, Vec<ConfigError>> {
        Document::read_as(Kind::Serving, text, file)
    }

    /// Reads a document of any kind; `file` is how errors name the text.
    ///
    /// # Errors
    /// All errors, in the order of their lines; one error for a text past [`MAX_DOCUMENT_BYTES`].
    pub fn read_as(kind: Kind, text: &str, file: &str) -> Result<Document, Vec<ConfigError>> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(vec![ConfigError {
                file: file.to_owned(),
                line: 1,
                column: 1,
                field: String::new(),
                message: format!("expected {MAX_DOCUMENT_BYTES} bytes at most, not {}", text.len()),
            }]);
        }
        let mut reader = Reader {
            kind,
            parsed: ParsedText::parse(text, file),
            fields: Fields::default(),
            offsets: BTreeMap::new(),
        };
        reader.read_fields();
        reader.check();
        let Reader { parsed, fields, .. } = reader;
        let mut errors = parsed.errors;
        if !errors.is_empty() {
            errors.sort_by_key(|error| (error.line, error.column));
            return Err(errors);
        }
        Ok(Document::from_valid(kind, fields))
    }

    /// Makes a document from fields, as after a difference; `file` is how errors name it.
    ///
    /// # Errors
    /// All errors, without lines.
    pub fn from_fields(kind: Kind, fields: Fields, file: &str) -> Result<Document, Vec<ConfigError>> {
        let violations = validate(kind, &fields);
        if violations.is_empty() {
            return Ok(Document::from_valid(kind, fields));
        }
        let errors = violations.into_iter().map(|violation| ConfigError {
            file: file.to_owned(),
            line: 0,
            column: 0,
            field: display_path(&violation.path),
            message: violation.message,
        });
        Err(errors.collect())
    }

    fn from_valid(kind: Kind, fields: Fields) -> Document {
        let digest = fields.digest();
        Document { kind, fields, digest }
    }

    /// Its kind.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Its fields.
    pub fn fields(&self) -> &Fields {
        &self.fields
    }

    /// The digest of its canonical form.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The document in TOML, without comments; reading it results in the same document.
    pub fn to_toml(&self) -> String {
        self.fields.to_toml()
    }
}

/// A document that is being read.
struct Reader {
    kind: Kind,
    parsed: ParsedText,
    fields: Fields,
    /// Where each field starts in the text, in bytes.
    offsets: BTreeMap<String, usize>,
}

impl Reader {
    fn read_fields(&mut self) {
        for (path, Located { value, offset }) in std::mem::take(&mut self.parsed.values) {
            self.add_tenant_of(&path, offset);
            self.offsets.insert(path.clone(), offset);
            match value {
                ParsedValue::One(value) => {
                    self.fields.0.insert(path, value);
                }
                ParsedValue::List(list) => self.add_list(path, offset, list),
                ParsedValue::EmptyTable => self.add_empty_table(&path, offset),
            }
        }
    }

    /// Adds the tenant that a path names: it exists as soon as any field, or an empty table, names it.
    fn add_tenant_of(&mut self, path: &str, offset: usize) {
        let tenant = path.strip_prefix("customer/").and_then(|rest| rest.split('/').next());
        if let Some(name) = tenant.filter(|name| !name.is_empty()) {
            self.fields.0.insert(format!("customer/{name}/"), Scalar::Bool(true));
            self.offsets.entry(format!("customer/{name}/")).or_insert(offset);
        }
    }

    fn add_list(&mut self, path: String, offset: usize, list: Vec<Scalar>) {
        let text = |item: Scalar| match item {
            Scalar::Text(text) => Some(text),
            _ => None,
        };
        match list.into_iter().map(text).collect() {
            Some(texts) => {
                self.fields.0.insert(path, Scalar::TextList(texts));
            }
            None => self.parsed.add_error(offset, &path, "expected one value, or a list of words"),
        }
    }

    fn add_empty_table(&mut self, path: &str, offset: usize) {
        let names_job_class = path.starts_with("use_case/") && path.len() > "use_case/".len();
        if self.fields.0.contains_key(path) {
            return;
        }
        if names_job_class {
            self.parsed.add_error(offset, path, "expected at least goal_ms and cut_off_ms");
        } else if !self.kind.has_table(path) {
            self.parsed.add_error(offset, path, "there is no such table");
        }
    }

    /// Validates the fields and adds each violation as an error with its position.
    fn check(&mut self) {
        // Text that is not TOML has no fields that could be missing.
        if self.fields.0.is_empty() && !self.parsed.errors.is_empty() {
            return;
        }
        for violation in validate(self.kind, &self.fields) {
            let offset = self.offset_of(&violation.path);
            self.parsed.add_error(offset, &violation.path, violation.message);
        }
    }

    /// Where a field starts; for a missing one, where the first field of its section starts, else the first line.
    fn offset_of(&self, path: &str) -> usize {
        if let Some(offset) = self.offsets.get(path) {
            return *offset;
        }
        let Some((section, _)) = path.rsplit_once('/') else { return 0 };
        let section = format!("{section}/");
        let next = self.offsets.range(section.clone()..).next();
        next.filter(|(path, _)| path.starts_with(&section)).map_or(0, |(_, offset)| *offset)
    }
}
