//! Contract between the usage client and the platform's interface for usage
//! reports.

use std::time::Duration;

use lavenderwind::{
    infra::{
        Error, UsageClient,
        protocol::{UsageFigure, UsageReport},
    },
    standin::{
        loopback,
        platform::{Platform, PlatformFaults, UsageReportResult},
    },
    target::http_client,
};

/// Time after which a test that hangs fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn client(platform: &Platform) -> UsageClient {
    UsageClient::new(
        http_client().expect("client"),
        &platform.url(),
        TEST_TIMEOUT,
    )
}

fn report(window: u64, epoch: u64, requests: u64) -> UsageReport {
    UsageReport {
        window,
        epoch,
        figures: vec![UsageFigure {
            service: "adviser".into(),
            account: "workshop-1".into(),
            requests,
            prompt_tokens: 10 * requests,
            output_tokens: 5 * requests,
        }],
    }
}

#[tokio::test]
async fn second_report_results() {
    struct Case {
        name: &'static str,
        check_epoch: bool,
        second: UsageReport,
        result: UsageReportResult,
    }
    let cases = [
        Case {
            name: "same figures again",
            check_epoch: true,
            second: report(1, 5, 3),
            result: UsageReportResult::Repeated,
        },
        Case {
            name: "same figures by a successor",
            check_epoch: true,
            second: report(1, 6, 3),
            result: UsageReportResult::Repeated,
        },
        Case {
            name: "other figures",
            check_epoch: true,
            second: report(1, 6, 4),
            result: UsageReportResult::Conflict,
        },
        Case {
            name: "next window",
            check_epoch: true,
            second: report(2, 5, 4),
            result: UsageReportResult::Accepted,
        },
        Case {
            name: "old fencing token",
            check_epoch: true,
            second: report(2, 4, 4),
            result: UsageReportResult::OldEpoch,
        },
        Case {
            name: "old fencing token, not checked",
            check_epoch: false,
            second: report(2, 4, 4),
            result: UsageReportResult::Accepted,
        },
    ];
    for case in cases {
        let faults = PlatformFaults {
            usage_check_epoch: case.check_epoch,
            ..PlatformFaults::default()
        };
        let platform = Platform::start(loopback(), faults).await.expect("platform");
        let client = client(&platform);
        client.report(&report(1, 5, 3)).await.expect(case.name);
        let second = client.report(&case.second).await;
        match case.result {
            UsageReportResult::Accepted | UsageReportResult::Repeated => second.expect(case.name),
            UsageReportResult::Conflict => {
                assert!(
                    matches!(second, Err(Error::Conflict { .. })),
                    "{}",
                    case.name
                );
            }
            UsageReportResult::OldEpoch => {
                assert!(
                    matches!(second, Err(Error::OldEpoch { .. })),
                    "{}",
                    case.name
                );
            }
        }
        let received = platform.usage_reports();
        assert_eq!(received[1].result, case.result, "{}", case.name);
        assert_eq!(received[1].report, case.second, "{}", case.name);
    }
}

/// A report is repeated without conflict after its acknowledgement is lost.
#[tokio::test]
async fn lost_acknowledgement_repeated() {
    let mut faults = PlatformFaults::default();
    faults.usage.lose_answers = 2;
    let platform = Platform::start(loopback(), faults).await.expect("platform");
    let client = client(&platform);
    for _ in 0..2 {
        let error = client.report(&report(1, 5, 3)).await.expect_err("lost");
        assert!(error.may_have_been_sent(), "{error}");
    }
    client.report(&report(1, 5, 3)).await.expect("acknowledged");
    let results: Vec<UsageReportResult> = platform
        .usage_reports()
        .into_iter()
        .map(|received| received.result)
        .collect();
    let expected = [
        UsageReportResult::Accepted,
        UsageReportResult::Repeated,
        UsageReportResult::Repeated,
    ];
    assert_eq!(results, expected);
}

#[tokio::test]
async fn outage_fails_report() {
    let mut faults = PlatformFaults::default();
    faults.usage.outage = true;
    let platform = Platform::start(loopback(), faults).await.expect("platform");
    let client = client(&platform);
    client.report(&report(1, 5, 3)).await.expect_err("outage");
    assert!(platform.usage_reports().is_empty());
}
