#!/bin/sh
# Replaces an engine by another one without failing any request.
#
# Usage: replace_engine.sh POOL OLD_ENGINE NEW_ENGINE NEW_HOST NEW_PORT
#
# SEQUOIADRUM_ROUTER holds the operator ports of one or more routers (IP:PORT,...), SEQUOIADRUM the
# command that runs the program (default: sequoiadrum). The exit code is that of the first failed
# command:
# 3 conflict, 4 refused, 5 unavailable, 6 unknown outcome.
set -eu

program=${SEQUOIADRUM:-sequoiadrum}
pool=$1 old=$2 new=$3 host=$4 port=$5
plan=move-$old-$new

# The new engine is declared as draining, so that it receives no requests before the plan activates
# it. `--expected-version=0` prevents the script from replacing an existing declaration; the change
# id makes a retry of the script safe.
$program endpoint put "$new" \
    "{\"pool\": \"$pool\", \"kind\": \"engine\", \"host\": \"$host\", \"port\": $port, \"state\": \"draining\"}" \
    --expected-version=0 --change-id="$plan-declare"
$program config --wait-s=30

$program plan move "$old" "$new" --id="$plan"
$program plan wait "$plan" --wait-s=3600

# The old engine may be stopped now. Its declaration remains until it is deleted explicitly.
$program endpoint delete "$old"
$program pool "$pool"
