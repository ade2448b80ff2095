/* Links of the peer task: sockets, the handshake, and reading and writing of frames.
 *
 * The handshake is a mutual challenge-response authentication with a shared key. The side that
 * dialled sends a Hello with its VM name, its boot id and a random nonce, and the other side sends
 * the same. The dialling side then authenticates first, by a Hello with a MAC over both nonces,
 * names and boot ids. Only after that MAC is verified does the other side send its own.
 *
 * The input of a MAC begins with the sender's name, so that a MAC can't be reflected to the side
 * that computed it. A client without the key gets only the name and the boot id of this VM. The MAC
 * authenticates both ends at the start of the connection. Later frames are not authenticated: the
 * network between the VMs is trusted not to alter them.
 */
#include "internal/peer.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_socket.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

/* Longest frame accepted before the peer is authenticated. */
#define HELLO_MAX_BYTES 1024u
#define READ_CHUNK_BYTES (64u * 1024)
/* Room for an incomplete frame of the greatest length and for one more read. */
#define RECEIVE_BUFFER_MAX_BYTES (JH_FRAME_MAX_BYTES + JH_FRAME_HEADER_BYTES + READ_CHUNK_BYTES)
#define FRAMES_PER_WRITE_MAX 64
/* A connection fails if sent bytes stay unacknowledged for this long. */
#define TCP_USER_TIMEOUT_MS 5000

JH_COUNTER(frames_in_total, "jasminehill_peer_frames_in_total", "frames received from peers");
JH_COUNTER(frames_out_total, "jasminehill_peer_frames_out_total", "frames written to peers");
JH_COUNTER(bytes_in_total, "jasminehill_peer_bytes_in_total", "bytes received from peers");
JH_COUNTER(bytes_out_total, "jasminehill_peer_bytes_out_total", "bytes written to peers");
JH_COUNTER(links_refused_total, "jasminehill_peer_links_refused_total",
	   "connections closed before the other side proved to be a peer");

/* ---- Outgoing frames ---- */

_jh_out_frame_t *_jh_out_frame_new(Jh__Frame *frame)
{
	_jh_out_frame_t *out_frame = g_new0(_jh_out_frame_t, 1);

	frame->hlc = jh_hlc_now();
	if (frame->body_case == JH__FRAME__BODY_REQUEST) {
		out_frame->request_id = frame->request->id;
		out_frame->attempt = frame->request->attempt;
	} else if (frame->body_case == JH__FRAME__BODY_STATEMENT) {
		out_frame->statement_id = frame->statement->id;
	}
	out_frame->bytes = g_byte_array_new();
	jh_frame_pack(frame, out_frame->bytes);
	jh_frame_free(frame);
	return out_frame;
}

void _jh_out_frame_free(void *data)
{
	_jh_out_frame_t *out_frame = data;

	g_byte_array_free(out_frame->bytes, TRUE);
	g_free(out_frame);
}

void _jh_link_send(_jh_link_t *link, _jh_out_frame_t *out_frame)
{
	g_queue_push_tail(&link->out, out_frame);
	link->out_bytes += out_frame->bytes->len;
	if (link->state != JH_LINK_CONNECTING)
		ev_io_start(jh_task_loop(link->peers->task), &link->write);
}

/* ---- Handshake ---- */

static void mac_add_text(crypto_auth_hmacsha512256_state *state, const char *text)
{
	/* The NUL byte is included, so that the boundary between two names is unambiguous. */
	crypto_auth_hmacsha512256_update(state, (const uint8_t *)text, strlen(text) + 1);
}

/* Computes the MAC of this side's Hello, or if @is_own is false, of the peer's Hello. */
static void mac_compute(const _jh_link_t *link, bool is_own, uint8_t *mac)
{
	const jh_kernel_t *kernel = jh_task_kernel(link->peers->task);
	const char *own_name = jh_kernel_settings(kernel)->vm;
	uint64_t boots[2] = { GUINT64_TO_BE(jh_kernel_boot(kernel)), GUINT64_TO_BE(link->boot) };
	crypto_auth_hmacsha512256_state state;

	crypto_auth_hmacsha512256_init(&state, link->peers->key, sizeof(link->peers->key));
	mac_add_text(&state, is_own ? own_name : link->vm);
	mac_add_text(&state, is_own ? link->vm : own_name);
	crypto_auth_hmacsha512256_update(&state, (const uint8_t *)&boots[is_own ? 0 : 1],
					 sizeof(boots[0]));
	crypto_auth_hmacsha512256_update(&state, (const uint8_t *)&boots[is_own ? 1 : 0],
					 sizeof(boots[0]));
	crypto_auth_hmacsha512256_update(&state, is_own ? link->nonce : link->peer_nonce,
					 sizeof(link->nonce));
	crypto_auth_hmacsha512256_update(&state, is_own ? link->peer_nonce : link->nonce,
					 sizeof(link->nonce));
	crypto_auth_hmacsha512256_final(&state, mac);
}

static void field_set_bytes(ProtobufCBinaryData *field, const uint8_t *bytes, size_t length)
{
	field->data = g_memdup2(bytes, length);
	field->len = length;
}

static void send_hello(_jh_link_t *link, bool with_mac)
{
	const jh_kernel_t *kernel = jh_task_kernel(link->peers->task);
	const jh_settings_t *settings = jh_kernel_settings(kernel);
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_HELLO);
	uint8_t mac[crypto_auth_BYTES];

	frame->hello->vm = jh_frame_strdup(settings->vm);
	frame->hello->dc = jh_frame_strdup(settings->dc);
	frame->hello->boot = jh_kernel_boot(kernel);
	field_set_bytes(&frame->hello->nonce, link->nonce, sizeof(link->nonce));
	if (with_mac) {
		mac_compute(link, true, mac);
		field_set_bytes(&frame->hello->mac, mac, sizeof(mac));
	}
	_jh_link_send(link, _jh_out_frame_new(frame));
}

/* Checks the peer's first Hello and sends this side's next one. */
static int handle_first_hello(_jh_link_t *link, const Jh__Hello *hello, jh_error_t *err)
{
	const jh_kernel_t *kernel = jh_task_kernel(link->peers->task);

	if (hello->nonce.len != sizeof(link->peer_nonce) || hello->mac.len != 0 ||
	    hello->boot == 0 || !hello->vm || !*hello->vm)
		return jh_error_set(err, JH_ERR_PROTOCOL, "the first Hello frame is malformed");
	if (g_str_equal(hello->vm, jh_kernel_settings(kernel)->vm))
		return jh_error_set(err, JH_ERR_DENIED, "the peer claims the name of this VM");
	if (link->vm && !g_str_equal(hello->vm, link->vm))
		return jh_error_set(err, JH_ERR_DENIED,
				    "another VM responds at the address of VM %s", link->vm);
	/* Interned strings are never freed, so a name is interned only once it is authenticated. */
	g_assert(link->is_dialled == (link->vm != NULL));
	if (!link->vm)
		link->vm = g_strdup(hello->vm);
	link->boot = hello->boot;
	memcpy(link->peer_nonce, hello->nonce.data, sizeof(link->peer_nonce));
	link->state = JH_LINK_AWAITING_PROOF;
	send_hello(link, link->is_dialled);
	return 0;
}

/* Verifies the MAC of the peer's second Hello, after which the link is established. */
static int handle_second_hello(_jh_link_t *link, const Jh__Hello *hello, jh_error_t *err)
{
	uint8_t mac[crypto_auth_BYTES];
	const char *claimed_name = link->vm;

	mac_compute(link, false, mac);
	if (hello->mac.len != sizeof(mac) || sodium_memcmp(hello->mac.data, mac, sizeof(mac)) != 0)
		return jh_error_set(err, JH_ERR_DENIED, "the MAC of the Hello frame is wrong");
	link->state = JH_LINK_ESTABLISHED;
	ev_timer_stop(jh_task_loop(link->peers->task), &link->handshake_timer);
	if (!link->is_dialled) {
		link->vm = g_intern_string(claimed_name);
		g_free((char *)claimed_name);
		send_hello(link, true);
	}
	_jh_peer_on_established(link);
	return 0;
}

/* A Hello on an established link is the last frame that the peer sends there. */
static int handle_last_hello(_jh_link_t *link)
{
	link->last_frame_received = true;
	if (!link->last_frame_queued)
		_jh_link_retire(link);
	return 0;
}

void _jh_link_retire(_jh_link_t *link)
{
	g_assert(link->state == JH_LINK_ESTABLISHED);
	if (link->last_frame_queued)
		return;
	link->last_frame_queued = true;
	send_hello(link, false);
}

/* ---- Receiving ---- */

static int handle_frame(_jh_link_t *link, Jh__Frame *frame, jh_error_t *err)
{
	bool is_hello = frame->body_case == JH__FRAME__BODY_HELLO;
	int result = -1;

	if (link->state == JH_LINK_ESTABLISHED && !is_hello) {
		if (link->last_frame_received || frame->body_case == JH__FRAME__BODY__NOT_SET) {
			jh_frame_free(frame);
			return jh_error_set(err, JH_ERR_PROTOCOL,
					    "a frame of an unknown kind, or after the last frame");
		}
		jh_counter_add(&frames_in_total, 1);
		jh_hlc_observe(frame->hlc);
		jh_frame_deliver(link->peers->task, link->vm, link->boot, frame);
		return 0;
	}
	if (!is_hello)
		jh_error_set(err, JH_ERR_PROTOCOL,
			     "a frame of another kind arrived before the Hello frame");
	else if (link->state == JH_LINK_AWAITING_HELLO)
		result = handle_first_hello(link, frame->hello, err);
	else if (link->state == JH_LINK_AWAITING_PROOF)
		result = handle_second_hello(link, frame->hello, err);
	else
		result = handle_last_hello(link);
	jh_frame_free(frame);
	return result;
}

/* Bounds the memory that a client can occupy before it is authenticated. */
static int check_hello_length(const _jh_link_t *link, size_t start, jh_error_t *err)
{
	uint32_t length;

	if (link->state == JH_LINK_ESTABLISHED || link->in->len - start < sizeof(length))
		return 0;
	memcpy(&length, link->in->data + start, sizeof(length));
	if (GUINT32_FROM_BE(length) > HELLO_MAX_BYTES)
		return jh_error_set(err, JH_ERR_PROTOCOL, "a Hello frame of %u bytes is too long",
				    GUINT32_FROM_BE(length));
	return 0;
}

static int handle_received_frames(_jh_link_t *link, jh_error_t *err)
{
	size_t start = 0;
	int result = 0;

	while (result == 0) {
		Jh__Frame *frame = NULL;
		size_t frame_bytes = 0;

		result = check_hello_length(link, start, err);
		if (result == 0)
			result = jh_frame_unpack(link->in->data + start, link->in->len - start,
						 &frame_bytes, &frame, err);
		if (result < 0 || !frame)
			break;
		start += frame_bytes;
		result = handle_frame(link, frame, err);
	}
	g_byte_array_remove_range(link->in, 0, (guint)start);
	return result;
}

/* Returns the number of bytes read, 0 at the end of the stream or if none are available, or -1. */
static ssize_t receive_bytes(_jh_link_t *link, bool *is_closed_by_peer, jh_error_t *err)
{
	guint length = link->in->len;
	ssize_t count;

	*is_closed_by_peer = false;
	if (length > RECEIVE_BUFFER_MAX_BYTES)
		return jh_error_set(err, JH_ERR_PROTOCOL,
				    "too many received bytes are not handled yet");
	g_byte_array_set_size(link->in, length + READ_CHUNK_BYTES);
	count = recv(link->read.fd, link->in->data + length, READ_CHUNK_BYTES, 0);
	g_byte_array_set_size(link->in, length + (count > 0 ? (guint)count : 0));
	if (count == 0)
		*is_closed_by_peer = true;
	if (count < 0 && errno != EAGAIN && errno != EINTR)
		return jh_error_set(err, JH_ERR_UNAVAILABLE, "can't read from the socket: %s",
				    g_strerror(errno));
	return count > 0 ? count : 0;
}

/* ---- Closing ---- */

void _jh_link_free(_jh_link_t *link)
{
	struct ev_loop *loop = jh_task_loop(link->peers->task);
	_jh_out_frame_t *out_frame;

	ev_io_stop(loop, &link->read);
	ev_io_stop(loop, &link->write);
	ev_timer_stop(loop, &link->handshake_timer);
	close(link->read.fd);
	while ((out_frame = g_queue_pop_head(&link->out)))
		_jh_out_frame_free(out_frame);
	g_byte_array_free(link->in, TRUE);
	if (!link->is_dialled && link->state != JH_LINK_ESTABLISHED)
		g_free((char *)link->vm);
	g_ptr_array_remove_fast(link->peers->links, link);
	g_free(link);
}

/* Logs why a link ends, notifies the peer's state and frees the link. */
static void link_end(_jh_link_t *link, bool is_clean, const jh_error_t *err)
{
	if (link->state != JH_LINK_ESTABLISHED && !link->is_dialled)
		jh_counter_add(&links_refused_total, 1);
	if (!is_clean)
		jh_log(JH_LOG_INFO, "peer", "link_ended", "vm=%s proved=%d reason=%s",
		       jh_log_value(link->vm ? link->vm : ""), link->state == JH_LINK_ESTABLISHED,
		       jh_log_value(err->code ? err->message : "the peer closed the connection"));
	_jh_peer_on_link_ended(link, is_clean);
	_jh_link_free(link);
}

/* True if a retired link can be closed: both sides sent their last frames. */
static bool link_is_finished(const _jh_link_t *link)
{
	return link->last_frame_queued && link->last_frame_received && link->out.length == 0;
}

/* ---- Events of the loop ---- */

static void on_read(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_link_t *link = watcher->data;
	jh_error_t err = JH_ERROR_INIT;
	bool is_closed_by_peer;
	ssize_t count = receive_bytes(link, &is_closed_by_peer, &err);

	(void)loop;
	(void)events;
	if (count > 0)
		jh_counter_add(&bytes_in_total, count);
	if (count < 0 || handle_received_frames(link, &err) < 0)
		link_end(link, false, &err);
	else if (link_is_finished(link))
		link_end(link, true, &err);
	else if (is_closed_by_peer)
		link_end(link, link->last_frame_received && link->out.length == 0, &err);
	jh_error_clear(&err);
}

/* Removes the first @count bytes, which were written, from the queue of outgoing frames. */
static void out_remove_written(_jh_link_t *link, size_t count)
{
	link->out_bytes -= count;
	while (count > 0) {
		_jh_out_frame_t *head = g_queue_peek_head(&link->out);
		size_t remaining = head->bytes->len - head->offset;

		if (count < remaining) {
			head->offset += count;
			return;
		}
		count -= remaining;
		jh_counter_add(&frames_out_total, 1);
		_jh_out_frame_free(g_queue_pop_head(&link->out));
	}
}

static int write_out(_jh_link_t *link, jh_error_t *err)
{
	struct iovec buffers[FRAMES_PER_WRITE_MAX];
	struct msghdr message = { .msg_iov = buffers };
	GList *item;
	ssize_t count;

	for (item = link->out.head; item && message.msg_iovlen < FRAMES_PER_WRITE_MAX;
	     item = item->next) {
		const _jh_out_frame_t *out_frame = item->data;

		buffers[message.msg_iovlen].iov_base = out_frame->bytes->data + out_frame->offset;
		buffers[message.msg_iovlen].iov_len = out_frame->bytes->len - out_frame->offset;
		message.msg_iovlen++;
	}
	count = sendmsg(link->write.fd, &message, MSG_NOSIGNAL);
	if (count < 0 && errno != EAGAIN && errno != EINTR)
		return jh_error_set(err, JH_ERR_UNAVAILABLE, "can't write to the socket: %s",
				    g_strerror(errno));
	if (count > 0) {
		jh_counter_add(&bytes_out_total, count);
		out_remove_written(link, (size_t)count);
	}
	return 0;
}

/* The TCP connection is open, or could not be opened. */
static int finish_connect(_jh_link_t *link, jh_error_t *err)
{
	int code = 0;
	socklen_t length = sizeof(code);

	if (getsockopt(link->write.fd, SOL_SOCKET, SO_ERROR, &code, &length) < 0)
		code = errno;
	if (code != 0)
		return jh_error_set(err, JH_ERR_UNAVAILABLE, "can't connect: %s", g_strerror(code));
	link->state = JH_LINK_AWAITING_HELLO;
	ev_io_start(jh_task_loop(link->peers->task), &link->read);
	send_hello(link, false);
	return 0;
}

static void on_write(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_link_t *link = watcher->data;
	jh_error_t err = JH_ERROR_INIT;
	int result = 0;

	(void)events;
	if (link->state == JH_LINK_CONNECTING)
		result = finish_connect(link, &err);
	if (result == 0 && link->out.length > 0)
		result = write_out(link, &err);
	if (result < 0)
		link_end(link, false, &err);
	else if (link_is_finished(link))
		link_end(link, true, &err);
	else if (link->out.length == 0)
		ev_io_stop(loop, &link->write);
	jh_error_clear(&err);
}

static void on_handshake_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
	jh_error_t err = JH_ERROR_INIT;

	(void)loop;
	(void)events;
	jh_error_set(&err, JH_ERR_UNAVAILABLE, "the handshake timed out");
	link_end(watcher->data, false, &err);
	jh_error_clear(&err);
}

/* ---- Opening ---- */

static _jh_link_t *link_new(_jh_peers_t *peers, int fd, _jh_link_state_t state)
{
	static const jh_keepalive_t keepalive = { .user_timeout_ms = TCP_USER_TIMEOUT_MS };
	struct ev_loop *loop = jh_task_loop(peers->task);
	_jh_link_t *link = g_new0(_jh_link_t, 1);

	jh_socket_set_options(fd, &keepalive);
	link->peers = peers;
	link->state = state;
	link->in = g_byte_array_new();
	g_queue_init(&link->out);
	randombytes_buf(link->nonce, sizeof(link->nonce));
	ev_io_init(&link->read, on_read, fd, EV_READ);
	ev_io_init(&link->write, on_write, fd, EV_WRITE);
	ev_timer_init(&link->handshake_timer, on_handshake_timeout, JH_PEER_HANDSHAKE_TIMEOUT_S, 0);
	link->read.data = link;
	link->write.data = link;
	link->handshake_timer.data = link;
	ev_timer_start(loop, &link->handshake_timer);
	if (state == JH_LINK_CONNECTING)
		ev_io_start(loop, &link->write);
	else
		ev_io_start(loop, &link->read);
	g_ptr_array_add(peers->links, link);
	return link;
}

void _jh_link_accept(_jh_peers_t *peers, int fd)
{
	link_new(peers, fd, JH_LINK_AWAITING_HELLO);
}

_jh_link_t *_jh_link_dial(_jh_peers_t *peers, _jh_peer_t *peer, const char *host, uint16_t port,
			  jh_error_t *err)
{
	int fd = jh_socket_connect(host, port, err);
	_jh_link_t *link;

	if (fd < 0)
		return NULL;
	link = link_new(peers, fd, JH_LINK_CONNECTING);
	link->is_dialled = true;
	link->peer = peer;
	return link;
}
