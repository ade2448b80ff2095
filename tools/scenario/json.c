/* JSON to Lua tables and back, for the operators' tables. */

#include "scenario.h"

#include <jansson.h>
#include <stdlib.h>

static json_t *json_from(lua_State *state, int index);

static json_t *json_from_array(lua_State *state, int index, lua_Integer length)
{
	json_t *array = json_array();
	lua_Integer i;

	for (i = 1; i <= length; i++) {
		lua_rawgeti(state, index, i);
		json_array_append_new(array, json_from(state, lua_gettop(state)));
		lua_pop(state, 1);
	}
	return array;
}

static json_t *json_from_table(lua_State *state, int index)
{
	lua_Integer length = (lua_Integer)lua_rawlen(state, index);
	json_t *object;

	if (length > 0)
		return json_from_array(state, index, length);
	lua_pushnil(state);
	if (!lua_next(state, index))
		return json_array();
	object = json_object();
	do {
		json_object_set_new(object, lua_tostring(state, -2),
				    json_from(state, lua_gettop(state)));
		lua_pop(state, 1);
	} while (lua_next(state, index));
	return object;
}

static json_t *json_from(lua_State *state, int index)
{
	switch (lua_type(state, index)) {
	case LUA_TTABLE:
		return json_from_table(state, index);
	case LUA_TNUMBER:
		return lua_isinteger(state, index) ? json_integer(lua_tointeger(state, index)) :
						     json_real(lua_tonumber(state, index));
	case LUA_TBOOLEAN:
		return json_boolean(lua_toboolean(state, index));
	case LUA_TSTRING:
		return json_string(lua_tostring(state, index));
	default:
		return json_null();
	}
}

/* json_encode(value) -> text; an empty table is an empty array */
static int api_json_encode(lua_State *state)
{
	json_t *value;
	char *text;

	lua_settop(state, 1);
	value = json_from(state, 1);
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_INDENT(1));
	lua_pushstring(state, text);
	free(text);
	json_decref(value);
	return 1;
}

static void json_push(lua_State *state, const json_t *value)
{
	const char *key;
	json_t *item;
	size_t i;

	switch (json_typeof(value)) {
	case JSON_OBJECT:
		lua_newtable(state);
		json_object_foreach((json_t *)value, key, item)
		{
			json_push(state, item);
			lua_setfield(state, -2, key);
		}
		break;
	case JSON_ARRAY:
		lua_newtable(state);
		json_array_foreach(value, i, item)
		{
			json_push(state, item);
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

/* json_decode(text) -> value */
static int api_json_decode(lua_State *state)
{
	json_error_t why;
	json_t *value = json_loads(luaL_checkstring(state, 1), JSON_DECODE_ANY, &why);

	if (!value)
		return luaL_error(state, "JSON line %d: %s", why.line, why.text);
	json_push(state, value);
	json_decref(value);
	return 1;
}

void json_open(lua_State *state)
{
	lua_pushcfunction(state, api_json_encode);
	lua_setglobal(state, "json_encode");
	lua_pushcfunction(state, api_json_decode);
	lua_setglobal(state, "json_decode");
}
