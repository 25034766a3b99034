# Runs a scenario of the third review: run_scenario NAME CASE. Sourced by review/N/run.sh. Ends the
# processes of the scenario if it is ended itself. Exits with 2 if the scenario could not run.
run_scenario() {
    cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
    target/review-3/standin-3 "$1" target/release/jayreel "review/$2/record.txt" &
    scenario=$!
    trap 'end_scenario' TERM INT
    wait "$scenario"
    case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
    esac
}

end_scenario() {
    children=$(cat /proc/"$scenario"/task/*/children 2>/dev/null)
    kill -KILL "$scenario" $children 2>/dev/null
    exit 2
}
