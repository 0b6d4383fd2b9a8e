#!/usr/bin/env bash
# The platform's names on the wire stand in platform/ only (and in stand-ins and tests, which speak as the platform does).
set -euo pipefail
cd "$(dirname "$0")/.."
names='/-/kv-|/-/readyz|op/config|op/rollout|op/evacuate|evacuate_ms|"servers/|Attempt-Id|Response-Seal|Target-Instance|Not-Executed|Token-Count|Prompt-Prefix'
names+='|Guavapond-Key|Guavapond-Tenant|Guavapond-Retention|Pin-Ms|Kv-Backup|Kv-From|route_type|target_latency_ms|itl_target_ms|api_keys|max_attempts|Server-Leaving|Server-Limit'
if git grep -nE "$names" -- src proto bench cmake; then
    echo "names of the platform's wire outside platform/"
    exit 1
fi
lines=$(git ls-files platform | xargs cat | wc -l)
if [ "$lines" -ge 1500 ]; then
    echo "platform/ has $lines lines; it only translates and stays under 1500"
    exit 1
fi
