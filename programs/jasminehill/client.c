/*
 * Sends requests to the platform one at a time, through the platform module that the daemon uses
 * too, and runs the event loop until the reply arrives.
 */

#include "command.h"

struct platform_client {
	jh_settings_t settings;
	jh_kernel_t *kernel;
	jh_task_t *task;
	jh_platform_reply_t reply;
};

extern const jh_module_t jh_platform_module;

/*
 * The client whose tasks platform_client_new() is starting. jh_kernel_add_module() passes no
 * argument to a module, so requester_init() reads this variable.
 */
static platform_client_t *new_client;

static int requester_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	new_client->task = task;
	jh_task_set_state(task, new_client);
	return 0;
}

/* Releases the body only: no request of this tool returns rows. */
static void reply_clear(jh_platform_reply_t *reply)
{
	if (reply->body)
		g_bytes_unref(reply->body);
	*reply = (jh_platform_reply_t){ 0 };
}

static void requester_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	platform_client_t *client = jh_task_state(task);

	/* The message is freed after this function returns; the reply's body is kept. */
	client->reply = *(const jh_platform_reply_t *)msg->body;
	if (client->reply.body)
		g_bytes_ref(client->reply.body);
	jh_kernel_stop(jh_task_kernel(task));
}

static void requester_fini(jh_task_t *task)
{
	(void)task;
}

static const jh_module_t requester_module = {
	.name = "caller",
	.doc = "sends requests to the platform and receives their replies",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = requester_init,
	.on_message = requester_on_message,
	.fini = requester_fini,
};

platform_client_t *platform_client_new(const char *url, jh_error_t *err)
{
	platform_client_t *client = g_new0(platform_client_t, 1);

	client->settings.platform_url = (char *)url;
	client->kernel = jh_kernel_new(&client->settings, err);
	new_client = client;
	if (client->kernel && jh_kernel_add_module(client->kernel, &jh_platform_module, err) == 0 &&
	    jh_kernel_add_module(client->kernel, &requester_module, err) == 0)
		return client;
	platform_client_free(client);
	return NULL;
}

const jh_platform_reply_t *platform_client_call(platform_client_t *client, jh_platform_call_t call,
						const char *table, const char *name,
						uint64_t version, GBytes *body)
{
	reply_clear(&client->reply);
	jh_platform_send(client->task, call, table, name, version, body, 0);
	jh_kernel_run(client->kernel);
	return &client->reply;
}

void platform_client_free(platform_client_t *client)
{
	if (!client)
		return;
	reply_clear(&client->reply);
	jh_kernel_free(client->kernel);
	g_free(client);
}
