#!/usr/bin/env bash
# Scores the deployments whose days stand as regressions, the largest first.
#
#   FLEETBENCH=PROGRAM SITES=FOLDER bash deploy/regressions.sh [DEPLOYMENT...]
#
# FLEETBENCH is the users' bench, SITES the folder of their site files. Without them
# nothing is played, and that is said.
set -u
cd "$(dirname "$0")/.." || exit 2

deployments=("$@")
if [ "${#deployments[@]}" -eq 0 ]; then
  deployments=(large/sssg-cove-large further-grown/bfig-solitaji-grown)
fi
if [ ! -x "${FLEETBENCH:-}" ] || [ ! -d "${SITES:-}" ]; then
  echo "regressions not played: FLEETBENCH and SITES must name the users' bench and its site files"
  exit 0
fi

failed=0
for deployment in "${deployments[@]}"; do
  report=$("$FLEETBENCH" score "$SITES/$deployment.toml" --why "standing regressions")
  grep -E '^(score on|[a-z]+-[0-9]|fresh-|GATE)' <<<"$report"
  grep -q '^GATE passed' <<<"$report" || failed=$((failed + 1))
done
echo "${#deployments[@]} deployments played, $failed without a passed gate"
[ "$failed" -eq 0 ]
