#!/usr/bin/env bash
# Starts an example deployment as separate processes and runs it until Ctrl-C.
# Usage: examples/start.sh association|sanobato
# POLICY, if set, is the value of the instances' `policy` setting; LOGS is the
# log directory, a temporary one by default.
set -euo pipefail
cd "$(dirname "$0")"

case "${1:-}" in
association)
	port=9000 model=norms-8b adapter=tenders engine=adviser plain=order-desk
	domains=(norte-1 norte-2 norte-3 norte-4)
	;;
sanobato)
	port=9500 model=swap-8b adapter=pricing engine=model-worker plain=app-worker
	domains=(ktm-1 ktm-2 pkr-1 pkr-2)
	;;
*)
	echo "usage: $0 association|sanobato" >&2
	exit 2
	;;
esac

folder=$1
binary=${LAVENDERWIND:-../target/release/lavenderwind}
export LAVENDERWIND_PLATFORM=http://127.0.0.1:$port
logs=${LOGS:-$(mktemp -d)}
options=$logs/engine.yaml
pids=()

stop() {
	trap - EXIT INT TERM
	echo "stopping; logs are kept in $logs"
	# Stops the instances before the other processes, so that they can flush their
	# usage to the log.
	if ((${#entries[@]})); then
		kill -TERM "${entries[@]}" 2>/dev/null || true
		wait "${entries[@]}" 2>/dev/null || true
	fi
	kill -TERM "${pids[@]}" 2>/dev/null || true
	wait 2>/dev/null || true
}
entries=()
trap stop EXIT
trap 'exit 0' INT TERM

cat >"$options" <<YAML
models:
  - model: $model
    version: "1"
    adapters: [$adapter]
total_blocks: 2000
check_epoch: true
YAML

start() {
	local name=$1
	shift
	"$binary" "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
	pids+=($!)
}

wait_ready() {
	until "$@" >/dev/null 2>&1; do sleep 0.1; done
}

start platform standin platform --listen 127.0.0.1:$port
# Exits if the platform fails to start: another deployment may be listening on
# its address, and the commands below would modify that deployment.
until grep -q ready "$logs/platform.out"; do
	if ! kill -0 "${pids[0]}" 2>/dev/null; then
		cat "$logs/platform.log" >&2
		exit 1
	fi
	sleep 0.1
done
wait_ready "$binary" service list
for index in 0 1 2 3 4 5 6 7 8; do
	start "$engine-$index" standin engine --platform "$LAVENDERWIND_PLATFORM" \
		--name "$engine-$index" --kind "$engine" \
		--failure-domain "${domains[index % 4]}" --options "$options"
done
for index in 0 1 2 3; do
	start "$plain-$index" standin plain --platform "$LAVENDERWIND_PLATFORM" \
		--name "$plain-$index" --kind "$plain" --failure-domain "${domains[index % 4]}"
done
for document in "$folder"/*.yaml; do
	case $document in */entry-*) continue ;; esac
	"$binary" service publish "$document"
done
for settings in "$folder"/entry-*.yaml; do
	name=$(basename "$settings" .yaml)
	if [ -n "${POLICY:-}" ]; then
		{ cat "$settings"; echo "policy: $POLICY"; } >"$logs/$name.yaml"
		settings=$logs/$name.yaml
	fi
	"$binary" serve --settings "$settings" >"$logs/$name.out" 2>"$logs/$name.log" &
	entries+=($!)
done
ready() { [ "$("$binary" status | grep -c ' ready ')" = "${#entries[@]}" ]; }
wait_ready ready
"$binary" status
echo "ready; logs in $logs; press Ctrl-C to stop"
wait
