//! Frames and their limits.

use googletest::prelude::*;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::simplequery::Query;
use tanagerdeal::codec::{CodecError, Frame, FrameStream};
use tokio::io::{AsyncWriteExt as _, DuplexStream, duplex};

const LIMIT: usize = 1_000;

async fn stream_of(bytes: &[u8]) -> FrameStream<DuplexStream> {
    let (mut sender, receiver) = duplex(1 << 16);
    sender.write_all(bytes).await.unwrap();
    FrameStream::new(receiver, LIMIT)
}

fn query(sql: &str) -> Vec<u8> {
    Frame::encode(&Query::new(sql.to_owned())).bytes().to_vec()
}

/// Guards against frames that are split or joined differently from how they were sent.
#[tokio::test]
async fn frames_are_cut_at_their_lengths() {
    let bytes = [query("SELECT 1"), query("SELECT 2")].concat();
    let (mut sender, receiver) = duplex(1);
    let mut stream = FrameStream::new(receiver, LIMIT);
    let sending = tokio::spawn(async move { sender.write_all(&bytes).await });
    for expected in ["SELECT 1", "SELECT 2"] {
        match stream.read().await.unwrap().frontend().unwrap() {
            PgWireFrontendMessage::Query(query) => assert_eq!(query.query, expected),
            other => panic!("{other:?}"),
        }
    }
    sending.await.unwrap().unwrap();
    assert!(matches!(stream.read().await, Err(CodecError::Closed)));
}

/// Guards against a frame that is kept in memory although it is too long, or has no valid length.
#[tokio::test]
async fn invalid_lengths_are_errors() {
    let mut stream = stream_of(&[b'Q', 0, 0, 4, 0]).await;
    assert!(matches!(stream.read().await, Err(CodecError::TooLarge { length: 1024, .. })));
    let mut stream = stream_of(&[b'Q', 0xff, 0xff, 0xff, 0xff]).await;
    assert!(matches!(stream.read().await, Err(CodecError::TooLarge { .. })));
    let mut stream = stream_of(&[b'Q', 0, 0, 0, 3]).await;
    assert!(matches!(stream.read().await, Err(CodecError::Malformed(_))));
    let mut stream = stream_of(&[b'Q', 0, 0, 0, 9, b'S']).await;
    assert!(matches!(stream.read().await, Err(CodecError::Truncated)));
}

/// Guards against a body that ends early and takes bytes of the next message, or ends the process.
#[tokio::test]
async fn bodies_that_end_early_are_errors() {
    for (tag, body) in [(b'B', &[0, 0, 0][..]), (b'E', &[0]), (b'P', &[0, 0]), (b'D', &[])] {
        let length = u32::try_from(body.len() + 4).unwrap().to_be_bytes();
        let bytes = [&[tag], &length[..], body, &query("SELECT 'next'")].concat();
        let mut stream = stream_of(&bytes).await;
        let result = stream.read().await.unwrap().frontend();
        assert!(matches!(result, Err(CodecError::Malformed(_))), "{result:?}");
        let next = stream.read().await.unwrap();
        assert_eq!(next.bytes(), query("SELECT 'next'"));
    }
}

/// Guards against a start-up packet of any length being read into memory.
#[tokio::test]
async fn start_up_packets_are_limited() {
    let mut stream = stream_of(&[0, 0, 0x40, 0, 0, 3, 0, 0]).await;
    assert!(matches!(stream.read_startup().await, Err(CodecError::TooLarge { .. })));
    let mut stream = stream_of(&[0, 0, 0, 7, 0, 3, 0]).await;
    assert!(matches!(stream.read_startup().await, Err(CodecError::Malformed(_))));
    let mut stream = stream_of(&[0, 0, 0, 9, 0, 2, 0, 0, 0]).await;
    assert_that!(stream.read_startup().await, err(anything()));
}
