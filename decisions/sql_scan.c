#include "jh_sql_scan.h"

#include <glib.h>
#include <string.h>

/* Lexer */

static bool is_word_start(char c)
{
	return g_ascii_isalpha(c) || c == '_' || (unsigned char)c >= 0x80;
}

static bool is_word_part(char c)
{
	return is_word_start(c) || g_ascii_isdigit(c) || c == '$';
}

/* Block comments nest, as in PostgreSQL. */
static const char *skip_block_comment(const char *p)
{
	unsigned depth = 1;

	for (p += 2; *p && depth > 0; p++) {
		if (p[0] == '/' && p[1] == '*') {
			depth++;
			p++;
		} else if (p[0] == '*' && p[1] == '/') {
			depth--;
			p++;
		}
	}
	return p;
}

static const char *skip_space_and_comments(const char *p)
{
	for (;;) {
		if (g_ascii_isspace(*p) || *p == '\v')
			p++;
		else if (p[0] == '-' && p[1] == '-')
			p += strcspn(p, "\n");
		else if (p[0] == '/' && p[1] == '*')
			p = skip_block_comment(p);
		else
			return p;
	}
}

/*
 * Find the closing quote of a string whose contents start at @p; a doubled quote is part of them.
 * Return: the closing quote, or the end of the text
 */
static const char *find_closing_quote(const char *p, char quote, bool has_escapes)
{
	for (; *p; p++) {
		if (has_escapes && *p == '\\' && p[1])
			p++;
		else if (*p == quote && p[1] == quote)
			p++;
		else if (*p == quote)
			break;
	}
	return p;
}

/* Return: length of the dollar-quote delimiter, $$ or $tag$, at @p; 0 if there is none */
static size_t dollar_delimiter_length(const char *p)
{
	size_t length = 1;

	if (*p != '$')
		return 0;
	if (is_word_start(p[1])) {
		while (is_word_part(p[length]) && p[length] != '$')
			length++;
	}
	return p[length] == '$' ? length + 1 : 0;
}

static const char *find_dollar_delimiter(const char *p, const char *delimiter,
					 size_t delimiter_length)
{
	for (; *p; p++) {
		if (*p == '$' && strncmp(p, delimiter, delimiter_length) == 0)
			return p;
	}
	return p;
}

/* Set @token to the text up to @end. Return: @next, where scanning continues */
static const char *set_token(jh_sql_token_t *token, jh_sql_token_type_t type, const char *text,
			     const char *end, const char *next)
{
	token->type = type;
	token->text = text;
	token->length = (size_t)(end - text);
	return next;
}

static const char *lex_quoted(const char *p, jh_sql_token_t *token, jh_sql_token_type_t type,
			      bool has_escapes)
{
	const char *end = find_closing_quote(p + 1, *p, has_escapes);

	return set_token(token, type, p + 1, end, *end ? end + 1 : end);
}

static const char *lex_word(const char *p, jh_sql_token_t *token)
{
	const char *end = p;

	while (is_word_part(*end) || (*end == '.' && is_word_part(end[1])))
		end++;
	return set_token(token, JH_SQL_WORD, p, end, end);
}

static const char *lex_number(const char *p, jh_sql_token_t *token)
{
	const char *end = p + 1;

	while (g_ascii_isalnum(*end) || *end == '.' || *end == '_')
		end++;
	return set_token(token, JH_SQL_NUMBER, p, end, end);
}

/* Read the token that starts at @p. Return: the first byte after it */
static const char *lex_token(const char *p, jh_sql_token_t *token)
{
	size_t delimiter_length = dollar_delimiter_length(p);
	const char *end;

	if (delimiter_length > 0) {
		end = find_dollar_delimiter(p + delimiter_length, p, delimiter_length);
		return set_token(token, JH_SQL_STRING, p + delimiter_length, end,
				 *end ? end + delimiter_length : end);
	}
	if ((*p == 'e' || *p == 'E') && p[1] == '\'')
		return lex_quoted(p + 1, token, JH_SQL_STRING, true);
	if (*p == '\'')
		return lex_quoted(p, token, JH_SQL_STRING, false);
	if (*p == '"')
		return lex_quoted(p, token, JH_SQL_WORD, false);
	if (is_word_start(*p))
		return lex_word(p, token);
	if (g_ascii_isdigit(*p) || (*p == '-' && g_ascii_isdigit(p[1])))
		return lex_number(p, token);
	return set_token(token, JH_SQL_SYMBOL, p, p + 1, p + 1);
}

bool jh_sql_next_statement(const char **cursor, jh_sql_statement_t *statement)
{
	const char *p = skip_space_and_comments(*cursor);
	const char *end;

	while (*p == ';')
		p = skip_space_and_comments(p + 1);
	*statement = (jh_sql_statement_t){ .text = p };
	end = p;
	while (*p && *p != ';') {
		jh_sql_token_t token;

		p = lex_token(p, &token);
		end = p;
		if (statement->token_count < JH_SQL_MAX_TOKENS)
			statement->tokens[statement->token_count++] = token;
		else
			statement->has_more_tokens = true;
		p = skip_space_and_comments(p);
	}
	statement->length = (size_t)(end - statement->text);
	*cursor = *p ? p + 1 : p;
	return statement->length > 0;
}

/* Classification */

/* True if token @i is this key word, in any case, or this symbol. */
static bool token_is(const jh_sql_statement_t *statement, unsigned i, const char *text)
{
	const jh_sql_token_t *token = &statement->tokens[i];

	if (i >= statement->token_count || token->length != strlen(text))
		return false;
	if (token->type != JH_SQL_WORD && token->type != JH_SQL_SYMBOL)
		return false;
	return g_ascii_strncasecmp(token->text, text, token->length) == 0;
}

static bool token_is_any(const jh_sql_statement_t *statement, unsigned i, const char *const *texts)
{
	for (; *texts; texts++) {
		if (token_is(statement, i, *texts))
			return true;
	}
	return false;
}

/* True if @first is followed by @second anywhere in the tokens from index @from on. */
static bool contains_pair(const jh_sql_statement_t *statement, unsigned from, const char *first,
			  const char *second)
{
	unsigned i;

	for (i = from; i < statement->token_count; i++) {
		if (token_is(statement, i, first) && token_is(statement, i + 1, second))
			return true;
	}
	return false;
}

/* Copy token @i to the command's name. Return: 0, or -1 if it is not a name or too long */
static int copy_name(const jh_sql_statement_t *statement, unsigned i, jh_sql_command_t *command)
{
	const jh_sql_token_t *token = &statement->tokens[i];
	size_t j;

	if (i >= statement->token_count || token->type != JH_SQL_WORD)
		return -1;
	if (token->length >= sizeof(command->name))
		return -1;
	for (j = 0; j < token->length; j++)
		command->name[j] = g_ascii_tolower(token->text[j]);
	command->name[token->length] = '\0';
	return 0;
}

/*
 * Parse the parameter name of a SET. SET TIME ZONE 'UTC' and SET NAMES 'UTF8' have neither = nor TO
 * between name and value. Return: index of the value's token, 0 if the syntax is not known
 */
static unsigned parse_set_target(const jh_sql_statement_t *statement, unsigned i,
				 jh_sql_command_t *command)
{
	if (token_is(statement, i, "time") && token_is(statement, i + 1, "zone")) {
		g_strlcpy(command->name, "timezone", sizeof(command->name));
		return i + 2;
	}
	if (token_is(statement, i, "names")) {
		g_strlcpy(command->name, "client_encoding", sizeof(command->name));
		return i + 1;
	}
	if (copy_name(statement, i, command) < 0)
		return 0;
	if (!token_is(statement, i + 1, "=") && !token_is(statement, i + 1, "to"))
		return 0;
	return i + 2;
}

static void classify_set(const jh_sql_statement_t *statement, jh_sql_command_t *command)
{
	static const char *const transaction_scoped[] = { "local", "transaction", "constraints",
							  NULL };
	unsigned name_index = token_is(statement, 1, "session") ? 2 : 1;
	unsigned value_index;

	/* These settings end with the transaction, so the database can execute them. */
	if (token_is_any(statement, 1, transaction_scoped))
		return;
	command->kind = JH_SQL_SESSION_STATE;
	if (token_is(statement, name_index, "characteristics"))
		return;
	value_index = parse_set_target(statement, name_index, command);
	if (value_index == 0 || value_index >= statement->token_count)
		return;
	command->kind = JH_SQL_SET;
	command->value_count =
		statement->has_more_tokens ? 2 : statement->token_count - value_index;
	if (token_is(statement, value_index, "default") && command->value_count == 1)
		return;
	command->value = statement->tokens[value_index].text;
	command->value_length = statement->tokens[value_index].length;
}

static void classify_show(const jh_sql_statement_t *statement, jh_sql_command_t *command)
{
	if (token_is(statement, 1, "time") && token_is(statement, 2, "zone"))
		g_strlcpy(command->name, "timezone", sizeof(command->name));
	else if (token_is(statement, 1, "transaction") && token_is(statement, 2, "isolation"))
		g_strlcpy(command->name, "transaction_isolation", sizeof(command->name));
	else if (copy_name(statement, 1, command) < 0 || statement->token_count > 2)
		return;
	command->kind = JH_SQL_SHOW;
}

static void classify_reset(const jh_sql_statement_t *statement, jh_sql_command_t *command)
{
	command->kind = JH_SQL_SESSION_STATE;
	if (token_is(statement, 1, "all"))
		command->kind = JH_SQL_RESET_ALL;
	else if (copy_name(statement, 1, command) == 0)
		command->kind = JH_SQL_RESET;
}

static void classify_begin(const jh_sql_statement_t *statement, jh_sql_command_t *command)
{
	if (token_is(statement, 0, "start") && !token_is(statement, 1, "transaction"))
		return;
	command->kind =
		contains_pair(statement, 1, "read", "only") ? JH_SQL_BEGIN_READ_ONLY : JH_SQL_BEGIN;
}

/*
 * Only the forms without further clauses are recognized: ROLLBACK TO SAVEPOINT leaves the
 * transaction open, and COMMIT AND CHAIN starts the next one. AND NO CHAIN, which starts none, is
 * not recognized either.
 */
static void classify_end(const jh_sql_statement_t *statement, jh_sql_command_t *command)
{
	static const char *const optional_words[] = { "work", "transaction", NULL };
	unsigned word_count = token_is_any(statement, 1, optional_words) ? 2 : 1;

	if (token_is(statement, 1, "prepared"))
		command->kind = JH_SQL_SESSION_STATE;
	else if (word_count == statement->token_count)
		command->kind = JH_SQL_END;
}

/* DISCARD PLANS, SEQUENCES and TEMP are classified as DISCARD ALL, too. */
static void classify_discard(const jh_sql_statement_t *statement, jh_sql_command_t *command)
{
	command->kind = JH_SQL_DISCARD_ALL;
}

static void classify_deallocate(const jh_sql_statement_t *statement, jh_sql_command_t *command)
{
	unsigned name_index = token_is(statement, 1, "prepare") ? 2 : 1;

	command->kind = JH_SQL_SESSION_STATE;
	if (token_is(statement, name_index, "all"))
		command->kind = JH_SQL_DEALLOCATE_ALL;
	else if (copy_name(statement, name_index, command) == 0)
		command->kind = JH_SQL_DEALLOCATE;
}

/* A temporary table or view exists until the database session ends. */
static void classify_create(const jh_sql_statement_t *statement, jh_sql_command_t *command)
{
	static const char *const temporary[] = { "temp", "temporary", NULL };
	static const char *const scope[] = { "global", "local", NULL };
	unsigned type_index = token_is_any(statement, 1, scope) ? 2 : 1;

	if (token_is(statement, 1, "or") && token_is(statement, 2, "replace"))
		type_index = 3;
	if (token_is_any(statement, type_index, temporary))
		command->kind = JH_SQL_SESSION_STATE;
}

/* A cursor WITH HOLD stays open after its transaction. */
static void classify_declare(const jh_sql_statement_t *statement, jh_sql_command_t *command)
{
	if (contains_pair(statement, 1, "with", "hold"))
		command->kind = JH_SQL_SESSION_STATE;
}

static void classify_unlisten(const jh_sql_statement_t *statement, jh_sql_command_t *command)
{
	command->kind = JH_SQL_UNLISTEN;
}

static void classify_close(const jh_sql_statement_t *statement, jh_sql_command_t *command)
{
	if (token_is(statement, 1, "all"))
		command->kind = JH_SQL_CLOSE_ALL;
}

static void classify_select(const jh_sql_statement_t *statement, jh_sql_command_t *command)
{
	if (token_is(statement, 1, "pg_advisory_unlock_all") && statement->token_count == 4 &&
	    !statement->has_more_tokens)
		command->kind = JH_SQL_UNLOCK_ALL;
}

static void classify_session_state(const jh_sql_statement_t *statement, jh_sql_command_t *command)
{
	command->kind = JH_SQL_SESSION_STATE;
}

/**
 * struct classifier - function that classifies the statements which start with one key word
 * @word: the key word, in lower case
 * @classify: sets @command, which is JH_SQL_OTHER before the call
 */
typedef struct classifier {
	const char *word;
	void (*classify)(const jh_sql_statement_t *statement, jh_sql_command_t *command);
} classifier_t;

static const classifier_t classifiers[] = {
	{ .word = "set", .classify = classify_set },
	{ .word = "show", .classify = classify_show },
	{ .word = "reset", .classify = classify_reset },
	{ .word = "begin", .classify = classify_begin },
	{ .word = "start", .classify = classify_begin },
	{ .word = "commit", .classify = classify_end },
	{ .word = "end", .classify = classify_end },
	{ .word = "rollback", .classify = classify_end },
	{ .word = "abort", .classify = classify_end },
	{ .word = "discard", .classify = classify_discard },
	{ .word = "deallocate", .classify = classify_deallocate },
	{ .word = "create", .classify = classify_create },
	{ .word = "declare", .classify = classify_declare },
	{ .word = "prepare", .classify = classify_session_state },
	{ .word = "execute", .classify = classify_session_state },
	{ .word = "listen", .classify = classify_session_state },
	{ .word = "unlisten", .classify = classify_unlisten },
	{ .word = "close", .classify = classify_close },
	{ .word = "select", .classify = classify_select },
	{ .word = "copy", .classify = classify_session_state },
	{ .word = "load", .classify = classify_session_state },
};

void jh_sql_classify(const jh_sql_statement_t *statement, jh_sql_command_t *command)
{
	unsigned i;

	*command = (jh_sql_command_t){ .kind = JH_SQL_OTHER };
	/* A quoted first word is a name, not a key word. */
	if (*statement->text == '"')
		return;
	for (i = 0; i < G_N_ELEMENTS(classifiers); i++) {
		if (token_is(statement, 0, classifiers[i].word)) {
			classifiers[i].classify(statement, command);
			return;
		}
	}
}

bool jh_sql_kind_is_session_command(jh_sql_kind_t kind)
{
	switch (kind) {
	case JH_SQL_OTHER:
	case JH_SQL_BEGIN:
	case JH_SQL_BEGIN_READ_ONLY:
	case JH_SQL_END:
	/*
	 * Inside a transaction the database executes these two; outside, they have no effect in a
	 * session of the proxy.
	 */
	case JH_SQL_CLOSE_ALL:
	case JH_SQL_UNLOCK_ALL:
		return false;
	default:
		return true;
	}
}
