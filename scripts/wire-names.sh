#!/usr/bin/env bash
# Fails if Go code outside platform/ contains a name of the users' platform
# protocol, which only platform/ may use.
set -eu
cd "$(dirname "$0")/.."
names='Server-Stamp|Not-Executed|Expect-Instance|Token-Usage|Prompt-Prefix|Deadline-Ms|Last-Event-Id|Server-Load|Server-Leaving|Store-Era|Request-Priority|Kv-From|fencingToken|coldRemainingMs|Cold-Ms|Server-Brittle|bilberryslip/(objects|order|report|readyz)|BILBERRYSLIP_BOOT'
if git grep -nE "$names" -- '*.go' ':!platform'; then
	echo "these names of the platform protocol may be used in platform/ only; translate them there"
	exit 1
fi
