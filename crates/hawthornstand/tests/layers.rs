//! The import graph of the crate's files has no cycles, so that lower layers do not depend on higher ones.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// The files that each file imports, as `folder/file`.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// Collects the source files under a folder.
fn source_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            source_files(&path, found);
        } else {
            found.push(path);
        }
    }
}

/// Returns the import graph, found by paths that begin with `crate::folder::file`.
fn imports() -> Imports {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = Vec::new();
    source_files(&root, &mut files);
    let mut imports = Imports::new();
    for file in files {
        let name = file.strip_prefix(&root).expect("below the root").with_extension("");
        let text = std::fs::read_to_string(&file).expect("a source file");
        let mut targets = BTreeSet::new();
        for path in text.split("crate::").skip(1) {
            let end = path.find(|c: char| !c.is_alphanumeric() && c != '_' && c != ':');
            let mut parts = path[..end.unwrap_or(path.len())].split("::");
            if let (Some(folder), Some(file)) = (parts.next(), parts.next()) {
                targets.insert(format!("{folder}/{file}"));
            }
        }
        imports.insert(name.to_string_lossy().into_owned(), targets);
    }
    imports
}

/// Returns the files that a file imports directly or indirectly.
fn reachable<'a>(imports: &'a Imports, from: &str) -> BTreeSet<&'a str> {
    let mut found = BTreeSet::new();
    let mut pending = vec![from];
    while let Some(file) = pending.pop() {
        for target in imports.get(file).into_iter().flatten() {
            if imports.contains_key(target) && found.insert(target.as_str()) {
                pending.push(target);
            }
        }
    }
    found
}

#[test]
fn imports_have_no_cycles() {
    let imports = imports();
    assert!(imports.len() > 80, "{} files found", imports.len());
    let cyclic: Vec<&String> =
        imports.keys().filter(|file| reachable(&imports, file).contains(file.as_str())).collect();
    assert!(cyclic.is_empty(), "files in an import cycle: {cyclic:?}");
}
