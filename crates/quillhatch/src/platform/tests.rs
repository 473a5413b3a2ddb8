//! Tests of the reader with a platform that answers as it is told.

use std::sync::Mutex;

use super::*;
use quillhatch_types::{Finding, Severity, SourceLocation};

fn refused() -> ReadError {
    let place = SourceLocation { source: "document".to_owned(), line: 3, column: 5, path: "services".to_owned() };
    let (problem, advice) = ("unknown".to_owned(), "remove it".to_owned());
    ReadError::Refused(Findings(vec![Finding { place, severity: Severity::Error, problem, advice }]))
}

fn unreachable() -> ReadError {
    ReadError::Unreachable { problem: "cannot connect".to_owned() }
}

#[test]
fn only_changes_of_health_are_news() {
    let counters = Counters::default();
    let mut health = Health::default();
    let results = [Ok(1), Err(unreachable()), Err(unreachable()), Err(refused()), Ok(2)];
    let mut seen = Vec::new();
    for result in results {
        seen.push(note(&mut health, &counters, "configuration", result));
    }
    assert_eq!(seen, vec![Some(1), None, None, None, Some(2)]);
    assert_eq!((counters.platform_readings.get(), counters.failed_platform_readings.get()), (2, 3));
    assert_eq!(counters.refused_configurations.get(), 1);
    assert_eq!(health, Health::Readable);
}

/// Answers each request with the next text of a script, as raw HTTP.
async fn scripted(script: Vec<&'static str>) -> (String, Arc<Mutex<Vec<String>>>) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let requests = Arc::new(Mutex::new(Vec::new()));
    let noted = Arc::clone(&requests);
    tokio::spawn(async move {
        for answer in script {
            let (mut stream, _) = listener.accept().await.expect("accept");
            let mut request = vec![0; 4096];
            let size = stream.read(&mut request).await.expect("request");
            noted.lock().expect("requests").push(String::from_utf8_lossy(&request[..size]).into_owned());
            stream.write_all(answer.as_bytes()).await.expect("answer");
        }
    });
    (format!("http://{address}"), requests)
}

fn platform(urls: Vec<String>) -> HttpPlatform {
    HttpPlatform::new(crate::clients::transparent().expect("client"), urls, Duration::from_secs(5))
}

#[tokio::test]
async fn a_refused_document_stays_refused_while_it_is_unchanged() {
    let script = vec![
        "HTTP/1.1 200 OK\r\netag: \"a\"\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 304 Not Modified\r\nconnection: close\r\n\r\n",
    ];
    let (url, requests) = scripted(script).await;
    let mut platform = platform(vec![url]);
    let first = platform.configuration().await;
    assert!(matches!(&first, Err(ReadError::Refused(findings)) if findings.has_errors()), "{first:?}");
    assert_eq!(platform.configuration().await.err(), first.err());
    assert!(requests.lock().expect("requests")[1].to_lowercase().contains("if-none-match: \"a\""));
}

#[tokio::test]
async fn the_next_address_is_asked_when_one_fails() {
    let (down, _) =
        scripted(vec!["HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"]).await;
    let list = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 49\r\n\r\n\
        [{\"address\":\"127.0.0.1:7001\",\"status\":\"leaving\"}]";
    let (up, _) = scripted(vec![list]).await;
    let machines = platform(vec![down, up]).machines().await.expect("machines");
    assert_eq!(machines.len(), 1);
    assert_eq!(
        platform(vec!["http://127.0.0.1:1".to_owned()])
            .machines()
            .await
            .map_err(|error| error.to_string().contains("127.0.0.1:1")),
        Err(true)
    );
}
