/* Lua functions that encode and decode JSON, for the tables of the operators' configuration. */

#include "scenario.h"

#include <jansson.h>
#include <stdlib.h>

static json_t *json_from_lua(lua_State *state, int stack_index);

static json_t *json_array_from_lua(lua_State *state, int stack_index, lua_Integer length)
{
	json_t *array = json_array();
	lua_Integer i;

	for (i = 1; i <= length; i++) {
		lua_rawgeti(state, stack_index, i);
		json_array_append_new(array, json_from_lua(state, lua_gettop(state)));
		lua_pop(state, 1);
	}
	return array;
}

static json_t *json_from_lua_table(lua_State *state, int stack_index)
{
	lua_Integer length = (lua_Integer)lua_rawlen(state, stack_index);
	json_t *object;

	if (length > 0)
		return json_array_from_lua(state, stack_index, length);
	lua_pushnil(state);
	if (!lua_next(state, stack_index))
		return json_array();
	object = json_object();
	do {
		json_object_set_new(object, lua_tostring(state, -2),
				    json_from_lua(state, lua_gettop(state)));
		lua_pop(state, 1);
	} while (lua_next(state, stack_index));
	return object;
}

static json_t *json_from_lua(lua_State *state, int stack_index)
{
	switch (lua_type(state, stack_index)) {
	case LUA_TTABLE:
		return json_from_lua_table(state, stack_index);
	case LUA_TNUMBER:
		return lua_isinteger(state, stack_index) ?
			       json_integer(lua_tointeger(state, stack_index)) :
			       json_real(lua_tonumber(state, stack_index));
	case LUA_TBOOLEAN:
		return json_boolean(lua_toboolean(state, stack_index));
	case LUA_TSTRING:
		return json_string(lua_tostring(state, stack_index));
	default:
		return json_null();
	}
}

/*
 * json_encode(value) -> text. A table with array elements becomes an array, and so does an empty
 * table. Any other table becomes an object.
 */
static int api_json_encode(lua_State *state)
{
	json_t *value;
	char *text;

	lua_settop(state, 1);
	value = json_from_lua(state, 1);
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_INDENT(1));
	lua_pushstring(state, text);
	free(text);
	json_decref(value);
	return 1;
}

static void push_json(lua_State *state, const json_t *value)
{
	const char *key;
	json_t *item;
	size_t i;

	switch (json_typeof(value)) {
	case JSON_OBJECT:
		lua_newtable(state);
		json_object_foreach((json_t *)value, key, item)
		{
			push_json(state, item);
			lua_setfield(state, -2, key);
		}
		break;
	case JSON_ARRAY:
		lua_newtable(state);
		json_array_foreach(value, i, item)
		{
			push_json(state, item);
			lua_rawseti(state, -2, (lua_Integer)i + 1);
		}
		break;
	case JSON_STRING:
		lua_pushstring(state, json_string_value(value));
		break;
	case JSON_INTEGER:
		lua_pushinteger(state, json_integer_value(value));
		break;
	case JSON_REAL:
		lua_pushnumber(state, json_real_value(value));
		break;
	default:
		lua_pushboolean(state, json_is_true(value));
	}
}

/* json_decode(text) -> value. JSON null becomes false. */
static int api_json_decode(lua_State *state)
{
	json_error_t error;
	json_t *value = json_loads(luaL_checkstring(state, 1), JSON_DECODE_ANY, &error);

	if (!value)
		return luaL_error(state, "cannot decode JSON: line %d: %s", error.line, error.text);
	push_json(state, value);
	json_decref(value);
	return 1;
}

void json_register_api(lua_State *state)
{
	lua_pushcfunction(state, api_json_encode);
	lua_setglobal(state, "json_encode");
	lua_pushcfunction(state, api_json_decode);
	lua_setglobal(state, "json_decode");
}
