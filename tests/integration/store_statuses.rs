//! What the clients of the store make of the status of an answer.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use camphorspring::row_store::store_router::StoreRouter;
use camphorspring::row_store::{PartitionTransaction, StoreCallError};
use camphorspring::store_client::StoreClient;
use googletest::prelude::*;

use crate::platform_store::{StoreClock, new_store_client};
use crate::relay::answers::run;

/// Statuses that say that a write was not done, and others.
const STATUSES: [(u16, bool); 11] = [
    (400, true),
    (403, true),
    (429, true),
    (503, true),
    (204, false),
    (302, false),
    (500, false),
    (502, false),
    (504, false),
    (600, false),
    (999, false),
];

/// Starts a store that reads one call, sends `answer` and waits until the connection is closed; returns its address.
fn serve_call(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("the client connects");
        let mut writer = stream.try_clone().expect("the socket is open");
        let mut reader = BufReader::new(stream);
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).expect("the client sends a head");
            if let Some(length) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                body = vec![0; length.trim().parse().expect("the length is a number")];
            } else if line.trim().is_empty() {
                break;
            }
        }
        reader.read_exact(&mut body).expect("the client sends a body");
        writer.write_all(answer.as_bytes()).expect("the client reads the answer");
        // The client may reset the connection.
        let _ = reader.read_to_end(&mut body);
    });
    address
}

/// Guards against a write that counts as not done because of an answer that does not say so: a job that was stored would then be
/// refused, and run all the same.
#[gtest]
fn only_refusals_say_that_a_write_was_not_done() {
    for (status, is_refusal) in STATUSES {
        let answer = format!("HTTP/1.1 {status} x\r\ncontent-length: 2\r\n\r\n{{}}");
        let expected = if is_refusal { StoreCallError::Refused(status) } else { StoreCallError::AnswerLost };
        let address = serve_call(answer.clone());
        let result = run(async {
            let router = Arc::new(Mutex::new(StoreRouter::default()));
            let store = new_store_client(address, Arc::new(StoreClock::default()), router);
            (store.transact)(PartitionTransaction::default()).await
        });
        expect_that!(result.err(), some(eq(&expected)), "{status} to a host");
        if status != 204 {
            let client = StoreClient::new(&format!("http://{}", serve_call(answer)));
            let result = client.transact("t", Vec::new(), Vec::new());
            expect_that!(result.err(), some(eq(&expected)), "{status} to a host of the other command");
        }
    }
}
