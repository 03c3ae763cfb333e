//! The fields of an identity document. All of them take effect while serving.

use super::ValueType::{self, Bool, Number, OneOf, Text, TextList};
use super::{FieldSpec, live, required};

/// A point in time: seconds since 1970, up to the year 5000.
const TIMESTAMP_S: ValueType = Number(0.0, 1e11);

/// The values of `key.NAME.algorithm`.
pub const SIGNATURE_ALGORITHMS: [&str; 2] = ["EdDSA", "ES256"];

/// The fields of an identity document.
pub const IDENTITY_FIELDS: [FieldSpec; 19] = [
    required("audience", Text(256)),
    live("skew_s", Number(0.0, 600.0)),
    live("longest_token_s", Number(1.0, 31_536_000.0)),
    required("key/*/algorithm", OneOf(&SIGNATURE_ALGORITHMS)),
    required("key/*/x", Text(64)),
    live("key/*/y", Text(64)),
    required("key/*/active_from_s", TIMESTAMP_S),
    live("key/*/signs_until_s", TIMESTAMP_S),
    required("key/*/valid_until_s", TIMESTAMP_S),
    live("key/*/revoked", Bool),
    required("caller/*/use_cases", TextList(64)),
    required("caller/*/customers", TextList(4096)),
    live("caller/*/networks", TextList(64)),
    live("caller/*/certificates", TextList(16)),
    live("caller/*/jobs_per_s", Number(0.0, 1e9)),
    live("caller/*/revoked", Bool),
    live("revoked/tokens", TextList(4096)),
    live("revoked/certificates", TextList(4096)),
    live("revoked/keys", TextList(64)),
];
