#ifndef JH_TOKEN_H
#define JH_TOKEN_H

#include "jh_error.h"
#include "jh_session.h"
#include "jh_settings.h"

/**
 * DOC: Session tokens
 *
 * The text in which a session travels with its caller: version, positions and a MAC under a key
 * derived from the cluster key, in URL-safe base64. A caller can neither make nor change one, so
 * that a daemon may trust the positions that it reads.
 */

/** JH_TOKEN_MAX_CHARS - longest token; a full session with the longest names fits */
#define JH_TOKEN_MAX_CHARS 8192u

/** jh_token_seal() - write a session as a token. Return: new text; empty for an empty session */
char *jh_token_seal(const jh_session_t *session, const uint8_t cluster_key[JH_CLUSTER_KEY_BYTES]);

/**
 * jh_token_open() - read a token
 * @text: as given by the caller; empty is the empty session
 * @cluster_key: key of this cluster
 * @session: set to the session read; must be empty before
 * @err: JH_ERR_PROTOCOL if it is too long, JH_ERR_INVALID if it is malformed, JH_ERR_DENIED if it
 *       was not made with this cluster's key
 *
 * Return: 0, or -1 with @session left empty
 */
int jh_token_open(const char *text, const uint8_t cluster_key[JH_CLUSTER_KEY_BYTES],
		  jh_session_t *session, jh_error_t *err);

#endif
