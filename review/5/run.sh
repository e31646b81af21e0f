#!/bin/sh
# Plays the case once: exit status 1 if the rule was broken, 0 if it held, 2 if it could not
# run. TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and
# review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/standin ] && [ -x target/sassafraslug-host ] || exit 2
trouble=true
[ "$TROUBLE" = 0 ] && trouble=false
exec target/standin -case error-end -trouble=$trouble -record "$here/record.txt"
