//! The files of the crate import each other without circles, so that lower parts know nothing of higher ones.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Imports of each file, both as `folder/file`.
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

/// Returns which files import which, by the paths that begin with `crate::folder::file`.
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

/// Returns the files that can be reached from a file.
fn reachable<'a>(imports: &'a Imports, from: &str) -> BTreeSet<&'a str> {
    let mut found = BTreeSet::new();
    let mut open = vec![from];
    while let Some(file) = open.pop() {
        for target in imports.get(file).into_iter().flatten() {
            if imports.contains_key(target) && found.insert(target.as_str()) {
                open.push(target);
            }
        }
    }
    found
}

#[test]
fn no_file_imports_itself_through_others() {
    let imports = imports();
    assert!(imports.len() > 80, "{} files found", imports.len());
    let circular: Vec<&String> =
        imports.keys().filter(|file| reachable(&imports, file).contains(file.as_str())).collect();
    assert!(circular.is_empty(), "in a circle: {circular:?}");
}
