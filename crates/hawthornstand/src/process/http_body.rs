//! Reads the bodies of callers' requests.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::error::{ErrorKind, Failure};

/// Reads a whole body of at most `max_bytes` bytes.
pub async fn read(body: Incoming, max_bytes: usize) -> Result<Bytes, Failure> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("at most {max_bytes} bytes are allowed");
            Err(Failure::new(ErrorKind::BodyTooLarge, message))
        }
        Err(error) => Err(Failure::new(ErrorKind::BadBody, error.to_string())),
    }
}
