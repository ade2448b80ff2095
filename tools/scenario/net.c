/* Lua functions for HTTP requests, raw TCP exchanges and SHA-256 digests. */

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

/* HTTP */

static size_t on_http_body(char *body_part, size_t size, size_t count, void *response)
{
	g_string_append_len(response, body_part, (gssize)(size * count));
	return size * count;
}

/*
 * http(method, url, body, header) -> status, body. The status is 0 if the request failed. It blocks
 * the loop until the response or HTTP_TIMEOUT_MS, so it is for short requests only.
 */
static int api_http(lua_State *state)
{
	CURL *curl = curl_easy_init();
	struct curl_slist *headers = NULL;
	const char *body = luaL_optstring(state, 3, NULL);
	const char *header = luaL_optstring(state, 4, NULL);
	GString *response = g_string_new(NULL);
	long status = 0;
	CURLcode result;

	if (header)
		headers = curl_slist_append(headers, header);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, luaL_checkstring(state, 1));
	curl_easy_setopt(curl, CURLOPT_URL, luaL_checkstring(state, 2));
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, HTTP_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_http_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	if (body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	result = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	lua_pushinteger(state, result == CURLE_OK ? status : 0);
	lua_pushlstring(state, response->str, response->len);
	g_string_free(response, TRUE);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	return 2;
}

/* Raw TCP exchange: sends a request as given and collects the bytes of the response */

typedef struct exchange {
	int fd;
	ev_io io;
	ev_timer idle_timer;
	fiber_t *waiter;
	GString *request;
	size_t sent_length;
	GString *response;
	double idle_timeout_s;
} exchange_t;

static void exchange_finish(exchange_t *exchange, bool peer_closed)
{
	fiber_t *waiter = exchange->waiter;

	ev_io_stop(scenario_loop, &exchange->io);
	ev_timer_stop(scenario_loop, &exchange->idle_timer);
	close(exchange->fd);
	lua_pushlstring(waiter->state, exchange->response->str, exchange->response->len);
	lua_pushboolean(waiter->state, peer_closed);
	g_string_free(exchange->request, TRUE);
	g_string_free(exchange->response, TRUE);
	g_free(exchange);
	fiber_resume(waiter, 2);
}

static void exchange_write_request(exchange_t *exchange)
{
	ssize_t length = send(exchange->fd, exchange->request->str + exchange->sent_length,
			      exchange->request->len - exchange->sent_length, MSG_NOSIGNAL);

	if (length > 0)
		exchange->sent_length += (size_t)length;
	if (exchange->sent_length == exchange->request->len) {
		ev_io_stop(scenario_loop, &exchange->io);
		ev_io_set(&exchange->io, exchange->fd, EV_READ);
		ev_io_start(scenario_loop, &exchange->io);
	}
}

static void on_exchange_io(struct ev_loop *loop, ev_io *watcher, int events)
{
	exchange_t *exchange = watcher->data;
	char buffer[16384];
	ssize_t length;

	ev_timer_again(loop, &exchange->idle_timer);
	if (events & EV_READ) {
		length = recv(exchange->fd, buffer, sizeof(buffer), 0);
		if (length > 0) {
			g_string_append_len(exchange->response, buffer, length);
		} else if (length == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
			exchange_finish(exchange, true);
			return;
		}
	}
	if (events & EV_WRITE)
		exchange_write_request(exchange);
}

static void on_exchange_idle(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	exchange_finish(watcher->data, false);
}

/*
 * raw(port, request, idle_ms) -> response, closed. Collects bytes until the peer closes the
 * connection (closed is true) or no byte was sent or received for idle_ms (closed is false).
 */
static int api_raw(lua_State *state)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				       .sin_port = htons((uint16_t)luaL_checkinteger(state, 1)) };
	size_t length;
	const char *request = luaL_checklstring(state, 2, &length);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	exchange_t *exchange;

	if (fd < 0 ||
	    (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0 && errno != EINPROGRESS))
		return luaL_error(state, "cannot connect to 127.0.0.1: %s", strerror(errno));
	exchange = g_new0(exchange_t, 1);
	exchange->idle_timeout_s = luaL_checknumber(state, 3) / 1000.0;
	exchange->fd = fd;
	exchange->request = g_string_new_len(request, (gssize)length);
	exchange->response = g_string_new(NULL);
	exchange->waiter = fiber_get_current(state);
	ev_io_init(&exchange->io, on_exchange_io, exchange->fd, EV_READ | EV_WRITE);
	exchange->io.data = exchange;
	ev_io_start(scenario_loop, &exchange->io);
	ev_timer_init(&exchange->idle_timer, on_exchange_idle, 0, exchange->idle_timeout_s);
	exchange->idle_timer.data = exchange;
	ev_timer_again(scenario_loop, &exchange->idle_timer);
	return fiber_wait(exchange->waiter);
}

/* Digests */

/* sha256(text) -> digest in lower-case hexadecimal */
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

void net_register_api(lua_State *state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	lua_pushglobaltable(state);
	luaL_setfuncs(state, net_functions, 0);
	lua_pop(state, 1);
}
