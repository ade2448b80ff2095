#include "jh_forwarded.h"

#include "jh_catalogue.h"
#include "jh_line.h"
#include "jh_wire.h"

#include <string.h>

/* A line end in a text would let it pass for a second statement on the member's connection. */
static bool is_one_line(const ProtobufCBinaryData *text)
{
	return !jh_line_has_end((const char *)text->data, text->len);
}

static bool is_word(const char *text)
{
	return !strchr(text, ' ') && !jh_line_has_end(text, strlen(text));
}

static bool has_valid_values(const Jh__Statement *statement)
{
	size_t i;

	for (i = 0; i < statement->n_values; i++) {
		const Jh__SessionValue *value = statement->values[i];

		if (!*value->name || !is_word(value->name) || !is_one_line(&value->value))
			return false;
	}
	return true;
}

static bool is_data_statement(const Jh__Statement *statement)
{
	switch (statement->type) {
	case JH_STATEMENT_READ:
	case JH_STATEMENT_WRITE:
		return true;
	case JH_STATEMENT_EXECUTE:
		return statement->prepared_text.len > 0;
	case JH_STATEMENT_COMMIT:
		return statement->in_transaction;
	default:
		return false;
	}
}

bool jh_forwarded_is_valid(const Jh__Statement *statement)
{
	return statement->operation != 0 && is_data_statement(statement) &&
	       statement->freshness <= JH_FRESH_READ_YOUR_WRITES && *statement->group &&
	       *statement->request_id && is_word(statement->request_id) &&
	       is_one_line(&statement->text) && is_one_line(&statement->prepared_text) &&
	       is_one_line(&statement->arguments) && is_word(statement->team) &&
	       is_word(statement->begin_id) &&
	       !jh_line_has_end(statement->begin_text, strlen(statement->begin_text)) &&
	       statement->timeout_us > 0 && has_valid_values(statement);
}
