//! Checks a YAML text against a JSON Schema and reports every error with its position.
//!
//! Serde stops at the first error and keeps no line numbers for later checks, so the check walks a parsed tree that
//! keeps positions. The supported keywords are those of the schemas for settings and services texts: `type`,
//! `properties`, `required`, `items`, `enum`, `minimum`, `maximum`, `minLength`, `maxLength`, `minItems`,
//! `format: socket-address` and local `$ref`. Unknown fields are always errors, as with `additionalProperties: false`.

use std::fmt;
use std::net::SocketAddr;

use saphyr::{LoadableYamlNode, MarkedYaml, Scalar, YamlData};
use serde_json::Value;

use crate::options::text_events::check_events;

/// Most levels of nesting below the root; a deeper node is an error.
const MAX_DEPTH: usize = 16;

/// Largest text that is parsed; a longer text is an error.
pub const MAX_TEXT_BYTES: usize = 8 * 1024 * 1024;

/// One error in a YAML text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    /// Line of the error in the text, starting at 1.
    pub line: usize,
    /// Path of the field, such as `targets[3].slots`; `(text)` for the whole text, and the path of a file that
    /// cannot be read.
    pub field: String,
    /// What the text has in this field.
    pub found: String,
    /// What is allowed in this field.
    pub allowed: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}: {}: found {}, allowed: {}", self.line, self.field, self.found, self.allowed)
    }
}

/// Line of each field of a checked text.
#[derive(Debug, Default)]
pub struct FieldLines {
    /// Paths and lines, sorted by path.
    lines: Vec<(String, usize)>,
}

impl FieldLines {
    /// Line of a field. For a field that the text lacks, line of the nearest enclosing field that it has, or 1.
    #[must_use]
    pub fn line_of(&self, field: &str) -> usize {
        let mut path = field;
        loop {
            if let Ok(position) = self.lines.binary_search_by(|(known, _)| known.as_str().cmp(path)) {
                return self.lines[position].1;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => return 1,
            }
        }
    }
}

/// Strips the byte order mark that some editors put at the start of a text.
#[must_use]
pub fn strip_byte_order_mark(text: &str) -> &str {
    text.strip_prefix('\u{feff}').unwrap_or(text)
}

/// Checks `text` against `schema` and returns the line of each field.
///
/// # Errors
///
/// All violations of the schema, sorted by line. The schema is not checked for a text that is longer than
/// [`MAX_TEXT_BYTES`], has errors of [`check_events`], is not well-formed YAML or is not exactly one document; then the
/// errors of the first of these checks that fails are returned.
pub fn check_text(text: &str, schema: &Value) -> Result<FieldLines, Vec<ConfigError>> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(vec![new_error(
            1,
            "(text)",
            format!("{} bytes", text.len()),
            format!("at most {MAX_TEXT_BYTES} bytes"),
        )]);
    }
    let errors = check_events(text);
    if !errors.is_empty() {
        return Err(errors);
    }
    let documents = match MarkedYaml::load_from_str(text) {
        Ok(documents) => documents,
        Err(error) => {
            return Err(vec![new_error(
                error.marker().line(),
                "(text)",
                error.info().to_owned(),
                "well-formed YAML".to_owned(),
            )]);
        }
    };
    let [document] = documents.as_slice() else {
        return Err(vec![new_error(1, "(text)", format!("{} documents", documents.len()), "one document".to_owned())]);
    };
    let mut checker = TreeChecker { root: schema, errors: Vec::new(), lines: FieldLines::default() };
    checker.check_node(document, schema, "", 0);
    checker.errors.sort();
    checker.lines.lines.sort();
    if checker.errors.is_empty() { Ok(checker.lines) } else { Err(checker.errors) }
}

fn new_error(line: usize, field: &str, found: String, allowed: String) -> ConfigError {
    ConfigError { line: line.max(1), field: field.to_owned(), found, allowed }
}

struct TreeChecker<'a> {
    root: &'a Value,
    errors: Vec<ConfigError>,
    lines: FieldLines,
}

impl TreeChecker<'_> {
    fn check_node(&mut self, node: &MarkedYaml<'_>, schema: &Value, field: &str, depth: usize) {
        let schema = self.resolve(schema).clone();
        let line = node.span.start.line();
        self.lines.lines.push((field.to_owned(), line));
        if depth > MAX_DEPTH {
            self.add_error(line, field, "nesting too deep".to_owned(), format!("at most {MAX_DEPTH} levels"));
            return;
        }
        match schema["type"].as_str().unwrap_or_default() {
            "object" => self.check_object(node, &schema, field, depth),
            "array" => self.check_array(node, &schema, field, depth),
            kind => self.check_scalar(node, &schema, field, kind),
        }
    }

    fn resolve<'s>(&'s self, schema: &'s Value) -> &'s Value {
        let reference = schema["$ref"].as_str().and_then(|reference| reference.strip_prefix('#'));
        reference.and_then(|pointer| self.root.pointer(pointer)).unwrap_or(schema)
    }

    fn check_object(&mut self, node: &MarkedYaml<'_>, schema: &Value, field: &str, depth: usize) {
        let line = node.span.start.line();
        let YamlData::Mapping(mapping) = &node.data else {
            self.add_error(line, field, describe_node(node), "a mapping".to_owned());
            return;
        };
        let empty = serde_json::Map::new();
        let properties = schema["properties"].as_object().unwrap_or(&empty);
        let mut present: Vec<String> = Vec::with_capacity(mapping.len());
        for (key, value) in mapping {
            let name = key.data.as_str().unwrap_or_default().to_owned();
            let path = if field.is_empty() { name.clone() } else { format!("{field}.{name}") };
            if let Some(property) = properties.get(&name) {
                self.check_node(value, property, &path, depth + 1);
            } else {
                let known: Vec<&str> = properties.keys().map(String::as_str).collect();
                self.add_error(key.span.start.line(), &path, "an unknown field".to_owned(), known.join(", "));
            }
            present.push(name);
        }
        for required in schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if !present.iter().any(|name| name == required) {
                let path = if field.is_empty() { required.to_owned() } else { format!("{field}.{required}") };
                let description =
                    properties.get(required).and_then(|p| self.resolve(p)["description"].as_str()).unwrap_or("a value");
                let allowed = description.to_owned();
                self.add_error(line, &path, "nothing".to_owned(), allowed);
            }
        }
    }

    fn check_array(&mut self, node: &MarkedYaml<'_>, schema: &Value, field: &str, depth: usize) {
        let line = node.span.start.line();
        let YamlData::Sequence(items) = &node.data else {
            self.add_error(line, field, describe_node(node), "a list".to_owned());
            return;
        };
        let least = schema["minItems"].as_u64().unwrap_or(0);
        if (items.len() as u64) < least {
            self.add_error(line, field, format!("{} entries", items.len()), format!("at least {least}"));
        }
        for (index, item) in items.iter().enumerate() {
            self.check_node(item, &schema["items"], &format!("{field}[{index}]"), depth + 1);
        }
    }

    fn check_scalar(&mut self, node: &MarkedYaml<'_>, schema: &Value, field: &str, kind: &str) {
        let line = node.span.start.line();
        let YamlData::Value(scalar) = &node.data else {
            self.add_error(line, field, describe_node(node), with_article(kind));
            return;
        };
        match (kind, scalar) {
            ("string", Scalar::String(text)) => self.check_string(line, schema, field, text),
            ("integer" | "number", Scalar::Integer(number)) => {
                // Bounds in the schemas are far below the integers that f64 holds exactly.
                #[expect(clippy::cast_precision_loss)]
                self.check_range(line, schema, field, *number as f64, &number.to_string());
            }
            ("number", Scalar::FloatingPoint(number)) => {
                let number = number.into_inner();
                self.check_range(line, schema, field, number, &number.to_string());
            }
            ("boolean", Scalar::Boolean(_)) => {}
            _ => self.add_error(line, field, describe_node(node), with_article(kind)),
        }
    }

    fn check_string(&mut self, line: usize, schema: &Value, field: &str, text: &str) {
        if let Some(allowed) = schema["enum"].as_array() {
            let names: Vec<&str> = allowed.iter().filter_map(Value::as_str).collect();
            if !names.contains(&text) {
                self.add_error(line, field, format!("{text:?}"), names.join(", "));
            }
            return;
        }
        let length = text.chars().count() as u64;
        let least = schema["minLength"].as_u64().unwrap_or(0);
        let most = schema["maxLength"].as_u64().unwrap_or(u64::MAX);
        if length < least || length > most {
            self.add_error(line, field, format!("{length} characters"), format!("{least} to {most} characters"));
        } else if schema["format"] == "socket-address" && text.parse::<SocketAddr>().is_err() {
            self.add_error(
                line,
                field,
                format!("{text:?}"),
                "an IP address and port, such as 127.0.0.1:8080".to_owned(),
            );
        }
    }

    fn check_range(&mut self, line: usize, schema: &Value, field: &str, number: f64, number_text: &str) {
        let least = schema["minimum"].as_f64().unwrap_or(f64::MIN);
        let most = schema["maximum"].as_f64().unwrap_or(f64::MAX);
        if !(least..=most).contains(&number) {
            let allowed = match (schema["minimum"].as_f64(), schema["maximum"].as_f64()) {
                (Some(least), Some(most)) => format!("{least} to {most}"),
                (Some(least), None) => format!("at least {least}"),
                _ => format!("at most {most}"),
            };
            self.add_error(line, field, number_text.to_owned(), allowed);
        }
    }

    fn add_error(&mut self, line: usize, field: &str, found: String, allowed: String) {
        let field = if field.is_empty() { "(text)" } else { field };
        self.errors.push(new_error(line, field, found, allowed));
    }
}

fn with_article(kind: &str) -> String {
    if kind == "integer" { "an integer".to_owned() } else { format!("a {kind}") }
}

fn describe_node(node: &MarkedYaml<'_>) -> String {
    match &node.data {
        YamlData::Value(Scalar::Null) => "nothing".to_owned(),
        YamlData::Value(Scalar::Boolean(value)) => format!("the boolean {value}"),
        YamlData::Value(Scalar::Integer(value)) => format!("the integer {value}"),
        YamlData::Value(Scalar::FloatingPoint(value)) => format!("the number {value}"),
        YamlData::Value(Scalar::String(value)) => format!("the string {value:?}"),
        YamlData::Sequence(_) => "a list".to_owned(),
        YamlData::Mapping(_) => "a mapping".to_owned(),
        _ => "a value that cannot be read".to_owned(),
    }
}
