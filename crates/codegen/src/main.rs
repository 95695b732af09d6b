//! Generates the committed Rust types from the JSON schemas; `--check` only compares them with the schemas.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use typify::{TypeSpace, TypeSpaceSettings};

/// File stems of the schemas; each schema is generated into a module of the same name.
const SCHEMAS: &[&str] = &["messages", "published", "settings"];

fn main() -> ExitCode {
    let check_only = std::env::args().any(|arg| arg == "--check");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut outdated: Vec<PathBuf> = Vec::new();
    for stem in SCHEMAS {
        let source = root.join("schema").join(format!("{stem}.json"));
        let target = root.join("crates/hawthornstand/src/generated").join(format!("{stem}.rs"));
        let code = match generate(&source) {
            Ok(code) => code,
            Err(message) => {
                eprintln!("schema/{stem}.json: {message}");
                return ExitCode::from(2);
            }
        };
        if std::fs::read_to_string(&target).is_ok_and(|existing| existing == code) {
            continue;
        }
        if check_only {
            outdated.push(target);
            continue;
        }
        if let Err(e) = std::fs::write(&target, code) {
            eprintln!("failed to write the generated module {stem}: {e}");
            return ExitCode::from(2);
        }
    }
    if !outdated.is_empty() {
        eprintln!(
            "generated code differs from the schemas; run `cargo run -p hawthornstand-codegen`"
        );
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Returns the Rust source of all definitions of a schema.
///
/// Returns an error if the schema cannot be read, parsed or converted.
fn generate(source: &Path) -> Result<String, String> {
    let text = std::fs::read_to_string(source).map_err(|e| e.to_string())?;
    let mut value: serde_json::Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    strip_bounds(&mut value);
    expand_defaults(&mut value);
    let schema = serde_json::from_value(value).map_err(|e| e.to_string())?;
    let mut type_space =
        TypeSpace::new(TypeSpaceSettings::default().with_derive("PartialEq".to_string()));
    type_space.add_root_schema(schema).map_err(|e| e.to_string())?;
    let file = syn::parse2::<syn::File>(type_space.to_stream()).map_err(|e| e.to_string())?;
    Ok(format!(
        "// Generated from the schema by hawthornstand-codegen; do not edit.\n{}",
        prettyplease::unparse(&file)
    ))
}

/// Removes numeric bounds: the schema validator checks them, so the types need not.
fn strip_bounds(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Object(map) => {
            for bound in ["minimum", "maximum"] {
                if map.get(bound).is_some_and(serde_json::Value::is_number) {
                    map.remove(bound);
                }
            }
            map.values_mut().for_each(strip_bounds);
        }
        serde_json::Value::Array(items) => items.iter_mut().for_each(strip_bounds),
        _ => {}
    }
}

/// Gives every property that references a definition a default built from the defaults of its fields.
///
/// The schema has the defaults of such a property field by field only.
fn expand_defaults(schema: &mut serde_json::Value) {
    let definitions = schema["definitions"].clone();
    let Some(properties) = schema.get_mut("properties").and_then(serde_json::Value::as_object_mut)
    else {
        return;
    };
    for property in properties.values_mut() {
        let Some(reference) = property.pointer("/allOf/0/$ref").and_then(serde_json::Value::as_str)
        else {
            continue;
        };
        let Some(name) = reference.strip_prefix("#/definitions/") else { continue };
        let Some(fields) = definitions[name]["properties"].as_object() else { continue };
        let mut defaults = serde_json::Map::new();
        for (field, definition) in fields {
            defaults.insert(field.clone(), definition["default"].clone());
        }
        property["default"] = serde_json::Value::Object(defaults);
    }
}
