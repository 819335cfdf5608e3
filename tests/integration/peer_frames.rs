//! Frames between hosts: encoding, the hello, and links to faulty peers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use camphorspring::constants::PEER_FRAME_LIMIT;
use camphorspring::control::HostIdentity;
use camphorspring::generated::peer_messages::{
    DomainColumns, GossipAnswer, MemberDigest, MemberRoster, PeerFrame, UsageFlushed, ViewStamp, WithdrawnKeys,
};
use camphorspring::memory::MemoryBudget;
use camphorspring::peer::frame_codec::{check_hello, create_hello, decode_frame, encode_frame, encode_hello};
use camphorspring::peer::{PeerAddress, PeerCredentials, PeerNetwork};
use camphorspring::result_code::ResultCode;
use futures_util::{SinkExt, StreamExt};
use googletest::prelude::*;
use proptest::prelude::*;
use tokio::net::TcpStream;
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::Message;

use crate::support::control_hosts::wait_for;

const TOKEN: &str = "a cluster token for tests";

fn create_identity(host: &str) -> HostIdentity {
    HostIdentity { host: host.to_owned(), failure_domain: "north".to_owned(), incarnation: 7 }
}

fn create_credentials(host: &str) -> PeerCredentials {
    PeerCredentials { origin: create_identity(host), cluster_token: TOKEN.to_owned() }
}

fn any_gossip_answer() -> impl Strategy<Value = PeerFrame> {
    let names = prop::collection::vec("[a-z0-9-]{1,12}", 0..40);
    (any::<u32>(), any::<u64>(), prop::option::of(any::<u32>()), names, any::<bool>()).prop_map(
        |(exchange, hash, age, names, has_roster)| {
            let heartbeats: Vec<u32> =
                (0..).take(names.len()).map(|position| exchange.wrapping_add(position)).collect();
            let incarnations = vec![hash; names.len()];
            let roster = has_roster.then(|| MemberRoster { hosts: names.clone(), lives: incarnations });
            PeerFrame::GossipAnswer(GossipAnswer {
                exchange,
                beat: exchange,
                recent: Vec::new(),
                stamp: ViewStamp { version: hash, hash, age },
                domains: DomainColumns {
                    ages: heartbeats.clone(),
                    live: vec![3; heartbeats.len()],
                    names: Some(names),
                },
                members: Some(MemberDigest { beats: heartbeats, leaving: vec![1], roster }),
            })
        },
    )
}

proptest! {
    /// Guards against a frame that is not equal to the original after encoding and decoding.
    #[test]
    fn frames_survive_encoding(frame in any_gossip_answer()) {
        let bytes = encode_frame(&frame).unwrap();
        prop_assert_eq!(decode_frame(&bytes), Ok(frame));
    }

    /// Guards against a panic of the decoder on arbitrary bytes, which a faulty peer may send.
    #[test]
    fn decoder_survives_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode_frame(&bytes);
        let _ = check_hello(&bytes, TOKEN);
    }

    /// Guards against a panic of the decoder on a frame with one changed byte, and against a frame that is accepted
    /// although its end is missing.
    #[test]
    fn decoder_survives_damaged_frames(
        frame in any_gossip_answer(),
        place in any::<prop::sample::Index>(),
        value in any::<u8>(),
        is_cut in any::<bool>(),
    ) {
        let mut bytes = encode_frame(&frame).unwrap();
        let place = place.index(bytes.len());
        bytes[place] = value;
        if is_cut {
            bytes.truncate(place);
            prop_assert_eq!(decode_frame(&bytes), Err(ResultCode::PeerFrame));
        } else {
            let _ = decode_frame(&bytes);
        }
    }
}

/// Guards against accepting a peer whose hello has a wrong token proof, another protocol version, an overlong name or
/// trailing bytes, or is empty, and against a wrong result code for such a hello.
#[googletest::test]
fn hello_is_refused_with_its_code() {
    let good = create_hello(&create_identity("h1"), TOKEN);
    let mut other_version = good.clone();
    other_version.protocol_version += 1;
    let mut other_host = good.clone();
    other_host.host = "h2".to_owned();
    let mut long_name = create_hello(&create_identity(&"h".repeat(65)), TOKEN);
    long_name.failure_domain.clear();
    let mut trailing = encode_hello(&good);
    trailing.push(0);
    let cases = [
        ("good", encode_hello(&good)),
        ("other token", encode_hello(&create_hello(&create_identity("h1"), "another token"))),
        ("proof of another host", encode_hello(&other_host)),
        ("other version", encode_hello(&other_version)),
        ("long name", encode_hello(&long_name)),
        ("trailing byte", trailing),
        ("empty", Vec::new()),
    ];
    let shown: Vec<String> = cases
        .iter()
        .map(|(name, bytes)| {
            let result = check_hello(bytes, TOKEN).map_or_else(ResultCode::number, |_| 0);
            format!("{name}: {result}")
        })
        .collect();
    insta::assert_snapshot!(shown.join("\n"));
}

/// Guards against sending a frame that is larger than the limit; the peer would close the link.
#[googletest::test]
fn too_large_frame_is_not_sent() {
    let keys = WithdrawnKeys { key_ids: vec!["k".repeat(64); PEER_FRAME_LIMIT / 64], whole_set: true };
    expect_that!(encode_frame(&PeerFrame::WithdrawnKeys(keys)), err(eq(&ResultCode::PeerFrame)));
}

/// Guards against a host that fails to send on a link which its peer opened, that keeps a link open after a malformed
/// frame, or that receives no more frames of the peer afterwards. The malformed frame arrives at `h2`, from a
/// connection whose hello names `h1`.
#[googletest::test]
fn links_carry_frames_and_recover() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
    let handler = Arc::new(move |_: &HostIdentity, _: PeerFrame| {
        count.fetch_add(1, Ordering::Relaxed);
    });
    let first = PeerNetwork::start(
        runtime.handle(),
        "127.0.0.1:0",
        create_credentials("h1"),
        Arc::new(|_, _| {}),
        MemoryBudget::new(1 << 24, 64),
    )
    .unwrap();
    let second = PeerNetwork::start(
        runtime.handle(),
        "127.0.0.1:0",
        create_credentials("h2"),
        handler,
        MemoryBudget::new(1 << 24, 64),
    )
    .unwrap();
    let flushed = || PeerFrame::UsageFlushed(UsageFlushed { keys: vec!["row".to_owned()] });
    expect_that!(first.sender()("h2", flushed()), eq(false), "no address is known");
    first.set_addresses(&[PeerAddress { host: "h2".to_owned(), address: second.address().to_string() }]);
    expect_that!(first.sender()("h2", flushed()), eq(true));
    wait_for("the frame arrives", || received.load(Ordering::Relaxed) == 1);
    expect_that!(second.sender()("h1", flushed()), eq(true), "the accepted link is used");
    wait_for("bytes are counted", || first.counters().other_received.get() > 0);
    expect_that!(first.counters().control_received.get(), eq(0));

    let address = second.address();
    runtime.block_on(async {
        let stream = TcpStream::connect(address).await.unwrap();
        let (mut socket, _) = client_async(format!("ws://{address}/peer"), stream).await.unwrap();
        let hello = encode_hello(&create_hello(&create_identity("h1"), TOKEN));
        socket.send(Message::Binary(hello.into())).await.unwrap();
        socket.send(Message::Binary(vec![0xff; 10].into())).await.unwrap();
        // The hello of the host arrives first; then the host closes the link.
        while let Some(Ok(_)) = socket.next().await {}
    });
    expect_that!(second.counters().links_rejected.get(), eq(1));
    wait_for("a new frame arrives", || first.sender()("h2", flushed()) && received.load(Ordering::Relaxed) > 1);
    first.stop();
    second.stop();
    wait_for("links are closed", || first.counters().links_open.get() == 0 && second.counters().links_open.get() == 0);
}
