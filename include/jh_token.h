#ifndef JH_TOKEN_H
#define JH_TOKEN_H

#include "jh_error.h"
#include "jh_session.h"
#include "jh_settings.h"

/**
 * DOC: Session tokens
 *
 * A session token is the text form of a session, with which a caller can continue the session on
 * another connection or entry VM. It contains a version, the session's positions and a message
 * authentication code (MAC), in URL-safe base64. The MAC's key is derived from the cluster key, so
 * callers cannot create or change tokens, and a daemon can rely on the positions in a valid one.
 */

/** JH_TOKEN_MAX_CHARS - longest token; a session with the most groups and longest names fits */
#define JH_TOKEN_MAX_CHARS 8192u

/**
 * jh_token_encode() - encode a session as a token
 * @session: session to encode; not changed
 * @cluster_key: key of this cluster
 *
 * Return: new text, to be freed with g_free(); "" for an empty session
 */
char *jh_token_encode(const jh_session_t *session, const uint8_t cluster_key[JH_CLUSTER_KEY_BYTES]);

/**
 * jh_token_decode() - verify and decode a token
 * @text: token as received from the caller; "" stands for an empty session
 * @cluster_key: key of this cluster
 * @session: receives the positions; must be empty (asserted)
 * @err: JH_ERR_PROTOCOL if the token is too long, JH_ERR_INVALID if it is malformed,
 *       JH_ERR_DENIED if it was not created with this cluster's key
 *
 * Return: 0, or -1 with @session left empty
 */
int jh_token_decode(const char *text, const uint8_t cluster_key[JH_CLUSTER_KEY_BYTES],
		    jh_session_t *session, jh_error_t *err);

#endif
