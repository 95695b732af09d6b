//! Reads the bodies of callers' requests.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use crate::error::{ErrorKind, Failure};
use crate::process::body_memory::{BodyMemory, BodyRefused, Progress};
use crate::process::connection_activity::ConnectionActivity;

/// Reads a whole body of at most `max_bytes` bytes unless it is refused for lack of memory.
///
/// `activity` is that of the connection.
pub async fn read(
    body: Incoming,
    max_bytes: usize,
    memory: &Arc<BodyMemory>,
    activity: &ConnectionActivity,
) -> Result<Bytes, Failure> {
    activity.record_partial_body();
    let expected_bytes = body.size_hint().lower();
    if expected_bytes > max_bytes as u64 {
        return Err(too_large(max_bytes));
    }
    let mut receiving = memory.receive(expected_bytes).map_err(refused)?;
    let mut body = Limited::new(body, max_bytes);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = receiving.refused() => return Err(refused(BodyRefused)),
        };
        let Some(frame) = frame else {
            activity.record_complete_request();
            return receiving.finish().map_err(refused);
        };
        let frame = frame.map_err(|error| failure(&*error, max_bytes))?;
        // A frame refers to the buffer that it was read into, however short it is.
        let Ok(data) = frame.into_data() else { continue };
        if receiving.append(&data).map_err(refused)? == Progress::Moved {
            activity.record_partial_body();
        }
    }
}

/// Returns the failure to report for a body that was refused.
fn refused(error: BodyRefused) -> Failure {
    Failure::new(ErrorKind::TooManyBodies, error.to_string())
}

/// Returns the failure to report for a body that cannot be read.
fn failure(error: &(dyn std::error::Error + 'static), max_bytes: usize) -> Failure {
    if error.is::<LengthLimitError>() {
        return too_large(max_bytes);
    }
    Failure::new(ErrorKind::BadBody, error.to_string())
}

/// Returns the failure to report for a body that is larger than the limit.
fn too_large(max_bytes: usize) -> Failure {
    Failure::new(ErrorKind::BodyTooLarge, format!("at most {max_bytes} bytes are allowed"))
}
