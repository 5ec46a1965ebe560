#!/bin/sh
# Replaces an engine by another one, without breaking a request.
#
# Usage: replace_engine.sh POOL OLD_ENGINE NEW_ENGINE NEW_HOST NEW_PORT
#
# SEQUOIADRUM_ROUTER names the operator ports of some routers (IP:PORT,...); SEQUOIADRUM may name
# the program. The exit code is that of the first command that failed:
# 3 conflict, 4 refused, 5 unavailable, 6 unknown outcome.
set -eu

program=${SEQUOIADRUM:-sequoiadrum}
pool=$1 old=$2 new=$3 host=$4 port=$5
plan=move-$old-$new

# The new engine gets no work before the plan activates it. `--expected-version=0` keeps the script
# from replacing a declaration that someone else has made; the change id makes a repetition safe.
$program endpoint put "$new" \
    "{\"pool\": \"$pool\", \"kind\": \"engine\", \"host\": \"$host\", \"port\": $port, \"state\": \"draining\"}" \
    --expected-version=0 --change-id="$plan-declare"
$program config --wait-s=30

$program plan move "$old" "$new" --id="$plan"
$program plan wait "$plan" --wait-s=3600

# The old engine may be stopped now; its declaration is kept until it is deleted.
$program endpoint delete "$old"
$program pool "$pool"
