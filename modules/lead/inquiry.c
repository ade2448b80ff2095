#include "internal/lead.h"

#include "jh_answers.h"
#include "jh_line.h"
#include "jh_log.h"
#include "jh_socket.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

/* Name sent in START, where callers' connections send the name of a team. */
#define CLIENT_NAME "jasminehill"

struct _jh_inquiry {
	jh_task_t *task;
	const jh_wire_t *wire;
	_jh_inquiry_request_t request;
	const char *member;
	const char *group;
	int fd;
	ev_io io;
	ev_timer timer;
	jh_answers_t answers;
	bool has_status;
	jh_member_status_t status;
	GString *in;
	GString *out;
};

void _jh_inquiry_cancel(_jh_inquiry_t *inquiry)
{
	struct ev_loop *loop = jh_task_loop(inquiry->task);

	ev_io_stop(loop, &inquiry->io);
	ev_timer_stop(loop, &inquiry->timer);
	if (inquiry->fd >= 0)
		close(inquiry->fd);
	jh_answers_clear(&inquiry->answers);
	g_string_free(inquiry->in, TRUE);
	g_string_free(inquiry->out, TRUE);
	g_free(inquiry);
}

static void inquiry_finish(_jh_inquiry_t *inquiry, bool is_complete)
{
	_jh_inquiry_request_t request = inquiry->request;
	jh_member_status_t status = inquiry->status;
	const char *member = inquiry->member;
	bool has_status = is_complete && inquiry->has_status;

	_jh_inquiry_cancel(inquiry);
	request.done(request.data, member, has_status ? &status : NULL);
}

static void inquiry_send_request(_jh_inquiry_t *inquiry)
{
	struct ev_loop *loop = jh_task_loop(inquiry->task);

	jh_answers_expect(&inquiry->answers, JH_EXPECT_STATUS, 'I', inquiry->in->len > 0);
	inquiry->wire->put_internal_statement(inquiry->out, inquiry->request.type, NULL,
					      (jh_text_t){ 0 }, inquiry->request.term);
	ev_io_stop(loop, &inquiry->io);
	ev_io_set(&inquiry->io, inquiry->fd, EV_READ | EV_WRITE);
	ev_io_start(loop, &inquiry->io);
}

/* Return: false if the inquiry has ended and is freed */
static bool inquiry_handle_line(_jh_inquiry_t *inquiry, char *line, size_t length)
{
	bool is_request_sent = inquiry->answers.expected == JH_EXPECT_STATUS;
	char *words = g_memdup2(line, length + 1);
	jh_answer_verdict_t verdict = JH_ANSWER_STRAY;
	jh_member_message_t message;

	if (inquiry->wire->parse_member(words, length, &message))
		verdict = jh_answers_add(&inquiry->answers, &message, line, length);
	if (message.type == JH_MEMBER_ROW)
		inquiry->has_status = inquiry->wire->parse_status(message.text, &inquiry->status);
	g_free(words);
	if (verdict == JH_ANSWER_STRAY || message.type == JH_MEMBER_ERROR) {
		inquiry_finish(inquiry, false);
		return false;
	}
	if (verdict != JH_ANSWER_COMPLETE)
		return true;
	if (!is_request_sent) {
		inquiry_send_request(inquiry);
		return true;
	}
	inquiry_finish(inquiry, true);
	return false;
}

/* Return: false if the inquiry has ended and is freed */
static bool inquiry_handle_input(_jh_inquiry_t *inquiry)
{
	size_t length;
	char *line;

	while ((line = jh_line_take(inquiry->in, &length))) {
		bool is_pending = inquiry_handle_line(inquiry, line, length);

		g_free(line);
		if (!is_pending)
			return false;
	}
	if (!jh_line_is_too_long(inquiry->in))
		return true;
	inquiry_finish(inquiry, false);
	return false;
}

static void inquiry_write(_jh_inquiry_t *inquiry)
{
	struct ev_loop *loop = jh_task_loop(inquiry->task);
	ssize_t count = send(inquiry->fd, inquiry->out->str, inquiry->out->len, MSG_NOSIGNAL);

	if (count > 0)
		g_string_erase(inquiry->out, 0, count);
	if (inquiry->out->len > 0)
		return;
	ev_io_stop(loop, &inquiry->io);
	ev_io_set(&inquiry->io, inquiry->fd, EV_READ);
	ev_io_start(loop, &inquiry->io);
}

static void on_io(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_inquiry_t *inquiry = watcher->data;
	char buffer[1024];
	ssize_t count;

	(void)loop;
	if (events & EV_READ) {
		count = recv(inquiry->fd, buffer, sizeof(buffer), 0);
		if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
			inquiry_finish(inquiry, false);
			return;
		}
		if (count > 0) {
			g_string_append_len(inquiry->in, buffer, count);
			if (!inquiry_handle_input(inquiry))
				return;
		}
	}
	if ((events & EV_WRITE) && inquiry->out->len > 0)
		inquiry_write(inquiry);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	inquiry_finish(timer->data, false);
}

_jh_inquiry_t *_jh_inquiry_start(jh_task_t *task, const jh_wire_t *wire,
				 const _jh_inquiry_request_t *request)
{
	struct ev_loop *loop = jh_task_loop(task);
	_jh_inquiry_t *inquiry = g_new0(_jh_inquiry_t, 1);
	double timeout_s = request->timeout_s;
	jh_error_t err = JH_ERROR_INIT;

	inquiry->task = task;
	inquiry->wire = wire;
	inquiry->request = *request;
	inquiry->member = request->member->id;
	inquiry->group = request->member->group;
	jh_answers_init(&inquiry->answers);
	inquiry->in = g_string_new(NULL);
	inquiry->out = g_string_new(NULL);
	ev_init(&inquiry->io, on_io);
	inquiry->io.data = inquiry;
	inquiry->fd = jh_socket_connect(request->member->host, request->member->port, &err);
	if (inquiry->fd < 0) {
		jh_log(JH_LOG_WARNING, "lead", "connect_failed", "member=%s reason=%s",
		       jh_log_value(inquiry->member), jh_log_value(err.message));
		jh_error_clear(&err);
		/* The timer reports the failure, as @done is never called from within this call. */
		timeout_s = 0;
	} else {
		jh_answers_expect(&inquiry->answers, JH_EXPECT_READY, 'I', false);
		wire->put_start(inquiry->out, inquiry->group, CLIENT_NAME, inquiry->member);
		ev_io_set(&inquiry->io, inquiry->fd, EV_READ | EV_WRITE);
		ev_io_start(loop, &inquiry->io);
	}
	inquiry->request.member = NULL;
	ev_timer_init(&inquiry->timer, on_timer, timeout_s, 0);
	inquiry->timer.data = inquiry;
	ev_timer_start(loop, &inquiry->timer);
	return inquiry;
}
