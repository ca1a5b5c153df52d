# Sourced by scripts that start processes: terminates the processes listed in `pids` when the script
# exits.

pids=()

stop_processes() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}
trap stop_processes EXIT
