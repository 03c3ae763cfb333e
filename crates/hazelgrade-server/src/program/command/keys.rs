//! `keys`: creates and rotates the signing keys of an identity document, and signs tokens. The document is replaced
//! atomically and only by a valid document, and its comments are preserved. Private keys are stored in files that only
//! their owner can read.

use crate::program::documents::{self, MAX_ERRORS_SHOWN};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hazelgrade_config::document::DEFAULT_MAX_TOKEN_LIFETIME_S;
use hazelgrade_config::{Document, Fields, Kind, error_summary};
use hazelgrade_identity::signer::{PublicKey, Signer};
use hazelgrade_identity::token::Claims;
use pico_args::Arguments;
use serde_json::{Value, json};
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use toml_edit::{DocumentMut, Item, Table, value};
use zeroize::Zeroizing;

/// The usage text of `keys`.
pub const USAGE: &str = "\
  hazelgrade keys new    --set FILE --private DIR [--audience NAME] [--algorithm EdDSA|ES256]
  hazelgrade keys rotate --set FILE --private DIR [--lead SECONDS] [--overlap SECONDS] [--algorithm EdDSA|ES256]
  hazelgrade keys show   --set FILE [--jwks]
  hazelgrade keys token  --set FILE --private DIR --caller NAME [--for SECONDS]
                                     make and rotate the keys of an identity document, and sign tokens
";

/// Signing period of a key that is not rotated: 30 days.
const SIGNING_PERIOD_S: f64 = 30.0 * 86_400.0;

/// Lifetime of a token unless `--for` is given.
const DEFAULT_TOKEN_LIFETIME_S: f64 = 600.0;

/// Unless `--overlap` is given, the overlap of keys at a rotation is the maximum token lifetime divided by this number.
const DEFAULT_OVERLAP_DIVISOR: f64 = 10.0;

/// File mode of private keys: only the owner can read and write them.
const PRIVATE_FILE_MODE: u32 = 0o600;

/// The parsed arguments of `keys`. Each sub-command accepts all of them.
pub struct KeysCommand {
    subcommand: String,
    document: PathBuf,
    private_folder: Option<PathBuf>,
    audience: Option<String>,
    algorithm: String,
    /// Time from now until a new key starts to sign.
    lead_s: f64,
    /// Time for which the earlier keys continue to sign after the new key has started.
    overlap_s: Option<f64>,
    caller: Option<String>,
    token_lifetime_s: f64,
    as_jwks: bool,
}

impl KeysCommand {
    /// Parses the arguments of the sub-command.
    pub fn parse(arguments: &mut Arguments) -> Result<KeysCommand, pico_args::Error> {
        Ok(KeysCommand {
            subcommand: arguments.subcommand()?.unwrap_or_default(),
            document: arguments.value_from_str("--set")?,
            private_folder: arguments.opt_value_from_str("--private")?,
            audience: arguments.opt_value_from_str("--audience")?,
            algorithm: arguments.opt_value_from_str("--algorithm")?.unwrap_or_else(|| "EdDSA".into()),
            lead_s: arguments.opt_value_from_str("--lead")?.unwrap_or(0.0),
            overlap_s: arguments.opt_value_from_str("--overlap")?,
            caller: arguments.opt_value_from_str("--caller")?,
            token_lifetime_s: arguments.opt_value_from_str("--for")?.unwrap_or(DEFAULT_TOKEN_LIFETIME_S),
            as_jwks: arguments.contains("--jwks"),
        })
    }

    /// Runs the sub-command and returns the text to print.
    pub fn run(&self) -> Result<String, String> {
        match self.subcommand.as_str() {
            "new" => self.create_key(),
            "rotate" => self.rotate(),
            "show" => self.show(),
            "token" => self.sign_token(),
            _ => Err(format!("keys: expected new, rotate, show or token\n{USAGE}")),
        }
    }

    fn create_key(&self) -> Result<String, String> {
        let mut document = self.read_editable()?;
        if let Some(audience) = &self.audience {
            document["audience"] = value(audience.as_str());
        }
        let max_token_lifetime_s = max_token_lifetime_s(&document);
        let key = self.generate_key(&document, now_s(), max_token_lifetime_s)?;
        insert_key(&mut document, &key);
        self.replace_document(&document)?;
        Ok(format!("key {} signs from now on\n", key.id))
    }

    /// Adds a key that starts to sign after the lead time, and ends the signing period of the other keys after the
    /// overlap. Tokens that the other keys have signed stay valid until they expire.
    fn rotate(&self) -> Result<String, String> {
        let mut document = self.read_editable()?;
        let max_token_lifetime_s = max_token_lifetime_s(&document);
        let signs_from_s = now_s() + self.lead_s;
        let overlap_s = self.overlap_s.unwrap_or(max_token_lifetime_s / DEFAULT_OVERLAP_DIVISOR);
        let key = self.generate_key(&document, signs_from_s, max_token_lifetime_s)?;
        let retired = retire_keys(&mut document, signs_from_s + overlap_s, max_token_lifetime_s);
        insert_key(&mut document, &key);
        self.replace_document(&document)?;
        Ok(format!("key {} signs in {} s; retiring: {}\n", key.id, self.lead_s, retired.join(", ")))
    }

    fn show(&self) -> Result<String, String> {
        let document = documents::read(Kind::Identity, &self.document)?;
        let fields = document.fields();
        let keys: Vec<PublishedKey> =
            fields.names("key").into_iter().map(|id| PublishedKey { fields, id }).collect();
        if self.as_jwks {
            let jwks: Vec<Value> = keys.iter().map(PublishedKey::jwk).collect();
            return Ok(format!("{}\n", json!({"keys": jwks})));
        }
        let mut text: String = keys.iter().map(PublishedKey::line).collect();
        for caller in fields.names("caller") {
            let list = |field: &str| fields.text_list(&format!("caller/{caller}/{field}")).join(", ");
            text.push_str(&format!("{caller}: {} for {}\n", list("use_cases"), list("customers")));
        }
        Ok(text)
    }

    /// Signs a token with the key whose signing period ends last, of the active keys with a private key file.
    fn sign_token(&self) -> Result<String, String> {
        let document = documents::read(Kind::Identity, &self.document)?;
        let fields = document.fields();
        let file = self.document.display();
        let caller = self.caller.as_deref().ok_or("keys token: --caller is missing")?;
        if !fields.names("caller").contains(&caller) {
            return Err(format!("{file}: field caller.{caller}: the document has no such caller"));
        }
        let keys = fields.names("key").into_iter().map(|id| PublishedKey { fields, id });
        let signing_keys = keys.filter(|key| key.signs_now() && self.has_private_key(key.id));
        let key =
            signing_keys.max_by(|a, b| a.signs_until_s().total_cmp(&b.signs_until_s())).ok_or_else(|| {
                format!("{file}: no key in its signing period has its private key in the folder of --private")
            })?;
        let signer = read_private_key(&self.private_key_path(key.id)?)?;
        let issued_s = now_s();
        let claims = Claims {
            sub: caller.to_owned(),
            aud: fields.text("audience").unwrap_or_default().to_owned(),
            iat: issued_s.floor(),
            exp: (issued_s + self.token_lifetime_s).floor(),
            nbf: None,
            jti: Some(format!("{caller}-{:x}", (issued_s * 1e6) as u64)),
        };
        Ok(format!("{}\n", signer.sign(key.id, &claims).map_err(|error| error.to_string())?))
    }

    fn private_folder(&self) -> Result<&Path, String> {
        let folder = self.private_folder.as_deref();
        folder.ok_or_else(|| "keys: --private, the folder of the private keys, is missing".into())
    }

    fn private_key_path(&self, key: &str) -> Result<PathBuf, String> {
        Ok(self.private_folder()?.join(format!("{key}.key")))
    }

    fn has_private_key(&self, key: &str) -> bool {
        self.private_key_path(key).is_ok_and(|path| path.exists())
    }

    /// Reads the document with its comments. Returns an empty document if the file does not exist.
    fn read_editable(&self) -> Result<DocumentMut, String> {
        let file = self.document.display();
        let text = match std::fs::read_to_string(&self.document) {
            Ok(text) => text,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => String::new(),
            Err(error) => return Err(format!("{file}: {error}")),
        };
        text.parse().map_err(|error| format!("{file}: {error}"))
    }

    /// Replaces the document atomically if the new document is valid.
    fn replace_document(&self, document: &DocumentMut) -> Result<(), String> {
        let text = document.to_string();
        let file = self.document.display().to_string();
        Document::read_as(Kind::Identity, &text, &file).map_err(|errors| {
            format!("{}\n{file} was not changed", error_summary(&errors, MAX_ERRORS_SHOWN))
        })?;
        let io_error = |error: std::io::Error| format!("{file}: {error}");
        let folder = self.document.parent().filter(|folder| !folder.as_os_str().is_empty());
        let folder = folder.unwrap_or(Path::new("."));
        let mut temporary = tempfile::NamedTempFile::new_in(folder).map_err(io_error)?;
        temporary.write_all(text.as_bytes()).map_err(io_error)?;
        temporary.as_file().sync_all().map_err(io_error)?;
        temporary.persist(&self.document).map_err(|error| io_error(error.error))?;
        Ok(())
    }

    /// Generates a key pair and writes the private key to a file.
    fn generate_key(
        &self,
        document: &DocumentMut,
        signs_from_s: f64,
        max_token_lifetime_s: f64,
    ) -> Result<NewKey, String> {
        let signer = Signer::generate(&self.algorithm).map_err(|error| error.to_string())?;
        let id = unused_key_id(document);
        let folder = self.private_folder()?;
        std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        write_private_key(&folder.join(format!("{id}.key")), &signer)?;
        let PublicKey { x, y } = signer.public_key();
        let mut table = Table::new();
        table["algorithm"] = value(signer.algorithm());
        table["x"] = value(x);
        if let Some(y) = y {
            table["y"] = value(y);
        }
        table["active_from_s"] = value(signs_from_s);
        table["signs_until_s"] = value(signs_from_s + SIGNING_PERIOD_S);
        table["valid_until_s"] = value(signs_from_s + SIGNING_PERIOD_S + max_token_lifetime_s);
        Ok(NewKey { id, table })
    }
}

/// A generated key: its id, and its table in the identity document.
struct NewKey {
    id: String,
    table: Table,
}

/// A public key of an identity document.
struct PublishedKey<'a> {
    fields: &'a Fields,
    id: &'a str,
}

impl PublishedKey<'_> {
    fn path(&self, field: &str) -> String {
        format!("key/{}/{field}", self.id)
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.text(&self.path(field))
    }

    fn number(&self, field: &str) -> Option<f64> {
        self.fields.number(&self.path(field))
    }

    fn is_revoked(&self) -> bool {
        let is_listed = self.fields.text_list("revoked/keys").iter().any(|revoked| revoked == self.id);
        is_listed || self.fields.boolean(&self.path("revoked")) == Some(true)
    }

    fn signs_until_s(&self) -> f64 {
        self.number("signs_until_s").or(self.number("valid_until_s")).unwrap_or(0.0)
    }

    fn signs_now(&self) -> bool {
        let has_started = self.number("active_from_s").is_some_and(|from_s| from_s <= now_s());
        has_started && now_s() < self.signs_until_s() && !self.is_revoked()
    }

    /// Formats the key as one line of the output of `keys show`.
    fn line(&self) -> String {
        let seconds_left = |field: &str| match self.number(field) {
            Some(at_s) => format!("{:.0} s", at_s - now_s()),
            None => "-".into(),
        };
        format!(
            "{}: {}, signs in {}, until in {}, valid until in {}{}\n",
            self.id,
            self.text("algorithm").unwrap_or_default(),
            seconds_left("active_from_s"),
            seconds_left("signs_until_s"),
            seconds_left("valid_until_s"),
            if self.is_revoked() { ", revoked" } else { "" }
        )
    }

    /// Returns the key as a JSON Web Key (RFC 7517).
    fn jwk(&self) -> Value {
        let algorithm = self.text("algorithm").unwrap_or_default();
        let (key_type, curve) = if algorithm == "EdDSA" { ("OKP", "Ed25519") } else { ("EC", "P-256") };
        let mut jwk = json!({
            "kid": self.id, "kty": key_type, "crv": curve, "alg": algorithm, "use": "sig", "x": self.text("x")
        });
        if let Some(y) = self.text("y") {
            jwk["y"] = json!(y);
        }
        jwk
    }
}

/// Returns the current Unix time in seconds.
fn now_s() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64())
}

fn number(item: &Item) -> Option<f64> {
    item.as_float().or(item.as_integer().map(|number| number as f64))
}

fn max_token_lifetime_s(document: &DocumentMut) -> f64 {
    document.get("longest_token_s").and_then(number).unwrap_or(DEFAULT_MAX_TOKEN_LIFETIME_S)
}

fn unused_key_id(document: &DocumentMut) -> String {
    let is_used = |id: &str| document.get("key").and_then(|keys| keys.get(id)).is_some();
    (1..).map(|count| format!("k{count}")).find(|id| !is_used(id)).unwrap_or_default()
}

fn insert_key(document: &mut DocumentMut, key: &NewKey) {
    let keys = document.entry("key").or_insert_with(|| {
        let mut keys = Table::new();
        keys.set_implicit(true);
        Item::Table(keys)
    });
    keys[&key.id] = Item::Table(key.table.clone());
}

/// Ends at `signs_until_s` the signing period of all keys that would sign longer, and returns the ids of these keys.
fn retire_keys(document: &mut DocumentMut, signs_until_s: f64, max_token_lifetime_s: f64) -> Vec<String> {
    let mut retired = Vec::new();
    let Some(keys) = document.get_mut("key").and_then(Item::as_table_mut) else { return retired };
    for (id, key) in keys.iter_mut() {
        let signs_until = key.get("signs_until_s").and_then(number);
        if signs_until.is_none_or(|signs_until| signs_until > signs_until_s) {
            key["signs_until_s"] = value(signs_until_s);
            key["valid_until_s"] = value(signs_until_s + max_token_lifetime_s);
            retired.push(id.get().to_owned());
        }
    }
    retired
}

/// Writes a private key to a new file. Fails if the file exists, as an overwritten key could not be recovered.
fn write_private_key(path: &Path, signer: &Signer) -> Result<(), String> {
    let io_error = |error: std::io::Error| format!("{}: {error}", path.display());
    let text = Zeroizing::new(STANDARD.encode(signer.pkcs8()));
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(PRIVATE_FILE_MODE);
    let mut file = options.open(path).map_err(io_error)?;
    file.write_all(text.as_bytes()).map_err(io_error)?;
    file.sync_all().map_err(io_error)
}

fn read_private_key(path: &Path) -> Result<Signer, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let text = Zeroizing::new(text);
    let pkcs8 = STANDARD
        .decode(text.trim())
        .map_err(|_| format!("{}: not a private key in base64", path.display()))?;
    Signer::from_pkcs8(Zeroizing::new(pkcs8)).map_err(|error| error.to_string())
}
