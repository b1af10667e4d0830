#!/usr/bin/env bash
# Plays a variant site on the operators' bench: lays the companions of the operators' own site beside it, with names of
# the variant's where they hold some, and calls the bench. Git ignores the companions.
#
#     deploy/sites/play.sh GIVEN VARIANT [ARGUMENTS OF THE BENCH'S score...]
#     deploy/sites/play.sh ../given clinic-orders --quick --why "..."
set -euo pipefail
if [ $# -lt 2 ]; then
    echo "play.sh: wants the folder of the operators' pages and the name of a variant" >&2
    exit 2
fi
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
given=$(cd "$1" && pwd)
variant=$2
shift 2
site=$root/deploy/sites/$variant.toml
if [ ! -f "$site" ]; then
    echo "play.sh: no variant $variant: $site does not exist" >&2
    exit 2
fi
companions=$root/deploy/sites/companions/$variant
mkdir -p "$companions"
cp "$site" "$companions/"
install -m 644 "$given/kit/sites/wire.json" "$given/kit/sites/unlock.txt" "$companions/"
sed "s/\"backend\.local\"/\"$variant.local\"/" "$given/kit/sites/real.json" > "$companions/real.json"
cd "$root"
exec "$given/kit/more/mass/bin/lbreal" score "deploy/sites/companions/$variant/$variant.toml" "$@"
