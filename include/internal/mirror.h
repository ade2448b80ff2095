#ifndef JH_INTERNAL_MIRROR_H
#define JH_INTERNAL_MIRROR_H

#include "jh_frame.h"
#include "jh_mirror.h"
#include "jh_platform.h"
#include "jh_view.h"

/**
 * DOC: The mirror's state
 *
 * The mirror is this VM's full local copy of the store's small tables. mirror.c keeps it current
 * by the store's feeds and replies to other tasks' requests; mirror_check.c bounds how long a
 * change can be missing while a feed waits; mirror_sync.c compares it with the mirrors of other
 * VMs. All times are microseconds of jh_boot_time_us().
 */

typedef struct _jh_mirror _jh_mirror_t;
typedef struct _jh_mirror_row _jh_mirror_row_t;
typedef struct _jh_mirror_table _jh_mirror_table_t;

struct _jh_mirror_row {
	uint64_t version;
	/* NULL if the row was dropped; it stays here so that other VMs receive the drop too. */
	GBytes *body;
	/* The body in compressed form, once another VM was sent it; else NULL. */
	GBytes *compressed_body;
	/* The store was restored from a copy in which this row is older or missing. The body is the
	 * one known before; @stored_version is the version of the older row, 0 if it is missing.
	 */
	bool is_kept;
	uint64_t stored_version;
};

struct _jh_mirror_table {
	_jh_mirror_t *mirror;
	jh_mirror_table_t id;
	/* Row name to _jh_mirror_row_t *. */
	GHashTable *rows;
	/* Every change up to this version has been applied; single rows may be newer. */
	uint64_t version;
	/* Version of this VM's newest write while earlier changes are missing here; else 0. */
	uint64_t own_write_version;
	/* Version of the newest row here, and when any VM first heard of it, as far as this VM can
	 * tell.
	 */
	uint64_t newest_row_version;
	int64_t known_since_us;
	/* Version of the newest row that another VM reported, and since when a VM has known of a
	 * row that is missing here; 0 if none is. Only used for the configuration's table.
	 */
	uint64_t reported_row_version;
	int64_t behind_since_us;
	/* The whole table has been read at least once. */
	bool is_complete;
	/* The next request must be a scan, because a feed would miss changes. */
	bool needs_scan;
	/* A scan or feed is in progress. */
	bool is_requesting;
	/* jh_store_row_t *: rows of the pages that the scan in progress has read. */
	GPtrArray *scanned_rows;
	/* The store's version when the first of these pages was read. */
	uint64_t scan_version;
	/* When the scan or feed was sent. */
	int64_t sent_us;
	/* Delay before the next retry, without jitter. */
	double retry_s;
	/* Sends the next scan or feed. */
	ev_timer timer;
	/* Every change that the store acknowledged before this time is here; INT64_MIN if unknown.
	 * For the fleet's table, reads in an era that is not confirmed do not count.
	 */
	int64_t verified_us;
	/* The version after which the feed in progress returns changes, and since when this VM has
	 * had a row of a later version; 0 if it has none.
	 */
	uint64_t feed_after_version;
	int64_t feed_overdue_since_us;
	/* A check is in progress, and when it was sent. */
	bool is_checking;
	int64_t check_sent_us;
	/* Random part of the time after which the table is checked. */
	int64_t check_spread_us;
	/* Consecutive checks that failed, and when the next one may be sent. */
	unsigned check_failures;
	int64_t next_check_us;
};

/* A VM's acknowledgement: after @requested_us it knew no row newer than @versions. */
typedef struct _jh_mirror_ack {
	int64_t requested_us;
	/* Rest of that VM's own lease when it replied; 0 if it had none. */
	int64_t lease_left_us;
	uint64_t versions[JH_MIRROR_TABLE_COUNT];
	/* See struct _jh_mirror_table; 0 if that VM did not say. */
	int64_t verified_us[JH_MIRROR_TABLE_COUNT];
} _jh_mirror_ack_t;

/* A row that another VM sends in parts, one in each reply. */
typedef struct _jh_mirror_parts {
	jh_mirror_table_t table;
	/* Owned; NULL if no row is in progress. */
	char *name;
	uint64_t version;
	/* Version that the table has reached once this row is applied. */
	uint64_t table_version;
	/* Lengths of the body before compression, 0 if it is not compressed, and as it is sent. */
	uint32_t uncompressed_bytes;
	uint32_t total_bytes;
	/* The parts that have arrived, joined. */
	GByteArray *received;
} _jh_mirror_parts_t;

/* What a reply did for the fetch that requested its rows. */
typedef enum _jh_fetch_result {
	/* A part of a row is still missing; the next one was requested, or may still arrive. */
	JH_FETCH_CONTINUES,
	JH_FETCH_ENDED,
	/* The other VM sends long rows to enough VMs already. */
	JH_FETCH_POSTPONED,
} _jh_fetch_result_t;

/**
 * JH_FETCH_TIMEOUT_US - if neither requested rows nor a part of them arrive for this time, they may
 *	be requested of another VM
 */
#define JH_FETCH_TIMEOUT_US (JH_LEASE_US / 2)

struct _jh_mirror {
	jh_task_t *task;
	_jh_mirror_table_t tables[JH_MIRROR_TABLE_COUNT];
	jh_mirror_lease_t *lease;
	/* Era of the fleet's table here, and whether it is confirmed; see JH_MIRROR_ERA_ROW. The
	 * era is UINT64_MAX before the table was read.
	 */
	uint64_t era;
	bool is_era_confirmed;
	/* The voters by the row JH_VOTERS_ROW, of generation 0 if there is none. */
	jh_voters_t *voting;
	/* Names of the VMs that keep feeds open and with which versions are compared: all that
	 * vote, or those that would be chosen if there is no row yet.
	 */
	GPtrArray *voters;
	/* Those of the voters that are in this VM's data centre; borrowed. */
	GPtrArray *near_voters;
	/* Number of listed VMs. */
	unsigned vm_count;
	/* Tag of the platform request, a uint64_t, to forwarded_request_t *. */
	GHashTable *forwarded_requests;
	uint64_t next_tag;
	ev_timer sync_timer;
	/* When the read of the store that renews the lease was sent. */
	int64_t lease_read_sent_us;
	bool is_reading_lease;
	bool is_registering;
	/* Kept rows are being written back, and when that may be tried again. */
	bool is_writing_back;
	int64_t next_write_back_us;
	/* This VM's row is not written again before this time. */
	int64_t next_register_us;
	/* Index of the voter with which the next round begins, and the same for near voters. */
	unsigned next_voter;
	unsigned next_near_voter;
	/* When the fetch in progress began, and when missing rows or their next part were last
	 * requested of a VM; INT64_MIN if no fetch is in progress.
	 */
	int64_t fetch_began_us;
	int64_t fetch_sent_us;
	/* Interned name of that VM. */
	const char *fetch_vm;
	_jh_mirror_parts_t parts;
	/* Interned names of VMs to which this one sends a long row in parts, to the time, int64_t
	 * *, at which such a transfer counts as given up.
	 */
	GHashTable *transfers;
	/* Interned name of a VM that reported a higher version during that request, or NULL. */
	const char *next_fetch_vm;
	/* Interned VM name to _jh_mirror_ack_t *: acks of versions that this mirror lacks. */
	GHashTable *acks;
	/* Interned VM name to int64_t *: when that VM last replied with an acknowledgement. */
	GHashTable *reply_times;
	/* Interned name of a group to jh_position_t *, see jh_acknowledged_msg_t. */
	GHashTable *acknowledged;
	bool is_draining;
	/* This VM wrote a row that every listed VM should receive immediately. */
	bool must_notify_fleet;
	/* The lease's expiry that was published last; INT64_MIN if none was. */
	int64_t lease_expiry_us;
	/* The era in which that lease was renewed. */
	uint64_t lease_era;
};

/** _jh_mirror_is_complete() - Return: whether every table has been read at least once */
bool _jh_mirror_is_complete(const _jh_mirror_t *mirror);

/** _jh_mirror_self() - Return: name of this VM */
const char *_jh_mirror_self(const _jh_mirror_t *mirror);

/**
 * _jh_mirror_apply_row() - apply a row unless the mirror has that version of it or a newer one
 * @body: NULL if the row was dropped; the mirror takes a reference of its own
 *
 * Return: true if the row was newer; it is published then
 */
bool _jh_mirror_apply_row(_jh_mirror_table_t *table, const char *name, uint64_t version,
			  GBytes *body);

/**
 * _jh_mirror_table_behind_us() - Return: for how long a row has been known that the table lacks,
 *	microseconds; 0 if it lacks none that this VM knows of
 */
int64_t _jh_mirror_table_behind_us(const _jh_mirror_table_t *table);

/**
 * _jh_mirror_keep_row() - keep the known body of a row that is older or missing in a restored store
 * @version: version of the restored row, or of the table if the row is missing
 * @body: body of the restored row; NULL if the row is missing
 *
 * Return: true if the known body was kept, under the new version; false if @body is to be applied
 */
bool _jh_mirror_keep_row(_jh_mirror_table_t *table, const char *name, _jh_mirror_row_t *row,
			 uint64_t version, GBytes *body);

/**
 * _jh_mirror_update_era() - note the era of the fleet's table, and whether it is confirmed
 *
 * Call it after the table was read, and before the lease is renewed by what it has.
 */
void _jh_mirror_update_era(_jh_mirror_t *mirror);

/**
 * _jh_mirror_add_kept_rows() - add the kept rows of the fleet's table to a frame, as long as the
 *	store's era is not confirmed
 */
void _jh_mirror_add_kept_rows(const _jh_mirror_t *mirror, Jh__MirrorSync *sync);

/**
 * _jh_mirror_adopt_kept_rows() - keep the rows that another VM keeps, if they are older or missing
 *	here
 *
 * Return: false if that can't be done yet for some of them, for example because this mirror is not
 *in the era of the other one
 */
bool _jh_mirror_adopt_kept_rows(_jh_mirror_t *mirror, const Jh__MirrorSync *sync);

/**
 * _jh_mirror_note_kept_row() - note that another VM keeps a row that was received with @version
 * @stored_version: version of the older row in the store, 0 if it is missing there
 */
void _jh_mirror_note_kept_row(_jh_mirror_table_t *table, const char *name, uint64_t version,
			      uint64_t stored_version);

/**
 * _jh_mirror_drop_older_eras() - drop rows that the store does not have any more after a
 * restoration
 *
 * Call it once every row of the table's version was applied.
 */
void _jh_mirror_drop_older_eras(_jh_mirror_table_t *table);

/**
 * _jh_mirror_write_back() - if this VM is a voter, write the kept rows back to the store, and
 *	confirm the store's era once a quorum's are among them
 *
 * Call it at short intervals. Each voter waits for a random time first, so that usually one writes
 * and the others see its rows.
 */
void _jh_mirror_write_back(_jh_mirror_t *mirror);

/** JH_MIRROR_FEED_ROWS_MAX - a feed that returns as many rows may be incomplete */
#define JH_MIRROR_FEED_ROWS_MAX 400u

/**
 * JH_MIRROR_CHECK_TAG - tag of the first table's checks in requests to the platform task; the
 *	table's id is added to it
 */
#define JH_MIRROR_CHECK_TAG 11u

/**
 * _jh_mirror_check_tables() - check the tables that are not known to be current
 *
 * Call it at short intervals.
 */
void _jh_mirror_check_tables(_jh_mirror_t *mirror);

/**
 * _jh_mirror_table_scan_next() - make the next request a scan, which also ends a feed that waits:
 *	the store has dropped the history from which it would continue
 */
void _jh_mirror_table_scan_next(_jh_mirror_table_t *table);

/** _jh_mirror_note_reply() - note that a VM, whose name is interned, replied to this one */
void _jh_mirror_note_reply(_jh_mirror_t *mirror, const char *vm);

/** _jh_mirror_handle_check() - handle the reply to a check */
void _jh_mirror_handle_check(_jh_mirror_table_t *table, const jh_platform_reply_t *reply);

/**
 * _jh_mirror_table_on_read() - the store was read, and all of the reply was applied
 * @sent_us: when the read was sent
 */
void _jh_mirror_table_on_read(_jh_mirror_table_t *table, int64_t sent_us);

/** _jh_mirror_table_on_verified() - note that every change before @verified_us is in the table */
void _jh_mirror_table_on_verified(_jh_mirror_table_t *table, int64_t verified_us);

/** JH_MIRROR_LEASE_READ_TAG - tag of the reads of the store that renew the lease */
#define JH_MIRROR_LEASE_READ_TAG 8u

/** JH_MIRROR_WRITE_BACK_TAG - tag of those writes in requests to the platform task */
#define JH_MIRROR_WRITE_BACK_TAG 10u

/** _jh_mirror_handle_write_back() - handle the reply to such a write */
void _jh_mirror_handle_write_back(_jh_mirror_t *mirror, const jh_platform_reply_t *reply);

/** _jh_mirror_publish_row() - publish a row's version and body to the other tasks */
void _jh_mirror_publish_row(const _jh_mirror_table_t *table, const char *name,
			    const _jh_mirror_row_t *row);

/** _jh_mirror_drop_row() - drop a row and publish that; the table's iterators stay valid */
void _jh_mirror_drop_row(const _jh_mirror_table_t *table, const char *name, _jh_mirror_row_t *row,
			 uint64_t version);

/** _jh_mirror_on_own_write() - request the changes up to a write of this VM */
void _jh_mirror_on_own_write(_jh_mirror_t *mirror, uint64_t version);

/** _jh_mirror_update_voters() - take over the voters and the list of VMs from the fleet's table */
void _jh_mirror_update_voters(_jh_mirror_t *mirror);

/** _jh_mirror_publish_version() - publish the version of the fleet's table that a VM has reached */
void _jh_mirror_publish_version(const _jh_mirror_t *mirror, const char *vm, uint64_t version);

/** _jh_mirror_is_voter() - true if this VM is one of @voters */
bool _jh_mirror_is_voter(const _jh_mirror_t *mirror);

/** _jh_mirror_table_on_caught_up() - call when every change up to @table->version was applied */
void _jh_mirror_table_on_caught_up(_jh_mirror_table_t *table);

/** JH_MIRROR_GROUP_PREFIX - prefix of the rows in the fleet's table that name a group's primary */
#define JH_MIRROR_GROUP_PREFIX "group/"

/** _jh_mirror_publish_lease() - publish the lease and until when the configuration may be used */
void _jh_mirror_publish_lease(_jh_mirror_t *mirror);

/** _jh_mirror_update_lease() - publish the lease's expiry if it became later */
void _jh_mirror_update_lease(_jh_mirror_t *mirror);

/** _jh_mirror_sync_voters() - compare versions with all voters */
void _jh_mirror_sync_voters(_jh_mirror_t *mirror);

/** _jh_mirror_sync_fleet() - compare versions with every listed VM */
void _jh_mirror_sync_fleet(_jh_mirror_t *mirror);

/** _jh_mirror_sync_round() - compare versions with enough voters for a renewal, round robin */
void _jh_mirror_sync_round(_jh_mirror_t *mirror);

/** _jh_mirror_apply_acks() - renew the lease by the acks whose versions this mirror has reached */
void _jh_mirror_apply_acks(_jh_mirror_t *mirror);

/**
 * _jh_mirror_rows_for() - the rows that a VM lacks, as they are sent to it
 * @vm: interned name of the VM that sent the request
 * @request: the VM's request, with its table versions
 * @count: receives the number of rows
 *
 * If the request accepts parts, only the first part of a long row is sent. If it names a part and
 * the row still has that version, only that part is sent. Once enough other VMs receive a long row,
 * the first part is empty: the VM has to ask again, or another VM.
 *
 * Return: new array of @count new rows, owned by the caller; NULL if there are none
 */
Jh__MirrorRow **_jh_mirror_rows_for(_jh_mirror_t *mirror, const char *vm,
				    const Jh__MirrorSync *request, size_t *count);

/**
 * _jh_mirror_apply_rows() - apply the rows of a reply, and join parts of a long row
 * @vm: interned name of the VM that sent them
 *
 * Each table whose rows have all arrived is raised to the reply's version. The next part of a row
 * is requested of @vm.
 *
 * Return: what that means for the fetch in progress
 */
_jh_fetch_result_t _jh_mirror_apply_rows(_jh_mirror_t *mirror, const char *vm,
					 const Jh__MirrorSync *reply);

/**
 * _jh_mirror_request_rows() - request missing rows of a VM
 * @part: the part that is requested, or NULL for all rows; copied
 */
void _jh_mirror_request_rows(_jh_mirror_t *mirror, const char *vm, const Jh__MirrorPart *part);

/** _jh_mirror_parts_clear() - drop the parts of a row that have arrived */
void _jh_mirror_parts_clear(_jh_mirror_parts_t *parts);

/** _jh_mirror_note_acknowledged() - note how far commits are acknowledged. Return: if it is news */
bool _jh_mirror_note_acknowledged(_jh_mirror_t *mirror, const char *group, jh_position_t position);

/** _jh_mirror_handle_sync() - handle another VM's MirrorSync request or reply */
void _jh_mirror_handle_sync(_jh_mirror_t *mirror, const jh_frame_msg_t *msg);

#endif
