//! The client against platforms that answer badly.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_platform::{PlatformClient, PlatformError};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// Serves one connection with a fixed response and returns a client for it.
async fn client_of(response: &'static str) -> PlatformClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4096];
        let _ = socket.read(&mut request).await;
        let _ = socket.write_all(response.as_bytes()).await;
        // The connection stays open, so that a response without an end runs into the timeout.
        tokio::time::sleep(Duration::from_secs(60)).await;
    });
    PlatformClient::new(&address, "h1", "d1", Duration::from_millis(500), None).unwrap()
}

/// Guards against a response that does not parse and is taken for an empty one, which would make a
/// host forget its records.
#[gtest]
#[tokio::test]
async fn responses_that_do_not_parse_are_failures() {
    let responses = [
        "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\ngarbage",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
        "no http at all\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"revision\":",
    ];
    for response in responses {
        let result = client_of(response).await.changes(0).await;
        let is_failure = matches!(result, Err(PlatformError::Unavailable { .. }));
        expect_that!(is_failure, eq(true), "{response:?}");
    }
}
