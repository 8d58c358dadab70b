#!/usr/bin/env bash
# Compares policies under the same load plan, each on a new `association`
# deployment of separate processes.
# Usage: examples/measure.sh PLAN SEED [POLICY ...]
# Prints one line of JSON per policy. Requires jq. POLICY is the value of the
# instances' `policy` setting, such as '{routing: round-robin}'. KEEP_LOGS, if
# set, keeps the log directories and prints their paths.
set -euo pipefail
cd "$(dirname "$0")/.."

plan=$1 seed=$2
shift 2
binary=${LAVENDERWIND:-$PWD/target/release/lavenderwind}
export LAVENDERWIND=$binary

for policy in "$@"; do
	logs=$(mktemp -d)
	LOGS=$logs POLICY=$policy examples/start.sh association >"$logs/start.out" 2>&1 &
	deployment=$!
	until grep -q '^ready' "$logs/start.out"; do sleep 0.2; done
	"$binary" load --plan "$plan" --seed "$seed" --json >"$logs/load.json" || true
	kill -TERM "$deployment"
	wait "$deployment" || true
	applied_orders=$(cat "$logs"/entry-*.log | grep -c 'control: order to .*: Applied' || true)
	jq -c --arg policy "$policy" --argjson applied_orders "$applied_orders" '{
		policy: $policy, seed, goodput_per_s, worst_account, worst_good_share,
		good: .total.counts.good, sent: .total.counts.sent,
		late: .total.counts.late, refused: .total.counts.refused,
		refused_late: .total.counts.refused_late, failed: .total.counts.failed,
		accounts: [.accounts[] | {name, sent: .counts.sent, good_share}],
		phases: [.phases[] | {name, good_share, ttft_p95_ms: .first_token.p95_ms,
			itl_p95_ms: .between_tokens.p95_ms}],
		orders: $applied_orders}' "$logs/load.json"
	[ -n "${KEEP_LOGS:-}" ] && echo "logs: $logs" >&2 || rm -r "$logs"
done
