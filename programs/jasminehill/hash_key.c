/* jasminehill hash-key: prints the SHA-256 digest of a team's key, for the routes table. */

#include "command.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define KEY_MAX_BYTES 1024

static exit_status_t key_print_digest(char *key)
{
	unsigned char digest[crypto_hash_sha256_BYTES];
	char hex_digest[2 * crypto_hash_sha256_BYTES + 1];
	size_t key_length = strcspn(key, "\r\n");

	if (key_length == 0) {
		fputs("jasminehill hash-key: the key is empty\n", stderr);
		return STATUS_USAGE;
	}
	crypto_hash_sha256(digest, (const unsigned char *)key, key_length);
	puts(sodium_bin2hex(hex_digest, sizeof(hex_digest), digest, sizeof(digest)));
	return STATUS_OK;
}

static exit_status_t hash_key_run(int argc, const char **argv)
{
	struct poptOption options[] = { POPT_AUTOHELP POPT_TABLEEND };
	/* One byte for a line feed and one for the NUL */
	char key[KEY_MAX_BYTES + 2] = "";
	exit_status_t status = STATUS_USAGE;
	char **no_arguments = NULL;

	if (arguments_parse(&hash_key_command, argc, argv, options, 0, 0, &no_arguments) < 0)
		return STATUS_USAGE;
	g_strfreev(no_arguments);
	if (!fgets(key, sizeof(key), stdin))
		fputs("jasminehill hash-key: no key was read; pass it on standard input\n", stderr);
	else if (strlen(key) > KEY_MAX_BYTES)
		fprintf(stderr,
			"jasminehill hash-key: the line with the key is longer than %d bytes\n",
			KEY_MAX_BYTES);
	else
		status = key_print_digest(key);
	sodium_memzero(key, sizeof(key));
	return status;
}

const subcommand_t hash_key_command = {
	.name = "hash-key",
	.arguments = "< KEY",
	.doc = "print the SHA-256 digest of a team's key, for the cell teams[].key_digests",
	.run = hash_key_run,
};
