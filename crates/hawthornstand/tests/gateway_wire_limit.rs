//! How many bytes an answer may take on the wire.

use hawthornstand::gateway::wire_limit::{WireAllowance, WireLimit};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const KIB: usize = 1024;

/// Sends blocks of 1 KiB, of which a part is data; returns whether all of them could be read.
async fn read_blocks(blocks: usize, data_bytes: usize) -> bool {
    let (mut sender, receiver) = tokio::io::duplex(KIB);
    let allowance = WireAllowance::default();
    let mut limited = WireLimit::new(receiver, allowance.clone());
    allowance.begin_body();
    for _ in 0..blocks {
        sender.write_all(&[b'x'; KIB]).await.expect("an open pipe");
        if limited.read_exact(&mut [0; KIB]).await.is_err() {
            return false;
        }
        allowance.record_data(data_bytes);
    }
    true
}

/// Guards against connections that stay taken until the time of their requests is over, where chunks carry next to nothing.
#[rstest]
#[case::body_with_a_length(100_000, KIB, true)]
#[case::half_of_the_bytes_are_data(100_000, KIB / 2, true)]
#[case::a_tenth_of_the_bytes_is_data(100_000, KIB / 10, false)]
#[case::short_body_of_which_a_tenth_is_data(200, KIB / 10, true)]
#[case::no_data(100_000, 0, false)]
#[tokio::test]
async fn bytes_beside_the_data_of_a_body_are_limited(
    #[case] blocks: usize,
    #[case] data_bytes: usize,
    #[case] expected: bool,
) {
    assert_eq!(read_blocks(blocks, data_bytes).await, expected);
}
