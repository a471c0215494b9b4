use bytes::{BufMut, BytesMut};
use rusqlite::types::{Value, ValueRef};

use crate::member::error::SqlError;

/// Type OIDs of PostgreSQL.
pub(crate) mod oid {
    pub(crate) const BOOL: u32 = 16;
    pub(crate) const BYTEA: u32 = 17;
    pub(crate) const INT8: u32 = 20;
    pub(crate) const INT2: u32 = 21;
    pub(crate) const INT4: u32 = 23;
    pub(crate) const TEXT: u32 = 25;
    pub(crate) const FLOAT8: u32 = 701;
}

/// Format code of binary values.
const BINARY: i16 = 1;

/// Type OID for the declared type of a column; text if the type is not known.
pub(crate) fn oid_of_declaration(declaration: &str) -> u32 {
    let declaration = declaration.to_lowercase();
    match declaration.as_str() {
        "bigint" | "int8" | "integer" | "bigserial" | "serial" => oid::INT8,
        "int" | "int4" => oid::INT4,
        "smallint" | "int2" => oid::INT2,
        "bool" | "boolean" => oid::BOOL,
        "bytea" | "blob" => oid::BYTEA,
        "real" | "double precision" | "float8" => oid::FLOAT8,
        _ => oid::TEXT,
    }
}

/// Guesses the type OID of an expression from its text, which SQLite uses as its column's name.
pub(crate) fn oid_of_expression(name: &str) -> u32 {
    let name = name.to_lowercase();
    let counts = ["count(", "sum(", "max(", "min("].iter().any(|start| name.starts_with(start));
    if counts || name.parse::<i64>().is_ok() { oid::INT8 } else { oid::TEXT }
}

/// Type OID of a value of the engine.
pub(crate) fn oid_of_value(value: ValueRef<'_>) -> u32 {
    match value {
        ValueRef::Integer(_) => oid::INT8,
        ValueRef::Real(_) => oid::FLOAT8,
        ValueRef::Blob(_) => oid::BYTEA,
        _ => oid::TEXT,
    }
}

/// Appends a value as a field of a data row, with its length.
pub(crate) fn put_field(buf: &mut BytesMut, value: ValueRef<'_>, oid: u32, format: i16) {
    if matches!(value, ValueRef::Null) {
        return buf.put_i32(-1);
    }
    let bytes = if format == BINARY {
        encode_binary(value, oid)
    } else {
        encode_text(value, oid).into_bytes()
    };
    buf.put_i32(bytes.len() as i32);
    buf.put_slice(&bytes);
}

/// Decodes a parameter of a bind message; `None` is NULL.
pub(crate) fn decode_parameter(
    bytes: Option<&[u8]>,
    oid: u32,
    format: i16,
) -> Result<Value, SqlError> {
    let Some(bytes) = bytes else { return Ok(Value::Null) };
    if format == BINARY {
        return decode_binary_parameter(bytes, oid);
    }
    let text = str::from_utf8(bytes).map_err(|_| SqlError::new("22021", "not UTF-8"))?;
    Ok(match oid {
        oid::INT2 | oid::INT4 | oid::INT8 => Value::Integer(number(text)?),
        oid::BOOL => Value::Integer(i64::from(matches!(text, "t" | "true" | "1"))),
        _ => Value::Text(text.to_owned()),
    })
}

fn number(text: &str) -> Result<i64, SqlError> {
    text.parse().map_err(|_| SqlError::new("22P02", format!("not a whole number: {text:?}")))
}

fn decode_binary_parameter(bytes: &[u8], oid: u32) -> Result<Value, SqlError> {
    let wrong_length = |_| SqlError::new("22P03", "a binary parameter has the wrong length");
    Ok(match oid {
        oid::INT2 => {
            Value::Integer(i64::from(i16::from_be_bytes(bytes.try_into().map_err(wrong_length)?)))
        }
        oid::INT4 => {
            Value::Integer(i64::from(i32::from_be_bytes(bytes.try_into().map_err(wrong_length)?)))
        }
        oid::INT8 => Value::Integer(i64::from_be_bytes(bytes.try_into().map_err(wrong_length)?)),
        oid::FLOAT8 => Value::Real(f64::from_be_bytes(bytes.try_into().map_err(wrong_length)?)),
        oid::BOOL => Value::Integer(i64::from(bytes.first() == Some(&1))),
        oid::BYTEA => Value::Blob(bytes.to_vec()),
        _ => Value::Text(String::from_utf8_lossy(bytes).into_owned()),
    })
}

fn encode_binary(value: ValueRef<'_>, oid: u32) -> Vec<u8> {
    match (oid, value) {
        (oid::INT2, ValueRef::Integer(number)) => (number as i16).to_be_bytes().to_vec(),
        (oid::INT4, ValueRef::Integer(number)) => (number as i32).to_be_bytes().to_vec(),
        (oid::INT8, ValueRef::Integer(number)) => number.to_be_bytes().to_vec(),
        (oid::FLOAT8, ValueRef::Real(number)) => number.to_be_bytes().to_vec(),
        (oid::FLOAT8, ValueRef::Integer(number)) => (number as f64).to_be_bytes().to_vec(),
        (oid::BOOL, ValueRef::Integer(number)) => vec![u8::from(number != 0)],
        (_, ValueRef::Blob(bytes)) => bytes.to_vec(),
        _ => encode_text(value, oid).into_bytes(),
    }
}

fn encode_text(value: ValueRef<'_>, oid: u32) -> String {
    match value {
        ValueRef::Null => String::new(),
        ValueRef::Integer(number) if oid == oid::BOOL => {
            if number == 0 { "f" } else { "t" }.to_owned()
        }
        ValueRef::Integer(number) => number.to_string(),
        ValueRef::Real(number) => number.to_string(),
        ValueRef::Text(bytes) => String::from_utf8_lossy(bytes).into_owned(),
        ValueRef::Blob(bytes) => {
            let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            format!("\\x{hex}")
        }
    }
}
