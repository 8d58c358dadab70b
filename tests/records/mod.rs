//! Builders of records and service documents for tests.
#![allow(dead_code)]

use lavenderwind::{
    ledger::{ApplyResult, Ledger},
    log::{
        Offset,
        records::{
            CheckpointMark, CrashSuspect, Duty, DutyClaim, DutyRenewal, DutyResignation,
            EngineOrder, EngineRole, Expire, OrderIntent, OrderResolved, Record, RequestClaim,
            RequestOutcome, RequestRelease, ServiceRevision, SetRole, UsageLine, UsageSlice,
            UsageWatermark, WindowAcknowledged, WindowClose, engine_order::Action,
            order_intent::Order, record::Body,
        },
    },
};

/// Writes records with consecutive sequence numbers.
#[derive(Clone, Debug)]
pub(crate) struct Writer {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
}

impl Writer {
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            incarnation: 1,
            sequence: 0,
        }
    }

    pub(crate) fn record(&mut self, body: Body) -> Record {
        self.sequence += 1;
        Record {
            writer: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            body: Some(body),
        }
    }

    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.sequence = 0;
    }
}

/// A ledger to which records are applied at consecutive offsets.
#[derive(Debug, Default)]
pub(crate) struct Fold {
    pub(crate) ledger: Ledger,
}

impl Fold {
    pub(crate) fn push(&mut self, writer: &mut Writer, body: Body) -> ApplyResult {
        let record = writer.record(body);
        self.push_record(&record)
    }

    pub(crate) fn push_record(&mut self, record: &Record) -> ApplyResult {
        let offset = Offset(self.ledger.applied().0 + 1);
        self.ledger.apply(offset, record)
    }

    /// Applies a record that must be accepted and returns its offset.
    pub(crate) fn accept(&mut self, writer: &mut Writer, body: Body) -> u64 {
        let apply_result = self.push(writer, body);
        assert_eq!(apply_result, ApplyResult::Accepted);
        self.ledger.applied().0
    }

    /// Applies a writer's claim of a duty and returns the epoch.
    pub(crate) fn take_over(&mut self, writer: &mut Writer, duty: Duty) -> u64 {
        let body = claim_duty(&self.ledger, duty);
        self.accept(writer, body)
    }
}

pub(crate) fn claim_duty(ledger: &Ledger, duty: Duty) -> Body {
    let entry = ledger.duty(duty);
    Body::DutyClaim(DutyClaim {
        duty: duty.into(),
        after_epoch: entry.map_or(0, |entry| entry.epoch),
        after_renewal: entry.map_or(0, |entry| entry.last_renewal),
    })
}

pub(crate) fn renew_duty(duty: Duty, epoch: u64) -> Body {
    Body::DutyRenewal(DutyRenewal {
        duty: duty.into(),
        epoch,
    })
}

pub(crate) fn resign_duty(duty: Duty, epoch: u64) -> Body {
    Body::DutyResignation(DutyResignation {
        duty: duty.into(),
        epoch,
    })
}

pub(crate) fn set_role(role: EngineRole) -> Order {
    Order::Engine(EngineOrder {
        action: Some(Action::SetRole(SetRole { role: role.into() })),
    })
}

pub(crate) fn order_intent(target: &str, epoch: u64, role: EngineRole) -> Body {
    Body::OrderIntent(OrderIntent {
        target: target.into(),
        duty: Duty::Fleet.into(),
        epoch,
        order: Some(set_role(role)),
    })
}

pub(crate) fn order_resolved(target: &str, intent_offset: u64, applied: bool) -> Body {
    Body::OrderResolved(OrderResolved {
        target: target.into(),
        intent_offset,
        applied,
    })
}

pub(crate) fn claim_request(account: &str, key: &str, digest: &[u8]) -> Body {
    Body::RequestClaim(RequestClaim {
        account: account.into(),
        idempotency_key: key.into(),
        body_digest: digest.into(),
    })
}

pub(crate) fn release_claim(account: &str, key: &str, claim_offset: u64) -> Body {
    Body::RequestRelease(RequestRelease {
        account: account.into(),
        idempotency_key: key.into(),
        claim_offset,
    })
}

pub(crate) fn request_outcome(account: &str, key: &str, claim_offset: u64, body: &str) -> Body {
    Body::RequestOutcome(RequestOutcome {
        account: account.into(),
        idempotency_key: key.into(),
        claim_offset,
        unknown: false,
        status: 200,
        content_type: "text/plain".into(),
        body: body.into(),
    })
}

pub(crate) fn unknown_outcome(account: &str, key: &str, claim_offset: u64) -> Body {
    Body::RequestOutcome(RequestOutcome {
        account: account.into(),
        idempotency_key: key.into(),
        claim_offset,
        unknown: true,
        ..RequestOutcome::default()
    })
}

pub(crate) fn usage_slice(source: &str, number: u64, window: u64, requests: u64) -> Body {
    Body::UsageSlice(UsageSlice {
        source: source.into(),
        source_incarnation: 1,
        slice: number,
        window,
        lines: vec![UsageLine {
            service: "swaps".into(),
            account: "pokhara".into(),
            requests,
            prompt_tokens: 10 * requests,
            output_tokens: requests,
        }],
    })
}

pub(crate) fn usage_watermark(source: &str, window: u64) -> Body {
    Body::UsageWatermark(UsageWatermark {
        source: source.into(),
        source_incarnation: 1,
        window,
    })
}

pub(crate) fn close_window(window: u64, epoch: u64) -> Body {
    Body::WindowClose(WindowClose { window, epoch })
}

pub(crate) fn acknowledge_window(window: u64) -> Body {
    Body::WindowAcknowledged(WindowAcknowledged { window })
}

pub(crate) fn crash_suspect(account: &str, digest: &[u8], target: &str, boot: &str) -> Body {
    Body::CrashSuspect(CrashSuspect {
        account: account.into(),
        body_digest: digest.into(),
        target: target.into(),
        target_boot: boot.into(),
    })
}

pub(crate) fn expire_records(epoch: u64, up_to_offset: u64) -> Body {
    Body::Expire(Expire {
        epoch,
        up_to_offset,
    })
}

pub(crate) fn checkpoint_mark(epoch: u64) -> Body {
    Body::CheckpointMark(CheckpointMark { epoch })
}

pub(crate) fn revise_service(service: &str, base_revision: u64, document: &str) -> Body {
    Body::ServiceRevision(ServiceRevision {
        service: service.into(),
        base_revision,
        document: document.into(),
    })
}

/// A key of the account in a service document.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeySpec {
    pub(crate) id: u8,
    pub(crate) secret: u8,
    pub(crate) revoked: bool,
}

/// Digest that [`document`] writes for the key with this secret.
pub(crate) fn key_digest(secret: u8) -> [u8; 32] {
    [secret; 32]
}

/// A service document with one account, which has the given keys.
pub(crate) fn document(service: &str, keys: &[KeySpec]) -> String {
    let mut text = format!(
        "service: {service}\nteam: desk\nroutes:\n- path: /{service}\n  access: keyed\n  \
         repeat: idempotent\n  target_kind: app\ntarget_kinds:\n- name: app\n  role: plain\n\
         accounts:\n- name: pokhara\n"
    );
    if keys.is_empty() {
        return text;
    }
    text.push_str("  keys:\n");
    for key in keys {
        let digest = hex::encode(key_digest(key.secret));
        let line = format!(
            "  - id: key-{}\n    sha256: \"{digest}\"\n    revoked: {}\n",
            key.id, key.revoked
        );
        text.push_str(&line);
    }
    text
}
