#ifndef JH_INTERNAL_PEER_H
#define JH_INTERNAL_PEER_H

#include "jh_frame.h"

#include <sodium.h>

/**
 * DOC: Peers and links
 *
 * A peer is another VM; a link is one TCP connection with it. At most one link of a peer is
 * active, that is, carries new frames. modules/peer.c keeps the peers, modules/peer_link.c the
 * links.
 */

/** JH_PEER_MAX_QUEUED_BYTES - most bytes that wait for one peer */
#define JH_PEER_MAX_QUEUED_BYTES (64u * 1024 * 1024)

/** JH_PEER_HANDSHAKE_S - longest time from the start of a connection to proof, seconds */
#define JH_PEER_HANDSHAKE_S 1.0

typedef struct _jh_peer _jh_peer_t;
typedef struct _jh_link _jh_link_t;

/**
 * struct _jh_peers - state of the peer task
 * @task: the task
 * @peers: interned VM name to _jh_peer_t
 * @links: every link, authenticated or not
 * @key: for the MAC of a Hello, derived from the cluster key
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
 * struct _jh_outgoing - a packed frame that waits to be written
 * @bytes: with the length prefix
 * @offset: how much was written
 * @request_id: of a Request frame; 0 for other kinds
 * @attempt: of a Request frame
 */
typedef struct _jh_outgoing {
	GByteArray *bytes;
	size_t offset;
	uint64_t request_id;
	uint32_t attempt;
} _jh_outgoing_t;

/** enum _jh_link_state - how far a link's handshake is */
typedef enum _jh_link_state {
	JH_LINK_CONNECTING,
	/** @JH_LINK_HELLO: waits for the other's name and nonce */
	JH_LINK_HELLO,
	/** @JH_LINK_PROOF: waits for the other's MAC */
	JH_LINK_PROOF,
	JH_LINK_ESTABLISHED,
} _jh_link_state_t;

/**
 * struct _jh_link - one connection
 * @peers: the task's state
 * @peer: whose it is: known from the start if this VM dialled, else once it is proved
 * @state: handshake
 * @dialled: this VM opened it
 * @retiring: another link took over; this one sends a second Hello as its last frame
 * @retired: the other side sent its last frame
 * @vm: the other side's name as claimed, proved from JH_LINK_ESTABLISHED on; interned
 * @boot: the other side's boot, likewise
 * @nonce: this side's challenge
 * @their_nonce: the other side's challenge
 * @in: bytes received and not yet taken
 * @out: queue of _jh_outgoing_t
 * @out_bytes: bytes in @out
 */
struct _jh_link {
	_jh_peers_t *peers;
	_jh_peer_t *peer;
	_jh_link_state_t state;
	bool dialled;
	bool retiring;
	bool retired;
	const char *vm;
	uint64_t boot;
	uint8_t nonce[crypto_auth_BYTES];
	uint8_t their_nonce[crypto_auth_BYTES];
	GByteArray *in;
	GQueue out;
	size_t out_bytes;
	ev_io read;
	ev_io write;
	ev_timer handshake;
};

/* ---- links (modules/peer_link.c) ---- */

/** _jh_link_accept() - begin the handshake on an accepted socket, which the link takes over */
void _jh_link_accept(_jh_peers_t *peers, int fd);

/** _jh_link_dial() - connect to @peer. Return: new link, or NULL with the error set */
_jh_link_t *_jh_link_dial(_jh_peers_t *peers, _jh_peer_t *peer, const char *host, uint16_t port,
			  jh_error_t *err);

/** _jh_link_send() - queue a frame; takes it over */
void _jh_link_send(_jh_link_t *link, _jh_outgoing_t *outgoing);

/** _jh_link_retire() - send what is queued and a last frame; still receive */
void _jh_link_retire(_jh_link_t *link);

/** _jh_link_free() - close the socket and free the link; tells nobody */
void _jh_link_free(_jh_link_t *link);

/** _jh_outgoing_new() - pack a frame, which is taken over. Return: new */
_jh_outgoing_t *_jh_outgoing_new(Jh__Frame *frame);
void _jh_outgoing_free(void *outgoing);

/* ---- peers (modules/peer.c), called by links ---- */

/** _jh_peer_on_established() - @link's other side proved to be @link->vm in life @link->boot */
void _jh_peer_on_established(_jh_link_t *link);

/** _jh_peer_on_link_ended() - the link is over and will be freed; @clean: no frame can be lost */
void _jh_peer_on_link_ended(_jh_link_t *link, bool clean);

#endif
