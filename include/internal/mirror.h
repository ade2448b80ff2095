#ifndef JH_INTERNAL_MIRROR_H
#define JH_INTERNAL_MIRROR_H

#include "jh_frame.h"
#include "jh_mirror.h"

/**
 * DOC: The mirror's state
 *
 * mirror.c keeps the copies by the store's feeds and answers other tasks; mirror_sync.c compares
 * them with the other VMs'.
 */

typedef struct _jh_mirror _jh_mirror_t;
typedef struct _jh_mirror_row _jh_mirror_row_t;
typedef struct _jh_mirror_table _jh_mirror_table_t;

struct _jh_mirror_row {
	uint64_t version;
	/* NULL once the row was dropped; kept so that the drop reaches other VMs. */
	GBytes *body;
};

struct _jh_mirror_table {
	_jh_mirror_t *mirror;
	jh_mirror_table_t id;
	GHashTable *rows;
	/* Everything up to this version is known; single rows may be newer. */
	uint64_t version;
	/* Of this VM's newest write, until everything up to it is known; else 0. */
	uint64_t written;
	bool is_complete;
	bool needs_scan;
	bool is_busy;
	/* Rows of a scan of several pages. */
	GPtrArray *scanned;
	int64_t sent_us;
	double retry_s;
	ev_timer timer;
};

/* A VM's answer: at some time after @asked_us it knew of nothing newer than @versions. */
typedef struct _jh_mirror_ack {
	int64_t asked_us;
	/* How much longer it had authority itself then; 0: it had none. */
	int64_t lasts_us;
	uint64_t versions[JH_MIRROR_TABLES];
} _jh_mirror_ack_t;

struct _jh_mirror {
	jh_task_t *task;
	_jh_mirror_table_t tables[JH_MIRROR_TABLES];
	jh_authority_t *authority;
	/* The council: whose majority confirms, and who keep feeds open. */
	GPtrArray *vms;
	unsigned fleet;
	GHashTable *forwarded;
	uint64_t next_tag;
	ev_timer sync;
	int64_t confirm_sent_us;
	bool is_confirming;
	bool is_registering;
	/* Not before this time. */
	int64_t register_us;
	/* Where a round of questions to a part of the council begins. */
	unsigned next_voter;
	/* Rows were asked for then; INT64_MIN if they have come. */
	int64_t fetch_us;
	/* Interned name of a VM that had news meanwhile, or NULL. */
	const char *fetch_next;
	/* Interned name to _jh_mirror_ack_t: what VMs confirmed of versions not known here. */
	GHashTable *words;
	bool is_draining;
	/* This VM wrote a row that every VM should know of at once. */
	bool must_notify_fleet;
	int64_t until_us;
};

/* ---- mirror.c ---- */

/** _jh_mirror_self() - name of this VM */
const char *_jh_mirror_self(const _jh_mirror_t *mirror);
/** _jh_mirror_apply_row() - Return: true if the row was news, and is published */
bool _jh_mirror_apply_row(_jh_mirror_table_t *table, const char *name, uint64_t version,
			  GBytes *body);
/** _jh_mirror_table_on_read() - everything up to the table's version is known */
void _jh_mirror_table_on_read(_jh_mirror_table_t *table);
/** JH_MIRROR_VM_PREFIX - rows of the fleet's table that list the VMs */
#define JH_MIRROR_VM_PREFIX "vm/"

/** JH_MIRROR_GROUP_PREFIX - rows of the fleet's table that say who leads a group */
#define JH_MIRROR_GROUP_PREFIX "group/"

/** _jh_mirror_update_lease() - publish how long the mirror may be relied on, if it grew */
void _jh_mirror_update_lease(_jh_mirror_t *mirror);

/* ---- mirror_sync.c ---- */

/** _jh_mirror_sync_all() - compare with the whole council */
void _jh_mirror_sync_all(_jh_mirror_t *mirror);
/** _jh_mirror_sync_fleet() - compare with every listed VM */
void _jh_mirror_sync_fleet(_jh_mirror_t *mirror);
/** _jh_mirror_sync_some() - compare with as much of the council as confirms, by turns */
void _jh_mirror_sync_some(_jh_mirror_t *mirror);
/** _jh_mirror_apply_acks() - count the confirmations whose versions are known here by now */
void _jh_mirror_apply_acks(_jh_mirror_t *mirror);
/** _jh_mirror_handle_sync() - another VM's question or answer */
void _jh_mirror_handle_sync(_jh_mirror_t *mirror, const jh_frame_msg_t *msg);

#endif
