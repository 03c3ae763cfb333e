//! `keys`: makes and rotates the keys of an identity document, and signs tokens. The document is replaced in one step, and
//! only by one that passes the checks; its comments stay. Private keys lie in files that only their owner reads.

use super::identity::read_document;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hazelgrade_config::document::LONGEST_TOKEN_S;
use hazelgrade_config::{Document, Kind, fault};
use hazelgrade_identity::signer::{PublicKey, Signer};
use hazelgrade_identity::token::Claims;
use pico_args::Arguments;
use serde_json::json;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use toml_edit::{DocumentMut, Item, Table, value};
use zeroize::Zeroizing;

pub const USAGE: &str = "\
  hazelgrade keys new    --set FILE --private DIR [--audience NAME] [--algorithm EdDSA|ES256]
  hazelgrade keys rotate --set FILE --private DIR [--lead SECONDS] [--overlap SECONDS] [--algorithm EdDSA|ES256]
  hazelgrade keys show   --set FILE [--jwks]
  hazelgrade keys token  --set FILE --private DIR --caller NAME [--for SECONDS]
                                     make and rotate the keys of an identity document, and sign tokens
";

/// A key signs for so long if nobody rotates it.
const SIGNS_FOR_S: f64 = 30.0 * 86_400.0;
const FAULTS_NAMED: usize = 5;

/// What was asked for; the words come off the command line at once, so that none is left over.
pub struct Asked {
    what: String,
    set: PathBuf,
    private: Option<PathBuf>,
    audience: Option<String>,
    algorithm: String,
    lead: f64,
    overlap: Option<f64>,
    caller: Option<String>,
    lasts: f64,
    jwks: bool,
}

impl Asked {
    pub fn of(arguments: &mut Arguments) -> Result<Asked, pico_args::Error> {
        Ok(Asked {
            what: arguments.subcommand()?.unwrap_or_default(),
            set: arguments.value_from_str("--set")?,
            private: arguments.opt_value_from_str("--private")?,
            audience: arguments.opt_value_from_str("--audience")?,
            algorithm: arguments.opt_value_from_str("--algorithm")?.unwrap_or_else(|| "EdDSA".into()),
            lead: arguments.opt_value_from_str("--lead")?.unwrap_or(0.0),
            overlap: arguments.opt_value_from_str("--overlap")?,
            caller: arguments.opt_value_from_str("--caller")?,
            lasts: arguments.opt_value_from_str("--for")?.unwrap_or(600.0),
            jwks: arguments.contains("--jwks"),
        })
    }

    pub fn run(&self) -> Result<String, String> {
        match self.what.as_str() {
            "new" => self.new_key(),
            "rotate" => self.rotate(),
            "show" => self.show(),
            "token" => self.token(),
            _ => Err(format!("keys: expected new, rotate, show or token\n{USAGE}")),
        }
    }

    fn private(&self) -> Result<&Path, String> {
        self.private.as_deref().ok_or_else(|| "keys: --private is missing: where private keys lie".into())
    }

    /// The document as it is; an empty one if there is none yet.
    fn edited(&self) -> Result<DocumentMut, String> {
        let shown = self.set.display();
        let text = match std::fs::read_to_string(&self.set) {
            Ok(text) => text,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => String::new(),
            Err(error) => return Err(format!("{shown}: {error}")),
        };
        text.parse().map_err(|error| format!("{shown}: {error}"))
    }

    /// Replaces the document, if what it would be passes the checks.
    fn replace(&self, document: &DocumentMut) -> Result<(), String> {
        let (text, shown) = (document.to_string(), self.set.display().to_string());
        Document::read_as(Kind::Identity, &text, &shown)
            .map_err(|faults| format!("{}\n{shown} is as it was", fault::lines(&faults, FAULTS_NAMED)))?;
        let failed = |error: std::io::Error| format!("{shown}: {error}");
        let folder = self.set.parent().filter(|folder| !folder.as_os_str().is_empty());
        let mut file = tempfile::NamedTempFile::new_in(folder.unwrap_or(Path::new("."))).map_err(failed)?;
        file.write_all(text.as_bytes()).and_then(|()| file.as_file().sync_all()).map_err(failed)?;
        file.persist(&self.set).map_err(|error| failed(error.error))?;
        Ok(())
    }

    /// Makes a key, keeps its private half, and gives its name and table.
    fn made(&self, document: &DocumentMut, from: f64, longest: f64) -> Result<(String, Table), String> {
        let signer = Signer::generate(&self.algorithm).map_err(|error| error.to_string())?;
        let taken = |kid: &str| document.get("key").and_then(|keys| keys.get(kid)).is_some();
        let kid = (1..).map(|count| format!("k{count}")).find(|kid| !taken(kid)).unwrap_or_default();
        let folder = self.private()?;
        std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        let path = folder.join(format!("{kid}.key"));
        let failed = |error: std::io::Error| format!("{}: {error}", path.display());
        // Never over another key: what it signed would be lost.
        let file = OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path);
        let text = Zeroizing::new(STANDARD.encode(signer.pkcs8()));
        file.and_then(|mut file| file.write_all(text.as_bytes()).and_then(|()| file.sync_all()))
            .map_err(failed)?;
        let PublicKey { x, y } = signer.public_key();
        let mut table = Table::new();
        table["algorithm"] = value(signer.algorithm());
        table["x"] = value(x);
        if let Some(y) = y {
            table["y"] = value(y);
        }
        table["active_from_s"] = value(from);
        table["signs_until_s"] = value(from + SIGNS_FOR_S);
        table["valid_until_s"] = value(from + SIGNS_FOR_S + longest);
        Ok((kid, table))
    }

    fn new_key(&self) -> Result<String, String> {
        let mut document = self.edited()?;
        if let Some(audience) = &self.audience {
            document["audience"] = value(audience.as_str());
        }
        let (kid, table) = self.made(&document, now(), longest(&document))?;
        insert(&mut document, &kid, table);
        self.replace(&document)?;
        Ok(format!("key {kid} signs from now on\n"))
    }

    /// A new key signs from the lead on, and the others for the overlap after that; what they signed is taken for as long
    /// as a token lives.
    fn rotate(&self) -> Result<String, String> {
        let mut document = self.edited()?;
        let (from, longest) = (now() + self.lead, longest(&document));
        let until = from + self.overlap.unwrap_or(longest / 10.0);
        let (kid, table) = self.made(&document, from, longest)?;
        let mut retired = Vec::new();
        if let Some(keys) = document.get_mut("key").and_then(Item::as_table_mut) {
            for (name, key) in keys.iter_mut() {
                let signs = key
                    .get("signs_until_s")
                    .and_then(|at| at.as_float().or(at.as_integer().map(|at| at as f64)));
                if signs.is_none_or(|signs| signs > until) {
                    key["signs_until_s"] = value(until);
                    key["valid_until_s"] = value(until + longest);
                    retired.push(name.get().to_owned());
                }
            }
        }
        insert(&mut document, &kid, table);
        self.replace(&document)?;
        Ok(format!("key {kid} signs in {} s; retiring: {}\n", self.lead, retired.join(", ")))
    }

    fn show(&self) -> Result<String, String> {
        let document = read_document(&self.set)?;
        let fields = document.fields();
        let mut text = String::new();
        let mut jwks = Vec::new();
        for kid in fields.names("key") {
            let word = |field: &str| fields.word(&format!("key/{kid}/{field}"));
            let left = |field: &str| match fields.number(&format!("key/{kid}/{field}")) {
                Some(at) => format!("{:.0} s", at - now()),
                None => "-".into(),
            };
            let algorithm = word("algorithm").unwrap_or_default();
            let curve = if algorithm == "EdDSA" { ("OKP", "Ed25519") } else { ("EC", "P-256") };
            let mut jwk = json!({"kid": kid, "kty": curve.0, "crv": curve.1, "alg": algorithm, "use": "sig", "x": word("x")});
            if let Some(y) = word("y") {
                jwk["y"] = json!(y);
            }
            jwks.push(jwk);
            let listed = fields.words("revoked/keys").iter().any(|revoked| revoked == kid);
            let revoked = listed || fields.truth(&format!("key/{kid}/revoked")) == Some(true);
            text.push_str(&format!(
                "{kid}: {algorithm}, signs in {}, until in {}, valid until in {}{}\n",
                left("active_from_s"),
                left("signs_until_s"),
                left("valid_until_s"),
                if revoked { ", revoked" } else { "" }
            ));
        }
        for caller in fields.names("caller") {
            let words = |field: &str| fields.words(&format!("caller/{caller}/{field}")).join(", ");
            text.push_str(&format!("{caller}: {} for {}\n", words("use_cases"), words("customers")));
        }
        Ok(if self.jwks { format!("{}\n", json!({"keys": jwks})) } else { text })
    }

    /// Signs with the key that signs for longest from now.
    fn token(&self) -> Result<String, String> {
        let document = read_document(&self.set)?;
        let fields = document.fields();
        let caller = self.caller.as_deref().ok_or("keys: --caller is missing")?;
        if !fields.names("caller").contains(&caller) {
            return Err(format!("{}: field caller.{caller}: there is no such caller", self.set.display()));
        }
        let number = |kid: &str, field: &str| fields.number(&format!("key/{kid}/{field}"));
        let signs = |kid: &&str| {
            let until = number(kid, "signs_until_s").or(number(kid, "valid_until_s")).unwrap_or(0.0);
            let listed = fields.words("revoked/keys").iter().any(|revoked| revoked == kid);
            let active = number(kid, "active_from_s").is_some_and(|from| from <= now()) && now() < until;
            let there =
                self.private.as_ref().is_some_and(|folder| folder.join(format!("{kid}.key")).exists());
            (active && there && !listed && fields.truth(&format!("key/{kid}/revoked")) != Some(true))
                .then_some(until)
        };
        let kids = fields.names("key").into_iter().filter_map(|kid| signs(&kid).map(|until| (until, kid)));
        let (_, kid) = kids.max_by(|a, b| a.0.total_cmp(&b.0)).ok_or_else(|| {
            format!("{}: no key that signs now has its private half there", self.set.display())
        })?;
        let path = self.private()?.join(format!("{kid}.key"));
        let failed = |error: std::io::Error| format!("{}: {error}", path.display());
        let text = Zeroizing::new(std::fs::read_to_string(&path).map_err(failed)?);
        let pkcs8 = STANDARD
            .decode(text.trim())
            .map_err(|_| format!("{}: not a key of this program", path.display()))?;
        let signer = Signer::from_pkcs8(Zeroizing::new(pkcs8)).map_err(|error| error.to_string())?;
        let claims = Claims {
            sub: caller.to_owned(),
            aud: fields.word("audience").unwrap_or_default().to_owned(),
            iat: now().floor(),
            exp: (now() + self.lasts).floor(),
            nbf: None,
            jti: Some(format!("{caller}-{:x}", (now() * 1e6) as u64)),
        };
        let token = signer.sign(kid, &claims).map_err(|error| error.to_string())?;
        Ok(format!("{token}\n"))
    }
}

fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64())
}

fn longest(document: &DocumentMut) -> f64 {
    let longest = document.get("longest_token_s");
    let longest = longest.and_then(|item| item.as_float().or(item.as_integer().map(|whole| whole as f64)));
    longest.unwrap_or(LONGEST_TOKEN_S)
}

fn insert(document: &mut DocumentMut, kid: &str, table: Table) {
    let keys = document.entry("key").or_insert_with(|| {
        let mut keys = Table::new();
        keys.set_implicit(true);
        Item::Table(keys)
    });
    keys[kid] = Item::Table(table);
}
