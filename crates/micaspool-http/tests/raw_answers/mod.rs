//! A mock endpoint that answers with raw bytes, and calls to it by both clients.

use async_std::io::ReadExt;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use http_types::{Method, Url};
use micaspool_http::client::{self, call, CallLimits};
use micaspool_http::pool::{is_malformed, EndpointPool, PoolOptions, SendError};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::time::Duration;

/// The time limit of a call; a client that waits longer than this for a head has not noticed its end.
pub const CALL_TIME: Duration = Duration::from_secs(2);
/// The time between the last byte and the end of the connection, so that the client has read what there is.
const PAUSE: Duration = Duration::from_millis(2);

/// How a connection ends.
#[derive(Clone, Copy, Debug)]
pub enum Ending {
    Close,
    Reset,
}

/// Starts an endpoint that answers each request with the bytes that were sent to it before, and ends the connection.
pub fn start_endpoint(ending: Ending) -> (SocketAddr, Sender<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let (sender, answers) = channel::<Vec<u8>>();
    std::thread::spawn(move || {
        for (stream, answer) in listener.incoming().flatten().zip(answers) {
            answer_once(stream, &answer, ending);
        }
    });
    (address, sender)
}

fn answer_once(mut stream: TcpStream, answer: &[u8], ending: Ending) {
    let _ = stream.read(&mut [0; 4_096]);
    let _ = stream.write_all(answer);
    std::thread::sleep(PAUSE);
    match ending {
        Ending::Close => drop(stream.shutdown(Shutdown::Both)),
        Ending::Reset => {
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("the option is known");
        }
    }
}

impl Unread {
    /// Returns true if the client got no response at all.
    pub fn is_without_head(self) -> bool {
        self != Unread::Body
    }
}

/// An answer as a client read it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ReadAnswer {
    pub status: u16,
    pub body: String,
}

/// What a client did not read as an answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Unread {
    /// There was no head of a response before the connection ended.
    Head,
    /// What came is no HTTP.
    Malformed,
    /// The body was not whole.
    Body,
}

/// Calls the endpoint by the pool.
pub async fn pool_answer(address: SocketAddr) -> Result<ReadAnswer, Unread> {
    let pool = EndpointPool::new(PoolOptions::default());
    let request = Request::post("/x").header("host", "h").body(Full::new(Bytes::new())).expect("valid");
    let response = pool.send(address, request).await.map_err(|error| match error {
        SendError::Broken(error) if is_malformed(&error) => Unread::Malformed,
        _ => Unread::Head,
    })?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map_err(|_| Unread::Body)?.to_bytes();
    Ok(ReadAnswer { status, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Calls the endpoint by the older client.
pub async fn client_answer(address: SocketAddr) -> Result<ReadAnswer, Unread> {
    let url = Url::parse(&format!("http://{address}/x")).expect("valid");
    let limits = CallLimits { connect: CALL_TIME, silence: CALL_TIME };
    let request = http_types::Request::new(Method::Get, url);
    let mut response = call(address, request, limits).await.map_err(|error| match error {
        client::Error::Head(_) => Unread::Malformed,
        _ => Unread::Head,
    })?;
    let mut body = Vec::new();
    response.take_body().read_to_end(&mut body).await.map_err(|_| Unread::Body)?;
    let status = u16::from(response.status());
    Ok(ReadAnswer { status, body: String::from_utf8_lossy(&body).into_owned() })
}
