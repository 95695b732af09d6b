//! Validates documents against the committed schemas and reports the line of each violation.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::derives::value_types;

/// Schema of the daemon's settings.
pub const SETTINGS_SCHEMA: &str = include_str!("../../../../schema/settings.json");
/// Schema of the documents that operators publish.
pub const PUBLISHED_SCHEMA: &str = include_str!("../../../../schema/published.json");

value_types! {
    /// One violation found in a validated document.
    #[derive(Eq, thiserror::Error)]
    #[error("{file}:{line}: field `{field}`: found {found}; allowed: {allowed}")]
    pub struct Finding {
        pub file: String,
        pub line: usize,
        pub field: String,
        pub found: String,
        pub allowed: String,
    }
}

/// Parses YAML text into a type after validating it against a schema definition.
///
/// `definition` names an entry of the schema's `definitions`; an empty string selects the root.
pub fn parse_checked<T: DeserializeOwned>(
    file: &str,
    text: &str,
    schema: &str,
    definition: &str,
) -> Result<T, Vec<Finding>> {
    let value: Value = serde_yaml_ng::from_str(text).map_err(|e| vec![syntax_finding(file, &e)])?;
    let findings = check_value(file, text, &value, schema, definition);
    if !findings.is_empty() {
        return Err(findings);
    }
    serde_json::from_value(value).map_err(|e| {
        vec![Finding {
            file: file.to_string(),
            line: 1,
            field: String::new(),
            found: e.to_string(),
            allowed: "a document that follows the schema".to_string(),
        }]
    })
}

/// Returns every violation of the schema, ordered by line.
fn check_value(
    file: &str,
    text: &str,
    value: &Value,
    schema: &str,
    definition: &str,
) -> Vec<Finding> {
    let mut schema: Value = serde_json::from_str(schema).unwrap_or(Value::Null);
    if !definition.is_empty() {
        schema["$ref"] = Value::String(format!("#/definitions/{definition}"));
    }
    let validator = match jsonschema::draft7::new(&schema) {
        Ok(validator) => validator,
        Err(e) => {
            log::error!(
                "cannot compile the schema, documents are not validated: {e}; rebuild from a clean checkout"
            );
            return Vec::new();
        }
    };
    let mut findings: Vec<Finding> =
        validator.iter_errors(value).map(|error| finding(file, text, &error)).collect();
    findings.sort_by(|a, b| (a.line, &a.field).cmp(&(b.line, &b.field)));
    findings
}

/// Converts a schema error to a finding.
fn finding(file: &str, text: &str, error: &jsonschema::ValidationError<'_>) -> Finding {
    use jsonschema::error::ValidationErrorKind as Kind;
    let mut path: Vec<String> = error
        .instance_path
        .as_str()
        .split('/')
        .filter(|s| !s.is_empty())
        .map(str::to_string)
        .collect();
    let (found, allowed) = match &error.kind {
        Kind::AdditionalProperties { unexpected } => {
            path.extend(unexpected.first().cloned());
            ("an unknown field".to_string(), "the fields of the settings reference".to_string())
        }
        Kind::Enum { options } => (error.instance.to_string(), format!("one of {options}")),
        Kind::Maximum { limit } => (error.instance.to_string(), format!("at most {limit}")),
        Kind::Minimum { limit } => (error.instance.to_string(), format!("at least {limit}")),
        Kind::Required { property } => {
            path.extend(property.as_str().map(str::to_string));
            ("nothing".to_string(), "a value; the field is required".to_string())
        }
        Kind::Type { kind } => {
            (error.instance.to_string(), format!("a value of type {}", type_name(kind)))
        }
        _ => (error.instance.to_string(), error.to_string()),
    };
    Finding {
        file: file.to_string(),
        line: line_of(text, &path),
        field: path.join("."),
        found,
        allowed,
    }
}

/// Returns the name of the type that a schema error expects.
fn type_name(kind: &jsonschema::error::TypeKind) -> String {
    match kind {
        jsonschema::error::TypeKind::Single(single) => single.to_string(),
        jsonschema::error::TypeKind::Multiple(_) => "string or null".to_string(),
    }
}

/// Converts a syntax error of the YAML parser to a finding.
fn syntax_finding(file: &str, error: &serde_yaml_ng::Error) -> Finding {
    Finding {
        file: file.to_string(),
        line: error.location().map_or(1, |location| location.line()),
        field: String::new(),
        found: error.to_string(),
        allowed: "well-formed YAML".to_string(),
    }
}

/// Returns the 1-based line of a path, or of its nearest ancestor that occurs in the text.
pub fn line_of(text: &str, path: &[String]) -> usize {
    let lines: Vec<&str> = text.lines().collect();
    let mut from = 0;
    let mut found_line = 0;
    for part in path {
        if let Ok(index) = part.parse::<usize>() {
            let Some(line) = nth_list_item(&lines, from, index) else { break };
            from = line;
            found_line = line;
            continue;
        }
        let Some(offset) = lines[from..].iter().position(|line| is_key(line, part)) else { break };
        found_line = from + offset;
        from = found_line;
    }
    found_line + 1
}

/// Returns whether a line holds the given key.
fn is_key(line: &str, key: &str) -> bool {
    let trimmed = line.trim_start().trim_start_matches("- ").trim_start_matches('{').trim_start();
    trimmed.strip_prefix(key).is_some_and(|rest| rest.trim_start().starts_with(':'))
}

/// Returns the 0-based line of an item of the list that starts at or after a line.
fn nth_list_item(lines: &[&str], from: usize, index: usize) -> Option<usize> {
    let is_item = |line: &str| line.trim_start().starts_with("- ");
    let first = from + lines[from..].iter().position(|line| is_item(line))?;
    let indent = lines[first].len() - lines[first].trim_start().len();
    let mut seen = 0;
    for (number, line) in lines.iter().enumerate().skip(first) {
        if !is_item(line) || line.len() - line.trim_start().len() != indent {
            continue;
        }
        if seen == index {
            return Some(number);
        }
        seen += 1;
    }
    None
}
