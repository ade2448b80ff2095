#include "sql.h"

#include <string.h>

/* SQLite's default limit; PostgreSQL's is 65535. */
#define MAX_PARAMETERS 32766u

/* ---- type names ---- */

static const struct {
	const char *name;
	uint32_t type;
} type_names[] = {
	{ "int", JH_V3_TYPE_INT4 },	 { "integer", JH_V3_TYPE_INT4 },
	{ "int4", JH_V3_TYPE_INT4 },	 { "serial", JH_V3_TYPE_INT4 },
	{ "bigint", JH_V3_TYPE_INT8 },	 { "int8", JH_V3_TYPE_INT8 },
	{ "smallint", JH_V3_TYPE_INT2 }, { "int2", JH_V3_TYPE_INT2 },
	{ "real", JH_V3_TYPE_FLOAT8 },	 { "double", JH_V3_TYPE_FLOAT8 },
	{ "float", JH_V3_TYPE_FLOAT8 },	 { "float8", JH_V3_TYPE_FLOAT8 },
	{ "bool", JH_V3_TYPE_BOOL },	 { "boolean", JH_V3_TYPE_BOOL },
	{ "bytea", JH_V3_TYPE_BYTEA },	 { "blob", JH_V3_TYPE_BYTEA },
};

uint32_t sdb_type_by_name(const char *name)
{
	size_t length = strcspn(name, " (");
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(type_names); i++) {
		if (strlen(type_names[i].name) == length &&
		    g_ascii_strncasecmp(type_names[i].name, name, length) == 0)
			return type_names[i].type;
	}
	return JH_V3_TYPE_TEXT;
}

/* ---- scanner ---- */

typedef struct scanner {
	const char *pos;
	GString *rewritten;
	sdb_sql_t *sql;
} scanner_t;

static sdb_token_t *token_at(const sdb_sql_t *sql, unsigned i)
{
	return i < sql->tokens->len ? &g_array_index(sql->tokens, sdb_token_t, i) : NULL;
}

static void token_clear(gpointer data)
{
	g_free(((sdb_token_t *)data)->text);
}

/* Adds the token whose rewritten text starts at offset @start; takes ownership of @text. */
static void token_add(scanner_t *scanner, sdb_token_kind_t kind, char *text, size_t start,
		      unsigned parameter)
{
	const sdb_token_t token = { .kind = kind,
				    .text = text,
				    .parameter = parameter,
				    .start = start,
				    .end = scanner->rewritten->len };

	g_array_append_val(scanner->sql->tokens, token);
}

static bool is_word_start(char c)
{
	return g_ascii_isalpha(c) || c == '_' || (unsigned char)c >= 0x80;
}

static bool is_word_char(char c)
{
	return is_word_start(c) || g_ascii_isdigit(c) || c == '$';
}

static void skip_comment(scanner_t *scanner)
{
	const char *end;

	if (scanner->pos[0] == '-') {
		scanner->pos += strcspn(scanner->pos, "\n");
		return;
	}
	end = strstr(scanner->pos + 2, "*/");
	scanner->pos = end ? end + 2 : scanner->pos + strlen(scanner->pos);
}

/* Scans a string or a quoted name, in which a doubled quote stands for one. */
static void scan_quoted(scanner_t *scanner, char quote)
{
	size_t start = scanner->rewritten->len;
	GString *text = g_string_new(NULL);
	const char *pos = scanner->pos + 1;

	while (*pos) {
		if (*pos == quote) {
			if (pos[1] != quote)
				break;
			pos++;
		}
		g_string_append_c(text, *pos++);
	}
	if (*pos)
		pos++;
	g_string_append_len(scanner->rewritten, scanner->pos, pos - scanner->pos);
	scanner->pos = pos;
	token_add(scanner, quote == '"' ? SDB_TOKEN_WORD : SDB_TOKEN_STRING,
		  g_string_free(text, FALSE), start, 0);
}

static char unescape(char c)
{
	switch (c) {
	case 'n':
		return '\n';
	case 't':
		return '\t';
	case 'r':
		return '\r';
	default:
		return c;
	}
}

/* Scans E'...' and writes it as a plain string, since SQLite has no backslash escapes. */
static void scan_escape_string(scanner_t *scanner)
{
	size_t start = scanner->rewritten->len;
	GString *text = g_string_new(NULL);
	const char *pos = scanner->pos + 2;
	const char *c;

	while (*pos && (*pos != '\'' || pos[1] == '\'')) {
		char value = *pos;

		if ((*pos == '\'' || *pos == '\\') && pos[1]) {
			value = *pos == '\\' ? unescape(pos[1]) : '\'';
			pos++;
		}
		g_string_append_c(text, value);
		pos++;
	}
	scanner->pos = *pos ? pos + 1 : pos;
	g_string_append_c(scanner->rewritten, '\'');
	for (c = text->str; *c; c++) {
		if (*c == '\'')
			g_string_append_c(scanner->rewritten, '\'');
		g_string_append_c(scanner->rewritten, *c);
	}
	g_string_append_c(scanner->rewritten, '\'');
	token_add(scanner, SDB_TOKEN_STRING, g_string_free(text, FALSE), start, 0);
}

/* Rewrites $1 to ?1. */
static void scan_parameter(scanner_t *scanner)
{
	size_t start = scanner->rewritten->len;
	char *end;
	guint64 number = g_ascii_strtoull(scanner->pos + 1, &end, 10);

	number = CLAMP(number, 1, MAX_PARAMETERS);
	g_string_append_printf(scanner->rewritten, "?%u", (unsigned)number);
	scanner->pos = end;
	scanner->sql->parameter_count = MAX(scanner->sql->parameter_count, (unsigned)number);
	token_add(scanner, SDB_TOKEN_PARAMETER, NULL, start, (unsigned)number);
}

/* Drops ::type, which SQLite lacks; records the type if the cast follows a parameter. */
static void scan_cast(scanner_t *scanner)
{
	const sdb_token_t *last = token_at(scanner->sql, scanner->sql->tokens->len - 1);
	char *name;
	size_t length;
	uint32_t type;

	scanner->pos += 2;
	length = strspn(scanner->pos, " ");
	scanner->pos += length;
	for (length = 0; is_word_char(scanner->pos[length]);)
		length++;
	name = g_strndup(scanner->pos, length);
	scanner->pos += length;
	if (g_ascii_strcasecmp(name, "double") == 0 &&
	    g_ascii_strncasecmp(scanner->pos, " precision", 10) == 0)
		scanner->pos += 10;
	if (*scanner->pos == '(')
		scanner->pos += strcspn(scanner->pos, ")") + (strchr(scanner->pos, ')') ? 1 : 0);
	type = sdb_type_by_name(name);
	g_free(name);
	if (!last || last->kind != SDB_TOKEN_PARAMETER)
		return;
	if (scanner->sql->cast_types->len < last->parameter)
		g_array_set_size(scanner->sql->cast_types, last->parameter);
	g_array_index(scanner->sql->cast_types, uint32_t, last->parameter - 1) = type;
}

static void scan_verbatim(scanner_t *scanner, sdb_token_kind_t kind, size_t length)
{
	size_t start = scanner->rewritten->len;
	char *text = kind == SDB_TOKEN_WORD ? g_ascii_strdown(scanner->pos, (gssize)length) :
					      g_strndup(scanner->pos, length);

	g_string_append_len(scanner->rewritten, scanner->pos, (gssize)length);
	scanner->pos += length;
	token_add(scanner, kind, text, start, 0);
}

static size_t symbol_length(const char *pos)
{
	static const char *const two_char_symbols[] = { "<=", ">=", "<>", "!=", "||", "->" };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(two_char_symbols); i++) {
		if (strncmp(pos, two_char_symbols[i], 2) == 0)
			return 2;
	}
	return 1;
}

static void scan_token(scanner_t *scanner)
{
	const char *pos = scanner->pos;
	size_t length = 1;

	if (g_ascii_isspace(*pos)) {
		g_string_append_c(scanner->rewritten, ' ');
		scanner->pos++;
	} else if ((pos[0] == '-' && pos[1] == '-') || (pos[0] == '/' && pos[1] == '*')) {
		skip_comment(scanner);
	} else if (*pos == '\'' || *pos == '"') {
		scan_quoted(scanner, *pos);
	} else if ((*pos == 'E' || *pos == 'e') && pos[1] == '\'') {
		scan_escape_string(scanner);
	} else if (*pos == '$' && g_ascii_isdigit(pos[1])) {
		scan_parameter(scanner);
	} else if (pos[0] == ':' && pos[1] == ':') {
		scan_cast(scanner);
	} else if (is_word_start(*pos)) {
		while (is_word_char(pos[length]))
			length++;
		scan_verbatim(scanner, SDB_TOKEN_WORD, length);
	} else if (g_ascii_isdigit(*pos)) {
		while (g_ascii_isalnum(pos[length]) || pos[length] == '.')
			length++;
		scan_verbatim(scanner, SDB_TOKEN_NUMBER, length);
	} else {
		scan_verbatim(scanner, SDB_TOKEN_SYMBOL, symbol_length(pos));
	}
}

/* ---- classification ---- */

static const struct {
	const char *word;
	sdb_sql_kind_t kind;
} first_words[] = {
	{ "select", SDB_SQL_ENGINE },	{ "with", SDB_SQL_ENGINE },
	{ "values", SDB_SQL_ENGINE },	{ "insert", SDB_SQL_ENGINE },
	{ "update", SDB_SQL_ENGINE },	{ "delete", SDB_SQL_ENGINE },
	{ "replace", SDB_SQL_ENGINE },	{ "create", SDB_SQL_ENGINE },
	{ "drop", SDB_SQL_ENGINE },	{ "alter", SDB_SQL_ENGINE },
	{ "explain", SDB_SQL_ENGINE },	{ "begin", SDB_SQL_BEGIN },
	{ "start", SDB_SQL_BEGIN },	{ "commit", SDB_SQL_COMMIT },
	{ "end", SDB_SQL_COMMIT },	{ "rollback", SDB_SQL_ROLLBACK },
	{ "abort", SDB_SQL_ROLLBACK },	{ "savepoint", SDB_SQL_SAVEPOINT },
	{ "release", SDB_SQL_RELEASE }, { "set", SDB_SQL_SET },
	{ "reset", SDB_SQL_RESET },	{ "show", SDB_SQL_SHOW },
	{ "discard", SDB_SQL_DISCARD },
};

static const struct {
	const char *word;
	sdb_sql_kind_t kind;
} group_functions[] = {
	{ "group_status", SDB_SQL_GROUP_STATUS }, { "group_watch", SDB_SQL_GROUP_WATCH },
	{ "group_fence", SDB_SQL_GROUP_FENCE },	  { "group_promote", SDB_SQL_GROUP_PROMOTE },
	{ "group_follow", SDB_SQL_GROUP_FOLLOW }, { "group_fetch", SDB_SQL_GROUP_FETCH },
};

/* Recognizes SELECT * FROM group_...( by its first tokens. */
static sdb_sql_kind_t group_function_kind(const sdb_sql_t *sql)
{
	const sdb_token_t *star = token_at(sql, 1);
	unsigned i;

	if (!star || g_strcmp0(star->text, "*") != 0 || !g_str_equal(sdb_sql_word(sql, 2), "from"))
		return SDB_SQL_ENGINE;
	for (i = 0; i < G_N_ELEMENTS(group_functions); i++) {
		if (g_str_equal(sdb_sql_word(sql, 3), group_functions[i].word))
			return group_functions[i].kind;
	}
	return SDB_SQL_ENGINE;
}

static sdb_sql_kind_t sql_classify(const sdb_sql_t *sql)
{
	sdb_sql_kind_t kind = SDB_SQL_UNSUPPORTED;
	const char *word = sdb_sql_word(sql, 0);
	unsigned i;

	if (sql->tokens->len == 0)
		return SDB_SQL_EMPTY;
	for (i = 0; i < G_N_ELEMENTS(first_words); i++) {
		if (g_str_equal(word, first_words[i].word))
			kind = first_words[i].kind;
	}
	if (kind == SDB_SQL_ROLLBACK && sdb_sql_has_word(sql, "to"))
		return SDB_SQL_ROLLBACK_TO;
	if (g_str_equal(word, "select"))
		return group_function_kind(sql);
	return kind;
}

sdb_sql_t *sdb_sql_parse(const char *text, size_t *consumed)
{
	sdb_sql_t *sql = g_new0(sdb_sql_t, 1);
	scanner_t scanner = { .pos = text, .rewritten = g_string_new(NULL), .sql = sql };

	sql->tokens = g_array_new(FALSE, TRUE, sizeof(sdb_token_t));
	g_array_set_clear_func(sql->tokens, token_clear);
	sql->cast_types = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	while (*scanner.pos && *scanner.pos != ';')
		scan_token(&scanner);
	if (*scanner.pos == ';')
		scanner.pos++;
	*consumed = (size_t)(scanner.pos - text);
	sql->text = g_string_free(scanner.rewritten, FALSE);
	g_array_set_size(sql->cast_types, sql->parameter_count);
	sql->kind = sql_classify(sql);
	return sql;
}

void sdb_sql_free(sdb_sql_t *sql)
{
	if (!sql)
		return;
	g_free(sql->text);
	g_array_free(sql->tokens, TRUE);
	g_array_free(sql->cast_types, TRUE);
	g_free(sql);
}

const char *sdb_sql_word(const sdb_sql_t *sql, unsigned i)
{
	const sdb_token_t *token = token_at(sql, i);

	return token && token->kind == SDB_TOKEN_WORD ? token->text : "";
}

bool sdb_sql_has_word(const sdb_sql_t *sql, const char *word)
{
	unsigned i;

	for (i = 0; i < sql->tokens->len; i++) {
		if (g_str_equal(sdb_sql_word(sql, i), word))
			return true;
	}
	return false;
}

char *sdb_sql_arguments(const sdb_sql_t *sql)
{
	const sdb_token_t *opening = token_at(sql, 4);
	const sdb_token_t *closing = token_at(sql, sql->tokens->len - 1);

	if (!opening || !closing || g_strcmp0(opening->text, "(") != 0 ||
	    g_strcmp0(closing->text, ")") != 0)
		return g_strdup("");
	return g_strndup(sql->text + opening->end, closing->start - opening->end);
}

/* ---- type inference ---- */

static uint32_t table_column_type(sqlite3 *db, const char *table, const char *column)
{
	sqlite3_stmt *stmt = NULL;
	uint32_t type = 0;

	if (sqlite3_prepare_v2(db,
			       "SELECT type FROM pragma_table_info(?1) "
			       "WHERE name = ?2 COLLATE NOCASE",
			       -1, &stmt, NULL) != SQLITE_OK)
		return 0;
	sqlite3_bind_text(stmt, 1, table, -1, SQLITE_STATIC);
	sqlite3_bind_text(stmt, 2, column, -1, SQLITE_STATIC);
	if (sqlite3_step(stmt) == SQLITE_ROW)
		type = sdb_type_by_name((const char *)sqlite3_column_text(stmt, 0));
	sqlite3_finalize(stmt);
	return type;
}

static bool precedes_table_name(const char *word)
{
	return g_str_equal(word, "from") || g_str_equal(word, "join") ||
	       g_str_equal(word, "into") || g_str_equal(word, "update");
}

uint32_t sdb_sql_column_type(const sdb_sql_t *sql, sqlite3 *db, const char *column)
{
	unsigned i;

	for (i = 0; i + 1 < sql->tokens->len; i++) {
		uint32_t type = 0;

		if (precedes_table_name(sdb_sql_word(sql, i)) && *sdb_sql_word(sql, i + 1))
			type = table_column_type(db, sdb_sql_word(sql, i + 1), column);
		if (type)
			return type;
	}
	return 0;
}

static bool token_equals(const sdb_sql_t *sql, unsigned i, const char *text)
{
	const sdb_token_t *token = token_at(sql, i);

	return token && token->kind != SDB_TOKEN_STRING && g_strcmp0(token->text, text) == 0;
}

static bool is_comparison(const sdb_sql_t *sql, unsigned i)
{
	static const char *const operators[] = { "=", "<", ">", "<=", ">=", "<>", "!=", "like" };
	unsigned k;

	for (k = 0; k < G_N_ELEMENTS(operators); k++) {
		if (token_equals(sql, i, operators[k]))
			return true;
	}
	return false;
}

/* Return: index of the column's token if token @i is inside "column IN (...)", otherwise -1. */
static int in_list_column(const sdb_sql_t *sql, unsigned i)
{
	while (i > 1 && !token_equals(sql, i, "("))
		i--;
	return i > 1 && token_equals(sql, i - 1, "in") ? (int)i - 2 : -1;
}

/* Return: type of the parameter at token @i by the column that it is compared with; 0 if unknown */
static uint32_t infer_from_neighbours(const sdb_sql_t *sql, sqlite3 *db, unsigned i)
{
	int column = -1;

	if (i > 0 && (token_equals(sql, i - 1, "limit") || token_equals(sql, i - 1, "offset")))
		return JH_V3_TYPE_INT8;
	if (i > 1 && is_comparison(sql, i - 1))
		column = (int)i - 2;
	else if (is_comparison(sql, i + 1))
		column = (int)i + 2;
	else if (i > 1 && token_equals(sql, i - 1, "between"))
		column = (int)i - 2;
	else if (i > 3 && token_equals(sql, i - 1, "and") && token_equals(sql, i - 3, "between"))
		column = (int)i - 4;
	else
		column = in_list_column(sql, i);
	if (column < 0 || !*sdb_sql_word(sql, (unsigned)column))
		return 0;
	return sdb_sql_column_type(sql, db, sdb_sql_word(sql, (unsigned)column));
}

static void type_set_if_unknown(GArray *types, unsigned parameter, uint32_t type)
{
	uint32_t *stored_type = &g_array_index(types, uint32_t, parameter - 1);

	if (*stored_type == 0)
		*stored_type = type;
}

/* Adds the names of an INSERT's columns. Return: index of the token after the column list. */
static unsigned insert_read_columns(const sdb_sql_t *sql, sqlite3 *db, GPtrArray *columns)
{
	unsigned i = 3;
	sqlite3_stmt *stmt = NULL;

	if (token_equals(sql, 3, "(")) {
		for (i = 4; i < sql->tokens->len && !token_equals(sql, i, ")"); i++) {
			if (!token_equals(sql, i, ","))
				g_ptr_array_add(columns, g_strdup(sdb_sql_word(sql, i)));
		}
		return i + 1;
	}
	if (sqlite3_prepare_v2(db, "SELECT name FROM pragma_table_info(?1)", -1, &stmt, NULL) ==
	    SQLITE_OK) {
		sqlite3_bind_text(stmt, 1, sdb_sql_word(sql, 2), -1, SQLITE_STATIC);
		while (sqlite3_step(stmt) == SQLITE_ROW)
			g_ptr_array_add(columns,
					g_strdup((const char *)sqlite3_column_text(stmt, 0)));
	}
	sqlite3_finalize(stmt);
	return i;
}

/* Infers types in INSERT INTO t (a, b) VALUES ($1, $2), ... by the position in each row. */
static void infer_insert(const sdb_sql_t *sql, sqlite3 *db, GArray *types)
{
	GPtrArray *columns = g_ptr_array_new_with_free_func(g_free);
	unsigned i = insert_read_columns(sql, db, columns);
	unsigned depth = 0;
	unsigned column_index = 0;

	if (!token_equals(sql, i, "values"))
		i = sql->tokens->len;
	for (; i < sql->tokens->len; i++) {
		const sdb_token_t *token = token_at(sql, i);
		bool is_whole_item =
			(token_equals(sql, i - 1, "(") || token_equals(sql, i - 1, ",")) &&
			(token_equals(sql, i + 1, ")") || token_equals(sql, i + 1, ","));

		if (token_equals(sql, i, "(") && depth++ == 0)
			column_index = 0;
		else if (token_equals(sql, i, ")") && depth > 0)
			depth--;
		else if (token_equals(sql, i, ",") && depth == 1)
			column_index++;
		else if (token->kind == SDB_TOKEN_PARAMETER && depth == 1 && is_whole_item &&
			 column_index < columns->len)
			type_set_if_unknown(
				types, token->parameter,
				sdb_sql_column_type(sql, db,
						    g_ptr_array_index(columns, column_index)));
	}
	g_ptr_array_free(columns, TRUE);
}

void sdb_sql_infer_types(const sdb_sql_t *sql, sqlite3 *db, GArray *types)
{
	unsigned i;

	for (i = 0; i < sql->cast_types->len; i++)
		type_set_if_unknown(types, i + 1, g_array_index(sql->cast_types, uint32_t, i));
	if (sql->parameter_count > 0 && token_equals(sql, 0, "insert") &&
	    token_equals(sql, 1, "into"))
		infer_insert(sql, db, types);
	for (i = 0; i < sql->tokens->len; i++) {
		const sdb_token_t *token = token_at(sql, i);

		if (token->kind == SDB_TOKEN_PARAMETER)
			type_set_if_unknown(types, token->parameter,
					    infer_from_neighbours(sql, db, i));
	}
	for (i = 0; i < types->len; i++)
		type_set_if_unknown(types, i + 1, JH_V3_TYPE_TEXT);
}
