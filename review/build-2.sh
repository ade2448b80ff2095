#!/bin/sh
# Builds what the scripts of review/6 to review/9 start beside the daemon: the project's scenario
# tool and stand-in of the platform, and the programs of review/support-2. Run it after the build of
# deploy/system.toml; everything goes to target/review-2.
set -e
cd "$(dirname "$0")/.."
cmake -S . -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j8 --target scenario standin_rows
cc -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -Werror -o target/review-2/bin/member_proxy \
	review/support-2/member_proxy.c
cc -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -Werror -o target/review-2/bin/flood review/support-2/flood.c
cc -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -Werror -o target/review-2/bin/prepare review/support-2/prepare.c
cc -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -Werror -o target/review-2/bin/sync_members \
	review/support-2/sync_members.c
