//! Tests of polling, against a server that sends scripted responses.

use std::sync::Mutex;

use super::*;
use quillhatch_types::{Finding, Severity, SourceLocation};

fn rejected_configuration() -> PlatformError {
    let place = SourceLocation { source: "document".to_owned(), line: 3, column: 5, path: "services".to_owned() };
    let (problem, advice) = ("unknown".to_owned(), "remove it".to_owned());
    PlatformError::RejectedConfiguration(Findings(vec![Finding { place, severity: Severity::Error, problem, advice }]))
}

fn unreachable_platform() -> PlatformError {
    PlatformError::Unreachable { problem: "cannot connect".to_owned() }
}

#[test]
fn every_result_is_counted_and_a_success_clears_the_failure() {
    let counters = Counters::default();
    let mut status = PollStatus::default();
    let results =
        [Ok(1), Err(unreachable_platform()), Err(unreachable_platform()), Err(rejected_configuration()), Ok(2)];
    let mut values = Vec::new();
    for result in results {
        values.push(record_result(&mut status, &counters, "configuration", result));
    }
    assert_eq!(values, vec![Some(1), None, None, None, Some(2)]);
    assert_eq!((counters.platform_readings.get(), counters.failed_platform_readings.get()), (2, 3));
    assert_eq!(counters.refused_configurations.get(), 1);
    assert_eq!(status, PollStatus::Succeeded);
}

/// Starts a server that answers each connection with the next raw HTTP response of `script`. Returns its base URL and the
/// requests it receives.
async fn start_scripted_server(script: Vec<&'static str>) -> (String, Arc<Mutex<Vec<String>>>) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let requests = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&requests);
    tokio::spawn(async move {
        for response in script {
            let (mut stream, _) = listener.accept().await.expect("accept");
            let mut request = vec![0; 4096];
            let size = stream.read(&mut request).await.expect("request");
            recorded.lock().expect("requests").push(String::from_utf8_lossy(&request[..size]).into_owned());
            stream.write_all(response.as_bytes()).await.expect("response");
        }
    });
    (format!("http://{address}"), requests)
}

fn platform(urls: Vec<String>) -> HttpPlatform {
    HttpPlatform::new(crate::clients::transparent().expect("client"), urls, Duration::from_secs(5))
}

#[tokio::test]
async fn an_unchanged_rejected_document_is_rejected_again() {
    let script = vec![
        "HTTP/1.1 200 OK\r\netag: \"a\"\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 304 Not Modified\r\nconnection: close\r\n\r\n",
    ];
    let (url, requests) = start_scripted_server(script).await;
    let mut platform = platform(vec![url]);
    let first = platform.configuration().await;
    assert!(
        matches!(&first, Err(PlatformError::RejectedConfiguration(findings)) if findings.has_errors()),
        "{first:?}"
    );
    assert_eq!(platform.configuration().await.err(), first.err());
    assert!(requests.lock().expect("requests")[1].to_lowercase().contains("if-none-match: \"a\""));
}

#[tokio::test]
async fn the_next_address_is_tried_when_one_fails() {
    let (down, _) = start_scripted_server(vec![
        "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
    ])
    .await;
    let machine_list = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 49\r\n\r\n\
        [{\"address\":\"127.0.0.1:7001\",\"status\":\"leaving\"}]";
    let (up, _) = start_scripted_server(vec![machine_list]).await;
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
