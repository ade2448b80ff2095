/* Cancel requests of the owner, each sent on a socket of its own from the event loop. The
 * connections whose statements they cancel are in owner_conn.c. The database closes the socket once
 * it has handled the request.
 */
#include "internal/owner.h"

#include "jh_v3.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* Maximum time from connecting until the database closes the socket, in seconds. */
#define CANCEL_TIMEOUT_S 2.0

typedef struct cancel {
	_jh_owner_t *owner;
	GByteArray *bytes;
	ev_io io;
	ev_timer timeout;
} cancel_t;

void _jh_cancel_free(void *data)
{
	cancel_t *cancel = data;
	struct ev_loop *loop = jh_task_loop(cancel->owner->task);

	ev_io_stop(loop, &cancel->io);
	ev_timer_stop(loop, &cancel->timeout);
	close(cancel->io.fd);
	g_byte_array_free(cancel->bytes, TRUE);
	g_free(cancel);
}

static void remove_cancel(cancel_t *cancel)
{
	/* The array calls _jh_cancel_free() for the removed element. */
	g_ptr_array_remove(cancel->owner->cancels, cancel);
}

static void on_io(struct ev_loop *loop, ev_io *watcher, int events)
{
	cancel_t *cancel = watcher->data;
	char reply_byte;
	ssize_t count;

	if (events & EV_READ) {
		count = recv(watcher->fd, &reply_byte, 1, 0);
		if (count >= 0 || (errno != EAGAIN && errno != EINTR))
			remove_cancel(cancel);
		return;
	}
	/* The 16 bytes of the request always fit into the send buffer of a new socket. */
	count = send(watcher->fd, cancel->bytes->data, cancel->bytes->len, MSG_NOSIGNAL);
	if (count < 0) {
		remove_cancel(cancel);
		return;
	}
	ev_io_stop(loop, watcher);
	ev_io_set(watcher, watcher->fd, EV_READ);
	ev_io_start(loop, watcher);
}

static void on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	remove_cancel(watcher->data);
}

static int connect_socket(const char *host, uint16_t port)
{
	struct sockaddr_in v4 = { .sin_family = AF_INET, .sin_port = htons(port) };
	struct sockaddr_in6 v6 = { .sin6_family = AF_INET6, .sin6_port = htons(port) };
	bool is_v4 = inet_pton(AF_INET, host, &v4.sin_addr) == 1;
	int fd = socket(is_v4 ? AF_INET : AF_INET6, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int result;

	if (fd < 0)
		return -1;
	if (!is_v4)
		inet_pton(AF_INET6, host, &v6.sin6_addr);
	result = is_v4 ? connect(fd, (struct sockaddr *)&v4, sizeof(v4)) :
			 connect(fd, (struct sockaddr *)&v6, sizeof(v6));
	if (result < 0 && errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

void _jh_cancel_send(_jh_owner_t *owner, const char *host, uint16_t port, uint32_t pid,
		     uint32_t secret)
{
	struct ev_loop *loop = jh_task_loop(owner->task);
	int fd = connect_socket(host, port);
	cancel_t *cancel;

	if (fd < 0)
		return;
	cancel = g_new0(cancel_t, 1);
	cancel->owner = owner;
	cancel->bytes = g_byte_array_new();
	jh_v3_write_cancel(cancel->bytes, pid, secret);
	ev_io_init(&cancel->io, on_io, fd, EV_WRITE);
	ev_timer_init(&cancel->timeout, on_timeout, CANCEL_TIMEOUT_S, 0);
	cancel->io.data = cancel;
	cancel->timeout.data = cancel;
	ev_io_start(loop, &cancel->io);
	ev_timer_start(loop, &cancel->timeout);
	g_ptr_array_add(owner->cancels, cancel);
}
