//! Reads the bodies of callers' requests.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::error::{ErrorKind, Failure};

/// Reads a whole body of at most `max_bytes` bytes into one buffer.
pub async fn read(body: Incoming, max_bytes: usize) -> Result<Bytes, Failure> {
    let mut body = Limited::new(body, max_bytes);
    let mut received = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| failure(&*error, max_bytes))?;
        // A frame refers to the buffer that it was read into, however short it is.
        let Ok(data) = frame.into_data() else { continue };
        received.extend_from_slice(&data);
    }
    Ok(received.into())
}

/// Returns the failure to report for a body that cannot be read.
fn failure(error: &(dyn std::error::Error + 'static), max_bytes: usize) -> Failure {
    if error.is::<LengthLimitError>() {
        let message = format!("at most {max_bytes} bytes are allowed");
        return Failure::new(ErrorKind::BodyTooLarge, message);
    }
    Failure::new(ErrorKind::BadBody, error.to_string())
}
