/* The peer task: sends frames to the daemons on other VMs and receives frames from them.
 *
 * A connection is opened when there is a frame to send, and then stays open. If two VMs dial each
 * other at the same time, the link that was dialled by the VM with the lower name stays. Of two
 * links that the same VM dialled, the newer one stays. The other link is retired: each side sends
 * the frames that it had queued there and then a last Hello, so that no frame is lost. The
 * connection is closed once both sides have done so.
 *
 * A frame that can't be sent is dropped. If it is a Request of which no byte was written, its
 * sender gets an AnswerEnd with the outcome NOT_RUN; for a Statement it gets a StatementResult
 * which says that another VM may run it. If some bytes were written, the outcome is unknown, and
 * the sender is notified by JH_MSG_PEER_DOWN.
 */
#include "internal/peer.h"

#include "jh_counter.h"
#include "jh_socket.h"
#include "jh_log.h"
#include "jh_placement.h"
#include "jh_wire.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINKS_MAX 4096
#define DIAL_BACKOFF_MIN_US (50 * G_TIME_SPAN_MILLISECOND)
#define DIAL_BACKOFF_MAX_US (2 * G_TIME_SPAN_SECOND)
#define HELLO_KEY_ID 1
#define HELLO_KEY_CONTEXT "jh-peer1"

JH_COUNTER(frames_dropped_total, "jasminehill_peer_frames_dropped_total",
	   "frames that found no way");
JH_COUNTER(peers_down_total, "jasminehill_peer_down_total", "lives of peers that ended");

/**
 * struct _jh_peer - another VM
 * @peers: the task's state
 * @vm: name of the VM, interned
 * @host: IP address of its peer port, NULL if it is not in the list of VMs; owned
 * @port: its peer port
 * @state: its last state in the list of VMs
 * @boot: boot id of the instance that is connected; 0 if none is
 * @links: array of _jh_link_t *, borrowed from @peers
 * @waiting: queue of _jh_out_frame_t * that wait until a link is established; owned
 * @waiting_bytes: bytes in @waiting
 * @dial_allowed_us: monotonic time before which no connection is opened, microseconds
 * @dial_backoff_us: delay after the next failure to connect, microseconds
 */
struct _jh_peer {
	_jh_peers_t *peers;
	const char *vm;
	char *host;
	uint16_t port;
	jh_vm_state_t state;
	uint64_t boot;
	GPtrArray *links;
	GQueue waiting;
	size_t waiting_bytes;
	int64_t dial_allowed_us;
	int64_t dial_backoff_us;
};

/* ---- State of a peer ---- */

static void peer_free(void *data)
{
	_jh_peer_t *peer = data;
	_jh_out_frame_t *out_frame;

	while ((out_frame = g_queue_pop_head(&peer->waiting)))
		_jh_out_frame_free(out_frame);
	g_ptr_array_free(peer->links, TRUE);
	g_free(peer->host);
	g_free(peer);
}

static _jh_peer_t *peer_get(_jh_peers_t *peers, const char *vm)
{
	const char *name = g_intern_string(vm);
	_jh_peer_t *peer = g_hash_table_lookup(peers->peers, name);

	if (peer)
		return peer;
	peer = g_new0(_jh_peer_t, 1);
	peer->peers = peers;
	peer->vm = name;
	peer->links = g_ptr_array_new();
	peer->dial_backoff_us = DIAL_BACKOFF_MIN_US;
	g_queue_init(&peer->waiting);
	g_hash_table_insert(peers->peers, (void *)name, peer);
	return peer;
}

/* Returns the active link other than @except, or NULL. New frames are sent on the active link. */
static _jh_link_t *peer_find_other_active_link(const _jh_peer_t *peer, const _jh_link_t *except)
{
	unsigned i;

	for (i = 0; i < peer->links->len; i++) {
		_jh_link_t *link = g_ptr_array_index(peer->links, i);

		if (link != except && link->state == JH_LINK_ESTABLISHED &&
		    !link->last_frame_queued)
			return link;
	}
	return NULL;
}

static _jh_link_t *peer_find_active_link(const _jh_peer_t *peer)
{
	return peer_find_other_active_link(peer, NULL);
}

/* Publishes JH_MSG_PEER_DOWN for the connected instance; does nothing if none is connected. */
static void peer_publish_down(_jh_peer_t *peer)
{
	jh_peer_down_msg_t *msg;

	if (peer->boot == 0)
		return;
	msg = g_rc_box_new0(jh_peer_down_msg_t);
	msg->vm = peer->vm;
	msg->boot = peer->boot;
	peer->boot = 0;
	jh_counter_add(&peers_down_total, 1);
	jh_log(JH_LOG_INFO, "peer", "peer_down", "vm=%s boot=%016" G_GINT64_MODIFIER "x",
	       jh_log_value(peer->vm), msg->boot);
	jh_publish(peer->peers->task, JH_MSG_PEER_DOWN, msg, NULL);
}

/* ---- Frames that can't be sent ---- */

/* Replies to a Request in place of the peer: it was not run, because the VM is unreachable. */
static void reply_not_run(_jh_peer_t *peer, uint64_t id, uint32_t attempt)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_ANSWER_END);
	int64_t wait_us =
		peer->dial_allowed_us - jh_kernel_now_us(jh_task_kernel(peer->peers->task));

	frame->answer_end->id = id;
	frame->answer_end->attempt = attempt;
	frame->answer_end->outcome = JH__ANSWER_END__OUTCOME__NOT_RUN;
	frame->answer_end->reason = JH__ANSWER_END__REASON__UNREACHABLE;
	frame->answer_end->message = g_strdup_printf("no connection to VM %s", peer->vm);
	frame->answer_end->retry_after_ms = (uint32_t)(MAX(wait_us, 0) / 1000 + 1);
	jh_frame_deliver(peer->peers->task, peer->vm, 0, frame);
}

/* Replies to a Statement in place of the peer: it was not run, because the VM is unreachable. */
static void reply_try_elsewhere(_jh_peer_t *peer, uint64_t id)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_STATEMENT_RESULT);

	frame->statement_result->id = id;
	frame->statement_result->code = JH_CODE_BUSY;
	frame->statement_result->transaction = 'I';
	frame->statement_result->try_elsewhere = true;
	frame->statement_result->not_run = true;
	frame->statement_result->message = g_strdup_printf("no connection to VM %s", peer->vm);
	jh_frame_deliver(peer->peers->task, peer->vm, 0, frame);
}

/* Drops a frame. If no byte of a Request or Statement was written, its sender is told so. */
static void out_frame_drop(_jh_peer_t *peer, _jh_out_frame_t *out_frame)
{
	jh_counter_add(&frames_dropped_total, 1);
	if (out_frame->request_id != 0 && out_frame->offset == 0)
		reply_not_run(peer, out_frame->request_id, out_frame->attempt);
	if (out_frame->statement_id != 0 && out_frame->offset == 0)
		reply_try_elsewhere(peer, out_frame->statement_id);
	_jh_out_frame_free(out_frame);
}

static void queue_drop_frames(_jh_peer_t *peer, GQueue *queue)
{
	_jh_out_frame_t *out_frame;

	while ((out_frame = g_queue_pop_head(queue)))
		out_frame_drop(peer, out_frame);
}

/* ---- Links ---- */

/* Closes a link; @is_clean: no frame can have been lost. */
static void link_close(_jh_link_t *link, bool is_clean)
{
	_jh_peer_on_link_ended(link, is_clean);
	_jh_link_free(link);
}

static void peer_close_links(_jh_peer_t *peer)
{
	while (peer->links->len > 0)
		link_close(g_ptr_array_index(peer->links, 0), false);
}

/* True if @link stays and @other is retired. The rule gives the same result on both VMs. */
static bool link_is_preferred(const _jh_link_t *link, const _jh_link_t *other)
{
	const char *own_name = jh_kernel_settings(jh_task_kernel(link->peers->task))->vm;

	if (link->is_dialled == other->is_dialled)
		return true;
	return link->is_dialled == (strcmp(own_name, link->vm) < 0);
}

/* Closes the links with other instances of the peer: a new boot id means that it restarted. */
static void peer_close_other_instances(_jh_peer_t *peer, const _jh_link_t *link)
{
	unsigned i = 0;

	while (i < peer->links->len) {
		_jh_link_t *other = g_ptr_array_index(peer->links, i);

		if (other != link && other->state == JH_LINK_ESTABLISHED &&
		    other->boot != link->boot)
			link_close(other, false);
		else
			i++;
	}
	if (peer->boot != link->boot)
		peer_publish_down(peer);
}

static void peer_send_waiting(_jh_peer_t *peer, _jh_link_t *link)
{
	_jh_out_frame_t *out_frame;

	while ((out_frame = g_queue_pop_head(&peer->waiting)))
		_jh_link_send(link, out_frame);
	peer->waiting_bytes = 0;
}

void _jh_peer_on_established(_jh_link_t *link)
{
	_jh_peer_t *peer = peer_get(link->peers, link->vm);
	_jh_link_t *other;

	if (!link->peer) {
		link->peer = peer;
		g_ptr_array_add(peer->links, link);
	}
	g_assert(link->peer == peer);
	peer_close_other_instances(peer, link);
	other = peer_find_other_active_link(peer, link);
	if (other)
		_jh_link_retire(link_is_preferred(link, other) ? other : link);
	peer->boot = link->boot;
	peer->dial_backoff_us = DIAL_BACKOFF_MIN_US;
	peer->dial_allowed_us = 0;
	jh_log(JH_LOG_INFO, "peer", "peer_up", "vm=%s boot=%016" G_GINT64_MODIFIER "x dialled=%d",
	       jh_log_value(peer->vm), peer->boot, link->is_dialled);
	peer_send_waiting(peer, peer_find_active_link(peer));
}

void _jh_peer_on_link_ended(_jh_link_t *link, bool is_clean)
{
	_jh_peer_t *peer = link->peer;

	if (!peer)
		return;
	g_ptr_array_remove(peer->links, link);
	if (link->is_dialled && link->state != JH_LINK_ESTABLISHED) {
		peer->dial_allowed_us =
			jh_kernel_now_us(jh_task_kernel(peer->peers->task)) + peer->dial_backoff_us;
		peer->dial_backoff_us = MIN(2 * peer->dial_backoff_us, DIAL_BACKOFF_MAX_US);
	}
	queue_drop_frames(peer, &link->out);
	if (link->state == JH_LINK_ESTABLISHED && !is_clean)
		peer_publish_down(peer);
	if (peer->links->len > 0)
		return;
	/* No link is left. After a clean end, this means that the link which was to replace this
	 * one was not established. Frames that were sent on that link or wait for it are lost, so
	 * the peer counts as down. */
	peer_publish_down(peer);
	queue_drop_frames(peer, &peer->waiting);
	peer->waiting_bytes = 0;
}

/* ---- Sending ---- */

static int peer_dial(_jh_peer_t *peer, jh_error_t *err)
{
	int64_t now_us = jh_kernel_now_us(jh_task_kernel(peer->peers->task));
	_jh_link_t *link;

	if (peer->links->len > 0)
		return 0;
	if (!peer->host)
		return jh_error_set(err, JH_ERR_UNAVAILABLE, "the VM is not in the list of VMs");
	if (now_us < peer->dial_allowed_us)
		return jh_error_set(err, JH_ERR_UNAVAILABLE,
				    "the delay after a failed connection has not passed");
	link = _jh_link_dial(peer->peers, peer, peer->host, peer->port, err);
	if (!link) {
		peer->dial_allowed_us = now_us + peer->dial_backoff_us;
		peer->dial_backoff_us = MIN(2 * peer->dial_backoff_us, DIAL_BACKOFF_MAX_US);
		return -1;
	}
	link->vm = peer->vm;
	g_ptr_array_add(peer->links, link);
	return 0;
}

static void peer_send(_jh_peer_t *peer, _jh_out_frame_t *out_frame)
{
	_jh_link_t *link = peer_find_active_link(peer);
	jh_error_t err = JH_ERROR_INIT;
	size_t queued = link ? link->out_bytes : peer->waiting_bytes;

	if (out_frame->bytes->len > JH_FRAME_MAX_BYTES + JH_FRAME_HEADER_BYTES) {
		/* The peer would close the connection, and all requests in progress would fail. */
		jh_log(JH_LOG_WARNING, "peer", "frame_too_long", "vm=%s bytes=%u",
		       jh_log_value(peer->vm), out_frame->bytes->len);
		out_frame_drop(peer, out_frame);
	} else if (queued + out_frame->bytes->len > JH_PEER_MAX_QUEUED_BYTES) {
		jh_log(JH_LOG_WARNING, "peer", "queue_full", "vm=%s bytes=%zu",
		       jh_log_value(peer->vm), queued);
		/* A response that lacks a frame must not appear complete: close the link. */
		if (link && out_frame->request_id == 0 && out_frame->statement_id == 0)
			link_close(link, false);
		out_frame_drop(peer, out_frame);
	} else if (link) {
		_jh_link_send(link, out_frame);
	} else if (peer_dial(peer, &err) < 0) {
		out_frame_drop(peer, out_frame);
	} else {
		g_queue_push_tail(&peer->waiting, out_frame);
		peer->waiting_bytes += out_frame->bytes->len;
	}
	jh_error_clear(&err);
}

static void handle_frame_out(_jh_peers_t *peers, jh_frame_msg_t *msg)
{
	_jh_peer_t *peer = peer_get(peers, msg->vm);

	peer_send(peer, _jh_out_frame_new(g_steal_pointer(&msg->frame)));
}

/* ---- The list of VMs ---- */

/* Updates the address and state of a peer; closes its links when it is declared dead. */
static void peer_apply_vm(_jh_peer_t *peer, const jh_vm_t *vm)
{
	bool became_dead = vm->state == JH_VM_DEAD && peer->state != JH_VM_DEAD;

	g_free(peer->host);
	peer->host = g_strdup(vm->host);
	peer->port = vm->port;
	peer->state = vm->state;
	if (became_dead)
		peer_close_links(peer);
}

/* Applies a new list of VMs. A peer that is not listed keeps its links but is not dialled. */
static void apply_vms(_jh_peers_t *peers, const GPtrArray *vms)
{
	const char *own_name = jh_kernel_settings(jh_task_kernel(peers->task))->vm;
	GHashTableIter iter;
	void *value;
	unsigned i;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		_jh_peer_t *peer = value;

		if (!jh_vm_find(vms, peer->vm))
			g_clear_pointer(&peer->host, g_free);
	}
	for (i = 0; i < vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(vms, i);

		if (!g_str_equal(vm->name, own_name))
			peer_apply_vm(peer_get(peers, vm->name), vm);
	}
}

/* ---- Accepting connections ---- */

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_peers_t *peers = watcher->data;
	int fd = accept4(watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)loop;
	(void)events;
	if (fd < 0)
		return;
	if (peers->links->len >= LINKS_MAX)
		close(fd);
	else
		_jh_link_accept(peers, fd);
}

/* ---- Module definition ---- */

static int peer_init(jh_task_t *task, jh_error_t *err)
{
	const jh_settings_t *settings = jh_kernel_settings(jh_task_kernel(task));
	int fd = jh_socket_listen(&settings->peer_listen, "peer port", err);
	_jh_peers_t *peers;

	if (fd < 0)
		return -1;
	peers = g_new0(_jh_peers_t, 1);
	peers->task = task;
	peers->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	peers->links = g_ptr_array_new();
	G_STATIC_ASSERT(crypto_kdf_KEYBYTES == JH_CLUSTER_KEY_BYTES);
	crypto_kdf_derive_from_key(peers->key, sizeof(peers->key), HELLO_KEY_ID, HELLO_KEY_CONTEXT,
				   settings->cluster_key);
	ev_io_init(&peers->accept, on_accept, fd, EV_READ);
	peers->accept.data = peers;
	ev_io_start(jh_task_loop(task), &peers->accept);
	jh_task_set_state(task, peers);
	jh_log(JH_LOG_INFO, "peer", "listening", "port=%u", jh_socket_local_port(fd));
	return 0;
}

static void peer_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	_jh_peers_t *peers = jh_task_state(task);

	if (msg->type == JH_MSG_FRAME_OUT)
		handle_frame_out(peers, msg->body);
	else if (msg->type == JH_MSG_VMS)
		apply_vms(peers, ((const jh_vms_msg_t *)msg->body)->vms);
}

static void peer_fini(jh_task_t *task)
{
	_jh_peers_t *peers = jh_task_state(task);

	ev_io_stop(jh_task_loop(task), &peers->accept);
	close(peers->accept.fd);
	while (peers->links->len > 0)
		_jh_link_free(g_ptr_array_index(peers->links, 0));
	g_ptr_array_free(peers->links, TRUE);
	g_hash_table_destroy(peers->peers);
	sodium_memzero(peers->key, sizeof(peers->key));
	g_free(peers);
}

/*
 * True once all frames queued on established links are written, so that a shutdown loses none of
 * them. Frames that still wait for a link do not delay the shutdown.
 */
static bool peer_is_drained(jh_task_t *task)
{
	const _jh_peers_t *peers = jh_task_state(task);
	unsigned i;

	for (i = 0; i < peers->links->len; i++) {
		const _jh_link_t *link = g_ptr_array_index(peers->links, i);

		if (link->state == JH_LINK_ESTABLISHED && link->out.length > 0)
			return false;
	}
	return true;
}

static const char *peer_connection_state(const _jh_peer_t *peer)
{
	if (peer_find_active_link(peer))
		return "connected";
	return peer->links->len > 0 ? "connecting" : "idle";
}

static jh_rows_t *peer_show(jh_task_t *task, const char *topic)
{
	static const char *const columns[] = { "vm", "state", "boot", "queued_bytes", NULL };
	const _jh_peers_t *peers = jh_task_state(task);
	GHashTableIter iter;
	jh_rows_t *rows;
	void *value;

	if (!g_str_equal(topic, "peers"))
		return NULL;
	rows = jh_rows_new(columns);
	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const _jh_peer_t *peer = value;
		const _jh_link_t *link = peer_find_active_link(peer);
		char *boot = g_strdup_printf("%016" G_GINT64_MODIFIER "x", peer->boot);
		char *queued = g_strdup_printf("%zu", link ? link->out_bytes : peer->waiting_bytes);

		jh_rows_add(rows, peer->vm, peer_connection_state(peer), boot, queued, NULL);
		g_free(boot);
		g_free(queued);
	}
	return rows;
}

const jh_module_t jh_peer_module = {
	.name = "peer",
	.doc = "frames between daemons",
	.subscriptions = { JH_MSG_VMS, JH_MSG_TYPE_COUNT },
	.frames = { 0 },
	.init = peer_init,
	.on_message = peer_on_message,
	.is_drained = peer_is_drained,
	.fini = peer_fini,
	.show = peer_show,
};
