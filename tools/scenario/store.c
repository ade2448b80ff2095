/*
 * Lua interface to in-memory SQLite databases. A scenario records the calls of its clients and
 * their results as rows; each invariant is then checked by one query.
 */

#include "scenario.h"

#include <sqlite3.h>

#define STORE_METATABLE "scenario.store"

typedef struct store {
	sqlite3 *db;
} store_t;

static sqlite3 *store_check_arg(lua_State *state)
{
	return ((store_t *)luaL_checkudata(state, 1, STORE_METATABLE))->db;
}

static void bind_value(lua_State *state, int stack_index, sqlite3_stmt *statement,
		       int parameter_index)
{
	size_t length;
	const char *text;

	switch (lua_type(state, stack_index)) {
	case LUA_TNUMBER:
		if (lua_isinteger(state, stack_index))
			sqlite3_bind_int64(statement, parameter_index,
					   lua_tointeger(state, stack_index));
		else
			sqlite3_bind_double(statement, parameter_index,
					    lua_tonumber(state, stack_index));
		break;
	case LUA_TBOOLEAN:
		sqlite3_bind_int(statement, parameter_index, lua_toboolean(state, stack_index));
		break;
	case LUA_TSTRING:
		text = lua_tolstring(state, stack_index, &length);
		sqlite3_bind_text(statement, parameter_index, text, (int)length, SQLITE_TRANSIENT);
		break;
	default:
		sqlite3_bind_null(statement, parameter_index);
	}
}

static void push_column(lua_State *state, sqlite3_stmt *statement, int column)
{
	switch (sqlite3_column_type(statement, column)) {
	case SQLITE_INTEGER:
		lua_pushinteger(state, sqlite3_column_int64(statement, column));
		break;
	case SQLITE_FLOAT:
		lua_pushnumber(state, sqlite3_column_double(statement, column));
		break;
	case SQLITE_NULL:
		lua_pushboolean(state, 0);
		break;
	default:
		lua_pushstring(state, (const char *)sqlite3_column_text(statement, column));
	}
}

/* store:rows(sql, value...) -> array of rows, each an array of values; NULL becomes false */
static int api_store_rows(lua_State *state)
{
	sqlite3 *db = store_check_arg(state);
	const char *sql = luaL_checkstring(state, 2);
	int argument_count = lua_gettop(state);
	sqlite3_stmt *statement = NULL;
	lua_Integer row_count = 0;
	int i;

	if (sqlite3_prepare_v2(db, sql, -1, &statement, NULL) != SQLITE_OK)
		return luaL_error(state, "%s: %s", sql, sqlite3_errmsg(db));
	for (i = 3; i <= argument_count; i++)
		bind_value(state, i, statement, i - 2);
	lua_newtable(state);
	while (sqlite3_step(statement) == SQLITE_ROW) {
		lua_createtable(state, sqlite3_column_count(statement), 0);
		for (i = 0; i < sqlite3_column_count(statement); i++) {
			push_column(state, statement, i);
			lua_rawseti(state, -2, i + 1);
		}
		lua_rawseti(state, -2, ++row_count);
	}
	if (sqlite3_finalize(statement) != SQLITE_OK)
		return luaL_error(state, "%s: %s", sql, sqlite3_errmsg(db));
	return 1;
}

static int api_store_close(lua_State *state)
{
	store_t *store = luaL_checkudata(state, 1, STORE_METATABLE);

	sqlite3_close(store->db);
	store->db = NULL;
	return 0;
}

/* store() -> new empty in-memory database; closed when Lua collects it */
static int api_store(lua_State *state)
{
	store_t *store = lua_newuserdatauv(state, sizeof(*store), 0);

	luaL_setmetatable(state, STORE_METATABLE);
	if (sqlite3_open(":memory:", &store->db) != SQLITE_OK)
		return luaL_error(state, "cannot open an in-memory SQLite database");
	return 1;
}

static const luaL_Reg store_methods[] = {
	{ "rows", api_store_rows },
	{ NULL, NULL },
};

void store_register_api(lua_State *state)
{
	luaL_newmetatable(state, STORE_METATABLE);
	lua_newtable(state);
	luaL_setfuncs(state, store_methods, 0);
	lua_setfield(state, -2, "__index");
	lua_pushcfunction(state, api_store_close);
	lua_setfield(state, -2, "__gc");
	lua_pop(state, 1);
	lua_pushcfunction(state, api_store);
	lua_setglobal(state, "store");
}
