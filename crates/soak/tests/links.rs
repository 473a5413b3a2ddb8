//! Link processes execute the commands of the soak.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::time::Duration;

use quillhatch_soak::links::{serve, LinkCommand};
use quillhatch_soak::proxy::LinkState;
use test_case::test_case;

const HOLDING: LinkState = LinkState { delay: Duration::from_millis(80), holds_requests: true, holds_responses: false };

fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, 3), port))
}

#[test_case(LinkCommand::Open { number: 7, listen: address(1), node: address(2) })]
#[test_case(LinkCommand::Set { number: 3, state: HOLDING })]
#[test_case(LinkCommand::Set { number: 0, state: LinkState::default() })]
#[test_case(LinkCommand::Reset { number: 12 })]
fn a_command_is_parsed_as_it_was_written(command: LinkCommand) {
    assert_eq!(command.to_string().parse(), Ok(command));
}

#[test_case("")]
#[test_case("open 1 127.0.0.1:1")]
#[test_case("set 1 soon 0 0")]
#[test_case("reset one")]
#[test_case("close 1")]
fn invalid_commands_are_rejected(line: &str) {
    let error = line.parse::<LinkCommand>().expect_err("an invalid command");
    assert!(error.to_string().contains(&format!("{line:?}")), "{error}");
}

#[test]
fn bytes_are_held_and_connections_are_reset() {
    let node = TcpListener::bind(address(0)).expect("a free port");
    let free = TcpListener::bind(address(0)).expect("a free port").local_addr().expect("an address");
    let (mut commands, input) = UnixStream::pair().expect("a pair of sockets");
    let (replies, output) = UnixStream::pair().expect("a pair of sockets");
    let serving = std::thread::spawn(move || serve(BufReader::new(input), output));
    let mut replies = BufReader::new(replies);
    let mut reply = String::new();
    let open = LinkCommand::Open { number: 1, listen: free, node: node.local_addr().expect("an address") };
    writeln!(commands, "{open}").expect("the link process reads the command");
    replies.read_line(&mut reply).expect("a reply");
    assert_eq!(reply, "opened\n");

    let mut near = TcpStream::connect(free).expect("the link listens");
    let (mut far, _) = node.accept().expect("a connection");
    far.set_read_timeout(Some(Duration::from_millis(300))).expect("a read timeout");
    let mut byte = [0];
    near.write_all(b"a").expect("the bytes are sent");
    far.read_exact(&mut byte).expect("the byte is forwarded");
    writeln!(commands, "{}", LinkCommand::Set { number: 1, state: HOLDING })
        .expect("the link process reads the command");
    std::thread::sleep(Duration::from_millis(100));
    near.write_all(b"b").expect("the bytes are sent");
    far.read_exact(&mut byte).expect_err("the byte is held");
    writeln!(commands, "{}", LinkCommand::Reset { number: 1 }).expect("the link process reads the command");
    near.read_exact(&mut byte).expect_err("the connection is reset");

    drop(commands);
    serving.join().expect("no panic").expect("the process ends with its input");
}
