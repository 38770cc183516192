//! Reading JSON in which no object names a field twice. `serde_json` keeps the last of two, so one of
//! them would be lost without a word.

use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{Error, MapAccess, SeqAccess, Visitor},
};
use serde_json::{Map, Value};

/// Reads JSON text.
///
/// # Errors
/// Text that is not JSON, and an object that names a field twice, with line and column.
pub(crate) fn parse_unique(text: &str) -> Result<Value, serde_json::Error> {
    serde_json::from_str::<Unique>(text).map(|it| it.0)
}

struct Unique(Value);

impl<'de> Deserialize<'de> for Unique {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Unique, D::Error> {
        deserializer.deserialize_any(UniqueVisitor).map(Unique)
    }
}

struct UniqueVisitor;

impl<'de> Visitor<'de> for UniqueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, it: bool) -> Result<Value, E> {
        Ok(it.into())
    }

    fn visit_u64<E>(self, it: u64) -> Result<Value, E> {
        Ok(it.into())
    }

    fn visit_i64<E>(self, it: i64) -> Result<Value, E> {
        Ok(it.into())
    }

    fn visit_f64<E>(self, it: f64) -> Result<Value, E> {
        Ok(it.into())
    }

    fn visit_str<E>(self, it: &str) -> Result<Value, E> {
        Ok(it.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(Unique(it)) = seq.next_element()? {
            items.push(it);
        }
        Ok(Value::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = map.next_key::<String>()? {
            let Unique(value) = map.next_value()?;
            if fields.contains_key(&name) {
                return Err(A::Error::custom(format!("the field `{name}` stands here twice")));
            }
            fields.insert(name, value);
        }
        Ok(Value::Object(fields))
    }
}
