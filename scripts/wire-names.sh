#!/usr/bin/env bash
# Fails where code outside platform/ names what only the users' platform speaks.
set -eu
cd "$(dirname "$0")/.."
names='Server-Stamp|Not-Executed|Expect-Instance|Token-Usage|Prompt-Prefix|Deadline-Ms|Last-Event-Id|Server-Load|Request-Priority|Kv-From|fencingToken|coldRemainingMs|bilberryslip/(objects|order|report|readyz)|BILBERRYSLIP_BOOT'
if git grep -nE "$names" -- '*.go' ':!platform'; then
	echo "the platform's names belong into platform/; translate them there"
	exit 1
fi
