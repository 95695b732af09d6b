//! Type aliases for identifiers.

use std::borrow::Cow;

/// Index of a block of shards within one accepted configuration.
pub type BlockId = u64;
/// Random number drawn by a process at its start.
pub type BootId = u64;
/// Hash of where a request goes and of its body.
pub type Fingerprint = u64;
/// Version of the search index.
pub type IndexVersion = u64;
/// Identity of a backend server.
pub type LeafId = String;
/// Number of a link to another VM, within one process.
pub type LinkId = u64;
/// Rank of a request; 0 comes first.
pub type Priority = u32;
/// Revision of the published configuration or of the VM list.
pub type Revision = u64;
/// Name of a service.
pub type ServiceName = String;
/// Slice of a key space.
pub type Slice = u64;
/// Time since the Unix epoch, in milliseconds.
pub type UnixMs = u64;
/// Identity of an entry VM.
pub type VmId = String;

/// Hashes a request so that resends of it can be recognized.
pub fn fingerprint(service: &str, body: impl AsRef<[u8]>) -> Fingerprint {
    xxhash_rust::xxh3::xxh3_64_with_seed(
        body.as_ref(),
        xxhash_rust::xxh3::xxh3_64(service.as_bytes()),
    )
}

/// Returns the identity of a request as text for the log.
pub fn id_text(request_id: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(request_id)
}

/// Returns the rendezvous hash weight of a member for a key.
pub fn rendezvous_weight(key: u64, member: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(member.as_bytes(), key)
}
