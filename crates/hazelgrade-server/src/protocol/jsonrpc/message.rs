//! The members of a JSON-RPC message that the instance reads. Everything else in a line is checked to be JSON and
//! skipped, so that a line of many members or of nested values costs no memory and little time.

use serde::de::{Deserialize, DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt::{self, Formatter};
use std::marker::PhantomData;

/// The members of a message.
#[derive(Default)]
pub(super) struct Message {
    pub(super) jsonrpc: Value,
    pub(super) id: Value,
    pub(super) method: Value,
    /// `None` if the message has no parameters.
    pub(super) params: Option<Object<ParamMembers>>,
}

/// The parameters that some kind of message has, by their names.
#[derive(Default)]
pub(super) struct ParamMembers(pub(super) Map<String, Value>);

/// A JSON value of which only the known members of an object are stored; `None` if it is not an object.
pub(super) struct Object<M>(pub(super) Option<M>);

/// The known members of an object.
pub(super) trait Members: Default {
    /// Their names.
    const NAMES: &'static [&'static str];

    /// Stores the value of a member. A later member replaces an earlier one of the same name.
    fn read<'de, A: MapAccess<'de>>(&mut self, name: &'static str, access: &mut A) -> Result<(), A::Error>;
}

impl Members for Message {
    const NAMES: &'static [&'static str] = &["jsonrpc", "id", "method", "params"];

    fn read<'de, A: MapAccess<'de>>(&mut self, name: &'static str, access: &mut A) -> Result<(), A::Error> {
        match name {
            "jsonrpc" => self.jsonrpc = access.next_value::<ShallowValue>()?.0,
            "id" => self.id = access.next_value::<ShallowValue>()?.0,
            "method" => self.method = access.next_value::<ShallowValue>()?.0,
            _ => self.params = Some(access.next_value()?),
        }
        Ok(())
    }
}

impl Members for ParamMembers {
    const NAMES: &'static [&'static str] =
        &["req", "ts", "via", "owner", "resent", "need", "level", "subject", "opkey", "body", "token", "id"];

    fn read<'de, A: MapAccess<'de>>(&mut self, name: &'static str, access: &mut A) -> Result<(), A::Error> {
        self.0.insert(name.to_owned(), access.next_value::<ShallowValue>()?.0);
        Ok(())
    }
}

impl<'de, M: Members> Deserialize<'de> for Object<M> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Object<M>, D::Error> {
        deserializer.deserialize_any(ObjectVisitor(PhantomData))
    }
}

struct ObjectVisitor<M>(PhantomData<M>);

impl<'de, M: Members> Visitor<'de> for ObjectVisitor<M> {
    type Value = Object<M>;

    fn expecting(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Object<M>, A::Error> {
        let mut members = M::default();
        while let Some(name) = access.next_key_seed(KnownName(M::NAMES))? {
            match name {
                Some(name) => members.read(name, &mut access)?,
                None => skip_value(&mut access)?,
            }
        }
        Ok(Object(Some(members)))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, access: A) -> Result<Object<M>, A::Error> {
        skip_elements(access)?;
        Ok(Object(None))
    }

    fn visit_bool<E>(self, _: bool) -> Result<Object<M>, E> {
        Ok(Object(None))
    }

    fn visit_i64<E>(self, _: i64) -> Result<Object<M>, E> {
        Ok(Object(None))
    }

    fn visit_u64<E>(self, _: u64) -> Result<Object<M>, E> {
        Ok(Object(None))
    }

    fn visit_f64<E>(self, _: f64) -> Result<Object<M>, E> {
        Ok(Object(None))
    }

    fn visit_str<E>(self, _: &str) -> Result<Object<M>, E> {
        Ok(Object(None))
    }

    fn visit_unit<E>(self) -> Result<Object<M>, E> {
        Ok(Object(None))
    }
}

/// Reads the name of a member: one of the known names, or `None`.
struct KnownName(&'static [&'static str]);

impl<'de> DeserializeSeed<'de> for KnownName {
    type Value = Option<&'static str>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_str(self)
    }
}

impl Visitor<'_> for KnownName {
    type Value = Option<&'static str>;

    fn expecting(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str("the name of a member")
    }

    fn visit_str<E>(self, name: &str) -> Result<Self::Value, E> {
        Ok(self.0.iter().copied().find(|known| *known == name))
    }
}

/// A JSON value; an array or an object is stored without its content.
struct ShallowValue(Value);

impl<'de> Deserialize<'de> for ShallowValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ShallowValue, D::Error> {
        deserializer.deserialize_any(ShallowValueVisitor).map(ShallowValue)
    }
}

struct ShallowValueVisitor;

impl<'de> Visitor<'de> for ShallowValueVisitor {
    type Value = Value;

    fn expecting(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_string<E>(self, value: String) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, access: A) -> Result<Value, A::Error> {
        skip_elements(access)?;
        Ok(Value::Array(Vec::new()))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        while access.next_key::<IgnoredAny>()?.is_some() {
            skip_value(&mut access)?;
        }
        Ok(Value::Object(Map::new()))
    }
}

fn skip_value<'de, A: MapAccess<'de>>(access: &mut A) -> Result<(), A::Error> {
    access.next_value::<IgnoredAny>().map(drop)
}

fn skip_elements<'de, A: SeqAccess<'de>>(mut access: A) -> Result<(), A::Error> {
    while access.next_element::<IgnoredAny>()?.is_some() {}
    Ok(())
}
