//! Type aliases for identifiers, and hashes of them.

use std::borrow::Cow;

/// Index of a block of shards within one accepted configuration.
pub type BlockId = u64;
/// Random number that identifies one run of a process.
pub type BootId = u64;
/// Number of times that the store was restored from an older copy, as it counts them itself.
pub type Era = u64;
/// Hash of the service and body of a request.
pub type Fingerprint = u64;
/// Version of the search index.
pub type IndexVersion = u64;
/// Id of a backend server.
pub type LeafId = String;
/// Number of a link to another VM, unique within one process.
pub type LinkId = u64;
/// Priority of a request; 0 is the highest.
pub type Priority = u32;
/// Revision of the published configuration or of the VM list.
pub type Revision = u64;
/// Name of a service.
pub type ServiceName = String;
/// Slice of a key space.
pub type Slice = u64;
/// Time since the Unix epoch, in milliseconds.
pub type UnixMs = u64;
/// Id of an entry VM.
pub type VmId = String;

/// Hashes a request, so that a repeated request can be recognized.
pub fn fingerprint(service: &str, body: impl AsRef<[u8]>) -> Fingerprint {
    xxhash_rust::xxh3::xxh3_64_with_seed(
        body.as_ref(),
        xxhash_rust::xxh3::xxh3_64(service.as_bytes()),
    )
}

/// Returns a request id as text for the log.
pub fn id_text(request_id: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(request_id)
}

/// Returns the rendezvous hash weight of a member for a key.
pub fn rendezvous_weight(key: u64, member: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(member.as_bytes(), key)
}
