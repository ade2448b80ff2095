/*
 * Guards against invalid lines, rows and responses that are accepted or lead to undefined
 * behaviour, against valid ones that are misread, and against a failed write that is reported as
 * not done although it may have taken effect.
 */

#include "platform/platform.h"
#include "runner.h"

#include <string.h>

#define LINE_MAX_BYTES 256

#define ck_assert_text_eq(text, expected)                                                          \
	do {                                                                                       \
		jh_text_t text_ = (text);                                                          \
		ck_assert_uint_eq(text_.length, strlen(expected));                                 \
		ck_assert_mem_eq(text_.bytes, expected, text_.length);                             \
	} while (0)

/* Parses a copy of @text in @line, to which the strings of the message point. */
static jh_caller_message_t parse_caller_line(const char *text, char *line)
{
	jh_caller_message_t message;

	g_strlcpy(line, text, LINE_MAX_BYTES);
	jh_line_wire.parse_caller(line, strlen(line), &message);
	return message;
}

START_TEST(test_parses_caller_messages)
{
	char line[LINE_MAX_BYTES];
	jh_caller_message_t message = parse_caller_line("START orders key 1", line);

	ck_assert_int_eq(message.type, JH_CALLER_START);
	ck_assert_str_eq(message.database, "orders");
	ck_assert_str_eq(message.key, "key 1");
	message = parse_caller_line("START orders", line);
	ck_assert_ptr_null(message.key);
	message = parse_caller_line("QUERY id7 WRITE a b c", line);
	ck_assert_int_eq(message.statement.type, JH_STATEMENT_WRITE);
	ck_assert_str_eq(message.id, "id7");
	ck_assert_text_eq(message.statement.text, "WRITE a b c");
	message = parse_caller_line("QUERY id7 PREPARE s1 WRITE q2", line);
	ck_assert_int_eq(message.statement.type, JH_STATEMENT_PREPARE);
	ck_assert(message.statement.prepares_write);
	ck_assert_text_eq(message.statement.rest, "q2");
	message = parse_caller_line("QUERY id7 EXEC s1 item some data", line);
	ck_assert_str_eq(message.statement.name, "s1");
	ck_assert_text_eq(message.statement.rest, "item some data");
	message = parse_caller_line("QUERY id7 BEGIN READ", line);
	ck_assert_int_eq(message.statement.type, JH_STATEMENT_BEGIN_READ);
	ck_assert_int_eq(parse_caller_line("QUIT", line).type, JH_CALLER_QUIT);
}
END_TEST

START_TEST(test_rejects_invalid_caller_messages)
{
	static const char *const invalid[] = {
		"",	 " ",	     "HELLO",	  "START", "QUERY",
		"QUERY", "QUERY id", "QUERY id ", "quit",  "START "
	};
	static const char *const invalid_statements[] = {
		"QUERY i AFTER 1.2 READ x", "QUERY i READ",   "QUERY i READ a b",
		"QUERY i WRITE x",	    "QUERY i STATUS", "QUERY i SET x",
		"QUERY i PREPARE a",	    "QUERY i EXEC s", "QUERY i PREPARE a READ",
		"QUERY i DEALLOC",	    "QUERY i begin"
	};
	char line[LINE_MAX_BYTES];
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(invalid); i++)
		ck_assert_int_eq(parse_caller_line(invalid[i], line).type, JH_CALLER_INVALID);
	for (i = 0; i < G_N_ELEMENTS(invalid_statements); i++) {
		jh_caller_message_t message = parse_caller_line(invalid_statements[i], line);

		ck_assert_int_eq(message.type, JH_CALLER_QUERY);
		ck_assert_int_eq(message.statement.type, JH_STATEMENT_INVALID);
	}
}
END_TEST

/* A READY whose state is an empty word was taken for a valid one. */
START_TEST(test_ready_without_a_state_is_malformed)
{
	jh_member_message_t message;
	char blank[] = "READY ";
	char two_blanks[] = "READY  3.1";
	char empty_word[] = "READY  ";
	char alone[] = "READY";

	ck_assert(!jh_line_wire.parse_member(empty_word, strlen(empty_word), &message));
	ck_assert(!jh_line_wire.parse_member(blank, strlen(blank), &message));
	ck_assert(!jh_line_wire.parse_member(two_blanks, strlen(two_blanks), &message));
	ck_assert(!jh_line_wire.parse_member(alone, strlen(alone), &message));
}
END_TEST

START_TEST(test_parses_member_messages)
{
	jh_member_message_t message;
	jh_member_status_t status;
	char ready[] = "READY T 3.1207";
	char no_position[] = "READY I -";
	char error[] = "ERR READONLY i-7";
	char unknown[] = "ERR NEWCODE what";
	char invalid[] = "READY X 3.1";

	ck_assert(jh_line_wire.parse_member(ready, strlen(ready), &message));
	ck_assert(message.has_position && message.state == 'T');
	ck_assert_uint_eq(message.position.index, 1207);
	ck_assert(jh_line_wire.parse_member(no_position, strlen(no_position), &message));
	ck_assert(!message.has_position);
	ck_assert(jh_line_wire.parse_member(error, strlen(error), &message));
	ck_assert_int_eq(message.code, JH_CODE_READ_ONLY);
	ck_assert(jh_line_wire.parse_member(unknown, strlen(unknown), &message));
	ck_assert_int_eq(message.code, JH_CODE_OTHER);
	ck_assert(!jh_line_wire.parse_member(invalid, strlen(invalid), &message));
	ck_assert(jh_line_wire.parse_status("replica 3 3.1209 0 12 2 17", &status));
	ck_assert(!status.is_primary && status.term == 3 && status.received.index == 1209);
	ck_assert(!jh_line_wire.parse_status("replica 3", &status));
	ck_assert(!jh_line_wire.parse_status("replica 3 x 0", &status));
}
END_TEST

START_TEST(test_writes_lines)
{
	GString *out = g_string_new(NULL);
	const jh_position_t position = { .term = 3, .index = 1207 };

	jh_line_wire.put_start(out, "db", "team", "i-7");
	jh_line_wire.put_statement(out, "id1", &position, jh_text_of_string("READ x"));
	jh_line_wire.put_statement(out, NULL, NULL, jh_text_of_string("READ x"));
	jh_line_wire.put_internal_statement(out, JH_STATEMENT_STEP_DOWN, NULL, (jh_text_t){ 0 }, 4);
	jh_line_wire.put_ready(out, 'E', &position);
	jh_line_wire.put_error(out, JH_CODE_BUSY, "later");
	jh_line_wire.put_error(out, JH_CODE_OTHER, "what");
	ck_assert_str_eq(out->str, "START db team i-7\r\nQUERY id1 AFTER 3.1207 READ x\r\n"
				   "QUERY - READ x\r\nQUERY - STEPDOWN 4\r\nREADY E 3.1207\r\n"
				   "ERR BUSY later\r\nERR UNKNOWN what\r\n");
	g_string_free(out, TRUE);
}
END_TEST

/* ---- Store protocol ---- */

/* Decodes a response with HTTP status @status. Return: its row, NULL unless there is exactly one */
static jh_store_row_t *decode_one_row(jh_platform_reply_t *reply, const char *text, long status)
{
	GBytes *body = g_bytes_new(text, strlen(text));
	const jh_http_response_t response = { .status = status, .body = body };

	jh_rows_protocol.decode(&response, reply);
	g_bytes_unref(body);
	return reply->rows && reply->rows->len == 1 ? g_ptr_array_index(reply->rows, 0) : NULL;
}

START_TEST(test_decodes_rows)
{
	jh_platform_reply_t reply = { .call = JH_PLATFORM_SCAN };
	const jh_store_row_t *row = decode_one_row(
		&reply,
		"{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"k\",\"value\":"
		"\"bm9kZS0x\",\"ver\":412}],\"hasMore\":true,\"ver\":530,\"nowMs\":1}",
		200);

	ck_assert_int_eq(reply.status, JH_PLATFORM_OK);
	ck_assert_uint_eq(reply.version, 530);
	ck_assert(reply.has_more);
	ck_assert_str_eq(row->name, "k");
	ck_assert_uint_eq(row->version, 412);
	ck_assert_uint_eq(g_bytes_get_size(row->body), 6);
	reply = (jh_platform_reply_t){ .call = JH_PLATFORM_FEED };
	row = decode_one_row(
		&reply, "{\"rows\":[{\"key\":\"k\",\"ver\":9,\"deleted\":true}],\"ver\":9}", 200);
	ck_assert_ptr_null(row->body);
}
END_TEST

START_TEST(test_decodes_error_responses)
{
	jh_platform_reply_t reply = { .call = JH_PLATFORM_SCAN };

	decode_one_row(&reply, "not json", 200);
	ck_assert_int_eq(reply.status, JH_PLATFORM_UNAVAILABLE);
	reply = (jh_platform_reply_t){ .call = JH_PLATFORM_COMMIT };
	decode_one_row(&reply, "[]", 200);
	ck_assert_int_eq(reply.status, JH_PLATFORM_UNKNOWN);
	decode_one_row(&reply, "", 503);
	ck_assert_int_eq(reply.status, JH_PLATFORM_UNAVAILABLE);
	decode_one_row(&reply, "", 500);
	ck_assert_int_eq(reply.status, JH_PLATFORM_UNKNOWN);
	decode_one_row(&reply, "", 412);
	ck_assert_int_eq(reply.status, JH_PLATFORM_CONFLICT);
	reply = (jh_platform_reply_t){ .call = JH_PLATFORM_FEED };
	decode_one_row(&reply, "", 410);
	ck_assert_int_eq(reply.status, JH_PLATFORM_HISTORY_LOST);
}
END_TEST

/* ---- Catalogue ---- */

static jh_member_t *parse_registration(const char *id, const char *text)
{
	GBytes *row = g_bytes_new(text, strlen(text));
	jh_error_t err = JH_ERROR_INIT;
	jh_member_t *member = jh_platform_catalogue_format.read_member(id, row, &err);

	ck_assert(!member == (err.code != JH_ERR_NONE));
	jh_error_clear(&err);
	g_bytes_unref(row);
	return member;
}

/* The fields of an entry as members write it. */
static const struct {
	const char *name;
	const char *value;
} entry_fields[] = {
	{ "service", "\"db\"" }, { "addr", "\"10.0.0.1:80\"" },
	{ "zone", "\"a\"" },	 { "version", "\"v1\"" },
	{ "slots", "5" },	 { "state", "\"draining\"" },
	{ "coldLeftMs", "0" },	 { "dbRole", "\"primary\"" },
	{ "seq", "4" },		 { "born", "1764912345678" },
};

/* Return: new text of an entry whose field @name has another value; NULL to leave it out */
static char *entry_with(const char *name, const char *value)
{
	GString *text = g_string_new("{");
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(entry_fields); i++) {
		bool is_other = g_strcmp0(entry_fields[i].name, name) == 0;

		if (is_other && !value)
			continue;
		g_string_append_printf(text, "%s\"%s\":%s", text->len > 1 ? "," : "",
				       entry_fields[i].name,
				       is_other ? value : entry_fields[i].value);
	}
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

static bool names_member(const char *name, const char *value)
{
	char *text = entry_with(name, value);
	jh_member_t *member = parse_registration("i-1", text);
	bool is_member = member != NULL;

	jh_member_free(member);
	g_free(text);
	return is_member;
}

START_TEST(test_parses_registrations)
{
	char *text = entry_with(NULL, NULL);
	jh_member_t *member = parse_registration("i-1", text);

	ck_assert_str_eq(member->group, "db");
	ck_assert_str_eq(member->host, "10.0.0.1");
	ck_assert(member->is_draining && member->claims_primary);
	ck_assert_int_eq(member->started_ms, INT64_C(1764912345678));
	jh_member_free(member);
	g_free(text);
	ck_assert(names_member("state", "\"ready\""));
	ck_assert(names_member("dbRole", "\"replica\""));
	ck_assert(names_member("addr", "\"[::1]:80\""));
	ck_assert(names_member("coldLeftMs", "1500.5"));
	ck_assert(names_member("born", NULL));
}
END_TEST

/*
 * Guards against an entry of another writer that is taken for a member, or that ends the daemon:
 * the page says that it names no member to use.
 */
START_TEST(test_odd_registrations_name_no_member)
{
	static const struct {
		const char *name;
		const char *value;
	} odd[] = {
		{ "service", NULL },
		{ "service", "7" },
		{ "service", "\"\"" },
		{ "service", "\"db x\"" },
		{ "service", "\"db\\r\\nQUIT\"" },
		{ "service", "\"db\\u0000\"" },
		{ "addr", NULL },
		{ "addr", "80" },
		{ "addr", "\"\"" },
		{ "addr", "\":80\"" },
		{ "addr", "\"10.0.0.1\"" },
		{ "addr", "\"10.0.0.1:\"" },
		{ "addr", "\"10.0.0.1:0\"" },
		{ "addr", "\"10.0.0.1:-80\"" },
		{ "addr", "\"10.0.0.1:65536\"" },
		{ "addr", "\"10.0.0.1:184467440737095516160\"" },
		{ "addr", "\"10.0.0.1:80x\"" },
		{ "addr", "\"host:80\"" },
		{ "zone", NULL },
		{ "zone", "null" },
		{ "zone", "\"a\\tb\"" },
		{ "version", NULL },
		{ "version", "1" },
		{ "slots", NULL },
		{ "slots", "\"5\"" },
		{ "slots", "5.0" },
		{ "slots", "0" },
		{ "slots", "-5" },
		{ "slots", "65536" },
		{ "slots", "9223372036854775807" },
		{ "slots", "9223372036854775808" },
		{ "slots", "1e400" },
		{ "state", NULL },
		{ "state", "\"odd\"" },
		{ "state", "true" },
		{ "coldLeftMs", NULL },
		{ "coldLeftMs", "\"0\"" },
		{ "coldLeftMs", "-1" },
		{ "coldLeftMs", "1e300" },
		{ "coldLeftMs", "9223372036854775807" },
		{ "dbRole", NULL },
		{ "dbRole", "\"leader\"" },
		{ "dbRole", "[\"primary\"]" },
		{ "seq", NULL },
		{ "seq", "-1" },
		{ "seq", "\"4\"" },
		{ "born", "1764912345678.5" },
		{ "born", "-1" },
		{ "born", "\"1764912345678\"" },
		{ "born", "9223372036854775807" },
		{ "born", "{}" },
	};
	static const char *const invalid[] = { "", "{}", "[1]", "7", "null", "{", "\xff\xfe" };
	static const char *const odd_ids[] = { "", "i 1", "i-1\r\n", "i-1\t", "i-1\x7f" };
	char *text = entry_with(NULL, NULL);
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(odd); i++)
		ck_assert_msg(!names_member(odd[i].name, odd[i].value), "%s: %s", odd[i].name,
			      odd[i].value);
	for (i = 0; i < G_N_ELEMENTS(invalid); i++)
		ck_assert_ptr_null(parse_registration("i-1", invalid[i]));
	for (i = 0; i < G_N_ELEMENTS(odd_ids); i++)
		ck_assert_ptr_null(parse_registration(odd_ids[i], text));
	g_free(text);
}
END_TEST

/* Guards against a daemon that runs out of stack. */
START_TEST(test_deeply_nested_registrations_name_no_member)
{
	static const unsigned depths[] = { 100, 1000, 2047, 2048, 2049, 30000 };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(depths); i++) {
		char *open = g_strnfill(depths[i], '[');
		char *close = g_strnfill(depths[i], ']');
		char *value = g_strconcat(open, close, NULL);

		ck_assert_ptr_null(parse_registration("i-1", value));
		ck_assert_ptr_null(parse_registration("i-1", open));
		ck_assert(!names_member("slots", value));
		ck_assert(!names_member("state", value));
		g_free(value);
		g_free(close);
		g_free(open);
	}
}
END_TEST

START_TEST(test_parses_configuration)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"host\":\"orders\",\"service\":\"db\",\"type\":\"own\","
		"\"timeoutMs\":1000,\"targetLatencyMs\":200,\"priority\":1,\"maxStalenessMs\":2500,"
		"\"isPublic\":false},{\"host\":\"odd\",\"service\":\"db\",\"type\":\"odd\"}],"
		"\"services\":[{\"name\":\"db\",\"maxConns\":33,\"syncReplicas\":1}],"
		"\"limits\":{\"txIdleMs\":2000},\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k1\",7],"
		"\"ratePerS\":131,\"burst\":100}]}";
	GBytes *row = g_bytes_new_static(text, strlen(text));
	jh_error_t err = JH_ERROR_INIT;
	jh_fleet_config_t *config = jh_platform_catalogue_format.read_config(row, &err);
	const jh_fleet_route_t *route = g_hash_table_lookup(config->routes, "orders");
	const jh_fleet_group_t *group = g_hash_table_lookup(config->groups, "db");

	ck_assert_uint_eq(config->version, 7);
	ck_assert_int_eq(route->freshness, JH_FRESH_READ_YOUR_WRITES);
	ck_assert_int_eq(route->max_age_us, 2500000);
	ck_assert_ptr_null(g_hash_table_lookup(config->routes, "odd"));
	ck_assert(group->connections == 33 && group->sync_replicas == 1);
	ck_assert_str_eq(g_hash_table_lookup(config->keys, "k1"), "t");
	ck_assert_int_eq(config->tx_idle_us, 2000000);
	ck_assert(jh_config_find_team(config->teams, "t")->rate == 131);
	jh_fleet_config_unref(config);
	g_bytes_unref(row);
}
END_TEST

/* The team's name is the second word of START: with a blank it would move the member's id, and with
 * CR LF it would make a message of its own. */
START_TEST(test_team_whose_name_is_no_word_is_left_out)
{
	static const char text[] =
		"{\"version\":7,\"tenants\":[{\"name\":\"a b\",\"apiKeys\":[\"k1\"]},"
		"{\"name\":\"c\\r\\nQUERY - STEPDOWN 9\",\"apiKeys\":[\"k2\"]},"
		"{\"name\":\"\",\"apiKeys\":[\"k3\"]},"
		"{\"name\":\"d\\n\",\"apiKeys\":[\"k4\"]},"
		"{\"name\":\"\u00e9quipe\",\"apiKeys\":[\"k5\"]}]}";
	GBytes *row = g_bytes_new_static(text, strlen(text));
	jh_error_t err = JH_ERROR_INIT;
	jh_fleet_config_t *config = jh_platform_catalogue_format.read_config(row, &err);

	ck_assert_uint_eq(g_hash_table_size(config->keys), 1);
	ck_assert_str_eq(g_hash_table_lookup(config->keys, "k5"), "\u00e9quipe");
	ck_assert_uint_eq(config->teams->teams->len, 1);
	jh_fleet_config_unref(config);
	g_bytes_unref(row);
}
END_TEST

static uint64_t parse_version(const char *version)
{
	char *text = g_strdup_printf("{\"version\":%s}", version);
	GBytes *row = g_bytes_new_take(text, strlen(text));
	jh_error_t err = JH_ERROR_INIT;
	jh_fleet_config_t *config = jh_platform_catalogue_format.read_config(row, &err);
	uint64_t parsed = config->version;

	ck_assert_uint_eq(jh_platform_catalogue_format.read_config_version(row), parsed);
	jh_fleet_config_unref(config);
	g_bytes_unref(row);
	return parsed;
}

/*
 * Guards against CONFIG: versions above 10^12, such as Unix milliseconds, were all read as that
 * number, so that no later configuration came into force.
 */
START_TEST(test_versions_of_the_configuration_are_exact)
{
	ck_assert_uint_eq(parse_version("1764912345678"), UINT64_C(1764912345678));
	ck_assert_uint_eq(parse_version("1764912345679"), UINT64_C(1764912345679));
	ck_assert_uint_eq(parse_version("9007199254740993"), UINT64_C(9007199254740993));
	ck_assert_uint_eq(parse_version("9223372036854775807"), UINT64_C(9223372036854775807));
	ck_assert_uint_eq(parse_version("1764912345678.0"), UINT64_C(1764912345678));
	ck_assert_uint_eq(parse_version("-1"), 0);
	ck_assert_uint_eq(parse_version("\"7\""), 0);
}
END_TEST

/* Guards against undefined behaviour, found by fuzz_platform: 2E30 does not fit into an int64_t. */
START_TEST(test_clamps_numbers_out_of_range)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"host\":\"o\",\"service\":\"db\",\"type\":\"own\","
		"\"timeoutMs\":9223372036854775807,\"maxStalenessMs\":-2E300,\"priority\":1E99}],"
		"\"services\":[{\"name\":\"db\",\"maxConns\":9223372036854775807}],"
		"\"limits\":{\"txIdleMs\":2E030},\"tenants\":[{\"name\":\"t\",\"ratePerS\":1E300,"
		"\"burst\":-1}]}";
	GBytes *row = g_bytes_new_static(text, strlen(text));
	jh_error_t err = JH_ERROR_INIT;
	jh_fleet_config_t *config = jh_platform_catalogue_format.read_config(row, &err);
	const jh_fleet_route_t *route = g_hash_table_lookup(config->routes, "o");

	ck_assert_int_eq(config->tx_idle_us, INT64_C(1000000000000000));
	ck_assert_int_eq(route->timeout_us, INT64_C(1000000000000000));
	ck_assert_int_le(route->max_age_us, 0);
	ck_assert(jh_config_find_team(config->teams, "t")->rate <= 1e9);
	ck_assert(jh_config_find_team(config->teams, "t")->burst >= 0);
	jh_fleet_config_unref(config);
	g_bytes_unref(row);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_parses_caller_messages,
				       test_rejects_invalid_caller_messages,
				       test_ready_without_a_state_is_malformed,
				       test_parses_member_messages,
				       test_writes_lines,
				       test_decodes_rows,
				       test_decodes_error_responses,
				       test_parses_registrations,
				       test_odd_registrations_name_no_member,
				       test_deeply_nested_registrations_name_no_member,
				       test_versions_of_the_configuration_are_exact,
				       test_parses_configuration,
				       test_team_whose_name_is_no_word_is_left_out,
				       test_clamps_numbers_out_of_range,
				       NULL };

	return run_tests("platform_wire", tests);
}
