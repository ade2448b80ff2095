#!/bin/sh
# Builds what the scripts of review/11 to 15 start beside the daemon: the project's own scenario tool
# and store of rows, into target/, and the stand-ins of review/support-3.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j8 --target jasminehilld scenario standin_rows standin_relay >/dev/null
mkdir -p target/review-3
cc -O2 -D_GNU_SOURCE -pthread -o target/review-3/member review/support-3/member.c
cc -O2 -D_GNU_SOURCE -o target/review-3/sync_members review/support-2/sync_members.c
# shellcheck disable=SC2046
cc -O2 -D_GNU_SOURCE -pthread -Iinclude $(pkg-config --cflags glib-2.0 jansson libprotobuf-c) \
	-o target/review-3/network review/support-3/network.c protocol/peer.pb-c.c \
	$(pkg-config --libs glib-2.0 jansson libprotobuf-c)
echo "build-3: done"
