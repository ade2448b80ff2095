#ifndef JH_INTERNAL_PEER_H
#define JH_INTERNAL_PEER_H

#include "jh_frame.h"

#include <sodium.h>

/**
 * DOC: Peers and links
 *
 * A peer is another VM, and a link is one TCP connection with it. At most one link of a peer is
 * active: it is established and not retired, and new frames are sent on it. modules/peer.c
 * implements the peers, modules/peer_link.c the links. All functions run on the peer task's loop.
 */

/** JH_PEER_MAX_QUEUED_BYTES - most bytes of frames that are queued for one peer */
#define JH_PEER_MAX_QUEUED_BYTES (64u * 1024 * 1024)

/**
 * JH_PEER_HANDSHAKE_TIMEOUT_S - longest time from the start of a connection, by connect() or
 * accept(), until the peer is authenticated, seconds
 */
#define JH_PEER_HANDSHAKE_TIMEOUT_S 1.0

typedef struct _jh_peer _jh_peer_t;
typedef struct _jh_link _jh_link_t;

/**
 * struct _jh_peers - state of the peer task
 * @task: the task
 * @peers: map from interned VM name to _jh_peer_t *; owns the values
 * @links: array of every _jh_link_t *, authenticated or not
 * @key: key of the MAC in Hello frames, derived from the cluster key
 * @accept: watches the listening socket
 */
typedef struct _jh_peers {
	jh_task_t *task;
	GHashTable *peers;
	GPtrArray *links;
	uint8_t key[crypto_auth_KEYBYTES];
	ev_io accept;
} _jh_peers_t;

/**
 * struct _jh_out_frame - a packed frame that waits to be written
 * @bytes: the frame with its length prefix; owned
 * @offset: number of bytes already written
 * @request_id: id of a Request frame; 0 for other kinds
 * @attempt: attempt number of a Request frame; 0 for other kinds
 * @statement_id: id of a Statement frame; 0 for other kinds
 */
typedef struct _jh_out_frame {
	GByteArray *bytes;
	size_t offset;
	uint64_t request_id;
	uint32_t attempt;
	uint64_t statement_id;
} _jh_out_frame_t;

/** enum _jh_link_state - progress of a link's handshake */
typedef enum _jh_link_state {
	/** @JH_LINK_CONNECTING: this VM dialled, and the TCP connection is not open yet */
	JH_LINK_CONNECTING,
	/** @JH_LINK_AWAITING_HELLO: waits for the peer's first Hello, with its name and nonce */
	JH_LINK_AWAITING_HELLO,
	/** @JH_LINK_AWAITING_PROOF: waits for the peer's second Hello, with its MAC */
	JH_LINK_AWAITING_PROOF,
	/** @JH_LINK_ESTABLISHED: the peer is authenticated; frames can be sent and received */
	JH_LINK_ESTABLISHED,
} _jh_link_state_t;

/**
 * struct _jh_link - one connection with a peer
 * @peers: the task's state
 * @peer: the peer; NULL on an accepted link until it is authenticated
 * @state: progress of the handshake
 * @is_dialled: this VM opened the connection
 * @last_frame_queued: the link is retired, and its last frame, a Hello, is queued or sent
 * @last_frame_received: the peer sent its last frame on this link
 * @vm: the peer's name; interned, except on an accepted link that is not yet established, where it
 *	is the claimed name and owned by the link
 * @boot: boot id of the peer's instance, authenticated once the link is established
 * @nonce: random challenge of this VM
 * @peer_nonce: random challenge of the peer
 * @in: bytes received that are not yet handled
 * @out: queue of _jh_out_frame_t *; owned
 * @out_bytes: bytes in @out that are not yet written
 * @read: watches the socket for received bytes
 * @write: watches the socket for the end of connect() and for room to write
 * @handshake_timer: closes the link if the peer is not authenticated in time
 */
struct _jh_link {
	_jh_peers_t *peers;
	_jh_peer_t *peer;
	_jh_link_state_t state;
	bool is_dialled;
	bool last_frame_queued;
	bool last_frame_received;
	const char *vm;
	uint64_t boot;
	uint8_t nonce[crypto_auth_BYTES];
	uint8_t peer_nonce[crypto_auth_BYTES];
	GByteArray *in;
	GQueue out;
	size_t out_bytes;
	ev_io read;
	ev_io write;
	ev_timer handshake_timer;
};

/* ---- Links (modules/peer_link.c) ---- */

/** _jh_link_accept() - start the handshake on an accepted socket; takes ownership of @fd */
void _jh_link_accept(_jh_peers_t *peers, int fd);

/**
 * _jh_link_dial() - start to connect to @peer at @host and @port
 *
 * A failure after the return is reported by _jh_peer_on_link_ended().
 *
 * Return: new link, owned by @peers, or NULL with the error set
 */
_jh_link_t *_jh_link_dial(_jh_peers_t *peers, _jh_peer_t *peer, const char *host, uint16_t port,
			  jh_error_t *err);

/** _jh_link_send() - queue a frame on a link; takes ownership of @out_frame */
void _jh_link_send(_jh_link_t *link, _jh_out_frame_t *out_frame);

/** _jh_link_retire() - queue the last frame of an established link, which continues to receive */
void _jh_link_retire(_jh_link_t *link);

/** _jh_link_free() - close the socket and free the link, without notifying its peer's state */
void _jh_link_free(_jh_link_t *link);

/** _jh_out_frame_new() - pack a frame and free it. Return: new; free with _jh_out_frame_free() */
_jh_out_frame_t *_jh_out_frame_new(Jh__Frame *frame);

/** _jh_out_frame_free() - free a packed frame; @out_frame is a _jh_out_frame_t * */
void _jh_out_frame_free(void *out_frame);

/* ---- Events of a link (modules/peer.c) ---- */

/** _jh_peer_on_established() - @link is authenticated: VM @link->vm, instance @link->boot */
void _jh_peer_on_established(_jh_link_t *link);

/** _jh_peer_on_link_ended() - @link is about to be freed; @is_clean: no frame can have been lost */
void _jh_peer_on_link_ended(_jh_link_t *link, bool is_clean);

#endif
