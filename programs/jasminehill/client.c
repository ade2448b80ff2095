/* Calls to the platform, one at a time, by the same task that the daemons use. */

#include "command.h"

struct client {
	jh_settings_t settings;
	jh_kernel_t *kernel;
	jh_task_t *task;
	jh_platform_reply_t reply;
};

extern const jh_module_t jh_platform_module;

/* The kernel gives a module no argument, so the one client hands itself over here. */
static client_t *starting;

static int caller_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	starting->task = task;
	jh_task_set_state(task, starting);
	return 0;
}

static void reply_clear(jh_platform_reply_t *reply)
{
	if (reply->body)
		g_bytes_unref(reply->body);
	*reply = (jh_platform_reply_t){ 0 };
}

static void caller_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	client_t *client = jh_task_state(task);

	client->reply = *(const jh_platform_reply_t *)msg->body;
	if (client->reply.body)
		g_bytes_ref(client->reply.body);
	jh_kernel_stop(jh_task_kernel(task));
}

static void caller_fini(jh_task_t *task)
{
	(void)task;
}

static const jh_module_t caller_module = {
	.name = "caller",
	.doc = "waits for the platform's answer",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = caller_init,
	.on_message = caller_on_message,
	.fini = caller_fini,
};

client_t *client_new(const char *url, jh_error_t *err)
{
	client_t *client = g_new0(client_t, 1);

	client->settings.platform_url = (char *)url;
	client->kernel = jh_kernel_new(&client->settings, err);
	starting = client;
	if (client->kernel && jh_kernel_add_module(client->kernel, &jh_platform_module, err) == 0 &&
	    jh_kernel_add_module(client->kernel, &caller_module, err) == 0)
		return client;
	client_free(client);
	return NULL;
}

const jh_platform_reply_t *client_call(client_t *client, jh_platform_call_t call, const char *table,
				       const char *name, uint64_t version, GBytes *body)
{
	reply_clear(&client->reply);
	jh_platform_send(client->task, call, table, name, version, body, 0);
	jh_kernel_run(client->kernel);
	return &client->reply;
}

void client_free(client_t *client)
{
	if (!client)
		return;
	reply_clear(&client->reply);
	jh_kernel_free(client->kernel);
	g_free(client);
}
