#include "internal/gateway.h"

#include "jh_counter.h"
#include "jh_histogram.h"
#include "jh_socket.h"
#include "jh_log.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * HTTP/1.1 server for the balancer's readiness probes and for GET /metrics. Each connection serves
 * one request.
 */

#define REQUEST_MAX_BYTES 4096u
#define PROBE_TIMEOUT_S 2.0

struct _jh_ready {
	_jh_gateway_t *gateway;
	ev_io accept;
	GPtrArray *probes;
};

typedef struct probe {
	struct _jh_ready *ready;
	int fd;
	ev_io read;
	ev_timer timer;
	GString *in;
} probe_t;

static void probe_free(void *data)
{
	probe_t *probe = data;
	struct ev_loop *loop = jh_task_loop(probe->ready->gateway->task);

	ev_io_stop(loop, &probe->read);
	ev_timer_stop(loop, &probe->timer);
	close(probe->fd);
	g_string_free(probe->in, TRUE);
	g_free(probe);
}

static void append_counter(const jh_counter_t *counter, void *data)
{
	g_string_append_printf(data, "# HELP %s %s\n%s %" G_GINT64_FORMAT "\n", counter->name,
			       counter->doc, counter->name, counter->value);
}

static void probe_respond(probe_t *probe)
{
	const _jh_gateway_t *gateway = probe->ready->gateway;
	bool is_metrics = strstr(probe->in->str, "/metrics ") != NULL;
	bool is_ok = is_metrics || _jh_gateway_is_ready(gateway);
	GString *body = g_string_new(is_metrics ? "" : is_ok ? "ready\n" : "not ready\n");
	GString *out;

	if (is_metrics) {
		jh_counter_foreach(append_counter, body);
		jh_histogram_write_all(body);
	}
	out = g_string_new(NULL);
	g_string_printf(out,
			"HTTP/1.1 %s\r\nContent-Type: text/plain\r\nContent-Length: %zu\r\n"
			"Connection: close\r\n\r\n%s",
			is_ok ? "200 OK" : "503 Service Unavailable", body->len, body->str);
	/* The response fits into the empty send buffer; a client that does not read it loses it. */
	if (send(probe->fd, out->str, out->len, MSG_NOSIGNAL) < 0)
		jh_log(JH_LOG_DEBUG, "gateway", "probe_not_answered", "reason=%s",
		       jh_log_value(g_strerror(errno)));
	g_string_free(out, TRUE);
	g_string_free(body, TRUE);
}

static void on_read(struct ev_loop *loop, ev_io *watcher, int events)
{
	probe_t *probe = watcher->data;
	char buffer[1024];
	ssize_t count = recv(probe->fd, buffer, sizeof(buffer), 0);

	(void)loop;
	(void)events;
	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count > 0) {
		g_string_append_len(probe->in, buffer, count);
		if (!strstr(probe->in->str, "\r\n\r\n") && probe->in->len < REQUEST_MAX_BYTES)
			return;
		probe_respond(probe);
	}
	g_ptr_array_remove_fast(probe->ready->probes, probe);
}

static void on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	probe_t *probe = timer->data;

	(void)loop;
	(void)events;
	g_ptr_array_remove_fast(probe->ready->probes, probe);
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct _jh_ready *ready = watcher->data;
	int fd = accept4(watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	probe_t *probe;

	(void)events;
	if (fd < 0)
		return;
	probe = g_new0(probe_t, 1);
	probe->ready = ready;
	probe->fd = fd;
	probe->in = g_string_new(NULL);
	ev_io_init(&probe->read, on_read, fd, EV_READ);
	ev_timer_init(&probe->timer, on_timeout, PROBE_TIMEOUT_S, 0);
	probe->read.data = probe;
	probe->timer.data = probe;
	ev_io_start(loop, &probe->read);
	ev_timer_start(loop, &probe->timer);
	g_ptr_array_add(ready->probes, probe);
}

struct _jh_ready *_jh_ready_new(_jh_gateway_t *gateway, jh_error_t *err)
{
	const jh_settings_t *settings = jh_kernel_settings(jh_task_kernel(gateway->task));
	int fd = jh_socket_listen(&settings->ready_listen, "ready port", err);
	struct _jh_ready *ready;

	if (fd < 0)
		return NULL;
	ready = g_new0(struct _jh_ready, 1);
	ready->gateway = gateway;
	ready->probes = g_ptr_array_new_with_free_func(probe_free);
	ev_io_init(&ready->accept, on_accept, fd, EV_READ);
	ready->accept.data = ready;
	ev_io_start(jh_task_loop(gateway->task), &ready->accept);
	return ready;
}

void _jh_ready_free(struct _jh_ready *ready)
{
	g_ptr_array_free(ready->probes, TRUE);
	ev_io_stop(jh_task_loop(ready->gateway->task), &ready->accept);
	close(ready->accept.fd);
	g_free(ready);
}
