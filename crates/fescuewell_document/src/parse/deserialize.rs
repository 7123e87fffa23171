//! A serde deserializer for the syntax tree whose errors include the position of the value.

use std::fmt;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use serde::de::value::StrDeserializer;
use serde::de::{
    self, DeserializeSeed, Deserializer, EnumAccess, IntoDeserializer, MapAccess, SeqAccess,
    Unexpected, VariantAccess, Visitor,
};
use serde::forward_to_deserialize_any;

use super::{Position, Step, join_path};
use crate::fault::{Fault, nearest};

/// Maximum number of allowed values listed in an error.
const MAX_ALLOWED_SHOWN: usize = 24;

/// A fault whose path is built while the error propagates to the root.
#[derive(Debug)]
pub(super) struct Error {
    message: String,
    suggestion: Option<String>,
    offset: Option<usize>,
    steps: Vec<Step>,
}

impl fmt::Debug for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&join_path(std::slice::from_ref(self)))
    }
}

impl Error {
    fn new(message: String, suggestion: Option<String>) -> Self {
        Self {
            message,
            suggestion,
            offset: None,
            steps: Vec::new(),
        }
    }

    /// Sets the offset unless it is already set, so that the innermost value's offset is kept.
    fn at_offset(mut self, offset: usize) -> Self {
        self.offset.get_or_insert(offset);
        self
    }

    /// Adds the next outer step of the path.
    fn within(mut self, step: Step) -> Self {
        self.steps.push(step);
        self
    }

    pub(super) fn into_fault(mut self, text: &str) -> Fault {
        self.steps.reverse();
        let mut fault = Fault::new(join_path(&self.steps), self.message);
        if let Some(suggestion) = self.suggestion {
            fault = fault.with_suggestion(suggestion);
        }
        match self.offset {
            Some(offset) => fault.with_position(Position::at_offset(text, offset)),
            None => fault,
        }
    }
}

fn suggest(word: &str, allowed: &'static [&'static str]) -> String {
    if let Some(nearest_name) = nearest(word, allowed.iter().copied()) {
        return format!(
            "did you mean `{nearest_name}`? allowed: {}",
            join_names(allowed.iter().copied())
        );
    }
    format!("allowed: {}", join_names(allowed.iter().copied()))
}

fn join_names<'a, Names>(names: Names) -> String
where
    Names: Iterator<Item = &'a str>,
{
    let shown: Vec<&str> = names.take(MAX_ALLOWED_SHOWN).collect();
    shown.join(", ")
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}

impl de::Error for Error {
    fn custom<T>(message: T) -> Self
    where
        T: fmt::Display,
    {
        Self::new(message.to_string(), None)
    }

    fn invalid_type(unexpected: Unexpected<'_>, expected: &dyn de::Expected) -> Self {
        Self::new(format!("expected {expected}, found {unexpected}"), None)
    }

    fn unknown_variant(variant: &str, allowed: &'static [&'static str]) -> Self {
        Self::new(
            format!("unknown value `{variant}`"),
            Some(suggest(variant, allowed)),
        )
    }

    fn unknown_field(field: &str, allowed: &'static [&'static str]) -> Self {
        Self::new(
            format!("unknown key `{field}`"),
            Some(suggest(field, allowed)),
        )
    }

    fn missing_field(field: &'static str) -> Self {
        Self::new(format!("the key `{field}` is missing"), None)
    }

    fn duplicate_field(field: &'static str) -> Self {
        Self::new(format!("duplicate key `{field}`"), None)
    }
}

/// A value of the syntax tree.
#[derive(Clone, Copy)]
pub(super) struct Node<'a>(pub(super) &'a Value<'a>);

impl<'a> Node<'a> {
    fn start(self) -> usize {
        self.0.range().start
    }
}

fn visit_number<'de, V>(text: &str, visitor: V) -> Result<V::Value, Error>
where
    V: Visitor<'de>,
{
    if let Ok(number) = text.parse::<u64>() {
        return visitor.visit_u64(number);
    }
    if let Ok(number) = text.parse::<i64>() {
        return visitor.visit_i64(number);
    }
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() => visitor.visit_f64(number),
        _ => Err(Error::new(
            format!("the number {text} is out of range"),
            None,
        )),
    }
}

impl<'de> Deserializer<'de> for Node<'de> {
    type Error = Error;

    fn deserialize_any<V>(self, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        let result = match self.0 {
            Value::StringLit(text) => visitor.visit_str(&text.value),
            Value::NumberLit(number) => visit_number(number.value, visitor),
            Value::BooleanLit(flag) => visitor.visit_bool(flag.value),
            Value::NullKeyword(_) => visitor.visit_unit(),
            Value::Object(object) => visitor.visit_map(Entries::new(object)),
            Value::Array(array) => visitor.visit_seq(Elements {
                values: &array.elements,
                next: 0,
            }),
        };
        result.map_err(|error| error.at_offset(self.start()))
    }

    fn deserialize_option<V>(self, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        match self.0 {
            Value::NullKeyword(_) => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_enum<V>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        let result = match self.0 {
            Value::StringLit(text) => visitor.visit_enum(Variant {
                name: &text.value,
                content: None,
            }),
            Value::Object(object) if object.properties.len() == 1 => {
                let property = &object.properties[0];
                visitor.visit_enum(Variant {
                    name: property.name.as_str(),
                    content: Some(&property.value),
                })
            }
            _ => Err(Error::new(
                "expected a name, or an object with one key".into(),
                None,
            )),
        };
        result.map_err(|error| error.at_offset(self.start()))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

struct Elements<'de> {
    values: &'de [Value<'de>],
    next: usize,
}

impl<'de> SeqAccess<'de> for Elements<'de> {
    type Error = Error;

    fn next_element_seed<S>(&mut self, seed: S) -> Result<Option<S::Value>, Error>
    where
        S: DeserializeSeed<'de>,
    {
        let Some(value) = self.values.get(self.next) else {
            return Ok(None);
        };
        let index = self.next;
        self.next += 1;
        let node = Node(value);
        let result = seed.deserialize(node);
        result
            .map(Some)
            .map_err(|error| error.at_offset(node.start()).within(Step::Index(index)))
    }

    fn size_hint(&self) -> Option<usize> {
        Some(self.values.len() - self.next)
    }
}

struct Entries<'de> {
    object: &'de Object<'de>,
    next: usize,
}

impl<'de> Entries<'de> {
    fn new(object: &'de Object<'de>) -> Self {
        Self { object, next: 0 }
    }
}

impl<'de> MapAccess<'de> for Entries<'de> {
    type Error = Error;

    fn next_key_seed<S>(&mut self, seed: S) -> Result<Option<S::Value>, Error>
    where
        S: DeserializeSeed<'de>,
    {
        let Some(property) = self.object.properties.get(self.next) else {
            return Ok(None);
        };
        let name: StrDeserializer<'_, Error> = property.name.as_str().into_deserializer();
        seed.deserialize(name)
            .map(Some)
            .map_err(|error| error.at_offset(property.range.start))
    }

    fn next_value_seed<S>(&mut self, seed: S) -> Result<S::Value, Error>
    where
        S: DeserializeSeed<'de>,
    {
        let property = &self.object.properties[self.next];
        self.next += 1;
        let node = Node(&property.value);
        seed.deserialize(node).map_err(|error| {
            let name = property.name.as_str().to_owned();
            error.at_offset(node.start()).within(Step::Field(name))
        })
    }
}

struct Variant<'de> {
    name: &'de str,
    content: Option<&'de Value<'de>>,
}

impl<'de> EnumAccess<'de> for Variant<'de> {
    type Error = Error;
    type Variant = Self;

    fn variant_seed<S>(self, seed: S) -> Result<(S::Value, Self), Error>
    where
        S: DeserializeSeed<'de>,
    {
        let name: StrDeserializer<'_, Error> = self.name.into_deserializer();
        let value = seed.deserialize(name)?;
        Ok((value, self))
    }
}

impl<'de> Variant<'de> {
    fn node(&self) -> Result<Node<'de>, Error> {
        let missing = || {
            Error::new(
                format!("`{}` requires a value", self.name),
                Some(format!("write {{\"{}\": ...}}", self.name)),
            )
        };
        self.content.map(Node).ok_or_else(missing)
    }
}

impl<'de> VariantAccess<'de> for Variant<'de> {
    type Error = Error;

    fn unit_variant(self) -> Result<(), Error> {
        match self.content {
            None => Ok(()),
            Some(_) => Err(Error::new(format!("`{}` takes no value", self.name), None)),
        }
    }

    fn newtype_variant_seed<S>(self, seed: S) -> Result<S::Value, Error>
    where
        S: DeserializeSeed<'de>,
    {
        seed.deserialize(self.node()?)
    }

    fn tuple_variant<V>(self, _len: usize, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        self.node()?.deserialize_any(visitor)
    }

    fn struct_variant<V>(
        self,
        _fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        self.node()?.deserialize_any(visitor)
    }
}
