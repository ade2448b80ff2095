/* HTTP requests to the platform stand-in, raw bytes to any port, and digests. */

#include "scenario.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HTTP_TIMEOUT_MS 10000L

/* ---- HTTP ---- */

static size_t on_body(char *data, size_t size, size_t count, void *out)
{
	g_string_append_len(out, data, (gssize)(size * count));
	return size * count;
}

/* http(method, url, body, header) -> status, body; blocks the loop, for short requests only */
static int api_http(lua_State *state)
{
	CURL *curl = curl_easy_init();
	struct curl_slist *headers = NULL;
	const char *body = luaL_optstring(state, 3, NULL);
	const char *header = luaL_optstring(state, 4, NULL);
	GString *answer = g_string_new(NULL);
	long status = 0;
	CURLcode code;

	if (header)
		headers = curl_slist_append(headers, header);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, luaL_checkstring(state, 1));
	curl_easy_setopt(curl, CURLOPT_URL, luaL_checkstring(state, 2));
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, HTTP_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	if (body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	lua_pushinteger(state, code == CURLE_OK ? status : 0);
	lua_pushlstring(state, answer->str, answer->len);
	g_string_free(answer, TRUE);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	return 2;
}

/* ---- raw bytes ---- */

typedef struct raw {
	int fd;
	ev_io io;
	ev_timer quiet;
	fiber_t *waiter;
	GString *bytes;
	size_t sent;
	GString *answer;
	double quiet_s;
} raw_t;

static void raw_finish(raw_t *raw, bool closed)
{
	fiber_t *waiter = raw->waiter;

	ev_io_stop(scenario_loop, &raw->io);
	ev_timer_stop(scenario_loop, &raw->quiet);
	close(raw->fd);
	lua_pushlstring(waiter->state, raw->answer->str, raw->answer->len);
	lua_pushboolean(waiter->state, closed);
	g_string_free(raw->bytes, TRUE);
	g_string_free(raw->answer, TRUE);
	g_free(raw);
	fiber_resume(waiter, 2);
}

static void raw_write(raw_t *raw)
{
	ssize_t count = send(raw->fd, raw->bytes->str + raw->sent, raw->bytes->len - raw->sent,
			     MSG_NOSIGNAL);

	if (count > 0)
		raw->sent += (size_t)count;
	if (raw->sent == raw->bytes->len) {
		ev_io_stop(scenario_loop, &raw->io);
		ev_io_set(&raw->io, raw->fd, EV_READ);
		ev_io_start(scenario_loop, &raw->io);
	}
}

static void on_raw(struct ev_loop *loop, ev_io *watcher, int events)
{
	raw_t *raw = watcher->data;
	char buffer[16384];
	ssize_t count;

	ev_timer_again(loop, &raw->quiet);
	if (events & EV_READ) {
		count = recv(raw->fd, buffer, sizeof(buffer), 0);
		if (count > 0) {
			g_string_append_len(raw->answer, buffer, count);
		} else if (count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
			raw_finish(raw, true);
			return;
		}
	}
	if (events & EV_WRITE)
		raw_write(raw);
}

static void on_raw_quiet(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	raw_finish(watcher->data, false);
}

/* raw(port, bytes, quiet_ms) -> answer, closed: until the peer closes or is silent that long */
static int api_raw(lua_State *state)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				       .sin_port = htons((uint16_t)luaL_checkinteger(state, 1)) };
	size_t length;
	const char *bytes = luaL_checklstring(state, 2, &length);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	raw_t *raw;

	if (fd < 0 ||
	    (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0 && errno != EINPROGRESS))
		return luaL_error(state, "connect: %s", strerror(errno));
	raw = g_new0(raw_t, 1);
	raw->quiet_s = luaL_checknumber(state, 3) / 1000.0;
	raw->fd = fd;
	raw->bytes = g_string_new_len(bytes, (gssize)length);
	raw->answer = g_string_new(NULL);
	raw->waiter = fiber_current(state);
	ev_io_init(&raw->io, on_raw, raw->fd, EV_READ | EV_WRITE);
	raw->io.data = raw;
	ev_io_start(scenario_loop, &raw->io);
	ev_timer_init(&raw->quiet, on_raw_quiet, 0, raw->quiet_s);
	raw->quiet.data = raw;
	ev_timer_again(scenario_loop, &raw->quiet);
	return fiber_wait(raw->waiter);
}

/* ---- digests ---- */

/* sha256(text) -> lower-case hex */
static int api_sha256(lua_State *state)
{
	unsigned char digest[crypto_hash_sha256_BYTES];
	char hex[sizeof(digest) * 2 + 1];
	size_t length;
	const char *text = luaL_checklstring(state, 1, &length);

	crypto_hash_sha256(digest, (const unsigned char *)text, length);
	sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
	lua_pushstring(state, hex);
	return 1;
}

static const luaL_Reg net_functions[] = {
	{ "http", api_http },
	{ "raw", api_raw },
	{ "sha256", api_sha256 },
	{ NULL, NULL },
};

void net_open(lua_State *state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	lua_pushglobaltable(state);
	luaL_setfuncs(state, net_functions, 0);
	lua_pop(state, 1);
}
