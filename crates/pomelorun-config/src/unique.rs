//! JSON parsing that rejects duplicate fields.
//!
//! `serde_json` silently keeps the last of several fields with the same name.

use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{Error, MapAccess, SeqAccess, Visitor},
};
use serde_json::{Map, Value};

/// Parses JSON text.
///
/// # Errors
/// Returns an error with line and column if the text is not valid JSON or an object has a duplicate
/// field.
pub(crate) fn parse_without_duplicates(text: &str) -> Result<Value, serde_json::Error> {
    serde_json::from_str::<UniqueValue>(text).map(|it| it.0)
}

struct UniqueValue(Value);

impl<'de> Deserialize<'de> for UniqueValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<UniqueValue, D::Error> {
        deserializer.deserialize_any(UniqueValueVisitor).map(UniqueValue)
    }
}

struct UniqueValueVisitor;

impl<'de> Visitor<'de> for UniqueValueVisitor {
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
        while let Some(UniqueValue(it)) = seq.next_element()? {
            items.push(it);
        }
        Ok(Value::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = map.next_key::<String>()? {
            let UniqueValue(value) = map.next_value()?;
            if fields.contains_key(&name) {
                return Err(A::Error::custom(format!("duplicate field `{name}`")));
            }
            fields.insert(name, value);
        }
        Ok(Value::Object(fields))
    }
}
