//! Tests the operations endpoint and its client over loopback TCP.

#![expect(
    clippy::unwrap_used,
    reason = "helper functions of tests fail by panicking"
)]

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use coriandercove_base::telemetry::Metrics;
use coriandercove_config::{Objects, Secret};
use coriandercove_operator::{
    ClientError, ConfigView, DrainReply, DrainRequest, ExplainQuery, ExplainStep, Explanation,
    NodeState, NodeStatus, OperationsClient, OperationsError, OperationsHandler, OperationsServer,
    OperationsServerBuilder, Readiness,
};
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const TOKEN: &str = "operator-token-for-tests";

#[derive(Default)]
struct Node {
    leaving: Cell<bool>,
    metrics: Metrics,
}

impl OperationsHandler for Node {
    fn metrics(&self) -> String {
        self.metrics.encode()
    }

    fn readiness(&self) -> Readiness {
        let ready = !self.leaving.get();
        Readiness {
            ready,
            reason: if ready { "" } else { "leaving" }.to_owned(),
        }
    }

    fn status(&self) -> NodeStatus {
        NodeStatus {
            node: "entry-1".into(),
            role: "entry".to_owned(),
            zone: "z1".into(),
            region: "r1".to_owned(),
            incarnation: 7,
            program_version: "0.1.0".to_owned(),
            state: NodeState::Ready,
            config_version: 3,
            config_digest: "d".to_owned(),
            uptime_ms: 5,
            in_flight: 2,
            store_reachable: true,
            members: Vec::new(),
            figures: [("streams".to_owned(), 2)].into(),
        }
    }

    fn config(&self) -> Result<ConfigView, OperationsError> {
        if self.leaving.get() {
            let message = "no configuration is known".to_owned();
            return Err(OperationsError::NotReady { message });
        }
        Ok(ConfigView {
            version: 3,
            digest: Objects::new().digest(),
            objects: Objects::new(),
        })
    }

    fn explain(&self, query: ExplainQuery) -> Result<Explanation, OperationsError> {
        Ok(Explanation {
            summary: query.path.unwrap_or_default(),
            steps: vec![ExplainStep {
                part: "rule".to_owned(),
                outcome: query.service.unwrap_or_default(),
                reason: String::new(),
            }],
        })
    }

    fn drain(
        &self,
        req: DrainRequest,
    ) -> LocalBoxFuture<'static, Result<DrainReply, OperationsError>> {
        self.leaving.set(true);
        let deadline_ms = req.deadline_ms.unwrap_or(30_000);
        Box::pin(async move {
            Ok(DrainReply {
                state: NodeState::Leaving,
                in_flight: 2,
                deadline_ms,
            })
        })
    }
}

fn start(
    builder: impl FnOnce(OperationsServerBuilder) -> OperationsServerBuilder,
) -> OperationsServer {
    let node = Node::default();
    let metrics = node.metrics.clone();
    let server = OperationsServerBuilder::new(Rc::new(node), Secret::new(TOKEN).unwrap());
    let address = "127.0.0.1:0".parse().unwrap();
    builder(server.metrics(metrics)).bind(address).unwrap()
}

fn client(server: &OperationsServer, token: &str) -> OperationsClient {
    let base = format!("http://{}/", server.address());
    OperationsClient::new(&base, Secret::new(token).unwrap())
}

fn refusal<T: std::fmt::Debug>(result: Result<T, ClientError>) -> (u16, String) {
    match result {
        Err(ClientError::Refused {
            status, message, ..
        }) => (status, message),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Sends raw bytes and returns the status code of the answer.
async fn raw(server: &OperationsServer, request: &str) -> u16 {
    let mut stream = tokio::net::TcpStream::connect(server.address())
        .await
        .unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut head = [0; 12];
    stream.read_exact(&mut head).await.unwrap();
    std::str::from_utf8(&head[9..]).unwrap().parse().unwrap()
}

/// Guards against a client and a server that disagree about paths or bodies.
#[actix_rt::test]
async fn every_call_reaches_the_handler() {
    let server = start(|s| s);
    let client = client(&server, TOKEN);
    assert_eq!(client.status().await.unwrap().figures["streams"], 2);
    assert_eq!(client.config().await.unwrap().version, 3);
    assert!(client.readiness().await.unwrap().ready);
    assert!(client.metrics().await.unwrap().ends_with("# EOF\n"));
    let query = ExplainQuery {
        service: Some("kiln-slots".to_owned()),
        method: Some("POST".to_owned()),
        path: Some("/slots?day=1&x=ä b".to_owned()),
        ..ExplainQuery::default()
    };
    let explanation = client.explain(&query).await.unwrap();
    assert_eq!(explanation.summary, "/slots?day=1&x=ä b");
    assert_eq!(explanation.steps[0].outcome, "kiln-slots");
    let req = DrainRequest {
        deadline_ms: Some(1500),
    };
    assert_eq!(client.drain(&req).await.unwrap().deadline_ms, 1500);
    let readiness = client.readiness().await.unwrap();
    assert_eq!(
        (readiness.ready, readiness.reason.as_str()),
        (false, "leaving")
    );
    let (status, message) = refusal(client.config().await);
    assert_eq!(status, 503);
    assert!(message.contains("no configuration is known"), "{message}");
}

/// Guards against calls of the operators' API that pass without the token, and against a readiness
/// check or scrape of metrics that needs one.
#[actix_rt::test]
async fn operator_calls_need_the_token() {
    let server = start(|s| s);
    let stranger = client(&server, "another-token-of-length");
    assert_eq!(refusal(stranger.status().await).0, 401);
    assert_eq!(refusal(stranger.config().await).0, 401);
    assert_eq!(
        refusal(stranger.drain(&DrainRequest::default()).await).0,
        401
    );
    assert_eq!(
        refusal(stranger.explain(&ExplainQuery::default()).await).0,
        401
    );
    assert!(
        stranger.readiness().await.unwrap().ready,
        "the drain had an effect"
    );
    let metrics = stranger.metrics().await.unwrap();
    let line = r#"coriandercove_operations_refusals_total{reason="unauthorized"} 4"#;
    assert!(metrics.contains(line), "{metrics}");
    for head in [
        "",
        "Authorization: Basic x\r\n",
        "Authorization: Bearer\r\n",
    ] {
        let request = format!("GET /status HTTP/1.1\r\nHost: x\r\n{head}\r\n");
        assert_eq!(raw(&server, &request).await, 401, "{head}");
    }
    let request =
        format!("GET /status HTTP/1.1\r\nHost: x\r\nAuthorization: bearer {TOKEN}\r\n\r\n");
    assert_eq!(raw(&server, &request).await, 200);
}

/// Guards against malformed calls that get no answer or the wrong status.
#[actix_rt::test]
async fn malformed_calls_are_refused() {
    let server = start(|s| s);
    let auth = format!("Host: x\r\nAuthorization: Bearer {TOKEN}\r\n");
    let large = "x".repeat(20_000);
    let cases = [
        (404, format!("GET /nothing HTTP/1.1\r\n{auth}\r\n")),
        (405, format!("POST /status HTTP/1.1\r\n{auth}\r\n")),
        (405, format!("GET /drain HTTP/1.1\r\n{auth}\r\n")),
        (400, format!("GET /explain HTTP/1.1\r\n{auth}\r\n")),
        (
            400,
            format!("GET /explain?model=m&colour=red HTTP/1.1\r\n{auth}\r\n"),
        ),
        (
            400,
            format!("GET /explain?model=m&prompt_tokens=x HTTP/1.1\r\n{auth}\r\n"),
        ),
        (
            400,
            format!("GET /explain?model=m&service=s HTTP/1.1\r\n{auth}\r\n"),
        ),
        (
            400,
            format!("POST /drain HTTP/1.1\r\n{auth}Content-Length: 3\r\n\r\nabc"),
        ),
        (
            400,
            format!("POST /drain HTTP/1.1\r\n{auth}Content-Length: 7\r\n\r\n{{\"a\":1}}"),
        ),
        (
            413,
            format!("POST /drain HTTP/1.1\r\n{auth}Content-Length: 20000\r\n\r\n{large}"),
        ),
        (400, "\u{1}\u{2}\u{3} / HTTP/1.1\r\n\r\n".to_owned()),
    ];
    for (status, request) in cases {
        assert_eq!(raw(&server, &request).await, status, "{request:.80}");
    }
    assert!(client(&server, TOKEN).readiness().await.unwrap().ready);
}

/// Guards against a client that keeps a connection open without a request and so blocks all other
/// clients.
#[actix_rt::test]
async fn idle_connections_time_out() {
    let server = start(|s| s.connections(1).head_timeout(Duration::from_millis(100)));
    let idle = tokio::net::TcpStream::connect(server.address())
        .await
        .unwrap();
    let client = client(&server, TOKEN);
    let status = tokio::time::timeout(Duration::from_secs(5), client.status()).await;
    assert_eq!(status.unwrap().unwrap().config_version, 3);
    drop(idle);
}

/// Guards against a server that keeps its port after it was dropped.
#[actix_rt::test]
async fn dropping_the_server_closes_the_port() {
    let server = start(|s| s);
    let address = server.address();
    drop(server);
    actix_rt::task::yield_now().await;
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
}
