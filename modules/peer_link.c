/* Links of the peer task: sockets, the handshake and frames.
 *
 * Handshake. The side that dialled sends Hello with its name, boot and a random nonce; the other
 * answers with its own. Then the dialling side proves itself first with a Hello that carries a MAC
 * over both nonces, names and boots, and only then the other does. The MAC's input begins with the
 * sender's name, so that a MAC can't be sent back to its maker. A stranger learns a VM's name and
 * boot, and gets nothing else. The MAC proves the ends at the start of a connection; the network
 * between the VMs is trusted not to alter connections later.
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

/* Longest frame before the other side is proved. */
#define HELLO_MAX_BYTES 1024u
#define READ_BYTES (64u * 1024)
/* A whole frame may wait while the next read arrives. */
#define IN_MAX_BYTES (JH_FRAME_MAX_BYTES + JH_FRAME_HEADER_BYTES + READ_BYTES)
#define WRITE_MAX_FRAMES 64
/* Unacknowledged bytes end a connection after this time, milliseconds. */
#define USER_TIMEOUT_MS 5000

JH_COUNTER(frames_in_total, "jasminehill_peer_frames_in_total", "frames received from peers");
JH_COUNTER(frames_out_total, "jasminehill_peer_frames_out_total", "frames written to peers");
JH_COUNTER(bytes_in_total, "jasminehill_peer_bytes_in_total", "bytes received from peers");
JH_COUNTER(bytes_out_total, "jasminehill_peer_bytes_out_total", "bytes written to peers");
JH_COUNTER(refused_total, "jasminehill_peer_links_refused_total",
	   "connections closed before the other side proved to be a peer");

/* ---- outgoing frames ---- */

_jh_outgoing_t *_jh_outgoing_new(Jh__Frame *frame)
{
	_jh_outgoing_t *outgoing = g_new0(_jh_outgoing_t, 1);

	frame->hlc = jh_hlc_now();
	if (frame->body_case == JH__FRAME__BODY_REQUEST) {
		outgoing->request_id = frame->request->id;
		outgoing->attempt = frame->request->attempt;
	}
	outgoing->bytes = g_byte_array_new();
	jh_frame_pack(frame, outgoing->bytes);
	jh_frame_free(frame);
	return outgoing;
}

void _jh_outgoing_free(void *data)
{
	_jh_outgoing_t *outgoing = data;

	g_byte_array_free(outgoing->bytes, TRUE);
	g_free(outgoing);
}

void _jh_link_send(_jh_link_t *link, _jh_outgoing_t *outgoing)
{
	g_queue_push_tail(&link->out, outgoing);
	link->out_bytes += outgoing->bytes->len;
	if (link->state != JH_LINK_CONNECTING)
		ev_io_start(jh_task_loop(link->peers->task), &link->write);
}

/* ---- handshake ---- */

static void hash_text(crypto_auth_hmacsha512256_state *state, const char *text)
{
	/* With its end, so that two names can't be cut in another place. */
	crypto_auth_hmacsha512256_update(state, (const uint8_t *)text, strlen(text) + 1);
}

static void mac_make(const _jh_link_t *link, bool ours, uint8_t *mac)
{
	const jh_kernel_t *kernel = jh_task_kernel(link->peers->task);
	const char *own = jh_kernel_settings(kernel)->vm;
	uint64_t boots[2] = { GUINT64_TO_BE(jh_kernel_boot(kernel)), GUINT64_TO_BE(link->boot) };
	crypto_auth_hmacsha512256_state state;

	crypto_auth_hmacsha512256_init(&state, link->peers->key, sizeof(link->peers->key));
	hash_text(&state, ours ? own : link->vm);
	hash_text(&state, ours ? link->vm : own);
	crypto_auth_hmacsha512256_update(&state, (const uint8_t *)&boots[ours ? 0 : 1],
					 sizeof(boots[0]));
	crypto_auth_hmacsha512256_update(&state, (const uint8_t *)&boots[ours ? 1 : 0],
					 sizeof(boots[0]));
	crypto_auth_hmacsha512256_update(&state, ours ? link->nonce : link->their_nonce,
					 sizeof(link->nonce));
	crypto_auth_hmacsha512256_update(&state, ours ? link->their_nonce : link->nonce,
					 sizeof(link->nonce));
	crypto_auth_hmacsha512256_final(&state, mac);
}

static void bytes_set(ProtobufCBinaryData *field, const uint8_t *bytes, size_t length)
{
	field->data = g_memdup2(bytes, length);
	field->len = length;
}

static void hello_send(_jh_link_t *link, bool with_mac)
{
	const jh_kernel_t *kernel = jh_task_kernel(link->peers->task);
	const jh_settings_t *settings = jh_kernel_settings(kernel);
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_HELLO);
	uint8_t mac[crypto_auth_BYTES];

	frame->hello->vm = jh_strdup(settings->vm);
	frame->hello->dc = jh_strdup(settings->dc);
	frame->hello->boot = jh_kernel_boot(kernel);
	bytes_set(&frame->hello->nonce, link->nonce, sizeof(link->nonce));
	if (with_mac) {
		mac_make(link, true, mac);
		bytes_set(&frame->hello->mac, mac, sizeof(mac));
	}
	_jh_link_send(link, _jh_outgoing_new(frame));
}

static int hello_take_name(_jh_link_t *link, const Jh__Hello *hello, jh_error_t *err)
{
	const jh_kernel_t *kernel = jh_task_kernel(link->peers->task);

	if (hello->nonce.len != sizeof(link->their_nonce) || hello->mac.len != 0 ||
	    hello->boot == 0 || !hello->vm || !*hello->vm)
		return jh_error_set(err, JH_ERR_PROTOCOL, "the first hello is malformed");
	if (g_str_equal(hello->vm, jh_kernel_settings(kernel)->vm))
		return jh_error_set(err, JH_ERR_DENIED, "the other side has this VM's name");
	if (link->vm && !g_str_equal(hello->vm, link->vm))
		return jh_error_set(err, JH_ERR_DENIED, "another VM answers at the address of %s",
				    link->vm);
	/* Not interned before it is proved: strangers must not fill the table. */
	g_assert(link->dialled == (link->vm != NULL));
	if (!link->vm)
		link->vm = g_strdup(hello->vm);
	link->boot = hello->boot;
	memcpy(link->their_nonce, hello->nonce.data, sizeof(link->their_nonce));
	link->state = JH_LINK_PROOF;
	hello_send(link, link->dialled);
	return 0;
}

static int hello_take_proof(_jh_link_t *link, const Jh__Hello *hello, jh_error_t *err)
{
	uint8_t mac[crypto_auth_BYTES];
	const char *claimed = link->vm;

	mac_make(link, false, mac);
	if (hello->mac.len != sizeof(mac) || sodium_memcmp(hello->mac.data, mac, sizeof(mac)) != 0)
		return jh_error_set(err, JH_ERR_DENIED, "the MAC of the hello is wrong");
	link->state = JH_LINK_ESTABLISHED;
	ev_timer_stop(jh_task_loop(link->peers->task), &link->handshake);
	if (!link->dialled) {
		link->vm = g_intern_string(claimed);
		g_free((char *)claimed);
		hello_send(link, true);
	}
	_jh_peer_on_established(link);
	return 0;
}

/* A Hello on an established link is the other side's last frame there. */
static int hello_take_end(_jh_link_t *link)
{
	link->retired = true;
	if (!link->retiring)
		_jh_link_retire(link);
	return 0;
}

void _jh_link_retire(_jh_link_t *link)
{
	g_assert(link->state == JH_LINK_ESTABLISHED);
	if (link->retiring)
		return;
	link->retiring = true;
	hello_send(link, false);
}

/* ---- receiving ---- */

static int frame_take(_jh_link_t *link, Jh__Frame *frame, jh_error_t *err)
{
	bool is_hello = frame->body_case == JH__FRAME__BODY_HELLO;
	int result = -1;

	if (link->state == JH_LINK_ESTABLISHED && !is_hello) {
		if (link->retired || frame->body_case == JH__FRAME__BODY__NOT_SET) {
			jh_frame_free(frame);
			return jh_error_set(err, JH_ERR_PROTOCOL, "a frame without a known kind");
		}
		jh_counter_add(&frames_in_total, 1);
		jh_hlc_observe(frame->hlc);
		jh_frame_deliver(link->peers->task, link->vm, link->boot, frame);
		return 0;
	}
	if (!is_hello)
		jh_error_set(err, JH_ERR_PROTOCOL, "a frame before the hello");
	else if (link->state == JH_LINK_HELLO)
		result = hello_take_name(link, frame->hello, err);
	else if (link->state == JH_LINK_PROOF)
		result = hello_take_proof(link, frame->hello, err);
	else
		result = hello_take_end(link);
	jh_frame_free(frame);
	return result;
}

/* A stranger may not make this VM wait for, or store, a long frame. */
static int check_hello_length(const _jh_link_t *link, size_t start, jh_error_t *err)
{
	uint32_t length;

	if (link->state == JH_LINK_ESTABLISHED || link->in->len - start < sizeof(length))
		return 0;
	memcpy(&length, link->in->data + start, sizeof(length));
	if (GUINT32_FROM_BE(length) > HELLO_MAX_BYTES)
		return jh_error_set(err, JH_ERR_PROTOCOL, "a hello of %u bytes is too long",
				    GUINT32_FROM_BE(length));
	return 0;
}

static int frames_take(_jh_link_t *link, jh_error_t *err)
{
	size_t start = 0;
	int result = 0;

	while (result == 0) {
		Jh__Frame *frame = NULL;
		size_t used = 0;

		result = check_hello_length(link, start, err);
		if (result == 0)
			result = jh_frame_unpack(link->in->data + start, link->in->len - start,
						 &used, &frame, err);
		if (result < 0 || !frame)
			break;
		start += used;
		result = frame_take(link, frame, err);
	}
	g_byte_array_remove_range(link->in, 0, (guint)start);
	return result;
}

/* Return: bytes read, 0 at the end or if there are none now, -1 with the error set */
static ssize_t bytes_read(_jh_link_t *link, bool *ended, jh_error_t *err)
{
	guint length = link->in->len;
	ssize_t count;

	*ended = false;
	if (length > IN_MAX_BYTES)
		return jh_error_set(err, JH_ERR_PROTOCOL, "too many bytes wait");
	g_byte_array_set_size(link->in, length + READ_BYTES);
	count = recv(link->read.fd, link->in->data + length, READ_BYTES, 0);
	g_byte_array_set_size(link->in, length + (count > 0 ? (guint)count : 0));
	if (count == 0)
		*ended = true;
	if (count < 0 && errno != EAGAIN && errno != EINTR)
		return jh_error_set(err, JH_ERR_UNAVAILABLE, "reading failed: %s",
				    g_strerror(errno));
	return count > 0 ? count : 0;
}

/* ---- end ---- */

void _jh_link_free(_jh_link_t *link)
{
	struct ev_loop *loop = jh_task_loop(link->peers->task);
	_jh_outgoing_t *outgoing;

	ev_io_stop(loop, &link->read);
	ev_io_stop(loop, &link->write);
	ev_timer_stop(loop, &link->handshake);
	close(link->read.fd);
	while ((outgoing = g_queue_pop_head(&link->out)))
		_jh_outgoing_free(outgoing);
	g_byte_array_free(link->in, TRUE);
	if (!link->dialled && link->state != JH_LINK_ESTABLISHED)
		g_free((char *)link->vm);
	g_ptr_array_remove_fast(link->peers->links, link);
	g_free(link);
}

static void link_end(_jh_link_t *link, bool clean, const jh_error_t *err)
{
	if (link->state != JH_LINK_ESTABLISHED && !link->dialled)
		jh_counter_add(&refused_total, 1);
	if (!clean)
		jh_log(JH_LOG_INFO, "peer", "link_ended", "vm=%s proved=%d reason=%s",
		       jh_log_value(link->vm ? link->vm : ""), link->state == JH_LINK_ESTABLISHED,
		       jh_log_value(err->code ? err->message : "closed by the other side"));
	_jh_peer_on_link_ended(link, clean);
	_jh_link_free(link);
}

static bool link_is_finished(const _jh_link_t *link)
{
	return link->retiring && link->retired && link->out.length == 0;
}

/* ---- watchers ---- */

static void on_read(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_link_t *link = watcher->data;
	jh_error_t err = JH_ERROR_INIT;
	bool ended;
	ssize_t count = bytes_read(link, &ended, &err);

	(void)loop;
	(void)events;
	if (count > 0)
		jh_counter_add(&bytes_in_total, count);
	if (count < 0 || frames_take(link, &err) < 0)
		link_end(link, false, &err);
	else if (link_is_finished(link))
		link_end(link, true, &err);
	else if (ended)
		link_end(link, link->retired && link->out.length == 0, &err);
	jh_error_clear(&err);
}

/* Take what was written off the queue. */
static void out_advance(_jh_link_t *link, size_t count)
{
	link->out_bytes -= count;
	while (count > 0) {
		_jh_outgoing_t *head = g_queue_peek_head(&link->out);
		size_t left = head->bytes->len - head->offset;

		if (count < left) {
			head->offset += count;
			return;
		}
		count -= left;
		jh_counter_add(&frames_out_total, 1);
		_jh_outgoing_free(g_queue_pop_head(&link->out));
	}
}

static int out_write(_jh_link_t *link, jh_error_t *err)
{
	struct iovec parts[WRITE_MAX_FRAMES];
	struct msghdr message = { .msg_iov = parts };
	GList *item;
	ssize_t count;

	for (item = link->out.head; item && message.msg_iovlen < WRITE_MAX_FRAMES;
	     item = item->next) {
		const _jh_outgoing_t *outgoing = item->data;

		parts[message.msg_iovlen].iov_base = outgoing->bytes->data + outgoing->offset;
		parts[message.msg_iovlen].iov_len = outgoing->bytes->len - outgoing->offset;
		message.msg_iovlen++;
	}
	count = sendmsg(link->write.fd, &message, MSG_NOSIGNAL);
	if (count < 0 && errno != EAGAIN && errno != EINTR)
		return jh_error_set(err, JH_ERR_UNAVAILABLE, "writing failed: %s",
				    g_strerror(errno));
	if (count > 0) {
		jh_counter_add(&bytes_out_total, count);
		out_advance(link, (size_t)count);
	}
	return 0;
}

static int connect_finish(_jh_link_t *link, jh_error_t *err)
{
	int code = 0;
	socklen_t length = sizeof(code);

	if (getsockopt(link->write.fd, SOL_SOCKET, SO_ERROR, &code, &length) < 0)
		code = errno;
	if (code != 0)
		return jh_error_set(err, JH_ERR_UNAVAILABLE, "connecting failed: %s",
				    g_strerror(code));
	link->state = JH_LINK_HELLO;
	ev_io_start(jh_task_loop(link->peers->task), &link->read);
	hello_send(link, false);
	return 0;
}

static void on_write(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_link_t *link = watcher->data;
	jh_error_t err = JH_ERROR_INIT;
	int result = 0;

	(void)events;
	if (link->state == JH_LINK_CONNECTING)
		result = connect_finish(link, &err);
	if (result == 0 && link->out.length > 0)
		result = out_write(link, &err);
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
	jh_error_set(&err, JH_ERR_UNAVAILABLE, "no hello in time");
	link_end(watcher->data, false, &err);
	jh_error_clear(&err);
}

/* ---- beginning ---- */

static _jh_link_t *link_new(_jh_peers_t *peers, int fd, _jh_link_state_t state)
{
	static const jh_keepalive_t keepalive = { .user_timeout_ms = USER_TIMEOUT_MS };
	struct ev_loop *loop = jh_task_loop(peers->task);
	_jh_link_t *link = g_new0(_jh_link_t, 1);

	jh_socket_set_up(fd, &keepalive);
	link->peers = peers;
	link->state = state;
	link->in = g_byte_array_new();
	g_queue_init(&link->out);
	randombytes_buf(link->nonce, sizeof(link->nonce));
	ev_io_init(&link->read, on_read, fd, EV_READ);
	ev_io_init(&link->write, on_write, fd, EV_WRITE);
	ev_timer_init(&link->handshake, on_handshake_timeout, JH_PEER_HANDSHAKE_S, 0);
	link->read.data = link;
	link->write.data = link;
	link->handshake.data = link;
	ev_timer_start(loop, &link->handshake);
	if (state == JH_LINK_CONNECTING)
		ev_io_start(loop, &link->write);
	else
		ev_io_start(loop, &link->read);
	g_ptr_array_add(peers->links, link);
	return link;
}

void _jh_link_accept(_jh_peers_t *peers, int fd)
{
	link_new(peers, fd, JH_LINK_HELLO);
}

_jh_link_t *_jh_link_dial(_jh_peers_t *peers, _jh_peer_t *peer, const char *host, uint16_t port,
			  jh_error_t *err)
{
	int fd = jh_address_connect(host, port, err);
	_jh_link_t *link;

	if (fd < 0)
		return NULL;
	link = link_new(peers, fd, JH_LINK_CONNECTING);
	link->dialled = true;
	link->peer = peer;
	return link;
}
