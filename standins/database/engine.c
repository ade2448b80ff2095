#include "engine.h"

#include <errno.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

#define DIRECTORY_PREFIX "standin_database."

/* Longest wait for SQLite's checkpoints; sessions never write at the same time. */
#define BUSY_TIMEOUT_MS 200

/* ---- files ---- */

static void directory_remove(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *file = g_build_filename(path, name, NULL);

		g_unlink(file);
		g_free(file);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(path);
}

/* Removes the directories of stand-ins that were killed; a name contains the process id. */
static void stale_directories_remove(void)
{
	GDir *dir = g_dir_open(g_get_tmp_dir(), 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		pid_t pid;

		if (!g_str_has_prefix(name, DIRECTORY_PREFIX))
			continue;
		pid = (pid_t)g_ascii_strtoll(name + strlen(DIRECTORY_PREFIX), NULL, 10);
		if (pid > 0 && kill(pid, 0) < 0 && errno == ESRCH) {
			char *path = g_build_filename(g_get_tmp_dir(), name, NULL);

			directory_remove(path);
			g_free(path);
		}
	}
	if (dir)
		g_dir_close(dir);
}

/* ---- connections and their functions ---- */

static void sql_version(sqlite3_context *context, int count, sqlite3_value **values)
{
	(void)count;
	(void)values;
	sqlite3_result_text(context, "PostgreSQL 15.0 (database stand-in on SQLite)", -1,
			    SQLITE_STATIC);
}

/* For applying log entries: does not wait. Sessions register another pg_sleep(), see execute.c. */
static void sql_pg_sleep(sqlite3_context *context, int count, sqlite3_value **values)
{
	(void)count;
	(void)values;
	sqlite3_result_text(context, "", -1, SQLITE_STATIC);
}

static sqlite3 *connection_open(const char *path, jh_error_t *err)
{
	sqlite3 *db = NULL;

	if (sqlite3_open_v2(path, &db, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, NULL) !=
		    SQLITE_OK ||
	    sqlite3_exec(db, "PRAGMA journal_mode = WAL; PRAGMA synchronous = OFF;", NULL, NULL,
			 NULL) != SQLITE_OK) {
		jh_error_set(err, JH_ERR_SYSTEM, "SQLite can't open its file: %s",
			     sqlite3_errmsg(db));
		sqlite3_close_v2(db);
		return NULL;
	}
	sqlite3_busy_timeout(db, BUSY_TIMEOUT_MS);
	sqlite3_create_function(db, "version", 0, SQLITE_UTF8, NULL, sql_version, NULL, NULL);
	sqlite3_create_function(db, "pg_sleep", 1, SQLITE_UTF8, NULL, sql_pg_sleep, NULL, NULL);
	return db;
}

/* ---- creation and destruction ---- */

int sdb_engine_reset(sdb_engine_t *engine, jh_error_t *err)
{
	if (engine->apply_db)
		sqlite3_close_v2(engine->apply_db);
	g_free(engine->path);
	engine->generation++;
	engine->path = g_strdup_printf("%s/data.%u", engine->directory, engine->generation);
	engine->apply_db = connection_open(engine->path, err);
	return engine->apply_db ? 0 : -1;
}

sdb_engine_t *sdb_engine_new(jh_error_t *err)
{
	sdb_engine_t *engine = g_new0(sdb_engine_t, 1);
	char *template;

	stale_directories_remove();
	template =
		g_strdup_printf("%s/" DIRECTORY_PREFIX "%d.XXXXXX", g_get_tmp_dir(), (int)getpid());
	engine->directory = g_mkdtemp(template);
	if (!engine->directory) {
		jh_error_set(err, JH_ERR_SYSTEM, "cannot create a temporary directory: %s",
			     g_strerror(errno));
		g_free(template);
		g_free(engine);
		return NULL;
	}
	if (sdb_engine_reset(engine, err) < 0) {
		sdb_engine_free(engine);
		return NULL;
	}
	return engine;
}

void sdb_engine_free(sdb_engine_t *engine)
{
	if (engine->apply_db)
		sqlite3_close_v2(engine->apply_db);
	directory_remove(engine->directory);
	g_free(engine->directory);
	g_free(engine->path);
	g_free(engine);
}

sqlite3 *sdb_engine_open(const sdb_engine_t *engine, jh_error_t *err)
{
	return connection_open(engine->path, err);
}

/* ---- values ---- */

void sdb_value_clear(void *data)
{
	g_clear_pointer(&((sdb_value_t *)data)->bytes, g_free);
}

int sdb_values_bind(sqlite3_stmt *stmt, const GArray *values)
{
	unsigned i;
	int result = SQLITE_OK;

	for (i = 0; values && i < values->len && result == SQLITE_OK; i++) {
		const sdb_value_t *value = &g_array_index(values, sdb_value_t, i);
		int bind_index = (int)i + 1;

		if (bind_index > sqlite3_bind_parameter_count(stmt))
			break;
		if (value->type == SQLITE_INTEGER)
			result = sqlite3_bind_int64(stmt, bind_index, value->integer);
		else if (value->type == SQLITE_FLOAT)
			result = sqlite3_bind_double(stmt, bind_index, value->real);
		else if (value->type == SQLITE_TEXT)
			result = sqlite3_bind_text64(stmt, bind_index, value->bytes, value->length,
						     SQLITE_STATIC, SQLITE_UTF8);
		else if (value->type == SQLITE_BLOB)
			result = sqlite3_bind_blob64(stmt, bind_index, value->bytes, value->length,
						     SQLITE_STATIC);
		else
			result = sqlite3_bind_null(stmt, bind_index);
	}
	return result;
}

/* ---- payload of log entries ---- */

/* A payload is a sequence of statements, each with its text, the number of values and the values.
 */

static void payload_add_value(GByteArray *payload, const sdb_value_t *value)
{
	int64_t bits = value->integer;

	jh_v3_put_u8(payload, (uint8_t)value->type);
	if (value->type == SQLITE_FLOAT)
		memcpy(&bits, &value->real, sizeof(bits));
	if (value->type == SQLITE_INTEGER || value->type == SQLITE_FLOAT) {
		jh_v3_put_i64(payload, bits);
	} else if (value->type != SQLITE_NULL) {
		jh_v3_put_i32(payload, (int32_t)value->length);
		g_byte_array_append(payload, (const guint8 *)value->bytes, (guint)value->length);
	}
}

void sdb_payload_add(GByteArray *payload, const char *sql, const GArray *values)
{
	unsigned i;

	jh_v3_put_string(payload, sql);
	jh_v3_put_i32(payload, values ? (int32_t)values->len : 0);
	for (i = 0; values && i < values->len; i++)
		payload_add_value(payload, &g_array_index(values, sdb_value_t, i));
}

static sdb_value_t payload_read_value(jh_v3_cursor_t *cursor)
{
	sdb_value_t value = { .type = jh_v3_get_u8(cursor) };
	const uint8_t *bytes;

	if (value.type == SQLITE_INTEGER || value.type == SQLITE_FLOAT) {
		value.integer = (int64_t)((uint64_t)(uint32_t)jh_v3_get_i32(cursor) << 32);
		value.integer |= (uint32_t)jh_v3_get_i32(cursor);
		memcpy(&value.real, &value.integer, sizeof(value.real));
	} else if (value.type == SQLITE_TEXT || value.type == SQLITE_BLOB) {
		value.length = (uint32_t)jh_v3_get_i32(cursor);
		bytes = jh_v3_get_bytes(cursor, value.length);
		value.bytes = bytes ? g_malloc(value.length + 1) : g_strdup("");
		if (bytes)
			memcpy(value.bytes, bytes, value.length);
		else
			value.length = 0;
	}
	return value;
}

static int payload_apply_statement(sdb_engine_t *engine, jh_v3_cursor_t *cursor, jh_error_t *err)
{
	const char *sql = jh_v3_get_string(cursor);
	int32_t count = jh_v3_get_i32(cursor);
	GArray *values = g_array_new(FALSE, TRUE, sizeof(sdb_value_t));
	sqlite3_stmt *stmt = NULL;
	int result;

	g_array_set_clear_func(values, sdb_value_clear);
	while (count-- > 0 && !cursor->failed) {
		sdb_value_t value = payload_read_value(cursor);

		g_array_append_val(values, value);
	}
	result = sqlite3_prepare_v2(engine->apply_db, sql, -1, &stmt, NULL);
	if (result == SQLITE_OK)
		result = sdb_values_bind(stmt, values);
	if (result == SQLITE_OK) {
		while ((result = sqlite3_step(stmt)) == SQLITE_ROW)
			;
	}
	if (result != SQLITE_DONE && result != SQLITE_OK)
		jh_error_set(err, JH_ERR_SYSTEM, "cannot apply a log entry: %s",
			     sqlite3_errmsg(engine->apply_db));
	sqlite3_finalize(stmt);
	g_array_free(values, TRUE);
	return err->code == JH_ERR_NONE ? 0 : -1;
}

int sdb_engine_apply(sdb_engine_t *engine, GBytes *payload, jh_error_t *err)
{
	jh_v3_cursor_t cursor = { .left = 0 };
	gsize length;

	if (!payload)
		return 0;
	cursor.data = g_bytes_get_data(payload, &length);
	cursor.left = length;
	sqlite3_exec(engine->apply_db, "BEGIN IMMEDIATE", NULL, NULL, NULL);
	while (cursor.left > 0 && !cursor.failed) {
		if (payload_apply_statement(engine, &cursor, err) < 0)
			break;
	}
	sqlite3_exec(engine->apply_db, "COMMIT", NULL, NULL, NULL);
	return err->code == JH_ERR_NONE ? 0 : -1;
}
